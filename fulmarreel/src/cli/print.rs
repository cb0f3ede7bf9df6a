//! Writes results: JSON for machines, tables for people.

use super::{
    json::{Application, Difference, Document, Explanation, Refused, Standing, Step},
    table, time,
};
use crate::{
    apply::{Applied, Outcome},
    diff::{self, Change},
    explain, file, status,
    stored::{Documents, Move},
};
use fulmarreel_document::Document as Checked;
use fulmarreel_rollout::state::Phase;
use serde::Serialize;
use std::{fmt::Display, io};

/// Stands where a cell has nothing to say.
const NOTHING: &str = "-";

/// Where results and errors go.
#[derive(Debug)]
pub(super) struct Printer<'a, O, E> {
    /// Whether results are written as JSON.
    pub json: bool,
    /// Results.
    pub out: &'a mut O,
    /// Errors, one line each.
    pub err: &'a mut E,
}

impl<O: io::Write, E: io::Write> Printer<'_, O, E> {
    pub(super) fn error(&mut self, error: &impl Display) -> io::Result<()> {
        writeln!(self.err, "{error}")
    }

    pub(super) fn text(&mut self, text: &str) -> io::Result<()> {
        self.out.write_all(text.as_bytes())
    }

    pub(super) fn refused(&mut self, errors: &[file::Error]) -> io::Result<()> {
        if self.json {
            return self.list(errors.iter().map(Refused::from));
        }
        errors.iter().try_for_each(|error| self.error(error))
    }

    pub(super) fn explanation(&mut self, outcome: &explain::Outcome) -> io::Result<()> {
        if outcome.unreadable > 0 {
            self.error(&format_args!("{} lines cannot be read", outcome.unreadable))?;
        }
        if self.json {
            return self.list([Explanation::from(outcome)].into_iter());
        }
        for line in &outcome.lines {
            writeln!(self.out, "{line}")?;
        }
        writeln!(self.out, "{}", outcome.summary)
    }

    pub(super) fn accepted(&mut self, documents: usize) -> io::Result<()> {
        if self.json {
            return self.list(std::iter::empty::<Refused>());
        }
        writeln!(self.out, "{documents} documents are valid")
    }

    pub(super) fn differences(&mut self, outcomes: &[diff::Outcome]) -> io::Result<()> {
        if self.json {
            return self.list(outcomes.iter().map(Difference::from));
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

    pub(super) fn applied(&mut self, applied: &[Applied]) -> io::Result<()> {
        for error in applied.iter().filter_map(|one| one.result.as_ref().err()) {
            self.error(error)?;
        }
        if self.json {
            return self.list(applied.iter().map(Application::from));
        }
        for one in applied {
            let service = &one.service;
            match &one.result {
                Ok(Outcome::Written(revision)) => {
                    writeln!(self.out, "{service}: written at revision {revision}")?;
                }
                Ok(Outcome::Unchanged(revision)) => {
                    writeln!(self.out, "{service}: unchanged at revision {revision}")?;
                }
                Ok(Outcome::NotTried) => {
                    writeln!(self.out, "{service}: not tried after the failure before it")?;
                }
                Err(_) => {}
            }
        }
        Ok(())
    }

    pub(super) fn documents(&mut self, documents: &Documents) -> io::Result<()> {
        if self.json {
            let stored = documents.0.iter();
            return self.list(stored.map(|(service, stored)| Document::new(service, stored)));
        }
        let rows: Vec<_> = documents
            .0
            .iter()
            .map(|(service, stored)| {
                let document = stored.document.as_ref().ok();
                [
                    service.clone(),
                    stored.revision.to_string(),
                    cell(document.map(Checked::version)),
                    stored.text.len().to_string(),
                ]
            })
            .collect();
        table::write(self.out, ["SERVICE", "REVISION", "VERSION", "BYTES"], &rows)
    }

    pub(super) fn standings(&mut self, outcomes: &[status::Outcome]) -> io::Result<()> {
        if self.json {
            return self.list(outcomes.iter().map(Standing::from));
        }
        let rows: Vec<_> = outcomes.iter().map(standing).collect();
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
            return self.list(moves.iter().map(Step::from));
        }
        let rows: Vec<_> = moves.iter().map(step).collect();
        let heading = [
            "SERVICE", "MOVE", "REVISION", "PHASE", "SHARE", "AT", "REASON",
        ];
        table::write(self.out, heading, &rows)
    }

    fn list(&mut self, rows: impl Iterator<Item = impl Serialize>) -> io::Result<()> {
        let rows: Vec<_> = rows.collect();
        serde_json::to_writer_pretty(&mut *self.out, &rows)?;
        writeln!(self.out)
    }
}

/// A phase's name.
pub(super) fn phase(phase: Phase) -> &'static str {
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
    value.map_or_else(|| NOTHING.to_owned(), |value| value.to_string())
}

fn percent(fraction: f64) -> String {
    format!("{:.2} %", fraction * 100.0)
}

fn standing(outcome: &status::Outcome) -> [String; 8] {
    let document = outcome.stored.document.as_ref().ok();
    let shift = document.and_then(Checked::shift);
    // The state of an earlier revision's move says nothing of the present one.
    let current = outcome.last_move.as_ref().filter(|found| {
        let revision = found.state.as_ref().map(|state| state.revision);
        revision.map_or(true, |revision| revision == outcome.stored.revision.0)
    });
    let state = current.and_then(|found| found.state.as_ref().ok());
    let reason = match (&outcome.stored.document, current.map(|found| &found.state)) {
        (Err(error), _) => error.to_string(),
        (_, Some(Ok(state))) => state.reason.to_string(),
        (_, Some(Err(error))) => error.to_string(),
        (_, None) if shift.is_some() => "no node has taken up the move yet".to_owned(),
        (_, None) => NOTHING.to_owned(),
    };
    [
        outcome.service.clone(),
        outcome.stored.revision.to_string(),
        cell(document.map(Checked::version)),
        cell(shift.map(fulmarreel_document::Shift::to)),
        cell(shift.map(|shift| time::utc(shift.complete_by()))),
        cell(state.map(|state| phase(state.phase))),
        cell(state.map(|state| percent(state.share.fraction()))),
        reason,
    ]
}

fn step(found: &Move) -> [String; 7] {
    let state = found.state.as_ref();
    let known = state.ok();
    [
        found.service.clone(),
        cell(found.number),
        cell(known.map(|state| state.revision)),
        cell(known.map(|state| phase(state.phase))),
        cell(known.map(|state| percent(state.share.fraction()))),
        cell(known.map(|state| time::utc(state.at))),
        state.map_or_else(ToString::to_string, |state| state.reason.to_string()),
    ]
}
