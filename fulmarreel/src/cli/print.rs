//! Prints results as JSON, or as text and tables.

use super::{
    json::{
        ApplyRow, Difference, DocumentText, Explanation, MoveState, RefusedFile, ServiceStatus,
    },
    table, time,
};
use crate::{
    apply::{ApplyResult, Outcome},
    diff::{self, Change},
    explain, file, status,
    stored::{Documents, Move},
};
use fulmarreel_document::Document;
use fulmarreel_rollout::state::Phase;
use serde::Serialize;
use std::{fmt::Display, io};

/// The content of a table cell without a value.
const EMPTY_CELL: &str = "-";

/// Prints results and errors.
#[derive(Debug)]
pub(super) struct Printer<'a, O, E> {
    /// Whether results are printed as JSON.
    pub json: bool,
    /// Where results are printed.
    pub out: &'a mut O,
    /// Where errors are printed, one line each.
    pub err: &'a mut E,
}

impl<O: io::Write, E: io::Write> Printer<'_, O, E> {
    pub(super) fn error(&mut self, error: &impl Display) -> io::Result<()> {
        writeln!(self.err, "{error}")
    }

    pub(super) fn text(&mut self, text: &str) -> io::Result<()> {
        self.out.write_all(text.as_bytes())
    }

    pub(super) fn refused_files(&mut self, errors: &[file::Error]) -> io::Result<()> {
        if self.json {
            return self.json_list(errors.iter().map(RefusedFile::from));
        }
        errors.iter().try_for_each(|error| self.error(error))
    }

    pub(super) fn explanation(&mut self, outcome: &explain::Outcome) -> io::Result<()> {
        if outcome.unreadable > 0 {
            self.error(&format_args!("{} lines cannot be read", outcome.unreadable))?;
        }
        if self.json {
            return self.json_list([Explanation::from(outcome)].into_iter());
        }
        for line in &outcome.lines {
            writeln!(self.out, "{line}")?;
        }
        writeln!(self.out, "{}", outcome.summary)
    }

    pub(super) fn valid_documents(&mut self, documents: usize) -> io::Result<()> {
        if self.json {
            return self.json_list(std::iter::empty::<RefusedFile>());
        }
        writeln!(self.out, "{documents} documents are valid")
    }

    pub(super) fn differences(&mut self, outcomes: &[diff::Outcome]) -> io::Result<()> {
        if self.json {
            return self.json_list(outcomes.iter().map(Difference::from));
        }
        for outcome in outcomes {
            match &outcome.change {
                Change::Added => writeln!(self.out, "{}: added", outcome.service)?,
                Change::Unchanged => {
                    let (service, revision) = (&outcome.service, outcome.revision);
                    writeln!(self.out, "{service}: unchanged at revision {revision}")?;
                }
                Change::Changed(diff) => self.text(diff)?,
            }
        }
        Ok(())
    }

    pub(super) fn apply_results(&mut self, results: &[ApplyResult]) -> io::Result<()> {
        for error in results
            .iter()
            .filter_map(|applied| applied.result.as_ref().err())
        {
            self.error(error)?;
        }
        if self.json {
            return self.json_list(results.iter().map(ApplyRow::from));
        }
        for applied in results {
            let service = &applied.service;
            match &applied.result {
                Ok(Outcome::Written(revision)) => {
                    writeln!(self.out, "{service}: written at revision {revision}")?;
                }
                Ok(Outcome::Unchanged(revision)) => {
                    writeln!(self.out, "{service}: unchanged at revision {revision}")?;
                }
                Ok(Outcome::NotTried) => {
                    writeln!(
                        self.out,
                        "{service}: not tried because an earlier document failed"
                    )?;
                }
                Err(_) => {}
            }
        }
        Ok(())
    }

    pub(super) fn documents(&mut self, documents: &Documents) -> io::Result<()> {
        if self.json {
            let stored = documents.0.iter();
            return self
                .json_list(stored.map(|(service, stored)| DocumentText::new(service, stored)));
        }
        let rows: Vec<_> = documents
            .0
            .iter()
            .map(|(service, stored)| {
                let document = stored.document.as_ref().ok();
                [
                    service.clone(),
                    stored.revision.to_string(),
                    cell(document.map(Document::version)),
                    stored.text.len().to_string(),
                ]
            })
            .collect();
        table::write(self.out, ["SERVICE", "REVISION", "VERSION", "BYTES"], &rows)
    }

    pub(super) fn statuses(&mut self, outcomes: &[status::Outcome]) -> io::Result<()> {
        if self.json {
            return self.json_list(outcomes.iter().map(ServiceStatus::from));
        }
        let rows: Vec<_> = outcomes.iter().map(status_row).collect();
        let heading = [
            "SERVICE",
            "REVISION",
            "VERSION",
            "MOVE TO",
            "COMPLETE BY",
            "PHASE",
            "SHARE",
            "REASON",
        ];
        table::write(self.out, heading, &rows)
    }

    pub(super) fn moves(&mut self, moves: &[Move]) -> io::Result<()> {
        if self.json {
            return self.json_list(moves.iter().map(MoveState::from));
        }
        let rows: Vec<_> = moves.iter().map(move_row).collect();
        let heading = [
            "SERVICE", "MOVE", "REVISION", "PHASE", "SHARE", "AT", "REASON",
        ];
        table::write(self.out, heading, &rows)
    }

    fn json_list(&mut self, rows: impl Iterator<Item = impl Serialize>) -> io::Result<()> {
        let rows: Vec<_> = rows.collect();
        serde_json::to_writer_pretty(&mut *self.out, &rows)?;
        writeln!(self.out)
    }
}

