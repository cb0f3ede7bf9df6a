//! The logarithmic scale of latency buckets, two buckets per factor of two.

/// Number of buckets.
pub const BUCKETS: usize = 32;

/// Upper bound of the first bucket, in microseconds.
pub const FIRST_BUCKET_US: u64 = 100;

/// The square root of two, in parts per million.
const HALF_OCTAVE_PPM: u64 = 1_414_214;

/// Lowest latency of each bucket, in microseconds.
const FLOORS_US: [u64; BUCKETS] = floors_us();

/// Index of the bucket of a latency in microseconds.
pub fn bucket(latency_us: u64) -> usize {
    FLOORS_US.partition_point(|&floor| floor <= latency_us) - 1
}

/// Lowest latency of a bucket, in microseconds.
pub fn bucket_floor_us(index: usize) -> u64 {
    FLOORS_US[index]
}

const fn floors_us() -> [u64; BUCKETS] {
    let mut floors = [0; BUCKETS];
    let mut index = 1;
    while index < BUCKETS {
        let octave = FIRST_BUCKET_US << ((index - 1) / 2);
        floors[index] = if (index - 1).is_multiple_of(2) {
            octave
        } else {
            octave * HALF_OCTAVE_PPM / 1_000_000
        };
        index += 1;
    }
    floors
}
