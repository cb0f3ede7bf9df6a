//! Outages, slow responses and lost replies.

use super::support::{TIMEOUT, client, put, start_server, value, with_store, written};
use fulmarreel_store::{
    Error, Outcome, Revision, Store, Transaction,
    error::{Operation, Site},
};
use fulmarreel_testing::store::Faults;
use rstest::rstest;
use std::time::{Duration, Instant};

const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

fn lose_replies(lose_reply: u32) -> Faults {
    Faults {
        lose_reply,
        ..Faults::default()
    }
}

#[test]
fn lost_reply_is_unknown() {
    with_store(async |server, store| {
        server.set_faults(lose_replies(1));
        let err = store
            .commit(&Transaction::new().put("a", b"v"))
            .await
            .unwrap_err();
        assert!(matches!(err, Error::OutcomeUnknown { .. }), "{err}");
        assert_eq!(value(&store, "a").await.unwrap(), b"v");
        assert_eq!(
            server.counts()["txn"],
            1,
            "an unconditional write was sent twice"
        );
    });
}

#[rstest]
#[case::create(None)]
#[case::replace(Some("old"))]
fn lost_reply_read_back_as_written(#[case] old: Option<&str>) {
    with_store(async |server, store| {
        let base = match old {
            Some(old) => put(&store, "a", old.as_bytes()).await,
            None => Revision::ABSENT,
        };
        server.set_faults(lose_replies(1));
        let swap = Transaction::new()
            .when_mod_revision("a", base)
            .put("a", b"new");
        let revision = written(store.commit_with_read_back(&swap).await.unwrap());
        let entry = store.get("a").await.unwrap().unwrap();
        assert_eq!(
            (entry.mod_revision, entry.version),
            (revision, 1 + u64::from(old.is_some()))
        );
    });
}

/// The read-back returns an older revision: the transaction that is sent again finds the write of
/// its first copy.
#[test]
fn lost_reply_and_stale_read() {
    with_store(async |server, store| {
        let base = put(&store, "a", b"old").await;
        server.set_faults(Faults {
            lose_reply: 1,
            stale_reads: 1,
            ..Faults::default()
        });
        let swap = Transaction::new()
            .when_mod_revision("a", base)
            .put("a", b"new");
        let revision = written(store.commit_with_read_back(&swap).await.unwrap());
        assert_eq!(revision, base.next());
        server.set_faults(Faults::default());
        assert_eq!(
            store.get("a").await.unwrap().unwrap().mod_revision,
            revision
        );
    });
}

/// A store that wraps another, replaces the first commit by other transactions and reports its
/// outcome as unknown.
mod lossy {
    use super::{Error, Operation, Outcome, Revision, Site, Store, Transaction};
    use fulmarreel_store::{Entry, LeaseId, Listing, etcd};
    use std::{sync::Mutex, time::Duration};

    /// The store that is wrapped, and the transactions that run in place of the first commit.
    pub struct LossyStore<'a> {
        pub inner: &'a etcd::Client,
        pub replacement: Mutex<Option<Vec<Transaction>>>,
    }

    impl Store for LossyStore<'_> {
        type Watch = etcd::Watch;

        async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
            self.inner.get(key).await
        }

        async fn get_at(&self, key: &str, revision: Revision) -> Result<Option<Entry>, Error> {
            self.inner.get_at(key, revision).await
        }

        async fn list(&self, prefix: &str) -> Result<Listing, Error> {
            self.inner.list(prefix).await
        }

        async fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error> {
            let replacement = self.replacement.lock().unwrap().take();
            let Some(replacement) = replacement else {
                return self.inner.commit(transaction).await;
            };
            for other in &replacement {
                self.inner.commit(other).await?;
            }
            let site = Site {
                operation: Operation::Commit,
                key: "a".into(),
                peer: "test".into(),
            };
            Err(Error::OutcomeUnknown {
                site,
                reason: "test".into(),
            })
        }

        async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
            self.inner.grant(ttl).await
        }

        async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, Error> {
            self.inner.keep_alive(lease).await
        }

        async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
            self.inner.revoke(lease).await
        }

        async fn watch(
            &self,
            prefix: &str,
            from: Revision,
            idle: Duration,
        ) -> Result<etcd::Watch, Error> {
            self.inner.watch(prefix, from, idle).await
        }
    }
}

#[derive(Debug, PartialEq)]
enum Reported {
    Written,
    Conflict,
    Unknown,
}

