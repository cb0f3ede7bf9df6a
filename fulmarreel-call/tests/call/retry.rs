use fulmarreel_call::retry::{Call, End, MAX_ATTEMPTS, Next, decide};
use rstest::rstest;

/// Fails if `decide` retries whatever the end of the attempt is.
#[rstest]
#[case::booking_lost(false, false, 1, End::Unknown, Next::Stop)]
#[case::booking_unsent(false, false, 1, End::Unsent, Next::Retry)]
#[case::booking_refused(false, false, 1, End::Overloaded, Next::RetryOnBudget)]
#[case::lookup_lost(true, false, 1, End::Unknown, Next::RetryOnBudget)]
#[case::lookup_lost_in_a_retry_from_above(true, true, 1, End::Unknown, Next::Stop)]
#[case::lookup_refused_in_a_retry_from_above(true, true, 1, End::Overloaded, Next::Stop)]
#[case::too_many_attempts(true, false, MAX_ATTEMPTS, End::Unsent, Next::Stop)]
fn a_call_is_retried_only_if_that_is_safe(
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
