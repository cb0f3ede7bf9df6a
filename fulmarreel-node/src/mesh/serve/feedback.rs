//! Fewer new runs of the own target while the calls that it makes are refused for lack of room.
//!
//! A run counts as wasted if the target failed it and a call of the target was refused meanwhile.

use fulmarreel_balance::overload::Throttle;
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
    /// When a call of the own target was last refused for lack of room.
    last_refused: Option<Instant>,
}

impl Feedback {
    /// Records that a call of the own target was refused for lack of room.
    pub fn record_refused_call(&self, now: Instant) {
        self.lock().last_refused = Some(now);
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
        let had_refused_call = inner.last_refused.is_some_and(|at| at >= started);
        let is_wasted = had_refused_call && status >= FIRST_SERVER_ERROR;
        let throttle = &mut inner.throttle;
        throttle.record_end(Instant::now(), &route.name, started, is_wasted);
        is_wasted
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("feedback lock")
    }
}
