//! One node's part in a rollout: the messages it sends, and how it acts on those it receives.

use super::{
    Agent, Call, Counts, CountsByRoute, Decision, End, Grant, Ramp, Report, ReportPool,
    VersionCounts,
    ramp::FleetStatus,
    verdict::{recent_verdict, total, verdict},
};
use std::{
    hash::Hash,
    time::{Duration, Instant},
};

/// Interval of a node's regular messages.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How many times a node announces the outcome of the rollout to all others, because datagrams get
/// lost. After that it answers nodes whose messages show that they do not know the outcome.
const OUTCOME_ANNOUNCEMENTS: u8 = 4;

/// Number of processes that must have called the new version before a standby may find it bad for
/// all nodes.
const MIN_CALLING_PROCESSES: usize = 2;

/// A message between nodes about a rollout.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// The sender's call results.
    Report(Report),
    /// The owner's grant.
    Grant(Grant),
    /// The new version is bad.
    Bad,
    /// The rollout is complete.
    Completed,
}

/// The receivers of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient<A> {
    /// One node.
    One(A),
    /// Every other node.
    All,
}

/// A message with its receivers.
pub type OutgoingMessage<A> = (Recipient<A>, Message);

/// What the owner of a rollout does at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAction {
    /// Writes that the rollout is complete.
    Complete,
    /// Writes that the new version is bad and the rollout is rolled back.
    RollBack,
    /// Deletes its owner key, so that another node takes over the rollout.
    Resign,
}

/// The nodes that take part in a rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutContext<'a, A> {
    /// This node.
    pub own: A,
    /// The owner, as far as this node knows.
    pub owner: Option<A>,
    /// Nodes that receive the reports besides the owner.
    pub standbys: &'a [A],
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Whether this node's lease holds, where it is the owner.
    pub is_leased: bool,
    /// Whether any target runs the new version.
    pub has_targets: bool,
}

/// One node's part in a rollout.
#[derive(Debug)]
pub struct Member<A> {
    agent: Agent,
    pool: ReportPool<A>,
    /// The ramp of the rollout while this node is its owner.
    ramp: Option<Ramp>,
    is_urgent: bool,
    next_report: Instant,
    /// How many more times this node announces the outcome to all others.
    announcements_left: u8,
    /// The counts by which this node found the new version bad.
    bad_counts: Option<Counts>,
    /// Call results over all routes and all nodes at the last [`Member::tick`].
    fleet_counts: VersionCounts,
}

impl<A: Copy + Eq + Hash> Member<A> {
    /// The state of a process that has received no message; `new_call_credit` is a random fraction
    /// of a call.
    pub fn new(boot: u64, new_call_credit: f64, now: Instant) -> Self {
        Self {
            agent: Agent::new(boot, new_call_credit),
            pool: ReportPool::new(now),
            ramp: None,
            is_urgent: false,
            next_report: now,
            announcements_left: 0,
            bad_counts: None,
            fleet_counts: VersionCounts::default(),
        }
    }

    /// The part that assigns this node's calls and counts their results.
    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// Whether a call goes to the new version.
    pub fn assign_to_new(&mut self, now: Instant) -> bool {
        self.agent.assign_to_new(now)
    }

    /// Records that a call is sent to a target; returns the number to pass to [`Member::record_end`].
    pub fn record_sent(&mut self, call: Call) -> u64 {
        self.agent.record_sent(call)
    }

    /// Records how a call ended; returns whether this node stops using the new version because of
    /// its own calls.
    pub fn record_end(&mut self, number: u64, end: End, now: Instant) -> bool {
        self.agent.record_end(number, end, now)
    }

    /// The counts by which this node found the new version bad, if it did.
    pub fn bad_counts(&self) -> Option<Counts> {
        self.bad_counts
    }

    /// Call results over all routes and all nodes at the last [`Member::tick`].
    pub fn fleet_counts(&self) -> VersionCounts {
        self.fleet_counts
    }

    /// Makes this node the owner of a rollout from `start` to `deadline`; `revision` is the store
    /// revision at which it became the owner.
    pub fn become_owner(&mut self, revision: u64, start: Instant, deadline: Instant) {
        self.ramp = Some(Ramp::new(revision, start, deadline));
    }

    /// Ends this node's ownership of the rollout.
    pub fn lose_ownership(&mut self) {
        self.ramp = None;
    }

    /// Handles a message of another node; returns the reply, if there is one.
    pub fn receive(&mut self, from: A, message: Message, now: Instant) -> Option<Message> {
        match message {
            Message::Bad => {
                self.is_urgent |= self.agent.mark_bad();
                None
            }
            Message::Completed => {
                self.agent.mark_completed();
                None
            }
            Message::Report(_) | Message::Grant(_) if self.agent.is_known_bad() => {
                Some(Message::Bad)
            }
            Message::Report(_) | Message::Grant(_) if self.agent.is_completed() => {
                Some(Message::Completed)
            }
            Message::Report(report) => {
                self.is_urgent |= self.pool.record(from, report, now);
                None
            }
            Message::Grant(grant) => {
                self.agent.accept_grant(grant, now);
                None
            }
        }
    }

