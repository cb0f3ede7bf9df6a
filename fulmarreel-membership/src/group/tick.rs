//! Timer-driven work: probes, suspicion timeouts and gossip.

use super::{
    CROSS_ZONE_PING_INTERVAL, GONE_PROBE_EVERY, GONE_RETENTION, GOSSIP_FAN_OUT, Group,
    INDIRECT_PROBES, OutgoingDatagram, PAUSE_THRESHOLD, PROBE_INTERVAL, RECORDS_PER_DATAGRAM,
    SEED_PING_INTERVAL, SUSPICION_TIMEOUT, StepResult,
};
use crate::{Claim, Status, probe::ProbeTimeout, table::MergeResult};
use fulmarreel_wire::gossip::Kind;
use std::{net::SocketAddr, time::Instant};

impl Group {
    /// Does the work that is due. Must be called every [`TICK`](super::TICK).
    pub fn tick(&mut self, now: Instant) -> StepResult {
        if now.saturating_duration_since(self.last_tick) > PAUSE_THRESHOLD {
            // Acks and refutations may have been missed: no probe fails, and no suspicion times
            // out, for a time in which this process did not run.
            self.prober.clear();
            self.table.restart_suspicions(now);
        }
        self.last_tick = now;
        let mut outgoing = self.handle_probe_timeouts(now);
        self.expire_suspicions(now);
        self.start_probe(now, &mut outgoing);
        self.ping_other_zone(now, &mut outgoing);
        self.ping_seed(now, &mut outgoing);
        self.flush_gossip(&mut outgoing);
        outgoing.extend(self.flush_cross_zone_queue());
        if let Some(cutoff) = now.checked_sub(GONE_RETENTION) {
            self.table.remove_gone_before(cutoff);
        }
        let changed = self.take_changed();
        StepResult { outgoing, changed }
    }

    /// Suspects a node that a call could not reach, and probes it at once.
    pub fn suspect_unreachable(&mut self, address: SocketAddr, now: Instant) -> StepResult {
        let mut outgoing = Vec::new();
        if self.suspect(address, now) {
            outgoing.extend(self.ping(address, now));
        }
        let changed = self.take_changed();
        StepResult { outgoing, changed }
    }

    fn handle_probe_timeouts(&mut self, now: Instant) -> Vec<OutgoingDatagram> {
        let mut outgoing = Vec::new();
        for timeout in self.prober.take_timeouts(now) {
            match timeout {
                ProbeTimeout::Direct { sequence, target } => {
                    let kind = Kind::PingRequest { sequence, target };
                    let helpers = self.pick_zone_peers(INDIRECT_PROBES + 1).into_iter();
                    let helpers = helpers
                        .filter(|helper| *helper != target)
                        .take(INDIRECT_PROBES);
                    outgoing.extend(helpers.map(|to| OutgoingDatagram {
                        to,
                        kind,
                        claims: Vec::new(),
                    }));
                }
                ProbeTimeout::Final { target } => {
                    self.suspect(target, now);
                }
            }
        }
        outgoing
    }

    fn suspect(&mut self, address: SocketAddr, now: Instant) -> bool {
        let Some(member) = self.table.get(address) else {
            return false;
        };
        let claim = Claim {
            record: member.claim.record.clone(),
            status: Status::Suspect,
        };
        if address == self.address || self.table.merge(&claim, now) != MergeResult::Applied {
            return false;
        }
        self.queue_gossip(address);
        true
    }

    fn expire_suspicions(&mut self, now: Instant) {
        // A node is declared gone only by members of its own zone.
        let zone = &self.zone;
        let expired: Vec<Claim> = self
            .table
            .members()
            .filter(|member| member.claim.status == Status::Suspect)
            .filter(|member| member.claim.record.zone == *zone)
            .filter(|member| now.saturating_duration_since(member.since) >= SUSPICION_TIMEOUT)
            .map(|member| member.claim.clone())
            .collect();
        for mut claim in expired {
            claim.status = Status::Gone;
            if self.admit_loss(&claim, now) {
                let address = claim.record.address;
                self.table.merge(&claim, now);
                self.queue_gossip(address);
                self.queue_cross_zone(address, self.address);
            }
        }
    }

