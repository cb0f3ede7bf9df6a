//! Announcements that arrive out of order or after the end of their target.

use fulmarreel_membership::{
    Announcement,
    announcement::{CurrentTarget, Departure, History, Run, Verdict},
};
use rstest::rstest;
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

fn leaving(id: &str, started_at_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        leaving: true,
        ..announcement(id, started_at_ms, sequence)
    }
}

fn run(id: &str, started_at_ms: u64) -> Run {
    Run {
        id: id.to_owned(),
        started_at_ms,
    }
}

/// The state of the node's first process, before which no target was there.
fn first_process() -> CurrentTarget {
    let mut current_target = CurrentTarget::default();
    current_target.restore(History::default());
    current_target
}

/// The state of a process that follows another, with what that one has recorded.
fn next_process(earlier: &CurrentTarget) -> CurrentTarget {
    let mut current_target = CurrentTarget::default();
    current_target.restore(History {
        target: earlier.get().map(Announcement::run),
        departures: earlier.recorded_departures().cloned().collect(),
    });
    current_target
}

/// Fails if a delayed announcement replaces a later one.
#[test]
fn a_late_announcement_changes_nothing() {
    let mut current_target = first_process();
    assert_eq!(
        current_target.apply(announcement("a", 10, 4)),
        Verdict::Applied
    );
    let leaving = leaving("a", 10, 5);
    assert_eq!(current_target.apply(leaving.clone()), Verdict::Applied);
    assert_eq!(
        current_target.apply(announcement("a", 10, 4)),
        Verdict::Outdated
    );
    assert_eq!(
        current_target.apply(announcement("a", 10, 5)),
        Verdict::Outdated
    );
    assert_eq!(current_target.get(), Some(&leaving));
}

/// Fails if an announcement of an earlier start is accepted for the current target.
#[test]
fn an_earlier_target_does_not_become_current_again() {
    let mut current_target = first_process();
    assert_eq!(
        current_target.apply(announcement("a", 10, 9)),
        Verdict::Applied
    );
    assert_eq!(
        current_target.apply(announcement("b", 20, 1)),
        Verdict::Applied
    );
    assert_eq!(
        current_target.apply(announcement("a", 10, 10)),
        Verdict::Outdated
    );
    assert_eq!(
        current_target.get().map(|target| target.id.as_str()),
        Some("b")
    );
}

/// Fails if a delayed announcement reverts the end of its sender, or if a new start under the same
/// id is rejected.
#[test]
fn an_ended_target_is_back_only_by_a_new_start() {
    let mut current_target = first_process();
    assert_eq!(
        current_target.apply(announcement("a", 10, 3)),
        Verdict::Applied
    );
    assert!(current_target.end("a", 20));
    assert_eq!(
        current_target.apply(announcement("a", 10, 4)),
        Verdict::Outdated
    );
    assert_eq!(current_target.get(), None);
    assert_eq!(
        current_target.apply(announcement("a", 30, 1)),
        Verdict::Applied
    );
}

#[test]
fn the_end_of_another_target_changes_nothing() {
    let mut current_target = first_process();
    assert_eq!(
        current_target.apply(announcement("a", 10, 3)),
        Verdict::Applied
    );
    assert!(!current_target.end("b", 20));
    assert!(current_target.get().is_some());
}

/// Fails if an announcement that was under way when its target ended makes that target current at a
/// node that had just started and did not know it: the node would send requests to a target that
/// has drained (rule DRAIN of the bench).
#[test]
fn a_target_that_ended_before_it_was_known_does_not_become_current() {
    let mut current_target = first_process();
    assert!(!current_target.end("a", 20));
    assert_eq!(
        current_target.apply(announcement("a", 10, 4)),
        Verdict::Outdated
    );
    assert_eq!(current_target.get(), None);
    assert_eq!(
        current_target.apply(announcement("a", 30, 1)),
        Verdict::Applied
    );
}

