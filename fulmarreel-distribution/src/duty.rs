//! Which nodes watch the store.
//!
//! Two nodes of each region watch the store, so that a change crosses each link between regions
//! twice at most. A zone that hears of no region's watcher for a while watches for itself.

use std::time::Duration;

/// Watchers of each region.
pub const WATCHERS: usize = 2;

/// Nodes that may try for a free place at once.
pub const CANDIDATES: usize = 3;

/// Places under which watchers hold leases, of a region or a zone.
pub const SLOTS: u32 = 4;

/// Without contact for that long, a zone watches for itself.
const ZONE_PATIENCE: Duration = Duration::from_secs(8);

/// How recent a contact ends a zone's own watch.
const ZONE_RELIEF: Duration = Duration::from_secs(3);

/// How long a node that has met no other waits before it takes itself for the only one.
const MEETING_PATIENCE: Duration = Duration::from_secs(2);

/// For whom a node watches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Its region.
    Region,
    /// Its zone alone.
    Zone,
}

/// What the decision rests on.
#[derive(Debug, Clone, Copy)]
pub struct Situation {
    /// Alive watchers of the region, without this node.
    pub region_watchers: usize,
    /// This node's place in the order of the region's nodes that do not watch.
    pub region_rank: usize,
    /// This node's place in the order of its zone's nodes.
    pub zone_rank: usize,
    /// How long ago a region's watcher was in contact with the store.
    pub contact: Option<Duration>,
    /// How long this node has run.
    pub waited: Duration,
    /// Whether this node has compared with any other: before, it knows nothing of watchers.
    pub met: bool,
}

/// Whether a node that does not watch is to try for a place, and for which.
pub fn wanted(situation: &Situation) -> Option<Scope> {
    if !situation.met && situation.waited < MEETING_PATIENCE {
        return None;
    }
    if situation.region_watchers < WATCHERS && situation.region_rank < CANDIDATES {
        return Some(Scope::Region);
    }
    let silent = situation.contact.unwrap_or(situation.waited) >= ZONE_PATIENCE;
    (silent && situation.zone_rank < CANDIDATES).then_some(Scope::Zone)
}

/// Whether a node that watches for its zone may stop.
pub fn relieved(situation: &Situation) -> bool {
    situation
        .contact
        .is_some_and(|contact| contact <= ZONE_RELIEF)
}
