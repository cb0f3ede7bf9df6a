//! Membership, and the target of this node.

use super::State;
use fulmarreel_distribution::{comparison::Distance, duty};
use fulmarreel_membership::{
    Claim, Group, Incarnation, OutgoingDatagram, Record, Status, Target, exchange, group, relay,
};
use fulmarreel_wire::gossip::{Digest, Kind};
use smol::channel::Receiver;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// A target that has not announced itself for this long is withdrawn.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(2);

impl State {
    /// Records the announcement of this node's target; `None` withdraws the target.
    pub fn announce(&self, target: Option<Target>) {
        let now = Instant::now();
        *self.announced_at.lock().expect("announced lock") = target.is_some().then_some(now);
        let leaving = target.as_ref().is_some_and(|target| target.leaving);
        let (changed, outgoing) = self.with_members(|members| {
            let changed = members.set_target(target, now);
            let urgent = changed && leaving;
            (
                changed,
                urgent.then(|| members.broadcast_own_claim().outgoing),
            )
        });
        self.queue_datagrams(outgoing.unwrap_or_default());
        if changed {
            self.rebuild();
        }
    }

    /// Withdraws this node's target if its last announcement is too old.
    pub(crate) fn withdraw_silent_target(&self, now: Instant) {
        let announced_at = *self.announced_at.lock().expect("announced lock");
        let silent = |at: Instant| now.saturating_duration_since(at) > ANNOUNCEMENT_LIFETIME;
        if announced_at.is_some_and(silent) {
            log::warn!("target: no announcement for {ANNOUNCEMENT_LIFETIME:?}, withdrawn");
            self.announce(None);
        }
    }

    /// Restarts the lifetime of the target's last announcement, after a pause during which this
    /// process could receive none.
    pub(crate) fn restart_target_timeout(&self, now: Instant) {
        let mut announced_at = self.announced_at.lock().expect("announced lock");
        *announced_at = announced_at.map(|_| now);
    }

    /// Suspects a node that could not be reached: it becomes less preferred at once, is probed, and
    /// counts as gone after about a second unless it answers.
    pub fn suspect(&self, address: SocketAddr) {
        let outcome =
            self.with_members(|members| members.suspect_unreachable(address, Instant::now()));
        self.apply_outcome(outcome);
    }

    /// Announces to all nodes that this one is stopping. The gossip task sends the datagrams when
    /// it next runs.
    pub fn leave(&self) {
        let outcome = self.with_members(|members| members.leave(Instant::now()));
        self.apply_outcome(outcome);
    }

    /// The last announcement of this node's target.
    pub fn own_target(&self) -> Option<Target> {
        self.with_members(|members| members.own_record().target.clone())
    }

    /// The records of all nodes that are not gone.
    pub fn records(&self) -> Vec<Record> {
        self.with_members(|members| {
            let present = members.table().present();
            present.map(|claim| claim.record.clone()).collect()
        })
    }

    /// All nodes that are not gone, with their records and status.
    pub fn members(&self) -> Vec<Claim> {
        self.with_members(|members| members.table().present().cloned().collect())
    }

    /// Processes a gossip datagram.
    pub(crate) fn receive_gossip(
        &self,
        from: SocketAddr,
        kind: Kind,
        claims: &[Claim],
        digest: &Digest,
    ) {
        if let Some(age) = digest.store_contact_age_ms {
            self.record_remote_contact(age);
        }
        let now = Instant::now();
        let outcome = self.with_members(|members| members.receive(from, kind, claims, now));
        self.apply_outcome(outcome);
    }

    /// Runs the work of membership that is due: probes, ends of suspicions and queued records.
    pub(crate) fn tick_membership(&self, now: Instant) {
        let outcome = self.with_members(|members| members.tick(now));
        self.apply_outcome(outcome);
    }

