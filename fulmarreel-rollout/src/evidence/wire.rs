//! The encoding of evidence between nodes; of a histogram only the range of buckets that holds
//! calls is sent.

use super::{BUCKETS, Evidence, MAX_TOP_REPORTERS, Route, Tally, TopReporter, VersionTallies};
use serde::{Deserialize, Serialize};

/// Evidence as it is encoded between nodes.
#[derive(Debug, Serialize, Deserialize)]
pub struct Wire {
    reports: u32,
    routes: Vec<WireVersionTallies>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireVersionTallies {
    route: Route,
    old: WireTally,
    new: WireTally,
    loudest: WireTopReporters,
}

/// A report of one node names its reporter once; a sum names the top reporters.
#[derive(Debug, Serialize, Deserialize)]
enum WireTopReporters {
    None,
    Own(u32),
    Sum {
        reporters: u64,
        failing: Vec<(u32, WireTally)>,
        slowest: Vec<(u32, WireTally)>,
    },
}

#[derive(Debug, Serialize, Deserialize)]
struct WireTally {
    errors: u64,
    /// Index of the first bucket that holds calls; the counts start there.
    first: u8,
    latency: Vec<u64>,
}

/// Why received evidence was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A histogram extends past the last bucket.
    #[error("route {route}: a latency histogram ends at bucket {end}, expected at most {BUCKETS}")]
    Buckets {
        /// The route.
        route: Route,
        /// Index after the last bucket given.
        end: usize,
    },
    /// A tally has more errors than calls.
    #[error("route {route}: {errors} errors in {calls} calls")]
    Errors {
        /// The route.
        route: Route,
        /// Errors given.
        errors: u64,
        /// Calls given.
        calls: u64,
    },
    /// A route occurs twice.
    #[error("route {route} is given twice")]
    Twice {
        /// The route.
        route: Route,
    },
}

impl From<&Evidence> for Wire {
    fn from(evidence: &Evidence) -> Self {
        let routes = evidence
            .routes
            .iter()
            .map(|(&route, pair)| WireVersionTallies {
                route,
                old: (&pair.old).into(),
                new: (&pair.new).into(),
                loudest: pair.into(),
            });
        Self {
            reports: evidence.reports,
            routes: routes.collect(),
        }
    }
}

impl From<&Tally> for WireTally {
    fn from(tally: &Tally) -> Self {
        let first = tally.latency.iter().position(|&count| count > 0);
        let last = tally.latency.iter().rposition(|&count| count > 0);
        let latency = match (first, last) {
            (Some(first), Some(last)) => tally.latency[first..=last].to_vec(),
            _ => Vec::new(),
        };
        Self {
            errors: tally.errors,
            first: first.unwrap_or(0) as u8,
            latency,
        }
    }
}

impl TryFrom<Wire> for Evidence {
    type Error = Error;

    fn try_from(wire: Wire) -> Result<Self, Error> {
        let mut evidence = Self {
            reports: wire.reports,
            ..Self::default()
        };
        for pair in wire.routes {
            let route = pair.route;
            if evidence.routes.insert(route, pair.try_into()?).is_some() {
                return Err(Error::Twice { route });
            }
        }
        Ok(evidence)
    }
}

impl From<&VersionTallies> for WireTopReporters {
    fn from(pair: &VersionTallies) -> Self {
        let wire = |top: &TopReporter| (top.reporter, (&top.new).into());
        match (pair.failing.as_slice(), pair.slowest.as_slice()) {
            ([], []) => Self::None,
            (_, [one]) if one.new == pair.new => Self::Own(one.reporter),
            (failing, slowest) => Self::Sum {
                reporters: pair.reporters,
                failing: failing.iter().map(wire).collect(),
                slowest: slowest.iter().map(wire).collect(),
            },
        }
    }
}

impl TryFrom<WireVersionTallies> for VersionTallies {
    type Error = Error;

    fn try_from(wire: WireVersionTallies) -> Result<Self, Error> {
        let route = wire.route;
        let old = wire.old.checked(route)?;
        let new = wire.new.checked(route)?;
        let checked = |reporters: Vec<(u32, WireTally)>| {
            let kept = reporters.into_iter().take(MAX_TOP_REPORTERS);
            let checked = kept.map(|(reporter, tally)| {
                let new = tally.checked(route)?;
                Ok(TopReporter { reporter, new })
            });
            checked.collect::<Result<Vec<_>, Error>>()
        };
        match wire.loudest {
            WireTopReporters::None => Ok(Self {
                old,
                new,
                ..Self::default()
            }),
            WireTopReporters::Own(reporter) => Ok(Self::report(reporter, old, new)),
            WireTopReporters::Sum {
                reporters,
                failing,
                slowest,
            } => Ok(Self {
                old,
                new,
                reporters,
                failing: checked(failing)?,
                slowest: checked(slowest)?,
            }),
        }
    }
}

impl WireTally {
    fn checked(&self, route: Route) -> Result<Tally, Error> {
        let first = usize::from(self.first);
        let end = first + self.latency.len();
        if end > BUCKETS {
            return Err(Error::Buckets { route, end });
        }
        let calls = self
            .latency
            .iter()
            .fold(0u64, |sum, &n| sum.saturating_add(n));
        if self.errors > calls {
            let errors = self.errors;
            return Err(Error::Errors {
                route,
                errors,
                calls,
            });
        }
        let mut latency = [0; BUCKETS];
        latency[first..end].copy_from_slice(&self.latency);
        Ok(Tally {
            calls,
            errors: self.errors,
            latency,
        })
    }
}
