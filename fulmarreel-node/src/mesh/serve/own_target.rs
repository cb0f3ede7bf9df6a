//! What the server believes of the own target.

use super::{CHECK_INTERVAL, Server};
use crate::{
    mesh::{endpoint, keys},
    state::unix_millis,
};
use fulmarreel_membership::{
    Announcement,
    announcement::{CurrentTarget, History, Run, Verdict},
};
use fulmarreel_platform::request;
use fulmarreel_wire::call::Frame;
use smol::Timer;
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// A target that has not announced itself for this many announcement intervals is withdrawn. No
/// announcement is expected to arrive later than that either.
const MAX_SILENT_INTERVALS: u32 = 5;

/// How often a target is asked whether it is there, after an announcement that does not prove it.
const MAX_CONFIRMATION_ATTEMPTS: u32 = 4;

/// The time between two such attempts.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(250);

/// The own target's announcements, and when the last one arrived.
#[derive(Debug)]
pub(super) struct OwnTarget {
    pub current_target: CurrentTarget,
    pub last_heard: Instant,
}

/// The answer to a health check of the own target.
#[derive(Debug)]
struct Health {
    accepts_requests: bool,
    /// How long the target stays cold, if it tells.
    cold_remaining: Option<Duration>,
}

impl Server {
    /// The latest announcement of the own target, if it has one in force.
    pub fn target(&self) -> Option<Announcement> {
        let own = self.own_target.lock().expect("own target lock");
        own.current_target.get().cloned()
    }

    /// Whether a run of the own target has left or is leaving.
    pub fn has_left(&self, run: &Run) -> bool {
        let own = self.own_target.lock().expect("own target lock");
        own.current_target.has_left(run)
    }

    /// The departures that the node's entry has to record.
    pub fn departures(&self) -> Vec<keys::Departure> {
        let own = self.own_target.lock().expect("own target lock");
        let departures = own.current_target.recorded_departures();
        departures.map(Into::into).collect()
    }

    /// Handles an announcement of the own target.
    pub fn handle_announcement(&self, announcement: Announcement) -> Verdict {
        let id = announcement.id.clone();
        let verdict = self.change_target(|target| target.apply(announcement));
        if verdict == Verdict::Unconfirmed {
            log::info!(target = id.as_str(); "announcement waits for a confirmation");
        }
        verdict
    }

    /// Uses the target that an earlier process of this node knew, provided that its health check says
    /// that it accepts requests; the target's own announcements replace it.
    pub async fn resume_target(&self, known: keys::Target, health_path: &str) {
        let health = self.check_health(health_path, &known.id).await;
        match health {
            Ok(health) if health.accepts_requests && self.target().is_none() => {
                let settings = self.context.settings();
                // Until the target announces itself, it may be cold.
                let unknown = settings.announcement_interval * MAX_SILENT_INTERVALS;
                let announcement = Announcement {
                    id: known.id,
                    // Any announcement of the target itself is newer.
                    started_at_ms: known.started_at_ms.unwrap_or(0),
                    sequence: 0,
                    endpoint: settings.endpoint,
                    service: known.service,
                    version: known.version,
                    zone: settings.zone.clone(),
                    slots: known.slots,
                    leaving: false,
                    warm_up_remaining: health.cold_remaining.unwrap_or(unknown),
                };
                self.change_target(|target| target.confirm(announcement));
            }
            Ok(_) => {}
            Err(error) => log::info!(target = known.id.as_str(); "target not resumed: {error}"),
        }
    }

    /// Asks the target whose announcement waits for a confirmation whether it is there, a few times at
    /// most; does nothing while that is under way.
    pub async fn confirm_target(&self, health_path: &str) {
        if self.is_confirming.swap(true, Ordering::AcqRel) {
            return;
        }
        for _ in 0..MAX_CONFIRMATION_ATTEMPTS {
            let Some(waiting) = self.unconfirmed() else {
                break;
            };
            let health = self.check_health(health_path, &waiting.id).await;
            if let Ok(health) = health
                && health.accepts_requests
            {
                let mut confirmed = waiting;
                // The announcement may be older than the answer.
                let remaining = health.cold_remaining.unwrap_or_default();
                confirmed.warm_up_remaining = confirmed.warm_up_remaining.max(remaining);
                self.change_target(|target| target.confirm(confirmed));
                break;
            }
            Timer::after(CONFIRMATION_INTERVAL).await;
        }
        self.is_confirming.store(false, Ordering::Release);
    }

