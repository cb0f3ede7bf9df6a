//! Decisions of a rollout, the gradual shift of a service's calls from one version to another,
//! without I/O and without a clock.
//!
//! Documents and the command line call a rollout a `move`.
//!
//! A node that owns a rollout feeds a [`Comparison`] with the fleet's [`Evidence`] and asks
//! [`step::step()`] what to publish. Every node joins the published [`State`] with
//! [`State::join()`], chooses the version of each call with [`share::includes_call()`], and keeps a
//! [`Guard`] that stops its own use of a version that fails there. Rollouts whose deadline is
//! seconds away are decided by [`brief`] instead.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod brief;
pub mod compare;
pub mod evidence;
pub mod guard;
pub mod plan;
pub mod publication;
pub mod share;
pub mod state;
pub mod step;

pub use compare::Comparison;
pub use evidence::Evidence;
pub use guard::Guard;
pub use plan::Plan;
pub use publication::Publication;
pub use share::Share;
pub use state::State;
