//! A node on the users' platform.
//!
//! A request comes in at [`caller`], is routed by the [`view`] of the store, and is sent by
//! [`exchange`] to the node in front of its target, where [`serve`] admits it and hands it over
//! through [`endpoint`]. [`sync`] follows the store, [`notices`] is short word between nodes,
//! [`takeover`] moves services to new versions, [`announce`] and [`ready`] answer the platform, and
//! [`stop`] ends the process without cutting a request.

pub mod announce;
pub mod caller;
pub mod endpoint;
pub mod exchange;
pub mod keys;
pub mod listen;
pub mod notices;
pub mod ready;
pub mod run;
pub mod serve;
pub mod stop;
pub mod sync;
pub mod takeover;
pub mod targets;
pub mod transport;
pub mod view;
pub mod world;

pub use run::run;
