//! Updates of the store's items: packing, and splitting into parts.

use fulmarreel_wire::mirror::{
    Assembler, Change, Error, MAX_UPDATE_BYTES, PART_BYTES, Part, Piece, Update, Value, pack,
    parts, unpack,
};
use rstest::rstest;

fn change(key: &str, revision: u64, value: Value) -> Change {
    let key = key.to_owned();
    Change {
        key,
        revision,
        value,
    }
}

/// An update with a change of each kind; `value` is sent whole.
fn update(value: Vec<u8>) -> Update {
    let copy = Piece::Copy {
        offset: 4_096,
        length: 70_000,
    };
    let delta = Value::Delta {
        base: 9,
        pieces: vec![copy, Piece::Bytes(b"new".to_vec())],
        hash: u128::MAX - 1,
    };
    Update {
        after_revision: 7,
        up_to_revision: 12,
        changes: vec![
            change("a", 8, Value::Removed),
            change("b", 10, Value::Whole(value)),
            change("c", 12, delta),
        ],
    }
}

/// Pseudo-random bytes, which do not compress.
fn random_bytes(length: usize) -> Vec<u8> {
    let mut state = 1_u64;
    let next_byte = |_| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 56) as u8
    };
    (0..length).map(next_byte).collect()
}

#[rstest]
#[case(0)]
#[case(1)]
#[case(PART_BYTES)]
#[case(3 * PART_BYTES + 1)]
fn an_update_arrives_in_parts(#[case] length: usize) {
    let update = update(random_bytes(length));
    let packed = pack(&update).unwrap();
    let parts: Vec<Part> = parts(&packed).collect();
    assert_eq!(parts.len(), packed.len().div_ceil(PART_BYTES));
    let mut assembler = Assembler::default();
    for _ in 0..2 {
        for part in &parts {
            assert!(part.bytes.len() <= PART_BYTES);
            let assembled = assembler.add(part).unwrap();
            assert_eq!(assembled.is_some(), part.last);
            if let Some(assembled) = assembled {
                assert_eq!(unpack(&assembled).unwrap(), update);
            }
        }
    }
}

#[test]
fn an_empty_update_is_one_part() {
    let parts: Vec<Part> = parts(&[]).collect();
    let bytes = Vec::new();
    assert_eq!(parts, [Part { bytes, last: true }]);
}

#[test]
fn repeated_bytes_are_compressed() {
    let packed = pack(&update(vec![7; 100_000])).unwrap();
    assert!(packed.len() < 1_000, "{} bytes", packed.len());
}

#[test]
fn a_size_beyond_the_limit_is_refused_before_allocation() {
    let mut packed = pack(&update(Vec::new())).unwrap();
    let size = u32::MAX;
    packed[..4].copy_from_slice(&size.to_le_bytes());
    let error = unpack(&packed).unwrap_err();
    assert!(matches!(error, Error::TooLong { bytes } if bytes == size as usize));
}

#[test]
fn an_update_beyond_the_limit_is_not_packed() {
    let error = pack(&update(vec![0; MAX_UPDATE_BYTES])).unwrap_err();
    assert!(matches!(error, Error::TooLong { .. }));
}

#[test]
fn parts_beyond_the_limit_are_refused() {
    let part = Part {
        bytes: vec![0; MAX_UPDATE_BYTES / 4],
        last: false,
    };
    let mut assembler = Assembler::default();
    for _ in 0..4 {
        assert_eq!(assembler.add(&part).unwrap(), None);
    }
    let error = assembler.add(&part).unwrap_err();
    assert!(matches!(error, Error::TooLong { .. }));
    let last = Part {
        bytes: vec![1],
        last: true,
    };
    assert_eq!(assembler.add(&last).unwrap(), Some(vec![1]));
}

#[test]
fn truncated_bytes_are_refused() {
    let packed = pack(&update(random_bytes(1_000))).unwrap();
    for length in 0..packed.len() {
        assert!(unpack(&packed[..length]).is_err(), "{length} bytes");
    }
}
