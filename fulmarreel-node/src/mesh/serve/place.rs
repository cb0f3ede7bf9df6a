//! Whether the own target may run a request in the zone and region where it is.
//!
//! The node that sends a request has decided this as well, by a view that may be older or newer.

use super::{Server, route_of};
use crate::telemetry::metrics::{self, RefusalCause};
use fulmarreel_platform::request;
use fulmarreel_route::Table;
use fulmarreel_wire::call::{Frame, Open, Refusal};
use std::time::Instant;

/// A pause of the process counts from this fraction of the limit for evacuations on.
const MAX_PAUSE_FRACTION: f64 = 0.5;

impl Server {
    /// Whether the own zone is known to be in service.
    pub(super) fn is_zone_in_service(&self) -> bool {
        let zone = &self.context.settings().zone;
        self.context.view().is_in_service(zone)
    }

    /// Refuses a request if the own zone is evacuated, or if the request is not allowed in the own region.
    pub(super) fn check_place(&self, open: &Open) -> Result<(), Refusal> {
        let (settings, view) = (self.context.settings(), self.context.view());
        // A process that was paused may read requests now that were sent before an order which it has not
        // read yet.
        let is_late = settings.evacuation_limit.is_some_and(|limit| {
            let mut pauses = self.pauses.lock().expect("pauses lock");
            pauses.has_backlog(limit.mul_f64(MAX_PAUSE_FRACTION), Instant::now())
        });
        if is_late || !view.is_in_service(&settings.zone) {
            metrics::request_refused(&open.service, RefusalCause::Evacuated);
            return Err(Refusal::Leaving);
        }
        let restricting = view.table.as_deref().filter(|_| view.restricts_regions);
        if restricting.is_none_or(|table| allows_region(table, open, &settings.region)) {
            return Ok(());
        }
        metrics::request_refused(&open.service, RefusalCause::Region);
        Err(Refusal::NoTarget)
    }

    /// Tells connected nodes whenever the own zone is evacuated or taken back, until the process ends.
    pub(super) async fn follow_zone(&self) {
        loop {
            self.context.wait_zone_changed().await;
            let accepts = self.accepts_requests();
            let frame = if accepts {
                Frame::Accepting
            } else {
                Frame::Leaving
            };
            log::info!(in_service = self.is_zone_in_service(), accepts; "own zone");
            self.sessions.broadcast(&frame);
        }
    }
}

/// Whether a configuration allows a request in a region. A request whose route or account it does not
/// have was routed by another configuration, by which its sender has decided.
fn allows_region(table: &Table, open: &Open, region: &str) -> bool {
    let account_name = open.header(request::ACCOUNT);
    let account = account_name.and_then(|name| table.accounts.named(name));
    if account.is_some_and(|account| !account.allows_region(region)) {
        return false;
    }
    route_of(table, open).is_none_or(|entry| entry.route.allows_region(None, region))
}