/// Fails if a process uses an announcement from before the end of its target, which an earlier process
/// acknowledged: the node would send requests to a target that has drained (review case 2).
#[rstest]
#[case::ended(|target: &mut CurrentTarget| { target.end("a", 20); })]
#[case::draining(|target: &mut CurrentTarget| { target.apply(leaving("a", 10, 5)); })]
#[case::draining_and_ended(|target: &mut CurrentTarget| {
    target.apply(leaving("a", 10, 5));
    target.end("a", 20);
})]
#[case::ended_before_it_was_known(|target: &mut CurrentTarget| {
    target.withdraw();
    target.end("a", 20);
})]
fn what_a_process_acknowledged_binds_the_next_ones(#[case] leave: fn(&mut CurrentTarget)) {
    let mut current_target = first_process();
    current_target.apply(announcement("a", 10, 3));
    leave(&mut current_target);
    for _ in 0..3 {
        current_target = next_process(&current_target);
        assert_eq!(
            current_target.apply(announcement("a", 10, 4)),
            Verdict::Outdated
        );
        assert_eq!(current_target.get(), None);
    }
    assert_eq!(
        current_target.apply(announcement("a", 30, 1)),
        Verdict::Applied
    );
}

/// Fails if the end of a target that a process took up from the store is not that of the run that
/// announced itself: a late announcement would make the target current again (review case 5).
#[rstest]
#[case::start_is_recorded(10)]
#[case::start_is_unknown(0)]
fn the_end_of_a_target_that_was_taken_up_is_final(#[case] recorded_start_ms: u64) {
    let mut current_target = CurrentTarget::default();
    assert!(current_target.confirm(announcement("a", recorded_start_ms, 0)));
    current_target.restore(History {
        target: Some(run("a", recorded_start_ms)),
        departures: Vec::new(),
    });
    assert!(current_target.end("a", 20));
    assert_eq!(
        current_target.apply(announcement("a", 10, 4)),
        Verdict::Outdated
    );
    assert_eq!(current_target.get(), None);
    assert_eq!(
        current_target.apply(announcement("a", 30, 1)),
        Verdict::Applied
    );
}

/// Fails if an announcement counts before its node knows what has left, or if a target that lives is
/// not current as soon as the node knows.
#[rstest]
#[case::lives(Vec::new(), true)]
#[case::has_ended(vec![Departure { run: run("a", 10), sequence: None }], false)]
#[case::said_later_that_it_leaves(vec![Departure { run: run("a", 10), sequence: Some(5) }], false)]
#[case::said_earlier_that_it_leaves(vec![Departure { run: run("a", 10), sequence: Some(3) }], true)]
#[case::an_earlier_run_has_ended(vec![Departure { run: run("a", 9), sequence: None }], true)]
#[case::another_target_has_ended(vec![Departure { run: run("b", 9), sequence: None }], true)]
fn an_announcement_waits_for_what_earlier_processes_recorded(
    #[case] departures: Vec<Departure>,
    #[case] lives: bool,
) {
    let mut current_target = CurrentTarget::default();
    assert_eq!(
        current_target.apply(announcement("a", 10, 4)),
        Verdict::Unconfirmed
    );
    assert_eq!(current_target.get(), None);
    let target = None;
    current_target.restore(History { target, departures });
    assert_eq!(current_target.get().is_some(), lives);
}

/// Fails if a target that confirms that it is there waits for the store, or if one that has left counts
/// once the store is read.
#[test]
fn a_target_that_confirms_its_announcement_is_current() {
    let mut current_target = CurrentTarget::default();
    current_target.apply(announcement("a", 10, 4));
    let waiting = current_target.unconfirmed().cloned().expect("waits");
    assert!(current_target.confirm(waiting));
    assert!(current_target.get().is_some());
    assert_eq!(current_target.unconfirmed(), None);
    assert_eq!(
        current_target.apply(announcement("a", 10, 5)),
        Verdict::Applied
    );
    let departures = vec![Departure {
        run: run("a", 10),
        sequence: None,
    }];
    let target = None;
    current_target.restore(History { target, departures });
    assert_eq!(current_target.get(), None);
}

