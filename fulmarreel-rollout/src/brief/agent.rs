//! The data path of one node's part in a rollout: it assigns calls by the owner's grant, and counts
//! their results.

use super::{
    Counts, CountsByRoute, Report, VersionCounts,
    grant::{FULL_PERMILLE, Grant},
    next_lower_permille, sent_calls_to_new, verdict,
};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Lifetime of the owner's grant, counted from its arrival.
const GRANT_LIFETIME: Duration = Duration::from_millis(1_000);

/// Time at each lower step of the schedule once the owner's grant has expired.
const DECAY_INTERVAL: Duration = Duration::from_millis(250);

/// Routes that a report lists one by one; the others are added up so that the report fits a
/// datagram.
const MAX_REPORTED_ROUTES: usize = 30;

/// Route hash under which a report adds up the routes that it does not list.
const OTHER_ROUTES: u64 = 0;

/// A call that is sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Hash of the route's name.
    pub route: u64,
    /// Whether the target runs the new version.
    pub new: bool,
    /// When the call becomes overdue: it then has taken longer than nearly all calls do. `None` if
    /// that is not known.
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
        /// Whether the answer came far later than usual.
        slow: bool,
    },
    /// The target failed it.
    Failed,
    /// It did not reach the target.
    NotRun,
    /// The call may have reached the target, and its result is not known: its caller left, or a
    /// connection was lost.
    Unknown,
}

/// Assigns one node's calls of a service in a rollout and counts their results.
#[derive(Debug)]
pub struct Agent {
    boot: u64,
    /// Grows by the share with each call; once it reaches 1, a call goes to the new version.
    new_call_credit: f64,
    grant: Option<ReceivedGrant>,
    /// The largest share at which the new version is known to have been found good, in permille.
    proven_permille: u16,
    status: VersionStatus,
    /// Results of the calls that have ended.
    ended: CountsByRoute,
    /// Calls that have not ended, by the number that [`Agent::record_sent`] returned.
    open_calls: HashMap<u64, Call>,
    next_call: u64,
    /// Overdue calls to the new version at the last [`Agent::take_urgency`].
    last_overdue: usize,
    /// Whether something has happened that must be reported at once.
    is_urgent: bool,
}

/// A grant that this node follows or has followed.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedGrant {
    /// The grant.
    pub grant: Grant,
    /// When it arrived.
    pub received_at: Instant,
    /// When it expires or has expired.
    pub expires_at: Instant,
}

/// What this node knows about the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VersionStatus {
    /// Nothing speaks against it.
    Usable,
    /// This node's own calls show it to be bad, so this node stopped using it.
    StoppedLocally,
    /// The calls of all nodes show it to be bad.
    Bad,
    /// The rollout is complete, and the old version's targets may be gone.
    Completed,
}

impl Agent {
    /// The state of a process that has received no message; `new_call_credit` is a random fraction
    /// of a call, so that the nodes' first calls to the new version do not coincide.
    pub fn new(boot: u64, new_call_credit: f64) -> Self {
        Self {
            boot,
            new_call_credit,
            grant: None,
            proven_permille: 0,
            status: VersionStatus::Usable,
            ended: CountsByRoute::new(),
            open_calls: HashMap::new(),
            next_call: 0,
            last_overdue: 0,
            is_urgent: false,
        }
    }

    /// The share of calls that go to the new version now, in permille.
    ///
    /// Once the last grant has expired, the share falls step by step to zero.
    pub fn permille(&self, now: Instant) -> u16 {
        match self.status {
            VersionStatus::Usable => self.granted_permille(now),
            VersionStatus::StoppedLocally | VersionStatus::Bad => 0,
            VersionStatus::Completed => FULL_PERMILLE,
        }
    }

    /// The share by the last grant and its age, in permille.
    fn granted_permille(&self, now: Instant) -> u16 {
        let Some(received) = self.grant else {
            return 0;
        };
        let mut permille = received.grant.permille;
        let mut decays_at = received.expires_at;
        while permille > 0 && now >= decays_at {
            permille = next_lower_permille(permille);
            decays_at += DECAY_INTERVAL;
        }
        permille
    }

    /// The grant that was accepted last.
    pub fn received_grant(&self) -> Option<&ReceivedGrant> {
        self.grant.as_ref()
    }

    /// Whether a call goes to the new version.
    pub fn assign_to_new(&mut self, now: Instant) -> bool {
        self.new_call_credit += f64::from(self.permille(now)) / f64::from(FULL_PERMILLE);
        if self.new_call_credit < 1.0 {
            return false;
        }
        self.new_call_credit -= 1.0;
        true
    }

