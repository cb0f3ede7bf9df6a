//! Both directions of this machine's link, and the sizes of bodies that are expected to cross it.
//!
//! Where the link is narrow and the configuration has routes with large bodies, a request whose body
//! could not cross in time is refused at once, as not run. Large bodies that are accepted wait for their
//! turn, so that few are under way at a time.

use super::context::Context;
use crate::telemetry::metrics;
use fulmarreel_balance::{
    link::{Body, Link},
    transfers::Transfers,
};
use fulmarreel_route::Route;
use fulmarreel_wire::call::Frame;
use smol::{Timer, channel::Sender};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// The bandwidth below which a link counts as a capacity: 100 Mbit/s.
const NARROW_BYTES_PER_S: f64 = 12_500_000.0;

/// Large bodies are under way to this machine, or handed to its link, for as many bytes as it carries in
/// this time. Small requests wait that long behind them at most.
const MAX_UNDER_WAY: Duration = Duration::from_millis(100);

/// The expected size of a large body on a route that has had none.
const DEFAULT_BULK_BYTES: f64 = 65_536.0;

/// The expected size of any other body on a route that has had none.
const DEFAULT_BYTES: f64 = 2_048.0;

/// The weight of the newest response in the mean size of a route's responses.
const SIZE_WEIGHT: f64 = 0.1;

/// A direction of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From other machines.
    Incoming,
    /// To other machines.
    Outgoing,
}

impl Direction {
    /// The direction's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Incoming => "incoming",
            Self::Outgoing => "outgoing",
        }
    }
}

/// Both directions of this machine's link.
#[derive(Debug)]
pub struct Links {
    context: Arc<Context>,
    incoming: Mutex<Link>,
    outgoing: Mutex<Link>,
    uploads: Mutex<Uploads>,
    /// The mean size of response bodies by route, in bytes.
    response_bytes: Mutex<HashMap<String, f64>>,
    /// Whether calls take turns in writing.
    in_turns: Arc<AtomicBool>,
}

/// A body that is expected to cross the link, until dropped.
#[derive(Debug)]
pub struct Expected {
    links: Arc<Links>,
    direction: Direction,
    bytes: f64,
}

impl Drop for Expected {
    fn drop(&mut self) {
        self.links.direction(self.direction).forget(self.bytes);
    }
}

/// The bodies of requests that arrive from other nodes.
#[derive(Debug)]
struct Uploads {
    transfers: Transfers<u64>,
    next_id: u64,
    /// Announced bodies that wait for their turn, by their number.
    waiting: HashMap<u64, Offer>,
    /// When each body is no longer waited for. Its sender may be frozen or cut off.
    deadlines: HashMap<u64, Instant>,
}

impl Default for Uploads {
    fn default() -> Self {
        Self {
            transfers: Transfers::new(0),
            next_id: 0,
            waiting: HashMap::new(),
            deadlines: HashMap::new(),
        }
    }
}

impl Uploads {
    /// Removes a body, and accepts those whose turn it is now.
    fn remove(&mut self, id: u64) {
        self.waiting.remove(&id);
        self.deadlines.remove(&id);
        for next in self.transfers.remove(id) {
            if let Some(offer) = self.waiting.remove(&next) {
                offer.accept();
            }
        }
    }

    fn remove_overdue(&mut self, now: Instant) {
        let overdue = self.deadlines.iter().filter(|(_, until)| **until <= now);
        let overdue: Vec<u64> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.remove(id);
        }
    }
}

/// A body that another node has announced.
#[derive(Debug)]
pub struct Offer {
    /// Identifies the call on its connection.
    pub sequence: u64,
    /// The length of the body.
    pub bytes: u64,
    /// When its request's caller stops waiting.
    pub deadline: Instant,
    /// Frames to the node.
    pub outgoing: Sender<Frame>,
}

impl Offer {
    /// Tells the node how many bytes of the body it may send; 0 tells it to wait.
    fn send_credit(&self, bytes: u64) {
        let credit = Frame::Credit {
            sequence: self.sequence,
            bytes: u32::try_from(bytes).unwrap_or(u32::MAX),
        };
        // If the queue is full, this is lost. A node that has heard nothing sends the body unasked; one that
        // was told to wait waits until its request's deadline, and the request is not run.
        let _ = self.outgoing.try_send(credit);
    }

    /// Accepts the body.
    pub fn accept(&self) {
        self.send_credit(self.bytes);
    }
}

/// A body that is under way to this machine or waits for its turn, until dropped.
#[derive(Debug)]
pub struct Upload {
    links: Arc<Links>,
    id: u64,
}

impl Drop for Upload {
    fn drop(&mut self) {
        let mut uploads = self.links.uploads.lock().expect("uploads lock");
        uploads.remove(self.id);
    }
}

