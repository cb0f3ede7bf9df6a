//! One node's part in a move: it deals out calls by the owner's grant, and counts how they go.

use super::{
    Counts, Evidence, Pair, Report,
    grant::{Grant, PARTS},
    lower, sent_to_new, verdict,
};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// How long the owner's grant is good.
const GRANT_LIFETIME: Duration = Duration::from_millis(1_000);

/// How long each smaller step is kept once the owner's grant has expired.
const FALL_INTERVAL: Duration = Duration::from_millis(250);

/// Routes that a report names; the others are added up.
const MAX_ROUTES: usize = 30;

/// Stands for the routes that a report does not name.
const OTHER_ROUTES: u64 = 0;

/// A call that is sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Hash of the route's name.
    pub route: u64,
    /// Whether the target runs the new version.
    pub new: bool,
    /// When it takes longer than nearly all calls do, if that is known.
    pub overdue: Option<Instant>,
}

impl Call {
    fn is_overdue(&self, now: Instant) -> bool {
        self.overdue.is_some_and(|overdue| now >= overdue)
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The target answered it.
    Answered {
        /// Whether far later than usual.
        slow: bool,
    },
    /// The target failed it.
    Failed,
    /// It did not reach the target.
    NotRun,
    /// It may have reached the target, and how that dealt with it is not known: its caller left, or a
    /// connection was lost.
    Unknown,
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
    /// Calls that have not ended, by their number.
    open: HashMap<u64, Call>,
    next_call: u64,
    /// Open calls to the new version that were overdue when that was last asked.
    overdue: usize,
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
            open: HashMap::new(),
            next_call: 0,
            overdue: 0,
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

    /// Takes in that a call is sent; returns the number by which its end is told.
    pub fn send(&mut self, call: Call) -> u64 {
        let number = self.next_call;
        self.next_call += 1;
        self.open.insert(number, call);
        number
    }

    /// Takes in how a call ended; returns whether this node stops using the new version on its own
    /// evidence.
    pub fn end(&mut self, number: u64, end: End, now: Instant) -> bool {
        let Some(call) = self.open.remove(&number) else {
            return false;
        };
        let is_overdue = call.is_overdue(now);
        let (failed, slow) = match end {
            End::NotRun => return false,
            End::Answered { slow } => (false, slow),
            End::Failed => (true, false),
            // A caller that left after so long a wait tells as much as a late answer.
            End::Unknown if is_overdue => (false, true),
            End::Unknown => {
                self.counts(call).lost += 1;
                return false;
            }
        };
        self.counts(call).add(Counts {
            calls: 1,
            failed: u32::from(failed),
            slow: u32::from(slow),
            ..Counts::default()
        });
        self.urgent |= call.new && (failed || slow);
        if self.standing != Standing::Open || verdict(&self.own).is_none() {
            return false;
        }
        self.standing = Standing::StoppedHere;
        true
    }

    fn counts(&mut self, call: Call) -> &mut Counts {
        let pair = self.own.entry(call.route).or_default();
        if call.new {
            &mut pair.new
        } else {
            &mut pair.old
        }
    }

    /// What this node has seen, with the calls that are open now.
    fn seen(&self, now: Instant) -> Evidence {
        let mut seen = self.own.clone();
        for call in self.open.values() {
            let pair = seen.entry(call.route).or_default();
            let counts = if call.new {
                &mut pair.new
            } else {
                &mut pair.old
            };
            counts.open += 1;
            counts.overdue += u32::from(call.is_overdue(now));
        }
        seen
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
    pub fn take_urgent(&mut self, now: Instant) -> bool {
        let overdue = self
            .open
            .values()
            .filter(|call| call.new && call.is_overdue(now));
        let overdue = overdue.count();
        let more = overdue > self.overdue;
        self.overdue = overdue;
        std::mem::take(&mut self.urgent) | more
    }

    /// What this node reports.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            boot: self.boot,
            owner: self.grant.map_or(0, |told| told.grant.owner),
            permille: self.permille(now),
            proven: self.proven,
            evidence: self.short_evidence(now),
        }
    }

    /// Whether this node has called the new version.
    pub fn has_called(&self) -> bool {
        sent_to_new(&self.own) > 0 || self.open.values().any(|call| call.new)
    }

    /// The evidence by route, of those where most calls to the new version went wrong.
    fn short_evidence(&self, now: Instant) -> Evidence {
        let mut routes: Vec<(u64, Pair)> = self.seen(now).into_iter().collect();
        routes.sort_by_key(|(route, pair)| {
            let wrong = pair.new.suspect();
            (std::cmp::Reverse((wrong, pair.new.sent())), *route)
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
