//! Outages, slowness and lost replies.

use super::support::{TIMEOUT, client, put, start, value, with_store, written};
use fulmarreel_store::{
    Error, Outcome, Revision, Store, Transaction,
    error::{Site, Step},
};
use fulmarreel_testing::store::Faults;
use rstest::rstest;
use std::time::{Duration, Instant};

const SHORT: Duration = Duration::from_millis(200);

fn lose(lose_reply: u32) -> Faults {
    Faults {
        lose_reply,
        ..Faults::default()
    }
}

#[test]
fn lost_reply_is_unknown() {
    with_store(async |fake_etcd, store| {
        fake_etcd.set_faults(lose(1));
        let err = store
            .commit(&Transaction::new().put("a", b"v"))
            .await
            .unwrap_err();
        assert!(matches!(err, Error::Unknown { .. }), "{err}");
        assert_eq!(value(&store, "a").await.unwrap(), b"v");
        assert_eq!(
            fake_etcd.counts()["txn"],
            1,
            "an unconditional write was sent twice"
        );
    });
}

#[rstest]
#[case::create(None)]
#[case::replace(Some("old"))]
fn lost_reply_read_back_as_written(#[case] old: Option<&str>) {
    with_store(async |fake_etcd, store| {
        let base = match old {
            Some(old) => put(&store, "a", old.as_bytes()).await,
            None => Revision::ABSENT,
        };
        fake_etcd.set_faults(lose(1));
        let swap = Transaction::new().when_revision("a", base).put("a", b"new");
        let revision = written(store.commit_checked(&swap).await.unwrap());
        let entry = store.get("a").await.unwrap().unwrap();
        assert_eq!(
            (entry.revision, entry.version),
            (revision, 1 + u64::from(old.is_some()))
        );
    });
}

/// The read-back is of an older revision: the repeated transaction finds its first copy.
#[test]
fn lost_reply_and_stale_read() {
    with_store(async |fake_etcd, store| {
        let base = put(&store, "a", b"old").await;
        fake_etcd.set_faults(Faults {
            lose_reply: 1,
            stale_reads: 1,
            ..Faults::default()
        });
        let swap = Transaction::new().when_revision("a", base).put("a", b"new");
        let revision = written(store.commit_checked(&swap).await.unwrap());
        assert_eq!(revision, base.next());
        fake_etcd.set_faults(Faults::default());
        assert_eq!(store.get("a").await.unwrap().unwrap().revision, revision);
    });
}

/// A store that wraps another: its first commits end unknown, after something else happened.
mod unknown {
    use super::{Error, Outcome, Revision, Site, Step, Store, Transaction};
    use fulmarreel_store::{Entry, Lease, Listing, etcd};
    use std::{sync::Mutex, time::Duration};

