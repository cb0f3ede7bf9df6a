//! The process in each target instance's slot.
//!
//! A call comes in at [`ingress`], is routed by the view in [`state`], travels over a connection
//! of [`peer`] to the node in front of its target, and is handed over there by [`serve`] through
//! [`target`]. Documents arrive by [`sync`], membership by [`gossip`]; [`admin`] is what the target
//! and operators talk to, and [`telemetry`] what operators see. On the users' platform the node runs
//! as [`mesh`] instead, with the platform's store and formats.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod admin;
pub mod gossip;
pub mod ingress;
pub mod leave;
pub mod mesh;
pub mod opening;
pub mod peer;
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
