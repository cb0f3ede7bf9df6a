//! Metrics in the Prometheus text format.
//!
//! Names and labels are part of the operators' interface; docs/OPERATIONS.md lists them.

use fulmarreel_wire::call::Refusal;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use metrics_util::MetricKindMask;
use smol::Timer;
use std::{sync::OnceLock, time::Duration};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0,
];

/// How often recorded latencies are aggregated into buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// A gauge that was not set for this long is no longer exported, such as one of a version whose
/// targets are gone.
const GAUGE_LIFETIME: Duration = Duration::from_secs(60);

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered, and the response was returned to the caller.
    Answered,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why the place or the start of targets had a request refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its route or account does not allow the region.
    Region,
    /// The zone is evacuated.
    Evacuated,
    /// The target is cold, and gets no more requests for the moment.
    Cold,
}

impl RefusalCause {
    fn name(self) -> &'static str {
        match self {
            Self::Region => "region",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
        }
    }
}

impl Outcome {
    /// The outcome's name, as in the response's header.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// How the work on a call ended after its caller had disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonedEnd {
    /// It was not handed over to its target, and never will be.
    NotRun,
    /// The call was aborted, or its target failed it.
    Failed,
    /// Its target answered.
    Answered,
    /// The connection to the target's node ended before that node reported the end.
    Unreported,
}

impl AbandonedEnd {
    /// The end's name, as in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Answered => "answered",
            Self::Unreported => "untold",
        }
    }
}

/// Installs the recorder; must be called once, while the executor runs.
///
/// # Errors
///
/// The bucket bounds are invalid.
pub fn init() -> Result<(), BuildError> {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BOUNDS)?
        .idle_timeout(MetricKindMask::GAUGE, Some(GAUGE_LIFETIME))
        .build_recorder();
    let handle = recorder.handle();
    // A second call in the same process, as in tests, keeps the first recorder.
    if metrics::set_global_recorder(recorder).is_ok() {
        let _ = HANDLE.set(handle.clone());
        crate::runtime::spawn(async move {
            loop {
                Timer::after(UPKEEP_INTERVAL).await;
                handle.run_upkeep();
            }
        });
    }
    Ok(())
}

/// Renders all metrics as text; empty before [`init`].
pub fn render() -> String {
    HANDLE
        .get()
        .map_or_else(String::new, PrometheusHandle::render)
}

/// Counts a call of this node's callers that ended, and records its latency.
pub fn call_ended(service: &str, version: &str, outcome: Outcome, latency: Duration) {
    let labels = [
        ("service", service.to_owned()),
        ("version", version.to_owned()),
        ("outcome", outcome.name().to_owned()),
    ];
    counter!("fulmarreel_calls_total", &labels).increment(1);
    histogram!("fulmarreel_call_seconds", "service" => service.to_owned())
        .record(latency.as_secs_f64());
}

/// Counts a further attempt of a call.
pub fn call_retried(service: &str) {
    counter!("fulmarreel_retries_total", "service" => service.to_owned()).increment(1);
}

/// Counts a request of an account with a quota that was admitted or refused.
pub fn quota_decided(is_admitted: bool) {
    let outcome = if is_admitted { "admitted" } else { "refused" };
    counter!("fulmarreel_quota_requests_total", "outcome" => outcome).increment(1);
}

/// Records how the work on a call ended after its caller had disconnected, and how long after that,
/// as far as this node was told.
pub fn abandoned_call_ended(end: AbandonedEnd, after: Duration) {
    histogram!("fulmarreel_abandoned_call_seconds", "end" => end.name())
        .record(after.as_secs_f64());
}

/// Records by how much a task ran later than it was due.
pub fn task_delayed(delay: Duration) {
    histogram!("fulmarreel_task_delay_seconds").record(delay.as_secs_f64());
}

/// Counts a call that this node refused on behalf of its target.
pub fn call_refused(service: &str, reason: Refusal) {
    let labels = [
        ("service", service.to_owned()),
        ("reason", reason.name().to_owned()),
    ];
    counter!("fulmarreel_refusals_total", &labels).increment(1);
}

/// Counts a request that was refused because of where targets are, or because one is cold.
pub fn request_refused(service: &str, cause: RefusalCause) {
    let labels = [
        ("service", service.to_owned()),
        ("cause", cause.name().to_owned()),
    ];
    counter!("fulmarreel_requests_refused_total", &labels).increment(1);
}

/// Counts a request that got no slot of the local target, by its class and by why.
pub fn request_shed(class: &'static str, cause: &'static str) {
    counter!("fulmarreel_shed_total", "class" => class, "cause" => cause).increment(1);
}

/// Records how long a request waited for a slot of the local target, by its class and by whether it got
/// one.
pub fn slot_waited(class: &'static str, waited: Duration, granted: bool) {
    let granted = if granted { "yes" } else { "no" };
    histogram!("fulmarreel_slot_wait_seconds", "class" => class, "granted" => granted)
        .record(waited.as_secs_f64());
}

/// Counts a call of the local target that was refused for lack of room at other targets.
pub fn target_call_refused() {
    counter!("fulmarreel_target_calls_refused_total").increment(1);
}

/// Counts a run of the local target that failed while a call of the target was refused.
pub fn run_wasted(route: &str) {
    counter!("fulmarreel_wasted_runs_total", "route" => route.to_owned()).increment(1);
}

/// Counts a request that was refused without another offer to a target, since it could not be answered in
/// time.
pub fn request_given_up(service: &str) {
    counter!("fulmarreel_given_up_total", "service" => service.to_owned()).increment(1);
}

