//! One node's whole part in a move: what it tells whom, and what it does on what it is told.

use super::{
    Agent, Call, Counts, Decision, End, Evidence, Grant, Pair, Pool, Ramp, Report,
    ramp::Fleet,
    verdict::{recent_verdict, total, verdict},
};
use std::{
    hash::Hash,
    time::{Duration, Instant},
};

/// How often a node says what it has to say.
const INTERVAL: Duration = Duration::from_millis(250);

/// How often a node tells all others how the move ends, for datagrams get lost; later it tells those
/// that show that they do not know.
const END_TELLINGS: u8 = 4;

/// Processes whose calls a standby has to know to speak for all of them.
const MIN_CALLERS: usize = 2;

/// What nodes tell each other of a move.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// What the sender has seen.
    Report(Report),
    /// The owner's grant.
    Grant(Grant),
    /// The version is bad.
    Bad,
    /// The version has taken over.
    Completed,
}

/// Who is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient<A> {
    /// One node.
    One(A),
    /// Every other node.
    All,
}

/// What is told to whom.
pub type Parcel<A> = (Recipient<A>, Message);

/// What a move's owner does at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Writes that all calls go to the new version.
    Complete,
    /// Writes that the version is bad.
    RollBack,
    /// Gives its key away, and leaves the move to another node.
    Resign,
}

/// The nodes that take part.
#[derive(Debug, Clone, Copy)]
pub struct Roster<'a, A> {
    /// This node.
    pub own: A,
    /// The owner, as far as this node knows.
    pub owner: Option<A>,
    /// Nodes that hold the evidence besides the owner.
    pub standbys: &'a [A],
    /// How many nodes there are.
    pub nodes: usize,
    /// Whether this node's lease holds, where it is the owner.
    pub is_leased: bool,
    /// Whether the new version has targets.
    pub has_targets: bool,
}

/// One node's part in a move.
#[derive(Debug)]
pub struct Member<A> {
    agent: Agent,
    pool: Pool<A>,
    ramp: Option<Ramp>,
    is_urgent: bool,
    next: Instant,
    end_tellings: u8,
    found: Option<Counts>,
    /// What all nodes had seen when this one looked last, over all routes.
    seen: Pair,
}

impl<A: Copy + Eq + Hash> Member<A> {
    /// The part of a process that has heard nothing; `credit` is a random part of a call.
    pub fn new(boot: u64, credit: f64, now: Instant) -> Self {
        Self {
            agent: Agent::new(boot, credit),
            pool: Pool::new(now),
            ramp: None,
            is_urgent: false,
            next: now,
            end_tellings: 0,
            found: None,
            seen: Pair::default(),
        }
    }

    /// What this node does with its own calls.
    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// Whether a call goes to the new version.
    pub fn deal(&mut self, now: Instant) -> bool {
        self.agent.deal(now)
    }

    /// Takes in that a call is sent; returns the number by which its end is told.
    pub fn send(&mut self, call: Call) -> u64 {
        self.agent.send(call)
    }

    /// Takes in how a call ended; returns whether this node stops using the new version on its own
    /// evidence.
    pub fn end(&mut self, number: u64, end: End, now: Instant) -> bool {
        self.agent.end(number, end, now)
    }

    /// The counts on which this node found the version bad, if it did.
    pub fn found(&self) -> Option<Counts> {
        self.found
    }

    /// What all nodes had seen when this one looked last, over all routes.
    pub fn seen(&self) -> Pair {
        self.seen
    }

    /// Makes this node the owner by a revision, of a move between two times.
    pub fn own(&mut self, revision: u64, start: Instant, deadline: Instant) {
        self.ramp = Some(Ramp::new(revision, start, deadline));
    }

    /// This node is the owner no longer.
    pub fn disown(&mut self) {
        self.ramp = None;
    }

    /// Takes in what another node says; returns what is to be answered.
    pub fn take(&mut self, from: A, message: Message, now: Instant) -> Option<Message> {
        match message {
            Message::Bad => {
                self.is_urgent |= self.agent.condemn();
                None
            }
            Message::Completed => {
                self.agent.complete();
                None
            }
            Message::Report(_) | Message::Grant(_) if self.agent.is_condemned() => {
                Some(Message::Bad)
            }
            Message::Report(_) | Message::Grant(_) if self.agent.is_completed() => {
                Some(Message::Completed)
            }
            Message::Report(report) => {
                self.is_urgent |= self.pool.hear(from, report, now);
                None
            }
            Message::Grant(grant) => {
                self.agent.follow(grant, now);
                None
            }
        }
    }

