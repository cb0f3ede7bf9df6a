//! Accounts that get far less than their share, which priorities alone would allow.

use crate::decay::remaining;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The time in which counts decay by half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// An account is starved if the served fraction of its requests is below this part of the fraction over
/// all accounts. Leaves a margin above the guaranteed quarter.
const STARVED_FRACTION: f64 = 0.35;

/// An account that gets this part of its weighted share is not starved, however much it asks for.
const ENOUGH_OF_SHARE: f64 = 0.5;

/// An account with fewer recent requests than this, counted with decay, is not considered starved. A single
/// request counts for 5 s.
const MIN_ASKED: f64 = 0.7;

/// Accounts whose count of requests has decayed below this are forgotten.
const MIN_COUNT: f64 = 0.01;

/// The most accounts that are counted.
const MAX_ACCOUNTS: usize = 16_384;

/// New work of each account that was decided on, and that was served, with decay.
#[derive(Debug, Default)]
pub struct Shares {
    total: Count,
    /// The sum of the weights in `accounts`.
    total_weight: f64,
    accounts: HashMap<u64, Count>,
    next_cleaning: Option<Instant>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    asked: f64,
    served: f64,
    weight: f64,
    at: Option<Instant>,
}

impl Shares {
    /// Counts a request that got a slot or was refused.
    pub fn record(&mut self, now: Instant, account: u64, weight: f64, is_served: bool) {
        self.clean(now);
        let count = self.accounts.entry(account).or_default();
        self.total_weight += weight - count.weight;
        count.weight = weight;
        for count in [count, &mut self.total] {
            count.decay(now);
            count.asked += 1.0;
            count.served += if is_served { 1.0 } else { 0.0 };
        }
    }

    /// Whether an account gets far less than its share.
    pub fn is_starved(&self, now: Instant, account: u64) -> bool {
        let Some(mut count) = self.accounts.get(&account).copied() else {
            return false;
        };
        let mut total = self.total;
        count.decay(now);
        total.decay(now);
        if count.asked < MIN_ASKED {
            return false;
        }
        let weighted_share = total.served * count.weight / self.total_weight.max(count.weight);
        count.served / count.asked < STARVED_FRACTION * total.served / total.asked.max(1.0)
            && count.served < ENOUGH_OF_SHARE * weighted_share
    }

    /// Forgets accounts that sent nothing for long, once in each half-life.
    fn clean(&mut self, now: Instant) {
        let is_due = self.next_cleaning.is_none_or(|next| next <= now);
        if !is_due && self.accounts.len() < MAX_ACCOUNTS {
            return;
        }
        self.next_cleaning = Some(now + HALF_LIFE);
        self.accounts.retain(|_, count| {
            count.decay(now);
            count.asked >= MIN_COUNT
        });
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.clear();
        }
        self.total_weight = self.accounts.values().map(|count| count.weight).sum();
    }
}

impl Count {
    fn decay(&mut self, now: Instant) {
        if let Some(at) = self.at {
            let factor = remaining(at, now, HALF_LIFE);
            self.asked *= factor;
            self.served *= factor;
        }
        self.at = Some(now);
    }
}
