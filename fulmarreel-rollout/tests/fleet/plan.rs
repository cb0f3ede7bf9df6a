//! Simulated scenarios and their results.

use super::version::Version;
use std::time::Duration;

/// What a disturbance does to a node, to the datagrams or to the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// The owner is killed; at the end of the disturbance it starts again without any state.
    OwnerKilled,
    /// The owner is paused; its datagrams are delivered afterwards.
    OwnerFrozen,
    /// The owner's datagrams reach nobody.
    OwnerMute,
    /// Nobody's datagrams reach the owner.
    OwnerDeaf,
    /// The owner neither sends nor receives datagrams.
    OwnerCut,
    /// The owner's datagrams take longer by this much.
    OwnerDelayed(Duration),
    /// This many datagrams of all nodes in a thousand are lost.
    Lossy(u32),
    /// Half of the other nodes are killed, and start again at the end of the disturbance.
    OthersKilled,
    /// The store answers no request.
    StoreUnreachable,
}

/// A disturbance, with times since the order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Disturbance {
    /// What happens.
    pub kind: Effect,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// A scenario to simulate.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Number of nodes.
    pub nodes: usize,
    /// Calls per second to the service over all nodes.
    pub calls_per_s: u32,
    /// How long a call usually takes.
    pub usual_latency: Duration,
    /// Time from the order to its deadline.
    pub limit: Duration,
    /// The version that takes over.
    pub version: Version,
    /// Disturbances during the rollout.
    pub disturbances: Vec<Disturbance>,
    /// Seed of all random draws in the simulation.
    pub seed: u64,
}

/// The result of a simulation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// Calls from the order to the deadline.
    pub calls: u32,
    /// Calls to the new version before the deadline.
    pub new_calls: u32,
    /// Calls to the old version after it was stopped.
    pub calls_to_stopped_version: u32,
    /// When the rollout was written as complete.
    pub completed: Option<Duration>,
    /// When the rollout was written as rolled back.
    pub rolled_back: Option<Duration>,
    /// When the new version's 50th failed or slow answer arrived.
    pub fiftieth_bad_answer: Option<Duration>,
    /// When the last call was sent to the new version.
    pub last_new_call: Option<Duration>,
}

impl Report {
    /// Largest number of calls that may reach a bad version.
    pub fn max_calls_if_bad(&self) -> u32 {
        self.calls / 10 + 50
    }

    /// Whether the new version got more calls than a bad one may.
    pub fn exceeds_bound(&self) -> bool {
        self.new_calls > self.max_calls_if_bad()
    }

    /// Whether the new version got calls more than 5 s after its 50th failed or slow answer.
    pub fn has_late_calls(&self) -> bool {
        let is_late = |(fiftieth_bad_answer, last_new_call): (Duration, Duration)| {
            last_new_call > fiftieth_bad_answer + Duration::from_secs(5)
        };
        self.fiftieth_bad_answer
            .zip(self.last_new_call)
            .is_some_and(is_late)
    }
}
