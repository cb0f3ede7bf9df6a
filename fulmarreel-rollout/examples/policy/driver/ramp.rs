//! A baseline: a fixed ramp without verdicts.

use super::{Driver, Published, Tick};
use crate::case::Case;
use fulmarreel_rollout::{Evidence, state::Phase};

/// Shares of the ramp, one after the other in equal times.
const SHARES: [f64; 7] = [0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0];

/// Part of the time until the deadline after which the last share begins.
const COMPLETE_AT: f64 = 0.9;

/// A fixed ramp.
pub struct Ramp {
    deadline: f64,
    end: u64,
}

impl Driver for Ramp {
    const GUARDED: bool = false;
    const LATENCY: bool = false;

    fn new(case: &Case) -> Self {
        Self {
            deadline: case.seconds_to_hour as f64,
            end: case.seconds_to_hour + case.soak_seconds,
        }
    }

    fn decide(&mut self, tick: &Tick<'_>) -> Published {
        let last = (SHARES.len() - 1) as f64;
        let part = tick.second as f64 / (self.deadline * COMPLETE_AT);
        let share = SHARES[(part * last).min(last) as usize];
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
