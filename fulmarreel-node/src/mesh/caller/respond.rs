//! Responses to callers, and the log line of each request.

use super::{
    CallerConnection, FIRST_SERVER_ERROR, MIN_RETRY_AFTER, Request, RequestHandler, delivery,
    offer::{Offers, RequestOutcome},
    quota::OVER_QUOTA,
};
use crate::telemetry::metrics::{self, Outcome as OutcomeLabel};
use fulmarreel_platform::request;
use std::time::{Duration, Instant};
use trillium::{Conn, Status};

/// The retry delay that a caller is told is at most this fraction of the time left until its request's
/// deadline.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;

/// How long a node whose configuration is out of date usually takes to catch up.
const CATCH_UP_TIME: Duration = Duration::from_millis(150);

/// One in this many requests that were answered without an error within their latency objective is
/// logged.
const SUCCESS_LOG_SAMPLING: u64 = 16;

impl RequestHandler {
    pub(super) fn respond(
        &self,
        conn: Conn,
        connection: &CallerConnection,
        request: &Request<'_>,
        outcome: RequestOutcome,
    ) -> Conn {
        match outcome {
            RequestOutcome::Answered(response) => {
                let status = connection.watcher().listed_status(response.head.status);
                let body = delivery::body(response.body, || self.count_in_flight());
                let mut conn = conn.with_status(status).with_body(body);
                let headers = conn.response_headers_mut();
                for header in response.head.headers {
                    headers.append(header.name, header.value);
                }
                conn.halt()
            }
            RequestOutcome::NotRun {
                reason,
                retry_after,
            } => {
                let left = request.deadline.saturating_duration_since(Instant::now());
                let latest = self.longest_retry_delay(request);
                let latest = latest.unwrap_or_else(|| left.mul_f64(MAX_RETRY_AFTER_FRACTION));
                let latest = latest.max(MIN_RETRY_AFTER);
                refuse(conn, reason, retry_after.clamp(MIN_RETRY_AFTER, latest))
            }
            RequestOutcome::OverQuota { retry_after } => {
                refuse(conn, OVER_QUOTA, retry_after).with_status(Status::TooManyRequests)
            }
            RequestOutcome::Unknown { reason, late } => {
                let status = if late {
                    Status::GatewayTimeout
                } else {
                    Status::BadGateway
                };
                conn.with_status(status).with_body(reason).halt()
            }
        }
    }

    /// Rejects a request for good, with `status`, unless the configuration at `revision` may be out of
    /// date: then the caller is told to retry.
    pub(super) fn reject(
        &self,
        conn: Conn,
        status: Status,
        reason: &'static str,
        revision: u64,
    ) -> Conn {
        let newest = self
            .context
            .view()
            .table
            .as_ref()
            .map(|table| table.revision);
        if newest > Some(revision) || !self.context.is_current() {
            let reason = "a newer configuration may say otherwise";
            self.log_early_end(&conn, Status::ServiceUnavailable, reason, revision);
            return refuse(conn, reason, CATCH_UP_TIME);
        }
        self.log_early_end(&conn, status, reason, revision);
        conn.with_status(status).with_body(reason).halt()
    }

    /// Logs a request that ends before it is offered to a target, with the inputs of that decision: the
    /// configuration's revision, the store revision that this node knows, the highest one that it heard
    /// of, and how long ago it knew all that the store had.
    pub(super) fn log_early_end(
        &self,
        conn: &Conn,
        status: Status,
        reason: &'static str,
        revision: u64,
    ) {
        metrics::request_ended(status as u16, reason);
        let id = conn.request_headers().get_str(request::REQUEST_ID);
        let age = self.context.contact_age().map(|age| age.as_millis() as u64);
        let proof_age = self.context.proof_age().map(|age| age.as_millis() as u64);
        log::info!(
            id = id.unwrap_or_default(),
            host = conn.host().unwrap_or_default(),
            path = conn.path(),
            status = status as u16,
            revision,
            known = self.context.revision(),
            heard = self.context.highest_heard_revision(),
            contact_age_ms = age,
            proof_age_ms = proof_age;
            "{reason}"
        );
    }

    /// Logs that a request's caller closed its connection, and the targets that the request was offered
    /// to until then.
    pub(super) fn log_caller_left(&self, request: &Request<'_>, offers: &Offers) {
        let target = offers.addresses.last().map(ToString::to_string);
        log::info!(
            id = request.id,
            offers = offers.addresses.len(),
            reached = offers.reached,
            target = target.as_deref().unwrap_or(""),
            route = request.route.name.as_str(),
            allowed_ms = request.deadline.saturating_duration_since(request.started).as_millis() as u64,
            waited_ms = request.started.elapsed().as_millis() as u64;
            "the caller left"
        );
    }

    /// Counts a request that ended in the metrics, and logs it if it failed, exceeded its latency
    /// objective or is sampled.
    pub(super) fn log_outcome(
        &self,
        request: &Request<'_>,
        outcome: &RequestOutcome,
        offers: &Offers,
    ) {
        let (label, status, reason) = match outcome {
            RequestOutcome::Answered(response) => {
                (OutcomeLabel::Answered, response.head.status, "answered")
            }
            RequestOutcome::NotRun { reason, .. } => (OutcomeLabel::NotRun, 503, *reason),
            RequestOutcome::OverQuota { .. } => (OutcomeLabel::NotRun, 429, OVER_QUOTA),
            RequestOutcome::Unknown { reason, late } => (
                OutcomeLabel::Unknown,
                if *late { 504 } else { 502 },
                *reason,
            ),
        };
        let latency = request.started.elapsed();
        metrics::call_ended(request.service, &offers.last_version, label, latency);
        let is_success = label == OutcomeLabel::Answered
            && status < FIRST_SERVER_ERROR
            && latency <= request.route.objective;
        if is_success
            && !xxhash_rust::xxh3::xxh3_64(request.id.as_bytes())
                .is_multiple_of(SUCCESS_LOG_SAMPLING)
        {
            return;
        }
        let account = request.account.map(|account| account.name.as_str());
        let target_ms = match outcome {
            RequestOutcome::Answered(response) => response.head.target_micros / 1_000,
            RequestOutcome::NotRun { .. }
            | RequestOutcome::OverQuota { .. }
            | RequestOutcome::Unknown { .. } => 0,
        };
        let target = offers.addresses.last().map(ToString::to_string);
        log::info!(
            id = request.id,
            offers = offers.addresses.len(),
            reached = offers.reached,
            target = target.as_deref().unwrap_or(""),
            version = offers.last_version.as_str(),
            route = request.route.name.as_str(),
            service = request.service,
            account = account,
            revision = request.revision,
            outcome = label.name(),
            status,
            allowed_ms = request.deadline.saturating_duration_since(request.started).as_millis() as u64,
            ran_ms = target_ms,
            took_ms = latency.as_millis() as u64;
            "{reason}"
        );
    }
}

/// Responds that a request was not run, and how long the caller is to wait before it retries.
pub(super) fn refuse(conn: Conn, reason: &'static str, retry_after: Duration) -> Conn {
    conn.with_status(Status::ServiceUnavailable)
        .with_response_header(
            request::RETRY_AFTER,
            format!("{:.3}", retry_after.as_secs_f64()),
        )
        .with_body(reason)
        .halt()
}
