//! Calls from callers, over HTTP.

mod forward;

use crate::{
    peer::Pool,
    state::{State, View},
};
use forward::{Answer, Request};
use fulmarreel_document::Route;
use fulmarreel_wire::call::Header;
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use trillium::{Conn, Status};

/// Names the service that a call is for; the host's first label where it is missing.
pub const SERVICE_HEADER: &str = "x-fulmarreel-service";

/// Says whether a call was `answered`, was `not-run`, or has an `unknown` outcome.
pub const OUTCOME_HEADER: &str = "x-fulmarreel-outcome";

/// The largest request body in bytes.
const MAX_REQUEST_BYTES: u64 = 8 * 1_048_576;

/// Headers that belong to one connection and do not travel on.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// What the handler of callers' requests works with.
#[derive(Debug)]
pub struct Ingress {
    state: Arc<State>,
    pool: Pool,
    next_sequence: AtomicU64,
}

impl Ingress {
    /// A handler for calls that are routed by `state`.
    pub fn new(state: Arc<State>) -> Self {
        Self {
            state,
            pool: Pool::default(),
            next_sequence: AtomicU64::new(1),
        }
    }

    /// Serves one request.
    pub async fn handle(&self, mut conn: Conn) -> Conn {
        let Some(service) = service_name(&conn) else {
            return refuse(conn, Status::BadRequest, "the call names no service");
        };
        let view = self.state.view();
        let Some((service, route)) = resolve(&view, &service, conn.path()) else {
            return refuse(
                conn,
                Status::NotFound,
                "no document in force has this route",
            );
        };
        let body = conn.request_body().with_max_len(MAX_REQUEST_BYTES);
        let Ok(body) = body.read_bytes().await else {
            return refuse(conn, Status::BadRequest, "the request body is incomplete");
        };
        let request = Request {
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
            service: service.document.service().as_str(),
            version: service.document.version().as_str(),
            idempotent: route.idempotent(),
            timeout: route.timeout(),
            method: conn.method().as_str(),
            path: conn.path_and_query(),
            headers: headers(conn.request_headers()),
            body,
        };
        let candidates = service.candidates.get(request.version);
        let Some(target) = candidates.and_then(fastrand::choice) else {
            return refuse(conn, Status::ServiceUnavailable, "no target is known");
        };
        log::info!(
            "route call={} service={} version={} target={} revision={}",
            request.sequence,
            request.service,
            request.version,
            target.address,
            service.revision,
        );
        let answer = forward::forward(&self.pool, &self.state, target.address, request).await;
        respond(conn, answer)
    }
}

fn resolve<'a>(
    view: &'a View,
    service: &str,
    path: &str,
) -> Option<(&'a crate::state::Service, &'a Route)> {
    let asked = view.service(service)?;
    let route = asked.document.route(path)?;
    match route.destination() {
        None => Some((asked, route)),
        Some(destination) => Some((view.service(destination.as_str())?, route)),
    }
}

fn service_name(conn: &Conn) -> Option<String> {
    let named = conn.request_headers().get_str(SERVICE_HEADER);
    let host = conn.host().and_then(|host| host.split(['.', ':']).next());
    named.or(host).map(str::to_owned)
}

fn headers(headers: &trillium::Headers) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop(name.as_ref()))
        .flat_map(|(name, values)| {
            values.iter().map(move |value| Header {
                name: name.to_string(),
                value: AsRef::<[u8]>::as_ref(value).to_vec(),
            })
        })
        .collect()
}

fn is_hop(name: &str) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

fn refuse(conn: Conn, status: Status, reason: &'static str) -> Conn {
    conn.with_status(status)
        .with_response_header(OUTCOME_HEADER, "not-run")
        .with_body(reason)
        .halt()
}

fn respond(conn: Conn, answer: Answer) -> Conn {
    match answer {
        Answer::Whole { head, body } => {
            let mut conn = conn
                .with_status(head.status)
                .with_response_header(OUTCOME_HEADER, "answered")
                .with_body(body);
            for header in head
                .headers
                .into_iter()
                .filter(|header| !is_hop(&header.name))
            {
                conn.response_headers_mut()
                    .append(header.name, header.value);
            }
            conn.halt()
        }
        Answer::NotRun => refuse(conn, Status::ServiceUnavailable, "the call was not run"),
        Answer::Unknown => conn
            .with_status(Status::BadGateway)
            .with_response_header(OUTCOME_HEADER, "unknown")
            .with_body("the outcome of the call is unknown")
            .halt(),
    }
}