    /// Records that the rollout is complete, as written to the store or read from it.
    pub fn mark_completed(&mut self) {
        if !self.agent.is_completed() && self.ramp.is_some() {
            self.announcements_left = OUTCOME_ANNOUNCEMENTS;
        }
        self.agent.mark_completed();
    }

    /// Records that the new version is bad, as read from the store.
    pub fn mark_bad(&mut self) {
        self.agent.mark_bad();
    }

    /// Whether [`Member::tick`] is due.
    pub fn is_due(&mut self, now: Instant) -> bool {
        self.is_urgent |= self.agent.take_urgency(now);
        self.is_urgent || self.ramp.is_some() || now >= self.next_report
    }

    /// The messages to send now, and what to do at the store if this node is the owner.
    pub fn tick(
        &mut self,
        context: &RolloutContext<'_, A>,
        now: Instant,
    ) -> (Vec<OutgoingMessage<A>>, Option<StoreAction>) {
        self.is_urgent = false;
        let is_report_due = now >= self.next_report;
        if is_report_due {
            self.next_report = now + REPORT_INTERVAL;
        }
        if self.agent.is_completed() {
            return (self.announce_completed(), None);
        }
        self.pool.record(context.own, self.agent.report(now), now);
        let evidence = self.pool.evidence();
        self.fleet_counts = total(&evidence);
        let recent = self.pool.recent(&evidence, self.agent.permille(now), now);
        let holds_evidence = context.standbys.contains(&context.own)
            && self.pool.processes_calling_new() >= MIN_CALLING_PROCESSES
            || self.ramp.is_some();
        if holds_evidence
            && let Some(counts) = verdict(&evidence).or_else(|| recent_verdict(&recent))
            && self.agent.mark_bad()
        {
            self.bad_counts = Some(counts);
            self.announcements_left = OUTCOME_ANNOUNCEMENTS;
        }
        if self.agent.is_known_bad() {
            return self.tick_when_bad(context, is_report_due);
        }
        if self.ramp.is_some() {
            let evidence = (&evidence, &recent);
            return self.tick_as_owner(context, evidence, is_report_due, now);
        }
        let report = self.agent.report(now);
        let standbys = context.standbys.iter().copied();
        let standbys = standbys.filter(|_| self.agent.has_called_new());
        let standbys = standbys.filter(|node| context.owner != Some(*node));
        let recipients = context.owner.into_iter().chain(standbys);
        let recipients = recipients.filter(|node| *node != context.own);
        let message_to = |node| (Recipient::One(node), Message::Report(report.clone()));
        (recipients.map(message_to).collect(), None)
    }

    fn announce_completed(&mut self) -> Vec<OutgoingMessage<A>> {
        if self.announcements_left == 0 {
            return Vec::new();
        }
        self.announcements_left -= 1;
        vec![(Recipient::All, Message::Completed)]
    }

    fn tick_when_bad(
        &mut self,
        context: &RolloutContext<'_, A>,
        is_report_due: bool,
    ) -> (Vec<OutgoingMessage<A>>, Option<StoreAction>) {
        let action = self.ramp.is_some().then_some(StoreAction::RollBack);
        if self.announcements_left > 0 || (action.is_some() && is_report_due) {
            self.announcements_left = self.announcements_left.saturating_sub(1);
            return (vec![(Recipient::All, Message::Bad)], action);
        }
        let owner = context.owner.filter(|owner| *owner != context.own);
        let to_owner = owner.map(|owner| (Recipient::One(owner), Message::Bad));
        (to_owner.into_iter().collect(), action)
    }

    fn tick_as_owner(
        &mut self,
        context: &RolloutContext<'_, A>,
        (evidence, recent): (&CountsByRoute, &CountsByRoute),
        is_report_due: bool,
        now: Instant,
    ) -> (Vec<OutgoingMessage<A>>, Option<StoreAction>) {
        let Some(ramp) = &mut self.ramp else {
            return (Vec::new(), None);
        };
        if !context.has_targets {
            return (Vec::new(), None);
        }
        let fleet = FleetStatus {
            evidence,
            recent,
            nodes: context.nodes,
            reachable: self.pool.reachable_nodes(now),
            following: self.pool.following_nodes(ramp, now),
            proven_permille: self.pool.proven_permille(),
            is_leased: context.is_leased,
        };
        match ramp.decide(fleet, now) {
            Decision::Announce(grant) => {
                let granted = self
                    .agent
                    .received_grant()
                    .map(|received| received.grant.permille);
                if !is_report_due && granted == Some(grant.permille) {
                    return (Vec::new(), None);
                }
                self.agent.accept_grant(grant, now);
                (vec![(Recipient::All, Message::Grant(grant))], None)
            }
            Decision::Withhold => (Vec::new(), None),
            Decision::Resign => (Vec::new(), Some(StoreAction::Resign)),
            Decision::Complete => (Vec::new(), Some(StoreAction::Complete)),
        }
    }
}
