//! One log line for each routing or placement decision.
//!
//! ```
//! use fulmarreel_node::telemetry::{Decision, decision::Kind};
//!
//! Decision {
//!     call: Some(7),
//!     version: Some("v2"),
//!     target: Some("127.0.0.1:7002".parse()?),
//!     ..Decision::new(Kind::Route, "reservas", "least loaded of two in the own zone")
//! }
//! .log();
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

use super::{Sampler, metrics};
use log::{Level, Record, kv::Value};
use std::{
    net::SocketAddr,
    sync::OnceLock,
    time::{SystemTime, UNIX_EPOCH},
};

/// The log target of decisions, by which readers tell them from other lines.
pub const TARGET: &str = "decision";

/// Decides which lines are written; every line before [`limit`] is called.
static SAMPLER: OnceLock<Sampler> = OnceLock::new();

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A call goes to a target.
    Route,
    /// A call is refused, and was not run.
    Refuse,
    /// A call goes to another target, as the first did not run it.
    Retry,
    /// A call's outcome is unknown and stays so.
    GiveUp,
    /// A call waits for or gets a slot of the node's own target.
    Admit,
    /// A target is taken into the set or removed from it.
    Place,
    /// A document becomes active, or waits.
    Document,
    /// A version's share of the calls changes.
    Shift,
}

impl Kind {
    /// The kind's name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Refuse => "refuse",
            Self::Retry => "retry",
            Self::GiveUp => "give-up",
            Self::Admit => "admit",
            Self::Place => "place",
            Self::Document => "document",
            Self::Shift => "shift",
        }
    }
}

/// One decision and why it was made; absent fields are left out of the line.
#[derive(Debug, Clone, Copy)]
pub struct Decision<'a> {
    /// What was decided.
    pub kind: Kind,
    /// The call's id.
    pub call: Option<u64>,
    /// The service.
    pub service: &'a str,
    /// The version.
    pub version: Option<&'a str>,
    /// The document's revision.
    pub revision: Option<u64>,
    /// The address of the node in front of the target.
    pub target: Option<SocketAddr>,
    /// Why, in words for operators.
    pub reason: &'a str,
}

impl<'a> Decision<'a> {
    /// A decision about a service, without a call, version or target.
    pub fn new(kind: Kind, service: &'a str, reason: &'a str) -> Self {
        Self {
            kind,
            call: None,
            service,
            version: None,
            revision: None,
            target: None,
            reason,
        }
    }

    /// Writes the decision's line at level `info`, unless this second's lines are used up.
    ///
    /// Lines that are left out are counted, in the metric `fulmarreel_decisions_dropped_total` and
    /// in a line of their own once a later second begins.
    pub fn log(&self) {
        if !log::log_enabled!(target: TARGET, Level::Info) {
            return;
        }
        if let Some(sampler) = SAMPLER.get() {
            let admission = sampler.admit(unix_second());
            if admission.dropped_before > 0 {
                log::warn!(dropped = admission.dropped_before; "decisions left out of the log");
            }
            if !admission.admitted {
                metrics::decision_dropped();
                return;
            }
        }
        self.write();
    }

    fn write(&self) {
        let target = self.target.map(|target| target.to_string());
        let fields = [
            ("decision", Some(Value::from(self.kind.name()))),
            ("call", self.call.map(Value::from)),
            ("service", Some(Value::from(self.service))),
            ("version", self.version.map(Value::from)),
            ("revision", self.revision.map(Value::from)),
            ("target", target.as_deref().map(Value::from)),
            ("reason", Some(Value::from(self.reason))),
        ];
        let present = fields
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)));
        let present: Vec<(&str, Value<'_>)> = present.collect();
        log::logger().log(
            &Record::builder()
                .level(Level::Info)
                .target(TARGET)
                .key_values(&present.as_slice())
                .args(format_args!(""))
                .build(),
        );
    }
}

/// Sets how many decisions are written in a second; to be called once, at the start.
pub fn limit(decisions_per_second: u32) {
    // A later call has no effect: the first limit stays.
    let _ = SAMPLER.set(Sampler::new(decisions_per_second));
}

fn unix_second() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
