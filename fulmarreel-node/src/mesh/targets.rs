//! What this node has itself seen of targets.

use super::view::Target;
use fulmarreel_balance::placement::Candidate;
use fulmarreel_route::Route;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Weight of the newest request in a mean.
const MEAN_WEIGHT: f64 = 0.15;

/// Time after which half of what a mean says beyond the usual is forgotten.
const MEAN_HALF_LIFE: Duration = Duration::from_secs(4);

/// Time after which half of a target's failures are forgotten.
const FAILING_HALF_LIFE: Duration = Duration::from_secs(2);

/// How long a reported load counts.
const REPORT_AGE: Duration = Duration::from_millis(800);

/// The part of its objective that a request is taken to need where nothing is known.
const UNKNOWN_WORK: f64 = 0.4;

/// Pause before a node that could not be reached is probed once more, the first time.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(400);

/// The longest such pause.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(3);

/// What this node has itself seen of targets.
#[derive(Debug, Default)]
pub struct Targets {
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    targets: HashMap<SocketAddr, Record>,
    /// The usual time of a route's requests, in seconds.
    usual: HashMap<String, f64>,
}

#[derive(Debug)]
struct Record {
    first_seen: Instant,
    in_flight: u32,
    reported: u32,
    reported_at: Instant,
    held: Option<Mean>,
    work: HashMap<String, Mean>,
    failing: f64,
    failing_at: Instant,
    avoided_until: Instant,
    unreachable: bool,
    probe_at: Instant,
    probe_pause: Duration,
}

/// A running mean in seconds.
#[derive(Debug, Clone, Copy)]
struct Mean {
    value: f64,
    at: Instant,
}

/// A request that is on its way to a target, until dropped.
#[derive(Debug)]
pub struct Flight<'a> {
    targets: &'a Targets,
    address: SocketAddr,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.targets.change(self.address, |record| {
            record.in_flight = record.in_flight.saturating_sub(1);
        });
    }
}

impl Targets {
    /// What a choice needs to know of a target for a route.
    pub fn candidate(&self, target: &Target, route: &Route) -> Candidate {
        let now = Instant::now();
        let mut seen = self.seen.lock().expect("targets lock");
        let usual = seen.usual.get(&route.name).copied();
        let usual = usual.unwrap_or(route.objective.as_secs_f64() * UNKNOWN_WORK);
        let record = seen
            .targets
            .entry(target.address)
            .or_insert_with(|| Record::new(now));
        let fresh = now.saturating_duration_since(record.reported_at) < REPORT_AGE;
        let reported = if fresh { record.reported } else { 0 };
        let held = record.held.map_or(usual, |mean| mean.faded(usual, now));
        let work = record
            .work
            .get(&route.name)
            .map(|mean| mean.faded(usual, now));
        Candidate {
            tier: target.tier,
            load: record.in_flight.max(reported),
            slots: target.slots,
            held: Duration::from_secs_f64(held),
            work: Duration::from_secs_f64(work.unwrap_or(usual)),
            failing: record.failing * fade(record.failing_at, now, FAILING_HALF_LIFE),
            avoided: record.avoided_until > now,
        }
    }

