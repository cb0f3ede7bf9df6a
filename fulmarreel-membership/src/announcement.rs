//! Announcements of a target to its node, ordered by when they were made and not by their arrival.

use std::{net::SocketAddr, time::Duration};

/// Number of runs that have left whose late announcements are still recognised.
const MAX_DEPARTURES: usize = 16;

/// Number of departures that are kept for the node's next process.
const MAX_RECORDED_DEPARTURES: usize = 4;

/// The state of a target as the target itself reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Usually unique to one run of the target; a later run may reuse it with a later
    /// `started_at_ms`.
    pub id: String,
    /// When the target started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Increases with each announcement of the same run.
    pub sequence: u64,
    /// The address on which the target accepts requests.
    pub endpoint: SocketAddr,
    /// Its service.
    pub service: String,
    /// The version that it runs.
    pub version: String,
    /// Its availability zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Remaining warm-up time, during which it answers slowly.
    pub warm_up_remaining: Duration,
}

/// One run of a target's process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The target's id.
    pub id: String,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// That a run of a target has left, or is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// The run; earlier runs under its id have left as well.
    pub run: Run,
    /// The sequence number of the announcement that said so. Without one, the run has ended, and no
    /// announcement of it counts any more.
    pub sequence: Option<u64>,
}

/// What an earlier process of the node recorded of its targets.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct History {
    /// Its last target.
    pub target: Option<Run>,
    /// The departures that it acknowledged.
    pub departures: Vec<Departure>,
}

/// What becomes of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It describes the current target.
    Applied,
    /// A later one is known, or its run has left.
    Outdated,
    /// Its run may have left meanwhile. It is used once the target itself confirms that it is there.
    Unconfirmed,
}

/// The current target of one node, derived from announcements.
///
/// An announcement may arrive long after it was made, also at a later process of the node than the one
/// to which the target has said that it leaves. Until the node's [`History`] is known, no announcement
/// proves therefore that its target is still there.
#[derive(Debug, Default)]
pub struct CurrentTarget {
    /// The latest announcement.
    latest: Option<Announcement>,
    /// Whether the target of the latest announcement is there.
    is_present: bool,
    /// The latest ones, at most one for each run.
    departures: Vec<Departure>,
    /// Whether the departures of earlier processes are known.
    is_history_known: bool,
    /// The last target of an earlier process.
    former: Option<Run>,
    /// The latest announcement that is used once its target confirms it, or the history is known.
    unconfirmed: Option<Announcement>,
}

impl Announcement {
    /// The run that made it.
    pub fn run(&self) -> Run {
        Run {
            id: self.id.clone(),
            started_at_ms: self.started_at_ms,
        }
    }
}

impl Departure {
    /// Whether it covers a run as a whole.
    fn ends(&self, run: &Run) -> bool {
        run.id == self.run.id
            && (run.started_at_ms < self.run.started_at_ms
                || run.started_at_ms == self.run.started_at_ms && self.sequence.is_none())
    }

    /// Whether an announcement was made before it.
    fn is_after(&self, announcement: &Announcement) -> bool {
        self.ends(&announcement.run())
            || self.run == announcement.run()
                && self
                    .sequence
                    .is_some_and(|last| announcement.sequence <= last)
    }
}

impl CurrentTarget {
    /// The current target, if any.
    pub fn get(&self) -> Option<&Announcement> {
        self.latest.as_ref().filter(|_| self.is_present)
    }

    /// The announcement that waits for a confirmation, if any.
    pub fn unconfirmed(&self) -> Option<&Announcement> {
        self.unconfirmed.as_ref()
    }

    /// Whether a run has left or is leaving.
    pub fn has_left(&self, run: &Run) -> bool {
        let mut departures = self.departures.iter();
        departures.any(|departure| departure.ends(run) || departure.run == *run)
    }

    /// The departures that a later process of the node has to know. An announcement of a run before the
    /// current target's is recognised without them.
    pub fn recorded_departures(&self) -> impl Iterator<Item = &Departure> {
        let current = self.get().filter(|current| !current.leaving);
        let started_at_ms = current.map_or(0, |current| current.started_at_ms);
        let departures = self.departures.iter();
        let relevant = departures.filter(move |left| left.run.started_at_ms >= started_at_ms);
        let count = relevant.clone().count();
        relevant.skip(count.saturating_sub(MAX_RECORDED_DEPARTURES))
    }

    /// Applies an announcement, unless it is outdated or needs a confirmation.
    pub fn apply(&mut self, announcement: Announcement) -> Verdict {
        let verdict = self.judge(&announcement);
        match verdict {
            Verdict::Applied => self.set(announcement),
            Verdict::Unconfirmed => {
                let waiting = self.unconfirmed.as_ref();
                if waiting.is_none_or(|waiting| is_newer(&announcement, waiting)) {
                    self.unconfirmed = Some(announcement);
                }
            }
            Verdict::Outdated => {}
        }
        verdict
    }

