//! The cases of the experiment, and the file format that holds them.

use fulmarreel_document::rollout::{FaultThresholds, Timestamp, UnprovenAction};
use fulmarreel_rollout::{Plan, Share};
use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::Deserialize;
use serde_json::Value;
use std::time::Duration;

/// When every rollout is declared, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_800_000_000_000;

/// Fraction of a version's calls from which on a fault is to be found.
const BAD_FRACTION: f64 = 0.02;

/// Fraction of a route's calls that must be slow for its 95th percentile to change.
const BAD_ROUTE_FRACTION: f64 = 0.05;

/// Fraction of calls from which on a fault counts as hard.
const HARD_FRACTION: f64 = 0.5;

/// Why a case file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not JSON with comments.
    #[error("the case file is not JSON with comments: {0}")]
    Syntax(#[from] jsonc_parser::errors::ParseError),
    /// The file holds something other than cases.
    #[error("the case file holds {0}, expected an array of cases or an object with only 'cases'")]
    Shape(&'static str),
    /// A case has a missing, unknown or mistyped field.
    #[error("case {index} ({name}): {source}")]
    Field {
        /// Number of the case, counted from 1.
        index: usize,
        /// The name of the case.
        name: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A value breaks a rule.
    #[error("case {index} ({name}): field '{field}': {given}, expected {expected}")]
    Value {
        /// Number of the case, counted from 1.
        index: usize,
        /// The name of the case.
        name: String,
        /// The field.
        field: &'static str,
        /// The value given.
        given: String,
        /// The values accepted.
        expected: &'static str,
    },
}

/// One case of the experiment.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Name in the report.
    pub name: String,
    /// Nodes that call the service.
    pub nodes: u32,
    /// Calls to the service per second, over all nodes.
    pub calls_per_s: f64,
    /// Share of the calls per route.
    #[serde(default = "one_route")]
    pub routes: Vec<f64>,
    /// Whether every route is idempotent.
    pub idempotent: bool,
    /// Seconds from the declaration to the deadline.
    pub seconds_to_hour: u64,
    /// The document's `unproven_percent`.
    pub unproven_percent: Option<f64>,
    /// The document's `unproven_at_deadline`.
    #[serde(default)]
    pub unproven_at_deadline: AtDeadline,
    /// The document's `soak_seconds`.
    #[serde(default = "soak_seconds")]
    pub soak_seconds: u64,
    /// The document's `fault.error_percent`.
    #[serde(default = "error_percent")]
    pub error_percent: f64,
    /// The document's `fault.latency_ratio`.
    #[serde(default = "latency_ratio")]
    pub latency_ratio: f64,
    /// Errors of both versions in percent of calls.
    #[serde(default = "base_error_percent")]
    pub base_error_percent: f64,
    /// Median latency of both versions in milliseconds.
    #[serde(default = "base_latency_ms")]
    pub base_latency_ms: f64,
    /// Standard deviation of the latency's natural logarithm.
    #[serde(default = "latency_sigma")]
    pub latency_sigma: f64,
    /// The fault of the new version; without one the version is good.
    pub fault: Option<Fault>,
    /// Faults of the network path, or of both versions alike.
    #[serde(default)]
    pub disturbances: Vec<Disturbance>,
    /// Loss and delay of evidence.
    #[serde(default)]
    pub evidence: Transport,
    /// Nodes whose reports mislead.
    pub misleading: Option<Misleading>,
    /// Times during which the owner cannot reach the store.
    #[serde(default)]
    pub store_outages: Vec<Span>,
    /// Times in seconds at which the owner is lost; another one starts without its state.
    #[serde(default)]
    pub owner_lost_at: Vec<u64>,
    /// How far the first owner's clock is ahead, in seconds.
    #[serde(default)]
    pub clock_ahead_seconds: i64,
    /// Seconds until a published step is active on the nodes.
    #[serde(default = "one_second")]
    pub spread_seconds: u64,
}

/// What the document asks for an unproven version at its deadline.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AtDeadline {
    /// All traffic moves.
    Complete,
    /// The share stays.
    #[default]
    Hold,
}

/// A fault of the new version.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Errors: the fraction of calls that fail. Slowness: the factor on the latency.
    pub magnitude: f64,
    /// Slowness: the fraction of calls that are slow.
    #[serde(default = "all")]
    pub calls: f64,
    /// Seconds from the declaration until the fault begins.
    #[serde(default)]
    pub after_seconds: u64,
    /// Calls per second to the new version above which the fault shows.
    #[serde(default)]
    pub above_calls_per_s: f64,
    /// Index of the only route that has the fault.
    pub route: Option<usize>,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Calls fail.
    Errors,
    /// Calls are slow.
    Slowness,
}

