//! Settings in the form of the settings file, before they are checked.

use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Settings {
    pub zone: String,
    pub region: String,
    pub callers: Listener,
    pub peers: Peers,
    pub admin: Listener,
    pub target: String,
    pub store: Vec<String>,
    #[serde(default)]
    pub seeds: Vec<String>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub log: Log,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Listener {
    pub bind: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Peers {
    pub bind: String,
    pub advertise: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Limits {
    pub request_bytes: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Log {
    pub level: Option<Level>,
    pub decisions_per_second: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Level {
    Off,
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}
