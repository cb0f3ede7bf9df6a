//! What this node has learned of the speed of targets, from its own requests.

use super::view::Target;
use fulmarreel_balance::{Speed, placement, uneven};
use fulmarreel_platform::request;
use fulmarreel_route::Route;
use fulmarreel_wire::call::Header;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// The weight of the newest request in the typical work of a route or service.
const TYPICAL_WEIGHT: f64 = 0.04;

/// A target that is first seen later than this after the process's start has itself just started. Earlier,
/// the process may only have learned of it.
const INITIAL_TIME: Duration = Duration::from_secs(5);

/// The speeds of targets, and the typical work of routes and services.
#[derive(Debug)]
pub struct Speeds {
    /// Whether a target has told how long work takes on its machine.
    are_reported: AtomicBool,
    started: Instant,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The speed of the target of each node, with the target's id.
    speeds: HashMap<SocketAddr, (String, Speed)>,
    /// How long work of each route takes at typical speed, in seconds.
    work_s: HashMap<String, f64>,
    /// How long a request of any route holds a slot at typical speed, by service, in seconds.
    hold_s: HashMap<String, f64>,
}

impl Default for Speeds {
    fn default() -> Self {
        Self {
            are_reported: AtomicBool::new(false),
            started: Instant::now(),
            inner: Mutex::default(),
        }
    }
}

impl Speeds {
    /// Whether a target has told how long work takes on its machine.
    pub fn are_reported(&self) -> bool {
        self.are_reported.load(Ordering::Relaxed)
    }

    /// The candidate with times as expected at the target's speed; `zone` is the number of its zone.
    pub fn candidate(
        &self,
        candidate: placement::Candidate,
        target: &Target,
        route: &Route,
        service: &str,
        zone: usize,
    ) -> uneven::Candidate {
        let now = Instant::now();
        let mut inner = self.inner.lock().expect("speeds lock");
        let slowness = inner.speed(target, self.started, now).factor(now);
        let at_speed = |typical_s: Option<&f64>, default: Duration| match typical_s {
            Some(typical_s) => Duration::from_secs_f64(typical_s * slowness),
            None => default,
        };
        uneven::Candidate {
            target: placement::Candidate {
                processing_time: at_speed(
                    inner.work_s.get(&route.name),
                    candidate.processing_time.mul_f64(slowness),
                ),
                mean_hold_time: at_speed(
                    inner.hold_s.get(service),
                    candidate.mean_hold_time.mul_f64(slowness),
                ),
                ..candidate
            },
            slowness,
            zone,
        }
    }

    /// Records a response of a target: what it reports of its speed, and how long its work took if the
    /// target has run the request without an error.
    pub fn record(
        &self,
        target: &Target,
        route: &str,
        service: &str,
        headers: &[Header],
        took: Option<Duration>,
    ) {
        let now = Instant::now();
        let mut inner = self.inner.lock().expect("speeds lock");
        let reported = request::work_factor(
            headers
                .iter()
                .map(|header| (header.name.as_str(), header.value.as_slice())),
        );
        let speed = inner.speed(target, self.started, now);
        if let Some(factor) = reported {
            self.are_reported.store(true, Ordering::Relaxed);
            speed.report(factor, now);
        }
        if let Some(took_s) = took.map(|took| took.as_secs_f64()) {
            inner.record_work(target, route, service, took_s, now);
        }
    }

    /// Forgets targets whose nodes are no longer known.
    pub fn retain(&self, is_known: impl Fn(SocketAddr) -> bool) {
        let mut inner = self.inner.lock().expect("speeds lock");
        inner.speeds.retain(|address, _| is_known(*address));
    }
}

impl Inner {
    /// The speed of a target; another run at the same address starts anew.
    fn speed(&mut self, target: &Target, process_start: Instant, now: Instant) -> &mut Speed {
        let is_start = now.saturating_duration_since(process_start) > INITIAL_TIME;
        let unknown = || (target.id.clone(), Speed::new(now, is_start.then_some(now)));
        let known = self.speeds.entry(target.address).or_insert_with(unknown);
        if known.0 != target.id {
            *known = unknown();
        }
        &mut known.1
    }

    fn record_work(
        &mut self,
        target: &Target,
        route: &str,
        service: &str,
        took_s: f64,
        now: Instant,
    ) {
        let Some((_, speed)) = self.speeds.get_mut(&target.address) else {
            return;
        };
        let typical_s = self.work_s.get(route).copied();
        let work_s = match typical_s {
            Some(typical_s) => speed.record(took_s, typical_s, now),
            None => took_s / speed.factor(now),
        };
        for (key, means) in [(route, &mut self.work_s), (service, &mut self.hold_s)] {
            match means.get_mut(key) {
                Some(mean) => *mean += (work_s - *mean) * TYPICAL_WEIGHT,
                None => _ = means.insert(key.to_owned(), work_s),
            }
        }
    }
}
