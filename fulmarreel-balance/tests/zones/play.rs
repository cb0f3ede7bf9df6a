//! Four zones of nodes and targets, in two regions, whose demand swings out of phase.

use fulmarreel_balance::{
    admission::{Admission, AdmissionOutcome, Dequeued, QueueDeadlines},
    choice::Tier,
    placement::{self, Request},
    uneven::Candidate,
    zones::{self, Zone, ZoneLoad},
};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    f64::consts::TAU,
    time::{Duration, Instant},
};

pub const ZONES: usize = 4;
const NODES_PER_ZONE: usize = 16;
const TARGETS_PER_ZONE: usize = 8;
const SLOTS: u16 = 4;

/// How much longer work takes at the targets of a zone than the mean.
const SLOWNESS: [f64; TARGETS_PER_ZONE] = [0.55, 0.7, 0.85, 0.95, 1.05, 1.15, 1.3, 1.45];

/// Mean time that a request holds a slot.
const WORK: Duration = Duration::from_millis(220);
const OBJECTIVE: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(2);

/// The demand of a zone swings by this fraction, in waves of this length.
const SWING: f64 = 0.55;
const WAVE_S: f64 = 17.0;

/// How long a node uses a load that a target reported.
const REPORT_LIFETIME: Duration = Duration::from_millis(800);

/// How long a node avoids a target that refused a request.
const AVOIDED: Duration = Duration::from_millis(100);

const MAX_OFFERS: usize = 4;

/// Virtual time that is played.
const LENGTH_S: f64 = 68.0;

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The target with the highest expected value, in whichever zone.
    BestTarget,
    /// First the zone, by shares.
    Shares,
}

/// What callers got.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    pub timely: u32,
    pub late: u32,
    pub not_run: u32,
    pub turned_away: u32,
    pub latencies_ms: Vec<u32>,
    /// Kilobytes that crossed to another zone of the region, and to another region.
    pub crossed_kb: [f64; 2],
    /// Requests that left each zone for each other, by tenths of a second.
    pub left: Vec<[[u32; ZONES]; ZONES]>,
}

impl Outcome {
    /// The part of the requests that were answered in time.
    pub fn timely_part(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.requests)
    }

    /// The time within which this part of the responses came.
    pub fn latency_ms(&self, part: f64) -> u32 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        sorted[((sorted.len() - 1) as f64 * part) as usize]
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        zone: usize,
    },
    End {
        call: Call,
        target: usize,
        held: Duration,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    node: usize,
    started: Instant,
}

/// What a node knows of a target.
#[derive(Debug, Clone, Copy)]
struct Knowledge {
    load: u32,
    own: u32,
    reported_at: Option<Instant>,
    avoided_until: Instant,
}

pub struct Play {
    policy: Policy,
    utilization: f64,
    kilobytes: f64,
    start: Instant,
    now: Instant,
    random: fastrand::Rng,
    targets: Vec<Admission<Call>>,
    known: HashMap<(usize, usize), Knowledge>,
    zone_loads: HashMap<(usize, usize), ZoneLoad>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    scheduled: u64,
    outcome: Outcome,
}

fn zone_of_target(target: usize) -> usize {
    target / TARGETS_PER_ZONE
}

fn zone_of_node(node: usize) -> usize {
    node / NODES_PER_ZONE
}

fn tier(from: usize, to: usize) -> Tier {
    match (from == to, from / 2 == to / 2) {
        (true, _) => Tier::SameZone,
        (_, true) => Tier::SameRegion,
        _ => Tier::OtherRegion,
    }
}

