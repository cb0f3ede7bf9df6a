//! The HTTP interface for the target and for operators: announcements, health, readiness, metrics
//! and the node's view.

mod announce;
mod view;

use crate::{readiness, rollout::Rollouts, state::State, telemetry::metrics};
use std::{sync::Arc, time::Instant};
use trillium::{Conn, KnownHeaderName, Method, Status};
use view::NodeView;

/// The content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves one request of the target or of an operator.
pub async fn handle(state: &Arc<State>, rollouts: &Rollouts, conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/health") => conn.ok("alive\n"),
        (Method::Get, "/ready") => readiness(state, conn),
        (Method::Get, "/view") => node_view(state, rollouts, conn),
        (Method::Get, "/metrics") => {
            view::update_gauges(state, rollouts);
            conn.with_response_header(KnownHeaderName::ContentType, METRICS_TYPE)
                .ok(metrics::render())
        }
        (Method::Post, "/announce") => announce::handle(state, conn).await,
        _ => conn
            .with_status(Status::NotFound)
            .with_body("expected GET /health, /ready, /view, /metrics or POST /announce\n")
            .halt(),
    }
}

/// Responds with 200 if callers may be sent to this node, else with 503 and the reason.
fn readiness(state: &State, conn: Conn) -> Conn {
    match readiness::check(state, Instant::now()) {
        Ok(()) => conn.ok("ready\n"),
        Err(reason) => conn
            .with_status(Status::ServiceUnavailable)
            .with_body(format!("{reason}\n"))
            .halt(),
    }
}

fn node_view(state: &State, rollouts: &Rollouts, conn: Conn) -> Conn {
    match serde_json::to_vec_pretty(&NodeView::of(state, rollouts)) {
        Ok(body) => conn
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .ok(body),
        Err(error) => conn
            .with_status(Status::InternalServerError)
            .with_body(error.to_string())
            .halt(),
    }
}
