//! Routes, and the limits of callers' connections.

use crate::{Account, account};
use std::time::Duration;

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the sum of the weights of the route's services.
    pub weight: f64,
}

/// Where requests for a host and path prefix go, and how they are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Identifies the route within its configuration.
    pub name: String,
    /// The host that it matches, regardless of case.
    pub host: String,
    /// The path prefix that it matches.
    pub prefix: String,
    /// The services that its requests are split over; at least one.
    pub services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether its requests or responses have large bodies.
    pub is_bulk: bool,
    /// Whether its requests need no API key, even if the configuration has accounts.
    pub auth_exempt: bool,
    /// The regions that may serve its requests; all if empty.
    pub allowed_regions: Vec<String>,
    /// The time after which a request fails.
    pub timeout: Duration,
    /// The latency objective: later responses are worth less to the caller.
    pub objective: Duration,
    /// Limit of the targets that one request may reach; at least 1.
    pub max_attempts: u32,
    /// Rank of its requests in a target's queue; 0 is the most urgent.
    pub priority: u8,
}

impl Route {
    /// Whether its requests, sent by `account`, may be served in a region. Where the route and the account
    /// both name regions, both bind.
    pub fn allows_region(&self, account: Option<&Account>, region: &str) -> bool {
        account::is_allowed(&self.allowed_regions, region)
            && account.is_none_or(|account| account.allows_region(region))
    }
}

/// Limits of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Limit of a request's head in bytes.
    pub head_bytes: usize,
    /// Limit of a request's body in bytes.
    pub body_bytes: u64,
    /// How long a connection may stay open without a request.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 67_108_864,
            idle: Duration::from_secs(60),
        }
    }
}
