//! A node's copy of the store.

mod mirror {
    mod era;
    mod exchange;
    mod schedule;
}

use fulmarreel_distribution::{
    Mirror,
    mirror::{Change, Item},
};
use std::collections::BTreeMap;

fn change(key: &str, revision: u64, value: Option<&str>) -> Change {
    Change {
        key: key.to_owned(),
        revision,
        value: value.map(|value| value.as_bytes().to_vec()),
    }
}

fn items(items: &[(&str, u64, &str)]) -> BTreeMap<String, Item> {
    let item = |(key, revision, value): &(&str, u64, &str)| {
        let (revision, value) = (*revision, value.as_bytes().to_vec());
        ((*key).to_owned(), Item { revision, value })
    };
    items.iter().map(item).collect()
}

fn value<'a>(mirror: &'a Mirror, key: &str) -> Option<&'a [u8]> {
    mirror.get(key).map(|item| item.value.as_slice())
}

/// Fails if an older listing or change replaces the known state.
#[test]
fn nothing_falls_back() {
    let mut mirror = Mirror::default();
    assert!(mirror.replace(10, items(&[("a", 7, "new")])));
    assert!(!mirror.replace(9, items(&[("a", 5, "old")])));
    assert!(!mirror.apply(9, vec![change("a", 6, Some("old"))]));
    assert_eq!(value(&mirror, "a"), Some(&b"new"[..]));
    assert_eq!(mirror.revision(), 10);
}

/// Fails if a removal is skipped, or if a late change restores a removed key.
#[test]
fn changes_are_applied_once() {
    let mut mirror = Mirror::default();
    mirror.replace(10, items(&[("a", 7, "one"), ("b", 8, "two")]));
    let changes = vec![change("a", 11, None), change("c", 12, Some("three"))];
    assert!(mirror.apply(12, changes.clone()));
    assert!(!mirror.apply(12, changes));
    assert!(!mirror.apply(12, vec![change("a", 7, Some("one"))]));
    let keys: Vec<&str> = mirror.items().map(|(key, _)| key).collect();
    assert_eq!(keys, ["b", "c"]);
}

/// Fails if an earlier change replaces an item that a later page of the listing contained.
#[test]
fn an_item_newer_than_its_listing_stays() {
    let mut mirror = Mirror::default();
    mirror.replace(10, items(&[("a", 12, "newer")]));
    mirror.apply(11, vec![change("a", 11, Some("older"))]);
    assert_eq!(value(&mirror, "a"), Some(&b"newer"[..]));
}

#[test]
fn keys_below_a_prefix() {
    let mut mirror = Mirror::default();
    mirror.replace(1, items(&[("n/a", 1, ""), ("n/b", 1, ""), ("o", 1, "")]));
    let keys: Vec<&str> = mirror
        .items_under_prefix("n/")
        .map(|(key, _)| key)
        .collect();
    assert_eq!(keys, ["a", "b"]);
}
