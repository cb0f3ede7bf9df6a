//! The targets that a request may be sent to, by where they are.

use super::{Request, offer::RequestOutcome};
use crate::{
    mesh::view::{Target, View},
    telemetry::metrics::{self, RefusalCause},
};
use std::{sync::Arc, time::Duration};

/// The retry delay of a request that no target may run. Only an operator changes that.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The targets of a request's service in regions that its route and its account allow, without those in
/// evacuated zones.
pub(super) fn targets<'a>(view: &'a View, request: &Request<'_>) -> Vec<&'a Arc<Target>> {
    let targets = view.targets(request.service).iter();
    targets
        .filter(|target| is_allowed(target, request) && view.is_in_service(&target.zone))
        .collect()
}

/// The outcome of a request that may be sent to none of its service's targets because of where they are;
/// `None` if it may be sent to one, or no target is known.
pub(super) fn refusal(view: &View, request: &Request<'_>) -> Option<RequestOutcome> {
    let targets = view.targets(request.service);
    if targets.is_empty() || !self::targets(view, request).is_empty() {
        return None;
    }
    let (cause, reason) = if targets.iter().any(|target| is_allowed(target, request)) {
        let reason = "the zones of all targets are evacuated";
        (RefusalCause::Evacuated, reason)
    } else {
        (RefusalCause::Region, "no target in an allowed region")
    };
    metrics::request_refused(request.service, cause);
    Some(RequestOutcome::NotRun {
        reason,
        retry_after: RETRY_AFTER,
    })
}

fn is_allowed(target: &Target, request: &Request<'_>) -> bool {
    let account = request.account.map(Arc::as_ref);
    request.route.allows_region(account, &target.region)
}
