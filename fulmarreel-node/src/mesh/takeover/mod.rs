//! Moves: the rollout of a service's new version, as ordered by an operator.
//!
//! One node owns each move through a leased key in the store. The owner grants all nodes the share of
//! calls that goes to the new version, and the nodes report how those calls went. The protocol is in
//! [`Member`]; this module connects it to requests ([`Moves`]), to the store ([`owner`]) and to
//! datagrams between nodes ([`messages`]).

mod driver;
mod messages;
mod owner;

pub use driver::run;

use super::view::View;
use crate::telemetry::metrics;
use fulmarreel_platform::order::State;
use fulmarreel_rollout::brief::{
    Call, Counts, End, Member, MoveContext, OutgoingMessage, StoreAction, VersionCounts,
};
use fulmarreel_wire::notice::Notice;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// A request counts as slow if it takes longer than this multiple of its route's typical latency.
const SLOW_RATIO: f64 = 4.0;

/// The same multiple for requests to a cold target.
const COLD_SLOW_RATIO: f64 = 8.0;

/// An unanswered request is overdue after this multiple of its route's typical latency.
const OVERDUE_RATIO: f64 = 3.0;

/// The same multiple for requests to a cold target.
const COLD_OVERDUE_RATIO: f64 = 4.0;

/// How long a target counts as cold after this node first saw it.
const COLD_PERIOD: Duration = Duration::from_millis(4_500);

/// The share of all calls, in permille.
const ALL_PERMILLE: u16 = 1_000;

/// The versions that a request may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionChoice {
    /// Any version: the service has no move, or it has completed one whose new version has no target.
    Any,
    /// Any version but the new one.
    Old {
        /// The new version of the move.
        new: String,
    },
    /// Only the new version.
    New {
        /// The new version of the move.
        new: String,
    },
}

/// A request that is about to be sent to a target.
#[derive(Debug)]
pub struct OutgoingCall<'a> {
    /// The route's name.
    pub route: &'a str,
    /// The route's typical latency, if known.
    pub typical_latency: Option<Duration>,
    /// How long this node has known the target.
    pub target_age: Duration,
}

/// What a target did with a request.
#[derive(Debug, Clone, Copy)]
pub enum TargetOutcome {
    /// It answered after this time.
    Answered(Duration),
    /// It failed the request.
    Failed,
    /// The request was not run.
    NotRun,
}

/// Counts one request to a service with a move in progress; if dropped before [`CallTracker::finish`],
/// the request's outcome counts as unknown.
#[derive(Debug)]
pub struct CallTracker<'a> {
    moves: &'a Moves,
    service: &'a str,
    order: u64,
    /// The number by which [`Member`] knows the call.
    number: u64,
    /// An answer that takes longer counts as slow.
    slow_after: Option<Duration>,
    finished: bool,
}

impl CallTracker<'_> {
    /// Records what the target did with the request.
    pub fn finish(mut self, outcome: TargetOutcome) {
        self.finished = true;
        self.record(match outcome {
            TargetOutcome::Answered(latency) => End::Answered {
                slow: self
                    .slow_after
                    .is_some_and(|slow_after| latency > slow_after),
            },
            TargetOutcome::Failed => End::Failed,
            TargetOutcome::NotRun => End::NotRun,
        });
    }

    fn record(&self, end: End) {
        let mut moves = self.moves.by_service.lock().expect("moves lock");
        let local_move = moves.get_mut(self.service);
        let local_move = local_move.filter(|local_move| local_move.order == self.order);
        if local_move.is_some_and(|local_move| {
            local_move
                .member
                .record_end(self.number, end, Instant::now())
        }) {
            log::warn!(service = self.service, order = self.order; "the new version fails here, it is not used further");
        }
    }
}

impl Drop for CallTracker<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.record(End::Unknown);
        }
    }
}

/// This node's state of each move: those in progress, and those that ended while this process ran and
/// whose order is still the latest.
#[derive(Debug, Default)]
pub struct Moves {
    by_service: Mutex<HashMap<String, LocalMove>>,
}

/// What this node knows of one move beyond what the store holds.
#[derive(Debug)]
struct LocalMove {
    /// The store revision of the order.
    order: u64,
    /// The new version.
    version: String,
    member: Member<SocketAddr>,
    /// The node that sent the latest grant.
    grant_sender: Option<SocketAddr>,
    /// The share that was logged last.
    logged_permille: u16,
    /// Whether the grant had expired when the share was last reported.
    had_expired: bool,
}

impl VersionChoice {
    /// Whether a request may go to a target that runs `version`.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Old { new } => version != new,
            Self::New { new } => version == new,
        }
    }
}

