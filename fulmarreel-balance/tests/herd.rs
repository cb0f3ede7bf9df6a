//! Many nodes that each know little of the targets: what the targets' queues and the callers get.

use fulmarreel_balance::{
    admission::{Admission, AdmissionOutcome, Dequeued, QueueDeadlines},
    choice::Tier,
    placement::{Candidate, Request, choose},
};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

const NODES: usize = 190;
const TARGETS: usize = 24;
const SLOTS: u16 = 6;

/// Mean time that a request holds a slot.
const WORK: Duration = Duration::from_millis(220);

/// Fraction of all slots that the requests take up.
const UTILIZATION: f64 = 0.75;

const OBJECTIVE: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(3);

/// How long a node uses a load that a target reported.
const REPORT_LIFETIME: Duration = Duration::from_millis(800);

/// How long a node avoids a target that refused a request.
const AVOIDED: Duration = Duration::from_millis(100);

/// The most targets that a request is offered to.
const MAX_OFFERS: usize = 4;

/// Virtual time that is played.
const LENGTH: Duration = Duration::from_secs(30);

/// Limit on the fraction of offers that targets turn away, at a load that they can bear.
const MAX_TURNED_AWAY: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A request of a node ends at a target.
    End {
        node: usize,
        target: usize,
        held: Duration,
    },
}

/// What a node knows of a target.
#[derive(Debug, Clone, Copy)]
struct Knowledge {
    load: u32,
    reported_at: Instant,
    avoided_until: Instant,
}

struct Fleet {
    now: Instant,
    random: fastrand::Rng,
    targets: Vec<Admission<usize>>,
    known: HashMap<(usize, usize), Knowledge>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    scheduled: u64,
    offers: usize,
    turned_away: usize,
    requests: usize,
    not_run: usize,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            now: Instant::now(),
            random: fastrand::Rng::with_seed(seed),
            targets: (0..TARGETS).map(|_| Admission::new(SLOTS)).collect(),
            known: HashMap::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            offers: 0,
            turned_away: 0,
            requests: 0,
            not_run: 0,
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        let entry = (self.now + after, self.scheduled, event);
        self.events.push(Reverse(entry));
    }

    fn play(&mut self) {
        let end = self.now + LENGTH;
        self.schedule(Duration::ZERO, Event::Arrival);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival if at < end => self.arrive(),
                Event::Arrival => {}
                Event::End { node, target, held } => self.end(node, target, held),
            }
        }
    }

    fn arrive(&mut self) {
        let slots = f64::from(SLOTS) * TARGETS as f64;
        let interval = WORK.div_f64(slots * UTILIZATION);
        let next = interval.mul_f64(-self.random.f64().max(1e-9).ln());
        self.schedule(next, Event::Arrival);
        self.requests += 1;
        let node = self.random.usize(..NODES);
        let mut tried = Vec::new();
        while tried.len() < MAX_OFFERS {
            let untried: Vec<usize> = (0..TARGETS).filter(|t| !tried.contains(t)).collect();
            let candidates: Vec<Candidate> = untried
                .iter()
                .map(|target| self.candidate(node, *target))
                .collect();
            let request = Request {
                until_objective: OBJECTIVE,
                until_deadline: DEADLINE,
                kilobytes: 1.0,
            };
            let target =
                untried[choose(&candidates, &request, &mut self.random).expect("a target")];
            tried.push(target);
            if self.offer(node, target) {
                return;
            }
        }
        self.not_run += 1;
    }

    fn candidate(&self, node: usize, target: usize) -> Candidate {
        let known = self.known.get(&(node, target));
        let is_fresh = |known: &&Knowledge| self.now < known.reported_at + REPORT_LIFETIME;
        Candidate {
            tier: Tier::SameRegion,
            load: known.filter(is_fresh).map_or(0, |known| known.load),
            slots: SLOTS,
            mean_hold_time: WORK,
            processing_time: WORK,
            failure_rate: 0.0,
            avoided: known.is_some_and(|known| known.avoided_until > self.now),
        }
    }

    /// Offers a request to a target; returns whether it is run there.
    fn offer(&mut self, node: usize, target: usize) -> bool {
        self.offers += 1;
        let deadlines = QueueDeadlines {
            wanted: self.now + OBJECTIVE - WORK * 2,
            latest: self.now + DEADLINE - WORK,
        };
        match self.targets[target].admit_ranked(self.now, 1, deadlines, node) {
            AdmissionOutcome::Admitted(node) => self.run(node, target),
            AdmissionOutcome::Queued(_) => {}
            AdmissionOutcome::Refused(_) => {
                self.turned_away += 1;
                let until = self.now + AVOIDED;
                self.knowledge(node, target).avoided_until = until;
                return false;
            }
        }
        true
    }

    fn run(&mut self, node: usize, target: usize) {
        let held = WORK.mul_f64(0.5 + self.random.f64());
        self.schedule(held, Event::End { node, target, held });
    }

    fn end(&mut self, node: usize, target: usize, held: Duration) {
        for dequeued in self.targets[target].release_slot(self.now, held) {
            if let Dequeued::Admitted(next) = dequeued {
                self.run(next, target);
            }
        }
        let load = self.targets[target].in_flight() as u32;
        let now = self.now;
        let known = self.knowledge(node, target);
        known.load = load;
        known.reported_at = now;
    }

    fn knowledge(&mut self, node: usize, target: usize) -> &mut Knowledge {
        let now = self.now;
        let known = self.known.entry((node, target));
        known.or_insert(Knowledge {
            load: 0,
            reported_at: now - REPORT_LIFETIME,
            avoided_until: now,
        })
    }
}

/// Fails if nodes that know nothing of most targets all choose the same ones, which then turn requests
/// away while others are free. The load: 190 nodes, each with a request every 0.4 s, for 24 targets
/// three quarters of whose slots are taken.
#[test]
fn nodes_that_know_little_spread_their_requests() {
    let mut fleet = Fleet::new(31);
    fleet.play();
    let turned_away = fleet.turned_away as f64 / fleet.offers as f64;
    println!(
        "{} requests, {} not run, {turned_away:.3} of offers turned away",
        fleet.requests, fleet.not_run
    );
    assert!(turned_away < MAX_TURNED_AWAY, "{turned_away:.3}");
    assert!(
        fleet.not_run * 1_000 < fleet.requests,
        "{} not run",
        fleet.not_run
    );
}
