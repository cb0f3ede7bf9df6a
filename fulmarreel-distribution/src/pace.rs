//! When two nodes whose digests differ compare what they hold.

use fulmarreel_wire::gossip::Digest;
use std::time::{Duration, Instant};

/// Time between two comparisons that a node starts.
const INTERVAL: Duration = Duration::from_secs(1);

/// The same for a node that does not serve yet.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);

/// News that never ends does not put a comparison off for longer.
const LONGEST_WAIT: Duration = Duration::from_secs(4);

/// Where a peer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region, over a paid link.
    Far,
}

impl Distance {
    /// How long a node's own state is to be unchanged, since news may still be under way.
    fn quiet(self) -> Duration {
        match self {
            Self::Zone => Duration::from_millis(300),
            Self::Region => Duration::from_millis(1_000),
            Self::Far => Duration::from_millis(2_000),
        }
    }
}

/// When a node starts a comparison.
#[derive(Debug)]
pub struct Pace {
    members: u64,
    entries: u64,
    changed: Instant,
    /// Since when peers' digests differ without a comparison.
    differs: Option<Instant>,
    started: Option<Instant>,
}

impl Pace {
    /// Nothing compared yet.
    pub fn new(now: Instant) -> Self {
        Self {
            members: 0,
            entries: 0,
            changed: now,
            differs: None,
            started: None,
        }
    }

    /// Whether to compare with a peer now; `joining` where this node needs the peer to get ready.
    pub fn admit(
        &mut self,
        own: &Digest,
        theirs: &Digest,
        distance: Distance,
        joining: bool,
        now: Instant,
    ) -> bool {
        if (own.members, own.entries) != (self.members, self.entries) {
            (self.members, self.entries) = (own.members, own.entries);
            self.changed = now;
        }
        if (own.members, own.entries) == (theirs.members, theirs.entries) {
            self.differs = None;
        } else {
            self.differs.get_or_insert(now);
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        let interval = if joining { JOIN_INTERVAL } else { INTERVAL };
        if self.started.is_some_and(|last| since(last) < interval) {
            return false;
        }
        let quiet = since(self.changed) >= distance.quiet();
        let differs = |at: Instant| quiet || since(at) >= LONGEST_WAIT;
        if !joining && !self.differs.is_some_and(differs) {
            return false;
        }
        self.differs = None;
        self.started = Some(now);
        true
    }
}
