//! Announcements of this node's own target, and the node's own entry in the store.

use super::{
    context::Context,
    keys::{self, Node},
    serve::Server,
};
use crate::state::unix_millis;
use fulmarreel_platform::heartbeat;
use fulmarreel_store::{Outcome, Revision, Store, Transaction};
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trillium::{Conn, Method, Status};

/// The largest announcement that is read.
const MAX_BODY_BYTES: u64 = 65_536;

/// How far the start of a target may lie ahead of this instance's clock.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 86_400_000;

/// The delay after the first failed write of the node's own entry; it doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The longest such delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// How often the node's own entry is compared with the mirror of the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The last write of the node's own entry.
#[derive(Debug, Default)]
struct LastWrite {
    revision: u64,
    value: Vec<u8>,
}

impl LastWrite {
    /// Whether `value` was written and the mirror, at `known_revision`, does not have it yet. Another
    /// write would only be one more change for all nodes.
    fn is_pending(&self, value: &[u8], known_revision: u64) -> bool {
        known_revision < self.revision && self.value == value
    }
}

/// Serves one announcement of the own target. The response is the same whether or not the announcement
/// is used.
pub async fn handle(context: &Context, server: &Server, mut conn: Conn) -> Conn {
    let path = conn.path().to_owned();
    let Some(id) = heartbeat::target_id(&path) else {
        return conn
            .with_status(Status::NotFound)
            .with_body("expected an announcement")
            .halt();
    };
    match conn.method() {
        Method::Put => {
            let body = conn.request_body().with_max_len(MAX_BODY_BYTES);
            let body = body.read_bytes().await.unwrap_or_default();
            handle_announcement(context, server, id, &body);
            acknowledge(conn)
        }
        Method::Delete => {
            server.end_target(id);
            acknowledge(conn)
        }
        _ => conn
            .with_status(Status::MethodNotAllowed)
            .with_body("expected PUT or DELETE")
            .halt(),
    }
}

fn acknowledge(conn: Conn) -> Conn {
    conn.with_response_header(trillium::KnownHeaderName::ContentType, "application/json")
        .ok("{}")
}

fn handle_announcement(context: &Context, server: &Server, id: &str, body: &[u8]) {
    let announcement = match heartbeat::decode(id, body) {
        Ok(announcement) => announcement,
        Err(error) => {
            log::warn!(target = id; "announcement ignored: {error}");
            return;
        }
    };
    // If it were used, all announcements of the target itself would count as earlier ones.
    if announcement.started_at_ms > unix_millis().saturating_add(MAX_CLOCK_DIFFERENCE_MS) {
        log::warn!(
            target = id,
            started_at_ms = announcement.started_at_ms;
            "announcement ignored: its target starts in the future"
        );
        return;
    }
    let settings = context.settings();
    if announcement.service != settings.service || announcement.endpoint != settings.endpoint {
        log::warn!(
            target = id,
            service = announcement.service.as_str();
            "announcement ignored: it is not from this instance's target"
        );
        return;
    }
    server.handle_announcement(announcement);
}

/// Keeps the node's own entry in the store up to date until the process is told to end.
pub async fn publish(context: Arc<Context>, server: Arc<Server>) {
    let key = format!("{}{}", keys::NODES, context.settings().instance);
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut resumed = false;
    let mut last_write = LastWrite::default();
    loop {
        if !resumed && context.revision() > 0 {
            resumed = true;
            resume_target(&context, &server, &key).await;
        }
        if context.is_stopping() {
            return;
        }
        let entry = own_entry(&context, &server);
        let known = context.read(|mirror| mirror.get(&key).map(|item| item.value.clone()));
        let is_store_known = context.revision() > 0;
        let current = serde_json::to_vec(&entry);
        if let (true, Ok(current)) = (is_store_known, current)
            && known.as_deref() != Some(&current)
            && !last_write.is_pending(&current, context.revision())
            && (entry.target.is_some() || known.is_none())
        {
            let transaction = Transaction::new().put(&key, &current);
            match context.store.commit(&transaction).await {
                Ok(outcome) => {
                    log::info!(instance = context.settings().instance.as_str(); "own entry written");
                    retry_delay = MIN_RETRY_DELAY;
                    if let Outcome::Written(Revision(revision)) = outcome {
                        last_write = LastWrite {
                            revision,
                            value: current,
                        };
                    }
                }
                Err(error) => {
                    log::warn!("own entry not written: {error}");
                    Timer::after(retry_delay.mul_f64(1.0 + fastrand::f64())).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Uses the target in the entry that an earlier process of this node wrote: the target's next
/// announcement may be seconds away.
async fn resume_target(context: &Context, server: &Server, key: &str) {
    let known: Option<Node> = context.decode(key);
    let Some(target) = known.and_then(|node| node.target) else {
        return;
    };
    let view = context.view();
    let path = view.table.as_ref();
    let path = path.and_then(|table| table.health_paths.get(&target.service));
    if target.service == context.settings().service
        && let Some(path) = path
    {
        server.resume_target(target, path).await;
    }
}

/// Deletes the node's own entry if its target has ended; a node that restarts in front of a running
/// target keeps the entry.
pub async fn delete_entry(context: &Context, server: &Server) {
    if server.target().is_some_and(|target| !target.leaving) {
        return;
    }
    let key = format!("{}{}", keys::NODES, context.settings().instance);
    if let Err(error) = context.store.commit(&Transaction::new().delete(&key)).await {
        log::warn!("own entry not deleted: {error}");
    }
}

fn own_entry(context: &Context, server: &Server) -> Node {
    let settings = context.settings();
    Node {
        address: settings.peer_address,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        target: server.target().map(|target| keys::Target {
            id: target.id,
            service: target.service,
            version: target.version,
            slots: target.slots,
            started_at_ms: Some(target.started_at_ms),
        }),
    }
}
