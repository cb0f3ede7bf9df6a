//! How a version answers.

use std::time::Duration;

/// When a version answers wrongly.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum When {
    /// Never: it is good.
    Never,
    /// From its start.
    AtOnce,
    /// From some time after its start.
    From(Duration),
    /// While it gets more than so many calls in a thousand.
    Above(u16),
    /// On one route.
    OneRoute,
}

/// How it answers then.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// So many calls in a thousand fail.
    Fails(u32),
    /// So many calls in a thousand take so many times as long.
    Slow(u32, f64),
}

/// A version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Version {
    /// When it answers wrongly.
    pub when: When,
    /// How.
    pub fault: Fault,
    /// How long its targets are cold.
    pub cold: Duration,
}

/// An answer.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// How long it took.
    pub took: Duration,
    /// Whether it is a failure.
    pub failed: bool,
    /// Whether it took far longer than usual.
    pub slow: bool,
}

/// Calls in a thousand that any version fails.
const NOISE: u32 = 4;

/// Calls in a thousand that any version answers late.
const SLOW_NOISE: u32 = 8;

/// How many times as long the calls take that any version answers late.
const SLOW_NOISE_TIMES: f64 = 6.0;

/// How long targets that just started are cold.
pub const COLD: Duration = Duration::from_millis(4_000);

/// How many times as long cold targets take.
const COLD_TIMES: f64 = 2.0;

/// How many times as long as usual an answer takes that counts as slow.
const SLOW_TIMES: f64 = 4.0;

/// The same at a cold target.
const COLD_SLOW_TIMES: f64 = 8.0;

/// How many times as long as usual a call is open that counts as overdue.
pub const OVERDUE_TIMES: f64 = 3.0;

/// The same at a cold target.
pub const COLD_OVERDUE_TIMES: f64 = 4.0;

/// The answer of a sound and warm version whose calls usually take that long.
pub fn sound(usual: Duration, random: &mut fastrand::Rng) -> Answer {
    let dice = random.u32(0..1_000);
    let late = (NOISE..NOISE + SLOW_NOISE).contains(&dice);
    let spread = 0.7 + 0.6 * random.f64();
    let times = if late { SLOW_NOISE_TIMES } else { spread };
    let took = usual.mul_f64(times);
    Answer {
        took,
        failed: dice < NOISE,
        slow: took > usual.mul_f64(SLOW_TIMES),
    }
}

/// The route on which a version is bad that is bad on one.
pub const BAD_ROUTE: u64 = 2;

impl Version {
    /// Answers a call after `age`, while the version gets `share` of all calls, in a thousand.
    pub fn answer(
        &self,
        (route, usual): (u64, Duration),
        age: Duration,
        share: u16,
        random: &mut fastrand::Rng,
    ) -> Answer {
        let is_wrong = match self.when {
            When::Never => false,
            When::AtOnce => true,
            When::From(gap) => age >= gap,
            When::Above(limit) => share > limit,
            When::OneRoute => route == BAD_ROUTE,
        };
        let dice = random.u32(0..1_000);
        let mut answer = sound(usual, random);
        let is_cold = age < self.cold;
        if is_cold {
            answer.took = answer.took.mul_f64(COLD_TIMES);
        }
        match self.fault {
            Fault::Fails(part) if is_wrong && dice < part => answer.failed = true,
            Fault::Slow(part, times) if is_wrong && dice < part => {
                answer.took = answer.took.mul_f64(times);
            }
            Fault::Fails(_) | Fault::Slow(..) => {}
        }
        let times = if is_cold { COLD_SLOW_TIMES } else { SLOW_TIMES };
        answer.slow = answer.took > usual.mul_f64(times);
        answer
    }
}
