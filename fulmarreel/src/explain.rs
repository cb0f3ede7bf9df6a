//! What became of one request, from the log lines of the nodes that saw it.

use serde::Deserialize;
use std::fmt::Write;

/// A log line and where it was found.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// The file's name.
    pub file: &'a str,
    /// The line, with whatever its collector wrote before the JSON.
    pub text: &'a str,
}

/// A request's way through the nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The request's lines by time: who wrote each, and what.
    pub lines: Vec<String>,
    /// What became of the request, in a sentence or two.
    pub summary: String,
    /// Lines that hold the id and cannot be read.
    pub unreadable: usize,
}

/// Why a request cannot be explained.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No line bears its id.
    #[error(
        "no line bears the id '{0}': of requests that were answered well within their objective, \
        nodes log one in 16"
    )]
    Absent(String),
}

/// The fields of a line that tell of a request.
#[derive(Debug, Deserialize)]
struct Line {
    at: String,
    #[serde(default)]
    id: String,
    message: String,
    outcome: Option<String>,
    status: Option<u16>,
    service: Option<String>,
    version: Option<String>,
    revision: Option<u64>,
    target: Option<String>,
    offers: Option<u32>,
    allowed_ms: Option<u64>,
    ran_ms: Option<u64>,
    took_ms: Option<u64>,
    load: Option<u32>,
    slots: Option<u32>,
    wanted_ms: Option<u64>,
    backlog_ms: Option<u64>,
    known: Option<u64>,
    heard: Option<u64>,
    contact_age_ms: Option<u64>,
}

/// A line with who wrote it.
struct Told<'a> {
    by: &'a str,
    line: Line,
}

/// Puts a request's lines in order and says what became of it.
///
/// # Errors
///
/// No line bears the id.
pub fn explain<'a>(
    id: &str,
    sources: impl IntoIterator<Item = Source<'a>>,
) -> Result<Outcome, Error> {
    let mut told = Vec::new();
    let mut unreadable = 0;
    for source in sources {
        if !source.text.contains(id) {
            continue;
        }
        match read(source) {
            Some(read) if read.line.id == id => told.push(read),
            Some(_) => {}
            None => unreadable += 1,
        }
    }
    if told.is_empty() {
        return Err(Error::Absent(id.to_owned()));
    }
    told.sort_by(|a, b| a.line.at.cmp(&b.line.at));
    Ok(Outcome {
        lines: told.iter().map(Told::show).collect(),
        summary: summary(&told),
        unreadable,
    })
}

fn read(source: Source<'_>) -> Option<Told<'_>> {
    let (before, json) = source.text.split_at(source.text.find('{')?);
    let by = before.split_whitespace().last().unwrap_or(source.file);
    let line = serde_json::from_str(json).ok()?;
    Some(Told { by, line })
}

impl Told<'_> {
    fn show(&self) -> String {
        format!("{} {}: {}", self.line.at, self.by, self.line.message)
    }

    /// What the target's node says of a refusal or a lost answer.
    fn cause(&self) -> Option<String> {
        let line = &self.line;
        if let (Some(load), Some(slots)) = (line.load, line.slots) {
            return Some(format!(
                "{} refused it with {load} requests at {slots} slots, a backlog of {} ms where a slot was wanted within {} ms",
                self.by,
                line.backlog_ms.unwrap_or_default(),
                line.wanted_ms.unwrap_or_default(),
            ));
        }
        let lost = line.message.strip_prefix("no answer: ")?;
        let after = line.took_ms.unwrap_or_default();
        Some(format!(
            "{} had no answer after {after} ms: {lost}",
            self.by
        ))
    }
}

fn summary(told: &[Told<'_>]) -> String {
    let causes: Vec<String> = told.iter().filter_map(Told::cause).collect();
    let end = told.iter().find(|told| told.line.outcome.is_some());
    let early = told.iter().find(|told| told.line.status.is_some());
    let mut text = match end.map(ended).or_else(|| early.map(ended_early)) {
        Some(text) => text,
        None if told
            .iter()
            .any(|told| told.line.message.contains("caller left")) =>
        {
            "Its caller left before an answer.".to_owned()
        }
        None => "The line of its end is missing: the callers' node ended, or its log is not here."
            .to_owned(),
    };
    for cause in causes {
        let _ = write!(text, " {cause}.");
    }
    text
}

/// A request that its callers' node ended before it was offered to a target.
fn ended_early(end: &Told<'_>) -> String {
    let line = &end.line;
    let number = |value: Option<u64>| value.unwrap_or_default();
    let contact = line.contact_age_ms.map_or_else(
        || "it had never read the store".to_owned(),
        |age| format!("it was in contact with the store {age} ms before"),
    );
    format!(
        "Ended with {} by {} itself: {}. By revision {}; it knew the store up to {} and had heard of {}, and {contact}.",
        line.status.unwrap_or_default(),
        end.by,
        line.message,
        number(line.revision),
        number(line.known),
        number(line.heard),
    )
}

fn ended(end: &Told<'_>) -> String {
    let line = &end.line;
    let number = |value: Option<u64>| value.unwrap_or_default();
    let word = |value: &Option<String>| value.clone().unwrap_or_default();
    let took = number(line.took_ms);
    let offers = line.offers.unwrap_or_default();
    let mut text = match line.outcome.as_deref() {
        Some("answered") => format!(
            "Answered with {} after {took} ms, of which the target worked {} ms; the caller allowed {} ms.",
            line.status.unwrap_or_default(),
            number(line.ran_ms),
            number(line.allowed_ms),
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
        number(line.revision),
        word(&line.service),
        word(&line.version),
        word(&line.target),
    );
    text
}
