//! Moves of services to new versions, by the operator's orders.
//!
//! One node owns a move by a key under a lease. What each node says, and what follows from what it is
//! told, is decided by its [`Member`]; here that meets requests ([`Moves`]), the store ([`owner`])
//! and datagrams.

mod duty;
mod messages;
mod owner;

pub use duty::run;

use super::view::View;
use crate::telemetry::metrics;
use fulmarreel_platform::order::State;
use fulmarreel_rollout::brief::{Action, Call, Counts, Member, Parcel, Roster};
use fulmarreel_wire::notice::Notice;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// How many times the usual time a request takes to count as slow.
const SLOW_RATIO: f64 = 4.0;

/// How many times the usual time it takes at a target that is cold.
const COLD_SLOW_RATIO: f64 = 8.0;

/// How long a target that is new to this node counts as cold.
const COLD: Duration = Duration::from_millis(4_500);

/// Calls in a thousand that are all.
const ALL: u16 = 1_000;

/// Which version a request goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Side {
    /// Any: the service does not move.
    Any,
    /// Any but the version that takes over.
    Old {
        /// The version that takes over.
        new: String,
    },
    /// The version that takes over.
    New {
        /// It.
        new: String,
    },
}

/// How a target dealt with a request.
#[derive(Debug)]
pub struct Sample<'a> {
    /// The route's name.
    pub route: &'a str,
    /// Whether it failed.
    pub failed: bool,
    /// How long the target took.
    pub took: Duration,
    /// How long requests of the route usually take, where that is known.
    pub usual: Option<Duration>,
    /// How long this node has known the target.
    pub age: Duration,
}

/// The moves that are under way, and those whose version was found bad.
#[derive(Debug, Default)]
pub struct Moves {
    live: Mutex<HashMap<String, Live>>,
}

/// What a node knows of one move beside the store.
#[derive(Debug)]
struct Live {
    order: u64,
    version: String,
    member: Member<SocketAddr>,
    /// Whose grant was followed last.
    teller: Option<SocketAddr>,
    /// The share that was logged last, in calls in a thousand.
    logged: u16,
    /// Whether it was logged that the owner is silent.
    is_silent: bool,
}

impl Side {
    /// Whether a request may go to a target of that version.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Old { new } => version != new,
            Self::New { new } => version == new,
        }
    }
}

impl Sample<'_> {
    fn is_slow(&self) -> bool {
        let is_cold = self.age <= COLD;
        let ratio = if is_cold { COLD_SLOW_RATIO } else { SLOW_RATIO };
        self.usual
            .is_some_and(|usual| self.took > usual.mul_f64(ratio))
    }
}

impl Live {
    fn new(order: u64, version: &str, boot: u64) -> Self {
        Self {
            order,
            version: version.to_owned(),
            member: Member::new(boot, fastrand::f64(), Instant::now()),
            teller: None,
            logged: 0,
            is_silent: false,
        }
    }

    /// Which grant is followed: its owner's revision and its number.
    fn told_number(&self) -> Option<(u64, u32)> {
        let told = self.member.agent().told();
        told.map(|told| (told.grant.owner, told.grant.number))
    }

    /// Tells the share that this node uses, on whose grant, and how old that is.
    fn tell(&mut self, service: &str, now: Instant) {
        let permille = self.member.agent().permille(now);
        let told = self.member.agent().told();
        let age = told.map_or(Duration::ZERO, |told| now - told.since);
        let owner = told.map_or(0, |told| told.grant.owner);
        let is_silent = told.is_some_and(|told| now >= told.expires);
        let (order, version) = (self.order, self.version.as_str());
        let teller = self
            .teller
            .map_or_else(String::new, |node| node.to_string());
        let age_ms = age.as_millis() as u64;
        if is_silent && !self.is_silent && !self.member.agent().is_condemned() {
            log::warn!(service, version, order, owner, teller = teller.as_str(), age_ms; "the move's owner is taken to be lost");
        }
        if permille != self.logged {
            log::info!(service, version, order, permille, owner, teller = teller.as_str(), age_ms; "share in use");
        }
        self.is_silent = is_silent;
        self.logged = permille;
        metrics::share(service, version, f64::from(permille) / f64::from(ALL));
        metrics::share_grant(service, version, age, owner);
    }
}

