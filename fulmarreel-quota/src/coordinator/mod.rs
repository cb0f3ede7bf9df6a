//! The coordinator's side: how the quotas of accounts are shared by the nodes.
//!
//! A coordinator knows of each grant that it has made until the grant has expired or the node has
//! reported a later one. It starts without knowledge of what its predecessor granted. During the
//! *takeover*, while such grants may be in force, it renews those that nodes report to hold, and otherwise
//! gives out tokens at a small rate that is part of the quota's allowance ([`Limit::takeover_per_s`]).

mod book;
mod pool;

use crate::{
    GRANT_LIFETIME, Limit, Time,
    message::{Answer, Report},
};
use pool::Pool;
use std::{
    collections::{HashMap, HashSet},
    hash::Hash,
    time::Duration,
};

/// How often accounts without demand are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// The quotas of all accounts at their coordinator. `N` identifies a node.
#[derive(Debug)]
pub struct Coordinator<N> {
    taken_over_at: Time,
    /// Until when the predecessor may make grants.
    predecessor_ends: Time,
    /// Until when grants of the predecessor may be in force.
    takeover_ends: Time,
    /// Nodes that reported during the takeover that no grant was ever made to their process.
    restarted: HashSet<N>,
    pools: HashMap<u64, Pool<N>>,
    next_sweep: Time,
}

impl<N: Copy + Eq + Hash> Coordinator<N> {
    /// A coordinator that takes over at `now`; its predecessor makes grants until `predecessor_ends` at
    /// the latest.
    pub fn new(predecessor_ends: Time, now: Time) -> Self {
        Self {
            taken_over_at: now,
            predecessor_ends: predecessor_ends.max(now),
            takeover_ends: predecessor_ends.max(now) + GRANT_LIFETIME,
            restarted: HashSet::new(),
            pools: HashMap::new(),
            next_sweep: now + SWEEP_INTERVAL,
        }
    }

    /// Answers a report of a node. `limits` tells the limit of an account, `None` if it has none.
    pub fn answer(
        &mut self,
        node: N,
        report: &Report,
        limits: impl Fn(u64) -> Option<Limit>,
        now: Time,
    ) -> Answer {
        self.sweep(now);
        // Before the predecessor has ended, it may still answer a report of the process.
        if report.never_granted && now >= self.predecessor_ends && now < self.takeover_ends {
            self.restarted.insert(node);
        }
        let mut grants = Vec::with_capacity(report.demands.len());
        for demand in &report.demands {
            let Some(limit) = limits(demand.account) else {
                continue;
            };
            let pool = self.pools.entry(demand.account);
            let (taken_over_at, until) = (self.taken_over_at, self.takeover_ends);
            let pool = pool.or_insert_with(|| Pool::new(limit, taken_over_at, until));
            pool.advance(limit, now);
            grants.extend(pool.answer(node, report.boot, report.sequence, demand, now));
        }
        Answer {
            boot: report.boot,
            sequence: report.sequence,
            sent_at: report.sent_at,
            grants,
        }
    }

    /// Ends the takeover if all of `nodes` have reported that no grant was ever made to their process, as
    /// after a loss of power everywhere: the grants of the predecessor ended with the former processes.
    /// `nodes` have to be all nodes that it may have made grants to.
    pub fn end_takeover(&mut self, mut nodes: impl Iterator<Item = N>, now: Time) {
        let is_taking_over = now >= self.predecessor_ends && now < self.takeover_ends;
        if !is_taking_over || self.restarted.is_empty() {
            return;
        }
        if !nodes.all(|node| self.restarted.contains(&node)) {
            return;
        }
        self.takeover_ends = now;
        self.restarted = HashSet::new();
        for pool in self.pools.values_mut() {
            pool.end_takeover(now);
        }
    }

    /// The number of accounts of which it keeps state.
    pub fn accounts(&self) -> usize {
        self.pools.len()
    }

    /// Drops accounts without demand, once their buckets would be full.
    fn sweep(&mut self, now: Time) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.pools.retain(|_, pool| !pool.is_idle(now));
        }
    }
}
