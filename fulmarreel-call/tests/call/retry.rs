use fulmarreel_call::retry::{Call, Decision, FailedAttempt, MAX_ATTEMPTS, decide};
use rstest::rstest;

/// Fails if `decide` retries whatever the end of the attempt is.
#[rstest]
#[case::booking_lost(false, false, 1, FailedAttempt::Unknown, Decision::Stop)]
#[case::booking_unsent(false, false, 1, FailedAttempt::Unsent, Decision::Retry)]
#[case::booking_refused(false, false, 1, FailedAttempt::Overloaded, Decision::RetryOnBudget)]
#[case::lookup_lost(true, false, 1, FailedAttempt::Unknown, Decision::RetryOnBudget)]
#[case::lookup_lost_in_a_retry_from_above(true, true, 1, FailedAttempt::Unknown, Decision::Stop)]
#[case::lookup_refused_in_a_retry_from_above(
    true,
    true,
    1,
    FailedAttempt::Overloaded,
    Decision::Stop
)]
#[case::too_many_attempts(true, false, MAX_ATTEMPTS, FailedAttempt::Unsent, Decision::Stop)]
fn a_call_is_retried_only_if_that_is_safe(
    #[case] idempotent: bool,
    #[case] is_upstream_retry: bool,
    #[case] attempts: u8,
    #[case] end: FailedAttempt,
    #[case] expected: Decision,
) {
    let call = Call {
        idempotent,
        is_upstream_retry,
        attempts,
    };
    assert_eq!(decide(call, end), expected);
}
