//! Request quotas of client accounts over all nodes.
//!
//! [`Quotas`] admits this node's requests. It reports their demand to the coordinator and applies the
//! grants in its answers ([`driver`]). The coordinator is the node that holds a leased key of the store ([`claim`]).
//! The decisions are those of [`fulmarreel_quota`]. Where the configuration limits no account, no message
//! is sent and the store is not called.

pub mod claim;
mod deputies;
pub mod driver;
mod duty;
mod limits;
mod permit;

pub use permit::Permit;

use super::{boot_clock, context::Context, keys::Owner};
use crate::telemetry::metrics;
use deputies::Deputies;
use duty::Duty;
use fulmarreel_quota::{
    Limit, Member, Time,
    member::{Decision, Take, Token},
};
use fulmarreel_route::Account;
use limits::Limits;
use smol::channel::{Receiver, Sender, bounded};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// The key of the coordinator in the store.
const COORDINATOR_KEY: &str = "fulmarreel/quota/coordinator";

/// How long an announcement of a coordinator counts while this node's copy of the store lacks its key.
const ANNOUNCED_FOR: Duration = Duration::from_secs(5);

/// The refusal of a request whose account is over its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverQuota {
    /// When the caller should try again.
    pub retry_after: Duration,
}

/// The quotas of client accounts at this node.
#[derive(Debug)]
pub struct Quotas {
    context: Arc<Context>,
    limits: Limits,
    deputies: Deputies,
    requests: Mutex<Requests>,
    duty: Duty,
    known: Mutex<Known>,
    /// Signals that the driver may have something to do earlier than it expects.
    driver_signal: (Sender<()>, Receiver<()>),
}

/// What this node's requests may spend, and those that wait.
#[derive(Debug)]
struct Requests {
    member: Member<u64>,
    waiting: HashMap<u64, Sender<Result<Permit, OverQuota>>>,
    next_id: u64,
}

/// What became of a request.
enum Taken {
    Now(Result<Permit, OverQuota>),
    /// The decision follows.
    Later {
        id: u64,
        decision: Receiver<Result<Permit, OverQuota>>,
    },
}

/// A coordinator that this node knows of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Term {
    /// The store revision that created its key.
    revision: u64,
    address: SocketAddr,
}

/// What this node knows of the coordinators.
#[derive(Debug, Default)]
struct Known {
    /// The latest one in the store's copy.
    stored: Option<Term>,
    /// The latest one that has announced itself, and when.
    announced: Option<(Term, Time)>,
    /// The one that the last report was sent to.
    reported_to: Option<Term>,
    /// How many more introductions may be sent to that one.
    introductions: u8,
}

impl Quotas {
    /// The quotas at the start of the process, which holds no grant.
    pub fn new(context: Arc<Context>) -> Arc<Self> {
        let requests = Requests {
            member: Member::new(context.started_at_ms),
            waiting: HashMap::new(),
            next_id: 0,
        };
        Arc::new(Self {
            context,
            limits: Limits::default(),
            deputies: Deputies::default(),
            requests: Mutex::new(requests),
            duty: Duty::default(),
            known: Mutex::default(),
            driver_signal: bounded(1),
        })
    }

    /// Admits a request of an account, which may wait for at most `max_wait`; `None` if the account has
    /// no limit.
    ///
    /// # Errors
    ///
    /// The account is over its quota.
    pub async fn admit(
        self: &Arc<Self>,
        account: &Account,
        max_wait: Duration,
    ) -> Result<Option<Permit>, OverQuota> {
        let (hash, Some(limit)) = self.limits.of_account(&self.context, account) else {
            return Ok(None);
        };
        let until = boot_clock::since_start() + max_wait;
        let result = match self.take(hash, limit, until) {
            Taken::Now(result) => result,
            Taken::Later { id, decision } => {
                self.wake_driver();
                self.wait(hash, id, decision).await
            }
        };
        metrics::quota_decided(result.is_ok());
        result.map(Some)
    }

