//! Pending probes, and the order in which members are probed.

use fastrand::Rng;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long the direct ping may take before other members are asked to ping the target.
const DIRECT_PING_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a probe may take, pings through other members included.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// A probe without an answer yet.
#[derive(Debug)]
struct Probe {
    target: SocketAddr,
    /// When other members are asked to ping the target; none once they have been.
    ask_others_at: Option<Instant>,
    fail_at: Instant,
}

/// A ping on behalf of another member, to which the ack is forwarded.
#[derive(Debug)]
struct RelayedPing {
    requester: SocketAddr,
    /// The sequence of the requester's own probe.
    requester_sequence: u32,
    expires_at: Instant,
}

/// A timeout of a pending probe.
#[derive(Debug, PartialEq, Eq)]
pub enum ProbeTimeout {
    /// No answer to the direct ping: other members are to be asked to ping the target.
    Direct {
        /// The probe's sequence.
        sequence: u32,
        /// The member that did not answer.
        target: SocketAddr,
    },
    /// No answer to the direct ping or through other members.
    Final {
        /// The member that did not answer.
        target: SocketAddr,
    },
}

/// Pending probes, and the order in which members are probed.
#[derive(Debug, Default)]
pub struct Prober {
    probes: BTreeMap<u32, Probe>,
    relayed_pings: BTreeMap<u32, RelayedPing>,
    /// Members that are still to be probed in this round, the next one last.
    rotation: Vec<SocketAddr>,
    last_sequence: u32,
}

impl Prober {
    /// The next member to probe; none if there are no members. Each round visits every member once,
    /// in random order.
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

    /// A sequence number that no pending probe has.
    pub fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Starts a probe and returns its sequence; none while an earlier probe of that member is
    /// pending.
    pub fn start_probe(&mut self, target: SocketAddr, now: Instant) -> Option<u32> {
        if self.probes.values().any(|probe| probe.target == target) {
            return None;
        }
        let sequence = self.next_sequence();
        let probe = Probe {
            target,
            ask_others_at: Some(now + DIRECT_PING_TIMEOUT),
            fail_at: now + PROBE_TIMEOUT,
        };
        self.probes.insert(sequence, probe);
        Some(sequence)
    }

    /// Starts a ping on behalf of a requester, and returns its sequence.
    pub fn start_relayed_ping(
        &mut self,
        requester: SocketAddr,
        requester_sequence: u32,
        now: Instant,
    ) -> u32 {
        let sequence = self.next_sequence();
        let expires_at = now + PROBE_TIMEOUT;
        let ping = RelayedPing {
            requester,
            requester_sequence,
            expires_at,
        };
        self.relayed_pings.insert(sequence, ping);
        sequence
    }

    /// Handles an ack. Returns the requester to forward it to and the sequence of its probe, if the
    /// ping was sent on behalf of another member.
    pub fn acknowledge(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        self.probes.remove(&sequence);
        let ping = self.relayed_pings.remove(&sequence)?;
        Some((ping.requester, ping.requester_sequence))
    }

    /// The timeouts that have been reached; removes the probes that failed.
    pub fn take_timeouts(&mut self, now: Instant) -> Vec<ProbeTimeout> {
        let mut timeouts = Vec::new();
        for (sequence, probe) in &mut self.probes {
            let target = probe.target;
            if now >= probe.fail_at {
                timeouts.push(ProbeTimeout::Final { target });
            } else if probe
                .ask_others_at
                .is_some_and(|ask_others_at| now >= ask_others_at)
            {
                probe.ask_others_at = None;
                let sequence = *sequence;
                timeouts.push(ProbeTimeout::Direct { sequence, target });
            }
        }
        self.probes.retain(|_, probe| now < probe.fail_at);
        self.relayed_pings.retain(|_, ping| now < ping.expires_at);
        timeouts
    }

    /// Drops everything pending, after a time in which no ack could be received.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.relayed_pings.clear();
    }
}
