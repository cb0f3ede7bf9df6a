//! The JSON form of results. Scripts depend on the keys.

use super::time;
use crate::{
    apply::{self, ApplyResult},
    diff::{self, Change},
    explain, file, status,
    stored::{Move, StoredDocument},
};
use fulmarreel_document::Document;
use serde::Serialize;

/// A refused file.
#[derive(Debug, Serialize)]
pub(super) struct RefusedFile {
    file: String,
    line: Option<usize>,
    column: Option<usize>,
    field: Option<String>,
    message: String,
}

/// How a request ended.
#[derive(Debug, Serialize)]
pub(super) struct Explanation {
    summary: String,
    lines: Vec<String>,
    /// Number of lines that contain the id and cannot be parsed.
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

/// The result of applying a document.
#[derive(Debug, Serialize)]
pub(super) struct ApplyRow {
    service: String,
    outcome: &'static str,
    revision: Option<u64>,
    /// In a conflict, the revision that was read.
    read_revision: Option<u64>,
    /// In a conflict, the revision in the store; 0 if the document was deleted.
    found_revision: Option<u64>,
    message: Option<String>,
}

/// A document in the store.
#[derive(Debug, Serialize)]
pub(super) struct DocumentText {
    service: String,
    revision: u64,
    text: String,
}

/// The document and the last move of a service.
#[derive(Debug, Serialize)]
pub(super) struct ServiceStatus {
    service: String,
    revision: u64,
    version: Option<String>,
    /// The version that the document's move leads to, if it declares one.
    to: Option<String>,
    complete_by: Option<String>,
    last_move: Option<MoveState>,
}

/// The state of a current or past move.
#[derive(Debug, Serialize)]
pub(super) struct MoveState {
    service: String,
    /// For a past move, the revision of the document that declared it.
    number: Option<u64>,
    /// The revision of the document that declared the move.
    revision: Option<u64>,
    phase: Option<String>,
    share_percent: Option<f64>,
    reason: String,
    /// When this state was decided.
    at: Option<String>,
    /// When the new version first had all calls, if it had.
    moved_at: Option<String>,
}

impl From<&file::Error> for RefusedFile {
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

impl From<&ApplyResult> for ApplyRow {
    fn from(applied: &ApplyResult) -> Self {
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

impl DocumentText {
    pub(super) fn new(service: &str, stored: &StoredDocument) -> Self {
        Self {
            service: service.to_owned(),
            revision: stored.revision.0,
            text: stored.text.clone(),
        }
    }
}

impl From<&status::Outcome> for ServiceStatus {
    fn from(outcome: &status::Outcome) -> Self {
        let document = outcome.stored.document.as_ref().ok();
        let rollout = document.and_then(Document::rollout);
        Self {
            service: outcome.service.clone(),
            revision: outcome.stored.revision.0,
            version: document.map(|document| document.version().to_string()),
            to: rollout.map(|rollout| rollout.to().to_string()),
            complete_by: rollout.map(|rollout| time::utc(rollout.complete_by())),
            last_move: outcome.last_move.as_ref().map(MoveState::from),
        }
    }
}

impl From<&Move> for MoveState {
    fn from(stored_move: &Move) -> Self {
        let decoded = stored_move.state.as_ref();
        let state = decoded.ok();
        Self {
            service: stored_move.service.clone(),
            number: stored_move.number,
            revision: state.map(|state| state.revision),
            phase: state.map(|state| super::print::phase_name(state.phase).to_owned()),
            share_percent: state.map(|state| state.share.fraction() * 100.0),
            reason: decoded.map_or_else(ToString::to_string, |state| state.reason.to_string()),
            at: state.map(|state| time::utc(state.at)),
            moved_at: state.and_then(|state| state.moved_at).map(time::utc),
        }
    }
}
