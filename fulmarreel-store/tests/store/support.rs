//! What the contract tests share.

use fulmarreel_store::{
    Batch, Event, Outcome, Revision, Store, Transaction,
    etcd::{Client, Options},
    watch::Watch,
};
use fulmarreel_testing::store::FakeEtcd;
use std::time::Duration;

/// Long enough for a busy machine; only calls that fail for want of an answer wait for it.
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// Well over the fake etcd's interval of progress reports.
pub const IDLE: Duration = Duration::from_secs(5);

/// Runs a test with a fake etcd and a client of it.
pub fn with_store<F: Future<Output = ()>>(test: impl FnOnce(FakeEtcd, Client) -> F) {
    smol::block_on(async {
        let fake_etcd = start().await;
        let client = client(&[&fake_etcd.address().to_string()], TIMEOUT);
        test(fake_etcd, client).await;
    });
}

pub async fn start() -> FakeEtcd {
    FakeEtcd::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap()
}

pub fn client(peers: &[&str], timeout: Duration) -> Client {
    let peers = peers.iter().map(|&peer| peer.to_owned()).collect();
    Client::new(Options { peers, timeout })
}

/// Writes without a condition.
pub async fn put(store: &impl Store, key: &str, value: &[u8]) -> Revision {
    written(
        store
            .commit(&Transaction::new().put(key, value))
            .await
            .unwrap(),
    )
}

pub fn written(outcome: Outcome) -> Revision {
    match outcome {
        Outcome::Written(revision) => revision,
        Outcome::Conflict(entries) => panic!("conflict with {entries:?}"),
    }
}

pub async fn value(store: &impl Store, key: &str) -> Option<Vec<u8>> {
    store.get(key).await.unwrap().map(|entry| entry.value)
}

/// Reads a watch up to and with `last`.
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
