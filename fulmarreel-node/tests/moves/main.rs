//! Moves to a new version: duties, and whole moves through separate processes.

mod duties;
mod end_to_end;
mod faults;
mod fencing;
mod support;
