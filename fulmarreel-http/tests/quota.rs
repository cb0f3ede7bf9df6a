//! The limits of one exchange and of all exchanges together.

use fulmarreel_http::{Quota, quota::Error};

/// Bytes of each exchange that do not count towards the quota.
const UNCOUNTED_BYTES: usize = 65_536;

#[test]
fn one_exchange_takes_at_most_half_the_quota() {
    let quota = Quota::new(1_000_000);
    let mut one = quota.reserve();
    assert_eq!(one.extend(500_000), Ok(()));
    assert_eq!(one.extend(1), Err(Error::Exchange { limit: 500_000 }));
    assert_eq!(one.check(500_000), Ok(()));
    assert_eq!(one.check(500_001), Err(Error::Exchange { limit: 500_000 }));
}

/// Fails if long responses block short ones, or released bytes stay counted.
#[test]
fn long_responses_do_not_block_short_ones() {
    let quota = Quota::new(1_000_000);
    let mut long = [quota.reserve(), quota.reserve(), quota.reserve()];
    assert_eq!(long[0].extend(500_000), Ok(()));
    assert_eq!(long[1].extend(500_000), Ok(()));
    let total = Err(Error::Total { limit: 1_000_000 });
    assert_eq!(long[2].extend(400_000), total);
    let mut short = quota.reserve();
    assert_eq!(short.extend(UNCOUNTED_BYTES), Ok(()));
    assert_eq!(long[2].extend(2 * UNCOUNTED_BYTES), Ok(()));
    drop(long);
    let mut later = [quota.reserve(), quota.reserve()];
    assert_eq!(later[0].extend(500_000), Ok(()));
    assert_eq!(later[1].extend(500_000), Ok(()));
}

/// Fails if bytes that were refused to an exchange are counted all the same.
#[test]
fn refused_bytes_are_not_counted() {
    let quota = Quota::new(1_000_000);
    let mut one = quota.reserve();
    assert!(one.extend(600_000).is_err());
    assert_eq!(one.extend(500_000), Ok(()));
    drop(one);
    let mut two = quota.reserve();
    assert_eq!(two.extend(500_000), Ok(()));
}
