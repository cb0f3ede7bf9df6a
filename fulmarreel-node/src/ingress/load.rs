//! What this node has itself seen of targets.

use crate::{settings::Settings, state::Candidate};
use fulmarreel_balance::choice::{self, Tier};
use fulmarreel_wire::call::Head;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Time after which a target that was new to this node has its full share.
const WARM_UP: Duration = Duration::from_secs(5);

/// Share of its part that a new target starts with.
const COLD_SHARE: f64 = 0.1;

/// How long a target that refused or could not be reached is avoided.
const AVOID: Duration = Duration::from_millis(500);

/// How long a reported load counts.
const REPORT_AGE: Duration = Duration::from_millis(500);

/// What this node has itself seen of targets.
#[derive(Debug, Default)]
pub(super) struct Loads {
    targets: Mutex<HashMap<SocketAddr, Load>>,
}

#[derive(Debug)]
struct Load {
    in_flight: u32,
    reported: u16,
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
        let weighed: Vec<choice::Candidate> = {
            let mut targets = self.targets.lock().expect("loads lock");
            let weighed = candidates.iter().map(|candidate| {
                let load = targets
                    .entry(candidate.address)
                    .or_insert_with(|| Load::new(now));
                let mut weighed = load.weigh(tier(candidate, settings), candidate.slots, now);
                weighed.avoided |= candidate.suspect;
                weighed
            });
            weighed.collect()
        };
        let chosen = fastrand::Rng::with_seed(fastrand::u64(..));
        let index = choice::choose(&weighed, &mut { chosen })?;
        Some(candidates[index].address)
    }

    /// Notes that a call is on its way.
    pub fn begin(&self, target: SocketAddr) {
        self.change(target, |load| load.in_flight += 1);
    }

    /// Notes that a call has ended.
    pub fn end(&self, target: SocketAddr) {
        self.change(target, |load| {
            load.in_flight = load.in_flight.saturating_sub(1);
        });
    }

    /// Notes the load that came with an answer.
    pub fn report(&self, target: SocketAddr, head: &Head) {
        self.change(target, |load| {
            load.reported = head.in_flight;
            load.reported_at = Instant::now();
        });
    }

    /// Notes that a target refused a call or could not be reached.
    pub fn avoid(&self, target: SocketAddr) {
        let until = Instant::now() + AVOID;
        self.change(target, |load| load.avoided_until = until);
    }

    fn change(&self, target: SocketAddr, change: impl FnOnce(&mut Load)) {
        let mut targets = self.targets.lock().expect("loads lock");
        if let Some(load) = targets.get_mut(&target) {
            change(load);
        }
    }
}

impl Load {
    fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            reported: 0,
            reported_at: now,
            first_seen: now,
            avoided_until: now,
        }
    }

    fn weigh(&self, tier: Tier, slots: u16, now: Instant) -> choice::Candidate {
        let age = now.saturating_duration_since(self.first_seen);
        let warmed = age.as_secs_f64() / WARM_UP.as_secs_f64();
        let fresh = now.saturating_duration_since(self.reported_at) < REPORT_AGE;
        choice::Candidate {
            tier,
            in_flight: self.in_flight,
            reported: if fresh { self.reported } else { 0 },
            slots,
            warmth: (COLD_SHARE + (1.0 - COLD_SHARE) * warmed).min(1.0),
            avoided: self.avoided_until > now,
        }
    }
}

fn tier(candidate: &Candidate, settings: &Settings) -> Tier {
    if candidate.zone == settings.zone {
        Tier::Zone
    } else if candidate.region == settings.region {
        Tier::Region
    } else {
        Tier::Remote
    }
}
