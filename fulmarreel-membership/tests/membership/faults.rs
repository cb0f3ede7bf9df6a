//! Nodes that die, pause, are cut off or leave.

use super::driver::{Driver, address};
use fulmarreel_membership::Status;
use rstest::rstest;
use std::time::Duration;

/// A driver whose groups all have the same view.
fn converged(seed: u64, zones: &[usize]) -> Driver {
    let mut driver = Driver::new(seed, zones);
    let timeout = Duration::from_secs(30);
    for _ in 0..30 {
        driver.run(Duration::from_secs(1));
        driver.exchange_all();
    }
    assert!(driver.run_until(timeout, Driver::views_agree).is_some());
    driver
}

/// Fails with a `SUSPICION_TIMEOUT` of 4 s.
#[rstest]
fn a_dead_node_is_gone_in_its_zone_in_seconds(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut driver = converged(seed, &[12]);
    driver.kill(7);
    let everywhere = driver.run_until(Duration::from_secs(10), |driver| {
        let others = (0..12).filter(|index| *index != 7);
        others
            .into_iter()
            .all(|index| driver.status(7, index) == Some(Status::Gone))
    });
    assert!(
        everywhere.unwrap() <= Duration::from_millis(3_500),
        "{everywhere:?}"
    );
}

/// Fails without the call of `Prober::start_probe` in `Group::doubt`: only the periodic probe would
/// ping it.
#[rstest]
fn an_unreachable_node_is_gone_two_seconds_after_a_failed_call(#[values(1, 2, 3)] seed: u64) {
    let mut driver = converged(seed, &[12]);
    driver.kill(7);
    let now = driver.now;
    driver
        .groups
        .get_mut(&address(3))
        .unwrap()
        .suspect_unreachable(address(7), now);
    assert_eq!(driver.status(7, 3), Some(Status::Suspect));
    let gone = driver.run_until(Duration::from_secs(10), |driver| {
        driver.status(7, 3) == Some(Status::Gone)
    });
    assert!(gone.unwrap() <= Duration::from_secs(2), "{gone:?}");
}

/// Fails if `LossLimiter::admit` always returns true.
#[rstest]
fn a_node_that_is_cut_off_keeps_most_of_its_zone(#[values(1, 2, 3)] seed: u64) {
    let mut driver = converged(seed, &[10]);
    let others: Vec<usize> = (1..10).collect();
    driver.cut(&[0], &others);
    driver.run(Duration::from_secs(20));
    let kept = driver.groups[&address(0)].zone_peers().len();
    assert!(kept >= 4, "{kept} of 9 kept");
    driver.heal();
    let healed_after = driver.run_until(Duration::from_secs(6), |driver| {
        let others = others.iter();
        others
            .into_iter()
            .all(|index| driver.status(*index, 0) == Some(Status::Alive))
            && (1..10).all(|index| driver.status(0, index) == Some(Status::Alive))
    });
    assert!(healed_after.is_some());
}

/// Fails without `PAUSE_THRESHOLD` in `Group::tick`: a suspicion from before the pause would time
/// out during it.
#[rstest]
fn a_node_paused_for_long_is_back_in_seconds(#[values(1, 2, 3)] seed: u64) {
    let mut driver = converged(seed, &[8]);
    driver.announce(5, false);
    driver.run(Duration::from_secs(2));
    let now = driver.now;
    driver
        .groups
        .get_mut(&address(5))
        .unwrap()
        .suspect_unreachable(address(6), now);
    driver.pause(5);
    driver.run(Duration::from_secs(90));
    assert_eq!(driver.status(5, 0), Some(Status::Gone));
    driver.resume(5);
    let mut lost = driver.status(6, 5) == Some(Status::Gone);
    for _ in 0..100 {
        driver.run(Duration::from_millis(50));
        lost |= (0..8).any(|index| driver.status(index, 5) == Some(Status::Gone));
    }
    assert!(driver.views_agree(), "views differ 5 s after the pause");
    assert!(!lost, "the paused node dropped a member that answers");
}