impl OutgoingCall<'_> {
    fn is_cold(&self) -> bool {
        self.target_age <= COLD_PERIOD
    }

    /// The time after which the request is overdue.
    fn overdue_after(&self) -> Option<Duration> {
        let ratio = if self.is_cold() {
            COLD_OVERDUE_RATIO
        } else {
            OVERDUE_RATIO
        };
        self.typical_latency.map(|latency| latency.mul_f64(ratio))
    }

    /// The time after which its answer counts as slow.
    fn slow_after(&self) -> Option<Duration> {
        let ratio = if self.is_cold() {
            COLD_SLOW_RATIO
        } else {
            SLOW_RATIO
        };
        self.typical_latency.map(|latency| latency.mul_f64(ratio))
    }
}

impl LocalMove {
    fn new(order: u64, version: &str, started_at_ms: u64) -> Self {
        Self {
            order,
            version: version.to_owned(),
            member: Member::new(started_at_ms, fastrand::f64(), Instant::now()),
            grant_sender: None,
            logged_permille: 0,
            had_expired: false,
        }
    }

    /// Identifies the latest grant: the store revision by which its sender became the owner, and the
    /// grant's number.
    fn grant_id(&self) -> Option<(u64, u32)> {
        let followed = self.member.agent().received_grant();
        followed.map(|followed| (followed.grant.owner_revision, followed.grant.sequence))
    }

    /// The share of the latest grant, or 0 if there is none.
    fn granted_permille(&self) -> u16 {
        let followed = self.member.agent().received_grant();
        followed.map_or(0, |followed| followed.grant.permille)
    }

    /// Logs the evidence on which the owner raised the share.
    fn log_share_raised(&self, service: &str) {
        let VersionCounts { old, new } = self.member.fleet_counts();
        log::info!(
            service,
            version = self.version.as_str(),
            order = self.order,
            permille = self.granted_permille(),
            calls = new.calls,
            failed = new.failed,
            slow = new.slow,
            open = new.open,
            overdue = new.overdue,
            lost = new.lost,
            old_calls = old.calls,
            old_failed = old.failed,
            old_slow = old.slow,
            old_open = old.open,
            old_overdue = old.overdue;
            "share raised"
        );
    }

    /// Reports in the log and in metrics which share this node uses, and the sender and the age of the
    /// grant behind it.
    fn report_share(&mut self, service: &str, now: Instant) {
        let permille = self.member.agent().permille(now);
        let followed = self.member.agent().received_grant();
        let age = followed.map_or(Duration::ZERO, |followed| now - followed.received_at);
        let owner = followed.map_or(0, |followed| followed.grant.owner_revision);
        let has_expired = followed.is_some_and(|followed| now >= followed.expires_at);
        let (order, version) = (self.order, self.version.as_str());
        let sender = self
            .grant_sender
            .map_or_else(String::new, |node| node.to_string());
        let age_ms = age.as_millis() as u64;
        if has_expired && !self.had_expired && !self.member.agent().is_known_bad() {
            log::warn!(service, version, order, owner, teller = sender.as_str(), age_ms; "the move's owner is taken to be lost");
        }
        if permille != self.logged_permille {
            log::info!(service, version, order, permille, owner, teller = sender.as_str(), age_ms; "share in use");
        }
        self.had_expired = has_expired;
        self.logged_permille = permille;
        metrics::set_share(
            service,
            version,
            f64::from(permille) / f64::from(ALL_PERMILLE),
        );
        metrics::set_share_grant(service, version, age, owner);
    }
}

impl Moves {
    /// Chooses the versions that a request may go to. While a move is in progress, only a request's
    /// first attempt may go to the unproven version.
    pub fn choose(&self, service: &str, view: &View, is_first_attempt: bool) -> VersionChoice {
        let Some(ordered_move) = view.moves.get(service) else {
            return VersionChoice::Any;
        };
        let new = ordered_move.version.clone();
        let runs_new = || view.runs(service, &new);
        let mut moves = self.by_service.lock().expect("moves lock");
        let local_move = moves
            .get_mut(service)
            .filter(|local_move| local_move.order == ordered_move.order);
        match ordered_move.state {
            Some(State::Completed) if runs_new() => return VersionChoice::New { new },
            Some(State::Completed) => return VersionChoice::Any,
            Some(State::RolledBack) => return VersionChoice::Old { new },
            Some(State::Running) | None => {}
        }
        let Some(local_move) = local_move.filter(|_| runs_new()) else {
            return VersionChoice::Old { new };
        };
        let now = Instant::now();
        let goes_to_new = match local_move.member.agent().permille(now) {
            0 => false,
            ALL_PERMILLE.. => true,
            _ => is_first_attempt && local_move.member.assign_to_new(now),
        };
        if goes_to_new {
            VersionChoice::New { new }
        } else {
            VersionChoice::Old { new }
        }
    }

