//! Random counts.

use fastrand::Rng;

/// Mean from which on counts are drawn from a normal distribution.
const MIN_NORMAL_MEAN: f64 = 40.0;

/// Draws from a binomial distribution of `n` trials with probability `p`.
pub fn binomial(rng: &mut Rng, n: u64, p: f64) -> u64 {
    if n == 0 || p <= 0.0 {
        return 0;
    }
    if p >= 1.0 {
        return n;
    }
    if p > 0.5 {
        return n - binomial(rng, n, 1.0 - p);
    }
    if n as f64 * p >= MIN_NORMAL_MEAN {
        return normal_count(rng, n as f64 * p, (n as f64 * p * (1.0 - p)).sqrt()).min(n);
    }
    let mut hits = 0;
    let mut position = geometric(rng, p);
    while position < n {
        hits += 1;
        position += 1 + geometric(rng, p);
    }
    hits
}

/// Draws from a Poisson distribution.
pub fn poisson(rng: &mut Rng, mean: f64) -> u64 {
    if mean >= MIN_NORMAL_MEAN {
        return normal_count(rng, mean, mean.sqrt());
    }
    let limit = (-mean).exp();
    let mut count = 0;
    let mut product = rng.f64();
    while product > limit {
        count += 1;
        product *= rng.f64();
    }
    count
}

/// Draws the number of failures before the first success.
fn geometric(rng: &mut Rng, p: f64) -> u64 {
    ((1.0 - rng.f64()).ln() / (-p).ln_1p()) as u64
}

fn normal_count(rng: &mut Rng, mean: f64, deviation: f64) -> u64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    (mean + deviation * normal).round().max(0.0) as u64
}
