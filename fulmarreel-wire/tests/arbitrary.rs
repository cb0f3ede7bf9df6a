//! Bytes that no node of this version sends: every decoder returns an error or a message.

use fulmarreel_wire::{
    Hello, call, evidence, framing, gossip,
    mirror::{Assembler, Part, Pull, unpack},
    notice, sync,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

/// Bytes that are arbitrary, or mostly the small numbers that the encoding has for variants and
/// lengths.
fn message() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        vec(any::<u8>(), 0..300),
        vec(prop_oneof![9 => 0..6_u8, 1 => any::<u8>()], 0..300),
        vec(Just(0xff_u8), 0..300),
    ]
}

proptest! {
    // `PROPTEST_CASES` sets another number of cases.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    /// Fails if any bytes end a decoder's process.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in message()) {
        let _ = framing::decode::<Hello>(&bytes);
        let _ = framing::decode::<call::Frame>(&bytes);
        let _ = framing::decode::<sync::Frame>(&bytes);
        let _ = framing::decode::<evidence::Report>(&bytes);
        let _ = framing::decode::<Pull>(&bytes);
        let _ = framing::decode::<Part>(&bytes);
        let _ = gossip::Datagram::decode(&bytes);
        let _ = notice::Datagram::decode(&bytes);
        let _ = unpack(&bytes);
        let part = Part { bytes, last: true };
        let _ = Assembler::default().add(&part);
    }
}
