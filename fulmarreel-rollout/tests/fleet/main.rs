//! Rollouts with a deadline of seconds, simulated over a whole fleet in virtual time.

mod bounds;
mod draw;
mod plan;
mod play;
mod store;
mod version;