/// A fault that is not the new version's.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// Where the fault lies.
    pub kind: Location,
    /// Path: the fraction of nodes whose calls are affected. Both versions: the fraction of calls
    /// that are affected.
    #[serde(default = "all")]
    pub part: f64,
    /// The fraction of the affected calls that fail.
    #[serde(default)]
    pub errors: f64,
    /// The factor on the latency of the affected calls.
    #[serde(default = "all")]
    pub slowness: f64,
    /// Seconds from the declaration until it begins.
    pub from_seconds: u64,
    /// How many seconds it lasts.
    pub seconds: u64,
}

/// Where a fault lies that is not the new version's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Location {
    /// On the network path of some nodes.
    Path,
    /// In both versions alike.
    Both,
}

/// Loss and delay of evidence.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transport {
    /// The fraction of reports that are lost.
    #[serde(default)]
    pub loss: f64,
    /// Seconds from the end of a window until its reports reach the owner.
    #[serde(default = "one_second")]
    pub delay_seconds: u64,
}

/// Nodes whose reports mislead.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Misleading {
    /// How many nodes.
    pub nodes: u32,
    /// What they report of the new version.
    pub report: Report,
}

/// What a misleading node reports of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// Every call failed.
    Failed,
    /// Every call was slow.
    Slow,
    /// No call failed or was slow.
    Well,
}

/// A stretch of time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Seconds from the declaration until it begins.
    pub from_seconds: u64,
    /// How many seconds it lasts.
    pub seconds: u64,
}

/// The expected verdict on a case's new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The version has no fault and should complete in time.
    Good,
    /// The version has a fault that should be found.
    Bad,
    /// The fault is so small that neither verdict counts as wrong.
    Minor,
}

impl Default for Transport {
    fn default() -> Self {
        Self {
            loss: 0.0,
            delay_seconds: one_second(),
        }
    }
}

fn one_route() -> Vec<f64> {
    vec![1.0]
}

fn soak_seconds() -> u64 {
    300
}

fn error_percent() -> f64 {
    1.0
}

fn latency_ratio() -> f64 {
    2.0
}

fn base_error_percent() -> f64 {
    0.1
}

fn base_latency_ms() -> f64 {
    20.0
}

fn latency_sigma() -> f64 {
    0.5
}

fn all() -> f64 {
    1.0
}

fn one_second() -> u64 {
    1
}

/// Parses and checks a case file.
pub fn parse(text: &str) -> Result<Vec<Case>, Error> {
    let value: Option<Value> = parse_to_serde_value(text, &ParseOptions::default())?;
    let cases = match value {
        Some(Value::Array(cases)) => cases,
        Some(Value::Object(mut fields)) => match (fields.remove("cases"), fields.is_empty()) {
            (Some(Value::Array(cases)), true) => cases,
            _ => return Err(Error::Shape("another object")),
        },
        Some(_) => return Err(Error::Shape("another value")),
        None => return Err(Error::Shape("nothing")),
    };
    if cases.is_empty() {
        return Err(Error::Shape("no case"));
    }
    let numbered = cases.into_iter().zip(1..);
    numbered
        .map(|(value, index)| parse_case(value, index))
        .collect()
}

fn parse_case(value: Value, index: usize) -> Result<Case, Error> {
    let name = value.get("name").and_then(Value::as_str);
    let name = name.unwrap_or("without a name").to_owned();
    let case: Case = serde_json::from_value(value).map_err(|source| Error::Field {
        index,
        name: name.clone(),
        source,
    })?;
    match case.broken_rule() {
        None => Ok(case),
        Some((field, given, expected)) => Err(Error::Value {
            index,
            name,
            field,
            given,
            expected,
        }),
    }
}

type BrokenRule = (&'static str, String, &'static str);

impl Case {
    /// The plan that the case's document declares.
    pub fn plan(&self) -> Plan {
        let default = if self.idempotent {
            fulmarreel_document::rollout::DEFAULT_UNPROVEN_PERCENT_IDEMPOTENT
        } else {
            fulmarreel_document::rollout::DEFAULT_UNPROVEN_PERCENT
        };
        Plan {
            complete_by: Timestamp(START_MS + self.seconds_to_hour * 1_000),
            unproven_share: Share::from_fraction(self.unproven_percent.unwrap_or(default) / 100.0),
            fault: FaultThresholds {
                error_percent: self.error_percent,
                latency_ratio: self.latency_ratio,
            },
            unproven_at_deadline: match self.unproven_at_deadline {
                AtDeadline::Complete => UnprovenAction::Complete,
                AtDeadline::Hold => UnprovenAction::Hold,
            },
            soak: Duration::from_secs(self.soak_seconds),
            idempotent: self.idempotent,
        }
    }

