//! Entries at their highest revision, and comparisons between two logs.

use fulmarreel_distribution::{Entry, Verdict, Verdicts, VersionedEntries};
use rstest::rstest;

pub fn entry(key: &str, revision: u64, value: Option<&str>) -> Entry {
    Entry {
        key: key.to_owned(),
        revision,
        value: value.map(|value| value.as_bytes().into()),
    }
}

/// One comparison, in the steps that the nodes take over TCP; `one` applies its entries first.
pub fn compare(one: &mut VersionedEntries, other: &mut VersionedEntries) {
    let buckets = other.differing(&one.buckets());
    let summary = other.summary(&buckets).into_iter();
    let summary = summary
        .map(|(key, revision)| (key.to_owned(), revision))
        .collect();
    let difference = one.compare(&buckets, &summary);
    for key in &difference.request {
        one.offer(&other.get(key).unwrap().clone());
    }
    for entry in &difference.send {
        other.offer(entry);
    }
}

/// Fails if `VersionedEntries::offer` compares revisions with `>` instead of `>=`, or not at all.
#[rstest]
#[case::older(3, Some("old"), false)]
#[case::repeated(5, Some("other"), false)]
#[case::older_deletion(4, None, false)]
#[case::newer(6, Some("new"), true)]
#[case::newer_deletion(6, None, true)]
fn the_highest_revision_stays(
    #[case] revision: u64,
    #[case] value: Option<&str>,
    #[case] accepted: bool,
) {
    let mut entries = VersionedEntries::default();
    assert!(entries.offer(&entry("a", 5, Some("known"))));
    assert_eq!(entries.offer(&entry("a", revision, value)), accepted);
    let expected = if accepted {
        entry("a", revision, value)
    } else {
        entry("a", 5, Some("known"))
    };
    assert_eq!(entries.get("a"), Some(&expected));
}

/// Fails without `entry.revision <= revision` in `VersionedEntries::deletions`: an old listing would
/// delete keys that were written after it.
#[rstest]
#[case::listing_is_newer(9, &["p/b"])]
#[case::listing_is_older(4, &[])]
fn a_listing_reveals_deletions(#[case] revision: u64, #[case] deleted: &[&str]) {
    let mut entries = VersionedEntries::default();
    entries.offer(&entry("p/a", 2, Some("1")));
    entries.offer(&entry("p/b", 5, Some("2")));
    entries.offer(&entry("p/c", 3, None));
    entries.offer(&entry("q/a", 1, Some("3")));
    let listed = [entry("p/a", 2, Some("1"))];
    let deletions = entries.deletions("p/", revision, &listed);
    let keys: Vec<&str> = deletions.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, deleted);
    assert!(
        deletions
            .iter()
            .all(|entry| entry.revision == revision && entry.value.is_none())
    );
}

/// Fails if `VersionedEntries::offer` does not subtract the hash of the earlier revision.
#[test]
fn the_hash_depends_on_the_entries_and_not_on_their_order() {
    let (mut one, mut other) = (VersionedEntries::default(), VersionedEntries::default());
    for revision in [1, 2, 3] {
        one.offer(&entry("a", revision, Some("x")));
    }
    one.offer(&entry("b", 4, None));
    other.offer(&entry("b", 4, None));
    other.offer(&entry("a", 3, Some("x")));
    assert_eq!(one.hash(), other.hash());
    other.offer(&entry("a", 5, Some("x")));
    assert_ne!(one.hash(), other.hash());
}

/// Fails if `VersionedEntries::compare` leaves out the entries that only one side knows.
#[test]
fn one_comparison_brings_both_sides_to_the_same_entries() {
    let (mut one, mut other) = (VersionedEntries::default(), VersionedEntries::default());
    for number in 0..100u64 {
        let key = format!("k{number}");
        one.offer(&entry(&key, 1, Some("1")));
        if number % 7 != 0 {
            let revision = 1 + number % 3;
            other.offer(&entry(&key, revision, Some(&revision.to_string())));
        }
    }
    other.offer(&entry("only-other", 9, None));
    compare(&mut one, &mut other);
    assert_eq!(one.hash(), other.hash());
    assert!(one.entries().eq(other.entries()));
}

/// Fails if `Verdicts::hash` ignores the revision.
#[test]
fn verdicts_are_a_set_whatever_their_order() {
    let verdict = |revision| Verdict {
        service: "reservas".to_owned(),
        revision,
        version: "v2".to_owned(),
    };
    let (mut one, mut other) = (Verdicts::default(), Verdicts::default());
    for revision in [4, 7, 4] {
        one.offer(&verdict(revision));
    }
    other.offer(&verdict(7));
    assert_ne!(one.hash(), other.hash());
    assert!(other.offer(&verdict(4)));
    assert!(!other.offer(&verdict(4)));
    assert_eq!(one.hash(), other.hash());
    assert!(!one.contains(&verdict(5)));
    one.offer(&verdict(5));
    other.offer(&verdict(6));
    assert_ne!(one.hash(), other.hash());
}
