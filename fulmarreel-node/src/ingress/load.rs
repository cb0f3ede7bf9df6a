//! The load of targets as this node observes it.

use crate::{settings::Settings, state::Candidate};
use fulmarreel_balance::choice::{self, Tier};
use fulmarreel_wire::call::Head;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Time after which a target that is new to this node gets its full share of calls.
const WARM_UP: Duration = Duration::from_secs(5);

/// The fraction of its full share of calls that a new target starts with.
const COLD_SHARE: f64 = 0.1;

/// How long a target that refused or could not be reached is avoided.
const AVOID_TIME: Duration = Duration::from_millis(500);

/// How long a reported load is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// The load of targets as this node observes it.
#[derive(Debug, Default)]
pub(super) struct Loads {
    targets: Mutex<HashMap<SocketAddr, TargetLoad>>,
}

#[derive(Debug)]
struct TargetLoad {
    /// Calls of this node that are pending at the target.
    in_flight: u32,
    /// Calls that run or wait at the target, as its last response reported.
    reported_in_flight: u16,
    reported_at: Instant,
    first_seen: Instant,
    avoided_until: Instant,
}

impl Loads {
    /// Chooses one of the candidates for a call.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = &'a Candidate>,
        settings: &Settings,
    ) -> Option<SocketAddr> {
        let now = Instant::now();
        let candidates: Vec<&Candidate> = candidates.collect();
        let choices: Vec<choice::Candidate> = {
            let mut targets = self.targets.lock().expect("loads lock");
            let choices = candidates.iter().map(|candidate| {
                let load = targets
                    .entry(candidate.address)
                    .or_insert_with(|| TargetLoad::new(now));
                let mut choice = load.to_candidate(tier(candidate, settings), candidate.slots, now);
                choice.avoided |= candidate.suspect;
                choice
            });
            choices.collect()
        };
        let rng = fastrand::Rng::with_seed(fastrand::u64(..));
        let index = choice::choose(&choices, &mut { rng })?;
        Some(candidates[index].address)
    }

    /// Counts a call that is being sent to the target.
    pub fn begin(&self, target: SocketAddr) {
        self.update(target, |load| load.in_flight += 1);
    }

    /// Counts a call as ended.
    pub fn end(&self, target: SocketAddr) {
        self.update(target, |load| {
            load.in_flight = load.in_flight.saturating_sub(1);
        });
    }

    /// Records the load that a response reported.
    pub fn report(&self, target: SocketAddr, head: &Head) {
        self.update(target, |load| {
            load.reported_in_flight = head.in_flight;
            load.reported_at = Instant::now();
        });
    }

    /// Avoids a target for [`AVOID_TIME`], since it refused a call or could not be reached.
    pub fn avoid(&self, target: SocketAddr) {
        let until = Instant::now() + AVOID_TIME;
        self.update(target, |load| load.avoided_until = until);
    }

    fn update(&self, target: SocketAddr, update: impl FnOnce(&mut TargetLoad)) {
        let mut targets = self.targets.lock().expect("loads lock");
        if let Some(load) = targets.get_mut(&target) {
            update(load);
        }
    }
}

impl TargetLoad {
    fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            reported_in_flight: 0,
            reported_at: now,
            first_seen: now,
            avoided_until: now,
        }
    }

    fn to_candidate(&self, tier: Tier, slots: u16, now: Instant) -> choice::Candidate {
        let age = now.saturating_duration_since(self.first_seen);
        let warm_up_progress = age.as_secs_f64() / WARM_UP.as_secs_f64();
        let report_is_current = now.saturating_duration_since(self.reported_at) < MAX_REPORT_AGE;
        choice::Candidate {
            tier,
            in_flight: self.in_flight,
            reported_load: if report_is_current {
                self.reported_in_flight
            } else {
                0
            },
            slots,
            warmth: (COLD_SHARE + (1.0 - COLD_SHARE) * warm_up_progress).min(1.0),
            avoided: self.avoided_until > now,
        }
    }
}

fn tier(candidate: &Candidate, settings: &Settings) -> Tier {
    if candidate.zone == settings.zone {
        Tier::SameZone
    } else if candidate.region == settings.region {
        Tier::SameRegion
    } else {
        Tier::OtherRegion
    }
}
