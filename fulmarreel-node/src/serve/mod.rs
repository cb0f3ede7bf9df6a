//! Calls from peers, which this node runs on its local target.

mod call;
mod connection;
pub(crate) mod link;
pub(crate) mod open;
pub(crate) mod session;
pub(crate) mod slot_queue;
mod slots;

use crate::{rollout::Rollouts, state::State, target::Client};
use fulmarreel_membership::Target;
use fulmarreel_wire::call::{Frame, Refusal};
use session::Sessions;
use slot_queue::SlotQueue;
use smol::{Timer, net::TcpListener, stream::StreamExt};
use std::{
    io,
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// How often the local target's announcement is checked for changes.
const ANNOUNCEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks of the announcement between two removals of idle sessions.
const CHECKS_PER_PRUNE: u64 = 600;

/// Accepts peers and runs their calls on the local target.
#[derive(Debug)]
pub struct Server {
    state: Arc<State>,
    rollouts: Arc<Rollouts>,
    client: Client,
    slot_queue: Arc<SlotQueue>,
    sessions: Sessions,
    target: RwLock<Option<Target>>,
    /// Whether this process is shutting down.
    shutting_down: AtomicBool,
}

impl Server {
    /// Creates a server that runs calls on the target that `client` connects to.
    pub fn new(state: Arc<State>, client: Client, rollouts: Arc<Rollouts>) -> Self {
        Self {
            state,
            rollouts,
            client,
            slot_queue: Arc::default(),
            sessions: Sessions::default(),
            target: RwLock::default(),
            shutting_down: AtomicBool::new(false),
        }
    }

    /// Accepts peers until the process ends.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn run(self: Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.state.settings.peers).await?;
        let watching = Arc::clone(&self);
        crate::runtime::spawn(async move { watching.watch_target().await });
        let mut incoming = listener.incoming();
        while let Some(accepted) = incoming.next().await {
            let server = Arc::clone(&self);
            match accepted {
                Ok(tcp) => crate::runtime::spawn(async move {
                    if let Err(error) = server.serve_connection(tcp).await {
                        log::debug!("peer connection: {error}");
                    }
                }),
                Err(error) => log::warn!("accept: {error}"),
            }
        }
        Ok(())
    }

    /// The number of calls that run or wait.
    pub fn in_flight(&self) -> usize {
        self.slot_queue.in_flight()
    }

    /// Applies each change of the target's announcement and removes idle sessions, until the
    /// process ends.
    async fn watch_target(&self) {
        for check in 0_u64.. {
            self.apply_announcement();
            if check.is_multiple_of(CHECKS_PER_PRUNE) {
                self.sessions.remove_idle();
            }
            Timer::after(ANNOUNCEMENT_CHECK_INTERVAL).await;
        }
    }

    /// Tells peers that no new calls are accepted, and refuses new calls until the process ends.
    pub fn leave(&self) {
        self.shutting_down.store(true, Ordering::Release);
        self.sessions.broadcast(&Frame::Leaving);
    }

    /// Applies the target's last announcement: its slots, and whether it is leaving, which peers
    /// are told.
    fn apply_announcement(&self) {
        let announced = self.state.own_target();
        let was_leaving = self.is_leaving();
        if let Some(target) = &announced {
            self.slot_queue.resize(target.slots);
        }
        *self.target.write().expect("target lock") = announced;
        let leaving = self.is_leaving();
        if leaving != was_leaving {
            log::info!(leaving; "the own target");
            self.sessions.broadcast(if leaving {
                &Frame::Leaving
            } else {
                &Frame::Accepting
            });
        }
    }

    fn is_leaving(&self) -> bool {
        let target = self.target.read().expect("target lock");
        let leaving = target.as_ref().is_some_and(|target| target.leaving);
        leaving || self.shutting_down.load(Ordering::Acquire)
    }

    /// Why a call to that service and version is refused; `None` if it is accepted.
    fn refusal(&self, service: &str, version: &str) -> Option<Refusal> {
        if self.is_leaving() {
            return Some(Refusal::Leaving);
        }
        let target = self.target.read().expect("target lock");
        match &*target {
            Some(target) if target.service == service && target.version == version => None,
            _ => Some(Refusal::NoTarget),
        }
    }
}
