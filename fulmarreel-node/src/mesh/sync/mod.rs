//! Replication of the platform's store into the node's mirror of it.
//!
//! A few nodes of each region [`read`] the store itself; all others [`pull`] changes from the node that
//! announced them (see [`notices`](super::notices)).

mod pull;
mod read;

pub use pull::{pull, serve};
pub use read::run;
