//! Plays a move over a fleet.

use super::{
    plan::{Kind, Plan, Report, Trouble},
    store::{Outcome, Store},
    version::{Answer, BAD_ROUTE, COLD_OVERDUE_TIMES, OVERDUE_TIMES, sound},
};
use fulmarreel_rollout::brief::{Action, Call, End, Member, Message, Recipient, Roster};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// The step of time.
const STEP: Duration = Duration::from_millis(10);

/// How often a node asks whether its member is due.
const LOOK: Duration = Duration::from_millis(50);

/// Age of a lease from which on it is renewed.
const RENEWAL_AGE: Duration = Duration::from_millis(1_000);

/// Lifetime of a lease.
const LEASE: Duration = Duration::from_millis(3_000);

/// How long each further node waits before it claims a move.
const STANDBY_WAIT: Duration = Duration::from_millis(700);

/// How long a node that resigned leaves a move to others.
const RESIGNED_WAIT: Duration = Duration::from_millis(5_000);

/// Nodes that hold the evidence besides the owner.
const STANDBYS: usize = 3;

/// How long the play goes on after the deadline.
const AFTER: Duration = Duration::from_secs(6);

/// One call in so many uses the route on which a version may be bad.
const BAD_ROUTE_EVERY: u32 = 3;

struct Node {
    member: Member<usize>,
    boot: u64,
    is_up: bool,
    is_frozen: bool,
    owns: Option<Owned>,
    vacant: Option<Instant>,
    next_look: Instant,
    inbox: VecDeque<(usize, Message)>,
}

#[derive(Clone, Copy)]
struct Owned {
    revision: u64,
    renewed: Instant,
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

/// A trouble that is under way, and whom it struck.
struct Active {
    trouble: Trouble,
    nodes: Vec<usize>,
}

struct Play<'a> {
    plan: &'a Plan,
    random: fastrand::Rng,
    start: Instant,
    now: Instant,
    nodes: Vec<Node>,
    store: Store,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    active: Vec<Active>,
    waiting: Vec<Trouble>,
    due_calls: f64,
    /// Which of the last calls went to the new version, with their times.
    recent: VecDeque<(Instant, bool)>,
    wrong: u32,
    report: Report,
}

/// Plays a plan.
pub fn play(plan: &Plan) -> Report {
    let start = Instant::now();
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let nodes = (0..plan.nodes)
        .map(|index| Node::start(index as u64, start, &mut random))
        .collect();
    let mut play = Play {
        plan,
        random,
        start,
        now: start,
        nodes,
        store: Store::default(),
        events: BTreeMap::new(),
        sequence: 0,
        active: Vec::new(),
        waiting: plan.troubles.clone(),
        due_calls: 0.0,
        recent: VecDeque::new(),
        wrong: 0,
        report: Report::default(),
    };
    while play.now < start + plan.limit + AFTER {
        play.step();
        play.now += STEP;
    }
    if let Some((outcome, at)) = play.store.outcome {
        match outcome {
            Outcome::Completed => play.report.completed = Some(at - start),
            Outcome::RolledBack => play.report.rolled_back = Some(at - start),
        }
    }
    play.report
}

impl Node {
    fn start(boot: u64, now: Instant, random: &mut fastrand::Rng) -> Self {
        Self {
            member: Member::new(boot, random.f64(), now),
            boot,
            is_up: true,
            is_frozen: false,
            owns: None,
            vacant: None,
            next_look: now + LOOK.mul_f64(random.f64()),
            inbox: VecDeque::new(),
        }
    }

    fn runs(&self) -> bool {
        self.is_up && !self.is_frozen
    }
}

