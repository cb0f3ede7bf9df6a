//! What nodes and the coordinator tell each other.

use crate::Time;
use std::time::Duration;

/// What a process of a node tells the coordinator.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// When the process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// Number of the report; rises with each report of a process.
    pub sequence: u32,
    /// When the report was sent, on the sender's clock; the answer repeats it.
    pub sent_at: Time,
    /// Whether no grant has arrived at the process since its start. The grants to former processes of its
    /// node ended with those.
    pub never_granted: bool,
    /// Accounts for which the node needs or holds something.
    pub demands: Vec<Demand>,
}

/// The demand of one account at one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Hash of the account's name.
    pub account: u64,
    /// Thousandths of a request per second, refused requests included.
    pub rate_milli: u64,
    /// Requests that wait for a token and for which none was asked before.
    pub wanted: u32,
    /// Requests that are expected before the node can ask again, beyond the rate that it holds.
    pub ahead: u32,
    /// Unused tokens that the node gives back.
    pub returned: u32,
    /// The number of the last report whose answer was applied for this account; 0 without one. Answers
    /// to earlier reports are ignored from here on.
    pub applied: u32,
    /// What the node may spend from under that answer.
    pub held: Held,
}

/// What a node may spend from without a further answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// Tokens that come into being, in thousandths per second.
    pub rate_milli: u64,
    /// Tokens that can be kept.
    pub bucket: u32,
    /// Time to the expiry.
    pub remaining: Duration,
}

/// The coordinator's answer to a report.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The start of the process that reported.
    pub boot: u64,
    /// The number of the report.
    pub sequence: u32,
    /// When the report was sent, on its sender's clock.
    pub sent_at: Time,
    /// Grants, at most one for each account of the report.
    pub grants: Vec<Grant>,
}

/// A node's question to a deputy for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanRequest {
    /// When the asking process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// Number of the question; rises with each report and question of a process.
    pub sequence: u32,
    /// When the question was sent, on the sender's clock; the answer repeats it.
    pub sent_at: Time,
    /// Hash of the account's name.
    pub account: u64,
    /// Requests that wait for a token.
    pub wanted: u32,
}

/// A deputy's answer. Its tokens are for requests that wait, and cannot be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// The question.
    pub request: LoanRequest,
    /// Tokens that are handed over.
    pub tokens: u32,
}

/// A grant to one node for one account; replaces the earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Hash of the account's name.
    pub account: u64,
    /// Tokens that come into being at the node, in thousandths per second.
    pub rate_milli: u64,
    /// Tokens that the node can keep.
    pub bucket: u32,
    /// Tokens that are handed over.
    pub tokens: u32,
    /// Requests for which the report wanted tokens.
    pub wanted: u32,
    /// Those of them for which the coordinator had none.
    pub missing: u32,
    /// The account's rate that the grant is a share of, in thousandths per second.
    pub of_rate_milli: u64,
    /// The account's capacity that the grant is a share of.
    pub of_capacity: u32,
}
