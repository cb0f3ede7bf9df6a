//! Compare-and-swap, guards and the value limit.

use super::support::{put, value, with_store, written};
use fulmarreel_store::{Error, Outcome, Revision, Store, Transaction, store::MAX_VALUE};
use futures_lite::{StreamExt, stream};
use rstest::rstest;

#[rstest]
#[case::create(None, 0, true)]
#[case::create_over_another(Some("old"), 0, false)]
#[case::replace(Some("old"), 2, true)]
#[case::replace_a_later_one(Some("old"), 1, false)]
#[case::replace_what_is_absent(None, 2, false)]
fn by_revision(#[case] old: Option<&str>, #[case] compared: u64, #[case] wins: bool) {
    with_store(async |_stand, store| {
        if let Some(old) = old {
            assert_eq!(put(&store, "a", old.as_bytes()).await, Revision(2));
        }
        let swap = Transaction::new()
            .when_revision("a", Revision(compared))
            .put("a", b"new");
        match store.commit(&swap).await.unwrap() {
            Outcome::Written(revision) => {
                assert!(wins);
                let entry = store.get("a").await.unwrap().unwrap();
                assert_eq!((entry.revision, entry.value), (revision, b"new".to_vec()));
            }
            Outcome::Conflict(entries) => {
                assert!(!wins);
                let values: Vec<_> = entries.into_iter().map(|entry| entry.value).collect();
                let expected: Vec<_> = old.iter().map(|old| old.as_bytes().to_vec()).collect();
                assert_eq!(values, expected);
            }
        }
    });
}

#[rstest]
#[case::absent(false)]
#[case::present(true)]
fn one_winner_of_a_race(#[case] present: bool) {
    const RACERS: usize = 16;
    with_store(async |_stand, store| {
        let base = if present {
            put(&store, "a", b"old").await
        } else {
            Revision::ABSENT
        };
        let store = std::sync::Arc::new(store);
        let racers: Vec<_> = (0..RACERS)
            .map(|racer| {
                let store = store.clone();
                smol::spawn(async move {
                    let value = racer.to_string();
                    let swap = Transaction::new()
                        .when_revision("a", base)
                        .put("a", value.as_bytes());
                    (value, store.commit(&swap).await.unwrap())
                })
            })
            .collect();
        let results: Vec<_> = stream::iter(racers).then(|racer| racer).collect().await;
        let now = store.get("a").await.unwrap().unwrap();
        let winners: Vec<_> = results
            .iter()
            .filter(|(_, outcome)| matches!(outcome, Outcome::Written(_)))
            .collect();
        assert_eq!(winners.len(), 1);
        assert_eq!(winners[0].0.as_bytes(), now.value);
        assert_eq!(winners[0].1, Outcome::Written(now.revision));
        for (_, outcome) in &results {
            if let Outcome::Conflict(entries) = outcome {
                assert_eq!(entries, std::slice::from_ref(&now));
            }
        }
    });
}

#[test]
fn all_or_nothing() {
    with_store(async |_stand, store| {
        put(&store, "gone", b"x").await;
        let both = Transaction::new()
            .when_absent("a")
            .put("a", b"1")
            .put("b", b"1")
            .delete("gone");
        let revision = written(store.commit(&both).await.unwrap());
        for key in ["a", "b"] {
            assert_eq!(store.get(key).await.unwrap().unwrap().revision, revision);
        }
        assert_eq!(value(&store, "gone").await, None);
        let late = Transaction::new()
            .when_absent("a")
            .put("b", b"2")
            .put("c", b"2");
        assert!(matches!(
            store.commit(&late).await.unwrap(),
            Outcome::Conflict(_)
        ));
        assert_eq!(value(&store, "b").await.unwrap(), b"1");
        assert_eq!(value(&store, "c").await, None);
    });
}

/// A former holder, paused over the loss of its key, can't write any more.
#[test]
fn guard_by_create_revision() {
    with_store(async |_stand, store| {
        let former = put(&store, "owner", b"first").await;
        let step = |created| {
            Transaction::new()
                .when_created("owner", created)
                .put("step", b"s")
        };
        written(store.commit(&step(former)).await.unwrap());
        // A renewal of the value leaves the creation as it was.
        put(&store, "owner", b"first again").await;
        let last = written(store.commit(&step(former)).await.unwrap());
        store
            .commit(&Transaction::new().delete("owner"))
            .await
            .unwrap();
        assert_eq!(
            store.commit(&step(former)).await.unwrap(),
            Outcome::Conflict(Vec::new())
        );
        let holder = put(&store, "owner", b"second").await;
        match store.commit(&step(former)).await.unwrap() {
            Outcome::Conflict(entries) => assert_eq!(entries[0].value, b"second"),
            Outcome::Written(revision) => panic!("written at {revision}"),
        }
        assert_eq!(store.get("step").await.unwrap().unwrap().revision, last);
        written(store.commit(&step(holder)).await.unwrap());
    });
}

#[rstest]
#[case::at(MAX_VALUE, true)]
#[case::over(MAX_VALUE + 1, false)]
fn value_limit(#[case] size: usize, #[case] fits: bool) {
    with_store(async |fake_etcd, store| {
        let big = vec![b'v'; size];
        match store.commit(&Transaction::new().put("big", &big)).await {
            Ok(outcome) => {
                assert!(fits);
                written(outcome);
                assert_eq!(value(&store, "big").await.unwrap(), big);
            }
            Err(Error::TooLarge {
                key,
                size: told,
                limit,
            }) => {
                assert!(!fits);
                assert_eq!((key.as_str(), told, limit), ("big", size, MAX_VALUE));
                assert_eq!(fake_etcd.counts().get("txn"), None, "it was sent");
            }
            Err(err) => panic!("{err}"),
        }
    });
}
