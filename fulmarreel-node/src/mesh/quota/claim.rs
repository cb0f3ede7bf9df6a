//! Claim and renewal of the coordinator's key.
//!
//! A few nodes are candidates, in an order by hash that differs for each term. Those with a larger part
//! of a processor claim first. A candidate reads the key before it claims it, and waits longer after
//! each failure, so that the store gets few calls when many nodes miss a coordinator.

use super::{COORDINATOR_KEY, Quotas, duty::Lease};
use crate::{
    mesh::{boot_clock, era, keys::Owner, notices::NoticeSocket},
    runtime,
};
use fulmarreel_distribution::backoff::Backoff;
use fulmarreel_quota::Time;
use fulmarreel_store::{Error, Outcome, Store, Transaction};
use fulmarreel_wire::notice::Notice;
use smol::Timer;
use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The time to live of the coordinator's lease.
const LEASE_TTL: Duration = Duration::from_millis(3_000);

/// How long before the lease can lapse this node grants nothing any more: clocks differ slightly.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

/// How often the lease is renewed: a renewal that fails can be repeated before the lease lapses.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);

/// How often a node checks whether there is a coordinator, where accounts have limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How often a node checks whether accounts have limits.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// The most nodes that claim the key, so that a store without a coordinator's key gets few calls.
const MAX_CANDIDATES: usize = 48;

/// The part of a processor core from which a node is among those that claim first.
const LARGE_CPU_SHARE: f64 = 0.4;

/// The time over which the claims of nodes with a large part of a processor are spread.
const LARGE_SPREAD: Duration = Duration::from_millis(800);

/// When the other nodes begin to claim, and the time over which their claims are spread.
const SMALL_DELAY: Duration = Duration::from_millis(1_200);
const SMALL_SPREAD: Duration = Duration::from_millis(2_400);

/// Limits of the random delay after a claim, which doubles with each claim that fails.
const MIN_BACKOFF: Duration = Duration::from_millis(800);
const MAX_BACKOFF: Duration = Duration::from_millis(5_000);

/// Claims the coordinator's key when there is no coordinator, until the process ends.
pub async fn run(quotas: Arc<Quotas>, notices: Arc<NoticeSocket>) {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    let mut claim_at: Option<Time> = None;
    loop {
        if !quotas.limits.any(&quotas.context) {
            quotas.end_duty().await;
            claim_at = None;
            Timer::after(IDLE_INTERVAL).await;
            continue;
        }
        Timer::after(CHECK_INTERVAL).await;
        if quotas.context.is_stopping() {
            quotas.end_duty().await;
            return;
        }
        if let Some(lease) = quotas.duty.end_if_uncertain() {
            log::warn!(lease = lease.id.0; "the coordinator's lease is uncertain, quotas are not granted");
        }
        if quotas.follow_coordinator().await {
            claim_at = None;
            continue;
        }
        let now = boot_clock::since_start();
        if now < *claim_at.get_or_insert_with(|| quotas.claim_time(now)) {
            continue;
        }
        match quotas.claim(&notices).await {
            Ok(true) => backoff.reset(),
            Ok(false) => {}
            Err(error) => log::warn!("coordinator's key not claimed: {error}"),
        }
        let delay = backoff.next(&mut fastrand::Rng::new());
        claim_at = Some(boot_clock::since_start() + MIN_BACKOFF + delay);
    }
}

impl Quotas {
    /// Ends this node's duty if another node is the coordinator, and introduces this node to a new one.
    /// Returns whether there is a coordinator whose key this node does not replace.
    async fn follow_coordinator(&self) -> bool {
        if let Some(term) = self.coordinator() {
            if self.duty.is_held() && term.address != self.context.settings().peer_address {
                self.end_duty().await;
            }
            if self.has_to_introduce() {
                self.wake_driver();
            }
            if !self.has_former_key() {
                return true;
            }
        }
        self.duty.is_held()
    }

    /// When this node claims the key if there is no coordinator by then; at once if the key is that of
    /// its former process.
    fn claim_time(&self, now: Time) -> Time {
        if self.has_former_key() {
            return now;
        }
        let seed = self.latest_term();
        let own = self.context.settings().peer_address;
        let score = |node: &SocketAddr| xxh3_64_with_seed(node.to_string().as_bytes(), seed);
        let own_score = score(&own);
        let view = self.context.view();
        let rank = view.nodes.iter().filter(|node| score(&node.0) > own_score);
        let rank = rank.count();
        if rank >= MAX_CANDIDATES {
            return Time::MAX;
        }
        let candidates = view.nodes.len().clamp(1, MAX_CANDIDATES);
        let position = rank as f64 / candidates as f64;
        let delay = if self.context.settings().cpu_share >= LARGE_CPU_SHARE {
            LARGE_SPREAD.mul_f64(position)
        } else {
            SMALL_DELAY + SMALL_SPREAD.mul_f64(position)
        };
        now + delay
    }

