//! How a simulated version answers calls.

use std::time::Duration;

/// The condition under which a version's fault shows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum When {
    /// Never: it is good.
    Never,
    /// From the start.
    AtOnce,
    /// From this long after the start.
    From(Duration),
    /// While the version gets more than this share of the calls, in permille.
    Above(u16),
    /// On one route.
    OneRoute,
}

/// What the fault does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// This many calls in a thousand fail.
    Fails(u32),
    /// This many calls in a thousand take longer by this factor.
    Slow(u32, f64),
}

/// A simulated version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Version {
    /// When its fault shows.
    pub when: When,
    /// What its fault does.
    pub fault: Fault,
    /// How long its targets are cold.
    pub cold: Duration,
}

/// The answer to a call.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// How long it took.
    pub took: Duration,
    /// Whether the call failed.
    pub failed: bool,
    /// Whether it took far longer than usual.
    pub slow: bool,
}

/// Calls in a thousand that even a sound version fails.
const FAILED_NOISE_PERMILLE: u32 = 4;

/// Calls in a thousand that even a sound version answers slowly.
const SLOW_NOISE_PERMILLE: u32 = 8;

/// Factor on the usual latency of those slow calls.
const SLOW_NOISE_FACTOR: f64 = 6.0;

/// How long targets are cold after they start.
pub const COLD: Duration = Duration::from_millis(4_000);

/// Factor on the latency of calls to cold targets.
const COLD_LATENCY_FACTOR: f64 = 2.0;

/// Factor on the usual latency above which an answer counts as slow.
const SLOW_FACTOR: f64 = 4.0;

/// The same for a cold target.
const COLD_SLOW_FACTOR: f64 = 8.0;

/// Factor on the usual latency above which an open call counts as overdue.
pub const OVERDUE_FACTOR: f64 = 3.0;

/// The same for a cold target.
pub const COLD_OVERDUE_FACTOR: f64 = 4.0;

/// Draws the answer of a sound version without cold targets.
pub fn sound_answer(usual_latency: Duration, rng: &mut fastrand::Rng) -> Answer {
    let draw = rng.u32(0..1_000);
    let is_slow =
        (FAILED_NOISE_PERMILLE..FAILED_NOISE_PERMILLE + SLOW_NOISE_PERMILLE).contains(&draw);
    let spread = 0.7 + 0.6 * rng.f64();
    let factor = if is_slow { SLOW_NOISE_FACTOR } else { spread };
    let took = usual_latency.mul_f64(factor);
    Answer {
        took,
        failed: draw < FAILED_NOISE_PERMILLE,
        slow: took > usual_latency.mul_f64(SLOW_FACTOR),
    }
}

/// The only route that a fault of one route affects.
pub const BAD_ROUTE: u64 = 2;

impl Version {
    /// Draws the answer to a call sent `age` after the start, while the version gets
    /// `share_permille` of all calls.
    pub fn answer(
        &self,
        (route, usual_latency): (u64, Duration),
        age: Duration,
        share_permille: u16,
        rng: &mut fastrand::Rng,
    ) -> Answer {
        let is_faulty = match self.when {
            When::Never => false,
            When::AtOnce => true,
            When::From(start) => age >= start,
            When::Above(limit_permille) => share_permille > limit_permille,
            When::OneRoute => route == BAD_ROUTE,
        };
        let draw = rng.u32(0..1_000);
        let mut answer = sound_answer(usual_latency, rng);
        let is_cold = age < self.cold;
        if is_cold {
            answer.took = answer.took.mul_f64(COLD_LATENCY_FACTOR);
        }
        match self.fault {
            Fault::Fails(permille) if is_faulty && draw < permille => answer.failed = true,
            Fault::Slow(permille, factor) if is_faulty && draw < permille => {
                answer.took = answer.took.mul_f64(factor);
            }
            Fault::Fails(_) | Fault::Slow(..) => {}
        }
        let factor = if is_cold {
            COLD_SLOW_FACTOR
        } else {
            SLOW_FACTOR
        };
        answer.slow = answer.took > usual_latency.mul_f64(factor);
        answer
    }
}
