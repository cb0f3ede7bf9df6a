//! The document as deserialized, before validation.

use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Document {
    pub service: String,
    pub version: String,
    pub routes: Vec<Route>,
    #[serde(rename = "move")]
    pub shift: Option<Shift>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Route {
    pub path: String,
    pub service: Option<String>,
    #[serde(default)]
    pub idempotent: bool,
    pub timeout_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Shift {
    pub to: String,
    pub complete_by: String,
    pub unproven_percent: Option<f64>,
    pub fault: Option<Fault>,
    pub unproven_at_deadline: Option<Fallback>,
    pub soak_seconds: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fault {
    pub error_percent: Option<f64>,
    pub latency_ratio: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Fallback {
    Complete,
    Hold,
}
