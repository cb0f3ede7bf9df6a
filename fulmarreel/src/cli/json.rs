//! Results as JSON, for machines.

use super::time;
use crate::{
    apply::{self, Applied},
    diff::{self, Change},
    explain, file, status,
    stored::{Move, Stored},
};
use fulmarreel_document::Document as Checked;
use serde::Serialize;

/// A refused file.
#[derive(Debug, Serialize)]
pub(super) struct Refused {
    file: String,
    line: Option<usize>,
    column: Option<usize>,
    field: Option<String>,
    message: String,
}

/// What became of a request.
#[derive(Debug, Serialize)]
pub(super) struct Explanation {
    summary: String,
    lines: Vec<String>,
    unreadable: usize,
}

impl From<&explain::Outcome> for Explanation {
    fn from(outcome: &explain::Outcome) -> Self {
        Self {
            summary: outcome.summary.clone(),
            lines: outcome.lines.clone(),
            unreadable: outcome.unreadable,
        }
    }
}

/// A document's comparison with the store.
#[derive(Debug, Serialize)]
pub(super) struct Difference {
    service: String,
    revision: u64,
    change: &'static str,
    diff: Option<String>,
}

/// What became of a document.
#[derive(Debug, Serialize)]
pub(super) struct Application {
    service: String,
    outcome: &'static str,
    revision: Option<u64>,
    read_revision: Option<u64>,
    found_revision: Option<u64>,
    message: Option<String>,
}

/// A document in the store.
#[derive(Debug, Serialize)]
pub(super) struct Document {
    service: String,
    revision: u64,
    text: String,
}

/// A service's standing.
#[derive(Debug, Serialize)]
pub(super) struct Standing {
    service: String,
    revision: u64,
    version: Option<String>,
    to: Option<String>,
    complete_by: Option<String>,
    last_move: Option<Step>,
}

/// A step of a move.
#[derive(Debug, Serialize)]
pub(super) struct Step {
    service: String,
    number: Option<u64>,
    revision: Option<u64>,
    phase: Option<String>,
    share_percent: Option<f64>,
    reason: String,
    at: Option<String>,
    moved_at: Option<String>,
}

impl From<&file::Error> for Refused {
    fn from(error: &file::Error) -> Self {
        Self {
            file: error.path().display().to_string(),
            line: error.position().map(|position| position.line),
            column: error.position().map(|position| position.column),
            field: error.field().map(str::to_owned),
            message: error.to_string(),
        }
    }
}

impl From<&diff::Outcome> for Difference {
    fn from(outcome: &diff::Outcome) -> Self {
        let (change, diff) = match &outcome.change {
            Change::Added => ("added", None),
            Change::Unchanged => ("unchanged", None),
            Change::Changed(diff) => ("changed", Some(diff.clone())),
        };
        Self {
            service: outcome.service.clone(),
            revision: outcome.revision.0,
            change,
            diff,
        }
    }
}

impl From<&Applied> for Application {
    fn from(applied: &Applied) -> Self {
        let (outcome, revision) = match &applied.result {
            Ok(apply::Outcome::Written(revision)) => ("written", Some(revision.0)),
            Ok(apply::Outcome::Unchanged(revision)) => ("unchanged", Some(revision.0)),
            Ok(apply::Outcome::NotTried) => ("not-tried", None),
            Err(apply::Error::Conflict { .. }) => ("conflict", None),
            Err(apply::Error::Store { .. }) => ("failed", None),
            Err(apply::Error::Unknown { .. }) => ("unknown", None),
        };
        let revisions = match &applied.result {
            Err(apply::Error::Conflict { read, found, .. }) => Some((read.0, found.0)),
            _ => None,
        };
        Self {
            service: applied.service.clone(),
            outcome,
            revision,
            read_revision: revisions.map(|(read, _)| read),
            found_revision: revisions.map(|(_, found)| found),
            message: applied.result.as_ref().err().map(ToString::to_string),
        }
    }
}

impl Document {
    pub(super) fn new(service: &str, stored: &Stored) -> Self {
        Self {
            service: service.to_owned(),
            revision: stored.revision.0,
            text: stored.text.clone(),
        }
    }
}

impl From<&status::Outcome> for Standing {
    fn from(outcome: &status::Outcome) -> Self {
        let document = outcome.stored.document.as_ref().ok();
        let shift = document.and_then(Checked::shift);
        Self {
            service: outcome.service.clone(),
            revision: outcome.stored.revision.0,
            version: document.map(|document| document.version().to_string()),
            to: shift.map(|shift| shift.to().to_string()),
            complete_by: shift.map(|shift| time::utc(shift.complete_by())),
            last_move: outcome.last_move.as_ref().map(Step::from),
        }
    }
}

impl From<&Move> for Step {
    fn from(found: &Move) -> Self {
        let state = found.state.as_ref();
        let known = state.ok();
        Self {
            service: found.service.clone(),
            number: found.number,
            revision: known.map(|state| state.revision),
            phase: known.map(|state| super::print::phase(state.phase).to_owned()),
            share_percent: known.map(|state| state.share.fraction() * 100.0),
            reason: state.map_or_else(ToString::to_string, |state| state.reason.to_string()),
            at: known.map(|state| time::utc(state.at)),
            moved_at: known.and_then(|state| state.moved_at).map(time::utc),
        }
    }
}
