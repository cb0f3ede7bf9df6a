//! Collects this node's own results and other nodes' reports until they are passed on or used for a
//! decision.

use super::Rollout;
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{Evidence, evidence::Tally};
use std::collections::BTreeMap;

/// Limit of the zone sums that wait for the owner's next decision. Further ones are dropped, as on
/// a former owner that still receives sums and no longer decides.
const MAX_PENDING_SUMS: usize = 1_024;

/// Evidence on one rollout that other nodes have sent to this one.
#[derive(Debug, Default)]
pub struct CollectedEvidence {
    /// Sum of the reports of nodes in this availability zone, not yet sent to the owner.
    own_zone: Evidence,
    /// Sums of availability zones that the owner has not used for a decision yet.
    zone_sums: Vec<Evidence>,
    /// When the latest sum of each availability zone arrived.
    arrived_at: BTreeMap<String, Timestamp>,
}

impl Rollout {
    /// Removes and returns this node's own tallies as a report, if there are any calls in them.
    ///
    /// `reporter` identifies this node in the report.
    pub fn take_own_report(&self, reporter: u32) -> Option<Evidence> {
        let mut progress = self.progress.lock().expect("progress lock");
        let tallies = std::mem::take(&mut progress.tallies);
        drop(progress);
        let has_calls = |tally: &Tally| tally.calls > 0;
        let routes = tallies
            .into_iter()
            .map(|(route, route_tallies)| (route, route_tallies.old, route_tallies.new))
            .filter(|(_, old, new)| has_calls(old) || has_calls(new));
        let evidence = Evidence::report(reporter, routes);
        (!evidence.routes.is_empty()).then_some(evidence)
    }

    /// Adds the report of a node in this availability zone.
    pub fn add_node_report(&self, evidence: &Evidence) {
        let mut collected = self.collected.lock().expect("collected lock");
        collected.own_zone.merge(evidence);
    }

    /// Removes and returns the sum of this availability zone.
    pub fn take_zone_sum(&self) -> Evidence {
        let mut collected = self.collected.lock().expect("collected lock");
        std::mem::take(&mut collected.own_zone)
    }

    /// Adds the sum of an availability zone, for the owner's next decision.
    pub fn add_zone_sum(&self, zone: &str, evidence: Evidence, now: Timestamp) {
        let mut collected = self.collected.lock().expect("collected lock");
        if evidence.reports > 0 && collected.zone_sums.len() < MAX_PENDING_SUMS {
            collected.zone_sums.push(evidence);
        }
        collected.arrived_at.insert(zone.to_owned(), now);
    }

    /// Removes and returns the sums of all availability zones.
    pub fn take_zone_sums(&self) -> Vec<Evidence> {
        let mut collected = self.collected.lock().expect("collected lock");
        std::mem::take(&mut collected.zone_sums)
    }

    /// The latest time at or after which more than half of `zones` have sent a sum.
    pub fn evidence_until(&self, zones: &[String]) -> Timestamp {
        let collected = self.collected.lock().expect("collected lock");
        let latest_sum_at = |zone: &String| collected.arrived_at.get(zone).copied();
        let mut times: Vec<Timestamp> = zones
            .iter()
            .map(|zone| latest_sum_at(zone).unwrap_or(Timestamp(0)))
            .collect();
        times.sort_unstable();
        // With an even number of zones, the earlier of the two middle times, so that more than half
        // are as late.
        let index = times.len().saturating_sub(1) / 2;
        times.get(index).copied().unwrap_or(Timestamp(0))
    }
}
