//! Requests and updates between mirrors.

use crate::{change, items, value};
use fulmarreel_distribution::{
    Mirror,
    mirror::{Change, DeltaError, Error, Item},
};
use fulmarreel_wire::mirror::{self as wire, Piece, Pull, Update, Value};

/// A configuration of many routes, one of which has the given timeout.
fn config(routes: usize, timeout_ms: usize) -> Vec<u8> {
    let route = |index: usize| {
        let timeout_ms = if index == routes / 2 { timeout_ms } else { 500 };
        format!(r#"{{"route": "/r/{index}", "service": "s{index}", "timeout_ms": {timeout_ms}}}"#)
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    routes.join(",\n").into_bytes()
}

fn put(key: &str, revision: u64, value: Vec<u8>) -> Change {
    Change {
        key: key.to_owned(),
        revision,
        value: Some(value),
    }
}

fn item(revision: u64, value: Vec<u8>) -> Item {
    Item { revision, value }
}

/// A mirror that read a large item at each revision up to this one.
fn mirror_at(last_revision: u64) -> Mirror {
    let mut mirror = Mirror::default();
    for revision in 1..=last_revision {
        let value = config(200, 1_000 + revision as usize);
        mirror.apply(revision, vec![put("config", revision, value)]);
    }
    mirror
}

fn pull_after(revision: u64) -> Pull {
    Pull {
        known_revision: revision,
        base_items: Vec::new(),
        without_deltas: false,
    }
}

fn contents(mirror: &Mirror) -> Vec<(String, u64, Vec<u8>)> {
    let items = mirror.items();
    items
        .map(|(key, item)| (key.to_owned(), item.revision, item.value.clone()))
        .collect()
}

fn is_delta(update: &Update) -> bool {
    let mut changes = update.changes.iter();
    changes.any(|change| matches!(change.value, Value::Delta { .. }))
}

/// Applies an update that must be rejected, and checks that the mirror is unchanged.
fn expect_rejection(mirror: &mut Mirror, update: Update) -> Error {
    let (revision_before, contents_before) = (mirror.revision(), contents(mirror));
    let error = mirror.apply_update(update).unwrap_err();
    assert_eq!(
        (mirror.revision(), contents(mirror)),
        (revision_before, contents_before)
    );
    error
}

#[test]
fn a_peer_at_the_same_revision_gets_nothing() {
    let mirror = mirror_at(3);
    assert_eq!(mirror.update_for(&pull_after(3)), None);
    assert_eq!(mirror.update_for(&pull_after(4)), None);
    assert_eq!(Mirror::default().update_for(&pull_after(0)), None);
}

#[test]
fn an_update_has_only_what_changed() {
    let mut mirror = Mirror::default();
    mirror.replace(10, items(&[("a", 7, "one"), ("b", 8, "two")]));
    mirror.apply(
        12,
        vec![change("a", 11, None), change("c", 12, Some("three"))],
    );
    let update = mirror.update_for(&pull_after(10)).unwrap();
    let keys: Vec<&str> = update
        .changes
        .iter()
        .map(|change| change.key.as_str())
        .collect();
    assert_eq!((update.after_revision, update.up_to_revision), (10, 12));
    assert_eq!(keys, ["c", "a"]);
}

#[test]
fn a_revision_without_changes_is_passed_on() {
    let mut mirror = mirror_at(1);
    mirror.apply(5, Vec::new());
    let mut peer = mirror_at(1);
    let update = mirror.update_for(&peer.pull_request()).unwrap();
    assert!(update.changes.is_empty());
    assert_eq!(peer.apply_update(update), Ok(false));
    assert_eq!(peer.revision(), 5);
}

/// Fails if a peer keeps an item whose removal the mirror never received.
#[test]
fn a_peer_from_before_the_listing_gets_all_items() {
    let mut peer = Mirror::default();
    peer.replace(5, items(&[("a", 3, "one"), ("gone", 4, "two")]));
    let mut mirror = Mirror::default();
    mirror.replace(10, items(&[("a", 3, "one"), ("b", 8, "three")]));
    let update = mirror.update_for(&peer.pull_request()).unwrap();
    assert_eq!((update.after_revision, update.changes.len()), (0, 2));
    assert_eq!(peer.apply_update(update), Ok(true));
    assert_eq!(contents(&peer), contents(&mirror));
}

/// Fails if a peer keeps an item whose removal the mirror has dropped.
#[test]
fn a_peer_from_before_the_oldest_removal_gets_all_items() {
    let mut mirror = Mirror::default();
    let removals = (1..=600).map(|revision| change(&format!("k{revision}"), revision, None));
    mirror.apply(600, removals.collect());
    assert_eq!(mirror.update_for(&pull_after(1)).unwrap().after_revision, 0);
    assert_eq!(
        mirror.update_for(&pull_after(87)).unwrap().after_revision,
        0
    );
    let update = mirror.update_for(&pull_after(88)).unwrap();
    assert_eq!((update.after_revision, update.changes.len()), (88, 512));
}

#[test]
fn a_large_item_is_sent_as_a_delta() {
    let mirror = mirror_at(4);
    let mut peer = mirror_at(3);
    let update = mirror.update_for(&peer.pull_request()).unwrap();
    assert!(is_delta(&update));
    let packed = wire::pack(&update).unwrap();
    assert!(packed.len() < 2_000, "{} bytes", packed.len());
    assert_eq!(peer.apply_update(update), Ok(true));
    assert_eq!(contents(&peer), contents(&mirror));
}

#[test]
fn a_large_item_is_sent_as_a_delta_with_all_items() {
    let mut mirror = Mirror::default();
    mirror.replace(1, [("config".to_owned(), item(1, config(200, 1)))].into());
    mirror.replace(9, [("config".to_owned(), item(8, config(200, 8)))].into());
    let mut peer = Mirror::default();
    peer.replace(1, [("config".to_owned(), item(1, config(200, 1)))].into());
    let update = mirror.update_for(&peer.pull_request()).unwrap();
    assert_eq!(update.after_revision, 0);
    assert!(is_delta(&update));
    assert_eq!(peer.apply_update(update), Ok(true));
    assert_eq!(contents(&peer), contents(&mirror));
}

#[test]
fn a_whole_pull_gets_no_deltas() {
    let pull = Pull {
        without_deltas: true,
        ..mirror_at(3).pull_request()
    };
    let update = mirror_at(4).update_for(&pull).unwrap();
    assert!(!is_delta(&update));
    assert_eq!(update.changes.len(), 1);
}

#[test]
fn deltas_reach_back_seven_versions() {
    let mirror = mirror_at(20);
    assert!(is_delta(
        &mirror.update_for(&mirror_at(13).pull_request()).unwrap()
    ));
    assert!(!is_delta(
        &mirror.update_for(&mirror_at(12).pull_request()).unwrap()
    ));
}

#[test]
fn small_items_are_neither_named_nor_sent_as_deltas() {
    let mut mirror = Mirror::default();
    mirror.apply(1, vec![put("small", 1, vec![b'a'; 4_095])]);
    mirror.apply(2, vec![put("large", 2, vec![b'a'; 4_096])]);
    let base_items = mirror.pull_request().base_items;
    let base_items: Vec<(&str, u64)> = base_items
        .iter()
        .map(|item| (item.key.as_str(), item.revision))
        .collect();
    assert_eq!(base_items, [("large", 2)]);
}

#[test]
fn an_update_after_a_gap_is_rejected() {
    let update = mirror_at(4).update_for(&pull_after(3)).unwrap();
    let error = expect_rejection(&mut mirror_at(2), update.clone());
    let (from, revision) = (3, 2);
    assert_eq!(error, Error::Gap { from, revision });
    let error = expect_rejection(&mut Mirror::default(), update);
    assert_eq!(error, Error::Gap { from, revision: 0 });
}

#[test]
fn a_delta_of_another_version_is_rejected() {
    let mirror = mirror_at(5);
    let update = mirror.update_for(&mirror_at(3).pull_request()).unwrap();
    let mut peer = mirror_at(4);
    let error = expect_rejection(&mut peer, update);
    let (key, base, held) = ("config".to_owned(), 3, Some(4));
    assert_eq!(error, Error::Base { key, base, held });
    let whole = Pull {
        without_deltas: true,
        ..peer.pull_request()
    };
    let update = mirror.update_for(&whole).unwrap();
    assert_eq!(peer.apply_update(update), Ok(true));
    assert_eq!(contents(&peer), contents(&mirror));
}

/// An update from revision 3 to 4 with a small item, followed by a delta of the large one.
fn delta_update(pieces: Vec<Piece>, hash: u128) -> Update {
    let change = |key: &str, value| wire::Change {
        key: key.to_owned(),
        revision: 4,
        value,
    };
    let delta = Value::Delta {
        base: 3,
        pieces,
        hash,
    };
    Update {
        after_revision: 3,
        up_to_revision: 4,
        changes: vec![
            change("a", Value::Whole(b"one".to_vec())),
            change("config", delta),
        ],
    }
}

fn delta_error(pieces: Vec<Piece>) -> DeltaError {
    match expect_rejection(&mut mirror_at(3), delta_update(pieces, 1)) {
        Error::Delta { fault, .. } => fault,
        error => panic!("{error}"),
    }
}

#[test]
fn a_delta_that_does_not_fit_is_rejected() {
    let copy = |offset, length| Piece::Copy { offset, length };
    let end = config(200, 1_003).len() as u32;
    let outside = DeltaError::Range {
        offset: end,
        length: 1,
    };
    assert_eq!(delta_error(vec![copy(end, 1)]), outside);
    assert!(matches!(
        delta_error(vec![copy(u32::MAX, 9)]),
        DeltaError::Range { .. }
    ));
    assert_eq!(delta_error(vec![copy(0, u32::MAX); 9]), DeltaError::TooLong);
    assert_eq!(delta_error(vec![copy(0, end)]), DeltaError::Hash);
    assert_eq!(
        delta_error(vec![Piece::Bytes(b"other".to_vec())]),
        DeltaError::Hash
    );
}

/// Fails if an update replaces an item that a later page of the peer's listing contained.
#[test]
fn an_item_newer_than_a_peers_listing_stays() {
    let mut peer = Mirror::default();
    peer.replace(10, items(&[("a", 13, "newer"), ("b", 4, "gone")]));
    let mut mirror = Mirror::default();
    mirror.replace(12, items(&[("a", 3, "older")]));
    let update = mirror.update_for(&peer.pull_request()).unwrap();
    assert_eq!(peer.apply_update(update), Ok(true));
    assert_eq!(value(&peer, "a"), Some(&b"newer"[..]));
    assert_eq!(value(&peer, "b"), None);
}

/// Fails if an earlier change or listing restores a removed item.
#[test]
fn a_removal_ahead_of_the_revision_stays() {
    let mut mirror = Mirror::default();
    mirror.replace(10, items(&[("a", 5, "one")]));
    mirror.apply(10, vec![change("a", 12, None)]);
    assert!(!mirror.apply(11, vec![change("a", 11, Some("two"))]));
    assert!(mirror.replace(12, items(&[("a", 11, "two")])));
    assert_eq!(value(&mirror, "a"), None);
}

/// Fails if a late update is rejected because of an item that the peer knows at a newer revision.
#[test]
fn a_late_delta_of_an_item_that_is_newer_is_skipped() {
    let mut peer = Mirror::default();
    let large = |revision| {
        (
            "config".to_owned(),
            item(revision, config(200, revision as usize)),
        )
    };
    peer.replace(1, [large(1)].into());
    let mut mirror = Mirror::default();
    mirror.replace(1, [large(1)].into());
    mirror.replace(9, [large(8)].into());
    let update = mirror.update_for(&peer.pull_request()).unwrap();
    assert!(is_delta(&update));
    peer.replace(5, [large(10)].into());
    assert_eq!(peer.apply_update(update), Ok(true));
    assert_eq!(peer.get("config").unwrap().revision, 10);
    assert_eq!(peer.revision(), 9);
}

/// Fails if copies of ranges that are not adjacent are merged.
#[test]
fn a_range_is_copied_more_than_once() {
    let mut mirror = Mirror::default();
    mirror.apply(1, vec![put("a", 1, vec![b'a'; 8_192])]);
    let mut peer = Mirror::default();
    peer.apply(1, vec![put("a", 1, vec![b'a'; 8_192])]);
    mirror.apply(2, vec![put("a", 2, vec![b'a'; 20_480])]);
    let update = mirror.update_for(&peer.pull_request()).unwrap();
    assert!(is_delta(&update));
    assert_eq!(peer.apply_update(update), Ok(true));
    assert_eq!(contents(&peer), contents(&mirror));
}

#[test]
fn a_key_that_was_written_again_is_no_removal() {
    let mut mirror = Mirror::default();
    mirror.apply(1, vec![change("a", 1, Some("one"))]);
    mirror.apply(3, vec![change("a", 2, None), change("a", 3, Some("two"))]);
    let update = mirror.update_for(&pull_after(1)).unwrap();
    let value = Value::Whole(b"two".to_vec());
    let (key, revision) = ("a".to_owned(), 3);
    assert_eq!(
        update.changes,
        [wire::Change {
            key,
            revision,
            value
        }]
    );
}