    /// The transactions that happen in place of the first commit, whose reply is lost.
    pub struct Lossy<'a> {
        pub inner: &'a etcd::Client,
        pub instead: Mutex<Option<Vec<Transaction>>>,
    }

    impl Store for Lossy<'_> {
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
            let instead = self.instead.lock().unwrap().take();
            let Some(instead) = instead else {
                return self.inner.commit(transaction).await;
            };
            for other in &instead {
                self.inner.commit(other).await?;
            }
            let site = Site {
                step: Step::Commit,
                key: "a".into(),
                peer: "test".into(),
            };
            Err(Error::Unknown {
                site,
                reason: "test".into(),
            })
        }

        async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
            self.inner.grant(ttl).await
        }

        async fn keep_alive(&self, lease: Lease) -> Result<Duration, Error> {
            self.inner.keep_alive(lease).await
        }

        async fn revoke(&self, lease: Lease) -> Result<(), Error> {
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
enum Told {
    Written,
    Conflict,
    Unknown,
}

/// What `commit_checked` says of a swap of "a" from "old" to "mine", for what truly happened.
#[rstest]
#[case::never_arrived(&[], Told::Written)]
#[case::arrived(&["mine"], Told::Written)]
#[case::another_won(&["other"], Told::Conflict)]
#[case::overwritten_since(&["mine", "other"], Told::Unknown)]
#[case::deleted_since(&["mine", ""], Told::Unknown)]
#[case::another_won_twice(&["other", "other"], Told::Unknown)]
fn read_back(#[case] happened: &[&str], #[case] expected: Told) {
    with_store(async |_stand, store| {
        let base = put(&store, "a", b"old").await;
        let instead = happened.iter().map(|value| match *value {
            "" => Transaction::new().delete("a"),
            value => Transaction::new().put("a", value.as_bytes()),
        });
        let lossy = unknown::Lossy {
            inner: &store,
            instead: std::sync::Mutex::new(Some(instead.collect())),
        };
        let swap = Transaction::new()
            .when_revision("a", base)
            .put("a", b"mine");
        let told = match lossy.commit_checked(&swap).await {
            Ok(Outcome::Written(revision)) => {
                assert_eq!(store.get("a").await.unwrap().unwrap().revision, revision);
                Told::Written
            }
            Ok(Outcome::Conflict(_)) => Told::Conflict,
            Err(Error::Unknown { .. }) => Told::Unknown,
            Err(err) => panic!("{err}"),
        };
        assert_eq!(told, expected);
    });
}

#[rstest]
#[case::no_condition(Transaction::new().put("a", b"v"))]
#[case::deletion(Transaction::new().when_revision("a", Revision(2)).delete("a"))]
fn indistinguishable_stays_unknown(#[case] transaction: Transaction) {
    with_store(async |fake_etcd, store| {
        put(&store, "a", b"old").await;
        fake_etcd.set_faults(lose(1));
        let result = store.commit_checked(&transaction).await;
        assert!(matches!(result, Err(Error::Unknown { .. })), "{result:?}");
    });
}

#[test]
fn refused_connection_was_never_sent() {
    smol::block_on(async {
        let fake_etcd = start().await;
        let peer = fake_etcd.address().to_string();
        fake_etcd.shut_down().await;
        let store = client(&[&peer], TIMEOUT);
        match store.commit(&Transaction::new().put("a", b"v")).await {
            Err(Error::NotSent { site, .. }) => {
                assert_eq!(
                    site,
                    Site {
                        step: Step::Commit,
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
    with_store(async |fake_etcd, store| {
        put(&store, "a", b"v").await;
        fake_etcd.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        let err = store.get("a").await.unwrap_err();
        assert!(matches!(err, Error::Unanswered { .. }), "{err}");
        let err = store
            .commit(&Transaction::new().put("a", b"w"))
            .await
            .unwrap_err();
        assert!(matches!(err, Error::Unknown { .. }), "{err}");
        fake_etcd.set_faults(Faults::default());
        assert_eq!(value(&store, "a").await.unwrap(), b"v");
    });
}

#[rstest]
#[case::read(false)]
#[case::write(true)]
fn slow_store_meets_the_deadline(#[case] write: bool) {
    smol::block_on(async {
        let fake_etcd = start().await;
        let store = client(&[&fake_etcd.address().to_string()], SHORT);
        fake_etcd.set_faults(Faults {
            delay_ms: 60_000,
            ..Faults::default()
        });
        let begun = Instant::now();
        if write {
            let result = store.commit(&Transaction::new().put("a", b"v")).await;
            assert!(matches!(result, Err(Error::Unknown { .. })), "{result:?}");
        } else {
            let result = store.get("a").await;
            assert!(
                matches!(result, Err(Error::Unanswered { .. })),
                "{result:?}"
            );
        }
        assert!(begun.elapsed() >= SHORT);
        assert!(begun.elapsed() < TIMEOUT);
    });
}

#[test]
fn next_address_after_a_refused_connection() {
    smol::block_on(async {
        let (gone, fake_etcd) = (start().await, start().await);
        let (first, second) = (gone.address().to_string(), fake_etcd.address().to_string());
        gone.shut_down().await;
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
