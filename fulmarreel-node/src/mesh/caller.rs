//! Requests of callers and of the own target, from their arrival to their answer.

use super::{
    exchange::{Attempt, Exchange},
    serve::Server,
    takeover::{Moves, Sample, Side},
    targets::Targets,
    transport::Watcher,
    view::{Target, View},
    world::World,
};
use crate::{
    peer::{Identity, Pool},
    serve::opener::Kept,
    telemetry::metrics::{self, Outcome},
};
use fulmarreel_balance::{
    Budget,
    choice::Tier,
    placement::{self, Candidate},
};
use fulmarreel_platform::request;
use fulmarreel_route::{Route, Table};
use fulmarreel_wire::call::{Header, Open};
use smol::future::or;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use trillium::{Conn, KnownHeaderName, Status};

/// Nodes that one request is offered to at most, those that refuse it included.
const MAX_OFFERS: usize = 4;

/// The part of a service's repeats that this design allows itself of those that are granted.
const RETRY_PART: f64 = 0.5;

/// The shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The part of the time left after which a caller is told to come back at the latest.
const MAX_RETRY_PART: f64 = 0.3;

/// Time before a process's end at which it refuses what still waits for a slot.
const LAST_WORD: Duration = Duration::from_millis(600);

/// Time that a process takes to start again.
const RESTART: Duration = Duration::from_millis(500);

/// The part of its objective within which a request wants a slot at the least.
const MIN_PATIENCE: f64 = 0.2;

/// How long a target is passed over that was full.
const MAX_AVOID: Duration = Duration::from_millis(300);

/// How long a target is passed over that takes no requests, such as one that leaves.
const GONE_PAUSE: Duration = Duration::from_millis(1_000);

/// The lowest status that says the target failed.
const FIRST_SERVER_ERROR: u16 = 500;

/// Size of an answer that is expected where none was seen, in kilobytes.
const USUAL_KILOBYTES: f64 = 2.0;

/// Weight of the newest answer in a route's mean size.
const SIZE_WEIGHT: f64 = 0.1;

/// One in so many requests that went well at once is written to the log.
const LOGGED_OF_GOOD: u64 = 16;

/// Serves requests of callers.
#[derive(Debug)]
pub struct Caller {
    world: Arc<World>,
    server: Arc<Server>,
    moves: Arc<Moves>,
    targets: Arc<Targets>,
    pool: Arc<Pool>,
    budgets: Mutex<HashMap<String, Budget>>,
    /// Mean size of answers by route, in kilobytes.
    sizes: Mutex<HashMap<String, f64>>,
    next_sequence: AtomicU64,
    in_flight: AtomicUsize,
    /// Whether no further requests are taken.
    closed: AtomicBool,
}

/// A request that is counted as in flight until dropped.
struct Counted<'a>(&'a AtomicUsize);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// One request, read whole.
struct Request<'a> {
    id: &'a str,
    route: &'a Route,
    service: &'a str,
    revision: u64,
    body: &'a [u8],
    started: Instant,
    limit: Instant,
    rank: u8,
}

/// How a request ended.
enum End {
    Answered(Kept),
    /// Not run, and never will be.
    NotRun {
        reason: &'static str,
        retry_after: Duration,
    },
    /// It may have run.
    Unknown {
        reason: &'static str,
        /// Whether its time is over.
        late: bool,
    },
}

/// What the targets that were tried have said.
#[derive(Default)]
struct Tried {
    addresses: Vec<SocketAddr>,
    /// How many may have begun to work on it.
    reached: u32,
    /// The shortest time after which one may take it.
    retry_after: Option<Duration>,
}

impl Caller {
    /// A handler of requests.
    pub fn new(world: Arc<World>, server: Arc<Server>, moves: Arc<Moves>) -> Self {
        let own = Identity {
            address: world.settings().peers,
            boot: world.boot,
        };
        let pool = Arc::new(Pool::new(own));
        let watched = Arc::clone(&pool);
        crate::runtime::spawn(async move { watched.watch().await });
        Self {
            world,
            server,
            moves,
            targets: Arc::default(),
            pool,
            budgets: Mutex::default(),
            sizes: Mutex::default(),
            next_sequence: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
        }
    }

    /// Requests whose answer has not been sent.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Takes no further requests.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// What is known of targets, and the connections to their nodes.
    pub fn reach(&self) -> (Arc<Targets>, Arc<Pool>) {
        (Arc::clone(&self.targets), Arc::clone(&self.pool))
    }

    /// Serves one request.
    pub async fn handle(&self, conn: Conn, watcher: &Watcher) -> Conn {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let _counted = Counted(&self.in_flight);
        let conn = self.serve(conn, watcher).await;
        if self.world.is_stopping() {
            return conn.with_response_header(KnownHeaderName::Connection, "close");
        }
        conn
    }