/// Fails without the datagrams of `Group::broadcast_own_claim`.
#[rstest]
fn a_leaving_target_is_known_at_once(#[values(1, 2, 3)] seed: u64) {
    let mut driver = converged(seed, &[16, 8, 8]);
    driver.announce(9, false);
    driver.run(Duration::from_secs(3));
    driver.announce(9, true);
    let leaving = |driver: &Driver, index: usize| {
        let claims = driver.groups[&address(index)].claims(&[address(9)]);
        claims[0].record.target.as_ref().unwrap().leaving
    };
    driver.run(Duration::from_millis(50));
    assert!(
        (0..16).all(|index| leaving(&driver, index)),
        "not at once in its zone"
    );
    let everywhere = driver.run_until(Duration::from_secs(5), |driver| {
        (0..32).all(|index| leaving(driver, index))
    });
    assert!(
        everywhere.unwrap() <= Duration::from_secs(1),
        "{everywhere:?}"
    );
}

/// Fails without `Group::pick_gone_member`: neither side would ping the other again.
#[rstest]
fn halves_of_a_zone_meet_after_a_cut(#[values(1, 2, 3)] seed: u64) {
    let mut driver = converged(seed, &[12]);
    // The seeds are gone too, so that neither side finds the other through them.
    driver.kill(0);
    driver.kill(1);
    driver.run(Duration::from_secs(40));
    driver.cut(&[2, 3, 4, 5, 6], &[7, 8, 9, 10, 11]);
    driver.run(Duration::from_secs(60));
    assert_eq!(driver.status(7, 2), Some(Status::Gone));
    driver.heal();
    let healed_after = driver.run_until(Duration::from_secs(6), Driver::views_agree);
    assert!(healed_after.is_some(), "views differ 6 s after the cut");
}

/// Fails without the check of the zone in `Group::expire_suspicions`: nodes would declare members
/// of other zones gone.
#[test]
fn a_zone_cut_off_keeps_every_record_of_the_others() {
    let mut driver = converged(7, &[4, 4]);
    driver.cut(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    let now = driver.now;
    driver
        .groups
        .get_mut(&address(0))
        .unwrap()
        .suspect_unreachable(address(5), now);
    driver.run(Duration::from_secs(30));
    for other in 4..8 {
        let status = driver.status(other, 0);
        assert!(
            matches!(status, Some(Status::Alive | Status::Suspect)),
            "{status:?}"
        );
    }
    driver.heal();
    assert!(
        driver
            .run_until(Duration::from_secs(6), Driver::views_agree)
            .is_some()
    );
}

/// Fails if pings to other zones wait for no answer, and without `Group::claims_to_refute`: most of
/// the zone would stay suspect long after the cut.
#[rstest]
fn a_zone_that_does_not_answer_is_suspect_until_it_does(#[values(1, 2, 3)] seed: u64) {
    let mut driver = converged(seed, &[4, 30, 4]);
    let zone: Vec<usize> = (4..34).collect();
    let others: Vec<usize> = (0..4).chain(34..38).collect();
    driver.cut(&zone, &others);
    driver.run(Duration::from_secs(90));
    let count_with = |driver: &Driver, status| {
        let zone = zone.iter();
        let with_status = zone.filter(|node| driver.status(**node, 0) == Some(status));
        with_status.count()
    };
    assert_eq!(count_with(&driver, Status::Suspect), zone.len());
    driver.heal();
    for _ in 0..8 {
        driver.run(Duration::from_secs(1));
        driver.exchange_all();
    }
    assert_eq!(count_with(&driver, Status::Alive), zone.len());
    assert!(driver.views_agree(), "views differ 8 s after the cut");
}

/// Fails if pings to other zones wait for no answer.
#[test]
fn the_only_node_of_a_zone_is_suspect_once_it_is_dead() {
    let mut driver = converged(9, &[4, 1]);
    driver.kill(4);
    let suspect = driver.run_until(Duration::from_secs(10), |driver| {
        (0..4).all(|index| driver.status(4, index) == Some(Status::Suspect))
    });
    assert!(suspect.is_some());
}
