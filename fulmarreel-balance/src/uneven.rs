//! Selects a target among targets of different speed.
//!
//! The expected time at a target decides, not the number of its requests: each request at a slow target
//! counts for as much as it takes longer there. So slow targets get less, and the waits in the queues of
//! all become alike.

use crate::placement::{self, BUSY_PENALTY, CHANCE_RANGE, Request};

/// A target that a request may be sent to, and how fast it works.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The target, with times as expected at its speed.
    pub target: placement::Candidate,
    /// How long work takes there, relative to typical work.
    pub slowness: f64,
    /// The number of its zone among those of the service's targets.
    pub zone: usize,
}

/// Returns the index of the candidate with the highest [`expected_value`] among those that are allowed;
/// chance decides between those that differ little.
pub fn choose(
    candidates: &[Candidate],
    request: &Request,
    random: &mut fastrand::Rng,
    is_allowed: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let allowed = candidates.iter().enumerate();
    allowed
        .filter(|(_, candidate)| is_allowed(candidate))
        .map(|(index, candidate)| {
            let value = expected_value(candidate, request) + CHANCE_RANGE * random.f64();
            (index, value)
        })
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(index, _)| index)
}

/// The expected value of sending a request to a candidate, in units of one timely response.
pub fn expected_value(candidate: &Candidate, request: &Request) -> f64 {
    let target = &candidate.target;
    let slots = f64::from(target.slots.max(1));
    let load = f64::from(target.load);
    // The base value has a penalty for the number of requests. It is replaced by one for their work, this
    // request included.
    let correction = (load + 1.0) / slots * candidate.slowness - load / slots;
    placement::expected_value(target, request) - BUSY_PENALTY * correction
}
