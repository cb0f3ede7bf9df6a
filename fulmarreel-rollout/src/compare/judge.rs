//! What the comparison says about the new version.

use super::{
    Clock, Comparison, Track,
    channel::{Channel, Counts, Strength},
};
use crate::{
    evidence::Route,
    state::{Figures, Measure},
};
use fulmarreel_document::shift::Timestamp;
use std::time::Duration;

/// Log-likelihood ratio by the split of bad calls at which a version is bad, for few calls.
const BAD: f64 = 10.0;

/// The same for a version that is still unproven after its deadline.
const BAD_UNPROVEN: f64 = 7.0;

/// Calls to the new version that make up one chance of a false verdict; the bound of a verdict
/// grows with the logarithm of their number.
const CALLS_PER_CHANCE: f64 = 100.0;

/// Log-likelihood ratio by the rate that a verdict needs besides.
const BAD_RATE: f64 = 3.0;

/// Log-likelihood ratio at which a version is doubted.
const DOUBT: f64 = 4.0;

/// Log-likelihood ratio against the old version's earlier rate that calls for a check.
const SUSPICION: f64 = 8.0;

/// Time without any report that is borne in any case.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Calls that should have been reported where nothing was, from which on that is no chance.
const MISSING_CALLS: f64 = 20.0;

/// Log-likelihood ratio that proves a version.
const PROOF: f64 = 3.0;

/// Log-likelihood ratio that lets a version pass where its deadline is near.
const HASTY_PROOF: f64 = 1.0;

impl Comparison {
    /// The evidence on which the version is bad, if it is. Less evidence is enough against a
    /// version that is still unproven after its deadline.
    pub fn verdict(&self, unproven_after_deadline: bool) -> Option<Figures> {
        let bound = if unproven_after_deadline {
            BAD_UNPROVEN
        } else {
            BAD + (1.0 + self.new_calls as f64 / CALLS_PER_CHANCE).ln()
        };
        let judged = self
            .judged()
            .find(|(_, _, strength)| strength.is_bad(bound));
        judged.map(|(route, measure, strength)| figures(route, measure, strength.counts))
    }

    /// Whether the version looks worse without enough evidence for a verdict.
    pub fn doubts(&self) -> bool {
        self.judged()
            .any(|(_, _, strength)| strength.weaker() >= DOUBT)
    }

    /// Whether the version does worse than the old one did earlier.
    pub fn suspects(&self) -> bool {
        self.channels()
            .any(|(_, _, channel, left_out)| channel.history(left_out) >= SUSPICION)
    }

    /// Whether enough calls have proved the version.
    pub fn proves(&self) -> bool {
        self.proof() >= PROOF && !self.doubts()
    }

    /// Whether the calls prove the version well enough where its deadline is near.
    pub fn proves_in_haste(&self) -> bool {
        self.proof() >= HASTY_PROOF && !self.doubts()
    }

    /// The part of the proof that is still missing, from 0 to 1.
    pub fn missing_proof(&self) -> f64 {
        (1.0 - self.proof() / PROOF).clamp(0.0, 1.0)
    }

    /// The weaker of the proofs by errors and by latency.
    fn proof(&self) -> f64 {
        let left_out = self.total.left_out(self.reports);
        let errors = self.total.errors.proof(left_out);
        errors.min(self.total.latency.proof(left_out))
    }

    /// Calls per second of a fleet of so many nodes, once known; reports that were lost are made
    /// up for.
    pub fn calls_per_s(&self, nodes: u32) -> Option<f64> {
        self.calls_per_report_s
            .map(|calls| calls * f64::from(nodes))
    }

    /// Time over which evidence came in since the present step.
    pub fn watched(&self) -> Duration {
        self.step.time
    }

    /// Calls to the new version since the present step.
    pub fn new_calls(&self) -> u64 {
        self.step.new_calls
    }

    /// The last tick.
    pub fn last_tick(&self) -> Timestamp {
        self.clock.last
    }

    /// Whether nothing has come for longer than the service's calls explain.
    pub fn is_silent(&self) -> bool {
        let silence = self.silence();
        let missing = self.reported_per_s * silence.as_secs_f64();
        silence > MAX_SILENCE && missing >= MISSING_CALLS
    }

    /// Time from the last evidence to the last tick.
    pub(super) fn silence(&self) -> Duration {
        let Clock { heard, last, .. } = self.clock;
        Duration::from_millis(last.0.saturating_sub(heard.0))
    }

    /// Since when the ticks came without a jump of the clock or a pause.
    pub fn steady_since(&self) -> Timestamp {
        self.clock.steady_since
    }

    fn judged(&self) -> impl Iterator<Item = (Option<Route>, Measure, Strength)> {
        self.channels().map(|(route, measure, channel, left_out)| {
            (route, measure, channel.strongest(left_out))
        })
    }

    fn channels(&self) -> impl Iterator<Item = (Option<Route>, Measure, &Channel, usize)> {
        let routes = self
            .routes
            .iter()
            .map(|(route, track)| (Some(*route), track));
        let tracks = std::iter::once((None, &self.total)).chain(routes);
        tracks.flat_map(|(route, track): (_, &Track)| {
            let left_out = track.left_out(self.reports);
            [
                (route, Measure::Errors, &track.errors, left_out),
                (route, Measure::Latency, &track.latency, left_out),
            ]
        })
    }
}

impl Strength {
    fn is_bad(&self, bound: f64) -> bool {
        self.split >= bound && self.rate >= BAD_RATE
    }
}

fn figures(route: Option<Route>, measure: Measure, sums: Counts) -> Figures {
    Figures {
        measure,
        route,
        new_calls: sums.new_calls as u64,
        new_bad: sums.new_bad as u64,
        old_calls: sums.old_calls as u64,
        old_bad: sums.old_bad as u64,
    }
}
