//! Members, and the node's own target.

use super::State;
use fulmarreel_distribution::{duty, pace::Distance};
use fulmarreel_membership::{
    Claim, Group, Incarnation, Outgoing, Record, Status, Target, exchange, group, relay,
};
use fulmarreel_wire::gossip::{Digest, Kind};
use smol::channel::Receiver;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// A target that has not announced itself for that long is withdrawn.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(2);

impl State {
    /// Records what the node's own target said of itself; `None` withdraws it.
    pub fn announce(&self, target: Option<Target>) {
        let now = Instant::now();
        *self.announced.lock().expect("announced lock") = target.is_some().then_some(now);
        let leaving = target.as_ref().is_some_and(|target| target.leaving);
        let (changed, outgoing) = self.with_members(|members| {
            let changed = members.announce(target, now);
            let urgent = changed && leaving;
            (changed, urgent.then(|| members.tell_all().outgoing))
        });
        self.send(outgoing.unwrap_or_default());
        if changed {
            self.rebuild();
        }
    }

    /// Withdraws the own target when it has been silent for too long.
    pub(crate) fn expire_target(&self, now: Instant) {
        let announced = *self.announced.lock().expect("announced lock");
        let silent = |at: Instant| now.saturating_duration_since(at) > ANNOUNCEMENT_LIFETIME;
        if announced.is_some_and(silent) {
            log::warn!("target: no announcement for {ANNOUNCEMENT_LIFETIME:?}, withdrawn");
            self.announce(None);
        }
    }

    /// Grants the own target its lifetime anew, after a pause in which it could not be heard.
    pub(crate) fn excuse_target(&self, now: Instant) {
        let mut announced = self.announced.lock().expect("announced lock");
        *announced = announced.map(|_| now);
    }

    /// Notes that a node could not be reached: it is less preferred at once, probed, and gone in
    /// about a second unless it answers.
    pub fn doubt(&self, address: SocketAddr) {
        let outcome = self.with_members(|members| members.doubt(address, Instant::now()));
        self.finish(outcome);
    }

    /// Says to all nodes that this one ends now. The datagrams leave with the next turn of the
    /// gossip task.
    pub fn leave(&self) {
        let outcome = self.with_members(|members| members.leave(Instant::now()));
        self.finish(outcome);
    }

    /// What the node's own target announced last.
    pub fn own_target(&self) -> Option<Target> {
        self.with_members(|members| members.own().target.clone())
    }

    /// Every record of a node that is not gone.
    pub fn records(&self) -> Vec<Record> {
        self.with_members(|members| {
            let present = members.table().present();
            present.map(|claim| claim.record.clone()).collect()
        })
    }

    /// Every node that is not gone, and what is believed of it.
    pub fn members(&self) -> Vec<Claim> {
        self.with_members(|members| members.table().present().cloned().collect())
    }

    /// Takes a datagram in.
    pub(crate) fn receive(&self, from: SocketAddr, kind: Kind, claims: &[Claim], digest: &Digest) {
        if let Some(age) = digest.contact_ms {
            self.hear_contact(age);
        }
        let now = Instant::now();
        let outcome = self.with_members(|members| members.receive(from, kind, claims, now));
        self.finish(outcome);
    }

    /// Does what is due.
    pub(crate) fn tick(&self, now: Instant) {
        let outcome = self.with_members(|members| members.tick(now));
        self.finish(outcome);
    }

    /// Whether to compare with a peer whose digest was received.
    pub(crate) fn admit_exchange(&self, peer: SocketAddr, theirs: &Digest) -> bool {
        let joining = self.needs(peer);
        let (own, distance) = (self.digest(), self.distance(peer));
        let mut pace = self.pace.lock().expect("pace lock");
        pace.admit(&own, theirs, distance, joining, Instant::now())
    }

    /// What this node holds, in short.
    pub(crate) fn digest(&self) -> Digest {
        let contact = self.contact_age();
        Digest {
            members: self.with_members(|members| members.table().hash()),
            entries: self.entries_hash(),
            contact_ms: contact.map(|age| age.as_millis().try_into().unwrap_or(u32::MAX)),
        }
    }

    /// Where a peer is; far where it is not known.
    pub fn distance(&self, peer: SocketAddr) -> Distance {
        self.with_members(|members| {
            let own = members.own();
            match members.table().get(peer).map(|member| &member.claim.record) {
                Some(record) if record.zone == own.zone => Distance::Zone,
                Some(record) if record.region == own.region => Distance::Region,
                Some(_) | None => Distance::Far,
            }
        })
    }

    /// The zones with their hashes.
    pub(crate) fn zone_hashes(&self) -> BTreeMap<String, u64> {
        self.with_members(|members| {
            let hashes = members.table().zone_hashes().into_iter();
            hashes.map(|(zone, hash)| (zone.to_owned(), hash)).collect()
        })
    }

