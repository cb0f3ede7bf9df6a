//! Selects a target by the expected value of its response minus the cost of the bytes in transit.
//!
//! A response within its latency objective is worth 1. The expected latency is the sum of queueing
//! time, processing time and round trip. Transfers between availability zones and between regions
//! have a cost per kilobyte. A request therefore stays in its zone as long as that meets its
//! objective, and crosses a billed link only if it would otherwise be late.

use crate::choice::Tier;
use std::time::Duration;

/// Value of a response that arrives after its objective, in units of one timely response.
const LATE_VALUE: f64 = 0.2;

/// Cost of a kilobyte between two availability zones of a region, in units of one timely response.
const CROSS_ZONE_COST_PER_KB: f64 = 0.03;

/// Cost of a kilobyte between two regions, in units of one timely response.
const CROSS_REGION_COST_PER_KB: f64 = 0.12;

/// Headers and framing of each exchange, in kilobytes, which come on top of the bodies.
const OVERHEAD_KB: f64 = 0.4;

/// Ratio of expected latency to the objective or limit up to which a response counts as in time.
const ON_TIME_RATIO: f64 = 0.5;

/// Ratio of expected latency to the objective or limit from which a response counts as late.
const LATE_RATIO: f64 = 1.3;

/// Penalty for a load equal to a target's slots, in units of one timely response; spreads requests
/// over otherwise equal targets.
pub(crate) const BUSY_PENALTY: f64 = 0.05;

/// Penalty for a target that was recently unreachable or refused a request, in units of one timely
/// response.
const AVOID_PENALTY: f64 = 2.0;

/// Difference in expected value within which the choice is random, in units of one timely response.
/// A node knows little of targets that it has sent no request to lately; without chance, all nodes
/// that expect the same of them choose the same one.
pub(crate) const CHANCE_RANGE: f64 = 0.03;

/// One-way network latency to another region.
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(10);

/// A target that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Its distance from this node.
    pub tier: Tier,
    /// Requests in its slots and its queue, as far as this node knows.
    pub load: u32,
    /// Requests that it runs concurrently.
    pub slots: u16,
    /// Mean time that a request of any route holds one of its slots.
    pub mean_hold_time: Duration,
    /// Mean processing time of a request of this route.
    pub processing_time: Duration,
    /// Fraction of its requests that fail, 0 to 1.
    pub failure_rate: f64,
    /// Whether it recently refused a request or was unreachable.
    pub avoided: bool,
}

/// Time limits and size of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Time left until its latency objective.
    pub until_objective: Duration,
    /// Time left until its deadline.
    pub until_deadline: Duration,
    /// Expected size of the request and response bodies together, in kilobytes.
    pub kilobytes: f64,
}

/// Returns the index of the candidate with the highest [`expected_value`]; chance decides between
/// those that differ little.
pub fn choose(
    candidates: &[Candidate],
    request: &Request,
    random: &mut fastrand::Rng,
) -> Option<usize> {
    let values = candidates
        .iter()
        .map(|candidate| expected_value(candidate, request) + CHANCE_RANGE * random.f64());
    values
        .enumerate()
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(index, _)| index)
}

/// The expected value of sending a request to a candidate, in units of one timely response.
pub fn expected_value(candidate: &Candidate, request: &Request) -> f64 {
    let response_value = response_value(expected_latency(candidate), request);
    let utilization = f64::from(candidate.load) / f64::from(candidate.slots.max(1));
    let avoid_penalty = if candidate.avoided {
        AVOID_PENALTY
    } else {
        0.0
    };
    response_value * (1.0 - candidate.failure_rate)
        - transfer_cost(candidate.tier, request.kilobytes)
        - BUSY_PENALTY * utilization
        - avoid_penalty
}

/// The expected value of a response after this time, in units of one timely response.
pub(crate) fn response_value(latency: Duration, request: &Request) -> f64 {
    let latency_s = latency.as_secs_f64();
    let objective_ratio = latency_s / request.until_objective.as_secs_f64().max(0.001);
    let in_time = ((LATE_RATIO - objective_ratio) / (LATE_RATIO - ON_TIME_RATIO)).clamp(0.0, 1.0);
    let limit_ratio = latency_s / request.until_deadline.as_secs_f64().max(0.001);
    let answered = ((LATE_RATIO - limit_ratio) / (LATE_RATIO - ON_TIME_RATIO)).clamp(0.0, 1.0);
    in_time + (1.0 - in_time) * LATE_VALUE * answered
}

/// Expected time from sending a request to receiving the response.
fn expected_latency(candidate: &Candidate) -> Duration {
    let slots = u32::from(candidate.slots.max(1));
    let queued_ahead = (candidate.load + 1).saturating_sub(slots);
    let queueing = candidate
        .mean_hold_time
        .mul_f64(f64::from(queued_ahead) / f64::from(slots));
    queueing + candidate.processing_time + round_trip(candidate.tier)
}

pub(crate) fn round_trip(tier: Tier) -> Duration {
    match tier {
        Tier::OtherRegion => CROSS_REGION_LATENCY * 2,
        Tier::SameZone | Tier::SameRegion => Duration::ZERO,
    }
}

pub(crate) fn transfer_cost(tier: Tier, kilobytes: f64) -> f64 {
    let cost_per_kb = match tier {
        Tier::SameZone => 0.0,
        Tier::SameRegion => CROSS_ZONE_COST_PER_KB,
        Tier::OtherRegion => CROSS_REGION_COST_PER_KB,
    };
    cost_per_kb * (kilobytes + OVERHEAD_KB)
}
