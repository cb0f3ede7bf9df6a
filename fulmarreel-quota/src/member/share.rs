//! One account at one node.

use super::{Decision, Take, Token, bucket::Bucket, meter::Meter};
use crate::{
    HOLD_TIME, Limit, Time, lifetime,
    message::{Demand, Grant, Held},
};
use std::{collections::VecDeque, time::Duration};

/// How long the answer to a report may take before its requests are asked for again.
const ANSWER_TIME: Duration = Duration::from_millis(40);

/// The time between two reports of an account for which the coordinator has no tokens left.
const DENIED_INTERVAL: Duration = Duration::from_millis(200);

/// The shortest time between two reports of an account that are not regular ones.
const MIN_INTERVAL: Duration = Duration::from_millis(2);

/// Tokens without a rate are given back if no request came for this long.
const IDLE_TIME: Duration = Duration::from_millis(100);

/// An account is forgotten if no request came for this long, when each of its grants has expired.
const FORGET_TIME: Duration = Duration::from_secs(10);

/// The demand from which an account is reported regularly, in requests per second.
const REPORTED_PER_S: f64 = 0.5;

/// The shortest and the longest retry delay that a refused caller is told.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

/// The least rate at which refused callers are told to return, per second.
const MIN_RETURN_PER_S: f64 = 0.5;

/// Multiples of it, without their whole part, spread evenly over 0 to 1.
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
    /// Waiting requests for which tokens were asked for and no answer came yet.
    asked: usize,
    asked_at: Time,
    /// When the coordinator can be asked again after it had too few tokens.
    denied_until: Time,
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
            asked: 0,
            asked_at: Time::ZERO,
            denied_until: Time::ZERO,
            return_at: now,
            refused: 0,
        }
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
        if until <= now || !self.has_hope(self.waiting.len() + 1, until, now) {
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
        self.served.record(now);
        Some(Token {
            account: self.account,
            expires_at: now + HOLD_TIME,
        })
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
            if now < until && self.has_hope(position + 1, until, now) {
                position += 1;
                continue;
            }
            let waiter = self.waiting.remove(position).expect("a waiting request");
            self.asked = self.asked.min(self.waiting.len());
            let result = Err(self.refuse(now));
            decisions.push(Decision {
                id: waiter.id,
                result,
            });
        }
    }

    /// Whether the request at a position of the queue, counted from 1, may get a token by `until`.
    fn has_hope(&self, position: usize, until: Time, now: Time) -> bool {
        let count = u32::try_from(position).unwrap_or(u32::MAX);
        let refill = self.bucket.time_of(count, &self.limit, now);
        self.denied_until <= now || refill.is_some_and(|at| at <= until)
    }

    /// Removes a waiting request whose caller has left.
    pub fn abandon(&mut self, id: W) {
        self.waiting.retain(|waiter| waiter.id != id);
        self.asked = self.asked.min(self.waiting.len());
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

    /// When a decision on a waiting request is due, or the coordinator has to be asked for tokens.
    pub fn due_at(&self, now: Time) -> Option<Time> {
        let until = self.waiting.iter().map(|waiter| waiter.until).min()?;
        let refill = self.bucket.time_of(1, &self.limit, now);
        let refill = refill.unwrap_or(until);
        Some(until.min(refill).min(self.asks_at()))
    }

    /// Whether the coordinator has to be asked for tokens.
    pub fn asks(&self, now: Time) -> bool {
        self.is_waiting() && self.asks_at() <= now
    }

    fn asks_at(&self) -> Time {
        let is_new = self.waiting.len() > self.asked;
        let after = if is_new { MIN_INTERVAL } else { ANSWER_TIME };
        (self.asked_at + after).max(self.denied_until)
    }

    /// Whether the account belongs into the regular report.
    pub fn is_reported(&self, now: Time) -> bool {
        let grant = self.bucket.grant(now);
        grant.is_some_and(|grant| grant.rate_milli > 0)
            || self.demand.per_s(now) >= REPORTED_PER_S
            || self.bucket.tokens() > 0
    }

    pub fn is_forgotten(&self, now: Time) -> bool {
        self.waiting.is_empty() && now.saturating_sub(self.last_request_at) > FORGET_TIME
    }

    /// What to report; tokens that are given back leave the bucket.
    pub fn demand(&mut self, account: u64, now: Time) -> Demand {
        self.bucket.fill(&self.limit, now);
        let is_lost = now >= self.asked_at + ANSWER_TIME;
        let in_flight = if is_lost { 0 } else { self.asked };
        let wanted = self.waiting.len().saturating_sub(in_flight);
        if wanted > 0 {
            self.asked = in_flight + wanted;
            self.asked_at = now;
        }
        let held = self
            .bucket
            .grant(now)
            .map_or_else(Held::default, |grant| Held {
                rate_milli: grant.rate_milli,
                bucket: grant.bucket,
                remaining: self.bucket.expires_at() - now,
            });
        let demand_milli = (self.demand.per_s(now) * 1e3) as u64;
        let ahead = if wanted > 0 {
            let lacking = demand_milli.saturating_sub(held.rate_milli) as f64 / 1e3;
            (lacking * DENIED_INTERVAL.as_secs_f64()) as u32
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
            wanted: u32::try_from(wanted).unwrap_or(u32::MAX),
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
        self.asked = self.asked.saturating_sub(grant.wanted as usize);
        if grant.missing > 0 {
            self.denied_until = now + DENIED_INTERVAL;
        }
    }
}