    /// Takes in that the outcome was written, or read from the store: the version has taken over.
    pub fn complete(&mut self) {
        if !self.agent.is_completed() && self.ramp.is_some() {
            self.end_tellings = END_TELLINGS;
        }
        self.agent.complete();
    }

    /// Takes in that the version is bad, as was read from the store.
    pub fn condemn(&mut self) {
        self.agent.condemn();
    }

    /// Whether [`Member::look`] is due.
    pub fn is_due(&mut self, now: Instant) -> bool {
        self.is_urgent |= self.agent.take_urgent(now);
        self.is_urgent || self.ramp.is_some() || now >= self.next
    }

    /// What is to be told, and what this node does at the store where it is the owner.
    pub fn look(
        &mut self,
        roster: &Roster<'_, A>,
        now: Instant,
    ) -> (Vec<Parcel<A>>, Option<Action>) {
        self.is_urgent = false;
        let is_regular = now >= self.next;
        if is_regular {
            self.next = now + INTERVAL;
        }
        if self.agent.is_completed() {
            return (self.tell_completed(), None);
        }
        self.pool.hear(roster.own, self.agent.report(now), now);
        let evidence = self.pool.evidence();
        self.seen = total(&evidence);
        let recent = self.pool.recent(&evidence, self.agent.permille(now), now);
        let holds_evidence = roster.standbys.contains(&roster.own)
            && self.pool.callers() >= MIN_CALLERS
            || self.ramp.is_some();
        if holds_evidence
            && let Some(counts) = verdict(&evidence).or_else(|| recent_verdict(&recent))
            && self.agent.condemn()
        {
            self.found = Some(counts);
            self.end_tellings = END_TELLINGS;
        }
        if self.agent.is_condemned() {
            return self.look_condemned(roster, is_regular);
        }
        if self.ramp.is_some() {
            let seen = (&evidence, &recent);
            return self.look_as_owner(roster, seen, is_regular, now);
        }
        let report = self.agent.report(now);
        let others = roster.standbys.iter().copied();
        let others = others.filter(|_| self.agent.has_called());
        let others = others.filter(|node| roster.owner != Some(*node));
        let receivers = roster.owner.into_iter().chain(others);
        let receivers = receivers.filter(|node| *node != roster.own);
        let parcel = |node| (Recipient::One(node), Message::Report(report.clone()));
        (receivers.map(parcel).collect(), None)
    }

    fn tell_completed(&mut self) -> Vec<Parcel<A>> {
        if self.end_tellings == 0 {
            return Vec::new();
        }
        self.end_tellings -= 1;
        vec![(Recipient::All, Message::Completed)]
    }

    fn look_condemned(
        &mut self,
        roster: &Roster<'_, A>,
        is_regular: bool,
    ) -> (Vec<Parcel<A>>, Option<Action>) {
        let action = self.ramp.is_some().then_some(Action::RollBack);
        if self.end_tellings > 0 || (action.is_some() && is_regular) {
            self.end_tellings = self.end_tellings.saturating_sub(1);
            return (vec![(Recipient::All, Message::Bad)], action);
        }
        let owner = roster.owner.filter(|owner| *owner != roster.own);
        let parcel = owner.map(|owner| (Recipient::One(owner), Message::Bad));
        (parcel.into_iter().collect(), action)
    }

    fn look_as_owner(
        &mut self,
        roster: &Roster<'_, A>,
        (evidence, recent): (&Evidence, &Evidence),
        is_regular: bool,
        now: Instant,
    ) -> (Vec<Parcel<A>>, Option<Action>) {
        let Some(ramp) = &mut self.ramp else {
            return (Vec::new(), None);
        };
        if !roster.has_targets {
            return (Vec::new(), None);
        }
        let fleet = Fleet {
            evidence,
            recent,
            nodes: roster.nodes,
            reached: self.pool.reached(now),
            following: self.pool.following(ramp, now),
            proven: self.pool.proven(),
            is_leased: roster.is_leased,
        };
        match ramp.decide(fleet, now) {
            Decision::Tell(grant) => {
                let said = self.agent.told().map(|told| told.grant.permille);
                if !is_regular && said == Some(grant.permille) {
                    return (Vec::new(), None);
                }
                self.agent.follow(grant, now);
                (vec![(Recipient::All, Message::Grant(grant))], None)
            }
            Decision::Wait => (Vec::new(), None),
            Decision::Resign => (Vec::new(), Some(Action::Resign)),
            Decision::Complete => (Vec::new(), Some(Action::Complete)),
        }
    }
}
