//! Records which documents are active on nodes over time, and checks what nodes guarantee about them.

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

/// Interval between reads of a node's view.
const INTERVAL: Duration = Duration::from_millis(40);

/// What a node had active for one service at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// The node.
    pub node: SocketAddr,
    /// The service.
    pub service: String,
    /// The active revision.
    pub revision: u64,
    /// The version that the active document names.
    pub version: String,
    /// Versions of which the node knows a target.
    pub targets: Vec<String>,
}

/// Reads the views of nodes until it is dropped.
#[derive(Debug)]
pub struct Recorder {
    observations: Arc<Mutex<Vec<(Instant, Observation)>>>,
    _tasks: Vec<smol::Task<()>>,
}

impl Recorder {
    /// Starts to read the views of the nodes with these admin addresses.
    pub fn start(nodes: impl IntoIterator<Item = SocketAddr>) -> Self {
        let observations = Arc::default();
        let tasks = nodes
            .into_iter()
            .map(|node| smol::spawn(poll(node, Arc::clone(&observations))))
            .collect();
        Self {
            observations,
            _tasks: tasks,
        }
    }

    /// The observations so far, those of each node in order of time.
    pub fn observations(&self) -> Vec<Observation> {
        let observations = self.observations.lock().expect("observations lock");
        observations
            .iter()
            .map(|(_, observation)| observation.clone())
            .collect()
    }

    /// When each node was first observed with a service at the given revision or a later one.
    pub fn first_seen(&self, service: &str, revision: u64) -> BTreeMap<SocketAddr, Instant> {
        let observations = self.observations.lock().expect("observations lock");
        let mut seen = BTreeMap::new();
        for (at, observation) in observations.iter() {
            if observation.service == service && observation.revision >= revision {
                seen.entry(observation.node).or_insert(*at);
            }
        }
        seen
    }
}

async fn poll(node: SocketAddr, observations: Arc<Mutex<Vec<(Instant, Observation)>>>) {
    loop {
        if let Ok(view) = http::json(node, "/view").await
            && view["ready"] == Value::Bool(true)
        {
            let at = Instant::now();
            let new = observations_in(node, &view)
                .into_iter()
                .map(|observation| (at, observation));
            observations.lock().expect("observations lock").extend(new);
        }
        Timer::after(INTERVAL).await;
    }
}

/// The observations that a node's view contains.
fn observations_in(node: SocketAddr, view: &Value) -> Vec<Observation> {
    let Some(documents) = view["documents"].as_object() else {
        return Vec::new();
    };
    documents
        .iter()
        .map(|(service, document)| Observation {
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

/// Checks that no node's revision of a service decreases, not even over a restart, and that every
/// active document is an accepted one; `accepted` has the version of each service and revision.
///
/// # Errors
///
/// The first observation that violates one of these.
pub fn check_observations(
    observations: &[Observation],
    accepted: &BTreeMap<(String, u64), String>,
) -> anyhow::Result<()> {
    let mut highest: BTreeMap<(SocketAddr, &str), u64> = BTreeMap::new();
    for observation in observations {
        let key = (observation.service.clone(), observation.revision);
        let version = accepted.get(&key);
        ensure!(
            version == Some(&observation.version),
            "active, but accepted was {version:?}: {observation:?}"
        );
        let before = highest
            .entry((observation.node, &observation.service))
            .or_default();
        ensure!(
            *before <= observation.revision,
            "was at {before}, fell back: {observation:?}"
        );
        *before = observation.revision;
    }
    Ok(())
}
