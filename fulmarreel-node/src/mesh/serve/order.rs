//! The order of requests for this node's own target, where the configuration has accounts or bulk routes:
//! their classes, accounts and weights.

use super::{Rejection, Server, feedback::Feedback, request_id, route_of};
use crate::{serve::slot_queue::Permit, telemetry::metrics};
use fulmarreel_balance::{
    admission::QueueDeadlines,
    overload::{Cause, Class, Hint, Kind, Origins, Request},
};
use fulmarreel_platform::request;
use fulmarreel_route::{Account, Accounts, Entry, Route, Table};
use fulmarreel_wire::call::{Open, Refusal};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// The weight of accounts while no account has a quota.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The identifier of requests without an account in the queue.
const NO_ACCOUNT: u64 = 0;

/// The cause of a refusal because calls of the route's runs are refused at other targets.
const THROTTLED: &str = "throttled";

/// The cause of a refusal because the deadline passed.
const EXPIRED: &str = "expired";

/// What the server has learned and derived for the order of requests.
#[derive(Debug, Default)]
pub(super) struct Orders {
    origins: Mutex<Origins>,
    default_account: Mutex<Option<DefaultAccount>>,
    pub feedback: Feedback,
}

/// The route of new work that runs; its end is told to the [`Feedback`].
pub(super) type NewRun = Arc<Entry>;

/// What is assumed of requests without an account, and of accounts without a quota.
#[derive(Debug, Clone, Copy)]
struct DefaultAccount {
    /// The revision of the configuration that this was calculated for.
    revision: u64,
    /// The mean quota per second.
    weight: f64,
    /// The priority of the least urgent account.
    priority: u8,
}

/// Whether a configuration calls for the order by class and account.
pub fn is_active(table: &Table) -> bool {
    !table.accounts.is_empty() || table.has_bulk_routes()
}

impl Server {
    /// Waits for a slot in the order of classes and accounts.
    pub(super) async fn acquire_in_order(
        &self,
        open: &Open,
        table: &Table,
        deadlines: QueueDeadlines,
    ) -> Result<(Permit, Option<NewRun>), Rejection> {
        let arrived = Instant::now();
        let entry = route_of(table, open);
        let route = entry.map(|entry| &entry.route);
        let request = self.orders.request(arrived, open, table, route, deadlines);
        let kind = request.class.kind;
        let new_work = entry.filter(|_| kind != Kind::Internal);
        if let Some(entry) = new_work {
            let allowed = self.orders.feedback.check(arrived, &entry.route);
            allowed.map_err(|retry_after| {
                self.reject_in_order(open, kind, THROTTLED, Refusal::Overloaded, retry_after)
            })?;
        }
        let (kind, result) = self.slot_queue.acquire_classed(request).await;
        metrics::slot_waited(kind.name(), arrived.elapsed(), result.is_ok());
        let permit = result.map_err(|refusal| {
            let cause = refusal.cause.map_or(EXPIRED, Cause::name);
            self.reject_in_order(open, kind, cause, refusal.reason, refusal.retry_after)
        })?;
        if let Some(entry) = new_work {
            let now = Instant::now();
            self.orders.feedback.record_start(now, &entry.route);
        }
        Ok((permit, new_work.cloned()))
    }

    /// Records the arrival of a request at this node that the own target may have sent.
    pub fn record_possible_call(&self, route: &Route) {
        let is_idle = self.slot_queue.in_flight() == 0;
        let feedback = &self.orders.feedback;
        feedback.record_arrival(Instant::now(), route, is_idle);
    }

    /// Records that such a request was refused for lack of room.
    pub fn record_refused_call(&self, route: &Route) {
        if self.orders.feedback.record_refusal(Instant::now(), route) {
            metrics::target_call_refused();
        }
    }

    /// Records the end of new work that ran.
    pub(super) fn record_run(&self, run: &NewRun, started: Instant, status: u16) {
        if self.orders.feedback.record_end(&run.route, started, status) {
            metrics::run_wasted(&run.route.name);
        }
    }

    fn reject_in_order(
        &self,
        open: &Open,
        kind: Kind,
        cause: &'static str,
        reason: Refusal,
        retry_after: Duration,
    ) -> Rejection {
        let (load, slots) = self.slot_queue.load();
        metrics::request_shed(kind.name(), cause);
        log::info!(
            id = request_id(open),
            load,
            slots,
            class = kind.name(),
            cause,
            wanted_ms = open.wanted_ms,
            latest_ms = open.latest_ms,
            backlog_ms = self.slot_queue.backlog().as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64;
            "refused, no slot in time"
        );
        Rejection::refused(open, reason, retry_after)
    }
}

impl Orders {
    /// What the queue needs to know about a request.
    fn request(
        &self,
        now: Instant,
        open: &Open,
        table: &Table,
        route: Option<&Route>,
        deadlines: QueueDeadlines,
    ) -> Request {
        let account_name = open.header(request::ACCOUNT);
        let account = account_name.and_then(|name| table.accounts.named(name));
        // An account that only the entry node knows yet is a client's too.
        let is_client = account_name.is_some() && !table.accounts.is_empty();
        let route_priority = route.map_or(open.rank, |route| route.priority);
        let is_internal = !is_client
            && route.is_some_and(|route| self.is_internal(now, open, route, &table.accounts));
        let default = self.default_account(table);
        let class = if is_internal {
            Class::internal(route_priority)
        } else {
            let priority = account.map_or(default.priority, |account| account.priority);
            Class::new_work(priority, route_priority)
        };
        Request {
            class,
            account: account.map_or(NO_ACCOUNT, |account| xxh3_64(account.name.as_bytes())),
            weight: weight(account.map(AsRef::as_ref), &default),
            deadlines,
        }
    }

    fn is_internal(&self, now: Instant, open: &Open, route: &Route, accounts: &Accounts) -> bool {
        let hint = match (accounts.is_empty(), route.auth_exempt) {
            (true, _) => Hint::NoAccounts,
            (false, true) => Hint::NeedsNoKey,
            (false, false) => Hint::NeedsKey,
        };
        let service = open.header(request::CALLER_SERVICE).unwrap_or_default();
        let mut origins = self.origins.lock().expect("origins lock");
        origins.record(now, &route.name, service, hint)
    }

    fn default_account(&self, table: &Table) -> DefaultAccount {
        let mut default = self.default_account.lock().expect("default account lock");
        let known = default.filter(|default| default.revision == table.revision);
        *default.insert(known.unwrap_or_else(|| DefaultAccount::new(table)))
    }
}

impl DefaultAccount {
    fn new(table: &Table) -> Self {
        let accounts = || table.accounts.iter();
        let quotas = accounts().filter_map(|account| account.quota);
        let (sum, count) = quotas.fold((0.0, 0), |(sum, count), quota| {
            (sum + quota.rate_per_s, count + 1)
        });
        Self {
            revision: table.revision,
            weight: if count > 0 {
                sum / f64::from(count)
            } else {
                DEFAULT_WEIGHT
            },
            priority: accounts()
                .map(|account| account.priority)
                .max()
                .unwrap_or_default(),
        }
    }
}

/// An account's weight is its quota, so that under overload all accounts are served the same fraction of
/// what they may send.
fn weight(account: Option<&Account>, default: &DefaultAccount) -> f64 {
    let quota = account.and_then(|account| account.quota);
    quota.map_or(default.weight, |quota| quota.rate_per_s)
}
