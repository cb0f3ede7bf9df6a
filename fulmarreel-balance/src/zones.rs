//! Decides which share of a node's requests for a service leaves its zone, and where they go.
//!
//! The load it answers: the demand of each zone swings by more than half within seconds, out of phase
//! between zones, and a node's knowledge of targets is up to a second old. A share that follows the
//! advantage of leaving in proportion, and is drawn by chance for each request, does not swing back and
//! forth as the choice of the best zone would, and is split over zones by their room, so that not all
//! nodes send to the same one.

use crate::{
    choice::Tier,
    decay::remaining,
    placement::{self, Request, response_value, transfer_cost},
    uneven::{self, Candidate},
};
use std::time::{Duration, Instant};

/// The time in which a newer sample of a zone's load replaces half of the older ones.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(300);

/// The time in which the knowledge of a zone's load without new samples returns half of the way to
/// [`UNKNOWN_BUSY`].
const FORGET_HALF_LIFE: Duration = Duration::from_secs(2);

/// Load per slot that is expected of a zone of which nothing is known: nearly full, so that a zone is
/// first tried by few.
const UNKNOWN_BUSY: f64 = 0.9;

/// Load per slot from which requests wait: loads of a zone's targets are never quite alike.
const WAIT_FROM_BUSY: f64 = 0.9;

/// Load per slot that a refusal shows: as many requests wait as run.
const REFUSED_BUSY: f64 = 2.0;

/// Load per slot up to which a zone has room for requests of others. The rest is left to its own demand,
/// which can rise faster than others learn of it.
const ROOM_UP_TO_BUSY: f64 = 1.1;

/// The room of a full zone, per slot.
const MIN_ROOM: f64 = 0.01;

/// The advantage of leaving, in units of one timely response, at which all requests would leave.
const FULL_ADVANTAGE: f64 = 0.4;

/// The largest part of the requests that leaves. Those that stay show when the zone has recovered.
const MAX_LEAVING: f64 = 0.8;

/// Where all requests have to leave, a zone whose value is lower by this much, in units of one timely
/// response, gets a third as many for the same room.
const FORCED_RANGE: f64 = 0.1;

/// Refusals in the own zone after which a request leaves it if that is worth its cost.
const REFUSALS_TO_LEAVE: usize = 2;

/// The load of a zone's targets, as the responses and refusals that a node got lately tell.
#[derive(Debug, Clone, Copy)]
pub struct ZoneLoad {
    /// Requests that run or wait, per slot.
    busy: f64,
    at: Instant,
}

/// A zone as the decision needs it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Zone {
    /// Its distance from this node.
    pub tier: Tier,
    /// Requests that run or wait, per slot; see [`ZoneLoad::busy`].
    pub busy: f64,
    /// The slots of its usable targets.
    pub slots: u32,
    /// Mean time that a request of any route holds a slot.
    pub hold_time: Duration,
    /// Mean processing time of a request of the route.
    pub processing_time: Duration,
    /// Fraction of the requests of its best target that fail, 0 to 1.
    pub failure_rate: f64,
}

impl ZoneLoad {
    /// The load of a zone of which nothing is known.
    pub fn new(now: Instant) -> Self {
        Self {
            busy: UNKNOWN_BUSY,
            at: now,
        }
    }

    /// Records the load that a target reported.
    pub fn record(&mut self, load: u32, slots: u16, now: Instant) {
        self.add(f64::from(load) / f64::from(slots.max(1)), now);
    }

    /// Records that a target refused a request for lack of room.
    pub fn record_refusal(&mut self, now: Instant) {
        self.add(REFUSED_BUSY, now);
    }

    /// Requests that run or wait, per slot.
    pub fn busy(&self, now: Instant) -> f64 {
        UNKNOWN_BUSY + (self.busy - UNKNOWN_BUSY) * remaining(self.at, now, FORGET_HALF_LIFE)
    }

    fn add(&mut self, sample: f64, now: Instant) {
        // Samples in quick succession count for the time between them, but each has a least weight, since a
        // node may get few.
        let weight = (1.0 - remaining(self.at, now, LOAD_HALF_LIFE)).max(0.03);
        let sample = sample.min(REFUSED_BUSY);
        self.busy += (sample - self.busy) * weight;
        self.at = now;
    }
}

impl Zone {
    /// The expected value of sending a request there, less the cost of its bytes, in units of one timely
    /// response.
    pub fn value(&self, request: &Request) -> f64 {
        let wait = self
            .hold_time
            .mul_f64((self.busy - WAIT_FROM_BUSY).max(0.0));
        let latency = wait + self.processing_time + placement::round_trip(self.tier);
        response_value(latency, request) * (1.0 - self.failure_rate)
            - transfer_cost(self.tier, request.kilobytes)
    }

