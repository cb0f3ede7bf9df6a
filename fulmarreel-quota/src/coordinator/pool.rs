//! One account at the coordinator.

use super::book::{Book, Held, Outstanding};
use crate::{
    GRANT_LIFETIME, Limit, Time, lifetime,
    message::{Demand, Grant},
};
use std::{collections::HashMap, hash::Hash, time::Duration};

/// The part of an account's rate that is granted to nodes at most; the rest serves nodes that run out.
const GRANTED_SHARE: f64 = 0.9;

/// The part of an account's capacity that nodes with a rate can keep at most.
const KEPT_SHARE: f64 = 0.6;

/// A node keeps its rate while the one it should have differs by no more than this part. Until the node
/// reports that it has a lower rate, what it gives up is at nobody's disposal.
const RATE_TOLERANCE: f64 = 0.4;

/// The least bucket of a node with a rate, as requests may arrive together.
const MIN_BUCKET: u64 = 2;

/// The demand of a node that does not report is forgotten after this time.
const DEMAND_LIFETIME: Duration = Duration::from_secs(5);

/// One account at the coordinator.
#[derive(Debug)]
pub(super) struct Pool<N> {
    limit: Limit,
    /// Tokens that are not granted.
    level: f64,
    filled_at: Time,
    /// Until when grants of the former coordinator may be in force.
    takeover_ends: Time,
    books: HashMap<N, Book>,
    /// The sum of what all nodes may hold.
    held: Held,
    demand_milli: u64,
    /// When a grant expires or a node's demand is forgotten.
    next_expiry: Time,
}

impl<N: Copy + Eq + Hash> Pool<N> {
    /// The account at a coordinator that took over at `taken_over_at` and has not granted anything of it
    /// since, or nothing that is still missing.
    pub fn new(limit: Limit, taken_over_at: Time, takeover_ends: Time) -> Self {
        Self {
            limit,
            level: 0.0,
            filled_at: taken_over_at,
            takeover_ends,
            books: HashMap::new(),
            held: Held::default(),
            demand_milli: 0,
            next_expiry: Time::MAX,
        }
    }

    /// Accounts for the time until `now`, with the limit that holds from here on.
    pub fn advance(&mut self, limit: Limit, now: Time) {
        self.fill(now);
        self.limit = limit;
        if now >= self.next_expiry {
            self.expire(now);
        }
        self.clip(now);
    }

    /// Ends the takeover: no grant of the former coordinator is in force any more.
    pub fn end_takeover(&mut self, now: Time) {
        self.fill(now);
        self.takeover_ends = now;
    }

    /// Answers a report of a node; `None` if it is old or repeated.
    pub fn answer(
        &mut self,
        node: N,
        boot: u64,
        sequence: u32,
        demand: &Demand,
        now: Time,
    ) -> Option<Grant> {
        let mut book = self.books.remove(&node).unwrap_or_default();
        self.subtract(&book);
        let is_known = book.is_known();
        let accepted = book.accept(boot, sequence, demand, now);
        if accepted && is_known {
            self.level += f64::from(demand.returned);
        }
        let grant = accepted.then(|| self.grant(&mut book, sequence, demand, now));
        self.add(&book);
        self.books.insert(node, book);
        self.clip(now);
        grant
    }

    /// Whether nothing of the account is granted, and all that could be is there.
    pub fn is_idle(&self, now: Time) -> bool {
        let to_full = f64::from(self.limit.capacity) * 1e3 / self.limit.rate_milli.max(1) as f64;
        let full_at =
            self.filled_at + Duration::try_from_secs_f64(to_full).unwrap_or(Duration::MAX / 4);
        now >= full_at && self.books.values().all(|book| is_over(book, now))
    }

    /// Decides on a grant for a node whose book has been subtracted from the sums.
    fn grant(&mut self, book: &mut Book, sequence: u32, demand: &Demand, now: Time) -> Grant {
        let (rate_milli, kept) = if now < self.takeover_ends {
            self.renewed(book, demand, now)
        } else {
            self.share(demand)
        };
        let capacity = u64::from(self.limit.capacity);
        let room = capacity.saturating_sub(self.held.bucket + kept);
        let available = (self.level as u64).min(room);
        let wanted = u64::from(demand.wanted) + u64::from(demand.ahead);
        let tokens = wanted.min(available) as u32;
        self.level -= f64::from(tokens);
        let bucket = u32::try_from(kept + u64::from(tokens)).unwrap_or(u32::MAX);
        book.push(Outstanding {
            sequence,
            rate_milli,
            bucket,
            expires_at: now + lifetime(rate_milli),
        });
        Grant {
            account: demand.account,
            rate_milli,
            bucket,
            tokens,
            wanted: demand.wanted,
            missing: demand.wanted.saturating_sub(tokens),
            of_rate_milli: self.limit.rate_milli,
            of_capacity: self.limit.capacity,
        }
    }

