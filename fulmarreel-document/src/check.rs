//! Rules that take more than the document itself: the clock, and the other documents.
//!
//! Nodes do not apply them: a document that was accepted stays active whatever the deadline.

use crate::{
    Document, Service, raw,
    shift::Timestamp,
    source::{self, Refusal},
};

/// Refuses a move whose deadline is not after `now`.
pub fn deadline(text: &str, document: &Document, now: Timestamp) -> Result<(), source::Error> {
    match document.shift() {
        Some(shift) if shift.complete_by() <= now => {
            let given = raw_deadline(text);
            let refusal = Refusal::new("move.complete_by", &given, "a time in the future");
            Err(refusal.located(text))
        }
        _ => Ok(()),
    }
}

/// Refuses a route to a service that is not `known`.
pub fn destinations(
    text: &str,
    document: &Document,
    known: impl Fn(&Service) -> bool,
) -> Result<(), source::Error> {
    let Some(unknown) = document.dependencies().find(|service| !known(service)) else {
        return Ok(());
    };
    let raw: raw::Document = source::read(text)?;
    let names = raw.routes.iter().map(|route| route.service.as_deref());
    let mut names = names.enumerate();
    let index = names.find(|(_, name)| *name == Some(unknown.as_str()));
    let field = format!("routes[{}].service", index.map_or(0, |(index, _)| index));
    let given = format!("'{unknown}'");
    let expected = "a service with a document, given here or in the store";
    Err(Refusal::new(&field, &given, expected).located(text))
}

/// The deadline as it is written.
fn raw_deadline(text: &str) -> String {
    let raw: Option<raw::Document> = source::read(text).ok();
    let shift = raw.and_then(|raw| raw.shift);
    shift.map_or_else(String::new, |shift| shift.complete_by)
}
