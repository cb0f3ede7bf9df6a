//! Requests to a target that has just started, and is not up to its full load yet.
//!
//! [`Limiter`] is the decision of the target's own node, which alone reaches the target: it bounds the
//! requests that the target gets in any second. [`Share`] is the decision of a node that sends requests
//! to that node: it keeps the requests few that the limiter would refuse.

mod limiter;
mod share;
mod state;

pub use limiter::{End, Limiter, Limits};
pub use share::Share;
pub use state::State;
