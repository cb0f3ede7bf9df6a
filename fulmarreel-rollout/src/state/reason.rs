//! Reasons for a step, in terms that operators read.

use crate::evidence::Route;
use std::fmt;

/// What was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// Failed calls.
    Errors,
    /// Calls slower than the document's ratio allows.
    Latency,
}

/// The evidence behind a verdict, summed over the time during which it accumulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Figures {
    /// What was measured.
    pub measure: Measure,
    /// The route, or `None` for all routes together.
    pub route: Option<Route>,
    /// Calls to the new version.
    pub new_calls: u64,
    /// Failed or slow calls to the new version.
    pub new_bad: u64,
    /// Calls to the old version over the same time.
    pub old_calls: u64,
    /// Failed or slow calls to the old version.
    pub old_bad: u64,
}

/// Why a step was taken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The rollout was declared.
    Declared,
    /// The first few calls go to the new version.
    Started,
    /// More calls are needed to prove the version in time.
    NeedsCalls,
    /// The version is proven.
    Proved,
    /// The version is proven by less evidence than usual, because its deadline is near.
    ProvedInHaste,
    /// The schedule allows a larger share.
    Scheduled,
    /// The document lets an unproven version pass at its deadline.
    DeadlineUnproven,
    /// The deadline passed and the version is unproven.
    DeadlineHeld,
    /// The version does worse than the old one did earlier; both are compared again over the same
    /// time.
    Suspected,
    /// The comparison found the version as good as the old one.
    Cleared,
    /// The soak time has passed.
    Soaked,
    /// The soak time has passed; all traffic moved only after the deadline.
    SoakedLate,
    /// The version is bad.
    Bad(Figures),
    /// An earlier owner found the version bad, and only the verdict has arrived, without its
    /// figures.
    Relayed,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Declared => "the move is declared",
            Self::Started => "the first calls go to the new version",
            Self::NeedsCalls => "more calls are needed to prove the version in time",
            Self::Proved => "the version is proved",
            Self::ProvedInHaste => {
                "the deadline is near and fewer calls than usual prove the version"
            }
            Self::Scheduled => "the schedule allows a larger share",
            Self::DeadlineUnproven => "the document lets the unproven version pass at its deadline",
            Self::DeadlineHeld => "the deadline came before the version was proved",
            Self::Suspected => "the version looks worse than the old one did",
            Self::Cleared => "side by side the versions are alike",
            Self::Soaked => "all traffic moved in time and the soak is over",
            Self::SoakedLate => "all traffic moved after the deadline and the soak is over",
            Self::Bad(figures) => return figures.fmt(f),
            Self::Relayed => "an earlier owner found the version bad",
        };
        f.write_str(text)
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.measure {
            Measure::Errors => "failed",
            Measure::Latency => "were too slow",
        };
        let (new_bad, new_calls) = (self.new_bad, self.new_calls);
        let (old_bad, old_calls) = (self.old_bad, self.old_calls);
        match self.route {
            Some(route) => write!(f, "route {route}: ")?,
            None => write!(f, "all routes: ")?,
        }
        write!(
            f,
            "{new_bad} of {new_calls} calls to the new version {what}, against {old_bad} of {old_calls} to the old"
        )
    }
}
