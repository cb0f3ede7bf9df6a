//! How recent a node's copy of the store is.

use fulmarreel_distribution::Knowledge;
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Observes every 100 ms from one time to another, as a running process does.
fn observe(knowledge: &mut Knowledge, from: Instant, to: Instant) {
    let mut now = from;
    while now < to {
        knowledge.observe(now);
        now += ms(100);
    }
}

fn start_time() -> Instant {
    Instant::now() + Duration::from_secs(100)
}

#[test]
fn a_node_that_was_never_in_contact_is_not_current() {
    let now = start_time();
    let mut knowledge = Knowledge::default();
    assert_eq!(knowledge.age(now), None);
    assert!(!knowledge.is_current(9, now));
    knowledge.hear(9, now);
    assert!(!knowledge.is_current(9, now));
}

#[test]
fn own_contact_and_a_readers_confirmation_expire() {
    let now = start_time();
    let mut knowledge = Knowledge::default();
    let date = knowledge.date(ms(1_500), now).unwrap();
    knowledge.confirm(date);
    assert!(knowledge.is_current(1, now + ms(300)));
    assert!(!knowledge.is_current(1, now + ms(301)));
    knowledge.touch(now);
    assert!(knowledge.is_current(1, now + ms(1_800)));
    assert!(!knowledge.is_current(1, now + ms(1_801)));
    knowledge.confirm(date);
    assert_eq!(knowledge.age(now), Some(ms(0)));
}

#[test]
fn a_higher_revision_counts_until_it_is_known_or_expires() {
    let now = start_time();
    let mut knowledge = Knowledge::default();
    knowledge.touch(now);
    knowledge.hear(8, now);
    knowledge.hear(5, now);
    assert!(!knowledge.is_current(7, now));
    assert!(knowledge.is_current(8, now));
    let later = now + ms(4_000);
    assert_eq!(knowledge.heard(later - ms(1)), 8);
    assert_eq!(knowledge.heard(later), 0);
}

/// Fails if a message that arrived during a pause of the process is dated by when it is read.
#[test]
fn a_message_that_arrived_during_a_pause_is_as_old_as_the_pause() {
    let now = start_time();
    let mut knowledge = Knowledge::default();
    observe(&mut knowledge, now, now + ms(1_000));
    let resumed = now + ms(10_000);
    let date = knowledge.date(ms(0), resumed).unwrap();
    assert_eq!(date, now + ms(900));
    knowledge.touch(resumed + ms(100));
    assert!(!knowledge.is_current(1, resumed + ms(100)));
    observe(&mut knowledge, resumed, resumed + ms(700));
    knowledge.touch(resumed + ms(700));
    assert!(knowledge.is_current(1, resumed + ms(700)));
}
