//! Which nodes of a region read the store for the others.
//!
//! Two nodes of each region keep a watch on the store and announce up to which revision they know
//! it; everyone else learns changes from them. No election is needed: a node that misses readers
//! begins to read, earlier the better its rank, and one that hears of enough readers before itself
//! stops.

use std::{
    cmp::Ordering,
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// Readers of each region.
pub const READERS: usize = 2;

/// How long a reader counts after its last announcement.
const LIFETIME: Duration = Duration::from_millis(900);

/// How much longer each further rank waits before it begins to read.
const RANK_WAIT: Duration = Duration::from_millis(120);

/// Ranks that begin to read in quick succession.
const QUICK_RANKS: u32 = 5;

/// How much longer each rank after those waits, so that a store that is down is not called by all.
const LATE_RANK_WAIT: Duration = Duration::from_millis(200);

/// How long a node that has just started listens first: readers do not know it yet.
const JOIN_WAIT: Duration = Duration::from_millis(1_200);

/// Spreads nodes that start together and know of few others yet.
const JOIN_SPREAD: Duration = Duration::from_millis(500);

/// How long enough others have to read before a reader stops.
const HANDOVER: Duration = Duration::from_millis(600);

/// How long a node may know less than it has heard of before it reads for itself.
const LAG_LIMIT: Duration = Duration::from_millis(1_000);

/// What one node knows of its region's readers, and whether it reads itself.
#[derive(Debug)]
pub struct Readers {
    own: SocketAddr,
    /// Until when each other reader counts.
    live: BTreeMap<SocketAddr, Instant>,
    reads: bool,
    /// Until when a node that has just started does not begin to read.
    listens_until: Instant,
    /// Since when there are too few readers, or, for a reader, enough others.
    since: Option<Instant>,
    /// Since when this node knows less than it has heard of.
    lags_since: Option<Instant>,
}

impl Readers {
    /// A node that has just started and has heard of no reader; `spread` from 0 to 1 sets nodes that
    /// start together apart.
    pub fn new(own: SocketAddr, now: Instant, spread: f64) -> Self {
        Self {
            own,
            live: BTreeMap::new(),
            reads: false,
            listens_until: now + JOIN_WAIT + JOIN_SPREAD.mul_f64(spread),
            since: None,
            lags_since: None,
        }
    }

    /// Takes in that another node of the region reads the store and is in contact with it.
    pub fn hear(&mut self, reader: SocketAddr, now: Instant) {
        if reader != self.own {
            self.live.insert(reader, now + LIFETIME);
        }
    }

    /// Takes in that another node does not read the store any more, or cannot.
    pub fn forget(&mut self, reader: SocketAddr) {
        self.live.remove(&reader);
    }

    /// Whether this node reads the store.
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Has this node read no more, since it is about to end.
    pub fn leave(&mut self) -> bool {
        self.change(false);
        self.reads
    }

    /// Decides anew whether this node reads the store. `members` are the region's nodes, `lags`
    /// says whether this node knows less than it has heard of.
    pub fn decide(&mut self, members: &[SocketAddr], lags: bool, now: Instant) -> bool {
        self.live.retain(|_, until| *until > now);
        let own = self.own;
        let wait = wait(self.rank(members));
        self.lags_since = lags.then(|| self.lags_since.unwrap_or(now));
        let lags_since = self.lags_since;
        // One after the other, since all lag at once where a link is slow.
        if lags_since.is_some_and(|since| since + LAG_LIMIT + wait <= now) {
            self.change(true);
            return true;
        }
        if self.reads {
            let before = self.live.keys();
            let before = before.filter(|reader| order(reader, &own).is_lt()).count();
            if self.lasts(before >= READERS, HANDOVER, now) {
                self.change(false);
            }
        } else if self.lasts(self.is_short(now), wait, now) {
            self.change(true);
        }
        self.reads
    }

    /// This node's place among those that may begin to read.
    fn rank(&self, members: &[SocketAddr]) -> u32 {
        let candidates = members
            .iter()
            .filter(|member| !self.live.contains_key(member));
        let before = candidates.filter(|member| order(member, &self.own).is_lt());
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Whether there are too few readers, as far as a node can tell.
    fn is_short(&self, now: Instant) -> bool {
        now >= self.listens_until && self.live.len() < READERS
    }

    /// Whether something has held for that long.
    fn lasts(&mut self, holds: bool, wait: Duration, now: Instant) -> bool {
        if !holds {
            self.since = None;
            return false;
        }
        now >= *self.since.get_or_insert(now) + wait
    }

    fn change(&mut self, reads: bool) {
        if self.reads != reads {
            self.reads = reads;
            self.since = None;
        }
    }
}

/// An order of nodes that all agree on and that favours no address range.
fn order(one: &SocketAddr, other: &SocketAddr) -> Ordering {
    let key = |address: &SocketAddr| (xxh3_64(address.to_string().as_bytes()), *address);
    key(one).cmp(&key(other))
}

fn wait(rank: u32) -> Duration {
    let quick = rank.min(QUICK_RANKS);
    RANK_WAIT * quick + LATE_RANK_WAIT * (rank - quick)
}
