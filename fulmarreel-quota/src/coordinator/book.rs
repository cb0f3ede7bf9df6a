//! What one node may hold of one account, as far as the coordinator knows.

use crate::{Time, message::Demand};

/// The highest demand of a node that is taken into account, so that sums over all nodes cannot overflow.
const MAX_DEMAND_MILLI: u64 = 1 << 40;

/// The grants to one process of a node that may be in force.
#[derive(Debug, Default)]
pub(super) struct Book {
    /// When the process started.
    boot: u64,
    /// The number of the last report that was handled.
    sequence: u32,
    /// Each of these may be the one that the node spends from; it spends from one only.
    outstanding: Vec<Outstanding>,
    /// Demand in thousandths of a request per second.
    pub demand_milli: u64,
    /// When the last report arrived.
    pub heard_at: Time,
}

/// A grant that may be in force.
#[derive(Debug)]
pub(super) struct Outstanding {
    /// The number of the report that it answered.
    pub sequence: u32,
    pub rate_milli: u64,
    pub bucket: u32,
    pub expires_at: Time,
}

/// The most that a node may hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Held {
    pub rate_milli: u64,
    pub bucket: u64,
    /// The bucket under a grant with a rate.
    pub rated_bucket: u64,
}

impl Book {
    /// Takes a report into account; `false` if it is old, repeated, or of a former process. Grants to a
    /// former process are gone with it.
    pub fn accept(&mut self, boot: u64, sequence: u32, demand: &Demand, now: Time) -> bool {
        if boot < self.boot || (boot == self.boot && sequence <= self.sequence) {
            return false;
        }
        if boot > self.boot {
            self.outstanding.clear();
        }
        (self.boot, self.sequence) = (boot, sequence);
        self.demand_milli = demand.rate_milli.min(MAX_DEMAND_MILLI);
        self.heard_at = now;
        self.outstanding
            .retain(|grant| grant.sequence >= demand.applied);
        true
    }

    /// Whether a report was handled before. Otherwise the next one may be a repeated one that a forgotten
    /// book had handled, and the tokens that it gives back do not count.
    pub fn is_known(&self) -> bool {
        self.sequence > 0
    }

    /// Whether no grant may be in force.
    pub fn is_empty(&self) -> bool {
        self.outstanding.is_empty()
    }

    /// Adds a grant.
    pub fn push(&mut self, grant: Outstanding) {
        self.outstanding.push(grant);
    }

    /// Drops the grants that have expired.
    pub fn expire(&mut self, now: Time) {
        self.outstanding.retain(|grant| now < grant.expires_at);
    }

    /// When the next grant expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.outstanding.iter().map(|grant| grant.expires_at).min()
    }

    /// The most that the node may hold: it spends from one of the outstanding grants.
    pub fn held(&self) -> Held {
        let outstanding = self.outstanding.iter();
        outstanding.fold(Held::default(), |held, grant| {
            let bucket = u64::from(grant.bucket);
            let rated_bucket = if grant.rate_milli > 0 { bucket } else { 0 };
            Held {
                rate_milli: held.rate_milli.max(grant.rate_milli),
                bucket: held.bucket.max(bucket),
                rated_bucket: held.rated_bucket.max(rated_bucket),
            }
        })
    }
}
