//! From text to a checked document.

use crate::{Document, MAX_BYTES, Route, Service, Shift, Version, name, raw, route, shift};
use jsonc_parser::{ParseOptions, errors::ParseError, parse_to_serde_value};
use std::time::Duration;

/// Why a document was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is longer than the store can hold.
    #[error("the document has {bytes} bytes, expected at most {MAX_BYTES}")]
    TooLarge {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text is not JSON with comments, or has a missing, unknown or mistyped field.
    #[error("{0}")]
    Syntax(#[from] ParseError),
    /// The text holds no value at all.
    #[error("the document is empty, expected an object")]
    Empty,
    /// A field's value breaks a rule.
    #[error("field '{field}': {given}, expected {expected}")]
    Field {
        /// Path of the field, such as `routes[0].path`.
        field: String,
        /// What was found.
        given: String,
        /// What is accepted.
        expected: &'static str,
    },
    /// A name is malformed.
    #[error("field '{field}': {source}")]
    Name {
        /// Path of the field.
        field: String,
        /// The name's own error.
        source: name::Error,
    },
}

/// Parses and checks a document.
pub fn parse(text: &str) -> Result<Document, Error> {
    if text.len() > MAX_BYTES {
        return Err(Error::TooLarge { bytes: text.len() });
    }
    let raw: Option<raw::Document> = parse_to_serde_value(text, &ParseOptions::default())?;
    raw.ok_or(Error::Empty)?.try_into()
}

impl TryFrom<raw::Document> for Document {
    type Error = Error;

    fn try_from(raw: raw::Document) -> Result<Self, Error> {
        let service = service("service", &raw.service)?;
        let version = version("version", &raw.version)?;
        let routes = routes(&service, &raw.routes)?;
        let idempotent = routes.iter().all(Route::idempotent);
        let shift = raw.shift.map(|raw| shift(&raw, idempotent)).transpose()?;
        if let Some(shift) = &shift
            && shift.to == version
        {
            return Err(refusal(
                "move.to",
                &version,
                "a version other than 'version'",
            ));
        }
        Ok(Self {
            service,
            version,
            routes,
            shift,
        })
    }
}

fn service(field: &str, given: &str) -> Result<Service, Error> {
    given.try_into().map_err(|source| Error::Name {
        field: field.to_owned(),
        source,
    })
}

fn version(field: &str, given: &str) -> Result<Version, Error> {
    given.try_into().map_err(|source| Error::Name {
        field: field.to_owned(),
        source,
    })
}

fn refusal(field: &str, given: &impl ToString, expected: &'static str) -> Error {
    Error::Field {
        field: field.to_owned(),
        given: given.to_string(),
        expected,
    }
}

fn routes(own: &Service, raw: &[raw::Route]) -> Result<Vec<Route>, Error> {
    if raw.is_empty() {
        return Err(refusal("routes", &"an empty list", "at least one route"));
    }
    let mut routes: Vec<Route> = Vec::with_capacity(raw.len());
    for (index, raw) in raw.iter().enumerate() {
        let route = one_route(own, index, raw)?;
        if routes.iter().any(|other| other.path == route.path) {
            let field = format!("routes[{index}].path");
            return Err(refusal(
                &field,
                &route.path,
                "a path that no other route has",
            ));
        }
        routes.push(route);
    }
    routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
    Ok(routes)
}

fn one_route(own: &Service, index: usize, raw: &raw::Route) -> Result<Route, Error> {
    if !raw.path.starts_with('/') {
        let field = format!("routes[{index}].path");
        return Err(refusal(&field, &raw.path, "a path that starts with '/'"));
    }
    let destination = raw
        .service
        .as_deref()
        .map(|given| service(&format!("routes[{index}].service"), given))
        .transpose()?
        .filter(|destination| destination != own);
    let timeout = match raw.timeout_ms {
        None => route::DEFAULT_TIMEOUT,
        Some(ms @ 1..=600_000) => Duration::from_millis(ms),
        Some(ms) => {
            let field = format!("routes[{index}].timeout_ms");
            return Err(refusal(&field, &ms, "1 to 600000 milliseconds"));
        }
    };
    Ok(Route {
        path: raw.path.clone(),
        destination,
        idempotent: raw.idempotent,
        timeout,
    })
}

fn shift(raw: &raw::Shift, idempotent: bool) -> Result<Shift, Error> {
    let default_percent = if idempotent {
        shift::DEFAULT_UNPROVEN_PERCENT_IDEMPOTENT
    } else {
        shift::DEFAULT_UNPROVEN_PERCENT
    };
    Ok(Shift {
        to: version("move.to", &raw.to)?,
        complete_by: timestamp(&raw.complete_by)?,
        unproven_percent: percent(
            "move.unproven_percent",
            raw.unproven_percent,
            default_percent,
        )?,
        fault: fault(raw.fault.as_ref())?,
        unproven_at_deadline: match raw.unproven_at_deadline {
            Some(raw::Fallback::Complete) => shift::Fallback::Complete,
            Some(raw::Fallback::Hold) | None => shift::Fallback::Hold,
        },
        soak: raw
            .soak_seconds
            .map_or(shift::DEFAULT_SOAK, Duration::from_secs),
    })
}

fn timestamp(given: &str) -> Result<shift::Timestamp, Error> {
    let field = "move.complete_by";
    let expected = "a time with offset such as 2026-12-04T18:00:00-06:00";
    let parsed: jiff::Timestamp = given
        .parse()
        .map_err(|_| refusal(field, &given, expected))?;
    u64::try_from(parsed.as_millisecond())
        .map(shift::Timestamp)
        .map_err(|_| refusal(field, &given, "a time after 1970"))
}

fn percent(field: &str, given: Option<f64>, default: f64) -> Result<f64, Error> {
    match given {
        None => Ok(default),
        Some(percent) if percent > 0.0 && percent <= 100.0 => Ok(percent),
        Some(percent) => Err(refusal(field, &percent, "more than 0 and at most 100")),
    }
}

fn fault(raw: Option<&raw::Fault>) -> Result<shift::Fault, Error> {
    let errors = raw.and_then(|raw| raw.error_percent);
    let latency_ratio = raw
        .and_then(|raw| raw.latency_ratio)
        .unwrap_or(shift::DEFAULT_LATENCY_RATIO);
    if !(latency_ratio > 1.0 && latency_ratio.is_finite()) {
        let field = "move.fault.latency_ratio";
        return Err(refusal(field, &latency_ratio, "a number over 1"));
    }
    Ok(shift::Fault {
        error_percent: percent(
            "move.fault.error_percent",
            errors,
            shift::DEFAULT_ERROR_PERCENT,
        )?,
        latency_ratio,
    })
}
