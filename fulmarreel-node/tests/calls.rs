//! Concurrent calls through separate processes: each history of outcomes is checked against the
//! calls that the targets executed.

#[path = "calls/body.rs"]
mod body;
#[path = "calls/broken.rs"]
mod broken;
#[path = "calls/key.rs"]
mod key;
#[path = "calls/kill.rs"]
mod kill;
#[path = "calls/leave.rs"]
mod leave;
#[path = "calls/left.rs"]
mod left;
#[path = "calls/overload.rs"]
mod overload;
#[path = "calls/silence.rs"]
mod silence;
#[path = "calls/support.rs"]
mod support;
