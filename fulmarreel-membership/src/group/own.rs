//! What a node says of itself.

use super::{Group, Outcome, Outgoing};
use crate::{Claim, Incarnation, Record, Status, Target};
use fulmarreel_wire::gossip::Kind;
use std::time::Instant;

impl Group {
    /// The node's own record.
    pub fn own(&self) -> &Record {
        let own = self.table.get(self.address).expect("own record");
        &own.claim.record
    }

    /// Says what the node's target is; false where that is known.
    pub fn announce(&mut self, target: Option<Target>, now: Instant) -> bool {
        if self.own().target == target {
            return false;
        }
        self.revise(now, |record| record.target = target);
        true
    }

    /// Says whether the node watches the store for its region.
    pub fn set_watcher(&mut self, watcher: bool, now: Instant) {
        if self.own().watcher != watcher {
            self.revise(now, |record| record.watcher = watcher);
        }
    }

    /// Says that the node ends now; the datagrams go to each neighbour and to other zones.
    pub fn leave(&mut self, now: Instant) -> Outcome {
        let incarnation = self.own().incarnation;
        self.restate(incarnation, Status::Gone, now, |_| {});
        self.tell_all()
    }

    /// The own claim to each neighbour at once, for what must not wait for its turn.
    pub fn tell_all(&mut self) -> Outcome {
        let claims = self.claims(&[self.address]);
        let tell = |to| Outgoing {
            to,
            kind: Kind::News,
            claims: claims.clone(),
        };
        let mut outgoing: Vec<Outgoing> = self.neighbours().into_iter().map(tell).collect();
        let abroad = self.gateways(|_, _| true);
        outgoing.extend(abroad.into_iter().map(tell));
        let changed = std::mem::take(&mut self.changed);
        Outcome { outgoing, changed }
    }

    /// Objects to a claim of others about this node.
    pub(super) fn refute(&mut self, claimed: Incarnation, now: Instant) {
        self.restate(claimed, Status::Alive, now, |_| {});
    }

    fn revise(&mut self, now: Instant, change: impl FnOnce(&mut Record)) {
        let incarnation = self.own().incarnation;
        self.restate(incarnation, Status::Alive, now, change);
    }

    /// Makes a record later than `after`.
    fn restate(
        &mut self,
        after: Incarnation,
        status: Status,
        now: Instant,
        change: impl FnOnce(&mut Record),
    ) {
        let mut record = self.own().clone();
        let after = after.max(record.incarnation);
        record.incarnation = Incarnation {
            boot: after.boot,
            sequence: after.sequence + 1,
        };
        change(&mut record);
        self.table.merge(&Claim { record, status }, now);
        self.spread(self.address);
        self.abroad.add(self.address, &self.region);
    }
}
