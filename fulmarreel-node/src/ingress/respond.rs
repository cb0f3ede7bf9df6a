//! Answers to callers.

use super::exchange::Answer;
use fulmarreel_http::message::concerns_connection;
use fulmarreel_wire::call::Head;
use trillium::{Body, Conn, Status};

/// Says whether a call was `answered`, was `not-run`, has an `unknown` outcome, or was `repeated`:
/// one of its idempotency key was sent before, which may have run.
pub const OUTCOME_HEADER: &str = "x-fulmarreel-outcome";

/// Says that the call was not run, and never will be.
pub(super) fn refuse(conn: Conn, status: Status, reason: &str) -> Conn {
    conn.with_status(status)
        .with_response_header(OUTCOME_HEADER, "not-run")
        .with_body(reason.to_owned())
        .halt()
}

/// Sends what became of a call.
pub(super) fn respond(conn: Conn, answer: Answer) -> Conn {
    match answer {
        Answer::Whole { head, body } => answered(conn, head, body.into()),
        Answer::Streamed { head, body } => {
            let length = head.length;
            answered(conn, head, Body::new_streaming(body, length))
        }
        Answer::NotRun { reason, .. } => refuse(conn, Status::ServiceUnavailable, reason),
        Answer::Repeated => conn
            .with_status(Status::Conflict)
            .with_response_header(OUTCOME_HEADER, "repeated")
            .with_body("a call of this idempotency key was sent before; this one was not run")
            .halt(),
        Answer::Unknown { reason, .. } => conn
            .with_status(Status::BadGateway)
            .with_response_header(OUTCOME_HEADER, "unknown")
            .with_body(reason)
            .halt(),
    }
}

fn answered(conn: Conn, head: Head, body: Body) -> Conn {
    let mut conn = conn
        .with_status(head.status)
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
