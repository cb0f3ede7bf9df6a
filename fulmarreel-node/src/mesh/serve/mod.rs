//! Serves requests, from this node and from others, for this node's own target: queues them for its
//! slots and forwards them over HTTP.

mod cold_gate;
mod crossing;
mod feedback;
pub(super) mod order;
mod own_target;
mod pauses;
mod peer;
mod place;

use super::{
    context::Context,
    endpoint::{self, Endpoint},
    links::Links,
};
use crate::{
    serve::{
        session::{Sessions, WholeResponse},
        slot_queue::{Permit, SlotQueue},
    },
    telemetry::metrics,
};
pub use cold_gate::COLD_MS;
use cold_gate::{ColdGate, HandOver};
use fulmarreel_balance::admission::QueueDeadlines;
use fulmarreel_http::{Quota, Response};
use fulmarreel_membership::{Announcement, announcement::CurrentTarget};
use fulmarreel_platform::request;
use fulmarreel_route::{Entry, Table};
use fulmarreel_wire::call::{Failure, Frame, Head, Header, Open, Refusal};
use order::{NewRun, Orders};
use own_target::OwnTarget;
use pauses::Pauses;
use smol::{Timer, net::TcpListener, stream::StreamExt};
use std::{
    io,
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::{Duration, Instant},
};

/// How often the server checks for a silent target, idle sessions and unusable connections.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The target's responses may take up the process's memory limit divided by this while they are read.
const RESPONSE_MEMORY_DIVISOR: usize = 4;

/// Serves requests for this node's own target.
#[derive(Debug)]
pub struct Server {
    context: Arc<Context>,
    slot_queue: Arc<SlotQueue>,
    orders: Orders,
    endpoint: Endpoint,
    own_target: Mutex<OwnTarget>,
    cold_gate: Arc<ColdGate>,
    pauses: Mutex<Pauses>,
    /// Whether the target of an announcement is being asked whether it is there.
    is_confirming: AtomicBool,
    sessions: Sessions,
    /// This machine's link.
    pub links: Arc<Links>,
}

/// Why a request has no response.
#[derive(Debug)]
pub enum Rejection {
    /// It was not run, and never will be.
    Refused {
        /// The cause.
        reason: Refusal,
        /// How long to wait before another attempt.
        retry_after: Duration,
    },
    /// It was forwarded to the target, and its response cannot be obtained.
    Failed(Failure),
}

/// A request that holds a slot of the own target.
#[derive(Debug)]
pub struct Admitted {
    permit: Permit,
    target: Announcement,
    /// Its hand-over, if the target is limited while it is cold.
    hand_over: Option<HandOver>,
    /// When its caller stops waiting.
    deadline: Instant,
    /// Set if its end is to be recorded as one of new work.
    new_run: Option<NewRun>,
}

impl Rejection {
    fn refused(open: &Open, reason: Refusal, retry_after: Duration) -> Self {
        metrics::call_refused(&open.service, reason);
        Self::Refused {
            reason,
            retry_after,
        }
    }
}

impl Server {
    /// Creates the server for the target endpoint of the settings.
    pub fn new(context: Arc<Context>) -> Self {
        let settings = context.settings();
        let quota = Quota::new(settings.memory_limit_bytes / RESPONSE_MEMORY_DIVISOR);
        Self {
            links: Links::new(Arc::clone(&context)),
            context,
            slot_queue: Arc::default(),
            orders: Orders::default(),
            endpoint: Endpoint::new(settings.endpoint, quota),
            own_target: Mutex::new(OwnTarget {
                current_target: CurrentTarget::default(),
                last_heard: Instant::now(),
            }),
            cold_gate: Arc::new(ColdGate::new(Instant::now())),
            pauses: Mutex::new(Pauses::new(Instant::now())),
            is_confirming: AtomicBool::new(false),
            sessions: Sessions::default(),
        }
    }