    /// Notes that a request is on its way.
    pub fn begin(&self, address: SocketAddr) -> Flight<'_> {
        self.change(address, |record| record.in_flight += 1);
        Flight {
            targets: self,
            address,
        }
    }

    /// Notes the end of a request that a target ran.
    pub fn end(&self, address: SocketAddr, route: &str, took: Duration, failed: bool) {
        let now = Instant::now();
        let took = took.as_secs_f64();
        if !failed {
            let mut seen = self.seen.lock().expect("targets lock");
            let usual = seen.usual.entry(route.to_owned()).or_insert(took);
            *usual += (took - *usual) * MEAN_WEIGHT / 4.0;
        }
        self.change(address, |record| {
            record.fail(failed, now);
            let mean = record.held.get_or_insert(Mean::new(took, now));
            mean.add(took, now);
            if !failed {
                let mean = record.work.entry(route.to_owned());
                mean.or_insert(Mean::new(took, now)).add(took, now);
            }
        });
    }

    /// Notes that a request failed at a target without an answer.
    pub fn fail(&self, address: SocketAddr) {
        let now = Instant::now();
        self.change(address, |record| record.fail(true, now));
    }

    /// Notes the load that came with an answer.
    pub fn report(&self, address: SocketAddr, load: u32) {
        self.change(address, |record| {
            record.reported = load;
            record.reported_at = Instant::now();
        });
    }

    /// Notes that a target refused a request.
    pub fn avoid(&self, address: SocketAddr, until: Instant) {
        self.change(address, |record| record.avoided_until = until);
    }

    /// Notes whether a target's node can be reached.
    pub fn reach(&self, address: SocketAddr, reached: bool) {
        self.change(address, |record| {
            if reached || !record.unreachable {
                record.probe_at = Instant::now();
                record.probe_pause = MIN_PROBE_PAUSE;
            }
            record.unreachable = !reached;
        });
    }

    /// Whether a target's node could not be reached.
    pub fn is_unreachable(&self, address: SocketAddr) -> bool {
        let seen = self.seen.lock().expect("targets lock");
        let record = seen.targets.get(&address);
        record.is_some_and(|record| record.unreachable)
    }

    /// Nodes that could not be reached and are to be probed now; each next probe comes later.
    pub fn probes(&self, now: Instant) -> Vec<SocketAddr> {
        let mut seen = self.seen.lock().expect("targets lock");
        let lost = seen
            .targets
            .iter_mut()
            .filter(|(_, record)| record.unreachable);
        let due = lost.filter_map(|(address, record)| {
            if now < record.probe_at {
                return None;
            }
            record.probe_at = now + record.probe_pause;
            record.probe_pause = (record.probe_pause * 2).min(MAX_PROBE_PAUSE);
            Some(*address)
        });
        due.collect()
    }

    /// Forgets targets whose nodes are gone.
    pub fn retain(&self, known: impl Fn(SocketAddr) -> bool) {
        let mut seen = self.seen.lock().expect("targets lock");
        seen.targets
            .retain(|address, record| record.in_flight > 0 || known(*address));
    }

    /// How long requests of a route usually take.
    pub fn usual(&self, route: &str) -> Option<Duration> {
        let seen = self.seen.lock().expect("targets lock");
        seen.usual.get(route).copied().map(Duration::from_secs_f64)
    }

    /// How long this node has known a target.
    pub fn age(&self, address: SocketAddr) -> Duration {
        let seen = self.seen.lock().expect("targets lock");
        let record = seen.targets.get(&address);
        record.map_or(Duration::ZERO, |record| record.first_seen.elapsed())
    }

    fn change(&self, address: SocketAddr, change: impl FnOnce(&mut Record)) {
        let mut seen = self.seen.lock().expect("targets lock");
        let record = seen.targets.entry(address);
        change(record.or_insert_with(|| Record::new(Instant::now())));
    }
}

impl Record {
    fn new(now: Instant) -> Self {
        Self {
            first_seen: now,
            in_flight: 0,
            reported: 0,
            reported_at: now,
            held: None,
            work: HashMap::new(),
            failing: 0.0,
            failing_at: now,
            avoided_until: now,
            unreachable: false,
            probe_at: now,
            probe_pause: MIN_PROBE_PAUSE,
        }
    }

    fn fail(&mut self, failed: bool, now: Instant) {
        let kept = self.failing * fade(self.failing_at, now, FAILING_HALF_LIFE);
        let newest = if failed { 1.0 } else { 0.0 };
        self.failing = kept + (newest - kept) * MEAN_WEIGHT;
        self.failing_at = now;
    }
}

impl Mean {
    fn new(value: f64, at: Instant) -> Self {
        Self { value, at }
    }

    fn add(&mut self, value: f64, at: Instant) {
        self.value += (value - self.value) * MEAN_WEIGHT;
        self.at = at;
    }

    /// The mean, drawn towards the usual value with its age.
    fn faded(&self, usual: f64, now: Instant) -> f64 {
        usual + (self.value - usual) * fade(self.at, now, MEAN_HALF_LIFE)
    }
}

fn fade(since: Instant, now: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(since);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
