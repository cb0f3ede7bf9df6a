//! Requests of callers and of the own target, from their arrival to their response.

mod authenticate;
mod choose;
mod cold_targets;
mod crossing;
mod delivery;
mod eligible;
mod head;
mod offer;
mod pipeline;
mod quota;
mod respond;
mod routed;
mod shed;
mod uneven;

pub use pipeline::CallerConnection;

use super::{
    context::Context, credential::Credential, quota::Quotas, serve::Server, takeover::Rollouts,
    targets::TargetStats,
};
use crate::{
    peer::{Identity, Pool},
    runtime::{self, Task},
};
use authenticate::authenticate;
use cold_targets::ColdTargets;
use delivery::InFlightGuard;
use fulmarreel_balance::Budget;
use fulmarreel_platform::request;
use fulmarreel_route::{Account, Route};
use fulmarreel_wire::call::{Header, Open};
use head::Head;
use offer::{Offers, RequestOutcome};
use pipeline::Started;
use respond::refuse;
use routed::Routed;
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

/// Why a request is refused shortly before this process ends.
const STOPPING: &str = "this node is stopping";

/// The lowest HTTP status by which a target says that it failed.
const FIRST_SERVER_ERROR: u16 = 500;

/// Handles requests of callers.
#[derive(Debug)]
pub struct RequestHandler {
    context: Arc<Context>,
    server: Arc<Server>,
    rollouts: Arc<Rollouts>,
    quotas: Arc<Quotas>,
    targets: Arc<TargetStats>,
    cold_targets: ColdTargets,
    pool: Arc<Pool>,
    /// Retry budgets by service.
    budgets: Mutex<HashMap<String, Budget>>,
    /// Mean size of response bodies by route.
    response_kilobytes: Mutex<HashMap<String, f64>>,
    next_sequence: AtomicU64,
    in_flight: Arc<AtomicUsize>,
    /// Whether further requests are refused.
    closed: AtomicBool,
}

/// The attempts of a request that was started before its turn; cancelled if dropped.
type RequestTask = Task<(RequestOutcome, Offers)>;

/// A request whose body has been read whole.
struct Request<'a> {
    id: &'a str,
    route: &'a Route,
    service: &'a str,
    /// The client account that sent the request, where the configuration has accounts.
    account: Option<&'a Arc<Account>>,
    /// The API key that identified the account.
    credential: Option<&'a Credential>,
    /// The store revision of the configuration that the request was routed by.
    revision: u64,
    body: &'a [u8],
    started: Instant,
    deadline: Instant,
    /// Its route's priority; the lowest rank goes first in a target's queue, after the priorities of
    /// accounts.
    rank: u8,
}

