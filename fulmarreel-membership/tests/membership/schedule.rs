//! Seeded random schedules of starts, kills, pauses and announcements over a lossy network.

use super::driver::{Driver, Faults, address};
use fastrand::Rng;
use rstest::rstest;
use std::time::Duration;

const NODES: usize = 9;

/// Fails if incarnations are ordered by the sequence alone, and if losses never leave the window of
/// `LossLimiter`.
#[rstest]
fn views_agree_after_any_schedule(#[values(11, 12, 13, 14, 15, 16, 17, 18)] seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut driver = Driver::new(seed, &[5, 4]);
    driver.faults = Faults {
        loss_percent: 15,
        duplicate_percent: 15,
        max_delay: Duration::from_millis(120),
    };
    for _ in 0..40 {
        let index = rng.usize(2..NODES);
        let running = driver.groups.contains_key(&address(index));
        match rng.u32(..4) {
            0 if running => driver.kill(index),
            1 if running => driver.announce(index, rng.bool()),
            2 if running => driver.pause(index),
            _ if !running => driver.start(index, usize::from(index >= 5)),
            _ => driver.resume(index),
        }
        driver.run(Duration::from_millis(rng.u64(100..3_000)));
        driver.exchange_all();
    }
    driver.faults = Faults::default();
    (0..NODES).for_each(|index| driver.resume(index));
    for _ in 0..60 {
        driver.run(Duration::from_secs(1));
        driver.exchange_all();
    }
    assert!(
        driver.views_agree(),
        "views differ a minute after the last fault"
    );
}
