//! Rollouts of a new version of a service: which nodes do what, and whole rollouts through separate
//! processes.

mod duties;
mod end_to_end;
mod faults;
mod fencing;
mod support;
