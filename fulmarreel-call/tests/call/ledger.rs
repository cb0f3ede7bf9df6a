use fulmarreel_call::{
    CallStatus, Ledger,
    ledger::{Cancellation, Error, MAX_KEPT_BYTES, RETENTION},
};
use rstest::rstest;
use std::time::{Duration, Instant};

const CALL: u64 = 7;

/// What happens to [`CALL`] before it is queried.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open,
    HandOver,
    Answer,
    Lose,
    Refuse,
    Cancel,
    Withdraw,
    Query,
    /// The retention time of ended calls passes.
    Expire,
    /// The response of another call takes all the memory for responses.
    Evict,
}

fn ledger_after(steps: &[Step]) -> Ledger<&'static str> {
    let mut ledger = Ledger::default();
    let mut now = Instant::now();
    ledger.connect(1, false);
    for step in steps {
        match step {
            Step::Open => ledger.open(1, CALL).expect("a new call"),
            Step::HandOver => _ = ledger.hand_over(CALL),
            Step::Answer => ledger.store_response(CALL, "whole", 5, now),
            Step::Lose => ledger.mark_lost(CALL, now),
            Step::Refuse => _ = ledger.refuse(CALL, now),
            Step::Cancel => _ = ledger.cancel(CALL, now),
            Step::Withdraw => _ = ledger.mark_not_run(CALL, now),
            Step::Query => _ = ledger.query(CALL, now),
            Step::Expire => {
                now += RETENTION;
                ledger.expire(now);
            }
            Step::Evict => {
                ledger.open(1, CALL + 1).expect("a new call");
                ledger.hand_over(CALL + 1);
                ledger.store_response(CALL + 1, "large", MAX_KEPT_BYTES, now);
            }
        }
    }
    ledger
}

/// Fails if `query` answers `NotRun` for every call without an entry.
#[rstest]
#[case::never_arrived(&[], CallStatus::NotRun)]
#[case::queued(&[Step::Open], CallStatus::Running)]
#[case::running(&[Step::Open, Step::HandOver], CallStatus::Running)]
#[case::answered(&[Step::Open, Step::HandOver, Step::Answer], CallStatus::Answered(&"whole"))]
#[case::lost(&[Step::Open, Step::HandOver, Step::Lose], CallStatus::Unknown)]
#[case::refused(&[Step::Open, Step::Refuse], CallStatus::NotRun)]
#[case::cancelled(&[Step::Open, Step::Cancel], CallStatus::NotRun)]
#[case::cancelled_too_late(&[Step::Open, Step::HandOver, Step::Cancel], CallStatus::Running)]
#[case::refused_too_late(&[Step::Open, Step::HandOver, Step::Refuse], CallStatus::Running)]
#[case::never_reached_the_target(&[Step::Open, Step::HandOver, Step::Withdraw], CallStatus::NotRun)]
#[case::expired(&[Step::Open, Step::HandOver, Step::Answer, Step::Expire], CallStatus::Unknown)]
#[case::evicted(&[Step::Open, Step::HandOver, Step::Answer, Step::Evict], CallStatus::Unknown)]
fn a_query_never_says_not_run_of_a_call_that_may_have_run(
    #[case] steps: &[Step],
    #[case] expected: CallStatus<'_, &'static str>,
) {
    assert_eq!(ledger_after(steps).query(CALL, Instant::now()), expected);
}

/// Fails if `open` ignores the generation.
#[test]
fn a_copy_that_arrives_after_the_query_is_not_run() {
    let mut ledger = Ledger::<()>::default();
    ledger.connect(1, false);
    ledger.connect(2, true);
    assert_eq!(ledger.query(CALL, Instant::now()), CallStatus::NotRun);
    let late = ledger.open(1, CALL);
    let stale = Error::StaleGeneration {
        received: 1,
        newest: 2,
    };
    assert_eq!(late, Err(stale));
    assert!(!ledger.hand_over(CALL));
}

/// Fails if `connect` ignores `resumed`.
#[test]
fn an_origin_whose_ledger_was_dropped_is_never_told_not_run() {
    let mut ledger = Ledger::<()>::default();
    ledger.connect(2, true);
    assert_eq!(ledger.query(CALL, Instant::now()), CallStatus::Unknown);
    assert_eq!(ledger.cancel(CALL, Instant::now()), Cancellation::TooLate);
}

/// Fails if `refuse`, `cancel` or `query` leaves no entry for the call that is not run.
#[rstest]
#[case::refused(&[Step::Open, Step::Refuse])]
#[case::cancelled(&[Step::Open, Step::Cancel])]
#[case::cancelled_before_it_arrived(&[Step::Cancel])]
#[case::queried_before_it_arrived(&[Step::Query])]
fn a_copy_of_a_call_that_was_not_run_is_not_run_either(#[case] steps: &[Step]) {
    let mut ledger = ledger_after(steps);
    let copy = ledger.open(1, CALL);
    assert_eq!(copy, Err(Error::Duplicate { sequence: CALL }));
    assert!(!ledger.hand_over(CALL));
}

/// Fails if `open` replaces the entry of a known call.
#[test]
fn a_repeated_open_is_not_run_again() {
    let mut ledger = ledger_after(&[Step::Open, Step::HandOver, Step::Answer]);
    assert_eq!(
        ledger.open(1, CALL),
        Err(Error::Duplicate { sequence: CALL })
    );
    assert_eq!(
        ledger.query(CALL, Instant::now()),
        CallStatus::Answered(&"whole")
    );
}

/// Fails if `cancel` answers `NotRun` whatever the call's state.
#[rstest]
#[case::queued(&[Step::Open], Cancellation::NotRun)]
#[case::running(&[Step::Open, Step::HandOver], Cancellation::TooLate)]
#[case::answered(&[Step::Open, Step::HandOver, Step::Answer], Cancellation::TooLate)]
#[case::expired(&[Step::Open, Step::HandOver, Step::Answer, Step::Expire], Cancellation::TooLate)]
fn a_cancellation_says_not_run_only_while_queued(
    #[case] steps: &[Step],
    #[case] expected: Cancellation,
) {
    let mut ledger = ledger_after(steps);
    assert_eq!(ledger.cancel(CALL, Instant::now()), expected);
    let handed_over = ledger.hand_over(CALL);
    assert!(!handed_over, "a cancelled call was handed over");
}

/// Fails if `expire` or `evict_responses` does nothing.
#[test]
fn memory_stays_bounded() {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    for sequence in 1..=10_000 {
        let now = start + Duration::from_millis(sequence);
        ledger.expire(now);
        ledger.open(0, sequence).expect("a new call");
        ledger.hand_over(sequence);
        ledger.store_response(sequence, vec![0; 1_024], 1_024, now);
    }
    assert!(ledger.len() <= RETENTION.as_millis() as usize + 1);
    let kept =
        (1..=10_000).filter(|call| matches!(ledger.query(*call, start), CallStatus::Answered(_)));
    assert_eq!(kept.count(), MAX_KEPT_BYTES / 1_024);
}

/// A call that is abandoned at the moment of its response keeps the response and its byte count.
#[test]
fn a_kept_response_is_not_lost() {
    let mut ledger = ledger_after(&[Step::Open, Step::HandOver, Step::Answer, Step::Lose]);
    let status = ledger.query(CALL, Instant::now());
    assert!(matches!(status, CallStatus::Answered(_)), "{status:?}");
}
