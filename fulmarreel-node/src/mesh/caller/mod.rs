//! Requests of callers and of the own target, from their arrival to their response.

mod choose;
mod offer;
mod respond;

use super::{context::Context, serve::Server, takeover::Rollouts, targets::TargetStats};
use crate::{
    peer::{Identity, Pool},
    transport::Watcher,
};
use fulmarreel_balance::Budget;
use fulmarreel_platform::request;
use fulmarreel_route::Route;
use fulmarreel_wire::call::{Header, Open};
use offer::Offers;
use respond::refuse;
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use trillium::{Conn, KnownHeaderName, Status};

/// How long a restarted process takes to accept requests again.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// The shortest retry delay that a caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The lowest HTTP status by which a target says that it failed.
const FIRST_SERVER_ERROR: u16 = 500;

/// Handles requests of callers.
#[derive(Debug)]
pub struct RequestHandler {
    context: Arc<Context>,
    server: Arc<Server>,
    rollouts: Arc<Rollouts>,
    targets: Arc<TargetStats>,
    pool: Arc<Pool>,
    /// Retry budgets by service.
    budgets: Mutex<HashMap<String, Budget>>,
    /// Mean size of response bodies by route.
    response_kilobytes: Mutex<HashMap<String, f64>>,
    next_sequence: AtomicU64,
    in_flight: AtomicUsize,
    /// Whether further requests are refused.
    closed: AtomicBool,
}

/// Counts a request as in flight until dropped.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A request whose body has been read whole.
struct Request<'a> {
    id: &'a str,
    route: &'a Route,
    service: &'a str,
    /// The store revision of the configuration that the request was routed by.
    revision: u64,
    body: &'a [u8],
    started: Instant,
    deadline: Instant,
    /// Its route's priority; the lowest rank goes first in a target's queue.
    rank: u8,
}

impl RequestHandler {
    pub fn new(context: Arc<Context>, server: Arc<Server>, rollouts: Arc<Rollouts>) -> Self {
        let own = Identity {
            address: context.settings().peer_address,
            started_at_ms: context.started_at_ms,
        };
        let pool = Arc::new(Pool::new(own));
        let watched = Arc::clone(&pool);
        crate::runtime::spawn(async move { watched.close_silent_connections().await });
        Self {
            context,
            server,
            rollouts,
            targets: Arc::default(),
            pool,
            budgets: Mutex::default(),
            response_kilobytes: Mutex::default(),
            next_sequence: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
        }
    }

    /// The number of requests whose response has not been sent.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Refuses further requests from here on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// The statistics of targets, and the connections to their nodes.
    pub fn targets_and_pool(&self) -> (Arc<TargetStats>, Arc<Pool>) {
        (Arc::clone(&self.targets), Arc::clone(&self.pool))
    }

    /// Serves one request. The response closes its connection once this node is stopping.
    pub async fn handle(&self, conn: Conn, watcher: &Watcher) -> Conn {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let _in_flight = InFlightGuard(&self.in_flight);
        let conn = self.serve(conn, watcher).await;
        if self.context.is_stopping() {
            return conn.with_response_header(KnownHeaderName::Connection, "close");
        }
        conn
    }

    async fn serve(&self, mut conn: Conn, watcher: &Watcher) -> Conn {
        let started = Instant::now();
        if self.closed.load(Ordering::Acquire) {
            let end = self.context.end().unwrap_or(started);
            let until_end = end.saturating_duration_since(started);
            let reason = "this node is stopping";
            self.log_early_end(&conn, Status::ServiceUnavailable, reason, 0);
            return refuse(conn, reason, until_end + RESTART_TIME);
        }
        let view = self.context.view();
        let Some(table) = &view.table else {
            let reason = "no configuration is known yet";
            self.log_early_end(&conn, Status::ServiceUnavailable, reason, 0);
            return refuse(conn, reason, Duration::from_millis(300));
        };
        let (host, path) = (conn.host().unwrap_or_default(), conn.path());
        let Some(entry) = table.find_route(host, path).map(Arc::clone) else {
            return self.reject(conn, Status::NotFound, "no route", table.revision);
        };
        let max_body_bytes = table.limits.body_bytes;
        let Ok(body) = watcher.read_body(&mut conn, max_body_bytes).await else {
            let reason = "the body is incomplete or too long";
            return self.reject(conn, Status::PayloadTooLarge, reason, table.revision);
        };
        let route = &entry.route;
        let index = entry.split.next_service(fastrand::f64());
        let headers = conn.request_headers();
        let timeout = headers
            .get_str(request::DEADLINE_MS)
            .and_then(|text| text.trim().parse().ok())
            .map_or(route.timeout, |ms| {
                Duration::from_millis(ms).min(route.timeout)
            });
        let id = headers
            .get_str(request::REQUEST_ID)
            .unwrap_or_default()
            .to_owned();
        let request = Request {
            id: &id,
            route,
            service: &route.services[index].service,
            revision: table.revision,
            body: &body,
            started,
            deadline: started + timeout,
            rank: route.priority,
        };
        let open = self.open_frame(&conn, &request);
        let mut offers = Offers::default();
        let outcome = self.offer(&request, open, &mut offers);
        let Some(outcome) = watcher.while_connected(outcome).await else {
            self.log_caller_left(&request, &offers);
            return conn
                .with_response_header(KnownHeaderName::Connection, "close")
                .halt();
        };
        self.log_outcome(&request, &outcome, &offers);
        self.respond(conn, &request, outcome)
    }

    /// The frame that opens the request at a node. The fields that differ between attempts are left zero or
    /// empty.
    fn open_frame(&self, conn: &Conn, request: &Request<'_>) -> Open {
        let mut headers = Vec::with_capacity(conn.request_headers().len() + 1);
        for (name, values) in conn.request_headers() {
            let name: &str = name.as_ref();
            if !request::is_hop_by_hop(name) {
                headers.extend(values.iter().map(|value| Header {
                    name: name.to_owned(),
                    value: AsRef::<[u8]>::as_ref(value).to_vec(),
                }));
            }
        }
        headers.push(Header {
            name: request::CALLER_SERVICE.to_owned(),
            value: self.context.settings().service.clone().into_bytes(),
        });
        Open {
            sequence: 0,
            remaining_ms: 0,
            wanted_ms: 0,
            latest_ms: 0,
            attempt: 0,
            depth: 0,
            idempotent: request.route.idempotent,
            rank: request.rank,
            service: request.service.to_owned(),
            version: String::new(),
            method: conn.method().as_str().to_owned(),
            path: conn.path_and_query().to_owned(),
            headers,
            length: request.body.len() as u64,
        }
    }
}
