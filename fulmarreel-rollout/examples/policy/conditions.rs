//! What actually happens to the calls of a case, second by second.

use crate::{
    case::{Case, FaultKind, Location},
    latency::Mixture,
    random::{binomial, poisson},
};
use fastrand::Rng;
use fulmarreel_rollout::evidence::Tally;

/// The conditions of one route during one second.
#[derive(Debug, Clone)]
pub struct Conditions {
    /// Expected number of calls.
    pub calls: f64,
    /// Probability, averaged over all nodes, that a call fails without the new version's fault.
    pub common_errors: f64,
    /// The same without faults of the network path.
    pub shared_errors: f64,
    /// Faults of the network path: the fraction of nodes that are affected, and the fraction of
    /// their calls that fail.
    pub path_errors: Vec<(f64, f64)>,
    /// Probability that a call to the new version fails because of its fault.
    pub fault_errors: f64,
    /// Probability that a call to the new version is slow because of its fault.
    pub fault_slow: f64,
    /// Latency of the old version.
    pub old_latency: Mixture,
    /// Latency of the new version.
    pub new_latency: Mixture,
}

/// Results of a group of nodes' calls to the new version, on one route in one second.
#[derive(Debug, Clone, Default)]
pub struct CallResults {
    /// Call counts.
    pub tally: Tally,
    /// Calls that failed or were slow because of the new version's fault.
    pub harmed: u64,
}

/// Whether the new version's fault is active.
pub fn fault_shows(case: &Case, second: u64, share: f64) -> bool {
    case.fault.as_ref().is_some_and(|fault| {
        second >= fault.after_seconds && case.calls_per_s * share > fault.above_calls_per_s
    })
}

/// The conditions of each route.
pub fn conditions(case: &Case, second: u64, share: f64) -> Vec<Conditions> {
    let fault_is_active = fault_shows(case, second, share);
    let routes = case.routes.iter().enumerate();
    routes
        .map(|(route, &part)| route_conditions(case, second, route, part, fault_is_active))
        .collect()
}

fn route_conditions(
    case: &Case,
    second: u64,
    route: usize,
    part: f64,
    fault_is_active: bool,
) -> Conditions {
    let mut shared_errors = case.base_error_percent / 100.0;
    let mut path_errors = Vec::new();
    let mut old_latency = Mixture::new(case.base_latency_ms, case.latency_sigma);
    let active = case.disturbances.iter().filter(|disturbance| {
        second >= disturbance.from_seconds
            && second - disturbance.from_seconds < disturbance.seconds
    });
    for disturbance in active {
        match disturbance.kind {
            Location::Path => path_errors.push((disturbance.part, disturbance.errors)),
            Location::Both => {
                shared_errors =
                    either_probability(shared_errors, disturbance.part * disturbance.errors);
            }
        }
        old_latency = old_latency.slowed(disturbance.part, disturbance.slowness);
    }
    let fault = case
        .fault
        .as_ref()
        .filter(|fault| fault_is_active && fault.route.is_none_or(|faulty| faulty == route));
    let (mut fault_errors, mut fault_slow) = (0.0, 0.0);
    let mut new_latency = old_latency.clone();
    match fault {
        Some(fault) if fault.kind == FaultKind::Errors => fault_errors = fault.magnitude,
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
            .fold(shared_errors, |probability, (part, errors)| {
                either_probability(probability, part * errors)
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
fn either_probability(one: f64, other: f64) -> f64 {
    1.0 - (1.0 - one) * (1.0 - other)
}

impl Conditions {
    /// Probability that a call from one node fails without the new version's fault; `position` from
    /// 0 to 1 is the node's place among all nodes.
    pub fn error_probability_at(&self, position: f64) -> f64 {
        let affecting = self.path_errors.iter().filter(|(part, _)| position < *part);
        affecting.fold(self.shared_errors, |probability, (_, errors)| {
            either_probability(probability, *errors)
        })
    }

    /// Draws every call as fast, for drivers that ignore latency.
    pub fn ignore_latency(&mut self) {
        self.old_latency = Mixture::fastest();
        self.new_latency = Mixture::fastest();
    }

    /// Draws the calls of one second, split by share into those to the old and to the new version.
    pub fn split(&self, rng: &mut Rng, share: f64) -> (u64, u64) {
        let calls = poisson(rng, self.calls);
        let new = binomial(rng, calls, share);
        (calls - new, new)
    }

    /// Draws the results of calls to the old version.
    pub fn draw_old(&self, rng: &mut Rng, calls: u64) -> Tally {
        Tally {
            calls,
            errors: binomial(rng, calls, self.common_errors),
            latency: self.old_latency.draw(rng, calls),
        }
    }

    /// Draws the results of calls to the new version.
    pub fn draw_new(&self, rng: &mut Rng, calls: u64) -> CallResults {
        self.draw_new_results(rng, calls, self.common_errors)
    }

    /// Draws the result of one call to the new version from the node at `position`.
    pub fn draw_new_from(&self, rng: &mut Rng, position: f64) -> CallResults {
        self.draw_new_results(rng, 1, self.error_probability_at(position))
    }

    fn draw_new_results(&self, rng: &mut Rng, calls: u64, common_errors: f64) -> CallResults {
        let faulty = binomial(rng, calls, self.fault_errors);
        let common = binomial(rng, calls - faulty, common_errors);
        CallResults {
            harmed: faulty + binomial(rng, calls, self.fault_slow),
            tally: Tally {
                calls,
                errors: faulty + common,
                latency: self.new_latency.draw(rng, calls),
            },
        }
    }
}
