//! The order in which large bodies start to cross a narrow link.

use fulmarreel_balance::transfers::Transfers;

const BODY_BYTES: u64 = 60_000;
const LIMIT_BYTES: u64 = 125_000;

/// Fails if more bodies are under way than the limit allows, or if they overtake each other.
#[test]
fn few_bodies_are_under_way_in_the_order_of_their_arrival() {
    let mut transfers = Transfers::new(LIMIT_BYTES);
    let started: Vec<bool> = (0..5).map(|id| transfers.add(id, BODY_BYTES)).collect();
    assert_eq!(started, [true, true, false, false, false]);
    assert_eq!(transfers.remove(1), [2]);
    // One that waits and is given up frees no room.
    assert!(transfers.remove(3).is_empty());
    assert_eq!(transfers.remove(0), [4]);
}

/// Fails if a body that is longer than the limit never starts, or starts beside others.
#[test]
fn a_body_beyond_the_limit_goes_alone() {
    let mut transfers = Transfers::new(LIMIT_BYTES);
    assert!(transfers.add(0, BODY_BYTES));
    assert!(!transfers.add(1, 10 * LIMIT_BYTES));
    assert_eq!(transfers.remove(0), [1]);
    assert!(!transfers.add(2, 1));
    assert_eq!(transfers.remove(1), [2]);
}

/// Fails if room is freed twice for one body, so that more and more would be under way.
#[test]
fn a_body_is_removed_once() {
    let mut transfers = Transfers::new(LIMIT_BYTES);
    transfers.add(0, BODY_BYTES);
    transfers.add(1, BODY_BYTES);
    transfers.add(2, BODY_BYTES);
    transfers.add(3, BODY_BYTES);
    assert_eq!(transfers.remove(0), [2]);
    assert!(transfers.remove(0).is_empty());
}
