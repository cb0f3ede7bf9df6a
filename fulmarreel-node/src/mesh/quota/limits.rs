//! The limits of accounts under the active configuration.

use crate::mesh::context::Context;
use fulmarreel_platform::Settings;
use fulmarreel_quota::{
    Limit,
    limit::{Bounds, Quota},
};
use fulmarreel_route::{Account, Table, account};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};
use xxhash_rust::xxh3::xxh3_64;

/// The limits of accounts.
#[derive(Debug, Default)]
pub(super) struct Limits {
    by_hash: Mutex<ByHash>,
}

/// The quotas of a configuration, by the hash of the account's name.
#[derive(Debug, Default)]
struct ByHash {
    table: Option<Arc<Table>>,
    quotas: Arc<HashMap<u64, account::Quota>>,
}

impl Limits {
    /// The hash of an account's name, and its limit under the active configuration; `None` if it has
    /// none.
    pub fn of_account(&self, context: &Context, account: &Account) -> (u64, Option<Limit>) {
        let hash = xxh3_64(account.name.as_bytes());
        let view = context.view();
        let accounts = view.table.as_ref().map(|table| &table.accounts);
        let active = accounts.and_then(|accounts| accounts.named(&account.name));
        let quota = active.map_or(account.quota, |active| active.quota);
        let limit = quota.map(|quota| limit(quota, &context.settings()));
        (hash, limit)
    }

    /// The limits of all accounts, by the hashes of their names.
    pub fn by_hash(&self, context: &Context) -> impl Fn(u64) -> Option<Limit> + use<> {
        let (quotas, settings) = (self.quotas(context), context.settings());
        move |hash| {
            let quota = quotas.get(&hash)?;
            Some(limit(*quota, &settings))
        }
    }

    /// Whether any account has a limit.
    pub fn any(&self, context: &Context) -> bool {
        !self.quotas(context).is_empty()
    }

    fn quotas(&self, context: &Context) -> Arc<HashMap<u64, account::Quota>> {
        let view = context.view();
        let mut by_hash = self.by_hash.lock().expect("limits lock");
        let is_same = match (&by_hash.table, &view.table) {
            (Some(known), Some(table)) => Arc::ptr_eq(known, table),
            (known, table) => known.is_none() && table.is_none(),
        };
        if !is_same {
            let accounts = view.table.iter().flat_map(|table| table.accounts.iter());
            let limited = accounts.filter_map(|account| {
                let hash = xxh3_64(account.name.as_bytes());
                Some((hash, account.quota?))
            });
            by_hash.quotas = Arc::new(limited.collect());
            by_hash.table.clone_from(&view.table);
        }
        Arc::clone(&by_hash.quotas)
    }
}

fn limit(quota: account::Quota, settings: &Settings) -> Limit {
    let quota = Quota {
        rate_per_s: quota.rate_per_s,
        burst: quota.burst,
    };
    let bounds = Bounds {
        window: settings.quota_window,
        excess: settings.quota_excess,
        slack: settings.quota_slack,
    };
    Limit::new(quota, bounds)
}
