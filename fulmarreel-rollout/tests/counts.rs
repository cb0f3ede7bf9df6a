//! Counts that other nodes report.

use fulmarreel_rollout::brief::Counts;

/// Fails if counts whose sum exceeds the range end the process, or the sum falls.
#[test]
fn counts_of_any_size_can_be_added() {
    let all = u32::MAX;
    let largest = Counts {
        calls: all,
        failed: all,
        slow: all,
        open: all,
        overdue: all,
        lost: all,
    };
    let mut sum = largest;
    sum.add(largest);
    assert_eq!(sum, largest);
}