impl RequestHandler {
    pub fn new(
        context: Arc<Context>,
        server: Arc<Server>,
        rollouts: Arc<Rollouts>,
        quotas: Arc<Quotas>,
    ) -> Self {
        let own = Identity {
            address: context.settings().peer_address,
            started_at_ms: context.started_at_ms,
        };
        let pool = Arc::new(Pool::with_turns(own, server.links.in_turns()));
        let watched = Arc::clone(&pool);
        crate::runtime::spawn(async move { watched.close_silent_connections().await });
        Self {
            context,
            server,
            rollouts,
            quotas,
            targets: Arc::default(),
            cold_targets: ColdTargets::default(),
            pool,
            budgets: Mutex::default(),
            response_kilobytes: Mutex::default(),
            next_sequence: AtomicU64::new(1),
            in_flight: Arc::default(),
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

    /// Serves one request. The response closes its connection once this node is stopping and no other
    /// request of the connection has been started.
    pub async fn handle(&self, conn: Conn, connection: &CallerConnection) -> Conn {
        let _in_flight = self.count_in_flight();
        let conn = self.serve(conn, connection).await;
        if self.context.is_stopping() && connection.is_empty() {
            return conn.with_response_header(KnownHeaderName::Connection, "close");
        }
        conn
    }

    /// Counts a request as in flight until the result is dropped.
    fn count_in_flight(&self) -> InFlightGuard {
        InFlightGuard::new(&self.in_flight)
    }

    /// Starts a request without a body before its turn, if it is idempotent.
    fn start(self: &Arc<Self>, head: &Head) -> Option<(Arc<Routed>, RequestTask)> {
        if self.is_closed() || self.context.is_stopping() {
            return None;
        }
        // Read before the view: what is proved of an earlier view holds for a later one.
        let is_proved = self.context.is_proved();
        let view = self.context.view();
        let table = view.table.as_ref()?;
        let entry = table.find_route(&head.host, &head.path)?;
        let mut head = head.clone();
        // A request that is not authenticated is rejected in its turn.
        let credential = authenticate(table, &entry.route, &mut head.headers, is_proved).ok()?;
        let routed = Routed::new(table, entry, credential, &head, Instant::now());
        let routed = Arc::new(routed);
        if !routed.is_idempotent() {
            return None;
        }
        let handler = Arc::clone(self);
        let started = Arc::clone(&routed);
        let task = runtime::spawn_task(async move {
            let _in_flight = handler.count_in_flight();
            let request = started.with_body(&[]);
            let open = handler.open_frame(head, &request);
            let mut offers = Offers::default();
            let outcome = handler.offer(&request, open, &mut offers).await;
            (outcome, offers)
        });
        Some((routed, task))
    }

    async fn serve(&self, mut conn: Conn, connection: &CallerConnection) -> Conn {
        let started = Instant::now();
        let mut head = Head::from(&conn);
        if let Some(request) = connection.take_started(&head) {
            return self.finish_started(conn, connection, request).await;
        }
        if self.is_closed() {
            return self.refuse_stopping(conn);
        }
        // Read before the view, as in `start`.
        let is_proved = self.context.is_proved();
        let view = self.context.view();
        let Some(table) = &view.table else {
            let reason = "no configuration is known yet";
            self.log_early_end(&conn, Status::ServiceUnavailable, reason, 0);
            return refuse(conn, reason, Duration::from_millis(300));
        };
        let Some(entry) = table.find_route(&head.host, &head.path) else {
            return self.reject(conn, Status::NotFound, "no route", table.revision);
        };
        let credential = match authenticate(table, &entry.route, &mut head.headers, is_proved) {
            Ok(credential) => credential,
            Err(rejection) => return self.reject_unauthenticated(conn, rejection, table.revision),
        };
        let routed = Routed::new(table, entry, credential, &head, started);
        let max_body_bytes = table.limits.body_bytes;
        let watcher = connection.watcher();
        let Ok(body) = watcher.read_body(&mut conn, max_body_bytes).await else {
            let reason = "the body is incomplete or too long";
            return self.reject(conn, Status::PayloadTooLarge, reason, table.revision);
        };
        // The body may have taken long to arrive.
        if self.is_closed() {
            return self.refuse_stopping(conn);
        }
        let request = routed.with_body(&body);
        let open = self.open_frame(head, &request);
        let mut offers = Offers::default();
        let outcome = self.offer(&request, open, &mut offers);
        let Some(outcome) = connection.while_connected(outcome).await else {
            return self.end_abandoned(conn, &request, &offers);
        };
        self.record_target_call(&request, &outcome, &offers);
        self.log_outcome(&request, &outcome, &offers);
        self.respond(conn, connection, &request, outcome)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// How long it takes until a later process of this node accepts requests, if this one is stopping.
    fn time_until_restart(&self) -> Duration {
        let now = Instant::now();
        let end = self.context.end().unwrap_or(now);
        end.saturating_duration_since(now) + RESTART_TIME
    }

    fn refuse_stopping(&self, conn: Conn) -> Conn {
        self.log_early_end(&conn, Status::ServiceUnavailable, STOPPING, 0);
        refuse(conn, STOPPING, self.time_until_restart())
    }

    /// Responds to a request that was started before its turn.
    async fn finish_started(
        &self,
        conn: Conn,
        connection: &CallerConnection,
        started: Started,
    ) -> Conn {
        let request = started.routed.with_body(&[]);
        let Some((outcome, offers)) = connection.while_connected(started.task).await else {
            return self.end_abandoned(conn, &request, &Offers::default());
        };
        self.record_target_call(&request, &outcome, &offers);
        self.log_outcome(&request, &outcome, &offers);
        self.respond(conn, connection, &request, outcome)
    }

    /// Ends a request whose caller closed its connection.
    fn end_abandoned(&self, conn: Conn, request: &Request<'_>, offers: &Offers) -> Conn {
        self.log_caller_left(request, offers);
        conn.with_response_header(KnownHeaderName::Connection, "close")
            .halt()
    }

    /// The frame that opens the request at a node. The fields that differ between attempts are left zero or
    /// empty.
    fn open_frame(&self, head: Head, request: &Request<'_>) -> Open {
        let mut headers = head.headers;
        headers.retain(|header| !request::is_hop_by_hop(&header.name));
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
            method: head.method,
            path: head.path,
            headers,
            length: request.body.len() as u64,
        }
    }
}
