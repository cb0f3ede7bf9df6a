//! The players: nodes, a store with one lease, and messages that are delayed or lost.

mod store;

use fastrand::Rng;
use fulmarreel_quota::{
    Limit, Member, Time,
    limit::{Bounds, Quota},
    member::{Decision, Outgoing, Take, Token},
    message::{Answer, Loan, LoanRequest, Report},
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};
use store::{Post, Store};

/// The bounds of the settings' defaults.
pub const BOUNDS: Bounds = Bounds {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

const STEP: Duration = Duration::from_millis(2);
const MAX_WAIT: Duration = Duration::from_millis(100);
const MAX_DEMANDS: usize = 18;
const ACCOUNT: u64 = 7;

pub fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// The most requests of an account that may run in the window of [`BOUNDS`].
pub fn allowed(quota: Quota) -> f64 {
    let regular = quota.rate_per_s * BOUNDS.window.as_secs_f64() + quota.burst;
    regular * (1.0 + BOUNDS.excess) + BOUNDS.slack
}

#[derive(Clone)]
enum Message {
    Report(Report),
    Answer(Answer),
    LoanRequest(LoanRequest),
    Loan(Loan),
}

/// A process and its machine.
struct Node {
    member: Member<u64>,
    boot: u64,
    /// Clumps of requests per second.
    clumps_per_s: f64,
    suspended_until: Time,
    cut_until: Time,
    /// The coordinator that the node believes in.
    follows: Option<usize>,
    /// A coordinator that the node will learn of.
    learns: Option<(usize, Time)>,
}

/// How the players behave.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    pub nodes: usize,
    pub quota: Quota,
    /// Requests that arrive together.
    pub clump: u64,
    /// The chance that a message is lost; a quarter of it is the chance that it arrives twice.
    pub loss: f64,
    /// The chance that a message takes up to 6 s, as one that is sent by a process that is suspended.
    pub late: f64,
    /// The chance that an admitted request is not run in the end.
    pub not_run: f64,
}

pub struct Play {
    pub now: Time,
    rules: Rules,
    limit: Limit,
    rng: Rng,
    nodes: Vec<Node>,
    posts: BTreeMap<usize, Post>,
    store: Store,
    messages: BinaryHeap<Reverse<(Time, u64)>>,
    contents: HashMap<u64, (usize, usize, Message)>,
    /// Admitted requests whose end is not known yet.
    held: Vec<(Time, usize, u64, Token)>,
    next_id: u64,
    pub sent: u64,
    /// When requests ran.
    pub ran: Vec<Time>,
    pub offered: u64,
    pub refused: u64,
    /// Requests that one bucket of the quota's rate and burst would admit.
    pub within_quota: u64,
    bucket: f64,
}

impl Play {
    /// Players without any demand; the first coordinator takes over at once.
    pub fn new(rules: Rules, seed: u64) -> Self {
        let node = |index: usize| Node {
            member: Member::new(index as u64 + 1),
            boot: index as u64 + 1,
            clumps_per_s: 0.0,
            suspended_until: Time::ZERO,
            cut_until: Time::ZERO,
            follows: None,
            learns: None,
        };
        Self {
            now: ms(1_000),
            rules,
            limit: Limit::new(rules.quota, BOUNDS),
            rng: Rng::with_seed(seed),
            nodes: (0..rules.nodes).map(node).collect(),
            posts: BTreeMap::new(),
            store: Store::default(),
            messages: BinaryHeap::new(),
            contents: HashMap::new(),
            held: Vec::new(),
            next_id: 0,
            sent: 0,
            ran: Vec::new(),
            offered: 0,
            refused: 0,
            within_quota: 0,
            bucket: rules.quota.burst,
        }
    }

    /// Sets the requests per second at a node.
    pub fn set_demand(&mut self, node: usize, per_s: f64) {
        self.nodes[node].clumps_per_s = per_s / self.rules.clump as f64;
    }

