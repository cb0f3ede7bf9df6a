//! Distribution of documents, and membership, between nodes as separate processes.

#[path = "distribution/freeze.rs"]
mod freeze;
#[path = "distribution/herd.rs"]
mod herd;
#[path = "distribution/history.rs"]
mod history;
#[path = "distribution/member.rs"]
mod member;
#[path = "distribution/operators.rs"]
mod operators;
#[path = "distribution/outage.rs"]
mod outage;
#[path = "distribution/support.rs"]
mod support;
#[path = "distribution/verdict.rs"]
mod verdict;
