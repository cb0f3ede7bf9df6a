//! Simulates a rollout over a fleet, in virtual time.

use super::{
    plan::{Disturbance, Effect, Report, Scenario},
    store::{Outcome, Store},
    version::{Answer, BAD_ROUTE, COLD_OVERDUE_FACTOR, OVERDUE_FACTOR, sound_answer},
};
use fulmarreel_rollout::brief::{
    Call, End, Member, Message, Recipient, RolloutContext, StoreAction,
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// Length of one time step.
const TIME_STEP: Duration = Duration::from_millis(10);

/// How often a node checks whether its member is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Age at which a lease is renewed_at.
const RENEWAL_AGE: Duration = Duration::from_millis(1_000);

/// Lifetime of a lease.
const LEASE_LIFETIME: Duration = Duration::from_millis(3_000);

/// How long each node waits, per rank, before it claims a rollout without an owner.
const STANDBY_WAIT: Duration = Duration::from_millis(700);

/// How long a node that resigned leaves the rollout to others.
const RESIGNED_WAIT: Duration = Duration::from_millis(5_000);

/// Number of nodes that receive the reports besides the owner.
const STANDBYS: usize = 3;

/// How long the simulation continues after the deadline.
const TIME_AFTER_DEADLINE: Duration = Duration::from_secs(6);

/// One call in this many uses the route on which a version may be bad.
const CALLS_PER_BAD_ROUTE_CALL: u32 = 3;

struct Node {
    member: Member<usize>,
    boot: u64,
    is_up: bool,
    is_frozen: bool,
    ownership: Option<Ownership>,
    /// When this node begins to wait before it claims the rollout; `None` while the rollout has an
    /// owner.
    claim_wait_from: Option<Instant>,
    next_tick: Instant,
    inbox: VecDeque<(usize, Message)>,
}

#[derive(Clone, Copy)]
struct Ownership {
    revision: u64,
    renewed_at: Instant,
}

enum Event {
    Datagram {
        from: usize,
        to: usize,
        message: Message,
    },
    Answered {
        node: usize,
        boot: u64,
        call: u64,
        end: End,
    },
}

/// A disturbance that is under way, and the nodes that it affects.
struct Active {
    disturbance: Disturbance,
    nodes: Vec<usize>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: fastrand::Rng,
    start: Instant,
    now: Instant,
    nodes: Vec<Node>,
    store: Store,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    active: Vec<Active>,
    pending: Vec<Disturbance>,
    call_credit: f64,
    /// Recent calls: when they were sent, and whether to the new version.
    recent_calls: VecDeque<(Instant, bool)>,
    bad_answers: u32,
    report: Report,
}

/// Simulates a scenario.
pub fn simulate(scenario: &Scenario) -> Report {
    let start = Instant::now();
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let nodes = (0..scenario.nodes)
        .map(|index| Node::start(index as u64, start, &mut rng))
        .collect();
    let mut simulation = Simulation {
        scenario,
        rng,
        start,
        now: start,
        nodes,
        store: Store::default(),
        events: BTreeMap::new(),
        sequence: 0,
        active: Vec::new(),
        pending: scenario.disturbances.clone(),
        call_credit: 0.0,
        recent_calls: VecDeque::new(),
        bad_answers: 0,
        report: Report::default(),
    };
    while simulation.now < start + scenario.limit + TIME_AFTER_DEADLINE {
        simulation.advance();
        simulation.now += TIME_STEP;
    }
    if let Some((outcome, at)) = simulation.store.outcome {
        match outcome {
            Outcome::Completed => simulation.report.completed = Some(at - start),
            Outcome::RolledBack => simulation.report.rolled_back = Some(at - start),
        }
    }
    simulation.report
}

impl Node {
    fn start(boot: u64, now: Instant, rng: &mut fastrand::Rng) -> Self {
        Self {
            member: Member::new(boot, rng.f64(), now),
            boot,
            is_up: true,
            is_frozen: false,
            ownership: None,
            claim_wait_from: None,
            next_tick: now + TICK_INTERVAL.mul_f64(rng.f64()),
            inbox: VecDeque::new(),
        }
    }

    fn runs(&self) -> bool {
        self.is_up && !self.is_frozen
    }
}

impl Simulation<'_> {
    fn advance(&mut self) {
        self.store.expire_lease(self.now);
        self.update_disturbances();
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.handle(event);
        }
        self.send_due_calls();
        for node in 0..self.nodes.len() {
            if self.nodes[node].runs() && self.now >= self.nodes[node].next_tick {
                self.nodes[node].next_tick = self.now + TICK_INTERVAL;
                self.tick(node);
            }
        }
    }

    fn latest_owner(&self) -> usize {
        let ownership = |node: &Node| node.ownership.map(|ownership| ownership.revision);
        let indices = 0..self.nodes.len();
        let latest = indices.max_by_key(|index| ownership(&self.nodes[*index]));
        latest.unwrap_or(0)
    }

    fn update_disturbances(&mut self) {
        let elapsed = self.now - self.start;
        let (ended, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|active| elapsed >= active.disturbance.until);
        self.active = active;
        let ended: Vec<Active> = ended;
        for active in ended {
            self.end_disturbance(&active);
        }
        let (begun, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|disturbance| elapsed >= disturbance.from);
        self.pending = pending;
        let begun: Vec<Disturbance> = begun;
        for disturbance in begun {
            self.begin_disturbance(disturbance);
        }
        let is_unreachable = |active: &Active| active.disturbance.kind == Effect::StoreUnreachable;
        self.store.is_unreachable = self.active.iter().any(is_unreachable);
    }

    fn begin_disturbance(&mut self, disturbance: Disturbance) {
        let owner = self.latest_owner();
        let nodes = match disturbance.kind {
            Effect::OthersKilled => (0..self.nodes.len())
                .filter(|node| *node != owner && node % 2 == 0)
                .collect(),
            Effect::Lossy(_) | Effect::StoreUnreachable => Vec::new(),
            _ => vec![owner],
        };
        for node in &nodes {
            match disturbance.kind {
                Effect::OwnerKilled | Effect::OthersKilled => self.nodes[*node].is_up = false,
                Effect::OwnerFrozen => self.nodes[*node].is_frozen = true,
                _ => {}
            }
        }
        self.active.push(Active { disturbance, nodes });
    }

    fn end_disturbance(&mut self, active: &Active) {
        for node in &active.nodes {
            match active.disturbance.kind {
                Effect::OwnerKilled | Effect::OthersKilled => {
                    let boot = self.nodes[*node].boot + 1_000;
                    self.nodes[*node] = Node::start(boot, self.now, &mut self.rng);
                }
                Effect::OwnerFrozen => {
                    self.nodes[*node].is_frozen = false;
                    for (from, message) in std::mem::take(&mut self.nodes[*node].inbox) {
                        self.deliver(*node, from, message);
                    }
                }
                _ => {}
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Datagram { from, to, message } if self.nodes[to].is_frozen => {
                self.nodes[to].inbox.push_back((from, message));
            }
            Event::Datagram { from, to, message } => self.deliver(to, from, message),
            Event::Answered {
                node,
                boot,
                call,
                end,
            } => {
                let node = &mut self.nodes[node];
                if node.is_up && node.boot == boot {
                    node.member.record_end(call, end, self.now);
                }
            }
        }
    }

    fn deliver(&mut self, to: usize, from: usize, message: Message) {
        if !self.nodes[to].is_up {
            return;
        }
        let answer = self.nodes[to].member.receive(from, message, self.now);
        if let Some(answer) = answer {
            self.send(to, from, answer);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let mut delay = Duration::from_millis(self.rng.u64(1..15));
        for active in &self.active {
            let from_affected = active.nodes.contains(&from);
            let to_affected = active.nodes.contains(&to);
            match active.disturbance.kind {
                Effect::OwnerMute if from_affected => return,
                Effect::OwnerDeaf if to_affected => return,
                Effect::OwnerCut if from_affected || to_affected => return,
                Effect::OwnerDelayed(by) if from_affected => delay += by,
                Effect::Lossy(permille) if self.rng.u32(0..1_000) < permille => return,
                _ => {}
            }
        }
        let event = Event::Datagram { from, to, message };
        self.schedule(delay, event);
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn send_due_calls(&mut self) {
        self.call_credit += f64::from(self.scenario.calls_per_s) * TIME_STEP.as_secs_f64();
        while self.call_credit >= 1.0 {
            self.call_credit -= 1.0;
            let node = self.rng.usize(0..self.nodes.len());
            if self.nodes[node].runs() {
                self.send_call(node);
            }
        }
    }

    fn send_call(&mut self, index: usize) {
        let (now, elapsed) = (self.now, self.now - self.start);
        let ended = self.store.known_outcome(now);
        let node = &mut self.nodes[index];
        let new = match ended {
            Some(Outcome::Completed) => true,
            Some(Outcome::RolledBack) => false,
            None => node.member.assign_to_new(now),
        };
        let is_old_gone = matches!(self.store.outcome, Some((Outcome::Completed, _)));
        self.report.calls_to_stopped_version += u32::from(is_old_gone && !new);
        let boot = node.boot;
        let is_before_deadline = elapsed < self.scenario.limit;
        self.report.calls += u32::from(is_before_deadline);
        self.report.new_calls += u32::from(is_before_deadline && new);
        let route = match self.rng.u32(0..CALLS_PER_BAD_ROUTE_CALL) {
            0 => BAD_ROUTE,
            _ => 1,
        };
        let share = self.new_permille_after(new);
        let answer = if new {
            self.report.last_new_call = Some(elapsed);
            self.scenario.version.answer(
                (route, self.scenario.usual_latency),
                elapsed,
                share,
                &mut self.rng,
            )
        } else {
            sound_answer(self.scenario.usual_latency, &mut self.rng)
        };
        if new {
            self.count_bad_answer(answer, elapsed);
        }
        let overdue_factor = if new && elapsed < self.scenario.version.cold {
            COLD_OVERDUE_FACTOR
        } else {
            OVERDUE_FACTOR
        };
        let call = self.nodes[index].member.record_sent(Call {
            route,
            new,
            overdue: Some(now + self.scenario.usual_latency.mul_f64(overdue_factor)),
        });
        let end = match answer {
            Answer { failed: true, .. } => End::Failed,
            Answer { slow, .. } => End::Answered { slow },
        };
        let event = Event::Answered {
            node: index,
            boot,
            call,
            end,
        };
        self.schedule(answer.took, event);
    }

    fn count_bad_answer(&mut self, answer: Answer, elapsed: Duration) {
        if answer.failed || answer.slow {
            self.bad_answers += 1;
            if self.bad_answers == 50 {
                self.report.fiftieth_bad_answer = Some(elapsed + answer.took);
            }
        }
    }

    /// Records a call, and returns the new version's share of the calls of the last half second, in
    /// permille.
    fn new_permille_after(&mut self, new: bool) -> u16 {
        let now = self.now;
        self.recent_calls.push_back((now, new));
        self.recent_calls
            .retain(|(at, _)| now < *at + Duration::from_millis(500));
        let new_calls = self.recent_calls.iter().filter(|(_, new)| *new).count();
        (new_calls * 1_000 / self.recent_calls.len()) as u16
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        if self.store.known_outcome(now).is_some() {
            self.nodes[index].ownership = None;
            return;
        }
        if !self.nodes[index].member.is_due(now) {
            return;
        }
        self.renew(index);
        let key = self.store.known_owner(now);
        if key.is_none() && self.nodes[index].ownership.is_none() {
            self.try_claim(index);
        } else if self.nodes[index]
            .claim_wait_from
            .is_some_and(|since| since <= now)
        {
            self.nodes[index].claim_wait_from = None;
        }
        let standbys: Vec<usize> = (0..STANDBYS.min(self.nodes.len())).collect();
        let ownership = self.nodes[index].ownership;
        let context = RolloutContext {
            own: index,
            owner: key.map(|key| key.node),
            standbys: &standbys,
            nodes: self.nodes.len(),
            is_leased: ownership
                .is_some_and(|ownership| now < ownership.renewed_at + LEASE_LIFETIME),
            has_targets: true,
        };
        let (messages, action) = self.nodes[index].member.tick(&context, now);
        for (recipient, message) in messages {
            match recipient {
                Recipient::One(to) => self.send(index, to, message),
                Recipient::All => {
                    for to in 0..self.nodes.len() {
                        if to != index {
                            self.send(index, to, message.clone());
                        }
                    }
                }
            }
        }
        let Some(revision) = ownership.map(|ownership| ownership.revision) else {
            return;
        };
        match action {
            Some(StoreAction::Complete) => {
                if self.store.write_outcome(revision, Outcome::Completed, now) {
                    self.nodes[index].member.mark_completed();
                }
            }
            Some(StoreAction::RollBack) => {
                self.store.write_outcome(revision, Outcome::RolledBack, now);
            }
            Some(StoreAction::Resign) if self.store.resign(revision, now) => {
                self.nodes[index].ownership = None;
                self.nodes[index].member.lose_ownership();
                self.nodes[index].claim_wait_from = Some(now + RESIGNED_WAIT);
            }
            Some(StoreAction::Resign) | None => {}
        }
    }

    fn renew(&mut self, index: usize) {
        let Some(ownership) = self.nodes[index].ownership else {
            return;
        };
        if self.now < ownership.renewed_at + RENEWAL_AGE {
            return;
        }
        match self.store.renew(ownership.revision, self.now) {
            Some(Ok(_)) => {
                self.nodes[index].ownership = Some(Ownership {
                    renewed_at: self.now,
                    ..ownership
                });
            }
            Some(Err(())) => {
                self.nodes[index].ownership = None;
                self.nodes[index].member.lose_ownership();
            }
            None => {}
        }
    }

    fn try_claim(&mut self, index: usize) {
        let now = self.now;
        let since = *self.nodes[index].claim_wait_from.get_or_insert(now);
        if now < since + STANDBY_WAIT * index as u32 {
            return;
        }
        if let Some(revision) = self.store.claim(index, now) {
            let (start, deadline) = (self.start, self.start + self.scenario.limit);
            let node = &mut self.nodes[index];
            node.member.become_owner(revision, start, deadline);
            node.ownership = Some(Ownership {
                revision,
                renewed_at: now,
            });
        }
    }
}
