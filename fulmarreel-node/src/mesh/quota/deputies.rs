//! The deputies of accounts: the nodes that lend tokens to others.

use crate::mesh::{context::Context, view::View};
use fulmarreel_quota::Limit;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The deputies of accounts, chosen by rendezvous hashing once for each view.
#[derive(Debug, Default)]
pub(super) struct Deputies(Mutex<ByAccount>);

#[derive(Debug, Default)]
struct ByAccount {
    view: Arc<View>,
    /// The best and the second node for an account.
    nodes: HashMap<u64, [Option<SocketAddr>; 2]>,
}

impl Deputies {
    /// The deputies of an account, in the order in which this node asks them. A deputy asks the other
    /// one only.
    pub fn of_account(
        &self,
        context: &Context,
        account: u64,
        limit: &Limit,
    ) -> [Option<SocketAddr>; 2] {
        let own = context.settings().peer_address;
        let [first, second] = self.ranked(context, account);
        if first == Some(own) {
            return [second, None];
        }
        if second == Some(own) {
            return [first, None];
        }
        let is_second_first = limit.has_two_deputies() && score(&own, account) % 2 == 1;
        if is_second_first && second.is_some() {
            return [second, first];
        }
        [first, second]
    }

    fn ranked(&self, context: &Context, account: u64) -> [Option<SocketAddr>; 2] {
        let view = context.view();
        let mut by_account = self.0.lock().expect("deputies lock");
        if !Arc::ptr_eq(&by_account.view, &view) {
            by_account.view = Arc::clone(&view);
            by_account.nodes.clear();
        }
        let nodes = by_account.nodes.entry(account);
        *nodes.or_insert_with(|| rank(&view, account))
    }
}

/// The two nodes with the highest scores.
fn rank(view: &View, account: u64) -> [Option<SocketAddr>; 2] {
    let mut best: [Option<(u64, SocketAddr)>; 2] = [None, None];
    for (node, _) in &view.nodes {
        let entry = Some((score(node, account), *node));
        if entry > best[0] {
            best = [entry, best[0]];
        } else if entry > best[1] {
            best[1] = entry;
        }
    }
    best.map(|entry| entry.map(|(_, node)| node))
}

fn score(node: &SocketAddr, account: u64) -> u64 {
    xxh3_64_with_seed(node.to_string().as_bytes(), account)
}
