//! One account at one node.

use super::{
    Decision, Take, Token,
    asking::{Asking, DENIED_TIME, Source},
    bucket::Bucket,
    meter::Meter,
};
use crate::{
    HOLD_TIME, LOAN_LIFETIME, Limit, Time, lifetime,
    message::{Demand, Grant, Held, Loan, LoanRequest},
};
use std::{collections::VecDeque, time::Duration};

/// Tokens that were granted without a rate are given back if no request came for this long.
const IDLE_TIME: Duration = Duration::from_millis(100);

/// The most tokens that a node lends at once.
const MAX_LENT: u32 = 1_000;

/// An account is forgotten if no request came for this long; each of its grants has expired by then.
const FORGET_TIME: Duration = Duration::from_secs(10);

/// The shortest and the longest retry delay that a refused caller is told.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

/// The least rate at which refused callers are told to return, per second.
const MIN_RETURN_PER_S: f64 = 0.5;

/// The fractional part of the golden ratio; the fractional parts of its multiples spread evenly over 0 to 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_75;

/// One account at one node. `W` identifies a waiting request.
#[derive(Debug)]
pub(super) struct Share<W> {
    account: u64,
    limit: Limit,
    bucket: Bucket,
    /// The number of the last report whose answer was applied.
    applied: u32,
    demand: Meter,
    served: Meter,
    last_request_at: Time,
    /// Requests that wait for a token, in the order of their arrival.
    waiting: VecDeque<Waiter<W>>,
    asking: Asking,
    /// The number of the last question that a deputy has answered.
    last_loan: u32,
    /// The time that the next refused caller is told to return at.
    return_at: Time,
    refused: u32,
}

/// A request that waits for a token.
#[derive(Debug)]
struct Waiter<W> {
    id: W,
    until: Time,
}

impl<W: Copy + PartialEq> Share<W> {
    pub fn new(account: u64, limit: Limit, now: Time) -> Self {
        Self {
            account,
            limit,
            bucket: Bucket::default(),
            applied: 0,
            demand: Meter::default(),
            served: Meter::default(),
            last_request_at: now,
            waiting: VecDeque::new(),
            asking: Asking::new(),
            last_loan: 0,
            return_at: now,
            refused: 0,
        }
    }

    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    pub fn set_limit(&mut self, limit: Limit, now: Time) {
        if limit != self.limit {
            self.bucket.fill(&self.limit, now);
            self.limit = limit;
        }
    }

    /// Admits, refuses or queues a request that may wait until `until`.
    pub fn take(&mut self, id: W, until: Time, now: Time) -> Take {
        self.demand.record(now);
        self.last_request_at = now;
        if self.waiting.is_empty()
            && let Some(token) = self.take_now(now)
        {
            return Take::Token(token);
        }
        if until <= now || !self.may_get_token(self.waiting.len() + 1, until, now) {
            let retry_after = self.refuse(now);
            return Take::Refused { retry_after };
        }
        self.waiting.push_back(Waiter { id, until });
        Take::Wait
    }

    /// Takes a token if there is one.
    pub fn take_now(&mut self, now: Time) -> Option<Token> {
        self.bucket.fill(&self.limit, now);
        if !self.bucket.take(1) {
            return None;
        }
        Some(self.token(now))
    }

    /// Decides on the waiting requests that can be admitted, that have waited long enough, or that can
    /// get no token in time.
    pub fn decide(&mut self, now: Time, decisions: &mut Vec<Decision<W>>) {
        while !self.waiting.is_empty()
            && let Some(token) = self.take_now(now)
        {
            let waiter = self.waiting.pop_front().expect("a waiting request");
            let id = waiter.id;
            decisions.push(Decision {
                id,
                result: Ok(token),
            });
        }
        let mut position = 0;
        while let Some(waiter) = self.waiting.get(position) {
            let until = waiter.until;
            if now < until && self.may_get_token(position + 1, until, now) {
                position += 1;
                continue;
            }
            let waiter = self.waiting.remove(position).expect("a waiting request");
            self.asking.forget_beyond(self.waiting.len());
            let result = Err(self.refuse(now));
            decisions.push(Decision {
                id: waiter.id,
                result,
            });
        }
    }

    /// Whether the request at a position of the queue, counted from 1, may get a token by `until`.
    fn may_get_token(&self, position: usize, until: Time, now: Time) -> bool {
        let count = u32::try_from(position).unwrap_or(u32::MAX);
        let refill = self.bucket.time_of(count, &self.limit, now);
        self.asking.may_be_answered(now) || refill.is_some_and(|at| at <= until)
    }

    /// Removes a waiting request whose caller has left.
    pub fn abandon(&mut self, id: W) {
        self.waiting.retain(|waiter| waiter.id != id);
        self.asking.forget_beyond(self.waiting.len());
    }

    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub fn give_back(&mut self, token: &Token, now: Time) {
        if token.is_valid(now) {
            self.bucket.put_back(&self.limit, now);
        }
    }

    /// Counts a refused request; returns when its caller should try again. Callers are told to return
    /// one after another, at the rate at which requests are served here.
    pub fn refuse(&mut self, now: Time) -> Duration {
        let [min, max] = RETRY_AFTER;
        let per_s = self.served.per_s(now).max(MIN_RETURN_PER_S);
        self.return_at = self.return_at.max(now) + Duration::from_secs_f64(1.0 / per_s);
        let delay = self.return_at - now;
        if delay <= max {
            return delay.max(min);
        }
        self.return_at = now + max;
        self.refused = self.refused.wrapping_add(1);
        max.mul_f64(0.5 + 0.5 * (f64::from(self.refused) * GOLDEN_RATIO).fract())
    }