impl Links {
    /// Creates the links of the settings, with nothing on them.
    pub fn new(context: Arc<Context>) -> Arc<Self> {
        let link = Link::new(context.settings().link_bytes_per_s, Instant::now());
        Arc::new(Self {
            context,
            incoming: Mutex::new(link.clone()),
            outgoing: Mutex::new(link),
            uploads: Mutex::default(),
            response_bytes: Mutex::default(),
            in_turns: Arc::default(),
        })
    }

    /// Accepts an announced body at once if its turn has come, else later; its sender is told to wait.
    pub fn start_upload(self: &Arc<Self>, offer: Offer) -> Upload {
        let limit = self.context.settings().link_bytes_per_s * MAX_UNDER_WAY.as_secs_f64();
        let mut uploads = self.uploads.lock().expect("uploads lock");
        let id = uploads.next_id;
        uploads.next_id += 1;
        uploads.remove_overdue(Instant::now());
        uploads.deadlines.insert(id, offer.deadline);
        uploads.transfers.set_limit(limit as u64);
        if uploads.transfers.add(id, offer.bytes) {
            offer.accept();
        } else {
            offer.send_credit(0);
            uploads.waiting.insert(id, offer);
        }
        let links = Arc::clone(self);
        Upload { links, id }
    }

    /// Waits until at most [`MAX_UNDER_WAY`] is under way to other machines, so that another large body may
    /// be sent.
    pub async fn wait_for_turn(&self) {
        loop {
            let under_way = self
                .direction(Direction::Outgoing)
                .under_way(Instant::now());
            if under_way <= MAX_UNDER_WAY {
                return;
            }
            Timer::after(under_way - MAX_UNDER_WAY).await;
        }
    }

    /// Whether the link's bandwidth is a capacity: it is narrow, and the configuration has routes with
    /// large bodies.
    pub fn are_narrow(&self) -> bool {
        let bytes_per_s = self.context.settings().link_bytes_per_s;
        // A bandwidth of 0 says that there is no limit.
        bytes_per_s > 0.0
            && bytes_per_s < NARROW_BYTES_PER_S
            && self.context.view().has_bulk_routes()
    }

    /// The flag that is set while calls take turns in writing to other nodes.
    pub fn in_turns(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.in_turns)
    }

    /// Takes over changes of the settings and the configuration, and sets the metrics.
    pub fn update(&self) {
        let is_narrow = self.are_narrow();
        self.in_turns.store(is_narrow, Ordering::Relaxed);
        if !is_narrow {
            return;
        }
        let bytes_per_s = self.context.settings().link_bytes_per_s;
        for direction in [Direction::Incoming, Direction::Outgoing] {
            let mut link = self.direction(direction);
            link.set_bandwidth(bytes_per_s);
            metrics::set_link_backlog(direction.name(), link.backlog(Instant::now()));
        }
    }

    /// The expected size of a response on a route.
    pub fn response_bytes(&self, route: &Route) -> f64 {
        let means = self.response_bytes.lock().expect("sizes lock");
        means.get(&route.name).copied().unwrap_or(if route.is_bulk {
            DEFAULT_BULK_BYTES
        } else {
            DEFAULT_BYTES
        })
    }

    /// Records the size of a response's body.
    pub fn record_response(&self, route: &Route, bytes: usize) {
        let bytes = bytes as f64;
        let mut means = self.response_bytes.lock().expect("sizes lock");
        match means.get_mut(&route.name) {
            Some(mean) => *mean += (bytes - *mean) * SIZE_WEIGHT,
            None => _ = means.insert(route.name.clone(), bytes),
        }
    }

    /// Expects a body to cross the link.
    ///
    /// # Errors
    ///
    /// It could not cross in time; its request may come back after the returned time.
    pub fn expect(
        self: &Arc<Self>,
        direction: Direction,
        body: &Body,
    ) -> Result<Expected, Duration> {
        let expected = self.direction(direction).expect(body, Instant::now());
        if expected.is_err() {
            metrics::link_refused(direction.name());
        }
        expected.map(|()| Expected {
            links: Arc::clone(self),
            direction,
            bytes: body.bytes,
        })
    }

    /// Records bytes that are sent to another machine.
    pub fn send(&self, bytes: usize) {
        self.direction(Direction::Outgoing)
            .send(bytes as f64, Instant::now());
    }

    /// The time until everything known has crossed the link.
    pub fn backlog(&self, direction: Direction) -> Duration {
        self.direction(direction).backlog(Instant::now())
    }

    fn direction(&self, direction: Direction) -> MutexGuard<'_, Link> {
        let link = match direction {
            Direction::Incoming => &self.incoming,
            Direction::Outgoing => &self.outgoing,
        };
        link.lock().expect("link lock")
    }
}