    /// Whether to start a comparison with a peer whose digest was received.
    pub(crate) fn admit_exchange(&self, peer: SocketAddr, theirs: &Digest) -> bool {
        let joining = self.needs_peer(peer);
        let (own, distance) = (self.digest(), self.distance(peer));
        let mut schedule = self
            .comparison_schedule
            .lock()
            .expect("comparison schedule lock");
        schedule.should_compare(&own, theirs, distance, joining, Instant::now())
    }

    /// Hashes of this node's members and entries, for peers to compare with their own, and the age
    /// of the last known store contact.
    pub(crate) fn digest(&self) -> Digest {
        let contact = self.store_contact_age();
        Digest {
            members: self.with_members(|members| members.table().hash()),
            entries: self.entries_hash(),
            store_contact_age_ms: contact.map(|age| age.as_millis().try_into().unwrap_or(u32::MAX)),
        }
    }

    /// How far away a peer is; [`Distance::OtherRegion`] if it is unknown.
    pub fn distance(&self, peer: SocketAddr) -> Distance {
        self.with_members(|members| {
            let own = members.own_record();
            match members.table().get(peer).map(|member| &member.claim.record) {
                Some(record) if record.zone == own.zone => Distance::Zone,
                Some(record) if record.region == own.region => Distance::Region,
                Some(_) | None => Distance::OtherRegion,
            }
        })
    }

    /// The hash of each zone's records.
    pub(crate) fn zone_hashes(&self) -> BTreeMap<String, u64> {
        self.with_members(|members| {
            let hashes = members.table().zone_hashes().into_iter();
            hashes.map(|(zone, hash)| (zone.to_owned(), hash)).collect()
        })
    }

    /// The zones whose hashes differ from a peer's, with the incarnations of their members that
    /// this node knows.
    pub(crate) fn differing_zones(
        &self,
        theirs: &BTreeMap<String, u64>,
    ) -> (Vec<String>, Vec<(SocketAddr, Incarnation)>) {
        self.with_members(|members| {
            let zones = exchange::differing_zones(members.table(), theirs);
            let summary = exchange::summary(members.table(), &zones);
            (zones, summary)
        })
    }

    /// Which records of some zones a peer lacks, and which this node lacks.
    pub(crate) fn compare_members(
        &self,
        zones: &[String],
        theirs: &BTreeMap<SocketAddr, Incarnation>,
    ) -> exchange::Difference {
        self.with_members(|members| exchange::compare(members.table(), zones, theirs))
    }

    /// The claims about some nodes.
    pub(crate) fn claims(&self, addresses: &[SocketAddr]) -> Vec<Claim> {
        self.with_members(|members| members.claims(addresses))
    }

    /// Merges claims from a comparison; returns newer ones for those that are outdated.
    pub(crate) fn merge_claims(&self, from: SocketAddr, claims: &[Claim]) -> Vec<Claim> {
        let (corrections, changed) = self.with_members(|members| {
            let corrections = members.merge_exchange(from, claims, Instant::now());
            (corrections, members.take_changed())
        });
        if changed {
            self.rebuild();
        }
        corrections
    }

    /// The other nodes that are not gone and that `wanted` accepts, by zone.
    pub(crate) fn peers_by_zone(
        &self,
        wanted: impl Fn(&Record) -> bool,
    ) -> BTreeMap<String, Vec<SocketAddr>> {
        self.with_members(|members| {
            let own = members.own_record().address;
            let mut zones: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
            let records = members.table().present().map(|claim| &claim.record);
            for record in records.filter(|record| record.address != own && wanted(record)) {
                let zone = zones.entry(record.zone.clone()).or_default();
                zone.push(record.address);
            }
            zones
        })
    }

    /// Whether this node is one of the relays that gossip with other zones for its zone.
    pub(crate) fn is_relay(&self) -> bool {
        self.with_members(|members| members.is_relay())
    }

