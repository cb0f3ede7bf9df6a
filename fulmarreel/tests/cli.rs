//! Tests of the command line: arguments, output, exit codes, and its effects on the store.

#[path = "cli/apply.rs"]
mod apply;
#[path = "cli/examples.rs"]
mod examples;
#[path = "cli/explain.rs"]
mod explain;
#[path = "cli/refuse.rs"]
mod refuse;
#[path = "cli/status.rs"]
mod status;
#[path = "cli/support.rs"]
mod support;