    fn start_probe(&mut self, now: Instant, outgoing: &mut Vec<OutgoingDatagram>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        self.probe_count = self.probe_count.wrapping_add(1);
        if self.probe_count.is_multiple_of(GONE_PROBE_EVERY)
            && let Some(gone) = self.pick_gone_member()
        {
            let sequence = self.prober.next_sequence();
            outgoing.push(self.ping_with_sequence(gone, sequence));
            return;
        }
        let zone_peers = self.zone_peers();
        if let Some(target) = self
            .prober
            .next_target(|| zone_peers.clone(), &mut self.rng)
        {
            outgoing.extend(self.ping(target, now));
        }
    }

    /// A ping that makes its receiver suspect if no answer comes; none while an earlier one is
    /// pending.
    fn ping(&mut self, receiver: SocketAddr, now: Instant) -> Option<OutgoingDatagram> {
        let sequence = self.prober.start_probe(receiver, now)?;
        Some(self.ping_with_sequence(receiver, sequence))
    }

    fn ping_with_sequence(&mut self, to: SocketAddr, sequence: u32) -> OutgoingDatagram {
        let mut claims = self.claims(&[self.address]);
        claims.extend(self.claims_to_refute(to));
        claims.truncate(RECORDS_PER_DATAGRAM);
        let room = RECORDS_PER_DATAGRAM - claims.len();
        claims.extend(self.take_gossip(room));
        let kind = Kind::Ping { sequence };
        OutgoingDatagram { to, kind, claims }
    }

    fn pick_gone_member(&mut self) -> Option<SocketAddr> {
        let gone: Vec<SocketAddr> = self
            .table
            .members()
            .filter(|member| member.claim.status == Status::Gone)
            .filter(|member| member.claim.record.zone == self.zone)
            .map(|member| member.claim.record.address)
            .collect();
        self.rng.choice(gone)
    }

    fn ping_other_zone(&mut self, now: Instant, outgoing: &mut Vec<OutgoingDatagram>) {
        if now < self.next_cross_zone_ping {
            return;
        }
        self.next_cross_zone_ping = now + CROSS_ZONE_PING_INTERVAL;
        if self.is_relay()
            && let Some(receiver) = self.pick_other_zone_node()
        {
            // Without an answer it becomes suspect and less preferred; only its own zone may
            // declare it gone.
            outgoing.extend(self.ping(receiver, now));
        }
    }

    fn ping_seed(&mut self, now: Instant, outgoing: &mut Vec<OutgoingDatagram>) {
        if now < self.next_seed_ping {
            return;
        }
        let alone = self.table.present().count() == 1;
        self.next_seed_ping = now
            + if alone {
                PROBE_INTERVAL
            } else {
                SEED_PING_INTERVAL
            };
        // In a large group only relays ping the seeds: pings of all nodes would overload those few.
        if (alone || self.is_relay())
            && let Some(seed) = self.rng.choice(self.seeds.clone())
        {
            let sequence = self.prober.next_sequence();
            outgoing.push(self.ping_with_sequence(seed, sequence));
        }
    }

    fn flush_gossip(&mut self, outgoing: &mut Vec<OutgoingDatagram>) {
        if self.gossip_queue.is_empty() {
            return;
        }
        for to in self.pick_zone_peers(GOSSIP_FAN_OUT) {
            let claims = self.take_gossip(RECORDS_PER_DATAGRAM);
            if claims.is_empty() {
                return;
            }
            let kind = Kind::Gossip;
            outgoing.push(OutgoingDatagram { to, kind, claims });
        }
    }
}