    /// The expected verdict on the new version.
    pub fn expected_verdict(&self) -> Verdict {
        let Some(fault) = &self.fault else {
            return Verdict::Good;
        };
        let route_share = fault.route.map_or(1.0, |route| self.routes[route]);
        let affected_fraction = match fault.kind {
            FaultKind::Errors => fault.magnitude,
            FaultKind::Slowness if fault.magnitude < self.latency_ratio => 0.0,
            FaultKind::Slowness => fault.calls,
        };
        let slow_route =
            fault.kind == FaultKind::Slowness && affected_fraction >= BAD_ROUTE_FRACTION;
        if affected_fraction * route_share >= BAD_FRACTION || slow_route {
            Verdict::Bad
        } else {
            Verdict::Minor
        }
    }

    /// Whether half of the calls or more fail or are slow, in a non-idempotent service.
    pub fn is_hard_non_idempotent(&self) -> bool {
        let Some(fault) = &self.fault else {
            return false;
        };
        let route_share = fault.route.map_or(1.0, |route| self.routes[route]);
        let affected_fraction = match fault.kind {
            FaultKind::Errors => fault.magnitude,
            FaultKind::Slowness => fault.calls,
        };
        !self.idempotent
            && self.expected_verdict() == Verdict::Bad
            && affected_fraction * route_share >= HARD_FRACTION
    }

    fn broken_rule(&self) -> Option<BrokenRule> {
        let rules = [
            (
                self.nodes >= 1,
                "nodes",
                self.nodes.to_string(),
                "at least 1",
            ),
            positive("calls_per_s", self.calls_per_s),
            (
                (self.routes.iter().sum::<f64>() - 1.0).abs() < 0.001
                    && self.routes.iter().all(|&share| share > 0.0),
                "routes",
                format!("{:?}", self.routes),
                "shares over 0 that add up to 1",
            ),
            (
                (1..=86_400).contains(&self.seconds_to_hour),
                "seconds_to_hour",
                self.seconds_to_hour.to_string(),
                "1 to 86400",
            ),
            percent("unproven_percent", self.unproven_percent.unwrap_or(1.0)),
            percent("error_percent", self.error_percent),
            (
                self.latency_ratio > 1.0,
                "latency_ratio",
                self.latency_ratio.to_string(),
                "a number over 1",
            ),
            fraction("base_error_percent", self.base_error_percent / 100.0),
            positive("base_latency_ms", self.base_latency_ms),
            positive("latency_sigma", self.latency_sigma),
            fraction("evidence.loss", self.evidence.loss),
            self.misleading_rule(),
        ];
        let faults = self.fault.iter().flat_map(|fault| self.fault_rules(fault));
        let disturbances = self.disturbances.iter().flat_map(Disturbance::rules);
        let all = rules.into_iter().chain(faults).chain(disturbances);
        let broken = all.into_iter().find(|(holds, ..)| !holds);
        broken.map(|(_, field, given, expected)| (field, given, expected))
    }

    fn misleading_rule(&self) -> Rule {
        let nodes = self
            .misleading
            .as_ref()
            .map_or(0, |misleading| misleading.nodes);
        (
            nodes <= self.nodes,
            "misleading.nodes",
            nodes.to_string(),
            "at most 'nodes'",
        )
    }

    fn fault_rules(&self, fault: &Fault) -> [Rule; 3] {
        let magnitude = match fault.kind {
            FaultKind::Errors => fraction("fault.magnitude", fault.magnitude),
            FaultKind::Slowness => (
                fault.magnitude >= 1.0,
                "fault.magnitude",
                fault.magnitude.to_string(),
                "a factor of at least 1 (slowness)",
            ),
        };
        let route = fault.route.unwrap_or(0);
        let route = (
            route < self.routes.len(),
            "fault.route",
            route.to_string(),
            "an index of 'routes'",
        );
        [magnitude, fraction("fault.calls", fault.calls), route]
    }
}

impl Disturbance {
    fn rules(&self) -> [Rule; 3] {
        let slowness = (
            self.slowness >= 1.0,
            "disturbances.slowness",
            self.slowness.to_string(),
            "a factor of at least 1",
        );
        [
            fraction("disturbances.part", self.part),
            fraction("disturbances.errors", self.errors),
            slowness,
        ]
    }
}

/// Whether a rule holds, the field, the value given and the values accepted.
type Rule = (bool, &'static str, String, &'static str);

fn positive(field: &'static str, given: f64) -> Rule {
    (
        given > 0.0 && given.is_finite(),
        field,
        given.to_string(),
        "a number over 0",
    )
}

fn percent(field: &'static str, given: f64) -> Rule {
    let holds = given > 0.0 && given <= 100.0;
    (
        holds,
        field,
        given.to_string(),
        "more than 0 and at most 100",
    )
}

fn fraction(field: &'static str, given: f64) -> Rule {
    (
        (0.0..=1.0).contains(&given),
        field,
        given.to_string(),
        "a fraction from 0 to 1",
    )
}