    async fn serve(&self, mut conn: Conn, watcher: &Watcher) -> Conn {
        let started = Instant::now();
        if self.closed.load(Ordering::Acquire) {
            let end = self.world.end().unwrap_or(started);
            let until = end.saturating_duration_since(started);
            return refuse(conn, "this node is stopping", until + RESTART);
        }
        let view = self.world.view();
        let Some(table) = &view.table else {
            let reason = "no configuration is known yet";
            return refuse(conn, reason, Duration::from_millis(300));
        };
        let host = conn.host().unwrap_or_default().to_owned();
        let path = conn.path().to_owned();
        let Some(entry) = table.find(&host, &path).map(Arc::clone) else {
            log::info!(host = host.as_str(), path = path.as_str(), revision = table.revision; "no route");
            return conn
                .with_status(Status::NotFound)
                .with_body("no route")
                .halt();
        };
        let limit = table.limits.body_bytes;
        let body = conn.request_body().with_max_len(limit).read_bytes().await;
        let Ok(body) = body else {
            return conn
                .with_status(Status::PayloadTooLarge)
                .with_body("the body is incomplete or too long")
                .halt();
        };
        let route = &entry.route;
        let part = entry.split.next(fastrand::f64());
        let headers = conn.request_headers();
        let allowed = headers
            .get_str(request::DEADLINE)
            .and_then(|text| text.trim().parse().ok())
            .map_or(route.timeout, |ms| {
                Duration::from_millis(ms).min(route.timeout)
            });
        let id = headers.get_str(request::ID).unwrap_or_default().to_owned();
        let request = Request {
            id: &id,
            route,
            service: &route.parts[part].service,
            revision: table.revision,
            body: &body,
            started,
            limit: started + allowed,
            rank: rank(table, route),
        };
        let open = self.open(&conn, &request);
        let mut tried = Tried::default();
        let answer = async { Some(self.answer(&request, open, &mut tried).await) };
        let ended = or(answer, async {
            watcher.left().await;
            None
        });
        let Some(end) = ended.await else {
            log::info!(id = id.as_str(), route = route.name.as_str(); "the caller left");
            return conn
                .with_response_header(KnownHeaderName::Connection, "close")
                .halt();
        };
        self.log_end(&request, &end, &tried);
        self.respond(conn, &request, end)
    }