impl Play {
    pub fn new(policy: Policy, utilization: f64, kilobytes: f64, seed: u64) -> Self {
        let now = Instant::now();
        Self {
            policy,
            utilization,
            kilobytes,
            start: now,
            now,
            random: fastrand::Rng::with_seed(seed),
            targets: (0..ZONES * TARGETS_PER_ZONE)
                .map(|_| Admission::new(SLOTS))
                .collect(),
            known: HashMap::new(),
            zone_loads: HashMap::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        for zone in 0..ZONES {
            self.schedule(Duration::ZERO, Event::Arrival { zone });
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival { zone } if self.elapsed_s() < LENGTH_S => self.arrive(zone),
                Event::Arrival { .. } => {}
                Event::End { call, target, held } => self.end(call, target, held),
            }
        }
        self.outcome
    }

    fn elapsed_s(&self) -> f64 {
        self.now.saturating_duration_since(self.start).as_secs_f64()
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events
            .push(Reverse((self.now + after, self.scheduled, event)));
    }

    fn arrive(&mut self, zone: usize) {
        let phase = TAU * (self.elapsed_s() / WAVE_S + zone as f64 / ZONES as f64);
        let demand = self.utilization * (1.0 + SWING * phase.sin());
        let capacity_per_s: f64 = SLOWNESS
            .iter()
            .map(|slow| f64::from(SLOTS) / slow)
            .sum::<f64>()
            / WORK.as_secs_f64();
        let interval_s = -self.random.f64().max(1e-9).ln() / (capacity_per_s * demand);
        self.schedule(Duration::from_secs_f64(interval_s), Event::Arrival { zone });
        self.outcome.requests += 1;
        let node = zone * NODES_PER_ZONE + self.random.usize(..NODES_PER_ZONE);
        let call = Call {
            node,
            started: self.now,
        };
        let mut tried = Vec::new();
        while tried.len() < MAX_OFFERS {
            let Some(target) = self.choose(node, &tried) else {
                break;
            };
            tried.push(target);
            if self.offer(call, target) {
                return self.record_crossing(zone, zone_of_target(target));
            }
        }
        self.outcome.not_run += 1;
    }

    fn record_crossing(&mut self, from: usize, to: usize) {
        let tenth = (self.elapsed_s() * 10.0) as usize;
        self.outcome.left.resize(tenth + 1, Default::default());
        self.outcome.left[tenth][from][to] += 1;
        match tier(from, to) {
            Tier::SameZone => {}
            Tier::SameRegion => self.outcome.crossed_kb[0] += self.kilobytes + 0.4,
            Tier::OtherRegion => self.outcome.crossed_kb[1] += self.kilobytes + 0.4,
        }
    }

    fn choose(&mut self, node: usize, tried: &[usize]) -> Option<usize> {
        let request = Request {
            until_objective: OBJECTIVE,
            until_deadline: DEADLINE,
            kilobytes: self.kilobytes,
        };
        let untried: Vec<usize> = (0..self.targets.len())
            .filter(|target| !tried.contains(target))
            .collect();
        let candidates: Vec<Candidate> = untried
            .iter()
            .map(|target| self.candidate(node, *target))
            .collect();
        let chosen = match self.policy {
            Policy::BestTarget => {
                let targets: Vec<placement::Candidate> = candidates
                    .iter()
                    .map(|candidate| candidate.target)
                    .collect();
                placement::choose(&targets, &request, &mut self.random)
            }
            Policy::Shares => {
                let zones: Vec<Zone> = (0..ZONES).map(|zone| self.zone(node, zone)).collect();
                let refused_in = |zone: usize| {
                    tried
                        .iter()
                        .filter(|target| zone_of_target(**target) == zone)
                        .count()
                };
                let refusals: Vec<usize> = (0..ZONES).map(refused_in).collect();
                zones::choose(&zones, &refusals, &candidates, &request, &mut self.random)
            }
        };
        chosen.map(|index| untried[index])
    }

    fn zone(&self, node: usize, zone: usize) -> Zone {
        let load = self.zone_loads.get(&(node, zone));
        let load = load.copied().unwrap_or(ZoneLoad::new(self.now));
        Zone {
            tier: tier(zone_of_node(node), zone),
            busy: load.busy(self.now),
            slots: u32::from(SLOTS) * TARGETS_PER_ZONE as u32,
            hold_time: WORK,
            processing_time: WORK,
            failure_rate: 0.0,
        }
    }

