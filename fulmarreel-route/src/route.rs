//! One route and what its requests may ask for.

use std::time::Duration;

/// A service that takes part of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The service.
    pub service: String,
    /// Its weight among the parts; any scale.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Names it among the routes of its configuration.
    pub name: String,
    /// The host whose requests it takes.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// Where its requests go; at least one.
    pub parts: Vec<Part>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// Endpoints that one request may reach, one at least.
    pub max_attempts: u32,
    /// The rank among routes, 0 for the most urgent.
    pub priority: u8,
}

/// What a caller's connection may ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// How long a connection may stay without a request.
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