    /// Zones that differ from a peer's, with the own records of them in short.
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

    /// What a peer lacks of some zones, and what this node lacks.
    pub(crate) fn compare_members(
        &self,
        zones: &[String],
        theirs: &BTreeMap<SocketAddr, Incarnation>,
    ) -> exchange::Difference {
        self.with_members(|members| exchange::compare(members.table(), zones, theirs))
    }

    /// What is known of some nodes.
    pub(crate) fn claims(&self, addresses: &[SocketAddr]) -> Vec<Claim> {
        self.with_members(|members| members.claims(addresses))
    }

    /// Takes in claims from an exchange; returns better ones for those that are outdated.
    pub(crate) fn take_claims(&self, from: SocketAddr, claims: &[Claim]) -> Vec<Claim> {
        let (corrections, changed) = self.with_members(|members| {
            let corrections = members.merge_exchange(from, claims, Instant::now());
            (corrections, members.take_changed())
        });
        if changed {
            self.rebuild();
        }
        corrections
    }

    /// Other nodes that are not gone, by zone, in the zones that are wanted.
    pub(crate) fn peers_by_zone(
        &self,
        wanted: impl Fn(&Record) -> bool,
    ) -> BTreeMap<String, Vec<SocketAddr>> {
        self.with_members(|members| {
            let own = members.own().address;
            let mut zones: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
            let records = members.table().present().map(|claim| &claim.record);
            for record in records.filter(|record| record.address != own && wanted(record)) {
                let zone = zones.entry(record.zone.clone()).or_default();
                zone.push(record.address);
            }
            zones
        })
    }

    /// Whether this node speaks with other zones for its own.
    pub(crate) fn is_relay(&self) -> bool {
        self.with_members(|members| members.is_relay())
    }

    /// Whether no other node is known.
    pub(crate) fn is_alone(&self) -> bool {
        self.with_members(|members| members.table().present().count() == 1)
    }

    /// Takes further addresses of first contact.
    pub(crate) fn add_seeds(&self, seeds: Vec<SocketAddr>) {
        self.with_members(|members| members.add_seeds(seeds));
    }

    /// Says whether this node watches the store for its region.
    pub(crate) fn set_watcher(&self, watcher: bool) {
        self.with_members(|members| members.set_watcher(watcher, Instant::now()));
    }

    /// What the decision to watch the store rests on.
    pub(crate) fn duty_situation(&self) -> duty::Situation {
        let contact = self.contact_age();
        self.with_members(|members| {
            let own = members.own();
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
            duty::Situation {
                region_watchers,
                region_rank: rank(idle, own.address),
                zone_rank: rank(zone, own.address),
                contact,
                waited: self.started.elapsed(),
                met: self.met.load(Ordering::Relaxed),
            }
        })
    }

    /// Notes that this node has compared with another.
    pub(crate) fn meet(&self) {
        self.met.store(true, Ordering::Relaxed);
    }

    /// Whether a process may still hold a watcher's place: it is unknown here, or alive.
    pub(crate) fn may_watch(&self, address: SocketAddr, boot: u64) -> bool {
        self.with_members(|members| {
            let known = members.table().get(address).map(|member| &member.claim);
            known.is_none_or(|claim| {
                claim.status == Status::Alive && claim.record.incarnation.boot == boot
            })
        })
    }

    /// How many of the region's alive watchers come before this node in their order.
    pub(crate) fn watchers_before(&self) -> usize {
        self.with_members(|members| {
            let own = members.own();
            let alive = members.table().present();
            let alive = alive.filter(|claim| claim.status == Status::Alive);
            let records = alive.map(|claim| &claim.record);
            let watchers = records.filter(|record| record.watcher && record.region == own.region);
            let order = relay::ranked(watchers, usize::MAX);
            let before = order.iter().take_while(|address| **address != own.address);
            before.count()
        })
    }

    /// Datagrams that wait to be sent.
    pub(crate) fn datagrams(&self) -> &Receiver<Vec<Outgoing>> {
        &self.datagrams.1
    }

    fn finish(&self, outcome: group::Outcome) {
        self.send(outcome.outgoing);
        if outcome.changed {
            self.rebuild();
        }
    }

    fn send(&self, outgoing: Vec<Outgoing>) {
        if !outgoing.is_empty() {
            // The queue is unbounded, and its receiver lives as long as the state.
            let _ = self.datagrams.0.try_send(outgoing);
        }
    }

    fn with_members<T>(&self, work: impl FnOnce(&mut Group) -> T) -> T {
        work(&mut self.members.lock().expect("members lock"))
    }
}

fn rank<'a>(records: impl Iterator<Item = &'a Record>, own: SocketAddr) -> usize {
    let order = relay::ranked(records, duty::CANDIDATES);
    let place = order.iter().position(|address| *address == own);
    place.unwrap_or(usize::MAX)
}
