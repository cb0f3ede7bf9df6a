//! A small simulated fleet whose calls fail and are slow at given rates.
#![allow(dead_code)] // each test file uses a part of it

use fulmarreel_document::rollout::{FaultThresholds, Timestamp, UnprovenAction};
use fulmarreel_rollout::{
    Comparison, Evidence, Plan, Share,
    evidence::{Route, Tally},
};
use std::time::Duration;

/// When every rollout is declared, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_800_000_000_000;

const FAST_US: u64 = 10_000;
const SLOW_US: u64 = 100_000;

/// The bounds of a fault that most tests use.
pub const FAULT: FaultThresholds = FaultThresholds {
    error_percent: 1.0,
    latency_ratio: 2.0,
};

/// The fractions of calls that fail and that are slow.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rates {
    pub old_errors: f64,
    pub new_errors: f64,
    pub old_slow: f64,
    pub new_slow: f64,
}

/// Twelve nodes with two routes, one for most calls and one for a tenth.
#[derive(Debug, Default)]
pub struct Fleet {
    pub rates: Rates,
    /// Rates of the small route, if they differ.
    pub small_route: Option<Rates>,
    /// A node that reports each call to the new version as failed and slow.
    pub misleading_node: Option<u32>,
    /// Draws events at random; without it they are spread evenly.
    pub rng: Option<fastrand::Rng>,
    /// Number of nodes that call the new version.
    pub callers: u32,
    event_credit: [f64; 8],
    next_caller: u32,
}

impl Fleet {
    pub fn new(rates: Rates) -> Self {
        Self {
            rates,
            callers: 12,
            ..Self::default()
        }
    }

    /// The sum of one second's reports, for these numbers of calls.
    pub fn second(&mut self, old: u64, new: u64) -> Evidence {
        let small = (old / 10, new / 4);
        let mut sum = Evidence::default();
        for (route, old, new) in [(0, old - small.0, new - small.1), (1, small.0, small.1)] {
            sum.merge(&self.route(route, old, new));
        }
        sum.reports = 12;
        sum
    }

    fn route(&mut self, route: Route, old: u64, new: u64) -> Evidence {
        let rates = self
            .small_route
            .filter(|_| route == 1)
            .unwrap_or(self.rates);
        let at = usize::from(route) * 4;
        let mut tally = Tally::default();
        for _ in 0..old {
            let failed = self.event_due(at, rates.old_errors);
            tally.record(failed, latency(self.event_due(at + 1, rates.old_slow)));
        }
        let mut sum = Evidence::report(100, [(route, tally, Tally::default())]);
        for _ in 0..new {
            let node = self.next_caller % self.callers;
            self.next_caller = self.next_caller.wrapping_add(1);
            let misleads = self.misleading_node == Some(node);
            let failed = self.event_due(at + 2, rates.new_errors) || misleads;
            let slow = self.event_due(at + 3, rates.new_slow) || misleads;
            let mut tally = Tally::default();
            tally.record(failed, latency(slow));
            sum.merge(&Evidence::report(node, [(route, Tally::default(), tally)]));
        }
        sum
    }

    /// Whether the next event of a rate is due.
    fn event_due(&mut self, counter: usize, rate: f64) -> bool {
        if let Some(rng) = &mut self.rng {
            return rng.f64() < rate;
        }
        self.event_credit[counter] += rate;
        let is_due = self.event_credit[counter] >= 1.0;
        if is_due {
            self.event_credit[counter] -= 1.0;
        }
        is_due
    }
}

fn latency(slow: bool) -> u64 {
    if slow { SLOW_US } else { FAST_US }
}

/// The time so many seconds after the declaration.
pub fn at(second: u64) -> Timestamp {
    Timestamp(START_MS + second * 1_000)
}

/// Lets a comparison observe a fleet for a range of seconds; `calls` are the calls per second to
/// the old and to the new version.
pub fn observe(
    comparison: &mut Comparison,
    fleet: &mut Fleet,
    step: u64,
    calls: (u64, u64),
    seconds: std::ops::Range<u64>,
) {
    for second in seconds {
        comparison.absorb(&[fleet.second(calls.0, calls.1)], step, at(second));
    }
}

/// A plan whose deadline is so many seconds after the declaration.
pub fn plan(deadline: u64, unproven_at_deadline: UnprovenAction) -> Plan {
    Plan {
        complete_by: at(deadline),
        unproven_share: Share::from_fraction(0.02),
        fault: FAULT,
        unproven_at_deadline,
        soak: Duration::from_secs(300),
        idempotent: false,
    }
}