    fn candidate(&self, node: usize, target: usize) -> Candidate {
        let known = self.known.get(&(node, target));
        let load = known.map_or(0, |known| {
            let is_fresh = known
                .reported_at
                .is_some_and(|at| self.now < at + REPORT_LIFETIME);
            if is_fresh {
                known.load.max(known.own)
            } else {
                known.own
            }
        });
        let slowness = SLOWNESS[target % TARGETS_PER_ZONE];
        Candidate {
            target: placement::Candidate {
                tier: tier(zone_of_node(node), zone_of_target(target)),
                load,
                slots: SLOTS,
                mean_hold_time: WORK.mul_f64(slowness),
                processing_time: WORK.mul_f64(slowness),
                failure_rate: 0.0,
                avoided: known.is_some_and(|known| known.avoided_until > self.now),
            },
            slowness,
            zone: zone_of_target(target),
        }
    }

    /// Offers a request to a target; returns whether it is run there.
    fn offer(&mut self, call: Call, target: usize) -> bool {
        let work = WORK.mul_f64(SLOWNESS[target % TARGETS_PER_ZONE]);
        let deadlines = QueueDeadlines {
            wanted: self.now
                + OBJECTIVE
                    .saturating_sub(work * 2)
                    .max(OBJECTIVE.mul_f64(0.2)),
            latest: self.now + DEADLINE - work,
        };
        match self.targets[target].admit_ranked(self.now, 1, deadlines, call) {
            AdmissionOutcome::Admitted(call) => self.start(call, target),
            AdmissionOutcome::Queued(_) => {}
            AdmissionOutcome::Refused(_) => {
                self.outcome.turned_away += 1;
                let now = self.now;
                self.knowledge(call.node, target).avoided_until = now + AVOIDED;
                self.zone_load(call.node, target).record_refusal(now);
                return false;
            }
        }
        self.knowledge(call.node, target).own += 1;
        true
    }

    fn start(&mut self, call: Call, target: usize) {
        let slowness = SLOWNESS[target % TARGETS_PER_ZONE];
        let held = WORK.mul_f64(slowness * (0.5 + self.random.f64()));
        self.schedule(held, Event::End { call, target, held });
    }

    fn end(&mut self, call: Call, target: usize, held: Duration) {
        for dequeued in self.targets[target].release_slot(self.now, held) {
            match dequeued {
                Dequeued::Admitted(next) => self.start(next, target),
                Dequeued::Expired(call) => {
                    self.outcome.late += 1;
                    self.knowledge(call.node, target).own -= 1;
                }
            }
        }
        let load = self.targets[target].in_flight() as u32;
        let now = self.now;
        let known = self.knowledge(call.node, target);
        known.own -= 1;
        known.load = load;
        known.reported_at = Some(now);
        self.zone_load(call.node, target).record(load, SLOTS, now);
        let crossing = match tier(zone_of_node(call.node), zone_of_target(target)) {
            Tier::OtherRegion => Duration::from_millis(16),
            Tier::SameZone | Tier::SameRegion => Duration::from_millis(1),
        };
        let latency = now - call.started + crossing;
        self.outcome.latencies_ms.push(latency.as_millis() as u32);
        if latency <= OBJECTIVE {
            self.outcome.timely += 1;
        } else {
            self.outcome.late += 1;
        }
    }

    fn knowledge(&mut self, node: usize, target: usize) -> &mut Knowledge {
        let known = self.known.entry((node, target));
        known.or_insert(Knowledge {
            load: 0,
            own: 0,
            reported_at: None,
            avoided_until: self.now,
        })
    }

    fn zone_load(&mut self, node: usize, target: usize) -> &mut ZoneLoad {
        let load = self.zone_loads.entry((node, zone_of_target(target)));
        load.or_insert(ZoneLoad::new(self.now))
    }
}
