//! What a node does as time passes.

use super::{
    ABROAD_INTERVAL, FAN_OUT, GONE_PROBE_EVERY, Group, INDIRECT, MEMORY, Outcome, Outgoing, PAUSE,
    PROBE_INTERVAL, RECORDS_PER_DATAGRAM, SEED_INTERVAL, SUSPICION,
};
use crate::{Claim, Status, probe::Due, table::Merged};
use fulmarreel_wire::gossip::Kind;
use std::{net::SocketAddr, time::Instant};

impl Group {
    /// Does what is due; to be called every [`TICK`](super::TICK).
    pub fn tick(&mut self, now: Instant) -> Outcome {
        if now.saturating_duration_since(self.last_tick) > PAUSE {
            // Answers and objections may have been missed: they count for nothing.
            self.prober.clear();
            self.table.restart_suspicions(now);
        }
        self.last_tick = now;
        let mut outgoing = self.due_probes(now);
        self.end_suspicions(now);
        self.start_probe(now, &mut outgoing);
        self.ping_abroad(now, &mut outgoing);
        self.ping_seed(now, &mut outgoing);
        self.flush_news(&mut outgoing);
        outgoing.extend(self.flush_abroad());
        if let Some(limit) = now.checked_sub(MEMORY) {
            self.table.forget(limit);
        }
        let changed = self.take_changed();
        Outcome { outgoing, changed }
    }

    /// Doubts a node that a call could not reach, and probes it at once.
    pub fn doubt(&mut self, address: SocketAddr, now: Instant) -> Outcome {
        let mut outgoing = Vec::new();
        if self.suspect(address, now) {
            outgoing.extend(self.ping(address, now));
        }
        let changed = self.take_changed();
        Outcome { outgoing, changed }
    }

    fn due_probes(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for due in self.prober.due(now) {
            match due {
                Due::Relay { sequence, target } => {
                    let kind = Kind::Relay { sequence, target };
                    let helpers = self.pick_neighbours(INDIRECT + 1).into_iter();
                    let helpers = helpers.filter(|helper| *helper != target).take(INDIRECT);
                    outgoing.extend(helpers.map(|to| Outgoing {
                        to,
                        kind,
                        claims: Vec::new(),
                    }));
                }
                Due::Failed { target } => {
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
        if address == self.address || self.table.merge(&claim, now) != Merged::News {
            return false;
        }
        self.spread(address);
        true
    }

    fn end_suspicions(&mut self, now: Instant) {
        // Nodes of other zones are judged by their own zone.
        let zone = &self.zone;
        let expired: Vec<Claim> = self
            .table
            .members()
            .filter(|member| member.claim.status == Status::Suspect)
            .filter(|member| member.claim.record.zone == *zone)
            .filter(|member| now.saturating_duration_since(member.since) >= SUSPICION)
            .map(|member| member.claim.clone())
            .collect();
        for mut claim in expired {
            claim.status = Status::Gone;
            if self.admit_loss(&claim, now) {
                let address = claim.record.address;
                self.table.merge(&claim, now);
                self.spread(address);
                self.note_abroad(address, self.address);
            }
        }
    }

    fn start_probe(&mut self, now: Instant, outgoing: &mut Vec<Outgoing>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        self.probes = self.probes.wrapping_add(1);
        if self.probes.is_multiple_of(GONE_PROBE_EVERY)
            && let Some(gone) = self.gone_neighbour()
        {
            let sequence = self.prober.sequence();
            outgoing.push(self.ping_as(gone, sequence));
            return;
        }
        let neighbours = self.neighbours();
        if let Some(target) = self
            .prober
            .next_target(|| neighbours.clone(), &mut self.rng)
        {
            outgoing.extend(self.ping(target, now));
        }
    }

    /// A ping whose answer is waited for.
    fn ping(&mut self, target: SocketAddr, now: Instant) -> Option<Outgoing> {
        let sequence = self.prober.start(target, now)?;
        Some(self.ping_as(target, sequence))
    }

    fn ping_as(&mut self, to: SocketAddr, sequence: u32) -> Outgoing {
        let mut claims = self.claims(&[self.address]);
        claims.extend(self.doubts_for(to));
        claims.truncate(RECORDS_PER_DATAGRAM);
        let room = RECORDS_PER_DATAGRAM - claims.len();
        claims.extend(self.take_news(room));
        let kind = Kind::Ping { sequence };
        Outgoing { to, kind, claims }
    }

    fn gone_neighbour(&mut self) -> Option<SocketAddr> {
        let gone: Vec<SocketAddr> = self
            .table
            .members()
            .filter(|member| member.claim.status == Status::Gone)
            .filter(|member| member.claim.record.zone == self.zone)
            .map(|member| member.claim.record.address)
            .collect();
        self.rng.choice(gone)
    }

    fn ping_abroad(&mut self, now: Instant, outgoing: &mut Vec<Outgoing>) {
        if now < self.next_abroad {
            return;
        }
        self.next_abroad = now + ABROAD_INTERVAL;
        if self.is_relay()
            && let Some(stranger) = self.stranger()
        {
            // Without an answer it is suspect: less preferred, and gone only by its zone's word.
            outgoing.extend(self.ping(stranger, now));
        }
    }

    fn ping_seed(&mut self, now: Instant, outgoing: &mut Vec<Outgoing>) {
        if now < self.next_seed {
            return;
        }
        let alone = self.table.present().count() == 1;
        self.next_seed = now + if alone { PROBE_INTERVAL } else { SEED_INTERVAL };
        // All nodes of a large group together would be too much for the few seeds.
        if (alone || self.is_relay())
            && let Some(seed) = self.rng.choice(self.seeds.clone())
        {
            let sequence = self.prober.sequence();
            outgoing.push(self.ping_as(seed, sequence));
        }
    }

    fn flush_news(&mut self, outgoing: &mut Vec<Outgoing>) {
        if self.news.is_empty() {
            return;
        }
        for to in self.pick_neighbours(FAN_OUT) {
            let claims = self.take_news(RECORDS_PER_DATAGRAM);
            if claims.is_empty() {
                return;
            }
            let kind = Kind::News;
            outgoing.push(Outgoing { to, kind, claims });
        }
    }
}
