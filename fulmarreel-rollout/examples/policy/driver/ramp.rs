//! Baseline: a fixed ramp that rolls nothing back.

use super::{Driver, Published, Tick};
use crate::case::Case;
use fulmarreel_rollout::{Evidence, state::Phase};

/// Shares of the ramp, each kept for the same time.
const SHARES: [f64; 7] = [0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0];

/// Fraction of the time until the deadline at which the last share begins.
const COMPLETION_FRACTION: f64 = 0.9;

/// A fixed ramp.
pub struct Ramp {
    deadline: f64,
    end: u64,
}

impl Driver for Ramp {
    const USES_GUARDS: bool = false;
    const USES_LATENCY: bool = false;

    fn new(case: &Case) -> Self {
        Self {
            deadline: case.seconds_to_hour as f64,
            end: case.seconds_to_hour + case.soak_seconds,
        }
    }

    fn decide(&mut self, tick: &Tick<'_>) -> Published {
        let last = (SHARES.len() - 1) as f64;
        let fraction = tick.second as f64 / (self.deadline * COMPLETION_FRACTION);
        let share = SHARES[(fraction * last).min(last) as usize];
        let phase = if tick.second >= self.end {
            Phase::Completed
        } else {
            Phase::Raising
        };
        Published { share, phase }
    }

    fn report_bytes(_: &Evidence) -> usize {
        0
    }
}
