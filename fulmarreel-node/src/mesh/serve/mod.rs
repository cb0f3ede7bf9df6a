//! The node in front of its target: requests of this and of other nodes, admitted to its slots.

mod peer;

use super::{
    context::Context,
    endpoint::{self, Endpoint},
    keys,
};
use crate::{
    serve::{
        gate::{Gate, Permit},
        session::{Kept, Sessions},
    },
    state::unix_millis,
    telemetry::metrics,
};
use fulmarreel_balance::admission::QueueDeadlines;
use fulmarreel_http::{Quota, Response};
use fulmarreel_membership::{Announcement, announcement::Register};
use fulmarreel_platform::request;
use fulmarreel_wire::call::{Failure, Frame, Head, Header, Open, Refusal};
use smol::{Timer, net::TcpListener, stream::StreamExt};
use std::{
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Announcement intervals after which a silent target is withdrawn.
const SILENT_INTERVALS: u32 = 5;

/// How often a silent target, idle sessions and unusable connections are looked for.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The target's answers may hold one part in so many of the process's memory while they are read.
const ANSWERS_PART: usize = 4;

/// The node in front of its target.
#[derive(Debug)]
pub struct Server {
    context: Arc<Context>,
    gate: Arc<Gate>,
    endpoint: Endpoint,
    register: Mutex<Own>,
    sessions: Sessions,
}

/// The own target and when it was last heard.
#[derive(Debug)]
struct Own {
    register: Register,
    heard: Instant,
}

/// Why a request has no answer.
#[derive(Debug)]
pub enum Rejection {
    /// It was not run, and never will be.
    Refused {
        /// Why.
        reason: Refusal,
        /// When it may be worth asking again.
        retry_after: Duration,
    },
    /// It was handed over, and its answer cannot be had.
    Failed(Failure),
}

/// A request that has a slot of the own target.
#[derive(Debug)]
pub struct Admitted {
    permit: Permit,
    target: Announcement,
    /// When its caller no longer waits.
    deadline: Instant,
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
    /// A server of requests to the own target.
    pub fn new(context: Arc<Context>) -> Self {
        let settings = context.settings();
        let quota = Quota::new(settings.memory / ANSWERS_PART);
        Self {
            context,
            gate: Arc::default(),
            endpoint: Endpoint::new(settings.endpoint, quota),
            register: Mutex::new(Own {
                register: Register::default(),
                heard: Instant::now(),
            }),
            sessions: Sessions::default(),
        }
    }

    /// Accepts peers until the process ends.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn run(self: Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.context.settings().peers).await?;
        let checking = Arc::clone(&self);
        crate::runtime::spawn(async move { checking.check().await });
        let mut incoming = listener.incoming();
        while let Some(accepted) = incoming.next().await {
            let server = Arc::clone(&self);
            match accepted {
                Ok(tcp) => crate::runtime::spawn(async move {
                    if let Err(error) = server.connection(tcp).await {
                        log::debug!("peer connection: {error}");
                    }
                }),
                Err(error) => log::warn!("accept: {error}"),
            }
        }
        Ok(())
    }

    /// Requests that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.gate.in_flight()
    }

    /// Requests in slots and waiting, and slots.
    pub fn load(&self) -> (u16, u16) {
        self.gate.load()
    }

    /// The own target.
    pub fn target(&self) -> Option<Announcement> {
        let own = self.register.lock().expect("register lock");
        own.register.current().cloned()
    }

    /// Takes in what the own target says; whether it is another target than before.
    pub fn announce(&self, announcement: Announcement) -> bool {
        let before = self.target();
        let slots = announcement.slots;
        {
            let mut own = self.register.lock().expect("register lock");
            own.heard = Instant::now();
            if !own.register.announce(announcement) {
                return false;
            }
        }
        self.gate.resize(slots);
        self.target_changed(before.as_ref())
    }

    /// Takes up the target that a former process of this node knew, where that says that it takes
    /// requests, until it announces itself.
    pub async fn resume(&self, known: keys::Target, health_path: &str) {
        let well = self.endpoint.takes_requests(health_path, &known.id).await;
        match well {
            Ok(true) if self.target().is_none() => {
                let settings = self.context.settings();
                self.announce(Announcement {
                    id: known.id,
                    // Whatever the target itself says comes later.
                    born: 0,
                    sequence: 0,
                    endpoint: settings.endpoint,
                    service: known.service,
                    version: known.version,
                    zone: settings.zone.clone(),
                    slots: known.slots,
                    leaving: false,
                    cold: Duration::ZERO,
                });
            }
            Ok(_) => {}
            Err(error) => log::info!(target = known.id.as_str(); "not resumed: {error}"),
        }
    }

    /// Takes in that a target ends.
    pub fn end(&self, id: &str) {
        let before = self.target();
        let ended = {
            let mut own = self.register.lock().expect("register lock");
            own.register.end(id, unix_millis())
        };
        if ended {
            self.target_changed(before.as_ref());
        }
    }

    /// Tells peers that no new requests are taken, and takes none.
    pub fn leave(&self) {
        self.sessions.broadcast(&Frame::Leaving);
    }

    /// Waits for a slot; a request that is dropped while it waits does not run.
    ///
    /// # Errors
    ///
    /// It is not run, and never will be.
    pub async fn admit(&self, open: &Open) -> Result<Admitted, Rejection> {
        let refused = |reason, retry_after| Rejection::refused(open, reason, retry_after);
        let now = Instant::now();
        let deadline = now + Duration::from_millis(u64::from(open.remaining_ms));
        self.target_for(open)
            .map_err(|reason| refused(reason, Duration::ZERO))?;
        let within = |ms: u32| now + Duration::from_millis(u64::from(ms));
        let deadlines = QueueDeadlines {
            wanted: within(open.wanted_ms),
            latest: within(open.latest_ms),
        };
        let permit = self.gate.enter_ranked(open.rank, deadlines).await;
        let permit = permit.map_err(|reason| {
            let (load, slots) = self.gate.load();
            let backlog = self.gate.backlog();
            log::info!(
                id = request_id(open),
                load,
                slots,
                wanted_ms = open.wanted_ms,
                backlog_ms = backlog.as_millis() as u64;
                "refused, no slot in time"
            );
            refused(reason, backlog)
        })?;
        // The target may have left while the request waited.
        let target = self
            .target_for(open)
            .map_err(|reason| refused(reason, Duration::ZERO))?;
        Ok(Admitted {
            permit,
            target,
            deadline,
        })
    }

    /// Hands an admitted request over to the target, and reads its whole answer.
    ///
    /// # Errors
    ///
    /// There is no answer.
    pub async fn execute(
        &self,
        admitted: Admitted,
        open: &Open,
        body: &[u8],
    ) -> Result<Kept, Rejection> {
        let Admitted {
            permit,
            target,
            deadline,
        } = admitted;
        let started = Instant::now();
        let called = self.endpoint.call(open, body, &target.id, deadline).await;
        let took = started.elapsed();
        match called {
            Ok(response) => Ok(self.keep(open.sequence, response, took, permit)),
            Err(error) => {
                drop(permit);
                log::info!(
                    id = request_id(open),
                    target = target.id.as_str(),
                    took_ms = took.as_millis() as u64;
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

    fn keep(&self, sequence: u64, response: Response, took: Duration, permit: Permit) -> Kept {
        drop(permit);
        let (in_flight, slots) = self.gate.load();
        let told = request::load(&response.headers);
        let told = told.map_or(0, |load| load.running.saturating_add(load.waiting));
        let headers = response.headers.into_iter();
        let headers = headers
            .filter(|header| !request::is_hop(&header.name))
            .map(|header| Header {
                name: header.name,
                value: header.value,
            });
        let head = Head {
            sequence,
            status: response.status,
            headers: headers.collect(),
            length: Some(response.body.len() as u64),
            target_micros: u32::try_from(took.as_micros()).unwrap_or(u32::MAX),
            in_flight: in_flight.max(told),
            slots,
        };
        let body = response.body;
        Kept { head, body }
    }

    /// The target that may run a request, or why there is none.
    fn target_for(&self, open: &Open) -> Result<Announcement, Refusal> {
        if self.context.is_stopping() {
            return Err(Refusal::Leaving);
        }
        let own = self.register.lock().expect("register lock");
        match own.register.current() {
            Some(target) if target.service != open.service || target.version != open.version => {
                Err(Refusal::NoTarget)
            }
            Some(target) if target.leaving => Err(Refusal::Leaving),
            Some(target) => Ok(target.clone()),
            None => Err(Refusal::NoTarget),
        }
    }

    /// Follows a change of the own target; whether it is another one than before.
    fn target_changed(&self, before: Option<&Announcement>) -> bool {
        let now = self.target();
        let takes = |target: Option<&Announcement>| target.is_some_and(|target| !target.leaving);
        let (was, is) = (takes(before), takes(now.as_ref()));
        let id =
            |target: Option<&Announcement>| target.map(|target| (target.id.clone(), target.born));
        let changed = id(before) != id(now.as_ref());
        if was != is || changed {
            let name = now
                .as_ref()
                .or(before)
                .map_or("", |target| target.id.as_str());
            log::info!(target = name, takes_requests = is; "own target");
        }
        if changed {
            self.endpoint.close_idle();
        }
        if was != is {
            self.sessions.broadcast(if is {
                &Frame::Accepting
            } else {
                &Frame::Leaving
            });
        }
        changed
    }

    /// Withdraws a silent target, forgets idle sessions and closes unusable connections, until the
    /// process ends.
    async fn check(&self) {
        let mut last = Instant::now();
        loop {
            Timer::after(CHECK_INTERVAL).await;
            let limit = self.context.settings().announcement_interval * SILENT_INTERVALS;
            let before = self.target();
            let paused = last.elapsed() > CHECK_INTERVAL * 2;
            last = Instant::now();
            let silent = {
                let mut own = self.register.lock().expect("register lock");
                if paused {
                    own.heard = last;
                }
                let silent = before.is_some() && own.heard.elapsed() > limit;
                if silent {
                    own.register.withdraw();
                }
                silent
            };
            if silent {
                self.target_changed(before.as_ref());
            }
            self.endpoint.close_unusable();
            let (in_flight, slots) = self.gate.load();
            metrics::slots(in_flight, slots);
            self.sessions.forget_idle();
        }
    }

    fn takes_requests(&self) -> bool {
        let target = self.target();
        !self.context.is_stopping() && target.is_some_and(|target| !target.leaving)
    }
}

/// The caller's id of a request, by which the lines of all nodes join.
pub fn request_id(open: &Open) -> &str {
    let mut headers = open.headers.iter();
    let header = headers.find(|header| header.name.eq_ignore_ascii_case(request::ID));
    header.map_or("", |header| {
        std::str::from_utf8(&header.value).unwrap_or("")
    })
}
