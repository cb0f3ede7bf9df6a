//! Helpers of the contract tests.

use fulmarreel_store::{
    Batch, Event, Outcome, Revision, Store, Transaction,
    etcd::{Client, Options},
    watch::Watch,
};
use fulmarreel_testing::store::FakeEtcd;
use std::time::Duration;

/// Long enough for a busy machine; only calls that get no response wait this long.
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// Well over the fake store's interval between progress notifications.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a test with a fake store and a client for it.
pub fn with_store<F: Future<Output = ()>>(test: impl FnOnce(FakeEtcd, Client) -> F) {
    smol::block_on(async {
        let server = start_server().await;
        let client = client(&[&server.address().to_string()], TIMEOUT);
        test(server, client).await;
    });
}

pub async fn start_server() -> FakeEtcd {
    FakeEtcd::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap()
}

pub fn client(peers: &[&str], timeout: Duration) -> Client {
    let peers = peers.iter().map(|&peer| peer.to_owned()).collect();
    Client::new(Options {
        peers,
        operation_timeout: timeout,
    })
}

/// Puts a key without a condition and returns the revision.
pub async fn put(store: &impl Store, key: &str, value: &[u8]) -> Revision {
    written(
        store
            .commit(&Transaction::new().put(key, value))
            .await
            .unwrap(),
    )
}

/// The revision of a transaction that took effect; panics on a conflict.
pub fn written(outcome: Outcome) -> Revision {
    match outcome {
        Outcome::Written(revision) => revision,
        Outcome::Conflict(entries) => panic!("conflict with {entries:?}"),
    }
}

pub async fn value(store: &impl Store, key: &str) -> Option<Vec<u8>> {
    store.get(key).await.unwrap().map(|entry| entry.value)
}

/// Reads the events of a watch up to revision `last`, inclusive.
pub async fn events(watch: &mut impl Watch, last: Revision) -> Vec<Event> {
    let mut all = Vec::new();
    loop {
        let Batch { revision, events } = watch.next().await.unwrap();
        all.extend(events);
        if revision >= last {
            return all;
        }
    }
}
