//! The order of requests for this node's own target, where the configuration has accounts or bulk routes:
//! their classes, accounts and weights.

use super::{Rejection, Server, request_id};
use crate::{
    serve::slot_queue::{ClassedRefusal, Permit},
    telemetry::metrics,
};
use fulmarreel_balance::{
    admission::QueueDeadlines,
    overload::{Cause, Class, Hint, Kind, Origins, Request},
};
use fulmarreel_platform::request;
use fulmarreel_route::{Account, Accounts, Route, Table};
use fulmarreel_wire::call::Open;
use std::{sync::Mutex, time::Instant};
use xxhash_rust::xxh3::xxh3_64;

/// The weight of accounts while no account has a quota.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The identifier of requests without an account in the queue.
const NO_ACCOUNT: u64 = 0;

/// The priority of requests without an account, as of accounts without a priority.
const LOWEST_PRIORITY: u8 = u8::MAX;

/// What the order of requests depends on besides the requests themselves.
#[derive(Debug, Default)]
pub(super) struct Orders {
    origins: Mutex<Origins>,
    default_weight: Mutex<DefaultWeight>,
}

/// The weight of accounts without a quota.
#[derive(Debug, Default)]
struct DefaultWeight {
    /// The revision of the configuration that it was calculated for.
    revision: Option<u64>,
    weight: f64,
}

/// Whether a configuration calls for the order by class and account.
pub(crate) fn is_active(table: &Table) -> bool {
    !table.accounts.is_empty() || table.has_bulk_routes()
}

impl Server {
    /// Waits for a slot in the order of classes and accounts.
    pub(super) async fn acquire_in_order(
        &self,
        open: &Open,
        table: &Table,
        deadlines: QueueDeadlines,
    ) -> Result<Permit, Rejection> {
        let arrived = Instant::now();
        let request = self.orders.request(arrived, open, table, deadlines);
        let kind = request.class.kind;
        let result = self.slot_queue.acquire_classed(request).await;
        metrics::slot_waited(kind.name(), arrived.elapsed(), result.is_ok());
        result.map_err(|refusal| self.reject_in_order(open, kind, &refusal))
    }

    fn reject_in_order(&self, open: &Open, kind: Kind, refusal: &ClassedRefusal) -> Rejection {
        let (load, slots) = self.slot_queue.load();
        let cause = refusal.cause.map_or("expired", Cause::name);
        metrics::request_shed(kind.name(), cause);
        log::info!(
            id = request_id(open),
            load,
            slots,
            class = kind.name(),
            cause,
            wanted_ms = open.wanted_ms,
            latest_ms = open.latest_ms,
            retry_after_ms = refusal.retry_after.as_millis() as u64;
            "refused, no slot in time"
        );
        Rejection::refused(open, refusal.reason, refusal.retry_after)
    }
}

impl Orders {
    /// What the queue needs to know about a request.
    fn request(
        &self,
        now: Instant,
        open: &Open,
        table: &Table,
        deadlines: QueueDeadlines,
    ) -> Request {
        let account = header(open, request::ACCOUNT).and_then(|name| table.accounts.named(name));
        let host = header(open, "host").unwrap_or_default();
        let entry = table.find_route(host, &open.path);
        let route = entry.map(|entry| &entry.route);
        let route_priority = route.map_or(open.rank, |route| route.priority);
        let is_internal = account.is_none()
            && route.is_some_and(|route| self.is_internal(now, open, route, &table.accounts));
        let class = if is_internal {
            Class::internal(route_priority)
        } else {
            let priority = account.map_or(LOWEST_PRIORITY, |account| account.priority);
            Class::new_work(priority, route_priority)
        };
        Request {
            class,
            account: account.map_or(NO_ACCOUNT, |account| xxh3_64(account.name.as_bytes())),
            weight: self.weight(account.map(AsRef::as_ref), table),
            deadlines,
        }
    }

    fn is_internal(&self, now: Instant, open: &Open, route: &Route, accounts: &Accounts) -> bool {
        let hint = match (accounts.is_empty(), route.auth_exempt) {
            (true, _) => Hint::NoAccounts,
            (false, true) => Hint::NeedsNoKey,
            (false, false) => Hint::NeedsKey,
        };
        let service = header(open, request::CALLER_SERVICE).unwrap_or_default();
        let mut origins = self.origins.lock().expect("origins lock");
        origins.record(now, &route.name, service, hint)
    }

    /// An account's weight is its quota, so that under overload all accounts are served the same fraction
    /// of what they may send. Accounts without a quota have the mean weight of the others.
    fn weight(&self, account: Option<&Account>, table: &Table) -> f64 {
        if let Some(quota) = account.and_then(|account| account.quota) {
            return quota.rate_per_s;
        }
        let mut default = self.default_weight.lock().expect("weight lock");
        if default.revision != Some(table.revision) {
            default.revision = Some(table.revision);
            default.weight = mean_rate(&table.accounts).unwrap_or(DEFAULT_WEIGHT);
        }
        default.weight
    }
}

fn mean_rate(accounts: &Accounts) -> Option<f64> {
    let quotas = accounts.iter().filter_map(|account| account.quota);
    let (sum, count) = quotas.fold((0.0, 0), |(sum, count), quota| {
        (sum + quota.rate_per_s, count + 1)
    });
    (count > 0).then(|| sum / f64::from(count))
}

/// The first value of a header that is UTF-8.
fn header<'a>(open: &'a Open, name: &str) -> Option<&'a str> {
    let mut headers = open.headers.iter();
    let header = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(&header.value).ok()
}