    /// By how much leaving for this zone is better than staying, as far as it counts.
    fn advantage(&self, request: &Request, stay_value: f64) -> f64 {
        (self.value(request) - stay_value).clamp(0.0, FULL_ADVANTAGE)
    }

    /// The relative number of requests that leave for this zone: by its room, and by its advantage.
    fn weight(&self, request: &Request, stay: Stay) -> f64 {
        let slots = f64::from(self.slots);
        let room = slots * (ROOM_UP_TO_BUSY - self.busy).max(0.0);
        let value = self.value(request);
        match stay {
            _ if self.tier == Tier::SameZone => 0.0,
            Stay::Served(stay_value) => room * self.advantage(request, stay_value),
            Stay::Refused if value <= 0.0 => 0.0,
            // A full zone is tried where nothing else is left.
            Stay::Refused | Stay::NoTarget => {
                room.max(slots * MIN_ROOM) * (value / FORCED_RANGE).exp()
            }
        }
    }
}

/// What becomes of requests that do not leave.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stay {
    /// The own zone serves them, with this expected value.
    Served(f64),
    /// The own zone has refused the request, or lately refuses all.
    Refused,
    /// The own zone has no target.
    NoTarget,
}

/// The share of a node's requests like this one that goes to each zone. The shares add up to 1, or to 0 if
/// there is no zone that is worth the cost. Without a zone of the node's own among them, all leave at any
/// cost.
pub fn shares(zones: &[Zone], request: &Request) -> Vec<f64> {
    let own = zones.iter().find(|zone| zone.tier == Tier::SameZone);
    let stay = match own {
        None => Stay::NoTarget,
        Some(own) if own.slots == 0 => Stay::Refused,
        Some(own) => Stay::Served(own.value(request)),
    };
    let weights: Vec<f64> = zones
        .iter()
        .map(|zone| zone.weight(request, stay))
        .collect();
    let total: f64 = weights.iter().sum();
    let leaving = match stay {
        _ if total <= 0.0 => 0.0,
        Stay::Refused | Stay::NoTarget => 1.0,
        Stay::Served(value) => {
            let reachable = zones
                .iter()
                .zip(&weights)
                .filter(|(_, weight)| **weight > 0.0);
            let advantages = reachable.map(|(zone, _)| zone.advantage(request, value));
            MAX_LEAVING * advantages.fold(0.0, f64::max) / FULL_ADVANTAGE
        }
    };
    let staying = if matches!(stay, Stay::Served(_)) {
        1.0 - leaving
    } else {
        0.0
    };
    let share = |(zone, weight): (&Zone, &f64)| match zone.tier {
        Tier::SameZone => staying,
        _ if leaving == 0.0 => 0.0,
        _ => weight / total * leaving,
    };
    zones.iter().zip(&weights).map(share).collect()
}

/// Returns the index of the candidate that a request is sent to: chance draws the zone by [`shares`], and
/// the best of its targets is chosen. `refusals` counts the targets of each zone that have refused the
/// request. There is none if no other zone is worth the cost, and no target of the own zone is left.
pub fn choose(
    zones: &[Zone],
    refusals: &[usize],
    candidates: &[Candidate],
    request: &Request,
    random: &mut fastrand::Rng,
) -> Option<usize> {
    let mut usable = zones.to_vec();
    for (index, zone) in usable.iter_mut().enumerate() {
        let mut in_zone = candidates.iter().filter(|one| one.zone == index);
        match zone.tier {
            Tier::SameZone if refusals[index] >= REFUSALS_TO_LEAVE => zone.slots = 0,
            Tier::SameZone => {}
            _ if in_zone.all(|one| one.target.avoided) => zone.slots = 0,
            _ if refusals[index] > 0 => zone.busy = REFUSED_BUSY,
            _ => {}
        }
    }
    let drawn = draw(&shares(&usable, request), random);
    let zone = drawn.or_else(|| zones.iter().position(|zone| zone.tier == Tier::SameZone));
    uneven::choose(candidates, request, random, |candidate| {
        zone.is_none_or(|zone| candidate.zone == zone)
    })
}

/// The zone that chance draws by shares.
fn draw(shares: &[f64], random: &mut fastrand::Rng) -> Option<usize> {
    let mut left = random.f64() * shares.iter().sum::<f64>();
    let drawn = shares.iter().position(|share| {
        left -= share;
        left < 0.0
    });
    drawn.or_else(|| shares.iter().rposition(|share| *share > 0.0))
}
