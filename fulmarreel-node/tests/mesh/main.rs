//! Nodes on the users' platform, as processes, against stand-ins of its store and targets.

mod backend;
mod distribution;
mod endless;
mod explain;
mod frames;
mod left;
mod moves;
mod path;
mod stop;
mod store;
mod support;
