//! Mirrors of a store that went back to an earlier copy of itself. Its revisions then bear a later era in
//! their upper bits, and their lower bits go back.

use crate::{change, items, value};
use fulmarreel_distribution::Mirror;

/// A revision of an era.
fn revision(era: u64, number: u64) -> u64 {
    era << 40 | number
}

/// A mirror of the first era, which has seen a write and a removal that the store's copy lacks.
fn earlier_mirror() -> Mirror {
    let mut mirror = Mirror::default();
    let listed = [
        ("a", revision(1, 3), "kept"),
        ("b", revision(1, 4), "removed"),
    ];
    mirror.replace(revision(1, 5), items(&listed));
    let changes = vec![
        change("b", revision(1, 6), None),
        change("c", revision(1, 7), Some("lost")),
    ];
    mirror.apply(revision(1, 7), changes);
    mirror
}

/// A mirror that read the store in the second era, and one write after that.
fn later_mirror() -> Mirror {
    let mut mirror = earlier_mirror();
    let listed = [
        ("a", revision(2, 3), "kept"),
        ("b", revision(2, 4), "removed"),
    ];
    assert!(mirror.replace(revision(2, 5), items(&listed)));
    mirror.apply(
        revision(2, 6),
        vec![change("d", revision(2, 6), Some("new"))],
    );
    mirror
}

fn keys(mirror: &Mirror) -> Vec<&str> {
    mirror.items().map(|(key, _)| key).collect()
}

/// Fails if a listing of a later era does not replace all items, because its numbers are lower or an
/// earlier era removed a key.
#[test]
fn a_listing_of_a_later_era_replaces_everything() {
    let mirror = later_mirror();
    assert_eq!(keys(&mirror), ["a", "b", "d"]);
    assert_eq!(mirror.revision(), revision(2, 6));
}

/// Fails if a peer of the earlier era keeps items that the later one lacks, or if what such a peer sends
/// late takes the later era back.
#[test]
fn a_peer_follows_into_a_later_era_and_never_back() {
    let (mut earlier, mut later) = (earlier_mirror(), later_mirror());
    assert_eq!(earlier.update_for(&later.pull_request()), None);
    let late = earlier_mirror().update_for(&Mirror::default().pull_request());
    assert_eq!(later.apply_update(late.expect("an update")), Ok(false));
    let late = vec![change("a", revision(1, 999), Some("late"))];
    assert!(!later.apply(revision(1, 999), late));
    let update = later.update_for(&earlier.pull_request());
    assert_eq!(earlier.apply_update(update.expect("an update")), Ok(true));
    assert_eq!(keys(&earlier), ["a", "b", "d"]);
    assert_eq!(value(&earlier, "a"), Some(&b"kept"[..]));
    assert_eq!(earlier.revision(), later.revision());
}
