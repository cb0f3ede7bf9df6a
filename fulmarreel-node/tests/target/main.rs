//! The own interface's client of the local target.

mod broken;
mod stray;
mod support;
