//! Calls from peers, handed over to the node's own target.

mod call;
mod connection;
pub(crate) mod gate;
pub(crate) mod link;
pub(crate) mod open;
pub(crate) mod session;

use crate::{rollout::Moves, state::State, target::Client};
use fulmarreel_membership::Target;
use fulmarreel_wire::call::{Frame, Refusal};
use gate::Gate;
use session::Sessions;
use smol::{Timer, net::TcpListener, stream::StreamExt};
use std::{
    io,
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// How often the own target's announcement is looked at.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Looks at the announcement between two removals of idle sessions.
const PRUNE_ROUNDS: u64 = 600;

/// The node in front of its target, towards peers.
#[derive(Debug)]
pub struct Server {
    state: Arc<State>,
    moves: Arc<Moves>,
    client: Client,
    gate: Arc<Gate>,
    sessions: Sessions,
    target: RwLock<Option<Target>>,
    /// Whether this process is about to end.
    ending: AtomicBool,
}

impl Server {
    /// A server of calls to the target behind `client`.
    pub fn new(state: Arc<State>, client: Client, moves: Arc<Moves>) -> Self {
        Self {
            state,
            moves,
            client,
            gate: Arc::default(),
            sessions: Sessions::default(),
            target: RwLock::default(),
            ending: AtomicBool::new(false),
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
                    if let Err(error) = server.connection(tcp).await {
                        log::debug!("peer connection: {error}");
                    }
                }),
                Err(error) => log::warn!("accept: {error}"),
            }
        }
        Ok(())
    }

    /// Calls that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.gate.in_flight()
    }

    /// Takes over what the target announces, and tells peers when it is leaving.
    async fn watch_target(&self) {
        for round in 0_u64.. {
            self.refresh();
            if round.is_multiple_of(PRUNE_ROUNDS) {
                self.sessions.forget_idle();
            }
            Timer::after(ANNOUNCEMENT_INTERVAL).await;
        }
    }

    /// Tells peers that no new calls are taken, and takes none, until the process ends.
    pub fn leave(&self) {
        self.ending.store(true, Ordering::Release);
        self.sessions.broadcast(&Frame::Leaving);
    }

    /// Takes over what the target announced last.
    fn refresh(&self) {
        let announced = self.state.own_target();
        let was_leaving = self.is_leaving();
        if let Some(target) = &announced {
            self.gate.resize(target.slots);
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
        leaving || self.ending.load(Ordering::Acquire)
    }

    /// Why a call of that service and version is refused, if it is.
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
