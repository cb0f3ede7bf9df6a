//! Announcements of this node's own target.

use super::{context::Context, publish::Publisher, serve::Server};
use crate::state::unix_millis;
use fulmarreel_membership::announcement::Verdict;
use fulmarreel_platform::heartbeat;
use std::sync::Arc;
use trillium::{Conn, Method, Status};

/// The largest announcement that is read.
const MAX_BODY_BYTES: u64 = 65_536;

/// How far the start of a target may lie ahead of this instance's clock.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 86_400_000;

/// What the node's announcement address is served with.
#[derive(Debug, Clone)]
pub struct Handler {
    /// The state that all parts of the node share.
    pub context: Arc<Context>,
    /// Serves the own target.
    pub server: Arc<Server>,
    /// Records what has left.
    pub publisher: Arc<Publisher>,
}

impl Handler {
    /// Serves one announcement of the own target. The response is the same whether or not the
    /// announcement is used; only that a target leaves is not acknowledged before it is recorded.
    pub async fn handle(&self, mut conn: Conn) -> Conn {
        let path = conn.path().to_owned();
        let Some(id) = heartbeat::target_id(&path) else {
            return conn
                .with_status(Status::NotFound)
                .with_body("expected an announcement")
                .halt();
        };
        let is_recorded = match conn.method() {
            Method::Put => {
                let body = conn.request_body().with_max_len(MAX_BODY_BYTES);
                let body = body.read_bytes().await.unwrap_or_default();
                !self.handle_announcement(id, &body) || self.publisher.record_departures().await
            }
            Method::Delete => {
                self.server.end_target(id);
                self.publisher.record_departures().await
            }
            _ => {
                return conn
                    .with_status(Status::MethodNotAllowed)
                    .with_body("expected PUT or DELETE")
                    .halt();
            }
        };
        if is_recorded {
            acknowledge(conn)
        } else {
            conn.with_status(Status::ServiceUnavailable)
                .with_body("that the target leaves is not recorded in the store yet; send it again")
                .halt()
        }
    }

    /// Returns whether the target says that it is leaving.
    fn handle_announcement(&self, id: &str, body: &[u8]) -> bool {
        let announcement = match heartbeat::decode(id, body) {
            Ok(announcement) => announcement,
            Err(error) => {
                log::warn!(target = id; "announcement ignored: {error}");
                return false;
            }
        };
        // If it were used, all announcements of the target itself would count as earlier ones.
        if announcement.started_at_ms > unix_millis().saturating_add(MAX_CLOCK_DIFFERENCE_MS) {
            log::warn!(
                target = id,
                started_at_ms = announcement.started_at_ms;
                "announcement ignored: its target starts in the future"
            );
            return false;
        }
        let settings = self.context.settings();
        if announcement.service != settings.service || announcement.endpoint != settings.endpoint {
            log::warn!(
                target = id,
                service = announcement.service.as_str();
                "announcement ignored: it is not from this instance's target"
            );
            return false;
        }
        let is_leaving = announcement.leaving;
        if self.server.handle_announcement(announcement) == Verdict::Unconfirmed {
            self.confirm_target();
        }
        is_leaving
    }

    /// Asks the own target whether it is there.
    fn confirm_target(&self) {
        let settings = self.context.settings();
        let Some(path) = self.context.view().health_path(&settings.service) else {
            return;
        };
        let server = Arc::clone(&self.server);
        crate::runtime::spawn(async move { server.confirm_target(&path).await });
    }
}

fn acknowledge(conn: Conn) -> Conn {
    conn.with_response_header(trillium::KnownHeaderName::ContentType, "application/json")
        .ok("{}")
}
