//! Reading keys and prefixes.

use super::support::{put, with_store};
use fulmarreel_store::{Revision, Store, Transaction};
use rstest::rstest;

#[test]
fn absent_key() {
    with_store(async |_server, store| {
        assert_eq!(store.get("a").await.unwrap(), None);
    });
}

#[rstest]
#[case::empty(b"")]
#[case::text(b"text")]
#[case::binary(&[0, 255, 10, 13])]
fn value_round_trips(#[case] value: &[u8]) {
    with_store(async |_server, store| {
        let first = put(&store, "k/\u{e9}", value).await;
        let entry = store.get("k/\u{e9}").await.unwrap().unwrap();
        assert_eq!(entry.value, value);
        assert_eq!(
            (entry.mod_revision, entry.create_revision, entry.version),
            (first, first, 1)
        );
        let second = put(&store, "k/\u{e9}", value).await;
        let entry = store.get("k/\u{e9}").await.unwrap().unwrap();
        assert!(second > first);
        assert_eq!(
            (entry.mod_revision, entry.create_revision, entry.version),
            (second, first, 2)
        );
    });
}

#[test]
fn past_value() {
    with_store(async |_server, store| {
        let first = put(&store, "a", b"1").await;
        put(&store, "a", b"2").await;
        assert_eq!(store.get_at("a", first).await.unwrap().unwrap().value, b"1");
        assert_eq!(store.get_at("a", Revision(1)).await.unwrap(), None);
    });
}

#[rstest]
#[case::inside("p/", &["p/a", "p/b"])]
#[case::includes_sibling("p", &["p/a", "p/b", "p0"])]
#[case::all("", &["o", "p/a", "p/b", "p0"])]
#[case::none("q", &[])]
fn list_by_prefix(#[case] prefix: &str, #[case] expected: &[&str]) {
    with_store(async |_server, store| {
        for key in ["p/b", "p0", "o", "p/a"] {
            put(&store, key, b"v").await;
        }
        let listing = store.list(prefix).await.unwrap();
        let keys: Vec<_> = listing
            .entries
            .iter()
            .map(|entry| entry.key.as_str())
            .collect();
        assert_eq!(keys, expected);
        assert_eq!(
            listing.revision,
            put(&store, "z", b"v")
                .await
                .0
                .checked_sub(1)
                .map(Revision)
                .unwrap()
        );
    });
}

#[test]
fn deleted_key_is_absent() {
    with_store(async |_server, store| {
        put(&store, "a", b"1").await;
        store.commit(&Transaction::new().delete("a")).await.unwrap();
        assert_eq!(store.get("a").await.unwrap(), None);
    });
}
