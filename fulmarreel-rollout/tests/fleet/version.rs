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
    /// So many calls in a thousand take some time.
    Slow(u32, Duration),
}

/// A version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Version {
    /// When it answers wrongly.
    pub when: When,
    /// How.
    pub fault: Fault,
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

/// The usual time of a call.
const USUAL: Duration = Duration::from_millis(30);

/// Calls in a thousand that any version fails.
const NOISE: u32 = 4;

/// Calls in a thousand that any version answers late.
const SLOW_NOISE: u32 = 8;

/// The answer of a sound version.
pub fn sound(random: &mut fastrand::Rng) -> Answer {
    let dice = random.u32(0..1_000);
    Answer {
        took: USUAL,
        failed: dice < NOISE,
        slow: (NOISE..NOISE + SLOW_NOISE).contains(&dice),
    }
}

/// The route on which a version is bad that is bad on one.
pub const BAD_ROUTE: u64 = 2;

impl Version {
    /// Answers a call after `age`, while the version gets `share` of all calls, in a thousand.
    pub fn answer(
        &self,
        route: u64,
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
        let sound = sound(random);
        match self.fault {
            Fault::Fails(part) if is_wrong && dice < part => Answer {
                failed: true,
                ..sound
            },
            Fault::Slow(part, took) if is_wrong && dice < part => Answer {
                took,
                slow: true,
                ..sound
            },
            Fault::Fails(_) | Fault::Slow(..) => sound,
        }
    }
}
