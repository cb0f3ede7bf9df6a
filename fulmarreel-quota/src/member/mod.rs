//! A node's side: what it may spend, and what it reports.
//!
//! A request takes a token of its account from a bucket. Where there is none, a deputy or the coordinator
//! is asked at once, and the request waits for a short time. A request that was not run gives its token
//! back.

mod asking;
mod bucket;
mod meter;
mod share;

use crate::{
    Limit, Time,
    message::{Answer, Demand, Loan, LoanRequest, Report},
};
use asking::Source;
use share::Share;
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// How often a node reports all accounts that it sees demand of.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The right to run one request.
#[derive(Debug)]
pub struct Token {
    account: u64,
    expires_at: Time,
}

impl Token {
    /// Hash of the account's name.
    pub fn account(&self) -> u64 {
        self.account
    }

    /// Whether the request may still be sent to a target.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at
    }
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Take {
    /// It may run.
    Token(Token),
    /// It waits for a [`Decision`].
    Wait,
    /// Its account is over its quota.
    Refused {
        /// When the caller should try again.
        retry_after: Duration,
    },
}

/// What becomes of a request that has waited.
#[derive(Debug)]
pub struct Decision<W> {
    /// The request.
    pub id: W,
    /// A token, or after which time the caller should try again.
    pub result: Result<Token, Duration>,
}

/// What a node sends.
#[derive(Debug)]
pub enum Outgoing<N> {
    /// To the coordinator.
    Report(Report),
    /// To a deputy.
    LoanRequest(N, LoanRequest),
}

/// The quotas of accounts at one process of a node. `W` identifies a waiting request.
#[derive(Debug)]
pub struct Member<W> {
    /// When the process started, in milliseconds since the Unix epoch.
    boot: u64,
    /// The number of the last report or question.
    sequence: u32,
    /// Whether no grant of a coordinator has arrived since the start of the process.
    never_granted: bool,
    shares: HashMap<u64, Share<W>>,
    /// The accounts with waiting requests.
    waiting: BTreeSet<u64>,
    next_report: Time,
}

impl<W: Copy + PartialEq> Member<W> {
    /// A process that started at `boot` and holds no grant.
    pub fn new(boot: u64) -> Self {
        Self {
            boot,
            sequence: 0,
            never_granted: true,
            shares: HashMap::new(),
            waiting: BTreeSet::new(),
            next_report: Time::ZERO,
        }
    }

    /// Decides on a request of an account that may wait for a token until `until`.
    pub fn take(&mut self, account: u64, limit: Limit, id: W, until: Time, now: Time) -> Take {
        let take = self.share(account, limit, now).take(id, until, now);
        if matches!(take, Take::Wait) {
            self.waiting.insert(account);
        }
        take
    }

    /// Takes a token for a request that may have run already and is sent again; never waits.
    pub fn take_again(&mut self, account: u64, limit: Limit, now: Time) -> Option<Token> {
        let share = self.shares.get_mut(&account)?;
        share.set_limit(limit, now);
        share.take_now(now)
    }

    /// Puts back the token of a request that was not run.
    pub fn give_back(&mut self, token: &Token, now: Time) {
        if let Some(share) = self.shares.get_mut(&token.account) {
            share.give_back(token, now);
        }
    }

    /// Removes a waiting request whose caller has left.
    pub fn abandon(&mut self, account: u64, id: W) {
        if let Some(share) = self.shares.get_mut(&account) {
            share.abandon(id);
        }
    }

    /// Applies the coordinator's answer to a report of this process.
    pub fn apply(&mut self, answer: &Answer, now: Time) {
        if answer.boot != self.boot {
            return;
        }
        self.never_granted &= answer.grants.is_empty();
        for grant in &answer.grants {
            if let Some(share) = self.shares.get_mut(&grant.account) {
                share.apply(answer.sequence, answer.sent_at, *grant, now);
            }
        }
    }

    /// Decides on waiting requests.
    pub fn decide(&mut self, now: Time) -> Vec<Decision<W>> {
        let mut decisions = Vec::new();
        for account in &self.waiting {
            if let Some(share) = self.shares.get_mut(account) {
                share.decide(now, &mut decisions);
            }
        }
        let shares = &self.shares;
        self.waiting
            .retain(|account| shares.get(account).is_some_and(Share::is_waiting));
        decisions
    }

