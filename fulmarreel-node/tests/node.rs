//! A node's settings and what operators see of it.

#[path = "node/logs.rs"]
mod logs;
#[path = "node/program.rs"]
mod program;
#[path = "node/settings.rs"]
mod settings;
