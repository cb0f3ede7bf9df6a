//! The HTTP endpoints of the readiness check and of the metrics.

use super::context::Context;
use crate::telemetry::metrics;
use trillium::{Conn, Method, Status};

/// The content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves one request to these endpoints.
pub fn handle(context: &Context, conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/-/ready") if is_ready(context) => conn.ok("ready\n"),
        (Method::Get, "/-/ready") => conn
            .with_status(Status::ServiceUnavailable)
            .with_body("not ready\n")
            .halt(),
        (Method::Get, "/metrics") => conn
            .with_response_header(trillium::KnownHeaderName::ContentType, METRICS_TYPE)
            .ok(render_metrics(context)),
        _ => conn
            .with_status(Status::NotFound)
            .with_body("expected GET /-/ready or /metrics\n")
            .halt(),
    }
}

/// All metrics as text, after the gauges that are computed on demand are set.
fn render_metrics(context: &Context) -> String {
    let view = context.view();
    metrics::set_ready(is_ready(context));
    metrics::set_store_revisions(context.revision(), context.highest_heard_revision());
    if let Some(age) = context.contact_age() {
        metrics::set_store_contact_age(age);
    }
    if let Some(age) = context.proof_age() {
        metrics::set_store_proof_age(age);
    }
    metrics::set_configuration_revision(view.table.as_ref().map_or(0, |table| table.revision));
    for (service, targets) in &view.targets {
        let mut versions = std::collections::BTreeMap::new();
        for target in targets {
            *versions.entry(target.version.as_str()).or_insert(0) += 1;
        }
        for (version, count) in versions {
            metrics::set_target_count(service, version, count);
        }
    }
    metrics::render()
}

fn is_ready(context: &Context) -> bool {
    !context.is_stopping() && context.view().table.is_some()
}
