//! Claims that are still to be gossiped within the zone.

use std::{collections::BTreeMap, net::SocketAddr};

/// Number of sends of each claim beyond the bit length of the zone's number of members, which is
/// about its binary logarithm.
const EXTRA_SENDS: u32 = 2;

/// Nodes whose claims are still to be gossiped.
#[derive(Debug, Default)]
pub struct GossipQueue {
    /// The number of sends that remain for each node's claim.
    remaining_sends: BTreeMap<SocketAddr, u32>,
}

impl GossipQueue {
    /// Queues the claim about a node, in a zone of `zone_members` members.
    pub fn add(&mut self, address: SocketAddr, zone_members: usize) {
        let sends = EXTRA_SENDS + usize::BITS - zone_members.leading_zeros();
        self.remaining_sends.insert(address, sends);
    }

    /// Whether the claim about a node is queued.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.remaining_sends.contains_key(&address)
    }

    /// Whether no claim is queued.
    pub fn is_empty(&self) -> bool {
        self.remaining_sends.is_empty()
    }

    /// Takes up to `count` nodes whose claims are to be sent next, those with the most remaining
    /// sends first, and counts one send of each.
    pub fn take(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut order: Vec<(u32, SocketAddr)> = self
            .remaining_sends
            .iter()
            .map(|(address, remaining)| (*remaining, *address))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(count);
        for (remaining, address) in &order {
            if *remaining > 1 {
                self.remaining_sends.insert(*address, remaining - 1);
            } else {
                self.remaining_sends.remove(address);
            }
        }
        order.into_iter().map(|(_, address)| address).collect()
    }
}
