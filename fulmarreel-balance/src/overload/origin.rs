//! Which routes carry calls that targets make while they run a request.
//!
//! Such calls bear no mark, but all calls on one route come from machines of one service, while clients
//! send their requests to the nodes of many services.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The weight of the newest request in a route's fraction of requests of other services.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// A route is internal up to this fraction of requests of other services; a single one among many does
/// not exceed it.
const MAX_OTHERS: f64 = 0.07;

/// A route is called by several services from this fraction on.
const MIN_SEVERAL: f64 = 0.2;

/// The fraction that is assumed of a route without requests.
const UNKNOWN_OTHERS: f64 = 0.5;

/// How long a route's requests are remembered after the last one.
const LIFETIME: Duration = Duration::from_secs(60);

/// The most routes that are remembered.
const MAX_ROUTES: usize = 1_024;

/// The services that call each route, as far as requests to this node show.
#[derive(Debug, Default)]
pub struct Origins {
    routes: HashMap<String, Origin>,
}

/// What says, before any request was seen, whether a route is internal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hint {
    /// The configuration has accounts, and the route needs no key, as calls of targets have none.
    NeedsNoKey,
    /// The configuration has accounts, and the route needs a key.
    NeedsKey,
    /// The configuration has no accounts.
    NoAccounts,
}

#[derive(Debug)]
struct Origin {
    /// The service that most requests come from.
    service: String,
    /// The fraction of requests that come from others, a moving average.
    others: f64,
    /// When the last request of another service came.
    last_other: Option<Instant>,
    last: Instant,
}

impl Origins {
    /// Records a request from a machine of a service, and says whether its route is internal.
    pub fn record(&mut self, now: Instant, route: &str, service: &str, hint: Hint) -> bool {
        let is_known = self
            .routes
            .get(route)
            .is_some_and(|origin| now.saturating_duration_since(origin.last) < LIFETIME);
        if !is_known {
            self.insert(now, route, service, hint);
        }
        let Some(origin) = self.routes.get_mut(route) else {
            return false;
        };
        origin.record(now, service);
        let comes_from_one = origin.others <= MAX_OTHERS;
        comes_from_one
            && match hint {
                Hint::NeedsNoKey => true,
                Hint::NeedsKey => false,
                // Where all clients use the nodes of one service, each route is called by one.
                Hint::NoAccounts => self.has_route_of_several(now),
            }
    }

    fn insert(&mut self, now: Instant, route: &str, service: &str, hint: Hint) {
        if self.routes.len() >= MAX_ROUTES {
            self.routes
                .retain(|_, origin| now.saturating_duration_since(origin.last) < LIFETIME);
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let origin = Origin {
            service: service.to_owned(),
            others: match hint {
                Hint::NeedsNoKey => 0.0,
                Hint::NeedsKey | Hint::NoAccounts => UNKNOWN_OTHERS,
            },
            last_other: None,
            last: now,
        };
        self.routes.insert(route.to_owned(), origin);
    }

    fn has_route_of_several(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIFETIME;
        self.routes
            .values()
            .any(|origin| origin.others >= MIN_SEVERAL && origin.last_other.is_some_and(is_recent))
    }
}

impl Origin {
    fn record(&mut self, now: Instant, service: &str) {
        self.last = now;
        if service == self.service {
            self.others -= self.others * SAMPLE_WEIGHT;
            return;
        }
        self.last_other = Some(now);
        self.others += (1.0 - self.others) * SAMPLE_WEIGHT;
        if self.others > UNKNOWN_OTHERS {
            service.clone_into(&mut self.service);
            self.others = UNKNOWN_OTHERS;
        }
    }
}