    /// The messages that are due. Each report has at most `max_demands` accounts. `deputies` tells the
    /// nodes that lend tokens of an account, in the order in which this node asks them.
    pub fn messages<N: Copy>(
        &mut self,
        max_demands: usize,
        deputies: impl Fn(u64, &Limit) -> [Option<N>; 2],
        now: Time,
    ) -> Vec<Outgoing<N>> {
        let mut messages = Vec::new();
        let mut demands = self.questions(deputies, &mut messages, now);
        if now >= self.next_report && !self.shares.is_empty() {
            self.next_report = now + REPORT_INTERVAL;
            demands.extend(self.regular_demands(&demands, now));
        }
        for demands in demands.chunks(max_demands) {
            let report = self.new_report(demands.to_vec(), now);
            messages.push(Outgoing::Report(report));
        }
        messages
    }

    /// The report by which a process to which no grant was ever made tells this to a new coordinator, also
    /// without demand; `None` for other processes.
    pub fn introduction(&mut self, now: Time) -> Option<Report> {
        self.never_granted.then(|| self.new_report(Vec::new(), now))
    }

    /// Lends tokens to another node.
    pub fn lend(&mut self, request: &LoanRequest, limit: Limit, now: Time) -> Loan {
        let share = self.share(request.account, limit, now);
        let tokens = share.lend(request.wanted, now);
        Loan {
            request: *request,
            tokens,
        }
    }

    /// Admits waiting requests with tokens that a deputy has lent.
    pub fn accept(&mut self, loan: &Loan, now: Time) -> Vec<Decision<W>> {
        let mut decisions = Vec::new();
        let share = self.shares.get_mut(&loan.request.account);
        if let Some(share) = share.filter(|_| loan.request.boot == self.boot) {
            share.accept(loan, now, &mut decisions);
        }
        decisions
    }

    /// Makes the next regular report due by `at`, as after a change of the coordinator.
    pub fn report_by(&mut self, at: Time) {
        self.next_report = self.next_report.min(at);
    }

    /// When [`Self::decide`] or [`Self::messages`] has something to do; `None` if only after a request.
    pub fn due_at(&self, now: Time) -> Option<Time> {
        let waiting = self.waiting.iter();
        let urgent = waiting.filter_map(|account| self.shares.get(account)?.due_at(now));
        let regular = (!self.shares.is_empty()).then_some(self.next_report);
        urgent.chain(regular).min()
    }

    /// The number of accounts that had requests lately.
    pub fn accounts(&self) -> usize {
        self.shares.len()
    }

    /// Asks deputies for tokens; returns what the coordinator is asked for.
    fn questions<N: Copy>(
        &mut self,
        deputies: impl Fn(u64, &Limit) -> [Option<N>; 2],
        messages: &mut Vec<Outgoing<N>>,
        now: Time,
    ) -> Vec<Demand> {
        let mut demands = Vec::new();
        for account in &self.waiting {
            let Some(share) = self.shares.get_mut(account) else {
                continue;
            };
            let nodes = deputies(*account, share.limit());
            let source = share.source(|index| nodes[index].is_some(), now);
            match source {
                Some(Source::Coordinator) => demands.push(share.demand(*account, now)),
                Some(Source::Deputy(index)) => {
                    let (wanted, node) = (share.ask_deputy(now), nodes[index]);
                    let Some(node) = node.filter(|_| wanted > 0) else {
                        continue;
                    };
                    self.sequence += 1;
                    let request = LoanRequest {
                        boot: self.boot,
                        sequence: self.sequence,
                        sent_at: now,
                        account: *account,
                        wanted,
                    };
                    messages.push(Outgoing::LoanRequest(node, request));
                }
                None => {}
            }
        }
        demands
    }

    /// The demands of the regular report, without those that are reported anyway.
    fn regular_demands(&mut self, reported: &[Demand], now: Time) -> Vec<Demand> {
        self.shares.retain(|_, share| !share.is_forgotten(now));
        let is_new = |account: &u64| reported.iter().all(|demand| demand.account != *account);
        let shares = self.shares.iter_mut();
        shares
            .filter(|(account, share)| share.is_reported(now) && is_new(account))
            .map(|(account, share)| share.demand(*account, now))
            .collect()
    }

    fn new_report(&mut self, demands: Vec<Demand>, now: Time) -> Report {
        self.sequence += 1;
        Report {
            boot: self.boot,
            sequence: self.sequence,
            sent_at: now,
            never_granted: self.never_granted,
            demands,
        }
    }

    fn share(&mut self, account: u64, limit: Limit, now: Time) -> &mut Share<W> {
        let share = self.shares.entry(account);
        let share = share.or_insert_with(|| Share::new(account, limit, now));
        share.set_limit(limit, now);
        share
    }
}
