//! Which nodes watch the store.
//!
//! Two nodes of each region watch the store, so that a change crosses each link between regions
//! at most twice. A zone that has not heard of any region's watcher for a while watches on its own.

use std::time::Duration;

/// Number of watchers of each region.
pub const WATCHERS_PER_REGION: usize = 2;

/// Number of nodes that may try to acquire a free watcher slot at the same time.
pub const MAX_CANDIDATES: usize = 3;

/// Number of slots of a region or a zone; each watcher holds the lease of one.
pub const WATCHER_SLOTS: u32 = 4;

/// Time without known contact of any region's watcher with the store after which a zone watches on
/// its own.
const ZONE_WATCH_AFTER: Duration = Duration::from_secs(8);

/// A zone stops its own watch once a region's watcher was in contact within this time.
const ZONE_WATCH_ENDS_WITHIN: Duration = Duration::from_secs(3);

/// How long a node that has found no peer waits before it assumes that there is none.
const FIRST_PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// For whom a node watches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Its region.
    Region,
    /// Its zone alone.
    Zone,
}

/// What a node knows when it decides whether to watch.
#[derive(Debug, Clone, Copy)]
pub struct WatchSituation {
    /// Number of the region's watchers that are alive, without this node.
    pub region_watchers: usize,
    /// This node's rank among the region's nodes that do not watch.
    pub region_rank: usize,
    /// This node's rank among its zone's nodes.
    pub zone_rank: usize,
    /// Time since any region's watcher was last known to be in contact with the store.
    pub contact_age: Option<Duration>,
    /// Time since this node started.
    pub uptime: Duration,
    /// Whether this node has compared its state with any peer; before that it knows of no watchers.
    pub has_compared: bool,
}

/// The scope in which a node that does not watch has to try for a watcher slot, if any.
pub fn wanted_scope(situation: &WatchSituation) -> Option<Scope> {
    if !situation.has_compared && situation.uptime < FIRST_PEER_TIMEOUT {
        return None;
    }
    if situation.region_watchers < WATCHERS_PER_REGION && situation.region_rank < MAX_CANDIDATES {
        return Some(Scope::Region);
    }
    let is_out_of_contact = situation.contact_age.unwrap_or(situation.uptime) >= ZONE_WATCH_AFTER;
    (is_out_of_contact && situation.zone_rank < MAX_CANDIDATES).then_some(Scope::Zone)
}

/// Whether a node that watches for its zone may stop, because a region's watcher has contact again.
pub fn may_stop_zone_watch(situation: &WatchSituation) -> bool {
    situation
        .contact_age
        .is_some_and(|age| age <= ZONE_WATCH_ENDS_WITHIN)
}
