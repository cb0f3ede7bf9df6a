//! Short messages between nodes over UDP, on the store, rollouts and quotas.

use crate::framing;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Limit of a datagram in bytes, below the smallest usual MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Limit of the demands in a report, so that neither the report nor its answer exceeds a datagram
/// whatever the numbers are.
pub const MAX_QUOTA_DEMANDS: usize = 18;

/// One notice and its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's [`PROTOCOL`](crate::PROTOCOL).
    pub protocol: u16,
    /// The address at which the sender accepts connections from other nodes.
    pub from: SocketAddr,
    /// The notice.
    pub notice: Notice,
}

/// A message on the store, a rollout or quotas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// The store revision that the sender is up to date with.
    Revision(u64),
    /// A node of the receiver's region starts, continues or stops reading the store.
    Contact(ReaderContact),
    /// Outcomes of the sender's calls to both versions of a service in a rollout.
    RolloutCounts(RolloutCounts),
    /// The new version's share of the calls, from the owner of the rollout.
    ShareGrant(ShareGrant),
    /// The new version is bad and has to be rolled back.
    VersionBad {
        /// The service.
        service: String,
        /// Store revision of the order for the rollout.
        order: u64,
    },
    /// The rollout has completed; instances of the old version may be stopped.
    RolloutCompleted {
        /// The service.
        service: String,
        /// Store revision of the order for the rollout.
        order: u64,
    },
    /// The sender's demand of accounts, for the coordinator of quotas.
    QuotaReport(QuotaReport),
    /// The coordinator's answer to a report.
    QuotaAnswer(QuotaAnswer),
    /// The sender has become the coordinator of quotas, with a key that was created at this store revision.
    QuotaCoordinator(u64),
    /// A question for tokens of an account, to one of its deputies.
    QuotaLoanRequest(QuotaLoanRequest),
    /// The deputy's answer.
    QuotaLoan(QuotaLoan),
}

/// Whether and how recently a node read the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderContact {
    /// The node that reads the store.
    pub reader: SocketAddr,
    /// Whether it still reads the store and gets responses.
    pub is_reading: bool,
    /// The store revision that the sender is up to date with.
    pub revision: u64,
    /// How long before sending this `revision` was last known to be the store's newest, in
    /// milliseconds.
    pub age_ms: u32,
    /// Nodes that the receiver forwards the notice to.
    pub forward_to: Vec<SocketAddr>,
}

/// Counts of one process since the order for a rollout; later counts replace earlier ones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutCounts {
    /// The service.
    pub service: String,
    /// Store revision of the order for the rollout.
    pub order: u64,
    /// When the sending process started, in milliseconds since the Unix epoch. Counts of several
    /// processes of a node add up.
    pub boot: u64,
    /// Store revision at which the owner whose grant the sender follows took ownership; 0 without a
    /// valid grant.
    pub owner_revision: u64,
    /// Share of the calls that the sender routes to the new version, in thousandths.
    pub permille: u16,
    /// The largest share at which the new version was found healthy as far as the sender knows, in
    /// thousandths.
    pub proven_permille: u16,
    /// Counts by route.
    pub routes: Vec<Route>,
}

/// Counts of one route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Hash of the route's name.
    pub route: u64,
    /// Calls to the old version.
    pub old: Counts,
    /// Calls to the new version.
    pub new: Counts,
}

/// Counts of calls by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that a target completed.
    pub calls: u32,
    /// Calls of `calls` that failed.
    pub failed: u32,
    /// Calls of `calls` that took far longer than usual, whether or not a response came in the end.
    pub slow: u32,
    /// Calls in flight, which `calls` does not include.
    pub open: u32,
    /// Calls of `open` that have been in flight for longer than nearly all calls take.
    pub overdue: u32,
    /// Calls with an unknown outcome, which neither `calls` nor `open` includes.
    pub lost: u32,
}

/// Grant of a share of the calls to the new version of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The service.
    pub service: String,
    /// Store revision of the order for the rollout.
    pub order: u64,
    /// Store revision at which the sender took ownership; grants of a higher one win.
    pub owner_revision: u64,
    /// Sequence number among the sender's grants.
    pub sequence: u32,
    /// Share of the calls that go to the new version, in thousandths.
    pub permille: u16,
    /// The largest share at which the new version was found healthy, in thousandths.
    pub proven_permille: u16,
}

/// Demand of accounts at one process of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// When the sending process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// Number of the report among those of the process.
    pub sequence: u32,
    /// The time of sending in milliseconds, on a clock of the sender; the answer repeats it.
    pub sent_ms: u64,
    /// Whether no grant has arrived at the process since its start.
    pub never_granted: bool,
    /// Demands, at most [`MAX_QUOTA_DEMANDS`].
    pub demands: Vec<QuotaDemand>,
}

/// The demand of one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaDemand {
    /// Hash of the account's name.
    pub account: u64,
    /// Requests per second, in thousandths.
    pub rate_milli: u64,
    /// Tokens that are wanted.
    pub wanted: u32,
    /// Tokens that are wanted for requests to come.
    pub ahead: u32,
    /// Tokens that are given back.
    pub returned: u32,
    /// Number of the last report whose answer was applied.
    pub applied: u32,
    /// Tokens per second that are held, in thousandths.
    pub held_rate_milli: u64,
    /// The size of the bucket that is held.
    pub held_bucket: u32,
    /// Time to the expiry of what is held, in milliseconds.
    pub held_ms: u32,
}

/// Grants to one process of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// The `boot` of the report.
    pub boot: u64,
    /// The `sequence` of the report.
    pub sequence: u32,
    /// The `sent_ms` of the report.
    pub sent_ms: u64,
    /// Grants for accounts of the report.
    pub grants: Vec<QuotaGrant>,
}

/// A question for tokens of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLoanRequest {
    /// When the sending process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// Number of the question among the reports and questions of the process.
    pub sequence: u32,
    /// The time of sending in milliseconds, on a clock of the sender; the answer repeats it.
    pub sent_ms: u64,
    /// Hash of the account's name.
    pub account: u64,
    /// Tokens that are wanted.
    pub wanted: u32,
}

/// The answer to a question for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLoan {
    /// The question.
    pub request: QuotaLoanRequest,
    /// Tokens that are handed over.
    pub tokens: u32,
}

/// A grant for one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Hash of the account's name.
    pub account: u64,
    /// Tokens per second, in thousandths.
    pub rate_milli: u64,
    /// The size of the bucket.
    pub bucket: u32,
    /// Tokens that are handed over.
    pub tokens: u32,
    /// Tokens that were wanted for requests that wait.
    pub wanted: u32,
    /// Those of them that the coordinator did not have.
    pub missing: u32,
    /// The account's rate, in thousandths per second.
    pub of_rate_milli: u64,
    /// The capacity of the account's buckets.
    pub of_capacity: u32,
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// It cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, framing::Error> {
        framing::encode_unframed(self)
    }

    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// The bytes are not a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, framing::Error> {
        framing::decode(bytes)
    }
}
