//! Announces targets to many nodes, without running the targets.

use super::http;
use smol::Timer;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Interval between announcements to a node.
const INTERVAL: Duration = Duration::from_millis(500);

/// The announcement of each node's target, by the node's admin address.
type Announcements = Arc<Mutex<BTreeMap<SocketAddr, String>>>;

/// Sends the announcements until it is dropped.
#[derive(Debug)]
pub(super) struct Announcer {
    announcements: Announcements,
    _task: smol::Task<()>,
}

impl Announcer {
    pub(super) fn start() -> Self {
        let announcements = Announcements::default();
        let task = smol::spawn(run(Arc::clone(&announcements)));
        Self {
            announcements,
            _task: task,
        }
    }

    pub(super) fn add(&self, node: SocketAddr, service: &str, version: &str) {
        let announcement =
            serde_json::json!({ "service": service, "version": version, "slots": 6 });
        let mut announcements = self.announcements.lock().expect("targets lock");
        announcements.insert(node, announcement.to_string());
    }

    pub(super) fn remove(&self, node: SocketAddr) {
        self.announcements
            .lock()
            .expect("targets lock")
            .remove(&node);
    }
}

async fn run(announcements: Announcements) {
    loop {
        let current = announcements.lock().expect("targets lock").clone();
        for (node, announcement) in current {
            // An announcement to a node that is down is lost; the next interval repeats it.
            smol::spawn(async move {
                http::request(node, "/announce", Some(announcement))
                    .await
                    .ok()
            })
            .detach();
        }
        Timer::after(INTERVAL).await;
    }
}
