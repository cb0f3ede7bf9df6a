//! What stays in force in a new era of the store, without a store.

use fulmarreel_node::mesh::era::{entry_delay, rollouts::Rollout, zones::HeldZones};
use fulmarreel_platform::order::State;
use rstest::rstest;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// A revision of an era.
fn revision(era: u64, number: u64) -> u64 {
    era << 40 | number
}

fn rollout(order: u64, version: &str, state: Option<State>) -> Rollout {
    Rollout::new(order, version.to_owned(), Duration::from_secs(8), state)
}

/// Fails if an order for the same version in a new era is another order, or has lost its outcome.
#[rstest]
#[case::completed(State::Completed)]
#[case::rolled_back(State::RolledBack)]
fn an_outcome_stays_in_a_new_era(#[case] state: State) {
    let ended = rollout(revision(1, 20), "v2", Some(state));
    for (copied, recorded) in [(20, None), (20, Some(State::Running)), (17, None)] {
        let copied = rollout(revision(2, copied), "v2", recorded).after(Some(&ended));
        assert_eq!((copied.state, copied.is_recorded), (Some(state), false));
        assert!(copied.is_continued() && copied.includes(ended.order));
    }
}

/// Fails if an order that the copy has, and the operator writes again, starts a rollout anew, or a second
/// order in the same era does not.
#[test]
fn a_copied_order_may_be_written_again_once() {
    let ended = rollout(revision(1, 20), "v2", Some(State::RolledBack));
    let copied = rollout(revision(2, 20), "v2", None).after(Some(&ended));
    let recorded = rollout(revision(2, 20), "v2", Some(State::RolledBack)).after(Some(&copied));
    assert!(recorded.is_recorded);
    let repeated = rollout(revision(2, 25), "v2", None).after(Some(&recorded));
    assert_eq!(repeated.state, Some(State::RolledBack));
    let recorded = rollout(revision(2, 25), "v2", Some(State::RolledBack)).after(Some(&repeated));
    let new = rollout(revision(2, 30), "v2", None).after(Some(&recorded));
    assert_eq!(new.state, None);
    assert!(!new.includes(recorded.order));
}

/// Fails if an order that was replaced comes back with the copy, or one for another version is not
/// followed.
#[test]
fn a_replaced_order_of_the_copy_is_held_back() {
    let first = rollout(revision(1, 10), "v2", Some(State::Completed));
    let second = rollout(revision(1, 20), "v3", Some(State::Completed)).after(Some(&first));
    let copied = rollout(revision(2, 10), "v2", Some(State::Completed)).after(Some(&second));
    assert_eq!((copied.version.as_str(), copied.is_ordered), ("v3", false));
    let repeated = rollout(revision(2, 15), "v3", None).after(Some(&copied));
    assert_eq!(repeated.state, Some(State::Completed));
    assert!(repeated.is_ordered);
    let other = rollout(revision(2, 16), "v2", None).after(Some(&copied));
    assert_eq!((other.version.as_str(), other.state), ("v2", None));
}

/// Fails if a deployment without eras treats orders in another way than before: each write of an order is
/// a new one, and a state that is gone is gone.
#[test]
fn without_eras_each_order_is_new() {
    let ended = rollout(20, "v2", Some(State::Completed));
    let again = rollout(25, "v2", None).after(Some(&ended));
    assert_eq!((again.state, again.is_continued()), (None, false));
    let unrecorded = rollout(20, "v2", None).after(Some(&ended));
    assert_eq!(unrecorded.state, None);
}

/// Fails if an evacuation that the store lacks is dropped at once, or kept for good.
#[test]
fn an_evacuation_is_held_for_a_while() {
    let start = Instant::now();
    let zones: BTreeSet<String> = ["a", "b"].map(str::to_owned).into();
    let ordered: BTreeSet<String> = ["a".to_owned()].into();
    let mut held = HeldZones::default();
    held.hold(&zones, start);
    held.release(&ordered, start + Duration::from_secs(5));
    assert_eq!(held.zones().collect::<Vec<_>>(), ["b"]);
    let end = held.next_release().expect("a time");
    held.release(&BTreeSet::new(), end);
    assert_eq!(held.zones().count(), 0);
}

/// Fails if many nodes write their entries at once, or too late.
#[rstest]
#[case::pair(2, Duration::from_millis(10))]
#[case::typical(70, Duration::from_millis(350))]
#[case::largest(1_400, Duration::from_millis(800))]
fn entries_are_spread(#[case] nodes: usize, #[case] longest: Duration) {
    assert_eq!(entry_delay(nodes, 1.0), longest);
    assert_eq!(entry_delay(nodes, 0.0), Duration::ZERO);
}
