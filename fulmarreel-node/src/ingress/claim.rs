//! Claims of idempotency keys in the platform's store.
//!
//! A non-idempotent call that carries an idempotency key is sent only once the key is claimed by
//! compare-and-swap. A claim outlives the node that made it, so that a repeat runs nowhere. Where
//! the call proves to be not run the claim is released, and a repeat may run.

use crate::settings::Settings;
use fulmarreel_store::{
    Error, Lease, Outcome, Revision, Store, Transaction,
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

/// How long a key stays claimed at most.
const LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// How long one lease is used for new claims; they all end with it.
const LEASE_USE: Duration = Duration::from_secs(3_600);

/// How long one call to the store may take.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause between two tries to release a claim.
const RELEASE_INTERVAL: Duration = Duration::from_secs(1);

/// How often a release is tried.
const RELEASE_TRIES: u32 = 30;

/// The claims that this node makes.
#[derive(Debug)]
pub(super) struct Claims {
    client: Client,
    /// This process, as claims name it.
    holder: String,
    next: AtomicU64,
    lease: Mutex<Option<(Lease, Instant)>>,
}

/// A claim that was made or may have been made.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    key: String,
    token: String,
}

/// Why a keyed call is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The key was claimed before.
    Repeated,
    /// The store did not answer.
    Unavailable,
}

impl Claims {
    /// Claims in the store of these settings.
    pub fn new(settings: &Settings, boot: u64) -> Self {
        let peers = settings.store.iter().map(ToString::to_string);
        let client = Client::new(Options {
            peers: peers.collect(),
            timeout: STORE_TIMEOUT,
        });
        Self {
            client,
            holder: format!("{} {boot}", settings.advertise),
            next: AtomicU64::new(1),
            lease: Mutex::default(),
        }
    }

    /// Claims a service's key.
    ///
    /// # Errors
    ///
    /// It is claimed already, or the store cannot tell.
    pub async fn take(self: &Arc<Self>, service: &str, key: &str) -> Result<Claim, Refusal> {
        let claim = self.claim(service, key);
        match self.write(&claim).await {
            Ok(Outcome::Written(_)) => Ok(claim),
            Ok(Outcome::Conflict(_)) => Err(Refusal::Repeated),
            Err(error) => {
                log::warn!("claim {}: {error}", claim.key);
                // The write may still take effect, and would then shut out the caller's repeat.
                self.release(claim);
                Err(Refusal::Unavailable)
            }
        }
    }

    /// Releases a claim whose call was not run, in the background.
    pub fn release(self: &Arc<Self>, claim: Claim) {
        let claims = Arc::clone(self);
        crate::runtime::spawn(async move {
            for _ in 0..RELEASE_TRIES {
                match claims.delete(&claim).await {
                    Ok(()) => return,
                    Err(error) => log::info!("release {}: {error}", claim.key),
                }
                Timer::after(RELEASE_INTERVAL).await;
            }
        });
    }

    /// Releases a claim whose call was not run before its caller hears so, where the store answers.
    pub async fn release_now(self: &Arc<Self>, claim: Claim) {
        if let Err(error) = self.delete(&claim).await {
            log::info!("release {}: {error}", claim.key);
            self.release(claim);
        }
    }

    fn claim(&self, service: &str, key: &str) -> Claim {
        let hash = format!(
            "{:032x}",
            xxh3_128(format!("{service}\u{0}{key}").as_bytes())
        );
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        Claim {
            key: Key::Claim { hash: &hash }.to_string(),
            token: format!("{} {number}", self.holder),
        }
    }

    async fn write(&self, claim: &Claim) -> Result<Outcome, Error> {
        let lease = self.lease().await?;
        let transaction = Transaction::new().when_absent(&claim.key).put_leased(
            &claim.key,
            claim.token.as_bytes(),
            lease,
        );
        self.client.commit_checked(&transaction).await
    }

    /// Deletes a claim if it is this one.
    async fn delete(&self, claim: &Claim) -> Result<(), Error> {
        let Some(revision) = self.revision(claim).await? else {
            return Ok(());
        };
        let transaction = Transaction::new()
            .when_revision(&claim.key, revision)
            .delete(&claim.key);
        self.client.commit_checked(&transaction).await.map(|_| ())
    }

    async fn revision(&self, claim: &Claim) -> Result<Option<Revision>, Error> {
        let entry = self.client.get(&claim.key).await?;
        let own = entry.filter(|entry| entry.value == claim.token.as_bytes());
        Ok(own.map(|entry| entry.revision))
    }

    async fn lease(&self) -> Result<Lease, Error> {
        let mut present = self.lease.lock().await;
        if let Some((lease, granted)) = *present
            && granted.elapsed() < LEASE_USE
        {
            return Ok(lease);
        }
        let asked = Instant::now();
        let lease = self.client.grant(LIFETIME).await?;
        *present = Some((lease, asked));
        Ok(lease)
    }
}
