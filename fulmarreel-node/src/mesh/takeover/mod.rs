//! Rollouts of a service's new version (moves in logs), as ordered by an operator.
//!
//! One node owns each rollout through a leased key in the store. The owner grants all nodes the
//! share of calls that goes to the new version, and the nodes report how those calls went. The
//! protocol is in [`Member`]; this module connects it to requests ([`Rollouts`]), to the store
//! ([`owner`]) and to datagrams between nodes ([`messages`]).

mod driver;
mod messages;
mod owner;
mod ranking;
mod rewrite;

pub use driver::run;

use super::view::{Rollout, Target, View};
use crate::telemetry::metrics;
use fulmarreel_platform::order::State;
use fulmarreel_rollout::brief::{
    Call, Counts, End, Member, OutgoingMessage, RolloutContext, StoreAction, VersionCounts,
};
use fulmarreel_wire::notice::Notice;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
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
    /// Any version: the service has no rollout, or its rollout is complete and no target runs the
    /// new version.
    Any,
    /// Any version but the new one.
    Old {
        /// The new version of the rollout.
        new: String,
    },
    /// Only the new version.
    New {
        /// The new version of the rollout.
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

/// Counts one request to a service with a rollout in progress; if dropped before
/// [`CallTracker::finish`], the request's outcome counts as unknown.
#[derive(Debug)]
pub struct CallTracker<'a> {
    rollouts: &'a Rollouts,
    service: &'a str,
    /// The revision by which this node first knew the order.
    first_order: u64,
    /// Identifies the call in [`Member`].
    number: u64,
    /// A response that takes longer counts as slow.
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
        let mut rollouts = self.rollouts.by_service.lock().expect("rollouts lock");
        let local_rollout = rollouts.get_mut(self.service);
        let local_rollout =
            local_rollout.filter(|local_rollout| local_rollout.first_order == self.first_order);
        if local_rollout.is_some_and(|local_rollout| {
            local_rollout
                .member
                .record_end(self.number, end, Instant::now())
        }) {
            log::warn!(service = self.service, order = self.first_order; "the new version fails here, it is not used further");
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

/// This node's state of each rollout: those in progress, and those that ended while this process
/// ran and whose order is still the latest.
#[derive(Debug, Default)]
pub struct Rollouts {
    by_service: Mutex<HashMap<String, LocalRollout>>,
}

/// What this node knows of one rollout beyond what the store holds.
#[derive(Debug)]
struct LocalRollout {
    /// The store revision of the order.
    order: u64,
    /// The revision by which this node first knew the order; a later era of the store gives it another.
    first_order: u64,
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

    /// The time after which its response counts as slow.
    fn slow_after(&self) -> Option<Duration> {
        let ratio = if self.is_cold() {
            COLD_SLOW_RATIO
        } else {
            SLOW_RATIO
        };
        self.typical_latency.map(|latency| latency.mul_f64(ratio))
    }
}

impl LocalRollout {
    fn new(order: u64, version: &str, started_at_ms: u64) -> Self {
        Self {
            order,
            first_order: order,
            version: version.to_owned(),
            member: Member::new(started_at_ms, fastrand::f64(), Instant::now()),
            grant_sender: None,
            logged_permille: 0,
            had_expired: false,
        }
    }

    /// Whether it belongs to an order, by the order's revision in any era of the store.
    fn is_of(&self, ordered_rollout: &Rollout) -> bool {
        ordered_rollout.includes(self.order) && ordered_rollout.version == self.version
    }

    /// Identifies the latest grant: the store revision by which its sender became the owner, and the
    /// grant's number.
    fn grant_id(&self) -> Option<(u64, u32)> {
        let received = self.member.agent().received_grant();
        received.map(|received| (received.grant.owner_revision, received.grant.sequence))
    }

    /// The share of the latest grant, or 0 if there is none.
    fn granted_permille(&self) -> u16 {
        let received = self.member.agent().received_grant();
        received.map_or(0, |received| received.grant.permille)
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
        let received = self.member.agent().received_grant();
        let age = received.map_or(Duration::ZERO, |received| now - received.received_at);
        let owner = received.map_or(0, |received| received.grant.owner_revision);
        let has_expired = received.is_some_and(|received| now >= received.expires_at);
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

impl Rollouts {
    /// Chooses the versions that a request may go to, among those of the targets that it may go to. While
    /// a rollout is in progress, only a request's first attempt may go to the unproven version.
    pub fn choose(
        &self,
        service: &str,
        view: &View,
        eligible: &[&Arc<Target>],
        is_first_attempt: bool,
    ) -> VersionChoice {
        let Some(ordered_rollout) = view.rollouts.get(service) else {
            return VersionChoice::Any;
        };
        let new = ordered_rollout.version.clone();
        let runs_new = || eligible.iter().any(|target| target.version == new);
        let mut rollouts = self.by_service.lock().expect("rollouts lock");
        let local_rollout = rollouts
            .get_mut(service)
            .filter(|local_rollout| local_rollout.is_of(ordered_rollout));
        match ordered_rollout.state {
            Some(State::Completed) if runs_new() => return VersionChoice::New { new },
            Some(State::Completed) => return VersionChoice::Any,
            Some(State::RolledBack) => return VersionChoice::Old { new },
            Some(State::Running) | None => {}
        }
        let Some(local_rollout) = local_rollout.filter(|_| runs_new()) else {
            return VersionChoice::Old { new };
        };
        let now = Instant::now();
        let goes_to_new = match local_rollout.member.agent().permille(now) {
            0 => false,
            ALL_PERMILLE.. => true,
            _ => is_first_attempt && local_rollout.member.assign_to_new(now),
        };
        if goes_to_new {
            VersionChoice::New { new }
        } else {
            VersionChoice::Old { new }
        }
    }

    /// Starts to count a request that is sent to a target; `None` if no rollout of the service is
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
        let mut rollouts = self.by_service.lock().expect("rollouts lock");
        let local_rollout = rollouts.get_mut(service)?;
        let number = local_rollout.member.record_sent(Call {
            route: xxh3_64(call.route.as_bytes()),
            new,
            overdue: call.overdue_after().map(|after| Instant::now() + after),
        });
        Some(CallTracker {
            rollouts: self,
            service,
            first_order: local_rollout.first_order,
            number,
            slow_after: call.slow_after(),
            finished: false,
        })
    }

    /// Handles another node's notice about a rollout; returns the reply to send, if any.
    pub fn handle(&self, from: SocketAddr, notice: Notice) -> Option<Notice> {
        let (service, order, message) = messages::from_notice(notice)?;
        let mut rollouts = self.by_service.lock().expect("rollouts lock");
        let local_rollout = rollouts
            .get_mut(&service)
            .filter(|local_rollout| local_rollout.order == order)?;
        let now = Instant::now();
        let was_known_bad = local_rollout.member.agent().is_known_bad();
        let previous_grant = local_rollout.grant_id();
        let reply = local_rollout.member.receive(from, message, now);
        if local_rollout.member.agent().is_known_bad() && !was_known_bad {
            log::warn!(service = service.as_str(), order, peer:% = from; "the new version is bad");
        }
        if local_rollout.grant_id() != previous_grant {
            local_rollout.grant_sender = Some(from);
        }
        reply.map(|reply| messages::to_notice(&service, order, reply))
    }

    /// Drops rollouts whose order is no longer the latest, and adds those that are newly ordered.
    fn sync(&self, view: &View, started_at_ms: u64) {
        let mut rollouts = self.by_service.lock().expect("rollouts lock");
        rollouts.retain(|service, local_rollout| {
            let ordered_rollout = view.rollouts.get(service);
            let ordered_rollout =
                ordered_rollout.filter(|ordered_rollout| local_rollout.is_of(ordered_rollout));
            if let Some(ordered_rollout) = ordered_rollout {
                local_rollout.order = ordered_rollout.order;
            }
            ordered_rollout.is_some()
        });
        for (service, ordered_rollout) in &view.rollouts {
            if !ordered_rollout.is_over() && !rollouts.contains_key(service) {
                let version = ordered_rollout.version.as_str();
                log::info!(service = service.as_str(), version, order = ordered_rollout.order; "move ordered");
                rollouts.insert(
                    service.clone(),
                    LocalRollout::new(ordered_rollout.order, version, started_at_ms),
                );
            }
        }
    }

    /// Advances a rollout: returns the messages to send and, if this node owns the rollout, what it
    /// has to do in the store.
    fn advance(
        &self,
        service: &str,
        rollout_context: &RolloutContext<'_, SocketAddr>,
    ) -> Option<(Vec<OutgoingMessage<SocketAddr>>, Option<StoreAction>)> {
        self.with(service, |local_rollout| {
            let verdict_before = local_rollout.member.bad_counts();
            let previous_grant = local_rollout.grant_id();
            let previous_permille = local_rollout.granted_permille();
            let due = local_rollout.member.tick(rollout_context, Instant::now());
            if local_rollout.granted_permille() > previous_permille && rollout_context.owner == Some(rollout_context.own) {
                local_rollout.log_share_raised(service);
            }
            if let (None, Some(counts)) = (verdict_before, local_rollout.member.bad_counts()) {
                let Counts {
                    calls,
                    failed,
                    slow,
                    ..
                } = counts;
                log::warn!(service, order = local_rollout.order, calls, failed, slow; "the new version is bad by all nodes' calls");
            }
            if local_rollout.grant_id() != previous_grant {
                local_rollout.grant_sender = Some(rollout_context.own);
            }
            due
        })
    }

    /// Whether this node knows a rollout to be complete.
    fn is_completed(&self, service: &str) -> bool {
        let is_completed =
            |local_rollout: &mut LocalRollout| local_rollout.member.agent().is_completed();
        self.with(service, is_completed).unwrap_or(false)
    }

    /// Records the outcome of a rollout.
    fn finish(&self, service: &str, state: State) {
        self.with(service, |local_rollout| match state {
            State::Completed => local_rollout.member.mark_completed(),
            State::RolledBack => {
                local_rollout.member.mark_bad();
            }
            State::Running => {}
        });
    }

    fn with<T>(&self, service: &str, work: impl FnOnce(&mut LocalRollout) -> T) -> Option<T> {
        let mut rollouts = self.by_service.lock().expect("rollouts lock");
        rollouts.get_mut(service).map(work)
    }
}
