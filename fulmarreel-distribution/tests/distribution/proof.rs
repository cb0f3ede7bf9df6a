//! As of when a node's copy of the store is proved complete.

use fulmarreel_distribution::{CopyProof, contact::WATCH_HOLD_TIME, copy_proof::StoreCall};
use rstest::rstest;
use std::time::{Duration, Instant};

/// The longest time that a notice is under way in the schedules.
const MAX_NOTICE_DELAY_MS: u64 = 200;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Fails if a response is dated by its arrival, or as held to the end although it was not.
#[rstest]
#[case::quiet(false, 705, 700)]
#[case::quiet_and_late(false, 9_000, 700)]
#[case::too_early_to_have_been_held(false, 400, 0)]
#[case::changes(true, 300, 0)]
#[case::changes_late(true, 9_000, 0)]
fn a_response_counts_from_when_the_store_can_have_made_it(
    #[case] has_events: bool,
    #[case] read_after_ms: u64,
    #[case] as_of_ms: u64,
) {
    let sent_at = Instant::now();
    let call = StoreCall {
        sent_at,
        hold_time: WATCH_HOLD_TIME,
    };
    let as_of = call.answered_as_of(has_events, sent_at + ms(read_after_ms));
    assert_eq!(as_of, sent_at + ms(as_of_ms));
}

/// Fails if keys are accepted without any proof, beyond 0.6 of the limit (as after a suspension, which
/// the clock counts), or by an older proof that arrives later.
#[test]
fn a_proof_expires() {
    let (start, limit) = (Instant::now(), ms(5_000));
    let mut proof = CopyProof::default();
    assert!(!proof.allows_keys(limit, start));
    proof.record(start);
    assert!(proof.allows_keys(limit, start + ms(3_000)));
    assert!(!proof.allows_keys(limit, start + ms(3_001)));
    proof.record(start - ms(500));
    assert_eq!(proof.complete_as_of(), Some(start));
}

/// A reader of the store and another node that hears of it, in a random schedule of changes, delays,
/// pauses and cuts. Time is in milliseconds since the start.
struct Schedule {
    random: fastrand::Rng,
    start: Instant,
    has_faults: bool,
    reader: CopyProof,
    listener: CopyProof,
    /// Until when the reader's copy really is complete.
    complete_until: u64,
}

impl Schedule {
    fn new(seed: u64, has_faults: bool) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            start: Instant::now(),
            has_faults,
            reader: CopyProof::default(),
            listener: CopyProof::default(),
            complete_until: 0,
        }
    }

    /// A short delay or, where there are faults, sometimes one of seconds.
    fn delay(&mut self) -> u64 {
        if self.has_faults && self.random.u8(..) < 40 {
            self.random.u64(0..8_000)
        } else {
            self.random.u64(0..20)
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + ms(millis)
    }

    /// The reader watches once from `now` on; returns when it has read the response.
    fn watch(&mut self, now: u64, next_change: u64) -> (u64, bool) {
        let hold_end = now + self.delay() + WATCH_HOLD_TIME.as_millis() as u64;
        let has_events = next_change < hold_end;
        let answered = hold_end.min(next_change.max(now));
        let read = answered + self.delay();
        let call = StoreCall {
            sent_at: self.at(now),
            hold_time: WATCH_HOLD_TIME,
        };
        self.complete_until = answered;
        self.reader
            .record(call.answered_as_of(has_events, self.at(read)));
        (read, has_events)
    }

    /// The reader sends a notice at `now`, and the listener reads it, perhaps after a pause.
    fn notify(&mut self, now: u64) {
        let Some(age) = self.reader.age(self.at(now)) else {
            return;
        };
        let arrived = now + self.random.u64(0..MAX_NOTICE_DELAY_MS);
        // The listener checks its queue every 100 ms, unless it is paused from then on.
        let last_check = arrived - self.random.u64(0..100).min(arrived);
        let last_check = last_check.saturating_sub(self.delay());
        self.listener.record_empty_queue(self.at(last_check));
        if let Some(time) = self.listener.earliest_time_of_notice(age) {
            self.listener.record(time);
        }
    }

    /// Runs for a minute; returns the highest age of the listener's proof at the reader's notices.
    fn run(&mut self) -> Duration {
        let (mut now, mut next_change) = (0, 0);
        let mut max_age = Duration::ZERO;
        while now < 60_000 {
            let (read, has_events) = self.watch(now, next_change);
            if has_events {
                next_change = read + self.random.u64(0..2_000);
            }
            now = read;
            self.notify(now);
            for (proof, slack) in [(&self.reader, 0), (&self.listener, MAX_NOTICE_DELAY_MS)] {
                let complete_until = self.at(self.complete_until + slack);
                assert!(proof.complete_as_of() <= Some(complete_until));
            }
            let age = self.listener.age(self.at(now + MAX_NOTICE_DELAY_MS));
            max_age = max_age.max(age.unwrap_or_default());
        }
        max_age
    }
}

/// Fails if delays, pauses or cuts make a proof later than what the copy really holds.
#[test]
fn no_proof_is_later_than_the_copy() {
    for seed in 0..500 {
        Schedule::new(seed, true).run();
    }
}

/// Fails if a proof is so cautious that nodes refuse keys while nothing fails.
#[test]
fn proofs_are_recent_while_nothing_fails() {
    for seed in 0..100 {
        let age = Schedule::new(seed, false).run();
        assert!(age < ms(1_500), "seed {seed}: {age:?}");
    }
}
