//! Readiness and metrics.

use super::world::World;
use crate::telemetry::metrics;
use trillium::{Conn, Method, Status};

/// The content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves one question of the platform.
pub fn handle(world: &World, conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/-/ready") if is_ready(world) => conn.ok("ready\n"),
        (Method::Get, "/-/ready") => conn
            .with_status(Status::ServiceUnavailable)
            .with_body("not ready\n")
            .halt(),
        (Method::Get, "/metrics") => conn
            .with_response_header(trillium::KnownHeaderName::ContentType, METRICS_TYPE)
            .ok(metrics::render()),
        _ => conn
            .with_status(Status::NotFound)
            .with_body("expected GET /-/ready or /metrics\n")
            .halt(),
    }
}

fn is_ready(world: &World) -> bool {
    !world.is_stopping() && world.view().table.is_some()
}
