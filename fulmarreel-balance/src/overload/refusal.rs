//! Refused calls of the own target, at the node that received them.
//!
//! Such calls bear no mark, and clients of the same machine may use the same routes. A request that
//! arrives while the own target runs nothing is a client's, and so are other requests of its route.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// How long a route counts as one of clients after a request that cannot have come from the target.
const LIFETIME: Duration = Duration::from_secs(600);

/// How long after the refusal of a call the failure of a run is attributed to it. With a longer time,
/// failures of other causes would be counted.
const MAX_REACTION: Duration = Duration::from_millis(200);

/// The most routes that are remembered.
const MAX_ROUTES: usize = 1_024;

/// The refused calls of the own target.
#[derive(Debug, Default)]
pub struct Refusals {
    /// When a request that cannot have come from the target last arrived, by route.
    client_routes: HashMap<String, Instant>,
    /// When a call was last refused.
    last: Option<Instant>,
}

impl Refusals {
    /// Records the arrival of a request that the own target may have sent.
    pub fn record_arrival(&mut self, now: Instant, route: &str, is_target_idle: bool) {
        if !is_target_idle {
            return;
        }
        if let Some(last) = self.client_routes.get_mut(route) {
            *last = now;
            return;
        }
        if self.client_routes.len() >= MAX_ROUTES {
            self.client_routes.clear();
        }
        self.client_routes.insert(route.to_owned(), now);
    }

    /// Records that a request of a route was refused for lack of room, and returns whether it is taken for
    /// a call of the own target.
    pub fn record(&mut self, now: Instant, route: &str) -> bool {
        let last = self.client_routes.get(route);
        let is_call = last.is_none_or(|last| now.saturating_duration_since(*last) > LIFETIME);
        if is_call {
            self.last = Some(now);
        }
        is_call
    }

    /// Whether the refusal of a call can be the cause of a run's failure.
    pub fn explain(&self, started: Instant, ended: Instant) -> bool {
        self.last.is_some_and(|refused| {
            refused >= started && ended.saturating_duration_since(refused) <= MAX_REACTION
        })
    }
}