    fn open(&self, conn: &Conn, request: &Request<'_>) -> Open {
        let mut headers = Vec::with_capacity(conn.request_headers().len() + 1);
        for (name, values) in conn.request_headers() {
            let name: &str = name.as_ref();
            if !request::is_hop(name) {
                headers.extend(values.iter().map(|value| Header {
                    name: name.to_owned(),
                    value: AsRef::<[u8]>::as_ref(value).to_vec(),
                }));
            }
        }
        headers.push(Header {
            name: request::CALLER_SERVICE.to_owned(),
            value: self.world.settings().service.clone().into_bytes(),
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

    /// Offers a request to one target after the other, as its kind, its route and the budget of
    /// repeats allow.
    async fn answer(&self, request: &Request<'_>, mut open: Open, tried: &mut Tried) -> End {
        let mut last = End::NotRun {
            reason: "no target is known",
            retry_after: Duration::ZERO,
        };
        self.budget(request.service, Budget::earn);
        loop {
            let view = self.world.view();
            let chosen = self.choose(&view, request, tried);
            let Some((target, side)) = chosen else {
                return last.hinted(tried);
            };
            tried.addresses.push(target.address);
            open.sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
            open.version.clone_from(&target.version);
            let left = request.limit.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return last.hinted(tried);
            }
            open.remaining_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            (open.wanted_ms, open.latest_ms) = self.patience(request, &target);
            let exchange = Exchange {
                server: &self.server,
                pool: &self.pool,
                targets: &self.targets,
                target: &target,
                own: self.world.settings().peers,
                limit: request.limit,
            };
            let flight = self.targets.begin(target.address);
            let attempt = exchange.run(&open, request.body).await;
            drop(flight);
            self.observe(request, &target, &side, &attempt);
            match attempt {
                Attempt::Answered(kept) if is_not_run(&kept) => {
                    tried.reached += 1;
                    last = End::NotRun {
                        reason: "the target did not run it",
                        retry_after: Duration::ZERO,
                    };
                    if !self.may_reach_another(request, tried) {
                        return last.hinted(tried);
                    }
                }
                Attempt::Answered(kept) => {
                    tried.reached += 1;
                    let failed = kept.head.status >= FIRST_SERVER_ERROR;
                    let again = failed
                        && request.route.idempotent
                        && self.is_worth_another(request)
                        && self.may_reach_another(request, tried);
                    last = End::Answered(kept);
                    if !again {
                        return last;
                    }
                }
                Attempt::NotRun {
                    reason,
                    retry_after,
                    ..
                } => {
                    tried.hint(retry_after);
                    // An answer of a target, be it a failure, is better than a refusal.
                    if matches!(last, End::NotRun { .. }) {
                        last = End::NotRun {
                            reason,
                            retry_after,
                        };
                    }
                    if tried.addresses.len() >= MAX_OFFERS {
                        return last.hinted(tried);
                    }
                }
                Attempt::Unknown { reason, .. } => {
                    tried.reached += 1;
                    let late = Instant::now() >= request.limit;
                    if !matches!(last, End::Answered(_)) {
                        last = End::Unknown { reason, late };
                    }
                    let again =
                        request.route.idempotent && !late && self.may_reach_another(request, tried);
                    if !again {
                        return last;
                    }
                }
            }
        }
    }

    /// Within how many milliseconds a request wants a slot of a target, and after how many it no
    /// longer waits: by when its answer can be expected within its objective, and within its limit.
    fn patience(&self, request: &Request<'_>, target: &Target) -> (u32, u32) {
        let now = Instant::now();
        let work = self.targets.candidate(target, &request.route.name).work;
        let objective = request.route.objective;
        let left = |until: Instant| until.saturating_duration_since(now + work);
        // Where the process ends before, what waits is refused while that can still be said.
        let end = self.world.end().map(|end| end - LAST_WORD);
        let limit = end.map_or(request.limit, |end| end.min(request.limit));
        let latest = left(limit);
        let wanted = left(request.started + objective)
            .max(objective.mul_f64(MIN_PATIENCE))
            .min(latest);
        let ms = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        (ms(wanted), ms(latest))
    }

    /// Whether there is time for a further target to answer.
    fn is_worth_another(&self, request: &Request<'_>) -> bool {
        let usual = self.targets.usual(&request.route.name).unwrap_or_default();
        Instant::now() + usual < request.limit
    }

    /// Whether a request may go to a further target after one that it may have reached.
    fn may_reach_another(&self, request: &Request<'_>, tried: &Tried) -> bool {
        tried.reached < request.route.max_attempts
            && tried.addresses.len() < MAX_OFFERS
            && self.budget(request.service, Budget::spend)
    }

    fn budget<T>(&self, service: &str, work: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("budgets lock");
        if let Some(budget) = budgets.get_mut(service) {
            return work(budget);
        }
        let settings = self.world.settings();
        // Each node takes its part of what all may spend.
        let nodes = self.world.view().nodes.len().max(1) as f64;
        let budget = Budget::new(
            settings.retry_ratio * RETRY_PART,
            (settings.retry_slack * RETRY_PART / nodes).max(1.0),
        );
        work(budgets.entry(service.to_owned()).or_insert(budget))
    }

    fn choose(
        &self,
        view: &View,
        request: &Request<'_>,
        tried: &Tried,
    ) -> Option<(Arc<Target>, Side)> {
        let side = self
            .moves
            .choose(request.service, view, tried.addresses.is_empty());
        let targets = view.targets(request.service);
        let untried = || {
            targets
                .iter()
                .filter(|target| !tried.addresses.contains(&target.address))
        };
        let allowed = |target: &&Arc<Target>| side.allows(&target.version);
        let mut usable: Vec<&Arc<Target>> = untried().filter(allowed).collect();
        usable.retain(|target| !self.pool.is_leaving(target.address));
        if usable.is_empty() {
            usable = untried().filter(allowed).collect();
        }
        // Nobody waits for a node that could not be reached: it is probed apart from requests.
        usable.retain(|target| !self.targets.is_unreachable(target.address));
        let weigh = |target: &&Arc<Target>| self.candidate(target, request);
        let mut candidates: Vec<Candidate> = usable.iter().map(weigh).collect();
        if !tried.addresses.is_empty() {
            // Over the paid link nothing is tried that refused a moment ago.
            let worth =
                |candidate: &Candidate| !(candidate.avoided && candidate.tier == Tier::Remote);
            usable = usable
                .iter()
                .zip(&candidates)
                .filter(|(_, candidate)| worth(candidate))
                .map(|(target, _)| *target)
                .collect();
            candidates.retain(worth);
        }
        let now = Instant::now();
        let objective = request.started + request.route.objective;
        let wanted = placement::Request {
            objective: objective.saturating_duration_since(now),
            limit: request.limit.saturating_duration_since(now),
            kilobytes: self.kilobytes(request),
        };
        let chosen = placement::choose(&candidates, &wanted)?;
        Some((Arc::clone(usable[chosen]), side))
    }

    fn candidate(&self, target: &Target, request: &Request<'_>) -> Candidate {
        let mut candidate = self.targets.candidate(target, &request.route.name);
        if candidate.tier == Tier::Zone && target.address == self.world.settings().peers {
            candidate.load = u32::from(self.server.load().0);
        }
        candidate
    }

    fn kilobytes(&self, request: &Request<'_>) -> f64 {
        let sizes = self.sizes.lock().expect("sizes lock");
        let answer = sizes.get(&request.route.name).copied();
        answer.unwrap_or(USUAL_KILOBYTES) + request.body.len() as f64 / 1024.0
    }

    /// Takes in what an attempt says of its target and of the version that it runs.
    fn observe(&self, request: &Request<'_>, target: &Target, side: &Side, attempt: &Attempt) {
        let route = request.route.name.as_str();
        let address = target.address;
        match attempt {
            Attempt::Answered(kept) => {
                self.targets.reach(address, true);
                self.targets.report(address, u32::from(kept.head.in_flight));
                if is_not_run(kept) {
                    return self.targets.fail(address);
                }
                let failed = kept.head.status >= FIRST_SERVER_ERROR;
                let took = Duration::from_micros(u64::from(kept.head.target_micros));
                let sample = Sample {
                    route,
                    failed,
                    took,
                    usual: self.targets.usual(route),
                    age: self.targets.age(address),
                };
                self.moves.record(request.service, side, &sample);
                self.targets.end(address, route, took, failed);
                if !failed {
                    let size = kept.body.len() as f64 / 1024.0;
                    let mut sizes = self.sizes.lock().expect("sizes lock");
                    let mean = sizes.entry(route.to_owned()).or_insert(size);
                    *mean += (size - *mean) * SIZE_WEIGHT;
                }
            }
            Attempt::NotRun {
                reached,
                retry_after,
                ..
            } => {
                self.targets.reach(address, *reached);
                let pause = if retry_after.is_zero() {
                    GONE_PAUSE
                } else {
                    (*retry_after).clamp(MIN_RETRY_AFTER, MAX_AVOID)
                };
                self.targets.avoid(address, Instant::now() + pause);
            }
            Attempt::Unknown { at_target, .. } => {
                self.targets.fail(address);
                if *at_target {
                    let sample = Sample {
                        route,
                        failed: true,
                        took: request.started.elapsed(),
                        usual: None,
                        age: Duration::ZERO,
                    };
                    self.moves.record(request.service, side, &sample);
                }
            }
        }
    }

    fn respond(&self, conn: Conn, request: &Request<'_>, end: End) -> Conn {
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

    fn log_end(&self, request: &Request<'_>, end: &End, tried: &Tried) {
        let (outcome, status, reason) = match end {
            End::Answered(kept) => (Outcome::Answered, kept.head.status, "answered"),
            End::NotRun { reason, .. } => (Outcome::NotRun, 503, *reason),
            End::Unknown { reason, late } => {
                (Outcome::Unknown, if *late { 504 } else { 502 }, *reason)
            }
        };
        let took = request.started.elapsed();
        metrics::call_ended(request.service, "", outcome, took);
        let good = outcome == Outcome::Answered
            && status < FIRST_SERVER_ERROR
            && took <= request.route.objective;
        if good && !xxhash_rust::xxh3::xxh3_64(request.id.as_bytes()).is_multiple_of(LOGGED_OF_GOOD)
        {
            return;
        }
        let target = tried.addresses.last().map(ToString::to_string);
        log::info!(
            id = request.id,
            offers = tried.addresses.len(),
            reached = tried.reached,
            target = target.as_deref().unwrap_or(""),
            route = request.route.name.as_str(),
            service = request.service,
            revision = request.revision,
            outcome = outcome.name(),
            status,
            took_ms = took.as_millis() as u64;
            "{reason}"
        );
    }
}

impl End {
    /// Tells the caller when to come back, from what the targets said.
    fn hinted(self, tried: &Tried) -> Self {
        match self {
            Self::NotRun {
                reason,
                retry_after,
            } => Self::NotRun {
                reason,
                retry_after: tried.retry_after.unwrap_or(retry_after),
            },
            other => other,
        }
    }
}

impl Tried {
    fn hint(&mut self, retry_after: Duration) {
        let known = self.retry_after.unwrap_or(Duration::MAX);
        self.retry_after = Some(known.min(retry_after));
    }
}

/// The rank of a route's requests in the queues of targets.
fn rank(_table: &Table, route: &Route) -> u8 {
    route.priority
}

/// Whether an answer says that the target did not run the request.
fn is_not_run(kept: &Kept) -> bool {
    let names = kept.head.headers.iter().map(|header| header.name.as_str());
    request::is_not_run(kept.head.status, names)
}

/// Says that a request was not run, and when to come back.
fn refuse(conn: Conn, reason: &'static str, retry_after: Duration) -> Conn {
    conn.with_status(Status::ServiceUnavailable)
        .with_response_header(
            request::RETRY_AFTER,
            format!("{:.3}", retry_after.as_secs_f64()),
        )
        .with_body(reason)
        .halt()
}
