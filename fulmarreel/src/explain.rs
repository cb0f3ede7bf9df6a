//! Reconstructs what happened to one request from the log lines of the nodes that handled it.

use serde::Deserialize;
use std::fmt::Write;

/// A log line and where it was found.
#[derive(Debug, Clone, Copy)]
pub struct LogLine<'a> {
    /// The file's name.
    pub file: &'a str,
    /// The line, including any prefix that the log collector wrote before the JSON object.
    pub text: &'a str,
}

/// What the log lines say about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The request's log lines in order of time: time, origin and message.
    pub lines: Vec<String>,
    /// How the request ended, in a few sentences.
    pub summary: String,
    /// Number of lines that contain the id and cannot be parsed.
    pub unreadable: usize,
}

/// Why a request cannot be explained.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No line has the request's id.
    #[error(
        "no line bears the id '{0}': nodes log only one in 16 of the requests that were answered \
        well within their objective"
    )]
    NotFound(String),
}

/// The fields of a log line that concern a request.
#[derive(Debug, Deserialize)]
struct Line {
    at: String,
    #[serde(default)]
    id: String,
    message: String,
    /// The request's outcome, such as `answered` or `not-run`; set in the line that records its end.
    outcome: Option<String>,
    status: Option<u16>,
    service: Option<String>,
    version: Option<String>,
    revision: Option<u64>,
    target: Option<String>,
    /// Number of targets that the request was offered to.
    offers: Option<u32>,
    /// How long the caller allowed.
    allowed_ms: Option<u64>,
    /// How long the target worked.
    ran_ms: Option<u64>,
    took_ms: Option<u64>,
    /// Number of requests at the target when it refused this one.
    load: Option<u32>,
    slots: Option<u32>,
    /// The time within which the request wanted a slot.
    wanted_ms: Option<u64>,
    backlog_ms: Option<u64>,
    /// The size of the body that the link could not carry in time.
    bytes: Option<u64>,
    /// The store revision up to which the node knew the store.
    known: Option<u64>,
    /// The latest store revision that the node had heard of.
    heard: Option<u64>,
    /// Time since the node's last contact with the store.
    contact_age_ms: Option<u64>,
}

/// A log line and the node that wrote it.
struct NodeLine<'a> {
    /// The name before the JSON object, or the file's name where there is none.
    node: &'a str,
    line: Line,
}

/// Sorts a request's log lines by time and summarizes how the request ended.
///
/// # Errors
///
/// No line has the id.
pub fn explain<'a>(
    id: &str,
    log_lines: impl IntoIterator<Item = LogLine<'a>>,
) -> Result<Outcome, Error> {
    let mut entries = Vec::new();
    let mut unreadable = 0;
    for log_line in log_lines {
        if !log_line.text.contains(id) {
            continue;
        }
        match parse(log_line) {
            Some(parsed) if parsed.line.id == id => entries.push(parsed),
            Some(_) => {}
            None => unreadable += 1,
        }
    }
    if entries.is_empty() {
        return Err(Error::NotFound(id.to_owned()));
    }
    entries.sort_by(|a, b| a.line.at.cmp(&b.line.at));
    Ok(Outcome {
        lines: entries.iter().map(NodeLine::format).collect(),
        summary: summarize(&entries),
        unreadable,
    })
}

fn parse(log_line: LogLine<'_>) -> Option<NodeLine<'_>> {
    let (prefix, json) = log_line.text.split_at(log_line.text.find('{')?);
    let node = prefix.split_whitespace().last().unwrap_or(log_line.file);
    let line = serde_json::from_str(json).ok()?;
    Some(NodeLine { node, line })
}

impl NodeLine<'_> {
    fn format(&self) -> String {
        format!("{} {}: {}", self.line.at, self.node, self.line.message)
    }

    /// The reason for a refusal or a lost answer, as the target's node logged it.
    fn cause(&self) -> Option<String> {
        let line = &self.line;
        if let (Some(load), Some(slots)) = (line.load, line.slots) {
            return Some(format!(
                "{} refused it with {load} requests at {slots} slots, a backlog of {} ms where a slot was wanted within {} ms",
                self.node,
                line.backlog_ms.unwrap_or_default(),
                line.wanted_ms.unwrap_or_default(),
            ));
        }
        if let (Some(backlog), Some(bytes)) = (line.backlog_ms, line.bytes) {
            return Some(format!(
                "{} refused it with a backlog of {backlog} ms on its link before the {bytes} bytes of its body",
                self.node,
            ));
        }
        let lost = line.message.strip_prefix("no answer: ")?;
        let after = line.took_ms.unwrap_or_default();
        Some(format!(
            "{} had no answer after {after} ms: {lost}",
            self.node
        ))
    }
}

fn summarize(entries: &[NodeLine<'_>]) -> String {
    let causes: Vec<String> = entries.iter().filter_map(NodeLine::cause).collect();
    let end = entries.iter().find(|entry| entry.line.outcome.is_some());
    let early_end = entries.iter().find(|entry| entry.line.status.is_some());
    let mut text = match end.map(describe_end).or_else(|| early_end.map(describe_early_end)) {
        Some(text) => text,
        None if entries
            .iter()
            .any(|entry| entry.line.message.contains("caller left")) =>
        {
            "Its caller left before an answer.".to_owned()
        }
        None => "The line that records the request's end is missing: the node that took the request stopped, or its log was not given."
            .to_owned(),
    };
    for cause in causes {
        let _ = write!(text, " {cause}.");
    }
    text
}

/// Describes a request that the caller's node ended before offering it to a target.
fn describe_early_end(end: &NodeLine<'_>) -> String {
    let line = &end.line;
    let or_zero = |value: Option<u64>| value.unwrap_or_default();
    let contact = line.contact_age_ms.map_or_else(
        || "it had never read the store".to_owned(),
        |age| format!("it was in contact with the store {age} ms before"),
    );
    format!(
        "Ended with {} by {} itself: {}. By revision {}; it knew the store up to {} and had heard of {}, and {contact}.",
        line.status.unwrap_or_default(),
        end.node,
        line.message,
        or_zero(line.revision),
        or_zero(line.known),
        or_zero(line.heard),
    )
}

/// Describes a request that was offered to a target.
fn describe_end(end: &NodeLine<'_>) -> String {
    let line = &end.line;
    let or_zero = |value: Option<u64>| value.unwrap_or_default();
    let or_empty = |value: &Option<String>| value.clone().unwrap_or_default();
    let took = or_zero(line.took_ms);
    let offers = line.offers.unwrap_or_default();
    let mut text = match line.outcome.as_deref() {
        Some("answered") => format!(
            "Answered with {} after {took} ms, of which the target worked {} ms; the caller allowed {} ms.",
            line.status.unwrap_or_default(),
            or_zero(line.ran_ms),
            or_zero(line.allowed_ms),
        ),
        Some("not-run") => format!("Refused after {took} ms, and not run: {}.", line.message),
        _ => format!(
            "No answer after {took} ms, and it may have run: {}.",
            line.message
        ),
    };
    let _ = write!(
        text,
        " By revision {} for {} {}, offered to {offers} targets, last {}.",
        or_zero(line.revision),
        or_empty(&line.service),
        or_empty(&line.version),
        or_empty(&line.target),
    );
    text
}
