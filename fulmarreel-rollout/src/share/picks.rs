//! The version of one call, the same on every node.

use super::{PARTS, Share};
use fulmarreel_document::Service;

/// Whether a call belongs to the new version's share of its service.
///
/// The answer depends on the arguments alone, so every node gives the same one, and a call that
/// belongs to a share belongs to each larger share. The service's name is mixed in so that the
/// calls of one chain are not all moved together.
pub fn picks(service: &Service, share: Share, call: u64) -> bool {
    let mixed = mix(call ^ name_hash(service.as_str()));
    let point = (u128::from(mixed) * u128::from(PARTS)) >> u64::BITS;
    point < u128::from(share.parts())
}

/// FNV-1a of a name.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
