//! The two moves of the demonstration, and their outcomes.

use super::cli::{Cli, ServiceStatus};
use smol::Timer;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The new version of both moves.
pub const NEW_VERSION: &str = "v2";

/// The move to a good version.
pub const GOOD_MOVE: PlannedMove = PlannedMove {
    service: "parcelas",
    deadline_seconds: 90,
};

/// The move to a bad version.
pub const BAD_MOVE: PlannedMove = PlannedMove {
    service: "reservas",
    deadline_seconds: 60,
};

/// How long versions are still compared once the new one has all calls, in seconds.
const SOAK_SECONDS: u64 = 8;

/// Interval between reads of the services' status.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A move to be declared.
#[derive(Debug)]
pub struct PlannedMove {
    pub service: &'static str,
    /// Time from the declaration to the deadline.
    pub deadline_seconds: u64,
}

impl PlannedMove {
    /// The field of a document that declares the move, with a deadline that counts from now.
    pub fn declaration(&self) -> String {
        let deadline = jiff::Timestamp::now() + Duration::from_secs(self.deadline_seconds);
        format!(
            r#""move": {{ "to": "{NEW_VERSION}", "complete_by": "{deadline:.0}", "soak_seconds": {SOAK_SECONDS} }}"#
        )
    }
}

/// The outcomes of the moves.
#[derive(Debug, Default)]
pub struct MoveOutcomes {
    /// The outcome of each finished move, by service.
    outcomes: BTreeMap<String, String>,
    /// The last seen phase of each move, by service.
    last_phases: BTreeMap<String, String>,
}

impl MoveOutcomes {
    /// The outcome of a service's move, or the last seen phase if it has none.
    pub fn outcome(&self, service: &str) -> String {
        let found = self
            .outcomes
            .get(service)
            .or_else(|| self.last_phases.get(service));
        found.cloned().unwrap_or_else(|| "not-run".to_owned())
    }

    /// Reports the progress of the moves until both are over or the time has passed.
    pub async fn follow(
        &mut self,
        cli: &Cli,
        limit: Duration,
        say: &impl Fn(&str),
    ) -> anyhow::Result<()> {
        let deadline = Instant::now() + limit;
        let mut shown = BTreeMap::new();
        while Instant::now() < deadline && self.outcomes.len() < [GOOD_MOVE, BAD_MOVE].len() {
            for status in cli.status()? {
                self.report_status(&status, &mut shown, say);
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn report_status(
        &mut self,
        status: &ServiceStatus,
        shown: &mut BTreeMap<String, String>,
        say: &impl Fn(&str),
    ) {
        let Some(state) = &status.last_move else {
            return;
        };
        let (Some(phase), Some(revision)) = (&state.phase, state.revision) else {
            return;
        };
        if revision != status.revision {
            return;
        }
        let service = &status.service;
        let percent = state.share_percent.unwrap_or_default();
        let line = format!(
            "{service}: {phase}, {percent:.1} % of calls: {}",
            state.reason
        );
        if shown.insert(service.clone(), line.clone()).as_ref() != Some(&line) {
            say(&line);
        }
        self.last_phases.insert(service.clone(), phase.clone());
        let is_late = state.moved_at > status.complete_by;
        let outcome = match phase.as_str() {
            "completed" if is_late => "completed-late",
            "completed" | "taken-back" => phase,
            _ => return,
        };
        self.outcomes.insert(service.clone(), outcome.to_owned());
    }
}
