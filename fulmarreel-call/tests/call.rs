//! Fault tables of the call's state, with the clock passed in.

#[path = "call/ledger.rs"]
mod ledger;
#[path = "call/retry.rs"]
mod retry;