    /// Accepts connections of other nodes until the process ends.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn run(self: Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.context.settings().peer_address).await?;
        let checked = Arc::clone(&self);
        crate::runtime::spawn(async move { checked.run_checks().await });
        let following = Arc::clone(&self);
        crate::runtime::spawn(async move { following.follow_zone().await });
        let mut incoming = listener.incoming();
        while let Some(accepted) = incoming.next().await {
            let server = Arc::clone(&self);
            match accepted {
                Ok(tcp) => crate::runtime::spawn(async move {
                    if let Err(error) = server.serve_connection(tcp).await {
                        log::debug!("peer connection: {error}");
                    }
                }),
                Err(error) => log::warn!("accepting a peer connection failed: {error}"),
            }
        }
        Ok(())
    }

    /// The number of requests that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.slot_queue.in_flight()
    }

    /// The number of requests that are queued or running, and the number of slots.
    pub fn load(&self) -> (u16, u16) {
        self.slot_queue.load()
    }

    /// Tells connected nodes that this one accepts no new requests.
    pub fn announce_leaving(&self) {
        self.sessions.broadcast(&Frame::Leaving);
    }

    /// Waits for a slot; if the future is dropped before, the request does not run.
    ///
    /// # Errors
    ///
    /// The request is not run, and never will be.
    pub async fn admit(&self, open: &Open) -> Result<Admitted, Rejection> {
        let refused = |reason, retry_after| Rejection::refused(open, reason, retry_after);
        let now = Instant::now();
        let deadline = now + Duration::from_millis(u64::from(open.remaining_ms));
        self.target_for(open)
            .map_err(|reason| refused(reason, Duration::ZERO))?;
        let after_ms = |ms: u32| now + Duration::from_millis(u64::from(ms));
        let deadlines = QueueDeadlines {
            wanted: after_ms(open.wanted_ms),
            latest: after_ms(open.latest_ms),
        };
        let (permit, new_run) = self.acquire_slot(open, deadlines).await?;
        let hand_over = self.pass_cold_gate(open, deadlines).await;
        let hand_over = hand_over.map_err(|(reason, wait)| refused(reason, wait))?;
        // The target may have left while the request waited.
        let target = self
            .target_for(open)
            .map_err(|reason| refused(reason, Duration::ZERO))?;
        Ok(Admitted {
            permit,
            target,
            hand_over,
            deadline,
            new_run,
        })
    }

    /// Waits for a slot, in the order that the configuration calls for.
    async fn acquire_slot(
        &self,
        open: &Open,
        deadlines: QueueDeadlines,
    ) -> Result<(Permit, Option<NewRun>), Rejection> {
        let view = self.context.view();
        let table = view.table.as_ref();
        if let Some(table) = table.filter(|table| order::is_active(table)) {
            return self.acquire_in_order(open, table, deadlines).await;
        }
        let permit = self.slot_queue.acquire_ranked(open.rank, deadlines).await;
        let permit = permit.map_err(|reason| {
            let (load, slots) = self.slot_queue.load();
            let backlog = self.slot_queue.backlog();
            log::info!(
                id = request_id(open),
                load,
                slots,
                wanted_ms = open.wanted_ms,
                backlog_ms = backlog.as_millis() as u64;
                "refused, no slot in time"
            );
            Rejection::refused(open, reason, backlog)
        })?;
        Ok((permit, None))
    }

    /// Forwards an admitted request to the target, and reads its whole response.
    ///
    /// # Errors
    ///
    /// There is no response.
    pub async fn execute(
        &self,
        admitted: Admitted,
        open: &Open,
        body: &[u8],
    ) -> Result<WholeResponse, Rejection> {
        let Admitted {
            permit,
            target,
            mut hand_over,
            deadline,
            new_run,
        } = admitted;
        if let Some(hand_over) = &mut hand_over {
            hand_over.send();
        }
        let started = Instant::now();
        let result = self.endpoint.call(open, body, &target.id, deadline).await;
        let latency = started.elapsed();
        if let (Some(run), Ok(response)) = (&new_run, &result) {
            self.record_run(run, started, response.status);
        }
        match result {
            Ok(response) => {
                let cold = hand_over.and_then(|hand_over| hand_over.answer(&response));
                let mut response = self.complete(open.sequence, response, latency, permit);
                response.head.headers.extend(cold);
                Ok(response)
            }
            Err(error) => {
                drop(permit);
                if let Some(hand_over) = hand_over
                    && matches!(error, endpoint::Error::Unreachable { .. })
                {
                    hand_over.cancel();
                }
                log::info!(
                    id = request_id(open),
                    target = target.id.as_str(),
                    took_ms = latency.as_millis() as u64;
                    "no answer: {error}"
                );
                Err(match error {
                    endpoint::Error::Unreachable { .. } => {
                        Rejection::refused(open, Refusal::Unreachable, Duration::ZERO)
                    }
                    endpoint::Error::Lost(_) => Rejection::Failed(Failure::TargetLost),
                    endpoint::Error::Deadline { .. } => Rejection::Failed(Failure::Deadline),
                })
            }
        }
    }

    /// Releases the slot, and turns the response into the form in which it is sent and kept.
    fn complete(
        &self,
        sequence: u64,
        response: Response,
        latency: Duration,
        permit: Permit,
    ) -> WholeResponse {
        drop(permit);
        let (in_flight, slots) = self.slot_queue.load();
        let reported = request::load(&response.headers);
        let reported = reported.map_or(0, |load| load.running.saturating_add(load.waiting));
        let headers = response.headers.into_iter();
        let headers = headers
            .filter(|header| !request::is_hop_by_hop(&header.name))
            .map(|header| Header {
                name: header.name,
                value: header.value,
            });
        let head = Head {
            sequence,
            status: response.status,
            headers: headers.collect(),
            length: Some(response.body.len() as u64),
            target_micros: u32::try_from(latency.as_micros()).unwrap_or(u32::MAX),
            in_flight: self.load_with_link(in_flight.max(reported), slots),
            slots,
        };
        let body = response.body;
        WholeResponse { head, body }
    }

    /// The own target if it may run a request, or why it may not.
    fn target_for(&self, open: &Open) -> Result<Announcement, Refusal> {
        if self.context.is_stopping() {
            return Err(Refusal::Leaving);
        }
        self.check_place(open)?;
        let own = self.own_target.lock().expect("own target lock");
        match own.current_target.get() {
            Some(target) if target.service != open.service || target.version != open.version => {
                Err(Refusal::NoTarget)
            }
            Some(target) if target.leaving => Err(Refusal::Leaving),
            Some(target) => Ok(target.clone()),
            None => Err(Refusal::NoTarget),
        }
    }

    /// Withdraws a silent target, forgets idle sessions and closes unusable connections, until the
    /// process ends.
    async fn run_checks(&self) {
        let started = Instant::now();
        let mut last_check = started;
        loop {
            Timer::after(CHECK_INTERVAL).await;
            self.pauses
                .lock()
                .expect("pauses lock")
                .observe(Instant::now());
            self.withdraw_silent_target(started, &mut last_check);
            self.endpoint.close_unusable();
            self.log_cold_state();
            let (in_flight, slots) = self.slot_queue.load();
            metrics::set_target_load(in_flight, slots);
            self.sessions.remove_idle();
            self.links.update();
        }
    }
}

/// The request id that the caller gave, or an empty string; log lines of all nodes carry it.
pub fn request_id(open: &Open) -> &str {
    open.header(request::REQUEST_ID).unwrap_or_default()
}

/// The route of a request by this node's own configuration.
fn route_of<'a>(table: &'a Table, open: &Open) -> Option<&'a Arc<Entry>> {
    let host = open.header("host").unwrap_or_default();
    table.find_route(host, &open.path)
}
