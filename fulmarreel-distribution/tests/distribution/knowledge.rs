//! How recent a node's copy of the store is.

use fulmarreel_distribution::CopyFreshness;
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Observes every 100 ms from one time to another, as a running process does.
fn observe(copy_freshness: &mut CopyFreshness, from: Instant, to: Instant) {
    let mut now = from;
    while now < to {
        copy_freshness.observe(now);
        now += ms(100);
    }
}

fn start_time() -> Instant {
    Instant::now() + Duration::from_secs(100)
}

#[test]
fn a_node_that_was_never_in_contact_is_not_current() {
    let now = start_time();
    let mut copy_freshness = CopyFreshness::default();
    assert_eq!(copy_freshness.age(now), None);
    assert!(!copy_freshness.is_current(9, now));
    copy_freshness.record_peer_revision(9, now);
    assert!(!copy_freshness.is_current(9, now));
}

#[test]
fn own_contact_and_a_readers_confirmation_expire() {
    let now = start_time();
    let mut copy_freshness = CopyFreshness::default();
    let time = copy_freshness.earliest_time_of(ms(1_500), now).unwrap();
    copy_freshness.confirm_as_of(time);
    assert!(copy_freshness.is_current(1, now + ms(300)));
    assert!(!copy_freshness.is_current(1, now + ms(301)));
    copy_freshness.confirm_now(now);
    assert!(copy_freshness.is_current(1, now + ms(1_800)));
    assert!(!copy_freshness.is_current(1, now + ms(1_801)));
    copy_freshness.confirm_as_of(time);
    assert_eq!(copy_freshness.age(now), Some(ms(0)));
}

#[test]
fn a_higher_revision_counts_until_it_is_known_or_expires() {
    let now = start_time();
    let mut copy_freshness = CopyFreshness::default();
    copy_freshness.confirm_now(now);
    copy_freshness.record_peer_revision(8, now);
    copy_freshness.record_peer_revision(5, now);
    assert!(!copy_freshness.is_current(7, now));
    assert!(copy_freshness.is_current(8, now));
    let later = now + ms(4_000);
    assert_eq!(copy_freshness.highest_peer_revision(later - ms(1)), 8);
    assert_eq!(copy_freshness.highest_peer_revision(later), 0);
}

/// Fails if a message that arrived during a pause of the process is dated by when it is read.
#[test]
fn a_message_that_arrived_during_a_pause_is_as_old_as_the_pause() {
    let now = start_time();
    let mut copy_freshness = CopyFreshness::default();
    observe(&mut copy_freshness, now, now + ms(1_000));
    let resumed = now + ms(10_000);
    let time = copy_freshness.earliest_time_of(ms(0), resumed).unwrap();
    assert_eq!(time, now + ms(900));
    copy_freshness.confirm_now(resumed + ms(100));
    assert!(!copy_freshness.is_current(1, resumed + ms(100)));
    observe(&mut copy_freshness, resumed, resumed + ms(700));
    copy_freshness.confirm_now(resumed + ms(700));
    assert!(copy_freshness.is_current(1, resumed + ms(700)));
}
