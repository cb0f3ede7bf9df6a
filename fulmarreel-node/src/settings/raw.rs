//! Settings as they are written, before any rule is checked.

use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Settings {
    pub zone: String,
    pub region: String,
    pub callers: Listener,
    pub peers: Listener,
    pub admin: Listener,
    pub target: String,
    pub store: Vec<String>,
    #[serde(default)]
    pub seeds: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Listener {
    pub bind: String,
    pub advertise: Option<String>,
}
