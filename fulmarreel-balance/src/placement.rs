//! Choice of a target by what an answer is worth, less what its bytes cost on the way.
//!
//! An answer within its objective is worth 1. The expected time is that of the target's queue and
//! of the work itself; bytes between availability zones and regions have their price. So a request
//! stays in its zone while that meets its objective, and crosses a paid link only where it would
//! otherwise be late.

use crate::choice::Tier;
use std::time::Duration;

/// Worth of an answer after its objective.
const LATE_WORTH: f64 = 0.2;

/// Price of a kilobyte between two availability zones of a region, in answers.
const ZONE_PRICE_PER_KB: f64 = 0.03;

/// Price of a kilobyte between two regions, in answers.
const REGION_PRICE_PER_KB: f64 = 0.12;

/// Bytes of head and framing that each exchange carries beside its bodies, in kilobytes.
const OVERHEAD_KB: f64 = 0.4;

/// Expected time as a part of the objective up to which an answer is as good as in time.
const SURE: f64 = 0.5;

/// Expected time as a part of the objective from which on an answer is as good as late.
const HOPELESS: f64 = 1.3;

/// What a target that is as busy as it may be is marked down by, so that equal ones share.
const BUSY_PRICE: f64 = 0.05;

/// What a target that could not be reached, or refused, is marked down by.
const AVOID_PRICE: f64 = 2.0;

/// One-way time to a target of another region.
const REGION_DELAY: Duration = Duration::from_millis(10);

/// A target that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// How far it is.
    pub tier: Tier,
    /// Requests in its slots and its queue, as far as known.
    pub load: u32,
    /// Its slots.
    pub slots: u16,
    /// How long it holds a slot for any request.
    pub held: Duration,
    /// How long it takes for a request of this route.
    pub work: Duration,
    /// The part of its requests that fail, 0 to 1.
    pub failing: f64,
    /// Whether it refused or could not be reached a moment ago.
    pub avoided: bool,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Time left within which its answer is worth most.
    pub objective: Duration,
    /// Time left until it is given up.
    pub limit: Duration,
    /// Bytes of its bodies in both directions, in kilobytes.
    pub kilobytes: f64,
}

/// The best of the candidates, by [`value`].
pub fn choose(candidates: &[Candidate], request: &Request) -> Option<usize> {
    let values = candidates.iter().map(|candidate| value(candidate, request));
    values
        .enumerate()
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(index, _)| index)
}

/// What a request is expected to be worth at a candidate, in answers within their objective.
pub fn value(candidate: &Candidate, request: &Request) -> f64 {
    let expected = expected(candidate).as_secs_f64();
    let lateness = expected / request.objective.as_secs_f64().max(0.001);
    let in_time = ((HOPELESS - lateness) / (HOPELESS - SURE)).clamp(0.0, 1.0);
    let used = expected / request.limit.as_secs_f64().max(0.001);
    let answered = ((HOPELESS - used) / (HOPELESS - SURE)).clamp(0.0, 1.0);
    let worth = in_time + (1.0 - in_time) * LATE_WORTH * answered;
    let busy = f64::from(candidate.load) / f64::from(candidate.slots.max(1));
    let avoided = if candidate.avoided { AVOID_PRICE } else { 0.0 };
    worth * (1.0 - candidate.failing)
        - price(candidate.tier, request.kilobytes)
        - BUSY_PRICE * busy
        - avoided
}

/// The time from the choice to the answer.
fn expected(candidate: &Candidate) -> Duration {
    let slots = u32::from(candidate.slots.max(1));
    let ahead = (candidate.load + 1).saturating_sub(slots);
    let waiting = candidate.held.mul_f64(f64::from(ahead) / f64::from(slots));
    let delay = match candidate.tier {
        Tier::Remote => REGION_DELAY * 2,
        Tier::Zone | Tier::Region => Duration::ZERO,
    };
    waiting + candidate.work + delay
}

fn price(tier: Tier, kilobytes: f64) -> f64 {
    let per_kb = match tier {
        Tier::Zone => 0.0,
        Tier::Region => ZONE_PRICE_PER_KB,
        Tier::Remote => REGION_PRICE_PER_KB,
    };
    per_kb * (kilobytes + OVERHEAD_KB)
}