    /// Whether no other node is known.
    pub(crate) fn is_alone(&self) -> bool {
        self.with_members(|members| members.table().present().count() == 1)
    }

    /// Adds seeds: addresses of nodes to contact first.
    pub(crate) fn add_seeds(&self, seeds: Vec<SocketAddr>) {
        self.with_members(|members| members.add_seeds(seeds));
    }

    /// Sets in this node's record whether it watches the store for its region.
    pub(crate) fn set_watcher(&self, watcher: bool) {
        self.with_members(|members| members.set_watcher(watcher, Instant::now()));
    }

    /// The inputs of the decision whether this node should watch the store.
    pub(crate) fn duty_situation(&self) -> duty::WatchSituation {
        let contact_age = self.store_contact_age();
        self.with_members(|members| {
            let own = members.own_record();
            let alive = || {
                let present = members.table().present();
                present.filter(|claim| claim.status == Status::Alive)
            };
            let records = || alive().map(|claim| &claim.record);
            let region = || records().filter(|record| record.region == own.region);
            let watchers = region().filter(|record| record.watcher);
            let region_watchers = watchers
                .filter(|record| record.address != own.address)
                .count();
            let idle = region().filter(|record| !record.watcher);
            let zone = records().filter(|record| record.zone == own.zone);
            duty::WatchSituation {
                region_watchers,
                region_rank: candidate_rank(idle, own.address),
                zone_rank: candidate_rank(zone, own.address),
                contact_age,
                uptime: self.started.elapsed(),
                has_compared: self.compared.load(Ordering::Relaxed),
            }
        })
    }

    /// Records that this node has completed a comparison with a peer.
    pub(crate) fn record_comparison(&self) {
        self.compared.store(true, Ordering::Relaxed);
    }

    /// Whether a process may still be a watcher: it is unknown to this node, or alive.
    pub(crate) fn may_be_watcher(&self, address: SocketAddr, started_at_ms: u64) -> bool {
        self.with_members(|members| {
            let known = members.table().get(address).map(|member| &member.claim);
            known.is_none_or(|claim| {
                claim.status == Status::Alive
                    && claim.record.incarnation.started_at_ms == started_at_ms
            })
        })
    }

    /// How many of the region's alive watchers rank before this node.
    pub(crate) fn watchers_before(&self) -> usize {
        self.with_members(|members| {
            let own = members.own_record();
            let alive = members.table().present();
            let alive = alive.filter(|claim| claim.status == Status::Alive);
            let records = alive.map(|claim| &claim.record);
            let watchers = records.filter(|record| record.watcher && record.region == own.region);
            let order = relay::first_by_hash(watchers, usize::MAX);
            let before = order.iter().take_while(|address| **address != own.address);
            before.count()
        })
    }

    /// The queue of datagrams to be sent.
    pub(crate) fn datagrams(&self) -> &Receiver<Vec<OutgoingDatagram>> {
        &self.datagrams.1
    }

    fn apply_outcome(&self, outcome: group::StepResult) {
        self.queue_datagrams(outcome.outgoing);
        if outcome.changed {
            self.rebuild();
        }
    }

    fn queue_datagrams(&self, outgoing: Vec<OutgoingDatagram>) {
        if !outgoing.is_empty() {
            // The queue is unbounded, and its receiver lives as long as the state.
            let _ = self.datagrams.0.try_send(outgoing);
        }
    }

    fn with_members<T>(&self, work: impl FnOnce(&mut Group) -> T) -> T {
        work(&mut self.members.lock().expect("members lock"))
    }
}

/// The rank of the node at `own` among `records`; `usize::MAX` if it is not among the first few.
fn candidate_rank<'a>(records: impl Iterator<Item = &'a Record>, own: SocketAddr) -> usize {
    let order = relay::first_by_hash(records, duty::MAX_CANDIDATES);
    let place = order.iter().position(|address| *address == own);
    place.unwrap_or(usize::MAX)
}
