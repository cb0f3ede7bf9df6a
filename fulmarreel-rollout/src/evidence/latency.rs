//! The coarse logarithmic scale of latencies.

/// Number of buckets.
pub const BUCKETS: usize = 32;

/// Upper end of the first bucket in microseconds.
pub const FIRST_BUCKET_US: u64 = 250;

/// The bucket of a latency in microseconds.
pub fn bucket(latency_us: u64) -> usize {
    (1..BUCKETS)
        .rev()
        .find(|&index| latency_us >= bucket_floor_us(index))
        .unwrap_or(0)
}

/// The least latency of a bucket in microseconds.
pub fn bucket_floor_us(index: usize) -> u64 {
    if index == 0 {
        return 0;
    }
    let octaves = (index - 1) / 2;
    let floor = FIRST_BUCKET_US << octaves;
    if (index - 1).is_multiple_of(2) {
        floor
    } else {
        floor * 1_414_214 / 1_000_000
    }
}
