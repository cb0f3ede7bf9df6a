//! Announcements that arrive out of order or after the end of their target.

use fulmarreel_membership::{Announcement, announcement::CurrentTarget};
use std::time::Duration;

fn announcement(id: &str, started_at_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        started_at_ms,
        sequence,
        endpoint: "127.0.0.1:80".parse().expect("address"),
        service: "reservas".to_owned(),
        version: "v1".to_owned(),
        zone: "a".to_owned(),
        slots: 6,
        leaving: false,
        warm_up_remaining: Duration::ZERO,
    }
}

/// Fails if a delayed announcement replaces a later one.
#[test]
fn a_late_announcement_changes_nothing() {
    let mut current_target = CurrentTarget::default();
    assert!(current_target.apply(announcement("a", 10, 4)));
    let leaving = Announcement {
        leaving: true,
        ..announcement("a", 10, 5)
    };
    assert!(current_target.apply(leaving.clone()));
    assert!(!current_target.apply(announcement("a", 10, 4)));
    assert!(!current_target.apply(announcement("a", 10, 5)));
    assert_eq!(current_target.get(), Some(&leaving));
}

/// Fails if an announcement of an earlier start is accepted for the current target.
#[test]
fn an_earlier_target_does_not_become_current_again() {
    let mut current_target = CurrentTarget::default();
    assert!(current_target.apply(announcement("a", 10, 9)));
    assert!(current_target.apply(announcement("b", 20, 1)));
    assert!(!current_target.apply(announcement("a", 10, 10)));
    assert_eq!(
        current_target.get().map(|target| target.id.as_str()),
        Some("b")
    );
}

/// Fails if a delayed announcement reverts the end of its sender, or if a new start under the same
/// id is rejected.
#[test]
fn an_ended_target_is_back_only_by_a_new_start() {
    let mut current_target = CurrentTarget::default();
    assert!(current_target.apply(announcement("a", 10, 3)));
    assert!(current_target.end("a", 20));
    assert!(!current_target.apply(announcement("a", 10, 4)));
    assert_eq!(current_target.get(), None);
    assert!(current_target.apply(announcement("a", 30, 1)));
}

#[test]
fn the_end_of_another_target_changes_nothing() {
    let mut current_target = CurrentTarget::default();
    assert!(current_target.apply(announcement("a", 10, 3)));
    assert!(!current_target.end("b", 20));
    assert!(current_target.get().is_some());
}

/// Fails if an announcement that was under way when its target ended makes that target current at a
/// node that had just started and did not know it: the node would send requests to a target that
/// has drained (rule DRAIN of the bench).
#[test]
fn a_target_that_ended_before_it_was_known_does_not_become_current() {
    let mut current_target = CurrentTarget::default();
    assert!(!current_target.end("a", 20));
    assert!(!current_target.apply(announcement("a", 10, 4)));
    assert_eq!(current_target.get(), None);
    assert!(current_target.apply(announcement("a", 30, 1)));
}

/// Fails if the end of a target that a node took up from the store, without its start, is not that of
/// the run that announced itself: a late announcement would make it current again (review case 5).
#[test]
fn the_end_of_a_target_without_a_start_covers_its_run() {
    let mut current_target = CurrentTarget::default();
    assert!(current_target.apply(announcement("a", 0, 0)));
    assert!(current_target.end("a", 20));
    assert!(!current_target.apply(announcement("a", 10, 4)));
    assert!(current_target.apply(announcement("a", 30, 1)));
}
