//! One node's part in a move: it deals out calls by the owner's grant, and counts how they go.

use super::{
    Counts, Evidence, Pair, Report, calls_to_new,
    grant::{Grant, PARTS},
    lower, verdict,
};
use std::time::{Duration, Instant};

/// How long the owner's grant is good.
const GRANT_LIFETIME: Duration = Duration::from_millis(1_000);

/// How long each smaller step is kept once the owner's grant has expired.
const FALL_INTERVAL: Duration = Duration::from_millis(250);

/// Routes that a report names; the others are added up.
const MAX_ROUTES: usize = 30;

/// Stands for the routes that a report does not name.
const OTHER_ROUTES: u64 = 0;

/// How a target dealt with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Hash of the route's name.
    pub route: u64,
    /// Whether the target runs the new version.
    pub new: bool,
    /// Whether the call failed.
    pub failed: bool,
    /// Whether it was answered far later than usual.
    pub slow: bool,
}

/// One node's part in a move.
#[derive(Debug)]
pub struct Agent {
    boot: u64,
    /// Deals calls out by the share.
    credit: f64,
    grant: Option<Told>,
    /// The largest share at which the new version is known to have been found sound.
    proven: u16,
    standing: Standing,
    own: Evidence,
    urgent: bool,
}

/// A grant that a node follows or has followed.
#[derive(Debug, Clone, Copy)]
pub struct Told {
    /// The grant.
    pub grant: Grant,
    /// When it came.
    pub since: Instant,
    /// When it expires or has expired.
    pub expires: Instant,
}

/// What a node holds of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Nothing speaks against it.
    Open,
    /// This node's own calls do.
    StoppedHere,
    /// The calls of all nodes do.
    Bad,
    /// It has taken over, and the old one may be gone.
    Completed,
}

impl Agent {
    /// The part of a process that has heard nothing; `credit` is a random part of a call.
    pub fn new(boot: u64, credit: f64) -> Self {
        Self {
            boot,
            credit,
            grant: None,
            proven: 0,
            standing: Standing::Open,
            own: Evidence::new(),
            urgent: false,
        }
    }

    /// Calls in a thousand that go to the new version now.
    ///
    /// Without a newer grant the share falls step by step to none.
    pub fn permille(&self, now: Instant) -> u16 {
        match self.standing {
            Standing::Open => self.told_permille(now),
            Standing::StoppedHere | Standing::Bad => 0,
            Standing::Completed => PARTS,
        }
    }

    fn told_permille(&self, now: Instant) -> u16 {
        let Some(told) = self.grant else {
            return 0;
        };
        let mut permille = told.grant.permille;
        let mut until = told.expires;
        while permille > 0 && now >= until {
            permille = lower(permille);
            until += FALL_INTERVAL;
        }
        permille
    }

    /// The grant that was followed last.
    pub fn told(&self) -> Option<&Told> {
        self.grant.as_ref()
    }

    /// Whether a call goes to the new version.
    pub fn deal(&mut self, now: Instant) -> bool {
        self.credit += f64::from(self.permille(now)) / f64::from(PARTS);
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Takes in the owner's grant; one that was overtaken changes nothing.
    pub fn follow(&mut self, grant: Grant, now: Instant) {
        let known = self.grant.map(|told| told.grant);
        if known.is_some_and(|known| !grant.replaces(&known)) {
            return;
        }
        self.urgent |= known.is_none_or(|known| known.permille != grant.permille);
        self.proven = self.proven.max(grant.proven);
        self.grant = Some(Told {
            grant,
            since: now,
            expires: now + GRANT_LIFETIME,
        });
    }

    /// Counts a call; returns whether this node stops using the new version on its own evidence.
    pub fn record(&mut self, call: Call) -> bool {
        let pair = self.own.entry(call.route).or_default();
        let counts = if call.new {
            &mut pair.new
        } else {
            &mut pair.old
        };
        counts.add(Counts {
            calls: 1,
            failed: u32::from(call.failed),
            slow: u32::from(call.slow),
        });
        self.urgent |= call.new && (call.failed || call.slow);
        if self.standing != Standing::Open || verdict(&self.own).is_none() {
            return false;
        }
        self.standing = Standing::StoppedHere;
        true
    }

    /// Takes in that the version is bad; returns whether that is news.
    pub fn condemn(&mut self) -> bool {
        let is_news = matches!(self.standing, Standing::Open | Standing::StoppedHere);
        if is_news {
            self.standing = Standing::Bad;
        }
        is_news
    }

    /// Takes in that the version has taken over.
    pub fn complete(&mut self) {
        self.standing = Standing::Completed;
    }

    /// Whether the version is known to have taken over.
    pub fn is_completed(&self) -> bool {
        self.standing == Standing::Completed
    }

    /// Whether the version is known to be bad by the calls of all nodes.
    pub fn is_condemned(&self) -> bool {
        self.standing == Standing::Bad
    }

    /// Whether there is something to report that does not bear waiting, since this was last asked.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// What this node reports.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            boot: self.boot,
            owner: self.grant.map_or(0, |told| told.grant.owner),
            permille: self.permille(now),
            proven: self.proven,
            evidence: self.short_evidence(),
        }
    }

    /// Whether this node has called the new version.
    pub fn has_called(&self) -> bool {
        calls_to_new(&self.own) > 0
    }

    /// The evidence by route, of those where most calls to the new version went wrong.
    fn short_evidence(&self) -> Evidence {
        let mut routes: Vec<(u64, Pair)> =
            self.own.iter().map(|(key, pair)| (*key, *pair)).collect();
        routes.sort_by_key(|(route, pair)| {
            let wrong = pair.new.failed + pair.new.slow;
            (std::cmp::Reverse((wrong, pair.new.calls)), *route)
        });
        let mut evidence = Evidence::new();
        for (index, (route, pair)) in routes.into_iter().enumerate() {
            let route = if index < MAX_ROUTES {
                route
            } else {
                OTHER_ROUTES
            };
            let sum = evidence.entry(route).or_default();
            sum.old.add(pair.old);
            sum.new.add(pair.new);
        }
        evidence
    }
}
