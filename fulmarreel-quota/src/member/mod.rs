//! A node's side: what it may spend, and what it reports.
//!
//! A request takes a token of its account from a bucket. Where there is none, the coordinator is asked
//! at once and the request waits for a short time. Requests that have not been run give their tokens
//! back.

mod bucket;
mod meter;
mod share;

use crate::{
    Limit, Time,
    message::{Answer, Demand, Report},
};
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

/// The quotas of accounts at one process of a node. `W` identifies a waiting request.
#[derive(Debug)]
pub struct Member<W> {
    /// When the process started, in milliseconds since the Unix epoch.
    boot: u64,
    /// The number of the last report.
    sequence: u32,
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
            shares: HashMap::new(),
            waiting: BTreeSet::new(),
            next_report: Time::ZERO,
        }
    }

    /// Decides on a request of an account that may wait for a token until `until`.
    pub fn take(&mut self, account: u64, limit: Limit, id: W, until: Time, now: Time) -> Take {
        let share = self.shares.entry(account);
        let share = share.or_insert_with(|| Share::new(account, limit, now));
        share.set_limit(limit, now);
        let take = share.take(id, until, now);
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

    /// The reports that are due, each with at most `max_demands` accounts.
    pub fn reports(&mut self, max_demands: usize, now: Time) -> Vec<Report> {
        let demands = if now >= self.next_report && !self.shares.is_empty() {
            self.next_report = now + REPORT_INTERVAL;
            self.regular_demands(now)
        } else {
            self.urgent_demands(now)
        };
        let chunks = demands.chunks(max_demands);
        chunks.map(|demands| self.report(demands, now)).collect()
    }

    /// Makes the next regular report due by `at`, as after a change of the coordinator.
    pub fn report_by(&mut self, at: Time) {
        self.next_report = self.next_report.min(at);
    }

    /// When [`Self::decide`] or [`Self::reports`] has something to do; `None` if only after a request.
    pub fn due_at(&self, now: Time) -> Option<Time> {
        let waiting = self.waiting.iter();
        let urgent = waiting.filter_map(|account| self.shares.get(account)?.due_at(now));
        let regular = (!self.shares.is_empty()).then_some(self.next_report);
        urgent.chain(regular).min()
    }

    /// The number of accounts that requests came of lately.
    pub fn accounts(&self) -> usize {
        self.shares.len()
    }

    fn regular_demands(&mut self, now: Time) -> Vec<Demand> {
        self.shares.retain(|_, share| !share.is_forgotten(now));
        let shares = self.shares.iter_mut();
        let reported = shares.filter(|(_, share)| share.is_reported(now) || share.asks(now));
        reported
            .map(|(account, share)| share.demand(*account, now))
            .collect()
    }

    fn urgent_demands(&mut self, now: Time) -> Vec<Demand> {
        let mut demands = Vec::new();
        for account in &self.waiting {
            if let Some(share) = self.shares.get_mut(account)
                && share.asks(now)
            {
                demands.push(share.demand(*account, now));
            }
        }
        demands
    }

    fn report(&mut self, demands: &[Demand], now: Time) -> Report {
        self.sequence += 1;
        Report {
            boot: self.boot,
            sequence: self.sequence,
            sent_at: now,
            demands: demands.to_vec(),
        }
    }
}
