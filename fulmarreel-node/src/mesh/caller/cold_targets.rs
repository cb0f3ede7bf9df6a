//! Which targets are cold, as far as this node knows, and its share of the requests that they may get.
//!
//! A target's node tells with each response how long the target stays cold. Until the first response, the
//! time of the target's start tells.

use super::offer::Offers;
use crate::{
    mesh::{
        exchange::AttemptOutcome,
        serve::COLD_MS,
        view::{Target, View},
    },
    state::unix_millis,
};
use fulmarreel_balance::cold::{Share, State};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// The targets of services that limit the requests to cold ones.
#[derive(Debug, Default)]
pub(super) struct ColdTargets {
    targets: Mutex<HashMap<SocketAddr, ColdTarget>>,
}

#[derive(Debug)]
struct ColdTarget {
    id: String,
    limit_per_s: f64,
    state: State,
    share: Share,
}

impl ColdTargets {
    /// Removes the cold targets of which this node has used up its share. If no target would be left, a
    /// request's first attempt may go to any of them, since the target's node knows whether there is room.
    pub fn remove_used_up(
        &self,
        view: &View,
        service: &str,
        offers: &Offers,
        usable: &mut Vec<&Arc<Target>>,
    ) {
        let table = view.table.as_ref();
        let limit_per_s = table.and_then(|table| table.cold_limits_per_s.get(service).copied());
        let Some(limit_per_s) = limit_per_s else {
            return;
        };
        let cold_time = table.and_then(|table| table.cold_times.get(service).copied());
        let mut targets = self.lock();
        if targets.len() > view.nodes.len() {
            let known: HashSet<SocketAddr> = view.nodes.iter().map(|node| node.0).collect();
            targets.retain(|address, _| known.contains(address));
        }
        let now = Instant::now();
        let has_room = |target: &&Arc<Target>| {
            let new = || ColdTarget {
                id: target.id.clone(),
                limit_per_s,
                state: State::new(estimate(target, cold_time.unwrap_or_default()), now),
                share: Share::new(limit_per_s, view.nodes.len(), fastrand::f64(), now),
            };
            let known = targets.entry(target.address).or_insert_with(new);
            if known.id != target.id || known.limit_per_s != limit_per_s {
                *known = new();
            }
            known.state.remaining(now).is_zero() || known.share.has_room(now)
        };
        let open: Vec<&Arc<Target>> = usable.iter().copied().filter(has_room).collect();
        if !open.is_empty() || !offers.addresses.is_empty() {
            *usable = open;
        }
    }

    /// Records that a request is offered to a target.
    pub fn record_offer(&self, target: &Target) {
        if let Some(known) = self.lock().get_mut(&target.address) {
            known.share.spend();
        }
    }

    /// Records what the outcome of an attempt tells of its target, and removes it from the response.
    pub fn record_outcome(&self, target: &Target, outcome: &mut AttemptOutcome) {
        let mut targets = self.lock();
        let Some(known) = targets.get_mut(&target.address) else {
            return;
        };
        let now = Instant::now();
        match outcome {
            AttemptOutcome::Answered(response) => {
                let headers = &mut response.head.headers;
                let position = headers.iter().position(|header| header.name == COLD_MS);
                let told = position.map(|position| headers.remove(position).value);
                let told_ms = told.and_then(|value| String::from_utf8(value).ok()?.parse().ok());
                let remaining = Duration::from_millis(told_ms.unwrap_or(0));
                known.state = State::new(remaining, now);
                known.share.accept();
            }
            AttemptOutcome::NotRun { retry_after, .. } if !retry_after.is_zero() => {
                known.share.refuse();
            }
            AttemptOutcome::NotRun { .. } | AttemptOutcome::Unknown { .. } => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, ColdTarget>> {
        self.targets.lock().expect("cold targets lock")
    }
}

/// How long a target stays cold that is cold for `cold_time` after its start, by this node's clock.
fn estimate(target: &Target, cold_time: Duration) -> Duration {
    let started_at_ms = target.started_at_ms.unwrap_or(0);
    let age_ms = unix_millis().saturating_sub(started_at_ms);
    cold_time.saturating_sub(Duration::from_millis(age_ms))
}
