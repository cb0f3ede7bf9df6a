//! The order in which nodes act for a service.

use crate::mesh::view::View;
use std::{collections::HashMap, net::SocketAddr, sync::Arc};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The order in which nodes claim each rollout, computed once per service and view.
#[derive(Debug, Default)]
pub(super) struct NodeRankings {
    view: Arc<View>,
    nodes_by_service: HashMap<String, Vec<SocketAddr>>,
}

impl NodeRankings {
    /// All nodes, best rank first.
    pub(super) fn for_service(&mut self, view: &Arc<View>, service: &str) -> &[SocketAddr] {
        if !Arc::ptr_eq(&self.view, view) {
            self.view = Arc::clone(view);
            self.nodes_by_service.clear();
        }
        let nodes = self.nodes_by_service.entry(service.to_owned());
        nodes.or_insert_with(|| rank_nodes(view, service))
    }
}

/// Ranks all nodes for a service by rendezvous hashing.
fn rank_nodes(view: &View, service: &str) -> Vec<SocketAddr> {
    let seed = xxh3_64(service.as_bytes());
    let score = |node: &SocketAddr| xxh3_64_with_seed(node.to_string().as_bytes(), seed);
    let mut nodes: Vec<SocketAddr> = view.nodes.iter().map(|node| node.0).collect();
    nodes.sort_by_cached_key(|node| std::cmp::Reverse(score(node)));
    nodes
}
