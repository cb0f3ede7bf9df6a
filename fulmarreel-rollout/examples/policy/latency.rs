//! Latencies as mixtures of lognormal distributions, drawn per bucket.

use crate::random::binomial;
use fastrand::Rng;
use fulmarreel_rollout::evidence::{BUCKETS, bucket_floor_us};

/// A mixture of lognormal distributions with a common `sigma`.
#[derive(Debug, Clone)]
pub struct Mixture {
    sigma: f64,
    /// Weight and median, in microseconds, of each component.
    components: Vec<(f64, f64)>,
    /// Probability of each bucket.
    buckets: [f64; BUCKETS],
    /// Cumulative probability up to and including each bucket.
    cumulative: [f64; BUCKETS],
}

/// Largest number of calls that are drawn one by one.
const MAX_DRAWN_SINGLY: u64 = 12;

/// Probability below which a bucket stays empty.
const MIN_PROBABILITY: f64 = 1e-9;

impl Mixture {
    /// One lognormal distribution.
    pub fn new(median_ms: f64, sigma: f64) -> Self {
        Self::from_components(sigma, vec![(1.0, median_ms * 1_000.0)])
    }

    /// The mixture with a fraction of the calls slower by a factor.
    pub fn slowed(&self, fraction: f64, factor: f64) -> Self {
        if fraction <= 0.0 || factor <= 1.0 {
            return self.clone();
        }
        let fast = self
            .components
            .iter()
            .map(|&(weight, median)| (weight * (1.0 - fraction), median));
        let slow = self
            .components
            .iter()
            .map(|&(weight, median)| (weight * fraction, median * factor));
        Self::from_components(self.sigma, fast.chain(slow).collect())
    }

    /// Puts every call into the fastest bucket, for drivers that ignore latency.
    pub fn fastest() -> Self {
        let mut buckets = [0.0; BUCKETS];
        buckets[0] = 1.0;
        Self {
            sigma: 1.0,
            components: Vec::new(),
            buckets,
            cumulative: [1.0; BUCKETS],
        }
    }

    /// Draws the latencies of `calls` calls, as counts per bucket.
    pub fn draw(&self, rng: &mut Rng, calls: u64) -> [u64; BUCKETS] {
        let mut counts = [0; BUCKETS];
        if calls <= MAX_DRAWN_SINGLY {
            for _ in 0..calls {
                let point = rng.f64();
                let bucket = self
                    .cumulative
                    .partition_point(|&cumulative| cumulative <= point);
                counts[bucket.min(BUCKETS - 1)] += 1;
            }
            return counts;
        }
        let (mut left, mut mass) = (calls, 1.0);
        for (count, &probability) in counts.iter_mut().zip(&self.buckets) {
            if left == 0 {
                break;
            }
            if probability > MIN_PROBABILITY {
                *count = binomial(rng, left, (probability / mass).min(1.0));
            }
            left -= *count;
            mass = (mass - probability).max(f64::MIN_POSITIVE);
        }
        counts[BUCKETS - 1] += left;
        counts
    }

    fn from_components(sigma: f64, components: Vec<(f64, f64)>) -> Self {
        let mut buckets = [0.0; BUCKETS];
        let below = |bucket: usize| -> f64 {
            if bucket == 0 {
                return 0.0;
            }
            if bucket == BUCKETS {
                return 1.0;
            }
            let edge = bucket_floor_us(bucket) as f64;
            let components = components.iter();
            components
                .map(|(weight, median)| weight * normal_below((edge / median).ln() / sigma))
                .sum()
        };
        for (index, probability) in buckets.iter_mut().enumerate() {
            *probability = (below(index + 1) - below(index)).max(0.0);
        }
        let mut sum = 0.0;
        let cumulative = buckets.map(|probability| {
            sum += probability;
            sum
        });
        Self {
            sigma,
            components,
            buckets,
            cumulative,
        }
    }
}

/// Distribution function of the standard normal distribution (Abramowitz and Stegun 26.2.17).
fn normal_below(z: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.231_641_9 * z.abs());
    let series = t
        * (0.319_381_530
            + t * (-0.356_563_782
                + t * (1.781_477_937 + t * (-1.821_255_978 + t * 1.330_274_429))));
    let tail = (-z * z / 2.0).exp() / std::f64::consts::TAU.sqrt() * series;
    if z > 0.0 { 1.0 - tail } else { tail }
}