    /// Takes over what earlier processes of this node recorded of its targets.
    pub fn restore(&self, history: History) {
        self.change_target(|target| target.restore(history));
    }

    /// Handles a target's announcement that it ends.
    pub fn end_target(&self, id: &str) {
        self.change_target(|target| target.end(id, unix_millis()));
    }

    /// Asks the own target whether it accepts requests.
    async fn check_health(&self, path: &str, id: &str) -> Result<Health, endpoint::Error> {
        let hand_over = self.begin_health_check();
        let response = match self.endpoint.check_health(path).await {
            Ok(response) => response,
            Err(error) => {
                if let Some(hand_over) = hand_over
                    && matches!(error, endpoint::Error::Unreachable { .. })
                {
                    hand_over.cancel();
                }
                return Err(error);
            }
        };
        hand_over.and_then(|hand_over| hand_over.answer(&response));
        let is_expected = request::responding_target(&response.headers) == Some(id);
        Ok(Health {
            accepts_requests: response.status == 200 && is_expected,
            cold_remaining: request::cold_remaining(&response.headers),
        })
    }

    fn unconfirmed(&self) -> Option<Announcement> {
        let own = self.own_target.lock().expect("own target lock");
        own.current_target.unconfirmed().cloned()
    }

    /// Changes what is known of the own target, and reacts if it is another one now.
    fn change_target<T>(&self, change: impl FnOnce(&mut CurrentTarget) -> T) -> T {
        let (before, result, current) = {
            let mut own = self.own_target.lock().expect("own target lock");
            let before = own.current_target.get().cloned();
            let result = change(&mut own.current_target);
            let current = own.current_target.get().cloned();
            own.last_heard = Instant::now();
            (before, result, current)
        };
        if let Some(target) = current
            && before.as_ref() != Some(&target)
        {
            self.slot_queue.resize(target.slots);
            self.cold_gate.set_remaining(target.warm_up_remaining);
        }
        self.handle_target_change(before.as_ref());
        self.log_cold_state();
        result
    }

    /// Withdraws a target that has not announced itself for too long, and goes by announcements alone from
    /// some time after the process's start on.
    pub(super) fn withdraw_silent_target(&self, started: Instant, last_check: &mut Instant) {
        let silence_limit = self.context.settings().announcement_interval * MAX_SILENT_INTERVALS;
        let before = self.target();
        let was_paused = last_check.elapsed() > CHECK_INTERVAL * 2;
        *last_check = Instant::now();
        let (is_silent, is_history_known) = {
            let mut own = self.own_target.lock().expect("own target lock");
            // After a pause of this process the target's announcements may still be unread.
            if was_paused {
                own.last_heard = *last_check;
            }
            let is_silent = before.is_some() && own.last_heard.elapsed() > silence_limit;
            if is_silent {
                own.current_target.withdraw();
            }
            (is_silent, own.current_target.is_history_known())
        };
        if is_silent {
            self.handle_target_change(before.as_ref());
        }
        // All announcements that were made before the process started have arrived by now.
        if !is_history_known && started.elapsed() > silence_limit {
            log::info!("announcements are used without the node's history");
            self.restore(History::default());
        }
    }

    /// Reacts to a possible change of the own target.
    fn handle_target_change(&self, before: Option<&Announcement>) {
        let current = self.target();
        let accepting =
            |target: Option<&Announcement>| target.is_some_and(|target| !target.leaving);
        let (was_accepting, is_accepting) = (accepting(before), accepting(current.as_ref()));
        let identity = |target: Option<&Announcement>| {
            target.map(|target| (target.id.clone(), target.started_at_ms))
        };
        let is_another = identity(before) != identity(current.as_ref());
        if was_accepting != is_accepting || is_another {
            let id = current
                .as_ref()
                .or(before)
                .map_or("", |target| target.id.as_str());
            log::info!(target = id, takes_requests = is_accepting; "own target");
        }
        if is_another {
            self.endpoint.close_idle();
        }
        // In a zone that is not in service, nodes were told that no target accepts requests.
        if was_accepting != is_accepting && self.is_zone_in_service() {
            self.sessions.broadcast(if is_accepting {
                &Frame::Accepting
            } else {
                &Frame::Leaving
            });
        }
    }

    pub(super) fn accepts_requests(&self) -> bool {
        let target = self.target();
        !self.context.is_stopping()
            && self.is_zone_in_service()
            && target.is_some_and(|target| !target.leaving)
    }
}