    /// The rate and bucket that a node holds of the former coordinator or of this one.
    fn renewed(&self, book: &mut Book, demand: &Demand, now: Time) -> (u64, u64) {
        if book.is_empty() && demand.held.bucket > 0 {
            book.push(Outstanding {
                sequence: demand.applied,
                rate_milli: demand.held.rate_milli.min(self.limit.rate_milli),
                bucket: demand.held.bucket.min(self.limit.capacity),
                expires_at: now + demand.held.remaining.min(GRANT_LIFETIME),
            });
        }
        let free_rate = self.limit.rate_milli.saturating_sub(self.held.rate_milli);
        let free_capacity = u64::from(self.limit.capacity).saturating_sub(self.held.bucket);
        let rate_milli = demand.held.rate_milli.min(free_rate);
        let bucket = u64::from(demand.held.bucket).min(free_capacity);
        if rate_milli == 0 {
            return (0, 0);
        }
        (rate_milli, bucket)
    }

    /// The rate and bucket of a node by its part of the demand. It gets no more than the rate that it
    /// reports: what it does not use of a higher one would be missing at others, while it gets what it lacks
    /// by asking.
    fn share(&self, demand: &Demand) -> (u64, u64) {
        let demand_milli = (self.demand_milli + demand.rate_milli).max(1) as f64;
        let granted = self.limit.rate_milli as f64 * GRANTED_SHARE;
        let factor = (granted / demand_milli).min(1.0);
        let free_rate = self.limit.rate_milli.saturating_sub(self.held.rate_milli);
        let mut rate_milli = (demand.rate_milli as f64 * factor) as u64;
        let held_milli = demand.held.rate_milli;
        if rate_milli.abs_diff(held_milli) as f64 <= held_milli as f64 * RATE_TOLERANCE {
            rate_milli = held_milli;
        }
        let rate_milli = rate_milli.min(free_rate);
        let kept = (f64::from(self.limit.capacity) * KEPT_SHARE) as u64;
        let free_capacity = kept
            .saturating_sub(self.held.rated_bucket)
            .min(u64::from(self.limit.capacity).saturating_sub(self.held.bucket));
        let mut least_milli = self.limit.high_demand_milli() as f64;
        // A node that has a rate keeps it longer, as each change loses a part of a token.
        if held_milli > 0 {
            least_milli /= 2.0;
        }
        let is_low = (demand.rate_milli.min(rate_milli) as f64) < least_milli;
        if is_low || free_capacity < MIN_BUCKET {
            return (0, 0);
        }
        let part = kept as f64 * demand.rate_milli as f64 / demand_milli;
        let bucket = (part as u64).clamp(MIN_BUCKET, free_capacity);
        (rate_milli, bucket)
    }

    /// Adds the tokens that have come into being and were not granted as rates. The sum of the rates
    /// since the last call was at most what it is now before anything expires.
    fn fill(&mut self, now: Time) {
        let regular_from = self
            .takeover_ends
            .clamp(self.filled_at, now.max(self.filled_at));
        let limited = regular_from.saturating_sub(self.filled_at).as_secs_f64();
        let regular = now.saturating_sub(regular_from).as_secs_f64();
        let free_milli = self.limit.rate_milli.saturating_sub(self.held.rate_milli);
        if limited > 0.0 {
            self.level = (self.level + self.limit.takeover_per_s * limited)
                .min(self.limit.takeover_capacity());
        }
        self.level += free_milli as f64 / 1e3 * regular;
        self.filled_at = self.filled_at.max(now);
    }

    /// Limits the level to what the nodes leave of the capacity.
    fn clip(&mut self, now: Time) {
        let free = u64::from(self.limit.capacity).saturating_sub(self.held.bucket);
        self.level = self.level.min(free as f64);
        if now < self.takeover_ends {
            self.level = self.level.min(self.limit.takeover_capacity());
        }
    }

    fn expire(&mut self, now: Time) {
        (self.held, self.demand_milli, self.next_expiry) = (Held::default(), 0, Time::MAX);
        let mut books = std::mem::take(&mut self.books);
        books.retain(|_, book| {
            book.expire(now);
            !is_over(book, now)
        });
        for book in books.values() {
            self.add(book);
        }
        self.books = books;
    }

    fn add(&mut self, book: &Book) {
        let held = book.held();
        self.held.rate_milli += held.rate_milli;
        self.held.bucket += held.bucket;
        self.held.rated_bucket += held.rated_bucket;
        self.demand_milli += book.demand_milli;
        let forgotten_at = book.heard_at + DEMAND_LIFETIME;
        let next = book
            .next_expiry()
            .map_or(forgotten_at, |at| at.min(forgotten_at));
        self.next_expiry = self.next_expiry.min(next);
    }

    fn subtract(&mut self, book: &Book) {
        let held = book.held();
        self.held.rate_milli -= held.rate_milli;
        self.held.bucket -= held.bucket;
        self.held.rated_bucket -= held.rated_bucket;
        self.demand_milli -= book.demand_milli;
    }
}

/// Whether a node holds nothing, and its demand is forgotten.
fn is_over(book: &Book, now: Time) -> bool {
    book.next_expiry().is_none_or(|at| at <= now) && now >= book.heard_at + DEMAND_LIFETIME
}
