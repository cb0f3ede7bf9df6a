//! Statistics of targets from this node's own requests: load, latency, failures and reachability.

use super::{speeds::Speeds, view::Target, zone_loads::ZoneLoads};
use fulmarreel_balance::{decay::remaining, placement::Candidate};
use fulmarreel_route::Route;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

/// The weight of the newest request in a moving average.
const MEAN_WEIGHT: f64 = 0.15;

/// The time in which a moving average decays half of the way to its route's typical value.
const MEAN_HALF_LIFE: Duration = Duration::from_secs(4);

/// The time in which a target's failure rate decays by half.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);

/// How long a load that a target reported is used.
const REPORTED_LOAD_LIFETIME: Duration = Duration::from_millis(800);

/// The expected latency on a route without any request yet, as a fraction of its latency objective.
const DEFAULT_LATENCY_FRACTION: f64 = 0.4;

/// The delay after the first probe of an unreachable node; it doubles with each probe.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(400);

/// The longest such delay.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(3);

/// Statistics of all targets that this node has sent requests to, or considered for one.
#[derive(Debug, Default)]
pub struct TargetStats {
    inner: Mutex<Inner>,
    /// How fast the targets work.
    pub speeds: Speeds,
    /// How loaded their zones are.
    pub zones: ZoneLoads,
}

#[derive(Debug, Default)]
struct Inner {
    targets: HashMap<SocketAddr, Stats>,
    /// The typical latency of each route over all targets, in seconds.
    typical_latency_s: HashMap<String, f64>,
}

/// Statistics of one target.
#[derive(Debug)]
struct Stats {
    first_seen: Instant,
    /// This node's requests at the target.
    in_flight: u32,
    /// Requests of all nodes at the target, as its last response reported.
    reported_load: u32,
    reported_at: Instant,
    /// How long a request of any route holds a slot.
    slot_time: Option<MovingAverage>,
    latency_by_route: HashMap<String, MovingAverage>,
    /// The fraction of requests that fail, as of `failure_rate_at`.
    failure_rate: f64,
    failure_rate_at: Instant,
    avoided_until: Instant,
    unreachable: bool,
    /// When the node is probed next if it is unreachable.
    next_probe: Instant,
    probe_delay: Duration,
}

/// An exponentially weighted moving average in seconds, as of the time of its newest value.
#[derive(Debug, Clone, Copy)]
struct MovingAverage {
    seconds: f64,
    at: Instant,
}

/// Counts a request as in flight at a target until dropped.
#[derive(Debug)]
pub struct InFlightRequest<'a> {
    targets: &'a TargetStats,
    address: SocketAddr,
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        self.targets.update(self.address, |stats| {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        });
    }
}

impl TargetStats {
    /// What the choice of a target needs to know about it for a route.
    pub fn candidate(&self, target: &Target, route: &Route) -> Candidate {
        let now = Instant::now();
        let mut inner = self.inner.lock().expect("targets lock");
        let typical_s = inner.typical_latency_s.get(&route.name).copied();
        let typical_s =
            typical_s.unwrap_or(route.objective.as_secs_f64() * DEFAULT_LATENCY_FRACTION);
        let stats = inner
            .targets
            .entry(target.address)
            .or_insert_with(|| Stats::new(now));
        let is_fresh = now.saturating_duration_since(stats.reported_at) < REPORTED_LOAD_LIFETIME;
        let reported_load = if is_fresh { stats.reported_load } else { 0 };
        let slot_time_s = stats
            .slot_time
            .map_or(typical_s, |average| average.decayed(typical_s, now));
        let latency_s = stats
            .latency_by_route
            .get(&route.name)
            .map(|average| average.decayed(typical_s, now));
        Candidate {
            tier: target.tier,
            load: stats.in_flight.max(reported_load),
            slots: target.slots,
            mean_hold_time: Duration::from_secs_f64(slot_time_s),
            processing_time: Duration::from_secs_f64(latency_s.unwrap_or(typical_s)),
            failure_rate: stats.failure_rate
                * remaining(stats.failure_rate_at, now, FAILURE_RATE_HALF_LIFE),
            avoided: stats.avoided_until > now,
        }
    }

