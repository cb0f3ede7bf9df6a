//! Latencies as mixtures of lognormal distributions, drawn by bucket.

use crate::random::binomial;
use fastrand::Rng;
use fulmarreel_rollout::evidence::{BUCKETS, bucket_floor_us};

/// Probability of each bucket.
#[derive(Debug, Clone)]
pub struct Mixture {
    sigma: f64,
    /// Weight and median in microseconds of each part.
    parts: Vec<(f64, f64)>,
    buckets: [f64; BUCKETS],
    /// Probability of each bucket and those before it.
    up_to: [f64; BUCKETS],
}

/// Calls that are drawn one by one.
const MAX_SINGLE: u64 = 12;

/// Probability of a bucket below which it stays empty.
const LEAST: f64 = 1e-9;

impl Mixture {
    /// One lognormal distribution.
    pub fn new(median_ms: f64, sigma: f64) -> Self {
        Self::of(sigma, vec![(1.0, median_ms * 1_000.0)])
    }

    /// The mixture with a part of the calls slowed by a factor.
    pub fn slowed(&self, part: f64, factor: f64) -> Self {
        if part <= 0.0 || factor <= 1.0 {
            return self.clone();
        }
        let fast = self
            .parts
            .iter()
            .map(|&(weight, median)| (weight * (1.0 - part), median));
        let slow = self
            .parts
            .iter()
            .map(|&(weight, median)| (weight * part, median * factor));
        Self::of(self.sigma, fast.chain(slow).collect())
    }

    /// The fastest bucket for every call, for drivers that do not look at latency.
    pub fn none() -> Self {
        let mut buckets = [0.0; BUCKETS];
        buckets[0] = 1.0;
        Self {
            sigma: 1.0,
            parts: Vec::new(),
            buckets,
            up_to: [1.0; BUCKETS],
        }
    }

    /// Counts per bucket of so many calls.
    pub fn draw(&self, rng: &mut Rng, calls: u64) -> [u64; BUCKETS] {
        let mut counts = [0; BUCKETS];
        if calls <= MAX_SINGLE {
            for _ in 0..calls {
                let point = rng.f64();
                let bucket = self.up_to.partition_point(|&up_to| up_to <= point);
                counts[bucket.min(BUCKETS - 1)] += 1;
            }
            return counts;
        }
        let (mut left, mut mass) = (calls, 1.0);
        for (count, &probability) in counts.iter_mut().zip(&self.buckets) {
            if left == 0 {
                break;
            }
            if probability > LEAST {
                *count = binomial(rng, left, (probability / mass).min(1.0));
            }
            left -= *count;
            mass = (mass - probability).max(f64::MIN_POSITIVE);
        }
        counts[BUCKETS - 1] += left;
        counts
    }

    fn of(sigma: f64, parts: Vec<(f64, f64)>) -> Self {
        let mut buckets = [0.0; BUCKETS];
        let below = |bucket: usize| -> f64 {
            if bucket == 0 {
                return 0.0;
            }
            if bucket == BUCKETS {
                return 1.0;
            }
            let edge = bucket_floor_us(bucket) as f64;
            let parts = parts.iter();
            parts
                .map(|(weight, median)| weight * normal_below((edge / median).ln() / sigma))
                .sum()
        };
        for (index, probability) in buckets.iter_mut().enumerate() {
            *probability = (below(index + 1) - below(index)).max(0.0);
        }
        let mut sum = 0.0;
        let up_to = buckets.map(|probability| {
            sum += probability;
            sum
        });
        Self {
            sigma,
            parts,
            buckets,
            up_to,
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
