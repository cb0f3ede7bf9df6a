//! What the nodes have reported of a move.

use super::{Evidence, Pair, Ramp, calls, sent_to_new};
use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Age from which on a report does not count as contact.
const FRESH: Duration = Duration::from_millis(1_000);

/// Time between two marks; recent is what came since the last mark but one, or since the share changed.
const MARK_INTERVAL: Duration = Duration::from_millis(1_000);

/// What one process of a node says of a move.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Names the process, so that what an earlier one of the node has seen is kept.
    pub boot: u64,
    /// The revision that made the node whose grant is followed the owner; 0 where none is.
    pub owner: u64,
    /// Calls in a thousand that go to the new version.
    pub permille: u16,
    /// The largest share at which the new version is known to have been found sound.
    pub proven: u16,
    /// What the process has seen since the order.
    pub evidence: Evidence,
}

/// Reports by node; a node's later processes are added to its earlier ones.
#[derive(Debug)]
pub struct Pool<A> {
    heard: HashMap<(A, u64), Heard>,
    /// What had been seen at the last two marks, the earlier one first.
    marks: [Evidence; 2],
    next_mark: Instant,
    /// The share at the last mark, in calls in a thousand.
    marked_share: u16,
}

#[derive(Debug)]
struct Heard {
    report: Report,
    fresh_until: Instant,
}

impl<A: Copy + Eq + Hash> Pool<A> {
    /// Nothing was reported yet.
    pub fn new(now: Instant) -> Self {
        Self {
            heard: HashMap::new(),
            marks: [Evidence::new(), Evidence::new()],
            next_mark: now + MARK_INTERVAL,
            marked_share: 0,
        }
    }

    /// Takes in a report, unless it was overtaken; returns whether more calls went wrong.
    pub fn hear(&mut self, from: A, report: Report, now: Instant) -> bool {
        let key = (from, report.boot);
        let known = self.heard.get(&key).map(|known| &known.report.evidence);
        if known.is_some_and(|known| calls(known) > calls(&report.evidence)) {
            return false;
        }
        let is_worse = wrong(&report.evidence) > known.map_or(0, wrong);
        let fresh_until = now + FRESH;
        self.heard.insert(
            key,
            Heard {
                report,
                fresh_until,
            },
        );
        is_worse
    }

    /// What all reports have seen.
    pub fn evidence(&self) -> Evidence {
        let mut sum = Evidence::new();
        for heard in self.heard.values() {
            for (route, seen) in &heard.report.evidence {
                let pair = sum.entry(*route).or_default();
                pair.old.add(seen.old);
                pair.new.add(seen.new);
            }
        }
        sum
    }

    /// What has been seen lately, given all that has been seen and the present share.
    pub fn recent(&mut self, all: &Evidence, permille: u16, now: Instant) -> Evidence {
        if permille != self.marked_share {
            self.marked_share = permille;
            self.next_mark = now + MARK_INTERVAL;
            self.marks = [all.clone(), all.clone()];
        }
        if now >= self.next_mark {
            self.next_mark = now + MARK_INTERVAL;
            self.marks.swap(0, 1);
            self.marks[1].clone_from(all);
        }
        let since = |route: &u64, pair: &Pair| {
            let mark = self.marks[0].get(route).copied().unwrap_or_default();
            (*route, pair.since(mark))
        };
        let pairs = all.iter();
        pairs.map(|(route, pair)| since(route, pair)).collect()
    }

    /// Nodes that were heard lately.
    pub fn reached(&self, now: Instant) -> usize {
        self.fresh(now).count()
    }

    /// Nodes that were heard lately and say that they follow an owner's present share.
    pub fn following(&self, ramp: &Ramp, now: Instant) -> usize {
        let follows =
            |report: &&Report| report.owner == ramp.owner() && report.permille == ramp.permille();
        self.fresh(now).filter(follows).count()
    }

    /// Processes that have called the new version.
    pub fn callers(&self) -> usize {
        let reports = self.heard.values().map(|heard| &heard.report.evidence);
        let has_called = |evidence: &&Evidence| sent_to_new(evidence) > 0;
        reports.filter(has_called).count()
    }

    /// The largest share at which a node knows the new version to have been found sound.
    pub fn proven(&self) -> u16 {
        let proven = self.heard.values().map(|heard| heard.report.proven);
        proven.max().unwrap_or(0)
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &Report> {
        let heard = self.heard.values();
        heard
            .filter(move |heard| now < heard.fresh_until)
            .map(|heard| &heard.report)
    }
}

fn wrong(evidence: &Evidence) -> u32 {
    let pairs = evidence.values();
    pairs.map(|pair| pair.new.suspect()).sum()
}
