//! Handling of received datagrams and of claims received in an exchange.

use super::{
    Group, MAX_GOSSIPED_EXCHANGE_CLAIMS, MAX_SUSPECTS, OutgoingDatagram, RECORDS_PER_DATAGRAM,
    StepResult,
};
use crate::{Claim, Status, table::MergeResult};
use fulmarreel_wire::gossip::Kind;
use std::{net::SocketAddr, time::Instant};

impl Group {
    /// Handles a datagram.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        kind: Kind,
        claims: &[Claim],
        now: Instant,
    ) -> StepResult {
        let corrections = self.merge(from, claims, now);
        let mut outgoing = Vec::new();
        match kind {
            Kind::Ping { sequence } => outgoing.push(self.ack(from, sequence, corrections)),
            Kind::Ack { sequence } => {
                if let Some((to, sequence)) = self.prober.acknowledge(sequence) {
                    let (kind, claims) = (Kind::Ack { sequence }, Vec::new());
                    outgoing.push(OutgoingDatagram { to, kind, claims });
                }
            }
            Kind::PingRequest { sequence, target } => {
                let sequence = self.prober.start_relayed_ping(from, sequence, now);
                let (to, kind) = (target, Kind::Ping { sequence });
                let claims = self.claims(&[self.address, target]);
                outgoing.push(OutgoingDatagram { to, kind, claims });
            }
            Kind::Gossip if !corrections.is_empty() => outgoing.push(OutgoingDatagram {
                to: from,
                kind: Kind::Gossip,
                claims: corrections,
            }),
            Kind::Gossip => {}
        }
        let changed = std::mem::take(&mut self.changed);
        StepResult { outgoing, changed }
    }

    /// Merges claims into the table. Returns the newer known claim for each outdated one.
    pub fn merge(&mut self, from: SocketAddr, claims: &[Claim], now: Instant) -> Vec<Claim> {
        let mut corrections = Vec::new();
        for claim in claims {
            if self.accept_claim(from, claim, now) == MergeResult::Outdated {
                corrections.extend(self.claims(&[claim.record.address]));
            }
        }
        corrections
    }

    /// Merges claims received in an exchange with a peer. Returns the newer known claim for each
    /// outdated one.
    ///
    /// They are gossiped further only if the peer is of another zone and they are few: the other
    /// members of the zone get the rest through exchanges of their own.
    pub fn merge_exchange(
        &mut self,
        from: SocketAddr,
        claims: &[Claim],
        now: Instant,
    ) -> Vec<Claim> {
        let peer = self.table.get(from).map(|member| &member.claim.record);
        let in_other_zone = peer.is_some_and(|peer| peer.zone != self.zone);
        if in_other_zone && claims.len() <= MAX_GOSSIPED_EXCHANGE_CLAIMS {
            return self.merge(from, claims, now);
        }
        let gossip_before = std::mem::take(&mut self.gossip_queue);
        let cross_zone_before = std::mem::take(&mut self.cross_zone_queue);
        let corrections = self.merge(from, claims, now);
        // A refutation by this node itself is gossiped in any case.
        let has_refuted = self.gossip_queue.contains(self.address);
        self.gossip_queue = gossip_before;
        self.cross_zone_queue = cross_zone_before;
        if has_refuted {
            self.queue_gossip(self.address);
        }
        corrections
    }

    /// Whether a record or a status changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    fn accept_claim(&mut self, from: SocketAddr, claim: &Claim, now: Instant) -> MergeResult {
        let address = claim.record.address;
        if address == self.address {
            return self.accept_own_claim(claim, now);
        }
        let known = self.table.get(address).map(|member| &member.claim);
        if known.is_some_and(|known| known.rank() >= claim.rank()) {
            return self.table.merge(claim, now);
        }
        if known.is_none() && claim.status == Status::Gone {
            // An unknown node is no loss; the table keeps its incarnation to recognise late claims.
            return self.table.merge(claim, now);
        }
        if claim.status == Status::Gone && !self.admit_loss(claim, now) {
            return MergeResult::Unchanged;
        }
        self.table.merge(claim, now);
        self.queue_gossip(address);
        self.queue_cross_zone(address, from);
        MergeResult::Applied
    }

    fn accept_own_claim(&mut self, claim: &Claim, now: Instant) -> MergeResult {
        let own_incarnation = self.own_record().incarnation;
        let own_status = self.table.get(self.address).map(|own| own.claim.status);
        if own_status == Some(Status::Gone) {
            // This node has published that it shuts down, and refutes no claim.
            return MergeResult::Unchanged;
        }
        let claimed = claim.record.incarnation;
        if claimed > own_incarnation
            || (claimed == own_incarnation && claim.status != Status::Alive)
        {
            self.refute(claimed, now);
            return MergeResult::Outdated;
        }
        if claimed < own_incarnation {
            MergeResult::Outdated
        } else {
            MergeResult::Unchanged
        }
    }

    /// Whether a claim that a node is gone may be accepted. A node of another zone is declared gone
    /// by that zone, and the end of a node with a leaving target is expected: both are accepted and
    /// don't count as losses.
    pub(super) fn admit_loss(&mut self, claim: &Claim, now: Instant) -> bool {
        let record = &claim.record;
        let leaving = record.target.as_ref().is_some_and(|target| target.leaving);
        if record.zone != self.zone || leaving {
            return true;
        }
        let present = self.table.zone(&self.zone).count();
        self.loss_limiter.admit(present, now)
    }

    fn ack(&mut self, to: SocketAddr, sequence: u32, mut claims: Vec<Claim>) -> OutgoingDatagram {
        claims.extend(self.claims_to_refute(to));
        claims.truncate(RECORDS_PER_DATAGRAM);
        let room = RECORDS_PER_DATAGRAM - claims.len();
        claims.extend(self.take_gossip(room));
        let kind = Kind::Ack { sequence };
        OutgoingDatagram { to, kind, claims }
    }

    /// Claims for the receiver to refute: the one about itself if it is not alive, and for a node
    /// of another zone also those about suspects of its zone, which it forwards. After a cut
    /// between zones, most of a zone may be suspect elsewhere without knowing it.
    pub(super) fn claims_to_refute(&mut self, to: SocketAddr) -> Vec<Claim> {
        let Some(receiver) = self.table.get(to).map(|member| &member.claim) else {
            return Vec::new();
        };
        let mut claims = Vec::new();
        if receiver.status != Status::Alive {
            claims.push(receiver.clone());
        }
        if receiver.record.zone != self.zone {
            let zone = self.table.zone(&receiver.record.zone);
            let suspects = zone
                .filter(|claim| claim.status == Status::Suspect)
                .filter(|claim| claim.record.address != to)
                .cloned();
            claims.extend(self.rng.choose_multiple(suspects, MAX_SUSPECTS));
        }
        claims
    }
}