    /// Claims the key; `false` if another node has it.
    async fn claim(self: &Arc<Self>, notices: &NoticeSocket) -> Result<bool, Error> {
        let store = &self.context.store;
        let condition = match store.get(COORDINATOR_KEY).await? {
            None => Transaction::new().when_absent(COORDINATOR_KEY),
            Some(entry) if self.is_of_former_process(&entry.value) => {
                Transaction::new().when_mod_revision(COORDINATOR_KEY, entry.mod_revision)
            }
            Some(_) => return Ok(false),
        };
        let requested_at = boot_clock::since_start();
        // A longer lease of the platform's store is relied on for LEASE_TTL only.
        let ttl = LEASE_TTL.max(self.context.settings().min_lease_ttl);
        let id = store.grant(ttl).await?;
        let owner = Owner {
            address: self.context.settings().peer_address,
            boot: self.context.started_at_ms,
        };
        let Ok(value) = serde_json::to_vec(&owner) else {
            return Ok(false);
        };
        let transaction = condition.put_leased(COORDINATOR_KEY, &value, id);
        match store.commit_with_read_back(&transaction).await? {
            Outcome::Written(revision) => {
                let valid_until = requested_at + LEASE_TTL - LEASE_MARGIN;
                let lease = Arc::new(Lease::new(id, valid_until));
                let predecessor_ends = self.predecessor_ends(revision.0);
                runtime::spawn(renew(Arc::downgrade(self), Arc::downgrade(&lease)));
                self.duty.begin(lease, predecessor_ends);
                log::info!(created = revision.0; "this node coordinates quotas");
                let notice = Notice::QuotaCoordinator(revision.0);
                self.record_coordinator(owner.address, revision.0);
                notices.send_all(&notice).await;
                Ok(true)
            }
            Outcome::Conflict(_) => {
                store.revoke(id).await?;
                Ok(false)
            }
        }
    }

    /// Whether the store's copy names a former process of this node as the coordinator. This process may
    /// replace its key at once: the former one has ended, as it had the same address.
    fn has_former_key(&self) -> bool {
        self.context.read(|mirror| {
            let item = mirror.get(COORDINATOR_KEY);
            item.is_some_and(|item| self.is_of_former_process(&item.value))
        })
    }

    fn is_of_former_process(&self, value: &[u8]) -> bool {
        let own = self.context.settings().peer_address;
        let owner: Result<Owner, _> = serde_json::from_slice(value);
        owner.is_ok_and(|owner| owner.address == own && owner.boot != self.context.started_at_ms)
    }

    /// Until when a predecessor may make grants. It makes none any more if its lease has lapsed or its
    /// process has ended. Neither is certain if the store has lost the key, so that its revisions start
    /// again or are of a later era.
    fn predecessor_ends(&self, revision: u64) -> Time {
        let latest = self.latest_term();
        let now = boot_clock::since_start();
        let is_new_era = era::of(latest) < era::of(revision);
        if latest >= revision || is_new_era {
            now + LEASE_TTL
        } else {
            now
        }
    }

    /// Ends this node's duty, and lets another node claim it at once.
    async fn end_duty(&self) {
        let Some(lease) = self.duty.end() else {
            return;
        };
        log::info!("this node does not coordinate quotas any more");
        if let Err(error) = self.context.store.revoke(lease.id).await {
            // The lease lapses by itself.
            log::info!("the coordinator's lease was not revoked: {error}");
        }
    }
}

/// Renews the lease until it lapses or the duty ends. Runs as a task of its own so that a slow store
/// delays nothing else.
async fn renew(quotas: Weak<Quotas>, lease: Weak<Lease>) {
    loop {
        Timer::after(RENEWAL_INTERVAL).await;
        let (Some(quotas), Some(lease)) = (quotas.upgrade(), lease.upgrade()) else {
            return;
        };
        // The TTL counts from before the call: the store may have renewed the lease at any time since.
        let requested_at = boot_clock::since_start();
        match quotas.context.store.keep_alive(lease.id).await {
            Ok(_) => lease.set_valid_until(Some(requested_at + LEASE_TTL - LEASE_MARGIN)),
            Err(Error::LeaseExpired { .. }) => {
                log::info!("the coordinator's lease has lapsed");
                lease.set_valid_until(None);
                return;
            }
            Err(error) => log::warn!("the coordinator's lease was not renewed: {error}"),
        }
    }
}
