//! Fewer new runs of the own target while the calls that it makes are refused for lack of room.
//!
//! A run counts as wasted if the target answers it with a server error soon after a call of the target was
//! refused.

use fulmarreel_balance::overload::{Refusals, Throttle};
use fulmarreel_route::Route;
use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// The lowest status by which a target says that it failed.
const FIRST_SERVER_ERROR: u16 = 500;

/// What the refusals of the own target's calls say about the runs that can be started.
#[derive(Debug, Default)]
pub(super) struct Feedback {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    throttle: Throttle,
    refusals: Refusals,
}

impl Feedback {
    /// Records the arrival of a request that the own target may have sent.
    pub fn record_arrival(&self, now: Instant, route: &Route, is_target_idle: bool) {
        let refusals = &mut self.lock().refusals;
        refusals.record_arrival(now, &route.name, is_target_idle);
    }

    /// Records that a request was refused for lack of room, and returns whether it is taken for a call of
    /// the own target.
    pub fn record_refusal(&self, now: Instant, route: &Route) -> bool {
        self.lock().refusals.record(now, &route.name)
    }

    /// Whether a run of a route may be started.
    ///
    /// # Errors
    ///
    /// It may not; the delay after which its request is told to come back.
    pub fn check(&self, now: Instant, route: &Route) -> Result<(), Duration> {
        self.lock().throttle.check(now, &route.name)
    }

    /// Records that a run was started.
    pub fn record_start(&self, now: Instant, route: &Route) {
        self.lock().throttle.record_start(now, &route.name);
    }

    /// Records a run that was answered with a status, and returns whether it was wasted.
    pub fn record_end(&self, route: &Route, started: Instant, status: u16) -> bool {
        let mut inner = self.lock();
        let now = Instant::now();
        let is_wasted = status >= FIRST_SERVER_ERROR && inner.refusals.explain(started, now);
        let throttle = &mut inner.throttle;
        throttle.record_end(now, &route.name, started, is_wasted);
        is_wasted
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("feedback lock")
    }
}
