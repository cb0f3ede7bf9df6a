//! What the comparison concludes about the new version.

use super::{
    Clock, Comparison, RouteTests,
    measure::{Counts, MeasureTests, Strength},
};
use crate::{
    evidence::Route,
    state::{Figures, Measure},
};
use fulmarreel_document::rollout::Timestamp;
use std::time::Duration;

/// Log-likelihood ratio by the split of bad calls at which a version is bad after few calls.
const BAD_SPLIT_LLR: f64 = 10.0;

/// The same for a version that is still unproven after its deadline.
const BAD_SPLIT_LLR_UNPROVEN: f64 = 7.0;

/// Calls to the new version that give one more chance of a false verdict; the bound of a verdict
/// grows with the logarithm of their number.
const CALLS_PER_CHANCE: f64 = 100.0;

/// Log-likelihood ratio by the rate of bad calls that a verdict needs as well.
const BAD_RATE_LLR: f64 = 3.0;

/// Log-likelihood ratio at which a version is doubtful.
const DOUBT_LLR: f64 = 4.0;

/// Log-likelihood ratio, by the old version's earlier rate, at which a version is suspect and needs
/// a check.
const SUSPICION_LLR: f64 = 8.0;

/// Time without any report that is tolerated whatever the call rate.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Number of missing calls from which on silence is not due to chance.
const MIN_MISSING_CALLS: f64 = 20.0;

/// Log-likelihood ratio at which a version is proven.
const PROOF_LLR: f64 = 3.0;

/// Log-likelihood ratio at which a version is proven well enough if its deadline is near.
const HASTY_PROOF_LLR: f64 = 1.0;

impl Comparison {
    /// The figures that show the version to be bad, if it is. Less evidence is enough against a
    /// version that is still unproven after its deadline.
    pub fn verdict(&self, unproven_after_deadline: bool) -> Option<Figures> {
        let bound = if unproven_after_deadline {
            BAD_SPLIT_LLR_UNPROVEN
        } else {
            BAD_SPLIT_LLR + (1.0 + self.new_calls as f64 / CALLS_PER_CHANCE).ln()
        };
        let bad = self
            .strengths()
            .find(|(_, _, strength)| strength.is_bad(bound));
        bad.map(|(route, measure, strength)| figures(route, measure, strength.counts))
    }

    /// Whether the version looks worse without enough evidence for a verdict.
    pub fn is_doubtful(&self) -> bool {
        self.strengths()
            .any(|(_, _, strength)| strength.weaker_llr() >= DOUBT_LLR)
    }

    /// Whether the version does worse than the old one did earlier.
    pub fn is_suspect(&self) -> bool {
        self.tests()
            .any(|(_, _, tests, excluded)| tests.history(excluded) >= SUSPICION_LLR)
    }

    /// Whether enough calls have proved the version.
    pub fn is_proven(&self) -> bool {
        self.proof() >= PROOF_LLR && !self.is_doubtful()
    }

    /// Whether the calls prove the version well enough where its deadline is near.
    pub fn is_proven_in_haste(&self) -> bool {
        self.proof() >= HASTY_PROOF_LLR && !self.is_doubtful()
    }

    /// The fraction of the proof that is still missing, from 0 to 1.
    pub fn missing_proof(&self) -> f64 {
        (1.0 - self.proof() / PROOF_LLR).clamp(0.0, 1.0)
    }

    /// The weaker of the proofs by errors and by latency.
    fn proof(&self) -> f64 {
        let excluded = self.all_routes.excluded_reporters(self.last_reports);
        let errors = self.all_routes.errors.proof(excluded);
        errors.min(self.all_routes.latency.proof(excluded))
    }

    /// Calls per second of a fleet of `nodes` nodes, once known. It is extrapolated from the
    /// reports that arrived, so lost reports do not lower it.
    pub fn calls_per_s(&self, nodes: u32) -> Option<f64> {
        self.calls_per_node_s.map(|calls| calls * f64::from(nodes))
    }

    /// Time over which evidence has arrived since the present step began.
    pub fn observed_time(&self) -> Duration {
        self.step.observed_time
    }

    /// Calls to the new version since the present step began.
    pub fn new_calls(&self) -> u64 {
        self.step.new_calls
    }

    /// Time of the last tick.
    pub fn last_tick(&self) -> Timestamp {
        self.clock.last_tick
    }

    /// Whether no evidence has come for longer than the service's call rate explains.
    pub fn is_silent(&self) -> bool {
        let silence = self.silence();
        let missing_calls = self.reported_calls_per_s * silence.as_secs_f64();
        silence > MAX_SILENCE && missing_calls >= MIN_MISSING_CALLS
    }

    /// Time from the last evidence to the last tick.
    pub(super) fn silence(&self) -> Duration {
        let Clock {
            last_evidence,
            last_tick,
            ..
        } = self.clock;
        Duration::from_millis(last_tick.0.saturating_sub(last_evidence.0))
    }

    /// Time since which the ticks have come without a clock jump or a pause.
    pub fn steady_since(&self) -> Timestamp {
        self.clock.steady_since
    }

    fn strengths(&self) -> impl Iterator<Item = (Option<Route>, Measure, Strength)> {
        self.tests()
            .map(|(route, measure, tests, excluded)| (route, measure, tests.strongest(excluded)))
    }

    fn tests(&self) -> impl Iterator<Item = (Option<Route>, Measure, &MeasureTests, usize)> {
        let routes = self
            .routes
            .iter()
            .map(|(route, route_tests)| (Some(*route), route_tests));
        let all_tests = std::iter::once((None, &self.all_routes)).chain(routes);
        all_tests.flat_map(|(route, route_tests): (_, &RouteTests)| {
            let excluded = route_tests.excluded_reporters(self.last_reports);
            [
                (route, Measure::Errors, &route_tests.errors, excluded),
                (route, Measure::Latency, &route_tests.latency, excluded),
            ]
        })
    }
}

impl Strength {
    fn is_bad(&self, bound: f64) -> bool {
        self.split >= bound && self.rate >= BAD_RATE_LLR
    }
}

fn figures(route: Option<Route>, measure: Measure, counts: Counts) -> Figures {
    Figures {
        measure,
        route,
        new_calls: counts.new_calls as u64,
        new_bad: counts.new_bad as u64,
        old_calls: counts.old_calls as u64,
        old_bad: counts.old_bad as u64,
    }
}