    /// Takes a token, or queues a request that may wait for one until `until`.
    fn take(self: &Arc<Self>, account: u64, limit: Limit, until: Time) -> Taken {
        let mut requests = self.requests();
        let id = requests.next_id;
        requests.next_id += 1;
        match requests
            .member
            .take(account, limit, id, until, boot_clock::since_start())
        {
            Take::Token(token) => Taken::Now(Ok(Permit::new(Arc::clone(self), token))),
            Take::Refused { retry_after } => Taken::Now(Err(OverQuota { retry_after })),
            Take::Wait => {
                let (sender, decision) = bounded(1);
                requests.waiting.insert(id, sender);
                Taken::Later { id, decision }
            }
        }
    }

    /// Waits for the decision on a request.
    async fn wait(
        self: &Arc<Self>,
        account: u64,
        id: u64,
        decision: Receiver<Result<Permit, OverQuota>>,
    ) -> Result<Permit, OverQuota> {
        let _abandon = Abandon {
            quotas: self,
            account,
            id,
        };
        // The sender is kept until it has sent the decision.
        decision.recv().await.unwrap_or(Err(OverQuota {
            retry_after: Duration::ZERO,
        }))
    }

    /// Decides on waiting requests.
    fn settle(self: &Arc<Self>) {
        self.settle_after(|member| member.decide(boot_clock::since_start()));
    }

    /// Changes the member's state, and tells waiting requests what was decided on them.
    fn settle_after(self: &Arc<Self>, change: impl FnOnce(&mut Member<u64>) -> Vec<Decision<u64>>) {
        let mut requests = self.requests();
        let decisions = change(&mut requests.member);
        let with_senders: Vec<_> = decisions
            .into_iter()
            .map(|decision| (requests.waiting.remove(&decision.id), decision))
            .collect();
        // A permit that cannot be sent gives its token back, which takes the lock.
        drop(requests);
        for (sender, Decision { result, .. }) in with_senders {
            let result = match result {
                Ok(token) => Ok(Permit::new(Arc::clone(self), token)),
                Err(retry_after) => Err(OverQuota { retry_after }),
            };
            if let Some(sender) = sender {
                // Fails if the caller has left; the result is dropped then.
                let _ = sender.try_send(result);
            }
        }
    }

    /// The coordinator: the holder of the key in the store's copy, or a later one that has announced
    /// itself.
    fn coordinator(&self) -> Option<Term> {
        let stored = self.stored_coordinator();
        let mut known = self.known.lock().expect("coordinators lock");
        let last_revision = known.stored.map_or(0, |term| term.revision);
        if stored.is_some() {
            known.stored = stored;
        }
        let announced = known.announced.filter(|(term, at)| {
            term.revision > last_revision && boot_clock::since_start() < *at + ANNOUNCED_FOR
        });
        announced.map(|(term, _)| term).or(stored)
    }

    fn stored_coordinator(&self) -> Option<Term> {
        self.context.read(|mirror| {
            let item = mirror.get(COORDINATOR_KEY)?;
            let owner: Owner = serde_json::from_slice(&item.value).ok()?;
            Some(Term {
                revision: item.revision,
                address: owner.address,
            })
        })
    }

    /// The revision of the latest coordinator that this node has known of; 0 if it knew of none.
    fn latest_term(&self) -> u64 {
        let known = self.known.lock().expect("coordinators lock");
        let announced = known.announced.map(|(term, _)| term);
        let terms = [known.stored, announced, known.reported_to];
        let revisions = terms.into_iter().flatten().map(|term| term.revision);
        revisions.max().unwrap_or(0)
    }

    fn give_back(&self, token: &Token) {
        let mut requests = self.requests();
        requests.member.give_back(token, boot_clock::since_start());
    }

    fn requests(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().expect("quota requests lock")
    }
}

/// Removes a waiting request when its caller leaves.
struct Abandon<'a> {
    quotas: &'a Quotas,
    account: u64,
    id: u64,
}

impl Drop for Abandon<'_> {
    fn drop(&mut self) {
        let mut requests = self.quotas.requests();
        if requests.waiting.remove(&self.id).is_some() {
            requests.member.abandon(self.account, self.id);
        }
    }
}
