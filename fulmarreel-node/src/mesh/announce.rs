//! What the own target says of itself.

use super::{
    context::Context,
    keys::{self, Node},
    serve::Server,
};
use fulmarreel_platform::heartbeat;
use fulmarreel_store::{Outcome, Revision, Store, Transaction};
use smol::Timer;
use std::{sync::Arc, time::Duration};
use trillium::{Conn, Method, Status};

/// The largest message of a target that is read, in bytes.
const MAX_BODY_BYTES: u64 = 65_536;

/// Pause before the node's own entry is written once more, the first time.
const MIN_PAUSE: Duration = Duration::from_millis(150);

/// The longest such pause.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// How often the node's own entry is looked for in what is known of the store.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// What was written last of the node's own entry.
#[derive(Debug, Default)]
struct Written {
    revision: u64,
    value: Vec<u8>,
}

impl Written {
    /// Whether a value was written and is not known yet; written twice, it would only be one more
    /// change for all nodes.
    fn is_on_its_way(&self, value: &[u8], known: u64) -> bool {
        known < self.revision && self.value == value
    }
}

/// Serves one message of the own target; it is answered whether or not it is of use.
pub async fn handle(context: &Context, server: &Server, mut conn: Conn) -> Conn {
    let path = conn.path().to_owned();
    let Some(id) = heartbeat::id(&path) else {
        return conn
            .with_status(Status::NotFound)
            .with_body("expected an announcement")
            .halt();
    };
    match conn.method() {
        Method::Put => {
            let body = conn.request_body().with_max_len(MAX_BODY_BYTES);
            let body = body.read_bytes().await.unwrap_or_default();
            take(context, server, id, &body);
            answered(conn)
        }
        Method::Delete => {
            server.end_target(id);
            answered(conn)
        }
        _ => conn
            .with_status(Status::MethodNotAllowed)
            .with_body("expected PUT or DELETE")
            .halt(),
    }
}

fn answered(conn: Conn) -> Conn {
    conn.with_response_header(trillium::KnownHeaderName::ContentType, "application/json")
        .ok("{}")
}

fn take(context: &Context, server: &Server, id: &str, body: &[u8]) {
    let announcement = match heartbeat::decode(id, body) {
        Ok(announcement) => announcement,
        Err(error) => {
            log::warn!(target = id; "announcement passed over: {error}");
            return;
        }
    };
    let settings = context.settings();
    if announcement.service != settings.service || announcement.endpoint != settings.endpoint {
        log::warn!(
            target = id,
            service = announcement.service.as_str();
            "announcement passed over: it is not of this instance's target"
        );
        return;
    }
    server.handle_announcement(announcement);
}

/// Keeps the node's own entry in the store as it should be, until the process is told to end.
pub async fn publish(context: Arc<Context>, server: Arc<Server>) {
    let key = format!("{}{}", keys::NODES, context.settings().instance);
    let mut pause = MIN_PAUSE;
    let mut resumed = false;
    let mut written = Written::default();
    loop {
        if !resumed && context.revision() > 0 {
            resumed = true;
            resume(&context, &server, &key).await;
        }
        if context.is_stopping() {
            return;
        }
        let entry = entry(&context, &server);
        let known = context.read(|mirror| mirror.get(&key).map(|item| item.value.clone()));
        let ready = context.revision() > 0;
        let wanted = serde_json::to_vec(&entry);
        if let (true, Ok(wanted)) = (ready, wanted)
            && known.as_deref() != Some(&wanted)
            && !written.is_on_its_way(&wanted, context.revision())
            && (entry.target.is_some() || known.is_none())
        {
            let transaction = Transaction::new().put(&key, &wanted);
            match context.store.commit(&transaction).await {
                Ok(outcome) => {
                    log::info!(instance = context.settings().instance.as_str(); "own entry written");
                    pause = MIN_PAUSE;
                    if let Outcome::Written(Revision(revision)) = outcome {
                        written = Written {
                            revision,
                            value: wanted,
                        };
                    }
                }
                Err(error) => {
                    log::warn!("own entry: {error}");
                    Timer::after(pause.mul_f64(1.0 + fastrand::f64())).await;
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
        }
        Timer::after(LOOK_INTERVAL).await;
    }
}

/// Takes up the target of a former process of this node: its next announcement may be seconds away.
async fn resume(context: &Context, server: &Server, key: &str) {
    let known: Option<Node> = context.decoded(key);
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

/// Takes the node's own entry away where its target has ended; a node that only starts again keeps
/// it.
pub async fn retire(context: &Context, server: &Server) {
    if server.target().is_some_and(|target| !target.leaving) {
        return;
    }
    let key = format!("{}{}", keys::NODES, context.settings().instance);
    if let Err(error) = context.store.commit(&Transaction::new().delete(&key)).await {
        log::warn!("own entry not taken away: {error}");
    }
}

fn entry(context: &Context, server: &Server) -> Node {
    let settings = context.settings();
    Node {
        address: settings.peers,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        target: server.target().map(|target| keys::Target {
            id: target.id,
            service: target.service,
            version: target.version,
            slots: target.slots,
        }),
    }
}
