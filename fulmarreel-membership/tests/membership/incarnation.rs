//! Late claims of earlier incarnations, and refutations.

use super::driver::{Driver, address};
use fulmarreel_membership::{Claim, Incarnation, Status};
use rstest::rstest;
use std::time::Duration;

/// A claim about node 2 with a start and a sequence relative to those that node 0 knows.
fn claim(driver: &Driver, start_offset: i64, sequence_offset: i64, status: Status) -> Claim {
    let known = driver.groups[&address(0)].table().get(address(2)).unwrap();
    let mut record = known.claim.record.clone();
    let incarnation = record.incarnation;
    record.incarnation = Incarnation {
        started_at_ms: incarnation
            .started_at_ms
            .saturating_add_signed(start_offset),
        sequence: incarnation
            .sequence
            .saturating_add_signed(sequence_offset as i32),
    };
    Claim { record, status }
}

/// Fails if `Table::merge` always replaces the known claim, and if `Claim::rank` ignores the start.
#[rstest]
#[case::earlier_process_alive(-1, 5, Status::Alive)]
#[case::earlier_process_gone(-1, 5, Status::Gone)]
#[case::earlier_record_gone(0, -1, Status::Gone)]
#[case::earlier_record_suspect(0, -1, Status::Suspect)]
fn a_late_claim_changes_nothing(#[case] start: i64, #[case] sequence: i64, #[case] status: Status) {
    let mut driver = Driver::new(3, &[4]);
    driver.announce(2, false);
    driver.run(Duration::from_secs(5));
    let before = driver.groups[&address(0)].claims(&[address(2)]);
    let late = claim(&driver, start, sequence, status);
    driver.deliver(0, late);
    assert_eq!(driver.groups[&address(0)].claims(&[address(2)]), before);
}

/// Fails with a `GONE_RETENTION` of zero, and if `Claim::rank` ignores the status.
#[rstest]
#[case(0, 0)]
#[case(-1, 9)]
fn a_late_claim_does_not_revive(#[case] start: i64, #[case] sequence: i64) {
    let mut driver = Driver::new(4, &[4]);
    driver.announce(2, false);
    driver.run(Duration::from_secs(5));
    driver.kill(2);
    let gone = |driver: &Driver| driver.status(2, 0) == Some(Status::Gone);
    assert!(driver.run_until(Duration::from_secs(5), gone).is_some());
    let late = claim(&driver, start, sequence, Status::Alive);
    driver.deliver(0, late);
    driver.run(Duration::from_secs(2));
    assert!(gone(&driver));
}

/// Fails without the call of `refute` in `Group::accept_own_claim`.
#[rstest]
#[case(Status::Suspect)]
#[case(Status::Gone)]
fn a_live_node_refutes_wrong_claims(#[case] status: Status) {
    let mut driver = Driver::new(5, &[4]);
    driver.run(Duration::from_secs(5));
    let wrong = claim(&driver, 0, 0, status);
    driver.deliver(0, wrong);
    assert_eq!(driver.status(2, 0), Some(status));
    let refuted = driver.run_until(Duration::from_secs(3), |driver| {
        (0..4).all(|index| driver.status(2, index) == Some(Status::Alive)) && driver.views_agree()
    });
    assert!(refuted.is_some());
}

/// Fails without `claimed > own_incarnation` in `Group::accept_own_claim`.
#[test]
fn a_restart_with_the_clock_set_back_is_accepted() {
    let mut driver = Driver::new(6, &[4]);
    driver.run(Duration::from_secs(5));
    let mut later = claim(&driver, 1_000, 0, Status::Alive);
    later.record.target = None;
    for index in [0, 1, 3] {
        driver.deliver(index, later.clone());
    }
    driver.kill(2);
    driver.start(2, 0);
    driver.announce(2, false);
    let known = driver.run_until(Duration::from_secs(5), |driver| {
        let claims = driver.groups[&address(0)].claims(&[address(2)]);
        claims[0].record.target.is_some() && claims[0].status == Status::Alive
    });
    assert!(known.is_some());
}
