//! The choice among targets of uneven speed.

use super::{Request, RequestHandler};
use crate::mesh::view::{Target, View};
use fulmarreel_balance::{placement, uneven};
use std::{sync::Arc, time::Duration};

impl RequestHandler {
    /// Whether speeds and zones decide: targets report how long work takes, or the configuration has
    /// accounts or routes with large bodies.
    pub(super) fn is_uneven(&self, view: &View) -> bool {
        let has_mixed_load =
            |table: &fulmarreel_route::Table| !table.accounts.is_empty() || table.has_bulk_routes();
        self.targets.speeds.are_reported() || view.table.as_deref().is_some_and(has_mixed_load)
    }

    /// Chooses among targets by the time that is expected at their speeds; returns its index.
    pub(super) fn choose_uneven(
        &self,
        request: &Request<'_>,
        usable: &[&Arc<Target>],
        candidates: &[placement::Candidate],
        placement_request: &placement::Request,
    ) -> Option<usize> {
        let at_speed = |(target, candidate): (&&Arc<Target>, &placement::Candidate)| {
            let (route, service) = (request.route, request.service);
            let speeds = &self.targets.speeds;
            speeds.candidate(*candidate, target, route, service, 0)
        };
        let candidates: Vec<uneven::Candidate> =
            usable.iter().zip(candidates).map(at_speed).collect();
        let random = &mut fastrand::Rng::new();
        uneven::choose(&candidates, placement_request, random, |_| true)
    }

    /// How long a target is expected to work on a request.
    pub(super) fn expected_work(
        &self,
        view: &View,
        request: &Request<'_>,
        target: &Target,
    ) -> Duration {
        let candidate = self.targets.candidate(target, request.route);
        if !self.is_uneven(view) {
            return candidate.processing_time;
        }
        let (route, service) = (request.route, request.service);
        let speeds = &self.targets.speeds;
        let candidate = speeds.candidate(candidate, target, route, service, 0);
        candidate.target.processing_time
    }
}
