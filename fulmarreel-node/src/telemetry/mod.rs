//! Observability of a node: log lines, decisions and metrics.
//!
//! Every module logs with the macros of `log`; typed fields precede the message:
//! `log::info!(service = name, revision = 7; "active document")`. A routing or placement decision
//! is logged as a [`Decision`], and a call's end is counted with [`metrics::call_ended`].

pub mod decision;
mod line;
pub mod logger;
pub mod metrics;
pub mod queue;
pub mod sampler;

pub use decision::Decision;
pub use sampler::Sampler;
