//! The two moves, and how they end.

use super::cli::{Cli, Standing};
use smol::Timer;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The version that both moves lead to.
pub const VERSION: &str = "v2";

/// The move to a good version.
pub const GOOD: Shift = Shift {
    service: "parcelas",
    deadline_seconds: 90,
};

/// The move to a bad version.
pub const BAD: Shift = Shift {
    service: "reservas",
    deadline_seconds: 60,
};

/// How long versions are compared once the new one has all traffic, in seconds.
const SOAK_SECONDS: u64 = 8;

/// How often the standing is asked for.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A move to be declared.
#[derive(Debug)]
pub struct Shift {
    pub service: &'static str,
    /// The deadline, counted from the declaration.
    pub deadline_seconds: u64,
}

impl Shift {
    /// The part of a document that declares the move from now on.
    pub fn declaration(&self) -> String {
        let deadline = jiff::Timestamp::now() + Duration::from_secs(self.deadline_seconds);
        format!(
            r#""move": {{ "to": "{VERSION}", "complete_by": "{deadline:.0}", "soak_seconds": {SOAK_SECONDS} }}"#
        )
    }
}

/// How the moves ended, as far as they did.
#[derive(Debug, Default)]
pub struct Ends {
    ends: BTreeMap<String, String>,
    last: BTreeMap<String, String>,
}

impl Ends {
    /// How a service's move ended, or the phase that it was in last.
    pub fn of(&self, service: &str) -> String {
        let found = self.ends.get(service).or_else(|| self.last.get(service));
        found.cloned().unwrap_or_else(|| "not-run".to_owned())
    }

    /// Shows the moves' steps until both are over or the time has passed.
    pub async fn follow(
        &mut self,
        cli: &Cli,
        time: Duration,
        say: &impl Fn(&str),
    ) -> anyhow::Result<()> {
        let deadline = Instant::now() + time;
        let mut shown = BTreeMap::new();
        while Instant::now() < deadline && self.ends.len() < [GOOD, BAD].len() {
            for standing in cli.status()? {
                self.note(&standing, &mut shown, say);
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn note(
        &mut self,
        standing: &Standing,
        shown: &mut BTreeMap<String, String>,
        say: &impl Fn(&str),
    ) {
        let Some(step) = &standing.last_move else {
            return;
        };
        let (Some(phase), Some(revision)) = (&step.phase, step.revision) else {
            return;
        };
        if revision != standing.revision {
            return;
        }
        let service = &standing.service;
        let percent = step.share_percent.unwrap_or_default();
        let line = format!(
            "{service}: {phase}, {percent:.1} % of calls: {}",
            step.reason
        );
        if shown.insert(service.clone(), line.clone()).as_ref() != Some(&line) {
            say(&line);
        }
        self.last.insert(service.clone(), phase.clone());
        let late = step.moved_at > standing.complete_by;
        let end = match phase.as_str() {
            "completed" if late => "completed-late",
            "completed" | "taken-back" => phase,
            _ => return,
        };
        self.ends.insert(service.clone(), end.to_owned());
    }
}
