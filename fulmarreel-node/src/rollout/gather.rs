//! Reports of other nodes, added up until they are passed on or decided upon.

use super::Move;
use fulmarreel_document::shift::Timestamp;
use fulmarreel_rollout::{Evidence, evidence::Tally};
use std::collections::BTreeMap;

/// Sums that wait for the owner's next decision; more are dropped, as where a former owner is
/// still sent them.
const MAX_SUMS: usize = 1_024;

/// What a node has been sent of a move.
#[derive(Debug, Default)]
pub struct Gathered {
    /// Reports of nodes in this availability zone, not yet passed on.
    zone: Evidence,
    /// Sums of availability zones, for the owner to decide upon.
    fleet: Vec<Evidence>,
    /// When each availability zone's latest sum arrived.
    heard: BTreeMap<String, Timestamp>,
}

impl Move {
    /// Takes this node's own tallies since the last time, if there are any.
    pub fn take_own(&self, reporter: u32) -> Option<Evidence> {
        let mut progress = self.progress.lock().expect("progress lock");
        let tallies = std::mem::take(&mut progress.tallies);
        drop(progress);
        let seen = |tally: &Tally| tally.calls > 0;
        let routes = tallies
            .into_iter()
            .map(|(route, sides)| (route, sides.old, sides.new))
            .filter(|(_, old, new)| seen(old) || seen(new));
        let evidence = Evidence::report(reporter, routes);
        (!evidence.routes.is_empty()).then_some(evidence)
    }

    /// Adds a report of a node in this availability zone.
    pub fn add_node(&self, evidence: &Evidence) {
        let mut gathered = self.gathered.lock().expect("gathered lock");
        gathered.zone.merge(evidence);
    }

    /// Takes the sum of this availability zone since the last time.
    pub fn take_zone(&self) -> Evidence {
        let mut gathered = self.gathered.lock().expect("gathered lock");
        std::mem::take(&mut gathered.zone)
    }

    /// Adds the sum of an availability zone.
    pub fn add_zone(&self, zone: &str, evidence: Evidence, now: Timestamp) {
        let mut gathered = self.gathered.lock().expect("gathered lock");
        if evidence.reports > 0 && gathered.fleet.len() < MAX_SUMS {
            gathered.fleet.push(evidence);
        }
        gathered.heard.insert(zone.to_owned(), now);
    }

    /// Takes the sums of all availability zones since the last time.
    pub fn take_fleet(&self) -> Vec<Evidence> {
        let mut gathered = self.gathered.lock().expect("gathered lock");
        std::mem::take(&mut gathered.fleet)
    }

    /// The latest time by which more than half of the availability zones had reported.
    pub fn heard_until(&self, zones: &[String]) -> Timestamp {
        let gathered = self.gathered.lock().expect("gathered lock");
        let heard = |zone: &String| gathered.heard.get(zone).copied();
        let mut times: Vec<Timestamp> = zones
            .iter()
            .map(|zone| heard(zone).unwrap_or(Timestamp(0)))
            .collect();
        times.sort_unstable();
        // With an even number the earlier of the two middle ones: more than half are as late.
        let index = times.len().saturating_sub(1) / 2;
        times.get(index).copied().unwrap_or(Timestamp(0))
    }
}