impl Moves {
    /// Chooses the side of a request; only the first offer may go to an unproven version.
    pub fn choose(&self, service: &str, view: &View, first: bool) -> Side {
        let Some(declared) = view.moves.get(service) else {
            return Side::Any;
        };
        let new = declared.version.clone();
        let runs_new = || view.runs(service, &new);
        let mut live = self.live.lock().expect("moves lock");
        let live = live
            .get_mut(service)
            .filter(|live| live.order == declared.order);
        match declared.state {
            Some(State::Completed) if runs_new() => return Side::New { new },
            Some(State::Completed) => return Side::Any,
            Some(State::RolledBack) => return Side::Old { new },
            Some(State::Running) | None => {}
        }
        let Some(live) = live.filter(|_| runs_new()) else {
            return Side::Old { new };
        };
        let now = Instant::now();
        let goes_to_new = match live.member.agent().permille(now) {
            0 => false,
            ALL.. => true,
            _ => first && live.member.deal(now),
        };
        if goes_to_new {
            Side::New { new }
        } else {
            Side::Old { new }
        }
    }

    /// Takes in how a target dealt with a request.
    pub fn record(&self, service: &str, side: &Side, sample: &Sample<'_>) {
        let new = match side {
            Side::Any => return,
            Side::Old { .. } => false,
            Side::New { .. } => true,
        };
        let mut live = self.live.lock().expect("moves lock");
        let Some(live) = live.get_mut(service) else {
            return;
        };
        let call = Call {
            route: xxh3_64(sample.route.as_bytes()),
            new,
            failed: sample.failed,
            slow: !sample.failed && sample.is_slow(),
        };
        if live.member.record(call) {
            log::warn!(service, order = live.order; "the new version fails here, it is not used further");
        }
    }

    /// Takes in what another node says of a move; returns what is to be answered.
    pub fn take(&self, from: SocketAddr, notice: Notice) -> Option<Notice> {
        let (service, order, message) = messages::message(notice)?;
        let mut live = self.live.lock().expect("moves lock");
        let live = live.get_mut(&service).filter(|live| live.order == order)?;
        let now = Instant::now();
        let known = live.member.agent().is_condemned();
        let number = live.told_number();
        let answer = live.member.take(from, message, now);
        if live.member.agent().is_condemned() && !known {
            log::warn!(service = service.as_str(), order, peer:% = from; "the new version is bad");
        }
        if live.told_number() != number {
            live.teller = Some(from);
        }
        answer.map(|answer| messages::notice(&service, order, answer))
    }

    /// Keeps a record for each move under way.
    fn sync(&self, view: &View, boot: u64) {
        let mut live = self.live.lock().expect("moves lock");
        live.retain(|service, live| {
            let declared = view.moves.get(service);
            declared.is_some_and(|declared| declared.order == live.order)
        });
        for (service, declared) in &view.moves {
            let is_over = matches!(declared.state, Some(State::Completed | State::RolledBack));
            if !is_over && !live.contains_key(service) {
                let version = declared.version.as_str();
                log::info!(service = service.as_str(), version, order = declared.order; "move ordered");
                live.insert(service.clone(), Live::new(declared.order, version, boot));
            }
        }
    }

    /// What is to be told of a move, and what this node does at the store where it is the owner.
    fn look(
        &self,
        service: &str,
        roster: &Roster<'_, SocketAddr>,
    ) -> Option<(Vec<Parcel<SocketAddr>>, Option<Action>)> {
        self.with(service, |live| {
            let known = live.member.found();
            let number = live.told_number();
            let looked = live.member.look(roster, Instant::now());
            if let (None, Some(counts)) = (known, live.member.found()) {
                let Counts { calls, failed, slow } = counts;
                log::warn!(service, order = live.order, calls, failed, slow; "the new version is bad by all nodes' calls");
            }
            if live.told_number() != number {
                live.teller = Some(roster.own);
            }
            looked
        })
    }

    /// Takes in how a move ended.
    fn end(&self, service: &str, state: State) {
        self.with(service, |live| match state {
            State::Completed => live.member.complete(),
            State::RolledBack => {
                live.member.condemn();
            }
            State::Running => {}
        });
    }

    fn with<T>(&self, service: &str, work: impl FnOnce(&mut Live) -> T) -> Option<T> {
        let mut live = self.live.lock().expect("moves lock");
        live.get_mut(service).map(work)
    }
}
