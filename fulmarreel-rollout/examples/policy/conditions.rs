//! What really happens to the calls of a case, second by second.

use crate::{
    case::{Case, Kind, Place},
    latency::Mixture,
    random::{binomial, poisson},
};
use fastrand::Rng;
use fulmarreel_rollout::evidence::Tally;

/// The conditions of one route during one second.
#[derive(Debug, Clone)]
pub struct Conditions {
    /// Expected calls.
    pub calls: f64,
    /// Probability over all nodes that a call fails without the new version's fault.
    pub common_errors: f64,
    /// The same without faults of the path.
    pub shared_errors: f64,
    /// Faults of the path: the part of the nodes, and the part of their calls that fail.
    pub path_errors: Vec<(f64, f64)>,
    /// Probability that a call to the new version fails by its fault.
    pub fault_errors: f64,
    /// Probability that a call to the new version is slowed by its fault.
    pub fault_slow: f64,
    /// Latency of the old version.
    pub old_latency: Mixture,
    /// Latency of the new version.
    pub new_latency: Mixture,
}

/// Calls of one second on one route that a group of nodes made to the new version.
#[derive(Debug, Clone, Default)]
pub struct Made {
    /// What came of them.
    pub tally: Tally,
    /// Those that failed or were slowed by the new version's fault.
    pub harmed: u64,
}

/// Whether the new version's fault shows.
pub fn fault_shows(case: &Case, second: u64, share: f64) -> bool {
    case.fault.as_ref().is_some_and(|fault| {
        second >= fault.after_seconds && case.calls_per_s * share > fault.above_calls_per_s
    })
}

/// The conditions of each route.
pub fn conditions(case: &Case, second: u64, share: f64) -> Vec<Conditions> {
    let shows = fault_shows(case, second, share);
    let routes = case.routes.iter().enumerate();
    routes
        .map(|(route, &part)| one(case, second, route, part, shows))
        .collect()
}

fn one(case: &Case, second: u64, route: usize, part: f64, shows: bool) -> Conditions {
    let mut shared_errors = case.base_error_percent / 100.0;
    let mut path_errors = Vec::new();
    let mut old_latency = Mixture::new(case.base_latency_ms, case.latency_sigma);
    let active = case.disturbances.iter().filter(|disturbance| {
        second >= disturbance.from_seconds
            && second - disturbance.from_seconds < disturbance.seconds
    });
    for disturbance in active {
        match disturbance.kind {
            Place::Path => path_errors.push((disturbance.part, disturbance.errors)),
            Place::Both => {
                shared_errors = either(shared_errors, disturbance.part * disturbance.errors);
            }
        }
        old_latency = old_latency.slowed(disturbance.part, disturbance.slowness);
    }
    let fault = case
        .fault
        .as_ref()
        .filter(|fault| shows && fault.route.is_none_or(|faulty| faulty == route));
    let (mut fault_errors, mut fault_slow) = (0.0, 0.0);
    let mut new_latency = old_latency.clone();
    match fault {
        Some(fault) if fault.kind == Kind::Errors => fault_errors = fault.magnitude,
        Some(fault) => {
            fault_slow = fault.calls;
            new_latency = new_latency.slowed(fault.calls, fault.magnitude);
        }
        None => {}
    }
    Conditions {
        calls: case.calls_per_s * part,
        common_errors: path_errors
            .iter()
            .fold(shared_errors, |sum, (part, errors)| {
                either(sum, part * errors)
            }),
        shared_errors,
        path_errors,
        fault_errors,
        fault_slow,
        old_latency,
        new_latency,
    }
}

/// Probability of at least one of two independent events.
fn either(one: f64, other: f64) -> f64 {
    1.0 - (1.0 - one) * (1.0 - other)
}

impl Conditions {
    /// Probability that a call from one node, placed from 0 to 1, fails without the new version's
    /// fault.
    pub fn errors_at(&self, position: f64) -> f64 {
        let touching = self.path_errors.iter().filter(|(part, _)| position < *part);
        touching.fold(self.shared_errors, |sum, (_, errors)| either(sum, *errors))
    }

    /// Leaves latency out of what is drawn.
    pub fn forget_latency(&mut self) {
        self.old_latency = Mixture::none();
        self.new_latency = Mixture::none();
    }

    /// Calls of one second, split by share into those to the old and to the new version.
    pub fn split(&self, rng: &mut Rng, share: f64) -> (u64, u64) {
        let calls = poisson(rng, self.calls);
        let new = binomial(rng, calls, share);
        (calls - new, new)
    }

    /// What comes of calls to the old version.
    pub fn to_old(&self, rng: &mut Rng, calls: u64) -> Tally {
        Tally {
            calls,
            errors: binomial(rng, calls, self.common_errors),
            latency: self.old_latency.draw(rng, calls),
        }
    }

    /// What comes of calls to the new version.
    pub fn to_new(&self, rng: &mut Rng, calls: u64) -> Made {
        self.made(rng, calls, self.common_errors)
    }

    /// What comes of one call to the new version from one node, placed from 0 to 1.
    pub fn to_new_from(&self, rng: &mut Rng, position: f64) -> Made {
        self.made(rng, 1, self.errors_at(position))
    }

    fn made(&self, rng: &mut Rng, calls: u64, common_errors: f64) -> Made {
        let faulty = binomial(rng, calls, self.fault_errors);
        let common = binomial(rng, calls - faulty, common_errors);
        Made {
            harmed: faulty + binomial(rng, calls, self.fault_slow),
            tally: Tally {
                calls,
                errors: faulty + common,
                latency: self.new_latency.draw(rng, calls),
            },
        }
    }
}
