//! Sums of reports, the same in any order.

use super::{Evidence, Loudest, MAX_LOUDEST, Pair, Tally, bucket_floor_us};

impl Evidence {
    /// Adds another sum to this one.
    pub fn merge(&mut self, other: &Self) {
        self.reports = self.reports.saturating_add(other.reports);
        for (route, pair) in &other.routes {
            self.routes.entry(*route).or_default().merge(pair);
        }
    }

    /// The sum over all routes.
    pub fn total(&self) -> Pair {
        self.routes.values().fold(Pair::default(), |mut sum, pair| {
            sum.merge(pair);
            sum
        })
    }
}

impl Pair {
    /// Adds another sum of the same route to this one.
    pub fn merge(&mut self, other: &Self) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
        self.reporters |= other.reporters;
        keep_loudest(&mut self.failing, &other.failing, |tally| tally.errors);
        keep_loudest(&mut self.slowest, &other.slowest, Tally::time_us);
    }
}

impl Tally {
    /// Adds another tally to this one.
    pub fn merge(&mut self, other: &Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.errors = self.errors.saturating_add(other.errors);
        for (sum, count) in self.latency.iter_mut().zip(other.latency) {
            *sum = sum.saturating_add(count);
        }
    }

    /// The least time that these calls took together, in microseconds.
    fn time_us(&self) -> u64 {
        let times = self.latency.iter().enumerate();
        times.fold(0, |sum: u64, (index, count)| {
            sum.saturating_add(count.saturating_mul(bucket_floor_us(index)))
        })
    }
}

/// Keeps the reporters of the largest scores; the reporter's hash and its tally break ties.
fn keep_loudest(kept: &mut Vec<Loudest>, others: &[Loudest], score: fn(&Tally) -> u64) {
    for other in others {
        let own = score(&other.new);
        let louder = |kept: &Loudest| {
            let scores = score(&kept.new).cmp(&own);
            scores.then_with(|| rank(kept).cmp(&rank(other))).is_ge()
        };
        let position = kept.partition_point(louder);
        if position < MAX_LOUDEST {
            kept.truncate(MAX_LOUDEST - 1);
            kept.insert(position, other.clone());
        }
    }
}

fn rank(loudest: &Loudest) -> (u64, u32, u64, &[u64]) {
    let new = &loudest.new;
    (new.calls, loudest.reporter, new.errors, &new.latency)
}
