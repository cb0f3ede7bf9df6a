//! When two nodes whose digests differ compare their contents (anti-entropy).

use fulmarreel_wire::gossip::Digest;
use std::time::{Duration, Instant};

/// Shortest time between two comparisons that a node starts.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two comparisons that a node starts while it is not ready to serve.
const JOINING_COMPARE_INTERVAL: Duration = Duration::from_millis(200);

/// Longest delay of a comparison while the node's own state keeps changing.
const MAX_DEFERRAL: Duration = Duration::from_secs(4);

/// Location of a peer relative to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region, across a link with metered traffic.
    OtherRegion,
}

impl Distance {
    /// How long a node's own state must be unchanged before it compares, since pushed changes may
    /// still be under way.
    fn required_quiet(self) -> Duration {
        match self {
            Self::Zone => Duration::from_millis(300),
            Self::Region => Duration::from_millis(1_000),
            Self::OtherRegion => Duration::from_millis(2_000),
        }
    }
}

/// Decides when a node starts a comparison.
#[derive(Debug)]
pub struct ComparisonSchedule {
    /// This node's own [`Digest::members`] at the last call.
    members: u64,
    /// This node's own [`Digest::entries`] at the last call.
    entries: u64,
    /// When this node's own digest last changed.
    changed_at: Instant,
    /// When a peer's digest first differed since the last comparison or the last equal digest.
    differs_since: Option<Instant>,
    /// When the last comparison was started.
    started_at: Option<Instant>,
}

impl ComparisonSchedule {
    /// A node that has not compared with any peer yet.
    pub fn new(now: Instant) -> Self {
        Self {
            members: 0,
            entries: 0,
            changed_at: now,
            differs_since: None,
            started_at: None,
        }
    }

    /// Whether to compare with a peer now. `joining` means that this node needs the peer's contents
    /// to become ready.
    pub fn should_compare(
        &mut self,
        own: &Digest,
        theirs: &Digest,
        distance: Distance,
        joining: bool,
        now: Instant,
    ) -> bool {
        if (own.members, own.entries) != (self.members, self.entries) {
            (self.members, self.entries) = (own.members, own.entries);
            self.changed_at = now;
        }
        if (own.members, own.entries) == (theirs.members, theirs.entries) {
            self.differs_since = None;
        } else {
            self.differs_since.get_or_insert(now);
        }
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let interval = if joining {
            JOINING_COMPARE_INTERVAL
        } else {
            COMPARE_INTERVAL
        };
        if self.started_at.is_some_and(|last| elapsed(last) < interval) {
            return false;
        }
        let is_quiet = elapsed(self.changed_at) >= distance.required_quiet();
        let is_due = |since: Instant| is_quiet || elapsed(since) >= MAX_DEFERRAL;
        if !joining && !self.differs_since.is_some_and(is_due) {
            return false;
        }
        self.differs_since = None;
        self.started_at = Some(now);
        true
    }
}
