//! The node: the process that runs beside each target, on the target's instance.
//!
//! A node accepts a caller's request in [`ingress`], routes it by the view in [`state`] and sends
//! it over a connection of [`peer`] to the target's node. There, [`serve`] hands it to the target
//! through [`target`]. Documents are distributed by [`sync`] and membership by [`gossip`];
//! [`rollout`] moves a service's traffic to a new version. [`admin`] is the interface for the
//! target and for operators, and [`telemetry`] has logs and metrics. On the users' platform the
//! node runs as [`mesh`] instead, with the platform's store and formats.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod admin;
pub mod gossip;
pub mod ingress;
pub mod leave;
pub mod mesh;
pub mod peer;
pub mod readiness;
pub mod rollout;
pub mod run;
pub mod runtime;
pub mod serve;
pub mod settings;
pub mod state;
pub mod sync;
pub mod target;
pub mod telemetry;
pub(crate) mod transport;

pub use run::run;
pub use settings::Settings;
