//! What all answers together may hold.

use fulmarreel_http::{Quota, quota::Error};

/// Bytes of each exchange that are not counted.
const FREE: usize = 65_536;

#[test]
fn one_exchange_has_half_at_most() {
    let quota = Quota::new(1_000_000);
    let mut one = quota.reserve();
    assert_eq!(one.extend(500_000), Ok(()));
    assert_eq!(one.extend(1), Err(Error::Exchange { limit: 500_000 }));
    assert_eq!(one.check(500_000), Ok(()));
    assert_eq!(one.check(500_001), Err(Error::Exchange { limit: 500_000 }));
}

/// Fails if long answers keep short ones out, or room that was given back is lost.
#[test]
fn short_answers_have_room_beside_long_ones() {
    let quota = Quota::new(1_000_000);
    let mut long = [quota.reserve(), quota.reserve(), quota.reserve()];
    assert_eq!(long[0].extend(500_000), Ok(()));
    assert_eq!(long[1].extend(500_000), Ok(()));
    let total = Err(Error::Total { limit: 1_000_000 });
    assert_eq!(long[2].extend(400_000), total);
    let mut short = quota.reserve();
    assert_eq!(short.extend(FREE), Ok(()));
    assert_eq!(long[2].extend(2 * FREE), Ok(()));
    drop(long);
    let mut later = [quota.reserve(), quota.reserve()];
    assert_eq!(later[0].extend(500_000), Ok(()));
    assert_eq!(later[1].extend(500_000), Ok(()));
}

/// Fails if an exchange that was refused room holds it all the same.
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
