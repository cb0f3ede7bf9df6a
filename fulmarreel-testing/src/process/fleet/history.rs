//! What was active on nodes over time, and whether that keeps the promises.

use super::http;
use anyhow::ensure;
use serde_json::Value;
use smol::Timer;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Time between two looks at a node.
const INTERVAL: Duration = Duration::from_millis(40);

/// One look at one service on one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Look {
    /// The node.
    pub node: SocketAddr,
    /// The service.
    pub service: String,
    /// The active revision.
    pub revision: u64,
    /// The version that the active document names.
    pub version: String,
    /// Versions with a target on that node.
    pub targets: Vec<String>,
}

/// Looks at nodes until it is dropped.
#[derive(Debug)]
pub struct Recorder {
    looks: Arc<Mutex<Vec<(Instant, Look)>>>,
    _tasks: Vec<smol::Task<()>>,
}

impl Recorder {
    /// Starts to look at the nodes with these admin addresses.
    pub fn start(nodes: impl IntoIterator<Item = SocketAddr>) -> Self {
        let looks = Arc::default();
        let tasks = nodes
            .into_iter()
            .map(|node| smol::spawn(record(node, Arc::clone(&looks))))
            .collect();
        Self {
            looks,
            _tasks: tasks,
        }
    }

    /// The looks so far: those of one node in the order of time.
    pub fn looks(&self) -> Vec<Look> {
        let looks = self.looks.lock().expect("looks lock");
        looks.iter().map(|(_, look)| look.clone()).collect()
    }

    /// When each node was first seen with a service at a revision or a later one.
    pub fn first_seen(&self, service: &str, revision: u64) -> BTreeMap<SocketAddr, Instant> {
        let looks = self.looks.lock().expect("looks lock");
        let mut seen = BTreeMap::new();
        for (at, look) in looks.iter() {
            if look.service == service && look.revision >= revision {
                seen.entry(look.node).or_insert(*at);
            }
        }
        seen
    }
}

async fn record(node: SocketAddr, looks: Arc<Mutex<Vec<(Instant, Look)>>>) {
    loop {
        if let Ok(view) = http::json(node, "/view").await
            && view["ready"] == Value::Bool(true)
        {
            let at = Instant::now();
            let new = documents(node, &view).into_iter().map(|look| (at, look));
            looks.lock().expect("looks lock").extend(new);
        }
        Timer::after(INTERVAL).await;
    }
}

fn documents(node: SocketAddr, view: &Value) -> Vec<Look> {
    let Some(documents) = view["documents"].as_object() else {
        return Vec::new();
    };
    documents
        .iter()
        .map(|(service, document)| Look {
            node,
            service: service.clone(),
            revision: document["revision"].as_u64().unwrap_or(0),
            version: document["version"].as_str().unwrap_or_default().to_owned(),
            targets: document["targets"]
                .as_object()
                .map(|targets| targets.keys().cloned().collect())
                .unwrap_or_default(),
        })
        .collect()
}

/// Checks that each node's revisions only rise, restarts included, and that whatever is active is
/// an accepted document: `accepted` gives the version of each service and revision.
///
/// # Errors
///
/// The first look that breaks a promise.
pub fn check(looks: &[Look], accepted: &BTreeMap<(String, u64), String>) -> anyhow::Result<()> {
    let mut highest: BTreeMap<(SocketAddr, &str), u64> = BTreeMap::new();
    for look in looks {
        let key = (look.service.clone(), look.revision);
        let version = accepted.get(&key);
        ensure!(
            version == Some(&look.version),
            "active, but accepted was {version:?}: {look:?}"
        );
        let before = highest.entry((look.node, &look.service)).or_default();
        ensure!(
            *before <= look.revision,
            "was at {before}, fell back: {look:?}"
        );
        *before = look.revision;
    }
    Ok(())
}
