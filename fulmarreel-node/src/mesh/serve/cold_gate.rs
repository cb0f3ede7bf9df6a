//! The gate that each request passes right before it is handed over to the own target. It limits the
//! requests that the target gets while it is cold.

use super::{Server, request_id};
use crate::telemetry::metrics::{self, RefusalCause};
use fulmarreel_balance::{
    admission::QueueDeadlines,
    cold::{End, Limiter, Limits, State},
};
use fulmarreel_http::Response;
use fulmarreel_platform::request;
use fulmarreel_wire::call::{Header, Open, Refusal};
use smol::Timer;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// The header by which a target's node tells the sender of a request how long the target stays cold, in
/// milliseconds. It goes no further than the sender.
pub const COLD_MS: &str = "x-fulmarreel-cold-ms";

/// The shortest time between two attempts of a waiting request to pass.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The longest time between two attempts; the target may become warm meanwhile.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The gate before the own target.
#[derive(Debug)]
pub(super) struct ColdGate {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    limiter: Limiter,
    state: State,
    /// The requests that wait to pass, the first one first.
    waiting: VecDeque<u64>,
    next_ticket: u64,
    /// Whether requests were handed over that the limiter does not know of.
    is_incomplete: bool,
    /// Whether the target was cold when that was last logged.
    was_cold: bool,
}

/// A request that waits to pass; leaves the queue when dropped.
#[derive(Debug)]
struct Ticket<'a> {
    gate: &'a ColdGate,
    number: u64,
}

/// A request that has passed the gate. Its end is recorded when this is dropped.
#[derive(Debug)]
pub(super) struct HandOver {
    gate: Arc<ColdGate>,
    limits: Limits,
    began: Instant,
    end: End,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut inner = self.gate.lock();
        inner.waiting.retain(|number| *number != self.number);
    }
}

impl Drop for HandOver {
    fn drop(&mut self) {
        let mut inner = self.gate.lock();
        let now = Instant::now();
        inner.limiter.end(&self.limits, self.end, self.began, now);
    }
}

impl HandOver {
    fn new(gate: &Arc<ColdGate>, limits: Limits, began: Instant) -> Self {
        Self {
            gate: Arc::clone(gate),
            limits,
            began,
            end: End::NotCounted,
        }
    }

    /// Records that the request is about to be sent.
    pub fn send(&mut self) {
        self.end = End::Unanswered;
    }

    /// Records that nothing was sent.
    pub fn cancel(mut self) {
        self.end = End::NotCounted;
    }

    /// Records the target's answer, and returns the header that tells the request's sender of the target's
    /// state.
    pub fn answer(mut self, response: &Response) -> Option<Header> {
        self.end = if request::is_misdirected(response.status) {
            End::NotCounted
        } else {
            End::Answered
        };
        let now = Instant::now();
        let mut inner = self.gate.lock();
        if let Some(remaining) = request::cold_remaining(&response.headers) {
            inner.state.lengthen(remaining, now);
        }
        let remaining = inner.state.remaining(now);
        (!remaining.is_zero()).then(|| Header {
            name: COLD_MS.to_owned(),
            value: remaining.as_millis().to_string().into_bytes(),
        })
    }
}

impl ColdGate {
    /// Creates the gate of a process that has just started.
    pub fn new(now: Instant) -> Self {
        Self {
            inner: Mutex::new(Inner {
                limiter: Limiter::new(now),
                state: State::new(Duration::ZERO, now),
                waiting: VecDeque::new(),
                next_ticket: 0,
                is_incomplete: false,
                was_cold: false,
            }),
        }
    }

    /// Records how long the target stays cold, as it has announced.
    pub fn set_remaining(&self, remaining: Duration) {
        self.lock().state = State::new(remaining, Instant::now());
    }

