//! Logs one line for each routing or placement decision.
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

/// The log target of decisions, which distinguishes them from other lines.
pub const TARGET: &str = "decision";

/// Limits the number of lines per second; every line is written until
/// [`set_limit_per_second`] is called.
static SAMPLER: OnceLock<Sampler> = OnceLock::new();

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A call is sent to a target.
    Route,
    /// A call is refused, and was not run.
    Refuse,
    /// A call is sent again after an attempt without a response.
    Retry,
    /// A call's outcome is unknown, and it is not sent again.
    GiveUp,
    /// A call waits for a slot of the local target, or gets one.
    Admit,
    /// A target is added to the known targets or removed from them.
    Place,
    /// A document becomes active, or is not activated yet.
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

/// A decision and its reason; fields that are `None` are omitted from the line.
#[derive(Debug, Clone, Copy)]
pub struct Decision<'a> {
    /// What was decided.
    pub kind: Kind,
    /// The call's sequence number.
    pub call: Option<u64>,
    /// The service.
    pub service: &'a str,
    /// The version.
    pub version: Option<&'a str>,
    /// The document's revision.
    pub revision: Option<u64>,
    /// The address of the node in front of the target.
    pub target: Option<SocketAddr>,
    /// The reason, as text for operators.
    pub reason: &'a str,
}

impl<'a> Decision<'a> {
    /// Creates a decision about a service without a call, version, revision or target.
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

    /// Writes the decision's line at level `info`, unless the limit of this second is reached.
    ///
    /// Dropped lines are counted by the metric `fulmarreel_decisions_dropped_total` and by a log
    /// line that is written with the first decision of a later second.
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

/// Limits how many decisions are written per second; must be called once, at startup.
pub fn set_limit_per_second(decisions_per_second: u32) {
    // A later call has no effect: the first limit stays.
    let _ = SAMPLER.set(Sampler::new(decisions_per_second));
}

fn unix_second() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_secs())
}
