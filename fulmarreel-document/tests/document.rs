//! Validation of documents, and the positions in error messages.

#[path = "document/accept.rs"]
mod accept;
#[path = "document/check.rs"]
mod check;
#[path = "document/refuse.rs"]
mod refuse;
