//! The clients of the local target: the own interface's, and the one on the users' platform.

mod broken;
mod endpoint;
mod stray;
mod support;
