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
use fulmarreel_rollout::brief::{Action, Call, Counts, End, Member, Pair, Parcel, Roster};
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

/// How many times the usual time a request is open that is overdue.
const OVERDUE_RATIO: f64 = 3.0;

/// How many times the usual time it is open at a target that is cold.
const COLD_OVERDUE_RATIO: f64 = 4.0;

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

/// A request that is sent to a target.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// The route's name.
    pub route: &'a str,
    /// How long requests of the route usually take, where that is known.
    pub usual: Option<Duration>,
    /// How long this node has known the target.
    pub age: Duration,
}

/// How a target dealt with a request.
#[derive(Debug, Clone, Copy)]
pub enum Dealt {
    /// It answered after that long.
    Answered(Duration),
    /// It failed it.
    Failed,
    /// The request did not reach it.
    NotRun,
}

/// A request at a target of a service that moves; dropped without an end, that is not known.
#[derive(Debug)]
pub struct Trial<'a> {
    moves: &'a Moves,
    service: &'a str,
    order: u64,
    number: u64,
    /// From which time on its answer counts as slow.
    slow: Option<Duration>,
    ended: bool,
}

impl Trial<'_> {
    /// Takes in how the target dealt with the request.
    pub fn end(mut self, dealt: Dealt) {
        self.ended = true;
        self.tell(match dealt {
            Dealt::Answered(took) => End::Answered {
                slow: self.slow.is_some_and(|slow| took > slow),
            },
            Dealt::Failed => End::Failed,
            Dealt::NotRun => End::NotRun,
        });
    }

    fn tell(&self, end: End) {
        let mut live = self.moves.live.lock().expect("moves lock");
        let live = live.get_mut(self.service);
        let live = live.filter(|live| live.order == self.order);
        if live.is_some_and(|live| live.member.end(self.number, end, Instant::now())) {
            log::warn!(service = self.service, order = self.order; "the new version fails here, it is not used further");
        }
    }
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(End::Unknown);
        }
    }
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

impl Attempt<'_> {
    fn is_cold(&self) -> bool {
        self.age <= COLD
    }

    /// After which time the request is overdue.
    fn overdue(&self) -> Option<Duration> {
        let ratio = if self.is_cold() {
            COLD_OVERDUE_RATIO
        } else {
            OVERDUE_RATIO
        };
        self.usual.map(|usual| usual.mul_f64(ratio))
    }

    /// From which time on its answer counts as slow.
    fn slow(&self) -> Option<Duration> {
        let ratio = if self.is_cold() {
            COLD_SLOW_RATIO
        } else {
            SLOW_RATIO
        };
        self.usual.map(|usual| usual.mul_f64(ratio))
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

    /// The share that was granted last, in calls in a thousand.
    fn granted(&self) -> u16 {
        let told = self.member.agent().told();
        told.map_or(0, |told| told.grant.permille)
    }

    /// Tells on what evidence the owner took a step.
    fn tell_rise(&self, service: &str) {
        let Pair { old, new } = self.member.seen();
        log::info!(
            service,
            version = self.version.as_str(),
            order = self.order,
            permille = self.granted(),
            calls = new.calls,
            failed = new.failed,
            slow = new.slow,
            open = new.open,
            overdue = new.overdue,
            lost = new.lost,
            old_calls = old.calls,
            old_failed = old.failed,
            old_slow = old.slow,
            old_open = old.open,
            old_overdue = old.overdue;
            "share raised"
        );
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

    /// Takes in that a request is sent to a target.
    pub fn send<'a>(
        &'a self,
        service: &'a str,
        side: &Side,
        attempt: &Attempt<'_>,
    ) -> Option<Trial<'a>> {
        let new = match side {
            Side::Any => return None,
            Side::Old { .. } => false,
            Side::New { .. } => true,
        };
        let mut live = self.live.lock().expect("moves lock");
        let live = live.get_mut(service)?;
        let number = live.member.send(Call {
            route: xxh3_64(attempt.route.as_bytes()),
            new,
            overdue: attempt.overdue().map(|overdue| Instant::now() + overdue),
        });
        Some(Trial {
            moves: self,
            service,
            order: live.order,
            number,
            slow: attempt.slow(),
            ended: false,
        })
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
            let granted = live.granted();
            let looked = live.member.look(roster, Instant::now());
            if live.granted() > granted && roster.owner == Some(roster.own) {
                live.tell_rise(service);
            }
            if let (None, Some(counts)) = (known, live.member.found()) {
                let Counts {
                    calls,
                    failed,
                    slow,
                    ..
                } = counts;
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
