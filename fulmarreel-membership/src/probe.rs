//! Probes that wait for an answer, and the order in which members are probed.

use fastrand::Rng;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long a direct answer may take before other members are asked to try.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long any answer may take.
const TIMEOUT: Duration = Duration::from_millis(400);

/// One probe that waits for its answer.
#[derive(Debug)]
struct Probe {
    target: SocketAddr,
    /// When other members are asked; none once they have been.
    relay_at: Option<Instant>,
    fail_at: Instant,
}

/// A ping on behalf of another member.
#[derive(Debug)]
struct Errand {
    requester: SocketAddr,
    sequence: u32,
    expires_at: Instant,
}

/// What has become due.
#[derive(Debug, PartialEq, Eq)]
pub enum Due {
    /// Other members are to be asked to ping the target.
    Relay {
        /// The probe's sequence.
        sequence: u32,
        /// The silent member.
        target: SocketAddr,
    },
    /// The target did not answer in any way.
    Failed {
        /// The silent member.
        target: SocketAddr,
    },
}

/// Probes that wait for an answer, and the order in which members are probed.
#[derive(Debug, Default)]
pub struct Prober {
    probes: BTreeMap<u32, Probe>,
    errands: BTreeMap<u32, Errand>,
    rotation: Vec<SocketAddr>,
    next_sequence: u32,
}

impl Prober {
    /// The next member in a random order that visits all of them; none where there are none.
    pub fn next_target(
        &mut self,
        members: impl Fn() -> Vec<SocketAddr>,
        rng: &mut Rng,
    ) -> Option<SocketAddr> {
        if self.rotation.is_empty() {
            self.rotation = members();
            rng.shuffle(&mut self.rotation);
        }
        self.rotation.pop()
    }

    /// A sequence that no waiting probe has.
    pub fn sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    /// Starts to wait for an answer; none where an earlier probe of that member still waits.
    pub fn start(&mut self, target: SocketAddr, now: Instant) -> Option<u32> {
        if self.probes.values().any(|probe| probe.target == target) {
            return None;
        }
        let sequence = self.sequence();
        let probe = Probe {
            target,
            relay_at: Some(now + DIRECT_TIMEOUT),
            fail_at: now + TIMEOUT,
        };
        self.probes.insert(sequence, probe);
        Some(sequence)
    }

    /// Remembers to whom the answer of a ping on behalf of another is owed.
    pub fn start_errand(&mut self, requester: SocketAddr, sequence: u32, now: Instant) -> u32 {
        let own = self.sequence();
        let expires_at = now + TIMEOUT;
        let errand = Errand {
            requester,
            sequence,
            expires_at,
        };
        self.errands.insert(own, errand);
        own
    }

    /// Takes an answer in; returns to whom it is owed, with the sequence of the question.
    pub fn answered(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        self.probes.remove(&sequence);
        let errand = self.errands.remove(&sequence)?;
        Some((errand.requester, errand.sequence))
    }

    /// What has become due.
    pub fn due(&mut self, now: Instant) -> Vec<Due> {
        let mut due = Vec::new();
        for (sequence, probe) in &mut self.probes {
            let target = probe.target;
            if now >= probe.fail_at {
                due.push(Due::Failed { target });
            } else if probe.relay_at.is_some_and(|at| now >= at) {
                probe.relay_at = None;
                let sequence = *sequence;
                due.push(Due::Relay { sequence, target });
            }
        }
        self.probes.retain(|_, probe| now < probe.fail_at);
        self.errands.retain(|_, errand| now < errand.expires_at);
        due
    }

    /// Forgets all that waits, after a time in which no answer could be heard.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.errands.clear();
    }
}
