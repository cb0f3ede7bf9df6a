//! Responses to callers.

use super::exchange::CallOutcome;
use crate::transport::Watcher;
use fulmarreel_http::message::concerns_connection;
use fulmarreel_wire::call::Head;
use trillium::{Body, Conn, Status};
use trillium_http::Version;

/// Response header for the outcome of a call: `answered`, `not-run`, `unknown`, or `repeated`,
/// which means that a call with the same idempotency key was sent before and may have run.
pub const OUTCOME_HEADER: &str = "x-fulmarreel-outcome";

/// Responds that the call was not run, and never will be.
pub(super) fn refuse(conn: Conn, status: Status, reason: &str) -> Conn {
    conn.with_status(status)
        .with_response_header(OUTCOME_HEADER, "not-run")
        .with_body(reason.to_owned())
        .halt()
}

/// Responds with the outcome of a call; `caller` is the connection that it came on.
pub(super) fn respond(conn: Conn, outcome: CallOutcome, caller: &Watcher) -> Conn {
    match outcome {
        CallOutcome::Whole { head, body } => forward_response(conn, head, body.into(), caller),
        CallOutcome::Streamed { head, mut body } => {
            let length = head.length;
            // Without a length, only HTTP/1.1 has an end of its own, that of the last chunk.
            if length.is_none() && conn.http_version() < Version::Http1_1 {
                body.end_by_close(caller.clone());
            }
            forward_response(conn, head, Body::new_streaming(body, length), caller)
        }
        CallOutcome::NotRun { reason, .. } => refuse(conn, Status::ServiceUnavailable, reason),
        CallOutcome::Repeated => conn
            .with_status(Status::Conflict)
            .with_response_header(OUTCOME_HEADER, "repeated")
            .with_body("a call of this idempotency key was sent before; this one was not run")
            .halt(),
        CallOutcome::Unknown { reason, .. } => conn
            .with_status(Status::BadGateway)
            .with_response_header(OUTCOME_HEADER, "unknown")
            .with_body(reason)
            .halt(),
    }
}

fn forward_response(conn: Conn, head: Head, body: Body, caller: &Watcher) -> Conn {
    let mut conn = conn
        .with_status(caller.listed_status(head.status))
        .with_response_header(OUTCOME_HEADER, "answered")
        .with_body(body);
    for header in head.headers {
        if !concerns_connection(&header.name) {
            let headers = conn.response_headers_mut();
            headers.append(header.name, header.value);
        }
    }
    conn.halt()
}
