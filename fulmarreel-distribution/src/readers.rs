//! Which nodes of a region read the store for the others.
//!
//! Two nodes of each region watch the store and announce the revision up to which they know it; the
//! others learn changes from them. There is no election: a node that knows of too few readers
//! starts to read, after a delay that grows with its rank, and a reader that knows of enough
//! readers ahead of it stops. A reader that gets no response from the store stops too, until its
//! next turn: while the store is unreachable, only a few nodes try at a time.

use std::{
    cmp::Ordering,
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// Number of readers of each region.
pub const READERS: usize = 2;

/// How long another node is considered a reader after the contact that it last announced.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(900);

/// Additional delay per rank before a node starts to read, for the first [`QUICK_RANKS`] ranks.
const QUICK_RANK_DELAY: Duration = Duration::from_millis(120);

/// Number of ranks to which [`QUICK_RANK_DELAY`] applies.
const QUICK_RANKS: u32 = 5;

/// Additional delay per rank for the next [`LATE_RANKS`] ranks; longer, so that not all nodes call
/// a store that is down.
const LATE_RANK_DELAY: Duration = Duration::from_millis(250);

/// Number of ranks to which [`LATE_RANK_DELAY`] applies.
const LATE_RANKS: u32 = 8;

/// The time over which all further ranks start to read, however large the region is: a whole zone
/// may have failed, and all ranks ahead of them with it.
const LAST_RANKS_SPREAD: Duration = Duration::from_secs(4);

/// Time between the turns of two nodes of a region that try the store again.
const TURN_INTERVAL: Duration = Duration::from_millis(400);

/// How long a node that has just started waits for announcements first: readers do not know it yet.
const START_DELAY: Duration = Duration::from_millis(1_200);

/// Limit of the random addition to [`START_DELAY`], which separates nodes that start together and
/// know of few others yet.
const START_DELAY_SPREAD: Duration = Duration::from_millis(500);

/// How long a reader must have had [`READERS`] readers ahead of it before it stops.
const STOP_DELAY: Duration = Duration::from_millis(600);

/// How long a node may lag behind the revision that others reported before it reads the store
/// itself.
const LAG_LIMIT: Duration = Duration::from_millis(1_000);

/// How long a new reader may wait for its first response from the store; a call may take this long.
const FIRST_CONTACT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long a reader continues after its last contact with the store.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Shortest time between two decisions at which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// What one node knows of its region's readers, and whether it reads itself.
#[derive(Debug)]
pub struct Readers {
    own: SocketAddr,
    /// Until when each other node is considered a reader.
    other_readers: BTreeMap<SocketAddr, Instant>,
    reads: bool,
    /// Until when a node that has just started does not read.
    no_reading_until: Instant,
    /// The time of the last decision.
    last_decision: Instant,
    /// Since when this node has known of too few other readers.
    shortage_since: Option<Instant>,
    /// Since when enough readers have been ahead of this one.
    redundant_since: Option<Instant>,
    /// Since when this node has lagged behind the revision that others reported.
    lags_since: Option<Instant>,
    /// Whether the store has answered since this node started to read.
    has_contact: bool,
    /// Until when a reader continues without further contact.
    reads_until: Instant,
    /// When a node whose reading failed may try the store again.
    retry_at: Instant,
}

impl Readers {
    /// The state of a node that has just started and knows of no reader. `spread`, a random number
    /// from 0 to 1, separates nodes that start together.
    pub fn new(own: SocketAddr, now: Instant, spread: f64) -> Self {
        Self {
            own,
            other_readers: BTreeMap::new(),
            reads: false,
            no_reading_until: now + START_DELAY + START_DELAY_SPREAD.mul_f64(spread),
            last_decision: now,
            shortage_since: None,
            redundant_since: None,
            lags_since: None,
            has_contact: false,
            reads_until: now,
            retry_at: now,
        }
    }

    /// Records that another node of the region reads the store and was in contact with it at that
    /// time.
    pub fn record_reader(&mut self, reader: SocketAddr, at: Instant) {
        if reader != self.own {
            self.other_readers
                .insert(reader, at + ANNOUNCEMENT_LIFETIME);
        }
    }

    /// Records that another node no longer reads the store, or cannot reach it.
    pub fn remove_reader(&mut self, reader: SocketAddr) {
        self.other_readers.remove(&reader);
    }

    /// Stops reading because the node shuts down. Always returns false: the node no longer reads.
    pub fn stop_reading(&mut self) -> bool {
        self.reads = false;
        self.reads
    }

    /// Whether this node reads the store.
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Records that the store has answered this node.
    pub fn record_response(&mut self, now: Instant) {
        self.has_contact = true;
        self.reads_until = now + CONTACT_TIMEOUT;
    }

    /// Records that a call to the store has failed.
    pub fn record_failure(&mut self, now: Instant) {
        if !self.has_contact {
            self.reads_until = now;
        }
    }

    /// Decides again whether this node reads the store, and returns the decision. `members` are the
    /// region's nodes, `lags` tells whether this node lags behind the revision that others
    /// reported.
    pub fn decide(&mut self, members: &[SocketAddr], lags: bool, now: Instant) -> bool {
        self.other_readers.retain(|_, until| *until > now);
        self.update_reasons(lags, now);
        if self.reads && now >= self.reads_until {
            self.reads = false;
            self.retry_at = self.next_turn(members, now);
        } else if self.reads && !lags && has_lasted(self.redundant_since, STOP_DELAY, now) {
            self.reads = false;
        } else if !self.reads && now >= self.retry_at && self.is_wanted(members, now) {
            self.start_reading(now);
        }
        self.reads
    }

    /// Updates since when there has been a reason to start or to stop reading.
    fn update_reasons(&mut self, lags: bool, now: Instant) {
        let last_decision = std::mem::replace(&mut self.last_decision, now);
        if now >= last_decision + PAUSE_THRESHOLD {
            // Otherwise nodes that resume together after a pause would all start to read at once.
            self.shortage_since = None;
            self.lags_since = None;
        }
        let has_shortage = now >= self.no_reading_until && self.other_readers.len() < READERS;
        let is_redundant =
            self.reads && self.count_ahead(self.other_readers.keys()) as usize >= READERS;
        self.shortage_since = has_shortage.then(|| self.shortage_since.unwrap_or(now));
        self.redundant_since = is_redundant.then(|| self.redundant_since.unwrap_or(now));
        self.lags_since = lags.then(|| self.lags_since.unwrap_or(now));
    }

    /// Whether this node has to start reading. Nodes start one after the other, because all of them
    /// notice missing readers, or lag behind a slow link, at the same time.
    fn is_wanted(&self, members: &[SocketAddr], now: Instant) -> bool {
        if self.shortage_since.is_none() && self.lags_since.is_none() {
            return false;
        }
        let delay = start_delay(self.rank(members), node_count(members));
        has_lasted(self.shortage_since, delay, now)
            || has_lasted(self.lags_since, LAG_LIMIT + delay, now)
    }

    fn start_reading(&mut self, now: Instant) {
        self.reads = true;
        self.has_contact = false;
        self.reads_until = now + FIRST_CONTACT_TIMEOUT;
    }

    /// This node's rank among the nodes that do not read.
    fn rank(&self, members: &[SocketAddr]) -> u32 {
        let candidates = members
            .iter()
            .filter(|member| !self.other_readers.contains_key(member));
        self.count_ahead(candidates)
    }

    /// The number of the given nodes that are ahead of this one in the order of
    /// [`compare_by_hash`].
    fn count_ahead<'a>(&self, nodes: impl Iterator<Item = &'a SocketAddr>) -> u32 {
        let ahead = nodes.filter(|node| compare_by_hash(node, &self.own).is_lt());
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    /// When a node that got no response from the store tries again. The nodes of a region take
    /// turns.
    fn next_turn(&self, members: &[SocketAddr], now: Instant) -> Instant {
        let node_count = node_count(members).max(1);
        let round = TURN_INTERVAL.saturating_mul(node_count);
        let position = TURN_INTERVAL.saturating_mul(self.count_ahead(members.iter()));
        let mut turn =
            self.shortage_since.unwrap_or(now) + start_delay(node_count, node_count) + position;
        while turn <= now {
            turn += round;
        }
        turn
    }
}

fn node_count(members: &[SocketAddr]) -> u32 {
    u32::try_from(members.len()).unwrap_or(u32::MAX)
}

/// Whether a condition that holds since the given time has lasted for `wait`.
fn has_lasted(since: Option<Instant>, wait: Duration, now: Instant) -> bool {
    since.is_some_and(|since| since + wait <= now)
}

/// The order of nodes by a hash of their addresses: the same on all nodes, and without
/// preference for an address range.
fn compare_by_hash(one: &SocketAddr, other: &SocketAddr) -> Ordering {
    let sort_key = |address: &SocketAddr| (xxh3_64(address.to_string().as_bytes()), *address);
    sort_key(one).cmp(&sort_key(other))
}

/// How long a node of the given rank waits before it starts to read, in a region of `members`
/// nodes.
fn start_delay(rank: u32, members: u32) -> Duration {
    let quick = rank.min(QUICK_RANKS);
    let late = (rank - quick).min(LATE_RANKS);
    let last = rank - quick - late;
    let last_ranks = members.saturating_sub(QUICK_RANKS + LATE_RANKS).max(1);
    let spread = LAST_RANKS_SPREAD.mul_f64(f64::from(last) / f64::from(last_ranks));
    QUICK_RANK_DELAY * quick + LATE_RANK_DELAY * late + spread
}
