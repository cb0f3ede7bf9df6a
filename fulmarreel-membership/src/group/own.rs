//! Updates of the node's own record.

use super::{Group, OutgoingDatagram, StepResult};
use crate::{Claim, Incarnation, Record, Status, Target};
use fulmarreel_wire::gossip::Kind;
use std::time::Instant;

impl Group {
    /// The node's own record.
    pub fn own_record(&self) -> &Record {
        let own = self.table.get(self.address).expect("own record");
        &own.claim.record
    }

    /// Publishes the node's target. Returns false if it is unchanged.
    pub fn set_target(&mut self, target: Option<Target>, now: Instant) -> bool {
        if self.own_record().target == target {
            return false;
        }
        self.update_own_record(now, |record| record.target = target);
        true
    }

    /// Publishes whether the node watches the store for its region.
    pub fn set_watcher(&mut self, watcher: bool, now: Instant) {
        if self.own_record().watcher != watcher {
            self.update_own_record(now, |record| record.watcher = watcher);
        }
    }

    /// Publishes that the node shuts down now. The datagrams go to every peer of the zone and to
    /// other zones.
    pub fn leave(&mut self, now: Instant) -> StepResult {
        let incarnation = self.own_record().incarnation;
        self.publish_own_record(incarnation, Status::Gone, now, |_| {});
        self.broadcast_own_claim()
    }

    /// Datagrams that send the own claim to every peer of the zone and to other zones at once, for
    /// changes that must not wait for gossip.
    pub fn broadcast_own_claim(&mut self) -> StepResult {
        let claims = self.claims(&[self.address]);
        let datagram = |to| OutgoingDatagram {
            to,
            kind: Kind::Gossip,
            claims: claims.clone(),
        };
        let mut outgoing: Vec<OutgoingDatagram> =
            self.zone_peers().into_iter().map(datagram).collect();
        let relays = self.other_zone_relays(|_, _| true);
        outgoing.extend(relays.into_iter().map(datagram));
        let changed = std::mem::take(&mut self.changed);
        StepResult { outgoing, changed }
    }

    /// Refutes a claim of another node about this one.
    pub(super) fn refute(&mut self, claimed: Incarnation, now: Instant) {
        self.publish_own_record(claimed, Status::Alive, now, |_| {});
    }

    fn update_own_record(&mut self, now: Instant, change: impl FnOnce(&mut Record)) {
        let incarnation = self.own_record().incarnation;
        self.publish_own_record(incarnation, Status::Alive, now, change);
    }

    /// Replaces the own record by one of a later incarnation than `after`, and queues it for the
    /// zone and for other zones.
    fn publish_own_record(
        &mut self,
        after: Incarnation,
        status: Status,
        now: Instant,
        change: impl FnOnce(&mut Record),
    ) {
        let mut record = self.own_record().clone();
        let after = after.max(record.incarnation);
        record.incarnation = Incarnation {
            started_at_ms: after.started_at_ms,
            sequence: after.sequence + 1,
        };
        change(&mut record);
        self.table.merge(&Claim { record, status }, now);
        self.queue_gossip(self.address);
        self.cross_zone_queue.add(self.address, &self.region);
    }
}
