//! A node on the users' platform.
//!
//! Every node sits in front of one instance of a service, its *own target*. [`listen`] accepts callers'
//! connections, and [`caller`] routes their requests by the [`view`] of the store. [`exchange`] sends a
//! request to the node of the chosen target; there [`serve`] queues it for a slot and forwards it
//! through [`endpoint`]. [`targets`] keeps statistics for the choice.
//!
//! [`sync`] replicates the store into the node's [`context`], [`notices`] are the datagrams between
//! nodes, [`quota`] shares the quotas of client accounts, and [`takeover`] rolls new versions of
//! services out. [`announce`] receives the own
//! target's announcements, [`publish`] writes the node's entry to the store, [`ready`] serves readiness and metrics, and [`stop`] shuts the process
//! down without cutting off a request.

pub(crate) mod announce;
pub(crate) mod boot_clock;
pub(crate) mod caller;
pub mod context;
pub(crate) mod credential;
pub mod endpoint;
pub mod era;
pub(crate) mod exchange;
pub(crate) mod keys;
pub(crate) mod links;
pub(crate) mod listen;
pub mod notices;
pub(crate) mod publish;
pub mod quota;
pub(crate) mod ready;
pub mod run;
pub(crate) mod serve;
pub(crate) mod speeds;
pub(crate) mod stop;
pub mod sync;
pub mod takeover;
pub(crate) mod targets;
pub(crate) mod view;
mod zone_loads;

pub use run::run;
