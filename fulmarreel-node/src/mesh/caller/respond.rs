//! Answers to callers, and the line that is logged of each.

use super::{
    Caller, FIRST_SERVER_ERROR, MIN_RETRY_AFTER, Request,
    answer::{End, Tried},
};
use crate::telemetry::metrics::{self, Outcome};
use fulmarreel_platform::request;
use std::time::{Duration, Instant};
use trillium::{Conn, Status};

/// The part of the time left after which a caller is told to come back at the latest.
const MAX_RETRY_PART: f64 = 0.3;

/// How long a node that is behind takes to know more, as a rule.
const CATCH_UP: Duration = Duration::from_millis(150);

/// One in so many requests that went well at once is written to the log.
const LOGGED_OF_GOOD: u64 = 16;

impl Caller {
    pub(super) fn respond(&self, conn: Conn, request: &Request<'_>, end: End) -> Conn {
        match end {
            End::Answered(kept) => {
                let mut conn = conn.with_status(kept.head.status).with_body(kept.body);
                let headers = conn.response_headers_mut();
                for header in kept.head.headers {
                    headers.append(header.name, header.value);
                }
                conn.halt()
            }
            End::NotRun {
                reason,
                retry_after,
            } => {
                let left = request.limit.saturating_duration_since(Instant::now());
                let latest = left.mul_f64(MAX_RETRY_PART).max(MIN_RETRY_AFTER);
                refuse(conn, reason, retry_after.clamp(MIN_RETRY_AFTER, latest))
            }
            End::Unknown { reason, late } => {
                let status = if late {
                    Status::GatewayTimeout
                } else {
                    Status::BadGateway
                };
                conn.with_status(status).with_body(reason).halt()
            }
        }
    }

    /// Turns a request away for good, unless that may rest on what is out of date: then it is refused
    /// for now.
    pub(super) fn deny(
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
            return refuse(conn, reason, CATCH_UP);
        }
        self.log_early_end(&conn, status, reason, revision);
        conn.with_status(status).with_body(reason).halt()
    }

    /// Logs a request that ends before it is offered to a target, and what that was decided from:
    /// the configuration's revision, the store's that is known and that was heard of, and how long
    /// ago the store was in contact.
    pub(super) fn log_early_end(
        &self,
        conn: &Conn,
        status: Status,
        reason: &'static str,
        revision: u64,
    ) {
        metrics::request_ended(status as u16, reason);
        let id = conn.request_headers().get_str(request::ID);
        let age = self.context.contact_age().map(|age| age.as_millis() as u64);
        log::info!(
            id = id.unwrap_or_default(),
            host = conn.host().unwrap_or_default(),
            path = conn.path(),
            status = status as u16,
            revision,
            known = self.context.revision(),
            heard = self.context.heard(),
            contact_age_ms = age;
            "{reason}"
        );
    }

    /// Logs that a request's caller left, and where the request was by then.
    pub(super) fn log_left(&self, request: &Request<'_>, tried: &Tried) {
        let target = tried.addresses.last().map(ToString::to_string);
        log::info!(
            id = request.id,
            offers = tried.addresses.len(),
            reached = tried.reached,
            target = target.as_deref().unwrap_or(""),
            route = request.route.name.as_str(),
            allowed_ms = request.limit.saturating_duration_since(request.started).as_millis() as u64,
            waited_ms = request.started.elapsed().as_millis() as u64;
            "the caller left"
        );
    }

    pub(super) fn log_end(&self, request: &Request<'_>, end: &End, tried: &Tried) {
        let (outcome, status, reason) = match end {
            End::Answered(kept) => (Outcome::Answered, kept.head.status, "answered"),
            End::NotRun { reason, .. } => (Outcome::NotRun, 503, *reason),
            End::Unknown { reason, late } => {
                (Outcome::Unknown, if *late { 504 } else { 502 }, *reason)
            }
        };
        let took = request.started.elapsed();
        metrics::call_ended(request.service, &tried.version, outcome, took);
        let good = outcome == Outcome::Answered
            && status < FIRST_SERVER_ERROR
            && took <= request.route.objective;
        if good && !xxhash_rust::xxh3::xxh3_64(request.id.as_bytes()).is_multiple_of(LOGGED_OF_GOOD)
        {
            return;
        }
        let ran = match end {
            End::Answered(kept) => kept.head.target_micros / 1_000,
            End::NotRun { .. } | End::Unknown { .. } => 0,
        };
        let target = tried.addresses.last().map(ToString::to_string);
        log::info!(
            id = request.id,
            offers = tried.addresses.len(),
            reached = tried.reached,
            target = target.as_deref().unwrap_or(""),
            version = tried.version.as_str(),
            route = request.route.name.as_str(),
            service = request.service,
            revision = request.revision,
            outcome = outcome.name(),
            status,
            allowed_ms = request.limit.saturating_duration_since(request.started).as_millis() as u64,
            ran_ms = ran,
            took_ms = took.as_millis() as u64;
            "{reason}"
        );
    }
}

/// Says that a request was not run, and when to come back.
pub(super) fn refuse(conn: Conn, reason: &'static str, retry_after: Duration) -> Conn {
    conn.with_status(Status::ServiceUnavailable)
        .with_response_header(
            request::RETRY_AFTER,
            format!("{:.3}", retry_after.as_secs_f64()),
        )
        .with_body(reason)
        .halt()
}
