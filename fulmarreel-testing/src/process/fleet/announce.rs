//! Announces targets to many nodes from one task.

use super::http;
use smol::Timer;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Time between two announcements to a node.
const INTERVAL: Duration = Duration::from_millis(500);

type Targets = Arc<Mutex<BTreeMap<SocketAddr, String>>>;

/// Announces targets until it is dropped.
#[derive(Debug)]
pub(super) struct Announcer {
    targets: Targets,
    _task: smol::Task<()>,
}

impl Announcer {
    pub(super) fn start() -> Self {
        let targets = Targets::default();
        let task = smol::spawn(run(Arc::clone(&targets)));
        Self {
            targets,
            _task: task,
        }
    }

    pub(super) fn add(&self, node: SocketAddr, service: &str, version: &str) {
        let text = serde_json::json!({ "service": service, "version": version, "slots": 6 });
        let mut targets = self.targets.lock().expect("targets lock");
        targets.insert(node, text.to_string());
    }

    pub(super) fn remove(&self, node: SocketAddr) {
        self.targets.lock().expect("targets lock").remove(&node);
    }
}

async fn run(targets: Targets) {
    loop {
        let now = targets.lock().expect("targets lock").clone();
        for (node, text) in now {
            // A node that is down is told again when its turn comes.
            smol::spawn(async move { http::request(node, "/announce", Some(text)).await.ok() })
                .detach();
        }
        Timer::after(INTERVAL).await;
    }
}
