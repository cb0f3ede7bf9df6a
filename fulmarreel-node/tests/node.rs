//! A node's settings, its log, and its admin endpoints.

#[path = "node/logs.rs"]
mod logs;
#[path = "node/program.rs"]
mod program;
#[path = "node/settings.rs"]
mod settings;
