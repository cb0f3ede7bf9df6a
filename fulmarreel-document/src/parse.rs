//! Parses and validates documents.

use crate::{
    Document, MAX_BYTES, Rollout, Route, Service, Version, name, raw, rollout, route,
    source::{self, InvalidField},
};
use std::time::Duration;

/// Limit of a route's timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Limit of the soak time, in seconds.
const MAX_SOAK_SECONDS: u64 = 604_800;

/// Reason for which a document was refused; each message starts with the line and column.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text exceeds [`MAX_BYTES`].
    #[error("1:1: the whole document: {bytes} bytes, expected at most {MAX_BYTES}")]
    TooLarge {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text is malformed or one of its fields is invalid.
    #[error(transparent)]
    Source(#[from] source::Error),
}

/// Parses and validates a document.
pub fn parse(text: &str) -> Result<Document, Error> {
    if text.len() > MAX_BYTES {
        return Err(Error::TooLarge { bytes: text.len() });
    }
    let raw: raw::Document = source::read(text)?;
    let document: Result<Document, InvalidField> = raw.try_into();
    Ok(document.map_err(|invalid| invalid.with_position_in(text))?)
}

impl TryFrom<raw::Document> for Document {
    type Error = InvalidField;

    fn try_from(raw: raw::Document) -> Result<Self, InvalidField> {
        let service = service("service", &raw.service)?;
        let version = version("version", &raw.version)?;
        let routes = routes(&service, &raw.routes)?;
        let all_idempotent = routes.iter().all(Route::idempotent);
        let rollout = raw
            .shift
            .map(|raw| rollout(&raw, all_idempotent))
            .transpose()?;
        if let Some(rollout) = &rollout
            && rollout.to == version
        {
            return Err(InvalidField::new(
                "move.to",
                &version,
                "a version other than 'version'",
            ));
        }
        Ok(Self {
            service,
            version,
            routes,
            rollout,
        })
    }
}

fn service(field: &str, given: &str) -> Result<Service, InvalidField> {
    given
        .try_into()
        .map_err(|error| invalid_name(field, &error))
}

fn version(field: &str, given: &str) -> Result<Version, InvalidField> {
    given
        .try_into()
        .map_err(|error| invalid_name(field, &error))
}

fn invalid_name(field: &str, error: &name::Error) -> InvalidField {
    InvalidField::new(field, &format!("'{}'", error.given), error.expected)
}

fn routes(own_service: &Service, raw: &[raw::Route]) -> Result<Vec<Route>, InvalidField> {
    if raw.is_empty() {
        return Err(InvalidField::new(
            "routes",
            &"an empty list",
            "at least one route",
        ));
    }
    let mut routes: Vec<Route> = Vec::with_capacity(raw.len());
    for (index, raw) in raw.iter().enumerate() {
        let route = route(own_service, index, raw)?;
        if routes.iter().any(|other| other.path == route.path) {
            let field = format!("routes[{index}].path");
            return Err(InvalidField::new(
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

fn route(own_service: &Service, index: usize, raw: &raw::Route) -> Result<Route, InvalidField> {
    let allowed = |c: char| !c.is_whitespace() && !c.is_control() && c != '?' && c != '#';
    if !raw.path.starts_with('/') || !raw.path.chars().all(allowed) {
        let field = format!("routes[{index}].path");
        let expected = "a path that starts with '/', without whitespace, '?' and '#'";
        return Err(InvalidField::new(
            &field,
            &format!("'{}'", raw.path),
            expected,
        ));
    }
    let destination = raw
        .service
        .as_deref()
        .map(|given| service(&format!("routes[{index}].service"), given))
        .transpose()?
        .filter(|destination| destination != own_service);
    let timeout = match raw.timeout_ms {
        None => route::DEFAULT_TIMEOUT,
        Some(ms @ 1..=MAX_TIMEOUT_MS) => Duration::from_millis(ms),
        Some(ms) => {
            let field = format!("routes[{index}].timeout_ms");
            return Err(InvalidField::new(&field, &ms, "1 to 600000 milliseconds"));
        }
    };
    Ok(Route {
        path: raw.path.clone(),
        destination,
        idempotent: raw.idempotent,
        timeout,
    })
}

fn rollout(raw: &raw::Shift, all_idempotent: bool) -> Result<Rollout, InvalidField> {
    let default_percent = if all_idempotent {
        rollout::DEFAULT_UNPROVEN_PERCENT_IDEMPOTENT
    } else {
        rollout::DEFAULT_UNPROVEN_PERCENT
    };
    Ok(Rollout {
        to: version("move.to", &raw.to)?,
        complete_by: timestamp(&raw.complete_by)?,
        unproven_percent: percent(
            "move.unproven_percent",
            raw.unproven_percent,
            default_percent,
        )?,
        fault: fault(raw.fault.as_ref())?,
        unproven_at_deadline: match raw.unproven_at_deadline {
            Some(raw::Fallback::Complete) => rollout::UnprovenAction::Complete,
            Some(raw::Fallback::Hold) | None => rollout::UnprovenAction::Hold,
        },
        soak: soak(raw.soak_seconds)?,
    })
}

fn timestamp(given: &str) -> Result<rollout::Timestamp, InvalidField> {
    let field = "move.complete_by";
    let expected = "a time with offset such as 2026-12-04T18:00:00-06:00";
    let parsed: jiff::Timestamp = given
        .parse()
        .map_err(|_| InvalidField::new(field, &given, expected))?;
    u64::try_from(parsed.as_millisecond())
        .map(rollout::Timestamp)
        .map_err(|_| InvalidField::new(field, &given, "a time after 1970"))
}

fn soak(seconds: Option<u64>) -> Result<Duration, InvalidField> {
    match seconds {
        None => Ok(rollout::DEFAULT_SOAK),
        Some(seconds @ 0..=MAX_SOAK_SECONDS) => Ok(Duration::from_secs(seconds)),
        Some(seconds) => {
            let expected = "0 to 604800 seconds";
            Err(InvalidField::new("move.soak_seconds", &seconds, expected))
        }
    }
}

fn percent(field: &str, given: Option<f64>, default: f64) -> Result<f64, InvalidField> {
    match given {
        None => Ok(default),
        Some(percent @ f64::MIN_POSITIVE..=100.0) => Ok(percent),
        Some(percent) => Err(InvalidField::new(
            field,
            &percent,
            "more than 0 and at most 100",
        )),
    }
}

fn fault(raw: Option<&raw::Fault>) -> Result<rollout::FaultThresholds, InvalidField> {
    let error_percent = raw.and_then(|raw| raw.error_percent);
    let latency_ratio = raw
        .and_then(|raw| raw.latency_ratio)
        .unwrap_or(rollout::DEFAULT_LATENCY_RATIO);
    if !(latency_ratio > 1.0 && latency_ratio.is_finite()) {
        let field = "move.fault.latency_ratio";
        return Err(InvalidField::new(field, &latency_ratio, "a number over 1"));
    }
    Ok(rollout::FaultThresholds {
        error_percent: percent(
            "move.fault.error_percent",
            error_percent,
            rollout::DEFAULT_ERROR_PERCENT,
        )?,
        latency_ratio,
    })
}

impl Error {
    /// Position of the refused field, or of the malformed text.
    pub fn position(&self) -> source::Position {
        match self {
            Self::TooLarge { .. } => source::Position::START,
            Self::Source(error) => error.position(),
        }
    }

    /// Path of the refused field, if the error concerns a field.
    pub fn field(&self) -> Option<&str> {
        match self {
            Self::TooLarge { .. } => None,
            Self::Source(error) => error.field(),
        }
    }
}
