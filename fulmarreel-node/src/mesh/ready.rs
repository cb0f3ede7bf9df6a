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
            .ok(rendered(world)),
        _ => conn
            .with_status(Status::NotFound)
            .with_body("expected GET /-/ready or /metrics\n")
            .halt(),
    }
}

/// All metrics as text, those that are read off the moment set first.
fn rendered(world: &World) -> String {
    let view = world.view();
    metrics::ready(is_ready(world));
    metrics::store_known(world.revision(), world.heard());
    if let Some(age) = world.contact_age() {
        metrics::store_contact_age(age);
    }
    metrics::configuration(view.table.as_ref().map_or(0, |table| table.revision));
    for (service, targets) in &view.targets {
        let mut versions = std::collections::BTreeMap::new();
        for target in targets {
            *versions.entry(target.version.as_str()).or_insert(0) += 1;
        }
        for (version, count) in versions {
            metrics::targets(service, version, count);
        }
    }
    metrics::render()
}

fn is_ready(world: &World) -> bool {
    !world.is_stopping() && world.view().table.is_some()
}
