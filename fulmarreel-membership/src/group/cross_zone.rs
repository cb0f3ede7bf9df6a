//! Forwarding of claims to other zones and regions.
//!
//! A relay forwards claims about its own zone to every zone of its region and to one zone of each
//! other region. A node that receives a claim directly from another region forwards it within its
//! own region, so that a change crosses each link between regions once for each relay of its zone.

use super::{Group, OutgoingDatagram};
use crate::relay;
use fulmarreel_wire::gossip::Kind;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// One in this many pings to another zone goes to any of its nodes instead of a relay.
const ANY_NODE_EVERY: usize = 3;

/// Nodes whose claims are still to be forwarded to other zones, with the node's region.
#[derive(Debug, Default)]
pub(super) struct CrossZoneQueue {
    pending: BTreeMap<SocketAddr, String>,
}

impl CrossZoneQueue {
    pub(super) fn add(&mut self, address: SocketAddr, region: &str) {
        self.pending.insert(address, region.to_owned());
    }
}

impl Group {
    /// Queues the claim about a node for other zones if this node has to forward it.
    pub(super) fn queue_cross_zone(&mut self, address: SocketAddr, from: SocketAddr) {
        let Some(record) = self.table.get(address).map(|member| &member.claim.record) else {
            return;
        };
        let from_region = self
            .table
            .get(from)
            .map(|member| member.claim.record.region.clone());
        let is_from_other_region =
            record.region != self.region && from_region.is_some_and(|region| region != self.region);
        let is_from_own_zone = record.zone == self.zone && self.is_relay();
        if is_from_other_region || is_from_own_zone {
            let region = record.region.clone();
            self.cross_zone_queue.add(address, &region);
        }
    }

    /// Whether this node is one of its zone's relays, which exchange claims with other zones.
    pub fn is_relay(&self) -> bool {
        relay::relays(&self.table, &self.zone).contains(&self.address)
    }

    /// The datagrams that forward the queued claims to other zones.
    pub(super) fn flush_cross_zone_queue(&mut self) -> Vec<OutgoingDatagram> {
        let pending = std::mem::take(&mut self.cross_zone_queue.pending);
        if pending.is_empty() {
            return Vec::new();
        }
        // Queued claims about this region are all about this zone, since other zones forward their
        // own. They go to other zones and regions; claims about other regions go only to zones of
        // this one.
        let (own, foreign): (Vec<_>, Vec<_>) = pending
            .into_iter()
            .partition(|(_, region)| *region == self.region);
        let addresses = |part: Vec<(SocketAddr, String)>| -> Vec<SocketAddr> {
            part.into_iter().map(|(address, _)| address).collect()
        };
        let (own, foreign) = (addresses(own), addresses(foreign));
        let mut outgoing = Vec::new();
        let own_region = self.region.clone();
        if !own.is_empty() {
            let relays = self.other_zone_relays(|_, _| true);
            outgoing.extend(self.forward(&relays, &own));
        }
        if !foreign.is_empty() {
            let relays = self.other_zone_relays(|region, _| region == own_region);
            outgoing.extend(self.forward(&relays, &foreign));
        }
        outgoing
    }

    /// One relay of each other zone of the region, and of one zone of each other region, among the
    /// pairs of region and zone that are wanted.
    pub(super) fn other_zone_relays(
        &mut self,
        wanted: impl Fn(&str, &str) -> bool,
    ) -> Vec<SocketAddr> {
        let mut zones: Vec<(String, String)> = self.other_zones();
        zones.retain(|(region, zone)| wanted(region, zone));
        self.rng.shuffle(&mut zones);
        let mut regions = BTreeSet::new();
        zones.retain(|(region, _)| *region == self.region || regions.insert(region.clone()));
        zones
            .iter()
            .filter_map(|(_, zone)| self.pick_relay(zone))
            .collect()
    }

    /// A random node of some other zone to ping, most often a relay.
    pub(super) fn pick_other_zone_node(&mut self) -> Option<SocketAddr> {
        let zones = self.other_zones();
        let (_, zone) = self.rng.choice(zones)?;
        if self.rng.usize(..ANY_NODE_EVERY) > 0
            && let Some(relay) = self.pick_relay(&zone)
        {
            return Some(relay);
        }
        let nodes: Vec<SocketAddr> = self
            .table
            .zone(&zone)
            .map(|claim| claim.record.address)
            .collect();
        self.rng.choice(nodes)
    }

    fn pick_relay(&mut self, zone: &str) -> Option<SocketAddr> {
        let relays = relay::relays(&self.table, zone);
        self.rng.choice(relays)
    }

    fn other_zones(&self) -> Vec<(String, String)> {
        let zones = self.table.zones().into_iter();
        zones
            .filter(|(_, zone)| *zone != self.zone)
            .map(|(region, zone)| (region.to_owned(), zone.to_owned()))
            .collect()
    }

    fn forward(&self, relays: &[SocketAddr], addresses: &[SocketAddr]) -> Vec<OutgoingDatagram> {
        let mut outgoing = Vec::new();
        for part in addresses.chunks(super::RECORDS_PER_DATAGRAM) {
            let claims = self.claims(part);
            outgoing.extend(relays.iter().map(|to| OutgoingDatagram {
                to: *to,
                kind: Kind::Gossip,
                claims: claims.clone(),
            }));
        }
        outgoing
    }
}
