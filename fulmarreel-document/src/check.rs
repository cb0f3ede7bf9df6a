//! Rules that depend on the clock or on other documents, checked before a document is stored.
//!
//! Nodes do not apply them: a stored document stays active, even after its deadline.

use crate::{
    Document, Service, raw,
    rollout::Timestamp,
    source::{self, InvalidField},
};

/// Refuses a rollout whose deadline is not after `now`.
pub fn deadline(text: &str, document: &Document, now: Timestamp) -> Result<(), source::Error> {
    match document.rollout() {
        Some(rollout) if rollout.complete_by() <= now => {
            let given = deadline_as_written(text);
            let invalid = InvalidField::new("move.complete_by", &given, "a time in the future");
            Err(invalid.with_position_in(text))
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
    Err(InvalidField::new(&field, &given, expected).with_position_in(text))
}

/// The deadline as spelled in the text.
fn deadline_as_written(text: &str) -> String {
    let raw: Option<raw::Document> = source::read(text).ok();
    let rollout = raw.and_then(|raw| raw.shift);
    rollout.map_or_else(String::new, |rollout| rollout.complete_by)
}
