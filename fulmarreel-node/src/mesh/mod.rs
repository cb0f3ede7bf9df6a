//! A node on the users' platform.
//!
//! A request comes in at [`caller`], is routed by the [`view`] of the store, and is sent by
//! [`exchange`] to the node in front of its target, where [`serve`] admits it and hands it over
//! through [`endpoint`]. [`sync`] follows the store, [`notices`] are notices between nodes,
//! [`takeover`] moves services to new versions, [`announce`] and [`ready`] answer the platform, and
//! [`stop`] ends the process without cutting a request.

pub(crate) mod announce;
pub(crate) mod caller;
pub(crate) mod context;
pub(crate) mod endpoint;
pub(crate) mod exchange;
pub(crate) mod keys;
pub(crate) mod listen;
pub(crate) mod notices;
pub(crate) mod ready;
pub mod run;
pub(crate) mod serve;
pub(crate) mod stop;
pub(crate) mod sync;
pub(crate) mod takeover;
pub(crate) mod targets;
pub(crate) mod view;

pub use run::run;
