//! Fewer new runs of routes whose own calls are refused at other targets.
//!
//! A run whose call is refused is wasted, and so is all that its other calls took from other targets. The
//! rate at which runs of a route are started falls by a factor when more than a few of them are wasted,
//! and rises by a constant amount per second while hardly any is; faster after a deep fall.

use super::retries::Retries;
use crate::decay::remaining;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The share of wasted runs above which fewer are started.
const MAX_WASTED: f64 = 0.01;

/// The weight of the newest run in the share of wasted runs. A single wasted run after many others stays
/// below [`MAX_WASTED`].
const RUN_WEIGHT: f64 = 1.0 / 128.0;

/// The time in which the share of wasted runs decays by half, so that a route with few runs recovers.
const WASTED_HALF_LIFE: Duration = Duration::from_secs(2);

/// The factor by which the rate falls.
const DECREASE: f64 = 0.85;

/// The part of the rate before the last episode by which the rate rises in a second.
const INCREASE_PER_S: f64 = 0.04;

/// The part of itself by which a rate rises in a second that is far below the one before the episode.
const FAST_INCREASE_PER_S: f64 = 0.5;

/// The part of the rate before the episode up to which the increase is fast.
const FAST_UNTIL: f64 = 0.7;

/// Decreases that are closer together belong to one episode.
const EPISODE_GAP: Duration = Duration::from_secs(3);

/// The lowest rate, at which it is found out whether calls have room again.
const MIN_RATE_PER_S: f64 = 1.0;

/// A limit is removed when it is this many times the rate at which runs are started.
const UNUSED_RATIO: f64 = 2.0;

/// The time over which the rate of starts is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Runs that may be started together, as the time in which they are earned.
const BURST: Duration = Duration::from_millis(100);

/// Routes without a run for this long are forgotten.
const LIFETIME: Duration = Duration::from_secs(60);

/// The most routes that are remembered.
const MAX_ROUTES: usize = 1_024;

/// The rates at which runs of routes may be started.
#[derive(Debug, Default)]
pub struct Throttle {
    routes: HashMap<String, Route>,
}

#[derive(Debug)]
struct Route {
    /// The share of runs that were wasted, as of `updated`.
    wasted: f64,
    /// The number of starts in [`RATE_WINDOW`], as of `updated`.
    starts: f64,
    updated: Instant,
    limit: Option<Limit>,
    retries: Retries,
}

/// A limit of the rate of starts.
#[derive(Debug, Clone, Copy)]
struct Limit {
    per_s: f64,
    /// Starts that are allowed now; negative after starts that were not counted in time.
    tokens: f64,
    /// The rate before the last episode of decreases.
    reference: f64,
    decreased: Instant,
}

impl Throttle {
    /// Whether a run of a route may be started; [`Throttle::record_start`] has to be called once it is.
    ///
    /// # Errors
    ///
    /// It may not; the delay after which its request is told to come back.
    pub fn check(&mut self, now: Instant, route: &str) -> Result<(), Duration> {
        let Some(route) = self.routes.get_mut(route) else {
            return Ok(());
        };
        route.update(now);
        match route.limit {
            Some(limit) if limit.tokens < 1.0 => {
                let interval = Duration::from_secs_f64(1.0 / limit.per_s);
                Err(route.retries.delay(now, interval, interval))
            }
            _ => Ok(()),
        }
    }

    /// Records that a run was started.
    pub fn record_start(&mut self, now: Instant, route: &str) {
        let route = self.route(now, route);
        route.update(now);
        route.starts += 1.0;
        if let Some(limit) = &mut route.limit {
            limit.tokens -= 1.0;
        }
    }

    /// Records a run that has ended, and whether it was wasted by the refusal of a call.
    pub fn record_end(&mut self, now: Instant, route: &str, started: Instant, is_wasted: bool) {
        let route = self.route(now, route);
        route.update(now);
        let sample = if is_wasted { 1.0 } else { 0.0 };
        route.wasted += (sample - route.wasted) * RUN_WEIGHT;
        if is_wasted && route.wasted > MAX_WASTED {
            route.decrease(now, started);
        }
    }

    /// The highest rate of starts of a route, per second; `None` without a limit.
    pub fn limit_per_s(&self, route: &str) -> Option<f64> {
        Some(self.routes.get(route)?.limit?.per_s)
    }

    fn route(&mut self, now: Instant, name: &str) -> &mut Route {
        if !self.routes.contains_key(name) {
            self.make_room(now);
            let route = Route {
                wasted: 0.0,
                starts: 0.0,
                updated: now,
                limit: None,
                retries: Retries::default(),
            };
            self.routes.insert(name.to_owned(), route);
        }
        self.routes.get_mut(name).expect("inserted above")
    }

    fn make_room(&mut self, now: Instant) {
        if self.routes.len() >= MAX_ROUTES {
            self.routes
                .retain(|_, route| now.saturating_duration_since(route.updated) < LIFETIME);
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
    }
}

impl Route {
    /// Brings counts, tokens and the limit up to the present.
    fn update(&mut self, now: Instant) {
        let passed_s = now.saturating_duration_since(self.updated).as_secs_f64();
        self.starts *= (-passed_s / RATE_WINDOW.as_secs_f64()).exp();
        self.wasted *= remaining(self.updated, now, WASTED_HALF_LIFE);
        self.updated = now;
        let Some(limit) = &mut self.limit else {
            return;
        };
        let burst = (limit.per_s * BURST.as_secs_f64()).max(1.0);
        limit.tokens = (limit.tokens + limit.per_s * passed_s).min(burst);
        if self.wasted < MAX_WASTED {
            limit.per_s += limit.increase_per_s() * passed_s;
        }
        let started_per_s = self.starts / RATE_WINDOW.as_secs_f64();
        if limit.per_s > limit.reference.max(started_per_s) * UNUSED_RATIO {
            self.limit = None;
        }
    }

    /// Lowers the limit, unless the wasted run was started before the last decrease: then it says nothing
    /// about the present rate.
    fn decrease(&mut self, now: Instant, started: Instant) {
        let started_per_s = self.starts / RATE_WINDOW.as_secs_f64();
        let rate = started_per_s.max(MIN_RATE_PER_S);
        let mut limit = self.limit.unwrap_or(Limit {
            per_s: rate,
            tokens: 0.0,
            reference: rate,
            decreased: now,
        });
        if self.limit.is_some() {
            if started <= limit.decreased {
                return;
            }
            if limit.decreased + EPISODE_GAP < now {
                limit.reference = limit.per_s.min(rate);
            }
        }
        limit.per_s = (limit.per_s.min(rate) * DECREASE).max(MIN_RATE_PER_S);
        limit.decreased = now;
        self.limit = Some(limit);
    }
}

impl Limit {
    fn increase_per_s(&self) -> f64 {
        if self.per_s < self.reference * FAST_UNTIL {
            self.per_s * FAST_INCREASE_PER_S
        } else {
            self.reference * INCREASE_PER_S
        }
    }
}