    /// Waits until a request may be handed over. On arrival, the request has to be expected to pass by its
    /// wanted time; while it waits, by its latest time.
    ///
    /// # Errors
    ///
    /// It cannot be expected to pass in time; the time after which another attempt may pass.
    async fn pass(
        self: &Arc<Self>,
        limits: Limits,
        deadlines: QueueDeadlines,
    ) -> Result<HandOver, Duration> {
        let mut ticket: Option<Ticket<'_>> = None;
        loop {
            let now = Instant::now();
            let number = ticket.as_ref().map(|ticket| ticket.number);
            let Err(wait) = self.lock().try_begin(&limits, number, now) else {
                return Ok(HandOver::new(self, limits, now));
            };
            let until = match ticket {
                None => deadlines.wanted,
                Some(_) => deadlines.latest,
            };
            if now + wait > until {
                return Err(wait);
            }
            ticket.get_or_insert_with(|| self.join());
            Timer::after(wait.clamp(MIN_RETRY_INTERVAL, MAX_RETRY_INTERVAL)).await;
        }
    }

    /// Records a request that is not to be delayed.
    fn begin(self: &Arc<Self>, limits: Limits) -> HandOver {
        let now = Instant::now();
        self.lock().limiter.begin(&limits, now);
        HandOver::new(self, limits, now)
    }

    fn join(&self) -> Ticket<'_> {
        let mut inner = self.lock();
        let number = inner.next_ticket;
        inner.next_ticket += 1;
        inner.waiting.push_back(number);
        Ticket { gate: self, number }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("cold gate lock")
    }
}

impl Inner {
    /// Begins a hand-over, or returns the expected wait of the request with that ticket, or of one that
    /// has none.
    fn try_begin(
        &mut self,
        limits: &Limits,
        ticket: Option<u64>,
        now: Instant,
    ) -> Result<(), Duration> {
        if std::mem::take(&mut self.is_incomplete) {
            self.limiter = Limiter::new(now);
        }
        if self.state.remaining(now).is_zero() {
            self.limiter.begin(limits, now);
            return Ok(());
        }
        let position = self.waiting.iter().position(|known| Some(*known) == ticket);
        match position.unwrap_or(self.waiting.len()) {
            0 => self.limiter.try_begin(limits, now),
            ahead => {
                let wait = self.limiter.wait(limits, ahead, now);
                Err(wait.max(MIN_RETRY_INTERVAL))
            }
        }
    }
}

impl Server {
    /// Waits until a request may be handed over to the target; `None` if the target is not limited.
    ///
    /// # Errors
    ///
    /// The request is not run, because the target is cold and gets others first.
    pub(super) async fn pass_cold_gate(
        &self,
        open: &Open,
        deadlines: QueueDeadlines,
    ) -> Result<Option<HandOver>, (Refusal, Duration)> {
        let Some(limits) = self.cold_limits(&open.service) else {
            self.cold_gate.lock().is_incomplete = true;
            return Ok(None);
        };
        match self.cold_gate.pass(limits, deadlines).await {
            Ok(hand_over) => Ok(Some(hand_over)),
            Err(wait) => {
                metrics::request_refused(&open.service, RefusalCause::Cold);
                let wait_ms = wait.as_millis() as u64;
                log::info!(id = request_id(open), wait_ms; "refused, the target is cold");
                Err((Refusal::Overloaded, wait))
            }
        }
    }

    /// Records a health check of the own target, which counts as a request.
    pub(super) fn begin_health_check(&self) -> Option<HandOver> {
        let limits = self.cold_limits(&self.context.settings().service)?;
        let mut hand_over = self.cold_gate.begin(limits);
        hand_over.send();
        Some(hand_over)
    }

    /// Logs if the own target has become cold or warm.
    pub(super) fn log_cold_state(&self) {
        let (settings, target) = (self.context.settings(), self.target());
        let Some(target) = target.filter(|_| self.cold_limits(&settings.service).is_some()) else {
            return;
        };
        let mut inner = self.cold_gate.lock();
        let remaining = inner.state.remaining(Instant::now());
        let is_cold = !remaining.is_zero();
        if std::mem::replace(&mut inner.was_cold, is_cold) != is_cold {
            let id = target.id.as_str();
            let remaining_ms = remaining.as_millis() as u64;
            log::info!(target = id, cold = is_cold, remaining_ms; "own target");
        }
    }

    /// The limits of the requests to a cold target of a service, if it has any.
    fn cold_limits(&self, service: &str) -> Option<Limits> {
        let view = self.context.view();
        let per_s = *view.table.as_ref()?.cold_limits_per_s.get(service)?;
        let settings = self.context.settings();
        Some(Limits {
            per_s,
            excess: settings.cold_excess,
            slack: settings.cold_slack,
        })
    }
}
