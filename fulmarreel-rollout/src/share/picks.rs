//! Assignment of calls to a share, the same on every node.

use super::{Share, WHOLE_PPM};
use fulmarreel_document::Service;

/// Whether a call, given by a hash, belongs to the new version's share of its service.
///
/// The answer depends on the arguments alone, so every node gives the same one, and a call that
/// belongs to a share also belongs to every larger share. The service's name is mixed in so that a
/// chain of calls does not go to the new versions of all its services at once.
pub fn includes_call(service: &Service, share: Share, call_hash: u64) -> bool {
    let hash = mix(call_hash ^ name_hash(service.as_str()));
    let point = (u128::from(hash) * u128::from(WHOLE_PPM)) >> u64::BITS;
    point < u128::from(share.ppm())
}

/// FNV-1a hash of a name.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The output function of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