    /// Counts a request as in flight at a target until the result is dropped.
    pub fn start_request(&self, address: SocketAddr) -> InFlightRequest<'_> {
        self.update(address, |stats| stats.in_flight += 1);
        InFlightRequest {
            targets: self,
            address,
        }
    }

    /// Records a request that a target ran.
    pub fn record_run(&self, address: SocketAddr, route: &str, latency: Duration, failed: bool) {
        let now = Instant::now();
        let latency_s = latency.as_secs_f64();
        if !failed {
            let mut inner = self.inner.lock().expect("targets lock");
            let typical_s = inner
                .typical_latency_s
                .entry(route.to_owned())
                .or_insert(latency_s);
            *typical_s += (latency_s - *typical_s) * MEAN_WEIGHT / 4.0;
        }
        self.update(address, |stats| {
            stats.update_failure_rate(failed, now);
            let average = stats
                .slot_time
                .get_or_insert(MovingAverage::new(latency_s, now));
            average.add(latency_s, now);
            if !failed {
                let average = stats.latency_by_route.entry(route.to_owned());
                average
                    .or_insert(MovingAverage::new(latency_s, now))
                    .add(latency_s, now);
            }
        });
    }

    /// Records a request that a target failed without a response.
    pub fn record_failure(&self, address: SocketAddr) {
        let now = Instant::now();
        self.update(address, |stats| stats.update_failure_rate(true, now));
    }

    /// Records the load that a target reported.
    pub fn record_load(&self, address: SocketAddr, load: u32) {
        self.update(address, |stats| {
            stats.reported_load = load;
            stats.reported_at = Instant::now();
        });
    }

    /// Marks a target as avoided after it refused a request.
    pub fn avoid_until(&self, address: SocketAddr, until: Instant) {
        self.update(address, |stats| stats.avoided_until = until);
    }

    /// Records whether a target's node could be reached.
    pub fn set_reachable(&self, address: SocketAddr, reachable: bool) {
        self.update(address, |stats| {
            if reachable || !stats.unreachable {
                stats.next_probe = Instant::now();
                stats.probe_delay = MIN_PROBE_DELAY;
            }
            stats.unreachable = !reachable;
        });
    }

    /// Whether a target's node could not be reached when this was last tried.
    pub fn is_unreachable(&self, address: SocketAddr) -> bool {
        let inner = self.inner.lock().expect("targets lock");
        let stats = inner.targets.get(&address);
        stats.is_some_and(|stats| stats.unreachable)
    }

    /// The unreachable nodes that are to be probed now; schedules the next probe of each with a longer
    /// delay.
    pub fn take_due_probes(&self, now: Instant) -> Vec<SocketAddr> {
        let mut inner = self.inner.lock().expect("targets lock");
        let unreachable = inner
            .targets
            .iter_mut()
            .filter(|(_, stats)| stats.unreachable);
        let due = unreachable.filter_map(|(address, stats)| {
            if now < stats.next_probe {
                return None;
            }
            stats.next_probe = now + stats.probe_delay;
            stats.probe_delay = (stats.probe_delay * 2).min(MAX_PROBE_DELAY);
            Some(*address)
        });
        due.collect()
    }

    /// Forgets targets whose nodes are no longer known, except those with requests in flight.
    pub fn retain(&self, is_known: impl Fn(SocketAddr) -> bool) {
        self.speeds.retain(&is_known);
        let mut inner = self.inner.lock().expect("targets lock");
        inner
            .targets
            .retain(|address, stats| stats.in_flight > 0 || is_known(*address));
    }

    /// The typical latency of a route's requests over all targets.
    pub fn typical_latency(&self, route: &str) -> Option<Duration> {
        let inner = self.inner.lock().expect("targets lock");
        inner
            .typical_latency_s
            .get(route)
            .copied()
            .map(Duration::from_secs_f64)
    }

    /// How long this node has known a target.
    pub fn known_for(&self, address: SocketAddr) -> Duration {
        let inner = self.inner.lock().expect("targets lock");
        let stats = inner.targets.get(&address);
        stats.map_or(Duration::ZERO, |stats| stats.first_seen.elapsed())
    }

    fn update(&self, address: SocketAddr, update: impl FnOnce(&mut Stats)) {
        let mut inner = self.inner.lock().expect("targets lock");
        let stats = inner.targets.entry(address);
        update(stats.or_insert_with(|| Stats::new(Instant::now())));
    }
}

impl Stats {
    fn new(now: Instant) -> Self {
        Self {
            first_seen: now,
            in_flight: 0,
            reported_load: 0,
            reported_at: now,
            slot_time: None,
            latency_by_route: HashMap::new(),
            failure_rate: 0.0,
            failure_rate_at: now,
            avoided_until: now,
            unreachable: false,
            next_probe: now,
            probe_delay: MIN_PROBE_DELAY,
        }
    }

    fn update_failure_rate(&mut self, failed: bool, now: Instant) {
        let decayed =
            self.failure_rate * remaining(self.failure_rate_at, now, FAILURE_RATE_HALF_LIFE);
        let newest = if failed { 1.0 } else { 0.0 };
        self.failure_rate = decayed + (newest - decayed) * MEAN_WEIGHT;
        self.failure_rate_at = now;
    }
}

impl MovingAverage {
    fn new(seconds: f64, at: Instant) -> Self {
        Self { seconds, at }
    }

    fn add(&mut self, seconds: f64, at: Instant) {
        self.seconds += (seconds - self.seconds) * MEAN_WEIGHT;
        self.at = at;
    }

    /// The average in seconds, decayed towards the typical value with its age.
    fn decayed(&self, typical_s: f64, now: Instant) -> f64 {
        typical_s + (self.seconds - typical_s) * remaining(self.at, now, MEAN_HALF_LIFE)
    }
}