    /// Kills a node's process; another one starts at once.
    pub fn kill(&mut self, node: usize) {
        let Node {
            boot,
            member,
            follows,
            learns,
            ..
        } = &mut self.nodes[node];
        *boot += 1_000;
        *member = Member::new(*boot);
        (*follows, *learns) = (None, None);
        self.posts.remove(&node);
        self.held.retain(|held| held.1 != node);
    }

    /// Kills the node with the store's lease, if there is one.
    pub fn kill_coordinator(&mut self) {
        let lease = self.store.lease.map(|(lease, _)| lease);
        let holder = self
            .posts
            .iter()
            .find(|(_, post)| Some(post.lease) == lease);
        if let Some(node) = holder.map(|(node, _)| *node) {
            self.kill(node);
        }
    }

    pub fn suspend(&mut self, node: usize, time: Duration) {
        self.nodes[node].suspended_until = self.now + time;
    }

    pub fn cut(&mut self, node: usize, time: Duration) {
        self.nodes[node].cut_until = self.now + time;
    }

    pub fn lose_store(&mut self, time: Duration) {
        self.store.away_until = self.now + time;
    }

    /// The store forgets its lease while the holder believes in it.
    pub fn forget_lease(&mut self) {
        self.store.lease = None;
    }

    /// Plays until a time.
    pub fn run_until(&mut self, end: Time) {
        while self.now < end {
            self.now += STEP;
            let Quota { rate_per_s, burst } = self.rules.quota;
            self.bucket = (self.bucket + rate_per_s * STEP.as_secs_f64()).min(burst);
            self.deliver();
            self.keep_store();
            for node in 0..self.nodes.len() {
                if self.nodes[node].suspended_until <= self.now {
                    self.follow(node);
                    self.arrive(node);
                    self.drive(node);
                }
            }
            self.end_held();
        }
    }

    /// The most requests that ran in any window of this length.
    pub fn most_in(&self, window: Duration) -> usize {
        let mut first = 0;
        let counts = self.ran.iter().enumerate().map(|(last, at)| {
            while self.ran[first] + window < *at {
                first += 1;
            }
            last + 1 - first
        });
        counts.max().unwrap_or(0)
    }

    pub fn limit(&self) -> Limit {
        self.limit
    }

    fn arrive(&mut self, node: usize) {
        let chance = self.nodes[node].clumps_per_s * STEP.as_secs_f64();
        if self.rng.f64() >= chance {
            return;
        }
        for _ in 0..self.rules.clump {
            self.offered += 1;
            if self.bucket >= 1.0 {
                self.bucket -= 1.0;
                self.within_quota += 1;
            }
            self.next_id += 1;
            let (id, until) = (self.next_id, self.now + MAX_WAIT);
            let player = &mut self.nodes[node];
            match player.member.take(ACCOUNT, self.limit, id, until, self.now) {
                Take::Token(token) => self.admit(node, token),
                Take::Wait => {}
                Take::Refused { .. } => self.refused += 1,
            }
        }
    }

    fn admit(&mut self, node: usize, token: Token) {
        if self.rng.f64() < self.rules.not_run {
            let until = self.now + ms(self.rng.u64(0..300));
            self.held.push((until, node, self.nodes[node].boot, token));
        } else {
            assert!(token.is_valid(self.now));
            self.ran.push(self.now);
        }
    }

    fn end_held(&mut self) {
        for (until, node, boot, token) in std::mem::take(&mut self.held) {
            let player = &mut self.nodes[node];
            if self.now < until || self.now < player.suspended_until {
                self.held.push((until, node, boot, token));
            } else if player.boot == boot {
                player.member.give_back(&token, self.now);
            }
        }
    }

