//! Which nodes of a region read the store for the others.
//!
//! Two nodes of each region keep a watch on the store and announce up to which revision they know
//! it; everyone else learns changes from them. No election is needed: a node that misses readers
//! begins to read, earlier the better its rank, and one that hears of enough readers before itself
//! stops. One that the store does not answer stops too, until its turn comes again: while the store
//! is away, a few nodes at a time try.

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
const LATE_RANK_WAIT: Duration = Duration::from_millis(250);

/// Ranks that wait so.
const LATE_RANKS: u32 = 8;

/// The time over which all further ranks begin to read, however large the region is: those before them
/// may have ended with a whole zone.
const LAST_RANKS_SPREAD: Duration = Duration::from_secs(4);

/// Time between the turns of two nodes of a region that try again.
const TURN: Duration = Duration::from_millis(400);

/// How long a node that has just started listens first: readers do not know it yet.
const JOIN_WAIT: Duration = Duration::from_millis(1_200);

/// Spreads nodes that start together and know of few others yet.
const JOIN_SPREAD: Duration = Duration::from_millis(500);

/// How long enough others have to read before a reader stops.
const HANDOVER: Duration = Duration::from_millis(600);

/// How long a node may know less than it has heard of before it reads for itself.
const LAG_LIMIT: Duration = Duration::from_millis(1_000);

/// How long a new reader may wait for its first contact; the longest that a call takes.
const TRIAL: Duration = Duration::from_millis(2_500);

/// How long a reader goes on after its last contact with the store.
const CONTACT_LIFETIME: Duration = Duration::from_millis(3_500);

/// Time between two decisions from which on the process may have been stopped.
const PAUSE: Duration = Duration::from_millis(500);

