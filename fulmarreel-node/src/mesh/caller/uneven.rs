//! The choice among targets of uneven speed: first the zone, then the target by its expected time.

use super::{Request, RequestHandler, offer::Offers};
use crate::{
    mesh::{
        serve::order,
        view::{Target, View},
    },
    telemetry::metrics,
};
use fulmarreel_balance::{
    choice::Tier,
    placement,
    uneven::Candidate,
    zones::{self, Zone},
};
use std::{sync::Arc, time::Duration};

/// The zones of the targets that a request may be sent to or was offered to. The vectors have one element
/// for each zone.
#[derive(Debug, Default)]
struct Zones<'a> {
    names: Vec<&'a str>,
    tiers: Vec<Tier>,
    /// The number of targets to which the request was offered.
    refusals: Vec<usize>,
}

impl<'a> Zones<'a> {
    /// The number of a target's zone, which is added if it is new.
    fn number(&mut self, target: &'a Target) -> usize {
        let known = self.names.iter().position(|name| *name == target.zone);
        known.unwrap_or_else(|| {
            self.names.push(&target.zone);
            self.tiers.push(target.tier);
            self.refusals.push(0);
            self.names.len() - 1
        })
    }
}

impl RequestHandler {
    /// Whether speeds and zones decide: targets report how long work takes, or the configuration has
    /// accounts or routes with large bodies.
    pub(super) fn is_uneven(&self, view: &View) -> bool {
        self.targets.speeds.are_reported() || view.table.as_deref().is_some_and(order::is_active)
    }

    /// Chooses among targets by their zones and by the time that is expected at their speeds; returns the
    /// target's index.
    pub(super) fn choose_uneven(
        &self,
        view: &View,
        request: &Request<'_>,
        offers: &Offers,
        usable: &[&Arc<Target>],
        candidates: &[placement::Candidate],
        placement_request: &placement::Request,
    ) -> Option<usize> {
        let mut zones = Zones::default();
        let offered = view.targets(request.service).iter();
        for target in offered.filter(|target| offers.addresses.contains(&target.address)) {
            let zone = zones.number(target);
            zones.refusals[zone] += 1;
        }
        let (route, service) = (request.route, request.service);
        let mut at_speed = Vec::with_capacity(candidates.len());
        for (target, candidate) in usable.iter().zip(candidates) {
            let zone = zones.number(target);
            let speeds = &self.targets.speeds;
            at_speed.push(speeds.candidate(*candidate, target, route, service, zone));
        }
        let candidates = at_speed;
        let states: Vec<Zone> = (0..zones.names.len())
            .map(|zone| self.zone(request, &zones, zone, &candidates))
            .collect();
        let random = &mut fastrand::Rng::new();
        let refusals = &zones.refusals;
        let chosen = zones::choose(&states, refusals, &candidates, placement_request, random)?;
        count_leaving(request, &zones, &candidates[chosen]);
        Some(chosen)
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

    /// The state of a zone, with the mean times of its candidates.
    fn zone(
        &self,
        request: &Request<'_>,
        zones: &Zones<'_>,
        number: usize,
        candidates: &[Candidate],
    ) -> Zone {
        let of_zone = |candidate: &&Candidate| candidate.zone == number;
        let targets = || candidates.iter().filter(of_zone).map(|one| &one.target);
        let count = targets().count().max(1) as u32;
        let mean = |time: fn(&placement::Candidate) -> Duration| {
            targets().map(time).sum::<Duration>() / count
        };
        Zone {
            tier: zones.tiers[number],
            busy: self
                .targets
                .zones
                .busy(request.service, zones.names[number]),
            slots: targets().map(|target| u32::from(target.slots)).sum(),
            hold_time: mean(|target| target.mean_hold_time),
            processing_time: mean(|target| target.processing_time),
            failure_rate: targets()
                .map(|target| target.failure_rate)
                .fold(1.0, f64::min),
        }
    }
}

/// Counts a request that leaves the zone, with the reason.
fn count_leaving(request: &Request<'_>, zones: &Zones<'_>, chosen: &Candidate) {
    if chosen.target.tier == Tier::SameZone {
        return;
    }
    let own = zones.tiers.iter().position(|tier| *tier == Tier::SameZone);
    let reason = match own.map(|own| zones.refusals[own]) {
        None => "no-target",
        Some(0) => "wait",
        Some(_) => "refused",
    };
    metrics::left_zone(request.service, reason);
}
