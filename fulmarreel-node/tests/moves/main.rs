//! Moves of a service's traffic to a new version: which nodes do what, and whole moves through
//! separate processes.

mod duties;
mod end_to_end;
mod faults;
mod fencing;
mod support;
