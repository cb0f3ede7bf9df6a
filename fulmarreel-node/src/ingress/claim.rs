//! Claims idempotency keys in the platform's store.
//!
//! A non-idempotent call that carries an idempotency key is sent only after its key was claimed by
//! compare-and-swap. The claim outlives the node that made it, so a repeated call is not run by any
//! node. If the call is proved not run, the claim is released and a repeated call may run.

use crate::settings::Settings;
use fulmarreel_store::{
    Error, LeaseId, Outcome, Revision, Store, Transaction,
    etcd::{Client, Options},
    keys::Key,
};
use smol::{Timer, lock::Mutex};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_128;

/// The longest time for which a key stays claimed.
const LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// How long new claims are attached to the same lease; all its claims end with it.
const LEASE_REUSE_TIME: Duration = Duration::from_secs(3_600);

/// How long one call to the store may take.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause between two attempts to release a claim.
const RELEASE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of attempts to release a claim in the background.
const RELEASE_ATTEMPTS: u32 = 30;

/// The claims that this node makes.
#[derive(Debug)]
pub(super) struct Claims {
    client: Client,
    /// Identifies this process in claims.
    holder: String,
    /// Number of the next claim of this process.
    next_number: AtomicU64,
    /// The lease of new claims, and when it was requested.
    lease: Mutex<Option<(LeaseId, Instant)>>,
}

/// A claim that was made or may have been made.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    key: String,
    token: String,
}

/// Why a keyed call is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimError {
    /// The key was claimed before.
    Repeated,
    /// The store did not respond.
    Unavailable,
}

impl Claims {
    /// Creates claims in the store that the settings name.
    pub fn new(settings: &Settings, started_at_ms: u64) -> Self {
        let peers = settings.store.iter().map(ToString::to_string);
        let client = Client::new(Options {
            peers: peers.collect(),
            operation_timeout: STORE_TIMEOUT,
        });
        Self {
            client,
            holder: format!("{} {started_at_ms}", settings.advertise),
            next_number: AtomicU64::new(1),
            lease: Mutex::default(),
        }
    }

    /// Claims a service's key.
    ///
    /// # Errors
    ///
    /// The key is claimed already, or the store did not respond.
    pub async fn claim(self: &Arc<Self>, service: &str, key: &str) -> Result<Claim, ClaimError> {
        let claim = self.new_claim(service, key);
        match self.commit(&claim).await {
            Ok(Outcome::Written(_)) => Ok(claim),
            Ok(Outcome::Conflict(_)) => Err(ClaimError::Repeated),
            Err(error) => {
                log::warn!("could not claim {}: {error}", claim.key);
                // The write may still take effect, and would then reject the caller's retry.
                self.release_in_background(claim);
                Err(ClaimError::Unavailable)
            }
        }
    }

    /// Releases a claim in the background. Its call must have been proved not run.
    pub fn release_in_background(self: &Arc<Self>, claim: Claim) {
        let claims = Arc::clone(self);
        crate::runtime::spawn(async move {
            for _ in 0..RELEASE_ATTEMPTS {
                match claims.delete(&claim).await {
                    Ok(()) => return,
                    Err(error) => log::info!("could not release {}: {error}", claim.key),
                }
                Timer::after(RELEASE_INTERVAL).await;
            }
        });
    }

    /// Releases a claim at once, so that its caller can retry as soon as it has the response; in
    /// the background if the store does not respond. Its call must have been proved not run.
    pub async fn release(self: &Arc<Self>, claim: Claim) {
        if let Err(error) = self.delete(&claim).await {
            log::info!("could not release {}: {error}", claim.key);
            self.release_in_background(claim);
        }
    }

    fn new_claim(&self, service: &str, key: &str) -> Claim {
        let hash = format!(
            "{:032x}",
            xxh3_128(format!("{service}\u{0}{key}").as_bytes())
        );
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        Claim {
            key: Key::Claim { hash: &hash }.to_string(),
            token: format!("{} {number}", self.holder),
        }
    }

    async fn commit(&self, claim: &Claim) -> Result<Outcome, Error> {
        let lease = self.current_lease().await?;
        let transaction = Transaction::new().when_absent(&claim.key).put_leased(
            &claim.key,
            claim.token.as_bytes(),
            lease,
        );
        self.client.commit_with_read_back(&transaction).await
    }

    /// Deletes a claim if the store holds it with this claim's token.
    async fn delete(&self, claim: &Claim) -> Result<(), Error> {
        let Some(revision) = self.own_revision(claim).await? else {
            return Ok(());
        };
        let transaction = Transaction::new()
            .when_mod_revision(&claim.key, revision)
            .delete(&claim.key);
        self.client
            .commit_with_read_back(&transaction)
            .await
            .map(|_| ())
    }

    async fn own_revision(&self, claim: &Claim) -> Result<Option<Revision>, Error> {
        let entry = self.client.get(&claim.key).await?;
        let own = entry.filter(|entry| entry.value == claim.token.as_bytes());
        Ok(own.map(|entry| entry.mod_revision))
    }

    async fn current_lease(&self) -> Result<LeaseId, Error> {
        let mut current = self.lease.lock().await;
        if let Some((lease, requested_at)) = *current
            && requested_at.elapsed() < LEASE_REUSE_TIME
        {
            return Ok(lease);
        }
        let requested_at = Instant::now();
        let lease = self.client.grant(LIFETIME).await?;
        *current = Some((lease, requested_at));
        Ok(lease)
    }
}