    fn drive(&mut self, node: usize) {
        let player = &mut self.nodes[node];
        if player
            .member
            .due_at(self.now)
            .is_none_or(|at| at > self.now)
        {
            return;
        }
        let decisions = player.member.decide(self.now);
        let deputies = deputies(node, self.rules.nodes, self.limit.has_two_deputies());
        let messages = player
            .member
            .messages(MAX_DEMANDS, |_, _| deputies, self.now);
        self.settle(node, decisions);
        let follows = self.nodes[node].follows;
        for message in messages {
            match (message, follows) {
                (Outgoing::Report(report), Some(to)) => {
                    self.send(node, to, Message::Report(report));
                }
                (Outgoing::LoanRequest(to, request), _) => {
                    self.send(node, to, Message::LoanRequest(request));
                }
                (Outgoing::Report(_), None) => {}
            }
        }
    }

    fn settle(&mut self, node: usize, decisions: Vec<Decision<u64>>) {
        for decision in decisions {
            match decision.result {
                Ok(token) => self.admit(node, token),
                Err(_) => self.refused += 1,
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.sent += 1;
        if self.rng.f64() < self.rules.loss {
            return;
        }
        let delay = if self.rng.f64() < self.rules.late {
            self.rng.u64(20..6_000)
        } else {
            self.rng.u64(1..8)
        };
        if self.rng.f64() < self.rules.loss / 4.0 {
            let later = delay + self.rng.u64(0..20);
            self.post(from, to, message.clone(), later);
        }
        self.post(from, to, message, delay);
    }

    fn post(&mut self, from: usize, to: usize, message: Message, delay: u64) {
        self.next_id += 1;
        let arrival = self.now + ms(delay);
        self.messages.push(Reverse((arrival, self.next_id)));
        self.contents.insert(self.next_id, (from, to, message));
    }

    fn deliver(&mut self) {
        let mut kept = Vec::new();
        while let Some(Reverse((at, id))) = self.messages.peek().copied()
            && at <= self.now
        {
            self.messages.pop();
            let (from, to, message) = self.contents.remove(&id).expect("a message");
            let is_cut = |node: usize| self.nodes[node].cut_until > self.now;
            if from != to && (is_cut(from) || is_cut(to)) {
                continue;
            }
            if self.nodes[to].suspended_until > self.now {
                // It waits in the socket.
                kept.push((self.nodes[to].suspended_until, id));
                self.contents.insert(id, (from, to, message));
                continue;
            }
            self.receive(from, to, message);
        }
        self.messages.extend(kept.into_iter().map(Reverse));
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        match message {
            Message::Report(report) => {
                let (limit, now) = (self.limit, self.now);
                let post = self
                    .posts
                    .get_mut(&to)
                    .filter(|post| now < post.valid_until);
                if let Some(post) = post {
                    let answer = post.coordinator.answer(from, &report, |_| Some(limit), now);
                    post.coordinator.end_takeover(0..self.nodes.len(), now);
                    self.send(to, from, Message::Answer(answer));
                }
            }
            Message::Answer(answer) => {
                let player = &mut self.nodes[to];
                player.member.apply(&answer, self.now);
                let decisions = player.member.decide(self.now);
                self.settle(to, decisions);
            }
            Message::LoanRequest(request) => {
                let loan = self.nodes[to].member.lend(&request, self.limit, self.now);
                self.send(to, from, Message::Loan(loan));
            }
            Message::Loan(loan) => {
                let decisions = self.nodes[to].member.accept(&loan, self.now);
                self.settle(to, decisions);
            }
        }
    }
}

/// The account's deputies in the order in which a node asks them.
fn deputies(node: usize, nodes: usize, two: bool) -> [Option<usize>; 2] {
    let all = [1 % nodes, 2 % nodes];
    match all.iter().position(|deputy| *deputy == node) {
        Some(index) => [Some(all[1 - index]), None],
        None if node.is_multiple_of(2) || !two => [Some(all[0]), Some(all[1])],
        None => [Some(all[1]), Some(all[0])],
    }
}