    /// Applies an announcement whose target has just confirmed that it is there. Returns false if the
    /// run has left, or a later one is there.
    pub fn confirm(&mut self, announcement: Announcement) -> bool {
        let is_outdated = self.judge(&announcement) == Verdict::Outdated;
        if !is_outdated {
            self.set(announcement);
        }
        !is_outdated
    }

    /// Takes over what earlier processes of the node recorded, and applies the announcement that waits.
    pub fn restore(&mut self, history: History) {
        self.is_history_known = true;
        for departure in history.departures {
            if !self.has_left(&departure.run) {
                self.add_departure(departure);
            }
        }
        self.former = history.target;
        if let Some(announcement) = self.unconfirmed.take() {
            self.apply(announcement);
        }
    }

    /// Records that a target ended at a time, in milliseconds since the Unix epoch, and returns
    /// whether it was the current one. An unknown run is recorded as well, because its delayed
    /// announcements may still arrive.
    pub fn end(&mut self, id: &str, ended_at_ms: u64) -> bool {
        let was_current = self.get().is_some_and(|current| current.id == id);
        let run = self.run_to_end(id).unwrap_or_else(|| Run {
            id: id.to_owned(),
            started_at_ms: ended_at_ms,
        });
        self.add_departure(Departure {
            run,
            sequence: None,
        });
        was_current
    }

    /// Removes the current target after it has sent no announcement for too long.
    pub fn withdraw(&mut self) {
        self.is_present = false;
    }

    /// Whether the departures of earlier processes are known.
    pub fn is_history_known(&self) -> bool {
        self.is_history_known
    }

    /// The run that the end of `id` refers to; `None` if its start is not known.
    fn run_to_end(&self, id: &str) -> Option<Run> {
        let announced = [&self.latest, &self.unconfirmed].into_iter().flatten();
        let leaving = self.departures.iter();
        let leaving = leaving.filter(|departure| departure.sequence.is_some());
        announced
            .map(Announcement::run)
            .chain(self.former.clone())
            .chain(leaving.map(|departure| departure.run.clone()))
            .filter(|run| run.id == id && run.started_at_ms > 0)
            .max_by_key(|run| run.started_at_ms)
    }

    fn judge(&self, announcement: &Announcement) -> Verdict {
        let mut departures = self.departures.iter();
        if departures.any(|departure| departure.is_after(announcement)) {
            return Verdict::Outdated;
        }
        let is_newer_than_latest = self
            .latest
            .as_ref()
            .is_none_or(|latest| is_newer(announcement, latest));
        if self.is_present {
            let is_known = self.get().map(Announcement::run) == Some(announcement.run());
            return match is_newer_than_latest {
                false => Verdict::Outdated,
                true if is_known || self.is_certain(announcement) => Verdict::Applied,
                true => Verdict::Unconfirmed,
            };
        }
        if is_newer_than_latest && self.is_certain(announcement) {
            Verdict::Applied
        } else {
            Verdict::Unconfirmed
        }
    }

    /// Whether all departures that could come after an announcement are known. Departures themselves
    /// need no confirmation.
    fn is_certain(&self, announcement: &Announcement) -> bool {
        let former = self.former.as_ref();
        let is_superseded =
            former.is_some_and(|former| announcement.started_at_ms < former.started_at_ms);
        announcement.leaving || self.is_history_known && !is_superseded
    }

    fn set(&mut self, announcement: Announcement) {
        let run = announcement.run();
        self.unconfirmed = None;
        if !announcement.leaving {
            // It was made after its run had said that it leaves.
            self.departures.retain(|departure| departure.run != run);
        } else if !self.has_left(&run) {
            self.add_departure(Departure {
                run,
                sequence: Some(announcement.sequence),
            });
        }
        self.latest = Some(announcement);
        self.is_present = true;
    }

    fn add_departure(&mut self, departure: Departure) {
        let is_covered =
            |known: &Departure| departure.ends(&known.run) || known.run == departure.run;
        self.departures.retain(|known| !is_covered(known));
        if self.departures.len() == MAX_DEPARTURES {
            self.departures.remove(0);
        }
        let precedes = |announcement: &Announcement| departure.is_after(announcement);
        if self.unconfirmed.as_ref().is_some_and(precedes) {
            self.unconfirmed = None;
        }
        // A target that is leaving stays current until it has ended.
        if self.latest.as_ref().is_some_and(precedes) {
            self.is_present = false;
        }
        self.departures.push(departure);
    }
}

/// Whether an announcement was made after the known one.
fn is_newer(announcement: &Announcement, known: &Announcement) -> bool {
    if announcement.id == known.id && announcement.started_at_ms == known.started_at_ms {
        return announcement.sequence > known.sequence;
    }
    announcement.started_at_ms >= known.started_at_ms
}