/// The name of a phase in tables and JSON.
pub(super) fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Waiting => "waiting",
        Phase::Proving => "proving",
        Phase::Held => "held",
        Phase::Raising => "raising",
        Phase::Soaking => "soaking",
        Phase::Checking => "checking",
        Phase::Completed => "completed",
        Phase::TakenBack => "taken-back",
    }
}

fn cell(value: Option<impl ToString>) -> String {
    value.map_or_else(|| EMPTY_CELL.to_owned(), |value| value.to_string())
}

fn percent(fraction: f64) -> String {
    format!("{:.2} %", fraction * 100.0)
}

fn status_row(outcome: &status::Outcome) -> [String; 8] {
    let document = outcome.stored.document.as_ref().ok();
    let rollout = document.and_then(Document::rollout);
    // A move that an earlier revision declared says nothing about the current revision's move.
    let current = outcome.last_move.as_ref().filter(|last_move| {
        let revision = last_move.state.as_ref().map(|state| state.revision);
        revision.map_or(true, |revision| revision == outcome.stored.revision.0)
    });
    let state = current.and_then(|last_move| last_move.state.as_ref().ok());
    let reason = match (
        &outcome.stored.document,
        current.map(|last_move| &last_move.state),
    ) {
        (Err(error), _) => error.to_string(),
        (_, Some(Ok(state))) => state.reason.to_string(),
        (_, Some(Err(error))) => error.to_string(),
        (_, None) if rollout.is_some() => "no node has taken up the move yet".to_owned(),
        (_, None) => EMPTY_CELL.to_owned(),
    };
    [
        outcome.service.clone(),
        outcome.stored.revision.to_string(),
        cell(document.map(Document::version)),
        cell(rollout.map(fulmarreel_document::Rollout::to)),
        cell(rollout.map(|rollout| time::utc(rollout.complete_by()))),
        cell(state.map(|state| phase_name(state.phase))),
        cell(state.map(|state| percent(state.share.fraction()))),
        reason,
    ]
}

fn move_row(stored_move: &Move) -> [String; 7] {
    let decoded = stored_move.state.as_ref();
    let state = decoded.ok();
    [
        stored_move.service.clone(),
        cell(stored_move.number),
        cell(state.map(|state| state.revision)),
        cell(state.map(|state| phase_name(state.phase))),
        cell(state.map(|state| percent(state.share.fraction()))),
        cell(state.map(|state| time::utc(state.at))),
        decoded.map_or_else(ToString::to_string, |state| state.reason.to_string()),
    ]
}
