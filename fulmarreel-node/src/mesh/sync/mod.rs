//! Follows the platform's store.
//!
//! A few nodes of each region [`read`] the store; everyone else [`pull`]s what is new from the node
//! that announced it (see [`notices`](super::notices)).

mod pull;
mod read;

pub use pull::{pull, serve};
pub use read::run;