    /// Accepts the owner's grant unless a later one has arrived before.
    pub fn accept_grant(&mut self, grant: Grant, now: Instant) {
        let known = self.grant.map(|received| received.grant);
        if known.is_some_and(|known| !grant.supersedes(&known)) {
            return;
        }
        self.is_urgent |= known.is_none_or(|known| known.permille != grant.permille);
        self.proven_permille = self.proven_permille.max(grant.proven_permille);
        self.grant = Some(ReceivedGrant {
            grant,
            received_at: now,
            expires_at: now + GRANT_LIFETIME,
        });
    }

    /// Records that a call is sent to a target; returns the number to pass to [`Agent::record_end`].
    pub fn record_sent(&mut self, call: Call) -> u64 {
        let number = self.next_call;
        self.next_call += 1;
        self.open_calls.insert(number, call);
        number
    }

    /// Records how a call ended; returns whether this node stops using the new version because of
    /// its own calls.
    pub fn record_end(&mut self, number: u64, end: End, now: Instant) -> bool {
        let Some(call) = self.open_calls.remove(&number) else {
            return false;
        };
        let is_overdue = call.is_overdue(now);
        let (failed, slow) = match end {
            End::NotRun => return false,
            End::Answered { slow } => (false, slow),
            End::Failed => (true, false),
            // A call whose caller left after so long a wait counts like a slow answer.
            End::Unknown if is_overdue => (false, true),
            End::Unknown => {
                self.counts_mut(call).lost += 1;
                return false;
            }
        };
        self.counts_mut(call).add(Counts {
            calls: 1,
            failed: u32::from(failed),
            slow: u32::from(slow),
            ..Counts::default()
        });
        self.is_urgent |= call.new && (failed || slow);
        if self.status != VersionStatus::Usable || verdict(&self.ended).is_none() {
            return false;
        }
        self.status = VersionStatus::StoppedLocally;
        true
    }

    fn counts_mut(&mut self, call: Call) -> &mut Counts {
        let pair = self.ended.entry(call.route).or_default();
        if call.new {
            &mut pair.new
        } else {
            &mut pair.old
        }
    }

    /// Results of this node's ended calls, with the calls that are open now.
    fn evidence(&self, now: Instant) -> CountsByRoute {
        let mut evidence = self.ended.clone();
        for call in self.open_calls.values() {
            let pair = evidence.entry(call.route).or_default();
            let counts = if call.new {
                &mut pair.new
            } else {
                &mut pair.old
            };
            counts.open += 1;
            counts.overdue += u32::from(call.is_overdue(now));
        }
        evidence
    }

    /// Records that the new version is bad by the calls of all nodes; returns whether that is news.
    pub fn mark_bad(&mut self) -> bool {
        let is_news = matches!(
            self.status,
            VersionStatus::Usable | VersionStatus::StoppedLocally
        );
        if is_news {
            self.status = VersionStatus::Bad;
        }
        is_news
    }

    /// Records that the rollout is complete.
    pub fn mark_completed(&mut self) {
        self.status = VersionStatus::Completed;
    }

    /// Whether the rollout is known to be complete.
    pub fn is_completed(&self) -> bool {
        self.status == VersionStatus::Completed
    }

    /// Whether the new version is known to be bad by the calls of all nodes.
    pub fn is_known_bad(&self) -> bool {
        self.status == VersionStatus::Bad
    }

    /// Whether something that must be reported at once has happened since the last call of this
    /// method.
    pub fn take_urgency(&mut self, now: Instant) -> bool {
        let overdue = self
            .open_calls
            .values()
            .filter(|call| call.new && call.is_overdue(now));
        let overdue = overdue.count();
        let has_more_overdue = overdue > self.last_overdue;
        self.last_overdue = overdue;
        std::mem::take(&mut self.is_urgent) | has_more_overdue
    }

    /// The report of this process.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            boot: self.boot,
            owner_revision: self
                .grant
                .map_or(0, |received| received.grant.owner_revision),
            permille: self.permille(now),
            proven_permille: self.proven_permille,
            evidence: self.reportable_evidence(now),
        }
    }

    /// Whether this process has called the new version.
    pub fn has_called_new(&self) -> bool {
        sent_calls_to_new(&self.ended) > 0 || self.open_calls.values().any(|call| call.new)
    }

    /// Evidence by route, listing the routes on which most calls to the new version are bad or
    /// overdue and adding up the others.
    fn reportable_evidence(&self, now: Instant) -> CountsByRoute {
        let mut routes: Vec<(u64, VersionCounts)> = self.evidence(now).into_iter().collect();
        routes.sort_by_key(|(route, pair)| {
            let suspect_calls = pair.new.suspect_calls();
            (std::cmp::Reverse((suspect_calls, pair.new.sent())), *route)
        });
        let mut evidence = CountsByRoute::new();
        for (index, (route, pair)) in routes.into_iter().enumerate() {
            let route = if index < MAX_REPORTED_ROUTES {
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
