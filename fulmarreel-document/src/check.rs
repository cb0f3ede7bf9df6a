//! Rules that depend on the clock or on other documents, checked before a document is stored.
//!
//! Nodes do not apply them: a stored document stays active, even after its deadline.

use crate::{
    Document, Service, raw,
    shift::Timestamp,
    source::{self, Refusal},
};

/// Refuses a rollout whose deadline is not after `now`.
pub fn deadline(text: &str, document: &Document, now: Timestamp) -> Result<(), source::Error> {
    match document.shift() {
        Some(shift) if shift.complete_by() <= now => {
            let given = deadline_as_written(text);
            let refusal = Refusal::new("move.complete_by", &given, "a time in the future");
            Err(refusal.located(text))
        }
        _ => Ok(()),
    }
}

/// Refuses a route to a service for which `known` returns false.
pub fn destinations(
    text: &str,
    document: &Document,
    known: impl Fn(&Service) -> bool,
) -> Result<(), source::Error> {
    let Some(unknown) = document.dependencies().find(|service| !known(service)) else {
        return Ok(());
    };
    let raw: raw::Document = source::read(text)?;
    let services = raw.routes.iter().map(|route| route.service.as_deref());
    let mut services = services.enumerate();
    let index = services.find(|(_, service)| *service == Some(unknown.as_str()));
    let field = format!("routes[{}].service", index.map_or(0, |(index, _)| index));
    let given = format!("'{unknown}'");
    let expected = "a service with a document, given here or in the store";
    Err(Refusal::new(&field, &given, expected).located(text))
}

/// The deadline as spelled in the text.
fn deadline_as_written(text: &str) -> String {
    let raw: Option<raw::Document> = source::read(text).ok();
    let shift = raw.and_then(|raw| raw.shift);
    shift.map_or_else(String::new, |shift| shift.complete_by)
}
