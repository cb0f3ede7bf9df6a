//! Claims that are still to be passed on within the zone.

use std::{collections::BTreeMap, net::SocketAddr};

/// Further times that a claim is sent, on top of the logarithm of the zone.
const EXTRA_SENDS: u32 = 2;

/// Nodes whose claims are still to be passed on, with the sends left.
#[derive(Debug, Default)]
pub struct News {
    left: BTreeMap<SocketAddr, u32>,
}

impl News {
    /// Passes the claim of a node on, in a zone of that many members.
    pub fn add(&mut self, address: SocketAddr, zone_members: usize) {
        let sends = EXTRA_SENDS + usize::BITS - zone_members.leading_zeros();
        self.left.insert(address, sends);
    }

    /// Whether the claim of a node is still to be passed on.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.left.contains_key(&address)
    }

    /// Whether nothing is left to pass on.
    pub fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    /// The nodes whose claims are to be sent next, those sent least first; counts as sent once.
    pub fn take(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut order: Vec<(u32, SocketAddr)> = self
            .left
            .iter()
            .map(|(address, left)| (*left, *address))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(count);
        for (left, address) in &order {
            if *left > 1 {
                self.left.insert(*address, left - 1);
            } else {
                self.left.remove(address);
            }
        }
        order.into_iter().map(|(_, address)| address).collect()
    }
}
