//! News that crosses to other zones and regions.
//!
//! A relay passes news of its own zone on to every zone of its region and to one zone of each other
//! region. Whoever hears news directly from another region passes it on within its own region, so
//! that a change crosses each link between regions once for each relay of its zone.

use super::{Group, Outgoing};
use crate::relay;
use fulmarreel_wire::gossip::Kind;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// One in that many pings to another zone goes to any of its nodes instead of a relay.
const ANY_NODE_EVERY: usize = 3;

/// Nodes whose claims are still to be passed on to other zones, with the node's region.
#[derive(Debug, Default)]
pub(super) struct Abroad {
    waiting: BTreeMap<SocketAddr, String>,
}

impl Abroad {
    pub(super) fn add(&mut self, address: SocketAddr, region: &str) {
        self.waiting.insert(address, region.to_owned());
    }
}

impl Group {
    /// Notes news for other zones where it is this node's turn.
    pub(super) fn note_abroad(&mut self, address: SocketAddr, from: SocketAddr) {
        let Some(record) = self.table.get(address).map(|member| &member.claim.record) else {
            return;
        };
        let from_region = self
            .table
            .get(from)
            .map(|member| member.claim.record.region.clone());
        let foreign =
            record.region != self.region && from_region.is_some_and(|region| region != self.region);
        let own = record.zone == self.zone && self.is_relay();
        if foreign || own {
            let region = record.region.clone();
            self.abroad.add(address, &region);
        }
    }

    /// Whether this node speaks with other zones for its own.
    pub fn is_relay(&self) -> bool {
        relay::relays(&self.table, &self.zone).contains(&self.address)
    }

    /// The datagrams that carry what waits to other zones.
    pub(super) fn flush_abroad(&mut self) -> Vec<Outgoing> {
        let waiting = std::mem::take(&mut self.abroad.waiting);
        if waiting.is_empty() {
            return Vec::new();
        }
        // News of other zones of the region is passed on by theirs: what is near is of this zone.
        let (near, far): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|(_, region)| *region == self.region);
        let addresses = |part: Vec<(SocketAddr, String)>| -> Vec<SocketAddr> {
            part.into_iter().map(|(address, _)| address).collect()
        };
        let (near, far) = (addresses(near), addresses(far));
        let mut outgoing = Vec::new();
        let own_region = self.region.clone();
        if !near.is_empty() {
            let gateways = self.gateways(|_, _| true);
            outgoing.extend(self.carry(&gateways, &near));
        }
        if !far.is_empty() {
            let gateways = self.gateways(|region, _| region == own_region);
            outgoing.extend(self.carry(&gateways, &far));
        }
        outgoing
    }

    /// One relay of each other zone of the region, and of one zone of each other region, where the
    /// region and zone are wanted.
    pub(super) fn gateways(&mut self, wanted: impl Fn(&str, &str) -> bool) -> Vec<SocketAddr> {
        let mut zones: Vec<(String, String)> = self.other_zones();
        zones.retain(|(region, zone)| wanted(region, zone));
        self.rng.shuffle(&mut zones);
        let mut regions = BTreeSet::new();
        zones.retain(|(region, _)| *region == self.region || regions.insert(region.clone()));
        zones
            .iter()
            .filter_map(|(_, zone)| self.gateway(zone))
            .collect()
    }

    /// A node to ping in some other zone: most often a relay.
    pub(super) fn stranger(&mut self) -> Option<SocketAddr> {
        let zones = self.other_zones();
        let (_, zone) = self.rng.choice(zones)?;
        if self.rng.usize(..ANY_NODE_EVERY) > 0
            && let Some(gateway) = self.gateway(&zone)
        {
            return Some(gateway);
        }
        let nodes: Vec<SocketAddr> = self
            .table
            .zone(&zone)
            .map(|claim| claim.record.address)
            .collect();
        self.rng.choice(nodes)
    }

    fn gateway(&mut self, zone: &str) -> Option<SocketAddr> {
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

    fn carry(&self, gateways: &[SocketAddr], addresses: &[SocketAddr]) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for part in addresses.chunks(super::RECORDS_PER_DATAGRAM) {
            let claims = self.claims(part);
            outgoing.extend(gateways.iter().map(|to| Outgoing {
                to: *to,
                kind: Kind::News,
                claims: claims.clone(),
            }));
        }
        outgoing
    }
}
