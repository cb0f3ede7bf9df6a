//! What a node makes of datagrams and of records that came in an exchange.

use super::{Group, MAX_DOUBTS, MAX_EXCHANGED_NEWS, Outcome, Outgoing, RECORDS_PER_DATAGRAM};
use crate::{Claim, Status, table::Merged};
use fulmarreel_wire::gossip::Kind;
use std::{net::SocketAddr, time::Instant};

impl Group {
    /// Takes a datagram in.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        kind: Kind,
        claims: &[Claim],
        now: Instant,
    ) -> Outcome {
        let corrections = self.merge(from, claims, now);
        let mut outgoing = Vec::new();
        match kind {
            Kind::Ping { sequence } => outgoing.push(self.answer(from, sequence, corrections)),
            Kind::Ack { sequence } => {
                if let Some((to, sequence)) = self.prober.answered(sequence) {
                    let (kind, claims) = (Kind::Ack { sequence }, Vec::new());
                    outgoing.push(Outgoing { to, kind, claims });
                }
            }
            Kind::Relay { sequence, target } => {
                let sequence = self.prober.start_errand(from, sequence, now);
                let (to, kind) = (target, Kind::Ping { sequence });
                let claims = self.claims(&[self.address, target]);
                outgoing.push(Outgoing { to, kind, claims });
            }
            Kind::News if !corrections.is_empty() => outgoing.push(Outgoing {
                to: from,
                kind: Kind::News,
                claims: corrections,
            }),
            Kind::News => {}
        }
        let changed = std::mem::take(&mut self.changed);
        Outcome { outgoing, changed }
    }

    /// Takes claims in; returns better ones for those that are outdated.
    pub fn merge(&mut self, from: SocketAddr, claims: &[Claim], now: Instant) -> Vec<Claim> {
        let mut corrections = Vec::new();
        for claim in claims {
            if self.accept(from, claim, now) == Merged::Outdated {
                corrections.extend(self.claims(&[claim.record.address]));
            }
        }
        corrections
    }

    /// Takes in what an exchange with a peer brought; returns better claims for outdated ones.
    ///
    /// Neighbours hear of it only where the peer is of another zone and the news is small: their own
    /// exchanges bring them the rest.
    pub fn merge_exchange(
        &mut self,
        from: SocketAddr,
        claims: &[Claim],
        now: Instant,
    ) -> Vec<Claim> {
        let peer = self.table.get(from).map(|member| &member.claim.record);
        let foreign = peer.is_some_and(|peer| peer.zone != self.zone);
        if foreign && claims.len() <= MAX_EXCHANGED_NEWS {
            return self.merge(from, claims, now);
        }
        let spreading = std::mem::take(&mut self.news);
        let crossing = std::mem::take(&mut self.abroad);
        let corrections = self.merge(from, claims, now);
        // An objection of this node itself is news all the same.
        let objects = self.news.contains(self.address);
        self.news = spreading;
        self.abroad = crossing;
        if objects {
            self.spread(self.address);
        }
        corrections
    }

    /// Whether a record or a status changed since it was last asked for.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    fn accept(&mut self, from: SocketAddr, claim: &Claim, now: Instant) -> Merged {
        let address = claim.record.address;
        if address == self.address {
            return self.accept_own(claim, now);
        }
        let known = self.table.get(address).map(|member| &member.claim);
        if known.is_some_and(|known| known.rank() >= claim.rank()) {
            return self.table.merge(claim, now);
        }
        if known.is_none() && claim.status == Status::Gone {
            // Nothing to remove; the incarnation is remembered all the same.
            return self.table.merge(claim, now);
        }
        if claim.status == Status::Gone && !self.admit_loss(claim, now) {
            return Merged::Known;
        }
        self.table.merge(claim, now);
        self.spread(address);
        self.note_abroad(address, from);
        Merged::News
    }

    fn accept_own(&mut self, claim: &Claim, now: Instant) -> Merged {
        let own = self.own().incarnation;
        let mine = self.table.get(self.address).map(|own| own.claim.status);
        if mine == Some(Status::Gone) {
            // This node has said that it ends.
            return Merged::Known;
        }
        let claimed = claim.record.incarnation;
        if claimed > own || (claimed == own && claim.status != Status::Alive) {
            self.refute(claimed, now);
            return Merged::Outdated;
        }
        if claimed < own {
            Merged::Outdated
        } else {
            Merged::Known
        }
    }

    /// Whether a loss may be believed; a leaving node's end is no surprise.
    pub(super) fn admit_loss(&mut self, claim: &Claim, now: Instant) -> bool {
        let record = &claim.record;
        let leaving = record.target.as_ref().is_some_and(|target| target.leaving);
        if record.zone != self.zone || leaving {
            return true;
        }
        let present = self.table.zone(&self.zone).count();
        self.doubt.admit(present, now)
    }

    fn answer(&mut self, to: SocketAddr, sequence: u32, mut claims: Vec<Claim>) -> Outgoing {
        claims.extend(self.doubts_for(to));
        claims.truncate(RECORDS_PER_DATAGRAM);
        let room = RECORDS_PER_DATAGRAM - claims.len();
        claims.extend(self.take_news(room));
        let kind = Kind::Ack { sequence };
        Outgoing { to, kind, claims }
    }

    /// What a node must hear so that it, or in another zone its neighbours, can object: after a cut
    /// between zones, most of a zone may be suspect elsewhere without knowing it.
    pub(super) fn doubts_for(&mut self, to: SocketAddr) -> Vec<Claim> {
        let Some(receiver) = self.table.get(to).map(|member| &member.claim) else {
            return Vec::new();
        };
        let mut doubts = Vec::new();
        if receiver.status != Status::Alive {
            doubts.push(receiver.clone());
        }
        if receiver.record.zone != self.zone {
            let zone = self.table.zone(&receiver.record.zone);
            let suspects = zone
                .filter(|claim| claim.status == Status::Suspect)
                .filter(|claim| claim.record.address != to)
                .cloned();
            doubts.extend(self.rng.choose_multiple(suspects, MAX_DOUBTS));
        }
        doubts
    }
}
