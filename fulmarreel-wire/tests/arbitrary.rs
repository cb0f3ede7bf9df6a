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

/// A run with a fixed seed; `ARBITRARY_SEED` and `ARBITRARY_CASES` set another one and its length.
fn config() -> ProptestConfig {
    let number = |name, default| {
        let given = std::env::var(name).ok();
        given.map_or(default, |number| number.parse().expect("a number"))
    };
    ProptestConfig {
        cases: number("ARBITRARY_CASES", 256) as u32,
        rng_seed: RngSeed::Fixed(number("ARBITRARY_SEED", 29)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

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
