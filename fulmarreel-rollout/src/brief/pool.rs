//! Reports of all nodes on a rollout.

use super::{CountsByRoute, Ramp, VersionCounts, ended_calls, sent_calls_to_new};
use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Age from which on a node's last report no longer counts as contact.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Time between two snapshots. Evidence is recent if it came after the older of the two kept
/// snapshots, or after the last change of the share.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(1_000);

/// What one process of a node reports on a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Identifies the process, so that the evidence of a node's earlier process is kept when it
    /// restarts.
    pub boot: u64,
    /// Store revision at which the owner whose grant is followed became the owner; 0 without a
    /// grant.
    pub owner_revision: u64,
    /// Share of calls that go to the new version, in permille.
    pub permille: u16,
    /// The largest share at which the new version is known to have been found good, in permille.
    pub proven_permille: u16,
    /// Results of the process's calls since the rollout was ordered.
    pub evidence: CountsByRoute,
}

/// The latest report of each process of each node. The reports of a node's successive processes are
/// added up.
#[derive(Debug)]
pub struct ReportPool<A> {
    reports: HashMap<(A, u64), ReceivedReport>,
    /// All evidence at the last two snapshots, the older one first.
    snapshots: [CountsByRoute; 2],
    next_snapshot: Instant,
    /// The share when the snapshots were last reset, in permille.
    snapshot_permille: u16,
}

#[derive(Debug)]
struct ReceivedReport {
    report: Report,
    fresh_until: Instant,
}

impl<A: Copy + Eq + Hash> ReportPool<A> {
    /// A pool without reports.
    pub fn new(now: Instant) -> Self {
        Self {
            reports: HashMap::new(),
            snapshots: [CountsByRoute::new(), CountsByRoute::new()],
            next_snapshot: now + SNAPSHOT_INTERVAL,
            snapshot_permille: 0,
        }
    }

    /// Records a report unless a later one of the same process has arrived before; returns whether
    /// more calls to the new version are bad or overdue than before.
    pub fn record(&mut self, from: A, report: Report, now: Instant) -> bool {
        let key = (from, report.boot);
        let known = self.reports.get(&key).map(|known| &known.report.evidence);
        if known.is_some_and(|known| ended_calls(known) > ended_calls(&report.evidence)) {
            return false;
        }
        let is_worse = bad_or_overdue_calls_to_new(&report.evidence)
            > known.map_or(0, bad_or_overdue_calls_to_new);
        let fresh_until = now + MAX_REPORT_AGE;
        self.reports.insert(
            key,
            ReceivedReport {
                report,
                fresh_until,
            },
        );
        is_worse
    }

    /// The sum of all reports.
    pub fn evidence(&self) -> CountsByRoute {
        let mut sum = CountsByRoute::new();
        for received in self.reports.values() {
            for (route, reported) in &received.report.evidence {
                let pair = sum.entry(*route).or_default();
                pair.old.add(reported.old);
                pair.new.add(reported.new);
            }
        }
        sum
    }

    /// The recent part of `all`, given the present share.
    pub fn recent(&mut self, all: &CountsByRoute, permille: u16, now: Instant) -> CountsByRoute {
        if permille != self.snapshot_permille {
            self.snapshot_permille = permille;
            self.next_snapshot = now + SNAPSHOT_INTERVAL;
            self.snapshots = [all.clone(), all.clone()];
        }
        if now >= self.next_snapshot {
            self.next_snapshot = now + SNAPSHOT_INTERVAL;
            self.snapshots.swap(0, 1);
            self.snapshots[1].clone_from(all);
        }
        let since_snapshot = |route: &u64, pair: &VersionCounts| {
            let snapshot = self.snapshots[0].get(route).copied().unwrap_or_default();
            (*route, pair.since(snapshot))
        };
        let pairs = all.iter();
        pairs
            .map(|(route, pair)| since_snapshot(route, pair))
            .collect()
    }

    /// Processes whose last report is recent.
    pub fn reachable_nodes(&self, now: Instant) -> usize {
        self.fresh_reports(now).count()
    }

    /// Processes whose last report is recent and says that they follow the owner's present share.
    pub fn following_nodes(&self, ramp: &Ramp, now: Instant) -> usize {
        let follows = |report: &&Report| {
            report.owner_revision == ramp.owner_revision() && report.permille == ramp.permille()
        };
        self.fresh_reports(now).filter(follows).count()
    }

    /// Processes that have called the new version.
    pub fn processes_calling_new(&self) -> usize {
        let evidence = self
            .reports
            .values()
            .map(|received| &received.report.evidence);
        let has_called = |evidence: &&CountsByRoute| sent_calls_to_new(evidence) > 0;
        evidence.filter(has_called).count()
    }

    /// The largest share at which any node knows the new version to have been found good, in
    /// permille.
    pub fn proven_permille(&self) -> u16 {
        let permilles = self
            .reports
            .values()
            .map(|received| received.report.proven_permille);
        permilles.max().unwrap_or(0)
    }

    fn fresh_reports(&self, now: Instant) -> impl Iterator<Item = &Report> {
        let received = self.reports.values();
        received
            .filter(move |received| now < received.fresh_until)
            .map(|received| &received.report)
    }
}

fn bad_or_overdue_calls_to_new(evidence: &CountsByRoute) -> u32 {
    let pairs = evidence.values();
    pairs.map(|pair| pair.new.suspect_calls()).sum()
}