    /// Starts to count a request that is sent to a target; `None` if no move of the service is
    /// tracked or the request may go to any version.
    pub fn track_call<'a>(
        &'a self,
        service: &'a str,
        choice: &VersionChoice,
        call: &OutgoingCall<'_>,
    ) -> Option<CallTracker<'a>> {
        let new = match choice {
            VersionChoice::Any => return None,
            VersionChoice::Old { .. } => false,
            VersionChoice::New { .. } => true,
        };
        let mut moves = self.by_service.lock().expect("moves lock");
        let local_move = moves.get_mut(service)?;
        let number = local_move.member.record_sent(Call {
            route: xxh3_64(call.route.as_bytes()),
            new,
            overdue: call.overdue_after().map(|after| Instant::now() + after),
        });
        Some(CallTracker {
            moves: self,
            service,
            order: local_move.order,
            number,
            slow_after: call.slow_after(),
            finished: false,
        })
    }

    /// Handles another node's notice about a move; returns the reply to send, if any.
    pub fn handle(&self, from: SocketAddr, notice: Notice) -> Option<Notice> {
        let (service, order, message) = messages::from_notice(notice)?;
        let mut moves = self.by_service.lock().expect("moves lock");
        let local_move = moves
            .get_mut(&service)
            .filter(|local_move| local_move.order == order)?;
        let now = Instant::now();
        let was_known_bad = local_move.member.agent().is_known_bad();
        let previous_grant = local_move.grant_id();
        let reply = local_move.member.receive(from, message, now);
        if local_move.member.agent().is_known_bad() && !was_known_bad {
            log::warn!(service = service.as_str(), order, peer:% = from; "the new version is bad");
        }
        if local_move.grant_id() != previous_grant {
            local_move.grant_sender = Some(from);
        }
        reply.map(|reply| messages::to_notice(&service, order, reply))
    }

    /// Drops moves whose order is no longer the latest, and adds those that are newly ordered.
    fn sync(&self, view: &View, started_at_ms: u64) {
        let mut moves = self.by_service.lock().expect("moves lock");
        moves.retain(|service, local_move| {
            let ordered_move = view.moves.get(service);
            ordered_move.is_some_and(|ordered_move| ordered_move.order == local_move.order)
        });
        for (service, ordered_move) in &view.moves {
            let is_over = matches!(
                ordered_move.state,
                Some(State::Completed | State::RolledBack)
            );
            if !is_over && !moves.contains_key(service) {
                let version = ordered_move.version.as_str();
                log::info!(service = service.as_str(), version, order = ordered_move.order; "move ordered");
                moves.insert(
                    service.clone(),
                    LocalMove::new(ordered_move.order, version, started_at_ms),
                );
            }
        }
    }

    /// Advances a move: returns the messages to send and, if this node owns the move, what it has to do
    /// in the store.
    fn advance(
        &self,
        service: &str,
        move_context: &MoveContext<'_, SocketAddr>,
    ) -> Option<(Vec<OutgoingMessage<SocketAddr>>, Option<StoreAction>)> {
        self.with(service, |local_move| {
            let verdict_before = local_move.member.bad_counts();
            let previous_grant = local_move.grant_id();
            let previous_permille = local_move.granted_permille();
            let due = local_move.member.tick(move_context, Instant::now());
            if local_move.granted_permille() > previous_permille && move_context.owner == Some(move_context.own) {
                local_move.log_share_raised(service);
            }
            if let (None, Some(counts)) = (verdict_before, local_move.member.bad_counts()) {
                let Counts {
                    calls,
                    failed,
                    slow,
                    ..
                } = counts;
                log::warn!(service, order = local_move.order, calls, failed, slow; "the new version is bad by all nodes' calls");
            }
            if local_move.grant_id() != previous_grant {
                local_move.grant_sender = Some(move_context.own);
            }
            due
        })
    }

    /// Records the outcome of a move.
    fn finish(&self, service: &str, state: State) {
        self.with(service, |local_move| match state {
            State::Completed => local_move.member.mark_completed(),
            State::RolledBack => {
                local_move.member.mark_bad();
            }
            State::Running => {}
        });
    }

    fn with<T>(&self, service: &str, work: impl FnOnce(&mut LocalMove) -> T) -> Option<T> {
        let mut moves = self.by_service.lock().expect("moves lock");
        moves.get_mut(service).map(work)
    }
}