/// Sets the number of calls that run or wait at the local target, and its number of slots.
pub fn set_target_load(in_flight: u16, slots: u16) {
    gauge!("fulmarreel_target_in_flight").set(f64::from(in_flight));
    gauge!("fulmarreel_target_slots").set(f64::from(slots));
}

/// Sets the time until everything known has crossed a direction of this machine's link.
pub fn set_link_backlog(direction: &'static str, backlog: Duration) {
    gauge!("fulmarreel_link_backlog_seconds", "direction" => direction).set(backlog.as_secs_f64());
}

/// Counts a request that was refused since its body could not cross this machine's link in time.
pub fn link_refused(direction: &'static str) {
    counter!("fulmarreel_link_refusals_total", "direction" => direction).increment(1);
}

/// Counts a request that was sent to a target outside of this node's zone; `reason` says why.
pub fn left_zone(service: &str, reason: &'static str) {
    let labels = [
        ("service", service.to_owned()),
        ("reason", reason.to_owned()),
    ];
    counter!("fulmarreel_left_zone_total", &labels).increment(1);
}

/// Counts a watch of the store that ended; `result` says whether it brought events, brought none or
/// failed.
pub fn store_watch_ended(result: &'static str) {
    counter!("fulmarreel_store_watches_total", "result" => result).increment(1);
}

/// Counts an update of the store's mirrored contents that was received from a peer, and its bytes.
pub fn update_received(bytes: u64) {
    counter!("fulmarreel_updates_received_total").increment(1);
    counter!("fulmarreel_updates_received_bytes_total").increment(bytes);
}

/// Counts an item of the store that is left out because it is malformed. `kind` says what is: the
/// decoded `value`, or the `item` in the store's response.
pub fn malformed_item(kind: &'static str) {
    counter!("fulmarreel_malformed_items_total", "kind" => kind).increment(1);
}

/// Counts a request that this node answered itself before offering it to a target.
pub fn request_ended(status: u16, reason: &'static str) {
    let labels = [
        ("status", status.to_string()),
        ("reason", reason.to_owned()),
    ];
    counter!("fulmarreel_requests_ended_total", &labels).increment(1);
}

/// Counts a request that was not authenticated, by the cause.
pub fn key_rejected(cause: &'static str) {
    counter!("fulmarreel_keys_rejected_total", "cause" => cause).increment(1);
}

/// Sets the store's revision up to which this node knows its contents, and the highest revision
/// that it has heard of.
pub fn set_store_revisions(revision: u64, heard: u64) {
    gauge!("fulmarreel_store_revision").set(revision as f64);
    gauge!("fulmarreel_store_revision_heard").set(heard as f64);
}

/// Sets the store's revision at which the active configuration was written; 0 if there is none.
pub fn set_configuration_revision(revision: u64) {
    gauge!("fulmarreel_configuration_revision").set(revision as f64);
}

/// Counts a decision that was not logged because of the limit per second.
pub fn decision_dropped() {
    counter!("fulmarreel_decisions_dropped_total").increment(1);
}

/// Counts a log line that was lost because the output was too slow or failed.
pub fn line_dropped() {
    counter!("fulmarreel_log_lines_dropped_total").increment(1);
}

/// Sets the revision of a service's active document.
pub fn set_document_revision(service: &str, revision: u64) {
    gauge!("fulmarreel_document_revision", "service" => service.to_owned()).set(revision as f64);
}

/// Sets how many targets of a version are known.
pub fn set_target_count(service: &str, version: &str, count: usize) {
    let labels = [
        ("service", service.to_owned()),
        ("version", version.to_owned()),
    ];
    gauge!("fulmarreel_targets", &labels).set(count as f64);
}

/// Sets how many nodes of an availability zone are known.
pub fn set_member_count(zone: &str, count: usize) {
    gauge!("fulmarreel_members", "zone" => zone.to_owned()).set(count as f64);
}

/// Sets whether the node is ready for callers.
pub fn set_ready(ready: bool) {
    gauge!("fulmarreel_ready").set(if ready { 1.0 } else { 0.0 });
}

/// Sets the number of services whose newest document is not active.
pub fn set_documents_held(count: usize) {
    gauge!("fulmarreel_documents_held").set(count as f64);
}

/// Sets the time since a watcher of this region was last in contact with the store.
pub fn set_store_contact_age(age: Duration) {
    gauge!("fulmarreel_store_contact_age_seconds").set(age.as_secs_f64());
}

/// Sets the proved age of this node's copy of the store.
pub fn set_store_proof_age(age: Duration) {
    gauge!("fulmarreel_store_proof_age_seconds").set(age.as_secs_f64());
}

/// Sets the share of calls of a rollout's new version, from 0 to 1.
pub fn set_share(service: &str, version: &str, share: f64) {
    let labels = [
        ("service", service.to_owned()),
        ("version", version.to_owned()),
    ];
    gauge!("fulmarreel_share", &labels).set(share);
}

/// Sets the age of the grant behind a version's share, and the store's revision at which the sender
/// of the grant became the owner.
pub fn set_share_grant(service: &str, version: &str, age: Duration, owner: u64) {
    let labels = [
        ("service", service.to_owned()),
        ("version", version.to_owned()),
    ];
    gauge!("fulmarreel_share_grant_age_seconds", &labels).set(age.as_secs_f64());
    gauge!("fulmarreel_share_owner_revision", &labels).set(owner as f64);
}