impl Play<'_> {
    fn step(&mut self) {
        self.store.tick(self.now);
        self.disturb();
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.handle(event);
        }
        self.call();
        for node in 0..self.nodes.len() {
            if self.nodes[node].runs() && self.now >= self.nodes[node].next_look {
                self.nodes[node].next_look = self.now + LOOK;
                self.look(node);
            }
        }
    }

    fn owner(&self) -> usize {
        let owns = |node: &Node| node.owns.map(|owned| owned.revision);
        let indices = 0..self.nodes.len();
        let latest = indices.max_by_key(|index| owns(&self.nodes[*index]));
        latest.unwrap_or(0)
    }

    fn disturb(&mut self) {
        let passed = self.now - self.start;
        let (ended, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|active| passed >= active.trouble.until);
        self.active = active;
        let ended: Vec<Active> = ended;
        for active in ended {
            self.end(&active);
        }
        let (begun, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|trouble| passed >= trouble.from);
        self.waiting = waiting;
        let begun: Vec<Trouble> = begun;
        for trouble in begun {
            self.begin(trouble);
        }
        let away = |active: &Active| active.trouble.kind == Kind::StoreAway;
        self.store.is_away = self.active.iter().any(away);
    }

    fn begin(&mut self, trouble: Trouble) {
        let owner = self.owner();
        let nodes = match trouble.kind {
            Kind::OthersKilled => (0..self.nodes.len())
                .filter(|node| *node != owner && node % 2 == 0)
                .collect(),
            Kind::Lossy(_) | Kind::StoreAway => Vec::new(),
            _ => vec![owner],
        };
        for node in &nodes {
            match trouble.kind {
                Kind::OwnerKilled | Kind::OthersKilled => self.nodes[*node].is_up = false,
                Kind::OwnerFrozen => self.nodes[*node].is_frozen = true,
                _ => {}
            }
        }
        self.active.push(Active { trouble, nodes });
    }

    fn end(&mut self, active: &Active) {
        for node in &active.nodes {
            match active.trouble.kind {
                Kind::OwnerKilled | Kind::OthersKilled => {
                    let boot = self.nodes[*node].boot + 1_000;
                    self.nodes[*node] = Node::start(boot, self.now, &mut self.random);
                }
                Kind::OwnerFrozen => {
                    self.nodes[*node].is_frozen = false;
                    for (from, message) in std::mem::take(&mut self.nodes[*node].inbox) {
                        self.take(*node, from, message);
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
            Event::Datagram { from, to, message } => self.take(to, from, message),
            Event::Answered {
                node,
                boot,
                call,
                end,
            } => {
                let node = &mut self.nodes[node];
                if node.is_up && node.boot == boot {
                    node.member.end(call, end, self.now);
                }
            }
        }
    }

    fn take(&mut self, to: usize, from: usize, message: Message) {
        if !self.nodes[to].is_up {
            return;
        }
        let answer = self.nodes[to].member.take(from, message, self.now);
        if let Some(answer) = answer {
            self.send(to, from, answer);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let mut delay = Duration::from_millis(self.random.u64(1..15));
        for active in &self.active {
            let from_struck = active.nodes.contains(&from);
            let to_struck = active.nodes.contains(&to);
            match active.trouble.kind {
                Kind::OwnerMute if from_struck => return,
                Kind::OwnerDeaf if to_struck => return,
                Kind::OwnerCut if from_struck || to_struck => return,
                Kind::OwnerDelayed(by) if from_struck => delay += by,
                Kind::Lossy(part) if self.random.u32(0..1_000) < part => return,
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

    fn call(&mut self) {
        self.due_calls += f64::from(self.plan.rate) * STEP.as_secs_f64();
        while self.due_calls >= 1.0 {
            self.due_calls -= 1.0;
            let node = self.random.usize(0..self.nodes.len());
            if self.nodes[node].runs() {
                self.call_at(node);
            }
        }
    }

    fn call_at(&mut self, index: usize) {
        let (now, passed) = (self.now, self.now - self.start);
        let ended = self.store.known_outcome(now);
        let node = &mut self.nodes[index];
        let new = match ended {
            Some(Outcome::Completed) => true,
            Some(Outcome::RolledBack) => false,
            None => node.member.deal(now),
        };
        let is_old_gone = matches!(self.store.outcome, Some((Outcome::Completed, _)));
        self.report.lost += u32::from(is_old_gone && !new);
        let boot = node.boot;
        let is_within = passed < self.plan.limit;
        self.report.calls += u32::from(is_within);
        self.report.new += u32::from(is_within && new);
        let route = match self.random.u32(0..BAD_ROUTE_EVERY) {
            0 => BAD_ROUTE,
            _ => 1,
        };
        let share = self.note_recent(new);
        let answer = if new {
            self.report.last_new = Some(passed);
            self.plan
                .version
                .answer((route, self.plan.usual), passed, share, &mut self.random)
        } else {
            sound(self.plan.usual, &mut self.random)
        };
        if new {
            self.count_wrong(answer, passed);
        }
        let times = if new && passed < self.plan.version.cold {
            COLD_OVERDUE_TIMES
        } else {
            OVERDUE_TIMES
        };
        let call = self.nodes[index].member.send(Call {
            route,
            new,
            overdue: Some(now + self.plan.usual.mul_f64(times)),
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

    fn count_wrong(&mut self, answer: Answer, passed: Duration) {
        if answer.failed || answer.slow {
            self.wrong += 1;
            if self.wrong == 50 {
                self.report.fiftieth = Some(passed + answer.took);
            }
        }
    }

    /// The new version's part of the calls of the last half second, in a thousand.
    fn note_recent(&mut self, new: bool) -> u16 {
        let now = self.now;
        self.recent.push_back((now, new));
        self.recent
            .retain(|(at, _)| now < *at + Duration::from_millis(500));
        let news = self.recent.iter().filter(|(_, new)| *new).count();
        (news * 1_000 / self.recent.len()) as u16
    }

    fn look(&mut self, index: usize) {
        let now = self.now;
        if self.store.known_outcome(now).is_some() {
            self.nodes[index].owns = None;
            return;
        }
        if !self.nodes[index].member.is_due(now) {
            return;
        }
        self.renew(index);
        let key = self.store.known(now);
        if key.is_none() && self.nodes[index].owns.is_none() {
            self.stand_by(index);
        } else if self.nodes[index].vacant.is_some_and(|since| since <= now) {
            self.nodes[index].vacant = None;
        }
        let standbys: Vec<usize> = (0..STANDBYS.min(self.nodes.len())).collect();
        let owned = self.nodes[index].owns;
        let roster = Roster {
            own: index,
            owner: key.map(|key| key.node),
            standbys: &standbys,
            nodes: self.nodes.len(),
            is_leased: owned.is_some_and(|owned| now < owned.renewed + LEASE),
            has_targets: true,
        };
        let (parcels, action) = self.nodes[index].member.look(&roster, now);
        for (recipient, message) in parcels {
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
        let Some(revision) = owned.map(|owned| owned.revision) else {
            return;
        };
        match action {
            Some(Action::Complete) => {
                if self.store.end(revision, Outcome::Completed, now) {
                    self.nodes[index].member.complete();
                }
            }
            Some(Action::RollBack) => {
                self.store.end(revision, Outcome::RolledBack, now);
            }
            Some(Action::Resign) if self.store.resign(revision, now) => {
                self.nodes[index].owns = None;
                self.nodes[index].member.disown();
                self.nodes[index].vacant = Some(now + RESIGNED_WAIT);
            }
            Some(Action::Resign) | None => {}
        }
    }

    fn renew(&mut self, index: usize) {
        let Some(owned) = self.nodes[index].owns else {
            return;
        };
        if self.now < owned.renewed + RENEWAL_AGE {
            return;
        }
        match self.store.renew(owned.revision, self.now) {
            Some(Ok(_)) => {
                self.nodes[index].owns = Some(Owned {
                    renewed: self.now,
                    ..owned
                });
            }
            Some(Err(())) => {
                self.nodes[index].owns = None;
                self.nodes[index].member.disown();
            }
            None => {}
        }
    }

    fn stand_by(&mut self, index: usize) {
        let now = self.now;
        let since = *self.nodes[index].vacant.get_or_insert(now);
        if now < since + STANDBY_WAIT * index as u32 {
            return;
        }
        if let Some(revision) = self.store.claim(index, now) {
            let (start, deadline) = (self.start, self.start + self.plan.limit);
            let node = &mut self.nodes[index];
            node.member.own(revision, start, deadline);
            node.owns = Some(Owned {
                revision,
                renewed: now,
            });
        }
    }
}