    /// When a decision on a waiting request or a question is due.
    pub fn due_at(&self, now: Time) -> Option<Time> {
        let until = self.waiting.iter().map(|waiter| waiter.until).min()?;
        let refill = self.bucket.time_of(1, &self.limit, now);
        let refill = refill.unwrap_or(until);
        let question = self.asking.due_at(self.waiting.len());
        Some(until.min(refill).min(question))
    }

    /// Whom to ask for tokens now.
    pub fn source(&mut self, has_deputy: impl Fn(usize) -> bool, now: Time) -> Option<Source> {
        if self.waiting.is_empty() || self.asking.due_at(self.waiting.len()) > now {
            return None;
        }
        let has_high_demand = self.has_high_demand(now);
        Some(self.asking.choose(has_high_demand, has_deputy, now))
    }

    /// Records a question to a deputy; returns for how many tokens it asks.
    pub fn ask_deputy(&mut self, now: Time) -> u32 {
        self.asking.ask(self.waiting.len(), now)
    }

    /// Lends tokens to another node. Its requests count as demand of this one, so that it is granted a
    /// rate for them.
    pub fn lend(&mut self, wanted: u32, now: Time) -> u32 {
        self.last_request_at = now;
        let wanted = wanted.min(MAX_LENT);
        self.bucket.fill(&self.limit, now);
        for _ in 0..wanted {
            self.demand.record(now);
        }
        let tokens = wanted.min(self.bucket.tokens());
        self.bucket.take(tokens);
        tokens
    }

    /// Admits waiting requests with tokens that a deputy has lent; tokens beyond those are lost.
    pub fn accept(&mut self, loan: &Loan, now: Time, decisions: &mut Vec<Decision<W>>) {
        let LoanRequest {
            sequence,
            sent_at,
            wanted,
            ..
        } = loan.request;
        let is_late = now < sent_at || now >= sent_at + LOAN_LIFETIME;
        if is_late || sequence <= self.last_loan {
            return;
        }
        self.last_loan = sequence;
        let missing = wanted.saturating_sub(loan.tokens);
        let by = Source::Deputy(0);
        self.asking.answered(by, wanted, missing, now);
        for _ in 0..loan.tokens {
            let Some(waiter) = self.waiting.pop_front() else {
                return;
            };
            let id = waiter.id;
            let result = Ok(self.token(now));
            decisions.push(Decision { id, result });
        }
    }

    /// Whether this node sees enough demand to be granted a rate.
    fn has_high_demand(&self, now: Time) -> bool {
        let dense = self.limit.high_demand_milli() as f64 / 1e3;
        let has_rate = self
            .bucket
            .grant(now)
            .is_some_and(|grant| grant.rate_milli > 0);
        let least = if has_rate { dense / 2.0 } else { dense };
        self.demand.per_s(now) >= least
    }

    /// Whether the account belongs into the regular report.
    pub fn is_reported(&self, now: Time) -> bool {
        let grant = self.bucket.grant(now);
        grant.is_some_and(|grant| grant.rate_milli > 0)
            || self.has_high_demand(now)
            || self.bucket.tokens() > 0
    }

    fn token(&mut self, now: Time) -> Token {
        self.served.record(now);
        Token {
            account: self.account,
            expires_at: now + HOLD_TIME,
        }
    }

    pub fn is_forgotten(&self, now: Time) -> bool {
        self.waiting.is_empty() && now.saturating_sub(self.last_request_at) > FORGET_TIME
    }

    /// What to report; tokens that are given back leave the bucket.
    pub fn demand(&mut self, account: u64, now: Time) -> Demand {
        self.bucket.fill(&self.limit, now);
        let wanted = match self.asking.source() {
            Source::Coordinator => self.asking.ask(self.waiting.len(), now),
            Source::Deputy(_) => 0,
        };
        let held = self
            .bucket
            .grant(now)
            .map_or_else(Held::default, |grant| Held {
                rate_milli: grant.rate_milli,
                bucket: grant.bucket,
                remaining: self.bucket.expires_at() - now,
            });
        // The demand of other nodes is reported by the deputies that they ask.
        let demand_milli = if self.has_high_demand(now) {
            (self.demand.per_s(now) * 1e3) as u64
        } else {
            0
        };
        let ahead = if wanted > 0 {
            let lacking = demand_milli.saturating_sub(held.rate_milli) as f64 / 1e3;
            (lacking * DENIED_TIME.as_secs_f64()) as u32
        } else {
            0
        };
        let is_idle = now.saturating_sub(self.last_request_at) >= IDLE_TIME;
        let returned = if held.rate_milli == 0 && is_idle {
            self.bucket.tokens()
        } else {
            0
        };
        self.bucket.take(returned);
        Demand {
            account,
            rate_milli: demand_milli,
            wanted,
            ahead,
            returned,
            applied: self.applied,
            held,
        }
    }

    /// Applies a grant that answers the report with this number, unless it is late.
    pub fn apply(&mut self, sequence: u32, sent_at: Time, grant: Grant, now: Time) {
        let expires_at = sent_at + lifetime(grant.rate_milli);
        if sequence <= self.applied || now < sent_at || now >= expires_at {
            return;
        }
        self.applied = sequence;
        self.bucket.apply(grant, expires_at, &self.limit, now);
        let by = Source::Coordinator;
        self.asking.answered(by, grant.wanted, grant.missing, now);
    }
}
