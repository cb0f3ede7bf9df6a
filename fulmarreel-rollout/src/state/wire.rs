//! The encoding of a published state in the store and between nodes.

use super::{Figures, Measure, Phase, Reason, State};
use crate::{Share, evidence::Route, share};
use fulmarreel_document::rollout::Timestamp;
use serde::{Deserialize, Serialize};

/// A state as it is stored and sent. The order of fields is part of the format, for codecs that
/// write no names.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wire {
    revision: u64,
    step: u64,
    share_ppm: u32,
    phase: WirePhase,
    reason: WireReason,
    at_ms: u64,
    moved_at_ms: Option<u64>,
}

/// Why a received state was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The share is out of range.
    #[error("step {step} of revision {revision}: {source}")]
    Share {
        /// Revision of the document.
        revision: u64,
        /// Number of the step.
        step: u64,
        /// The error about the share.
        source: share::Error,
    },
    /// The share is not allowed in this phase.
    #[error("step {step} of revision {revision}: {share_ppm} parts per million in this phase")]
    Phase {
        /// Revision of the document.
        revision: u64,
        /// Number of the step.
        step: u64,
        /// The share given, in parts per million.
        share_ppm: u32,
    },
}

macro_rules! mirror_enum {
    ($(#[$doc:meta])* $wire:ident = $domain:ident { $($variant:ident),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        enum $wire { $($variant),* }

        impl From<$domain> for $wire {
            fn from(domain: $domain) -> Self {
                match domain { $($domain::$variant => Self::$variant),* }
            }
        }

        impl From<$wire> for $domain {
            fn from(wire: $wire) -> Self {
                match wire { $($wire::$variant => Self::$variant),* }
            }
        }
    };
}

mirror_enum! {
    /// A phase, encoded by name.
    WirePhase = Phase {
        Waiting, Proving, Held, Raising, Soaking, Checking, Completed, TakenBack,
    }
}

mirror_enum! {
    /// A measure, encoded by name.
    WireMeasure = Measure { Errors, Latency }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WireFigures {
    measure: WireMeasure,
    route: Option<Route>,
    new_calls: u64,
    new_bad: u64,
    old_calls: u64,
    old_bad: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireReason {
    Declared,
    Started,
    NeedsCalls,
    Proved,
    ProvedInHaste,
    Scheduled,
    DeadlineUnproven,
    DeadlineHeld,
    Suspected,
    Cleared,
    Soaked,
    SoakedLate,
    Bad(WireFigures),
    Relayed,
}

impl From<&State> for Wire {
    fn from(state: &State) -> Self {
        Self {
            revision: state.revision,
            step: state.step,
            share_ppm: state.share.ppm(),
            phase: state.phase.into(),
            reason: (&state.reason).into(),
            at_ms: state.at.0,
            moved_at_ms: state.moved_at.map(|at| at.0),
        }
    }
}

impl TryFrom<Wire> for State {
    type Error = Error;

    fn try_from(wire: Wire) -> Result<Self, Error> {
        let (revision, step) = (wire.revision, wire.step);
        let share = Share::try_from(wire.share_ppm).map_err(|source| Error::Share {
            revision,
            step,
            source,
        })?;
        let phase = Phase::from(wire.phase);
        let is_allowed = match phase {
            Phase::Waiting | Phase::TakenBack => share == Share::NONE,
            Phase::Soaking | Phase::Completed => share == Share::ALL,
            Phase::Proving | Phase::Held | Phase::Raising | Phase::Checking => true,
        };
        if !is_allowed {
            return Err(Error::Phase {
                revision,
                step,
                share_ppm: wire.share_ppm,
            });
        }
        Ok(Self {
            revision,
            step,
            share,
            phase,
            reason: wire.reason.into(),
            at: Timestamp(wire.at_ms),
            moved_at: wire.moved_at_ms.map(Timestamp),
        })
    }
}

impl From<&Reason> for WireReason {
    fn from(reason: &Reason) -> Self {
        match reason {
            Reason::Started => Self::Started,
            Reason::NeedsCalls => Self::NeedsCalls,
            Reason::Proved => Self::Proved,
            Reason::ProvedInHaste => Self::ProvedInHaste,
            Reason::Scheduled => Self::Scheduled,
            Reason::DeadlineUnproven => Self::DeadlineUnproven,
            Reason::DeadlineHeld => Self::DeadlineHeld,
            Reason::Suspected => Self::Suspected,
            Reason::Cleared => Self::Cleared,
            Reason::Soaked => Self::Soaked,
            Reason::SoakedLate => Self::SoakedLate,
            Reason::Bad(figures) => Self::Bad((*figures).into()),
            Reason::Relayed => Self::Relayed,
            Reason::Declared => Self::Declared,
        }
    }
}

impl From<WireReason> for Reason {
    fn from(wire: WireReason) -> Self {
        match wire {
            WireReason::Declared => Self::Declared,
            WireReason::Started => Self::Started,
            WireReason::NeedsCalls => Self::NeedsCalls,
            WireReason::Proved => Self::Proved,
            WireReason::ProvedInHaste => Self::ProvedInHaste,
            WireReason::Scheduled => Self::Scheduled,
            WireReason::DeadlineUnproven => Self::DeadlineUnproven,
            WireReason::DeadlineHeld => Self::DeadlineHeld,
            WireReason::Suspected => Self::Suspected,
            WireReason::Cleared => Self::Cleared,
            WireReason::Soaked => Self::Soaked,
            WireReason::SoakedLate => Self::SoakedLate,
            WireReason::Bad(figures) => Self::Bad(figures.into()),
            WireReason::Relayed => Self::Relayed,
        }
    }
}

impl From<Figures> for WireFigures {
    fn from(figures: Figures) -> Self {
        Self {
            measure: figures.measure.into(),
            route: figures.route,
            new_calls: figures.new_calls,
            new_bad: figures.new_bad,
            old_calls: figures.old_calls,
            old_bad: figures.old_bad,
        }
    }
}

impl From<WireFigures> for Figures {
    fn from(wire: WireFigures) -> Self {
        Self {
            measure: wire.measure.into(),
            route: wire.route,
            new_calls: wire.new_calls,
            new_bad: wire.new_bad,
            old_calls: wire.old_calls,
            old_bad: wire.old_bad,
        }
    }
}