/// What one node knows of its region's readers, and whether it reads itself.
#[derive(Debug)]
pub struct Readers {
    own: SocketAddr,
    /// Until when each other reader counts.
    live: BTreeMap<SocketAddr, Instant>,
    reads: bool,
    /// Until when a node that has just started does not begin to read.
    listens_until: Instant,
    /// When it was last decided.
    decided: Instant,
    /// Since when there are too few other readers.
    short_since: Option<Instant>,
    /// Since when enough others read that come before this reader.
    spare_since: Option<Instant>,
    /// Since when this node knows less than it has heard of.
    lags_since: Option<Instant>,
    /// Whether the store has answered since this node began to read.
    has_contact: bool,
    /// Until when a reader goes on without further contact.
    tries_until: Instant,
    /// Until when a node does not try again that the store did not answer.
    rests_until: Instant,
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
            decided: now,
            short_since: None,
            spare_since: None,
            lags_since: None,
            has_contact: false,
            tries_until: now,
            rests_until: now,
        }
    }

    /// Takes in that another node of the region reads the store and was in contact with it at that
    /// time.
    pub fn hear(&mut self, reader: SocketAddr, at: Instant) {
        if reader != self.own {
            self.live.insert(reader, at + LIFETIME);
        }
    }

    /// Takes in that another node does not read the store any more, or cannot.
    pub fn forget(&mut self, reader: SocketAddr) {
        self.live.remove(&reader);
    }

    /// Has this node read no more, since it is about to end.
    pub fn leave(&mut self) -> bool {
        self.reads = false;
        self.reads
    }

    /// Whether this node reads the store.
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Takes in that the store has answered this node.
    pub fn touch(&mut self, now: Instant) {
        self.has_contact = true;
        self.tries_until = now + CONTACT_LIFETIME;
    }

    /// Takes in that a call to the store has failed.
    pub fn miss(&mut self, now: Instant) {
        if !self.has_contact {
            self.tries_until = now;
        }
    }

    /// Decides anew whether this node reads the store. `members` are the region's nodes, `lags`
    /// says whether this node knows less than it has heard of.
    pub fn decide(&mut self, members: &[SocketAddr], lags: bool, now: Instant) -> bool {
        self.live.retain(|_, until| *until > now);
        self.look(lags, now);
        if self.reads && now >= self.tries_until {
            self.reads = false;
            self.rests_until = self.next_turn(members, now);
        } else if self.reads && !lags && lasts(self.spare_since, HANDOVER, now) {
            self.reads = false;
        } else if !self.reads && now >= self.rests_until && self.is_wanted(members, now) {
            self.begin(now);
        }
        self.reads
    }

    /// Notes since when there is a reason to begin or to stop.
    fn look(&mut self, lags: bool, now: Instant) {
        let decided = std::mem::replace(&mut self.decided, now);
        if now >= decided + PAUSE {
            // Nodes that wake up together would all begin at once.
            self.short_since = None;
            self.lags_since = None;
        }
        let is_short = now >= self.listens_until && self.live.len() < READERS;
        let is_spare = self.reads && self.before(self.live.keys()) as usize >= READERS;
        self.short_since = is_short.then(|| self.short_since.unwrap_or(now));
        self.spare_since = is_spare.then(|| self.spare_since.unwrap_or(now));
        self.lags_since = lags.then(|| self.lags_since.unwrap_or(now));
    }

    /// Whether this node is to begin to read; one after the other, since all miss readers, or lag
    /// where a link is slow, at once.
    fn is_wanted(&self, members: &[SocketAddr], now: Instant) -> bool {
        if self.short_since.is_none() && self.lags_since.is_none() {
            return false;
        }
        let wait = wait(self.rank(members), count(members));
        lasts(self.short_since, wait, now) || lasts(self.lags_since, LAG_LIMIT + wait, now)
    }

    fn begin(&mut self, now: Instant) {
        self.reads = true;
        self.has_contact = false;
        self.tries_until = now + TRIAL;
    }

    /// This node's place among those that may begin to read.
    fn rank(&self, members: &[SocketAddr]) -> u32 {
        let candidates = members
            .iter()
            .filter(|member| !self.live.contains_key(member));
        self.before(candidates)
    }

    /// Nodes that come before this one.
    fn before<'a>(&self, nodes: impl Iterator<Item = &'a SocketAddr>) -> u32 {
        let before = nodes.filter(|node| order(node, &self.own).is_lt());
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// When a node that the store did not answer tries again: one of its region after the other.
    fn next_turn(&self, members: &[SocketAddr], now: Instant) -> Instant {
        let count = count(members).max(1);
        let round = TURN.saturating_mul(count);
        let place = TURN.saturating_mul(self.before(members.iter()));
        let mut turn = self.short_since.unwrap_or(now) + wait(count, count) + place;
        while turn <= now {
            turn += round;
        }
        turn
    }
}

fn count(members: &[SocketAddr]) -> u32 {
    u32::try_from(members.len()).unwrap_or(u32::MAX)
}

/// Whether something has held for that long.
fn lasts(since: Option<Instant>, wait: Duration, now: Instant) -> bool {
    since.is_some_and(|since| since + wait <= now)
}

/// An order of nodes that all agree on and that favours no address range.
fn order(one: &SocketAddr, other: &SocketAddr) -> Ordering {
    let key = |address: &SocketAddr| (xxh3_64(address.to_string().as_bytes()), *address);
    key(one).cmp(&key(other))
}

/// How long a node of that rank waits before it begins to read, in a region of `members` nodes.
fn wait(rank: u32, members: u32) -> Duration {
    let quick = rank.min(QUICK_RANKS);
    let late = (rank - quick).min(LATE_RANKS);
    let last = rank - quick - late;
    let of = members.saturating_sub(QUICK_RANKS + LATE_RANKS).max(1);
    let spread = LAST_RANKS_SPREAD.mul_f64(f64::from(last) / f64::from(of));
    RANK_WAIT * quick + LATE_RANK_WAIT * late + spread
}