/// Fails if a target that ended while its announcement waited for a confirmation becomes current.
#[test]
fn the_end_of_a_target_that_waits_is_final() {
    let mut current_target = CurrentTarget::default();
    current_target.apply(announcement("a", 10, 4));
    let waiting = current_target.unconfirmed().cloned().expect("waits");
    current_target.end("a", 20);
    assert_eq!(current_target.unconfirmed(), None);
    assert!(!current_target.confirm(waiting));
    current_target.restore(History::default());
    assert_eq!(
        current_target.apply(announcement("a", 10, 5)),
        Verdict::Outdated
    );
    assert_eq!(
        current_target.apply(announcement("a", 30, 1)),
        Verdict::Applied
    );
}

/// Fails if an announcement from before a target's silence makes it current again without a question,
/// or if the silent target's next one does not.
#[test]
fn a_silent_target_is_back_by_a_later_announcement() {
    let mut current_target = first_process();
    current_target.apply(announcement("a", 10, 9));
    current_target.withdraw();
    assert_eq!(
        current_target.apply(announcement("a", 10, 8)),
        Verdict::Unconfirmed
    );
    assert_eq!(
        current_target.apply(announcement("z", 9, 20)),
        Verdict::Unconfirmed
    );
    assert_eq!(current_target.get(), None);
    assert_eq!(
        current_target.apply(announcement("a", 10, 10)),
        Verdict::Applied
    );
}

/// Fails if an announcement of a run before the last recorded target's counts without a question,
/// whether that target had another id or has started again under its own.
#[rstest]
#[case::another("a")]
#[case::started_again("b")]
fn a_run_before_the_recorded_target_needs_a_confirmation(#[case] id: &str) {
    let mut earlier = first_process();
    earlier.apply(announcement("b", 20, 3));
    let mut current_target = next_process(&earlier);
    assert_eq!(
        current_target.apply(announcement(id, 10, 4)),
        Verdict::Unconfirmed
    );
    assert_eq!(
        current_target.apply(announcement("b", 20, 4)),
        Verdict::Applied
    );
}

/// Fails if what is recorded changes with each announcement of a leaving target or its end, each of
/// which would be a call to the store, or if it grows.
#[test]
fn a_departure_is_recorded_once() {
    let mut current_target = first_process();
    for number in 1..=20 {
        let (id, start) = (format!("i-{number}"), number * 100);
        current_target.apply(announcement(&id, start, 1));
        assert_eq!(current_target.recorded_departures().count(), 0);
        current_target.apply(leaving(&id, start, 2));
        current_target.apply(leaving(&id, start, 3));
        let recorded: Vec<_> = current_target.recorded_departures().cloned().collect();
        assert!(recorded.len() <= 4, "{recorded:?}");
        assert_eq!(
            recorded.last(),
            Some(&Departure {
                run: run(&id, start),
                sequence: Some(2)
            })
        );
        current_target.end(&id, start + 50);
        let runs = recorded.iter().map(|departure| &departure.run);
        assert!(runs.eq(current_target.recorded_departures().map(|left| &left.run)));
    }
}

/// Fails if the end of a target that a node took up from the store, without its start, is not that of
/// the run that announced itself: a late announcement would make it current again (review case 5).
#[test]
fn the_end_of_a_target_without_a_start_covers_its_run() {
    let mut current_target = first_process();
    assert_eq!(
        current_target.apply(announcement("a", 0, 0)),
        Verdict::Applied
    );
    assert!(current_target.end("a", 20));
    assert_eq!(
        current_target.apply(announcement("a", 10, 4)),
        Verdict::Outdated
    );
    assert_eq!(
        current_target.apply(announcement("a", 30, 1)),
        Verdict::Applied
    );
}
