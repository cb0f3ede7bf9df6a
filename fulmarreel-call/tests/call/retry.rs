use fulmarreel_call::retry::{Call, End, MAX_ATTEMPTS, Next, decide};
use rstest::rstest;

/// Seen to fail with `decide` retrying on any end, which is the naive baseline.
#[rstest]
#[case::booking_lost(false, false, 1, End::Unknown, Next::Stop)]
#[case::booking_unsent(false, false, 1, End::Unsent, Next::Retry)]
#[case::booking_refused(false, false, 1, End::Overloaded, Next::RetryOnBudget)]
#[case::lookup_lost(true, false, 1, End::Unknown, Next::RetryOnBudget)]
#[case::lookup_lost_below_a_retry(true, true, 1, End::Unknown, Next::Stop)]
#[case::lookup_refused_below_a_retry(true, true, 1, End::Overloaded, Next::Stop)]
#[case::too_many_attempts(true, false, MAX_ATTEMPTS, End::Unsent, Next::Stop)]
fn a_call_is_sent_again_only_where_that_does_no_harm(
    #[case] idempotent: bool,
    #[case] retried_above: bool,
    #[case] attempts: u8,
    #[case] end: End,
    #[case] expected: Next,
) {
    let call = Call {
        idempotent,
        retried_above,
        attempts,
    };
    assert_eq!(decide(call, end), expected);
}
