//! Which nodes watch the store, and the delays between their attempts.

use fastrand::Rng;
use fulmarreel_distribution::{
    backoff::Backoff,
    duty::{Scope, WatchSituation, may_stop_zone_watch, wanted_scope},
    watcher_contact::WatcherContact,
};
use rstest::rstest;
use std::time::{Duration, Instant};

const LAST_RANK: usize = usize::MAX;

/// Fails with `WATCHERS_PER_REGION` of one, without the check of `region_rank`, with
/// `ZONE_WATCH_AFTER` or `FIRST_PEER_TIMEOUT` of zero.
#[rstest]
#[case::region_has_none(0, 0, LAST_RANK, Some(0), Some(Scope::Region))]
#[case::region_has_one(1, 2, LAST_RANK, Some(0), Some(Scope::Region))]
#[case::not_its_turn(0, LAST_RANK, LAST_RANK, Some(0), None)]
#[case::region_has_two(2, 0, 0, Some(0), None)]
#[case::contact_is_old(2, 0, 0, Some(9_000), Some(Scope::Zone))]
#[case::contact_is_old_but_not_its_turn(2, 0, LAST_RANK, Some(9_000), None)]
#[case::never_heard_of_a_contact(2, 0, 0, None, Some(Scope::Zone))]
fn few_nodes_try_to_watch(
    #[case] region_watchers: usize,
    #[case] region_rank: usize,
    #[case] zone_rank: usize,
    #[case] contact_ms: Option<u64>,
    #[case] expected: Option<Scope>,
) {
    let situation = WatchSituation {
        region_watchers,
        region_rank,
        zone_rank,
        contact_age: contact_ms.map(Duration::from_millis),
        uptime: Duration::from_secs(60),
        has_compared: true,
    };
    assert_eq!(wanted_scope(&situation), expected);
    let just_started = WatchSituation {
        uptime: Duration::from_secs(1),
        has_compared: false,
        ..situation
    };
    assert_eq!(wanted_scope(&just_started), None);
    assert_eq!(may_stop_zone_watch(&situation), contact_ms == Some(0));
}

/// Fails if `Backoff::next` takes the larger limit instead of the smaller, and without the
/// doubling.
#[test]
fn delays_grow_up_to_a_limit_with_jitter() {
    let (initial_limit, max_limit) = (Duration::from_millis(100), Duration::from_secs(2));
    let mut rng = Rng::with_seed(5);
    let mut sums = [Duration::ZERO; 40];
    for _ in 0..200 {
        let mut backoff = Backoff::new(initial_limit, max_limit);
        for sum in &mut sums {
            let delay = backoff.next(&mut rng);
            assert!(delay <= max_limit);
            *sum += delay;
        }
    }
    let mean = |index: usize| sums[index] / 200;
    assert!(mean(0) < initial_limit, "{:?}", mean(0));
    assert!(mean(39) > Duration::from_millis(800), "{:?}", mean(39));
    assert!(mean(39) < Duration::from_millis(1_200), "{:?}", mean(39));
}

/// Fails if `WatcherContact::record_remote_contact` keeps the contact reported last instead of the
/// latest one.
#[test]
fn the_latest_contact_counts() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut watcher_contact = WatcherContact::default();
    assert_eq!(watcher_contact.age(now), None);
    watcher_contact.record_remote_contact(Duration::from_secs(2), now);
    watcher_contact.record_remote_contact(Duration::from_secs(9), now);
    assert_eq!(watcher_contact.age(now), Some(Duration::from_secs(2)));
    watcher_contact.record_own_contact(now);
    assert_eq!(watcher_contact.age(now), Some(Duration::ZERO));
}
