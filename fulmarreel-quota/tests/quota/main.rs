//! One account with clients at many nodes, played without a network.

mod bound;
mod play;
mod restart;
mod useful;
