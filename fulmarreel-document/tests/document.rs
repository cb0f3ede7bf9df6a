//! Documents: what is accepted, and how each refusal names its place.

#[path = "document/accept.rs"]
mod accept;
#[path = "document/check.rs"]
mod check;
#[path = "document/refuse.rs"]
mod refuse;