/// The result of `commit_with_read_back` for a swap of "a" from "old" to "mine" whose first reply is
/// lost; the first argument holds the values actually written to "a" meanwhile, "" for a deletion.
#[rstest]
#[case::never_arrived(&[], Reported::Written)]
#[case::arrived(&["mine"], Reported::Written)]
#[case::another_won(&["other"], Reported::Conflict)]
#[case::overwritten_since(&["mine", "other"], Reported::Unknown)]
#[case::deleted_since(&["mine", ""], Reported::Unknown)]
#[case::another_won_twice(&["other", "other"], Reported::Unknown)]
fn read_back_after_a_lost_reply(#[case] actual_values: &[&str], #[case] expected: Reported) {
    with_store(async |_server, store| {
        let base = put(&store, "a", b"old").await;
        let replacement = actual_values.iter().map(|value| match *value {
            "" => Transaction::new().delete("a"),
            value => Transaction::new().put("a", value.as_bytes()),
        });
        let lossy = lossy::LossyStore {
            inner: &store,
            replacement: std::sync::Mutex::new(Some(replacement.collect())),
        };
        let swap = Transaction::new()
            .when_mod_revision("a", base)
            .put("a", b"mine");
        let reported = match lossy.commit_with_read_back(&swap).await {
            Ok(Outcome::Written(revision)) => {
                assert_eq!(
                    store.get("a").await.unwrap().unwrap().mod_revision,
                    revision
                );
                Reported::Written
            }
            Ok(Outcome::Conflict(_)) => Reported::Conflict,
            Err(Error::OutcomeUnknown { .. }) => Reported::Unknown,
            Err(err) => panic!("{err}"),
        };
        assert_eq!(reported, expected);
    });
}

#[rstest]
#[case::no_condition(Transaction::new().put("a", b"v"))]
#[case::deletion(Transaction::new().when_mod_revision("a", Revision(2)).delete("a"))]
fn undeterminable_outcome_stays_unknown(#[case] transaction: Transaction) {
    with_store(async |server, store| {
        put(&store, "a", b"old").await;
        server.set_faults(lose_replies(1));
        let result = store.commit_with_read_back(&transaction).await;
        assert!(
            matches!(result, Err(Error::OutcomeUnknown { .. })),
            "{result:?}"
        );
    });
}

#[test]
fn refused_connection_means_not_sent() {
    smol::block_on(async {
        let server = start_server().await;
        let peer = server.address().to_string();
        server.shut_down().await;
        let store = client(&[&peer], TIMEOUT);
        match store.commit(&Transaction::new().put("a", b"v")).await {
            Err(Error::NotSent { site, .. }) => {
                assert_eq!(
                    site,
                    Site {
                        operation: Operation::Commit,
                        key: "a".into(),
                        peer
                    }
                );
            }
            other => panic!("{other:?}"),
        }
        assert!(matches!(store.get("a").await, Err(Error::NotSent { .. })));
    });
}

#[test]
fn down_and_up_again() {
    with_store(async |server, store| {
        put(&store, "a", b"v").await;
        server.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        let err = store.get("a").await.unwrap_err();
        assert!(matches!(err, Error::NoResponse { .. }), "{err}");
        let err = store
            .commit(&Transaction::new().put("a", b"w"))
            .await
            .unwrap_err();
        assert!(matches!(err, Error::OutcomeUnknown { .. }), "{err}");
        server.set_faults(Faults::default());
        assert_eq!(value(&store, "a").await.unwrap(), b"v");
    });
}

#[rstest]
#[case::read(false)]
#[case::write(true)]
fn slow_store_meets_the_deadline(#[case] write: bool) {
    smol::block_on(async {
        let server = start_server().await;
        let store = client(&[&server.address().to_string()], SHORT_TIMEOUT);
        server.set_faults(Faults {
            delay_ms: 60_000,
            ..Faults::default()
        });
        let started_at = Instant::now();
        if write {
            let result = store.commit(&Transaction::new().put("a", b"v")).await;
            assert!(
                matches!(result, Err(Error::OutcomeUnknown { .. })),
                "{result:?}"
            );
        } else {
            let result = store.get("a").await;
            assert!(
                matches!(result, Err(Error::NoResponse { .. })),
                "{result:?}"
            );
        }
        assert!(started_at.elapsed() >= SHORT_TIMEOUT);
        assert!(started_at.elapsed() < TIMEOUT);
    });
}

#[test]
fn fails_over_after_a_refused_connection() {
    smol::block_on(async {
        let (stopped, server) = (start_server().await, start_server().await);
        let (first, second) = (stopped.address().to_string(), server.address().to_string());
        stopped.shut_down().await;
        let store = client(&[&first, &second], TIMEOUT);
        put(&store, "a", b"v").await;
        assert_eq!(value(&store, "a").await.unwrap(), b"v");
        let mut watch = store.watch("a", Revision(1), TIMEOUT).await.unwrap();
        assert_eq!(
            super::support::events(&mut watch, Revision(2)).await.len(),
            1
        );
    });
}

#[test]
fn no_address() {
    smol::block_on(async {
        assert!(matches!(
            client(&[], TIMEOUT).get("a").await,
            Err(Error::NoAddress)
        ));
    });
}
