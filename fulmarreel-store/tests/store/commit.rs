//! Compare-and-swap, fencing by create revision and the value size limit.

use super::support::{put, value, with_store, written};
use fulmarreel_store::{Error, Outcome, Revision, Store, Transaction, store::MAX_VALUE_BYTES};
use futures_lite::{StreamExt, stream};
use rstest::rstest;

#[rstest]
#[case::create(None, 0, true)]
#[case::create_existing(Some("old"), 0, false)]
#[case::replace(Some("old"), 2, true)]
#[case::replace_newer(Some("old"), 1, false)]
#[case::replace_absent(None, 2, false)]
fn compare_and_swap_by_revision(
    #[case] old: Option<&str>,
    #[case] expected_revision: u64,
    #[case] wins: bool,
) {
    with_store(async |_server, store| {
        if let Some(old) = old {
            assert_eq!(put(&store, "a", old.as_bytes()).await, Revision(2));
        }
        let swap = Transaction::new()
            .when_mod_revision("a", Revision(expected_revision))
            .put("a", b"new");
        match store.commit(&swap).await.unwrap() {
            Outcome::Written(revision) => {
                assert!(wins);
                let entry = store.get("a").await.unwrap().unwrap();
                assert_eq!(
                    (entry.mod_revision, entry.value),
                    (revision, b"new".to_vec())
                );
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
fn concurrent_writers_have_one_winner(#[case] present: bool) {
    const WRITERS: usize = 16;
    with_store(async |_server, store| {
        let base = if present {
            put(&store, "a", b"old").await
        } else {
            Revision::ABSENT
        };
        let store = std::sync::Arc::new(store);
        let writers: Vec<_> = (0..WRITERS)
            .map(|writer| {
                let store = store.clone();
                smol::spawn(async move {
                    let value = writer.to_string();
                    let swap = Transaction::new()
                        .when_mod_revision("a", base)
                        .put("a", value.as_bytes());
                    (value, store.commit(&swap).await.unwrap())
                })
            })
            .collect();
        let results: Vec<_> = stream::iter(writers).then(|writer| writer).collect().await;
        let now = store.get("a").await.unwrap().unwrap();
        let winners: Vec<_> = results
            .iter()
            .filter(|(_, outcome)| matches!(outcome, Outcome::Written(_)))
            .collect();
        assert_eq!(winners.len(), 1);
        assert_eq!(winners[0].0.as_bytes(), now.value);
        assert_eq!(winners[0].1, Outcome::Written(now.mod_revision));
        for (_, outcome) in &results {
            if let Outcome::Conflict(entries) = outcome {
                assert_eq!(entries, std::slice::from_ref(&now));
            }
        }
    });
}

#[test]
fn transactions_are_atomic() {
    with_store(async |_server, store| {
        put(&store, "gone", b"x").await;
        let transaction = Transaction::new()
            .when_absent("a")
            .put("a", b"1")
            .put("b", b"1")
            .delete("gone");
        let revision = written(store.commit(&transaction).await.unwrap());
        for key in ["a", "b"] {
            assert_eq!(
                store.get(key).await.unwrap().unwrap().mod_revision,
                revision
            );
        }
        assert_eq!(value(&store, "gone").await, None);
        let failing = Transaction::new()
            .when_absent("a")
            .put("b", b"2")
            .put("c", b"2");
        assert!(matches!(
            store.commit(&failing).await.unwrap(),
            Outcome::Conflict(_)
        ));
        assert_eq!(value(&store, "b").await.unwrap(), b"1");
        assert_eq!(value(&store, "c").await, None);
    });
}

/// A holder that was paused while it lost its key must not be able to write any more.
#[test]
fn former_holder_is_fenced_by_create_revision() {
    with_store(async |_server, store| {
        let first_created = put(&store, "owner", b"first").await;
        let step = |created| {
            Transaction::new()
                .when_create_revision("owner", created)
                .put("step", b"s")
        };
        written(store.commit(&step(first_created)).await.unwrap());
        // Writing the key again leaves its create revision unchanged.
        put(&store, "owner", b"first again").await;
        let last_step = written(store.commit(&step(first_created)).await.unwrap());
        store
            .commit(&Transaction::new().delete("owner"))
            .await
            .unwrap();
        assert_eq!(
            store.commit(&step(first_created)).await.unwrap(),
            Outcome::Conflict(Vec::new())
        );
        let second_created = put(&store, "owner", b"second").await;
        match store.commit(&step(first_created)).await.unwrap() {
            Outcome::Conflict(entries) => assert_eq!(entries[0].value, b"second"),
            Outcome::Written(revision) => panic!("written at {revision}"),
        }
        assert_eq!(
            store.get("step").await.unwrap().unwrap().mod_revision,
            last_step
        );
        written(store.commit(&step(second_created)).await.unwrap());
    });
}

#[rstest]
#[case::at(MAX_VALUE_BYTES, true)]
#[case::over(MAX_VALUE_BYTES + 1, false)]
fn value_limit(#[case] size: usize, #[case] fits: bool) {
    with_store(async |server, store| {
        let big = vec![b'v'; size];
        match store.commit(&Transaction::new().put("big", &big)).await {
            Ok(outcome) => {
                assert!(fits);
                written(outcome);
                assert_eq!(value(&store, "big").await.unwrap(), big);
            }
            Err(Error::TooLarge {
                key,
                size: reported_size,
                limit,
            }) => {
                assert!(!fits);
                assert_eq!(
                    (key.as_str(), reported_size, limit),
                    ("big", size, MAX_VALUE_BYTES)
                );
                assert_eq!(
                    server.counts().get("txn"),
                    None,
                    "the oversized value was sent"
                );
            }
            Err(err) => panic!("{err}"),
        }
    });
}
