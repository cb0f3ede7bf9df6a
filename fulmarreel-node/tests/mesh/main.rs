//! Nodes on the users' platform: each node is a process of its own, the platform's store and
//! the targets are fakes inside the test process.

mod backend;
mod broken;
mod broken_peer;
mod cold;
mod departed;
mod distribution;
mod endless;
mod explain;
mod frames;
mod keys;
mod left;
mod moves;
mod narrow;
mod odd;
mod overload;
mod path;
mod pipeline;
mod places;
mod restored;
mod stop;
mod store;
mod stray;
mod support;
