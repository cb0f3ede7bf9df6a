//! The order of frames of several calls on one connection over a narrow link.

use fulmarreel_node::peer::turns::Turns;
use fulmarreel_wire::call::{Chunk, Frame, Head, chunks};
use std::collections::HashMap;

fn head(sequence: u64) -> Frame {
    Frame::Head(Head {
        sequence,
        status: 200,
        headers: Vec::new(),
        length: None,
        target_micros: 0,
        in_flight: 0,
        slots: 1,
    })
}

fn push_response(turns: &mut Turns, sequence: u64, body: &[u8]) {
    turns.push(head(sequence));
    chunks(sequence, body).for_each(|chunk| turns.push(Frame::Chunk(chunk)));
}

/// The chunks of all turns, in the order in which they are written.
fn written(turns: &mut Turns) -> Vec<Chunk> {
    let mut written = Vec::new();
    loop {
        let turn = turns.next_turn();
        if turn.is_empty() {
            return written;
        }
        written.extend(turn.into_iter().filter_map(|frame| match frame {
            Frame::Chunk(chunk) => Some(chunk),
            _ => None,
        }));
    }
}

/// Fails if a small response waits until large ones before it are written: over 10 Mbit/s, three of 90 KB
/// take 0.2 s.
#[test]
fn a_small_response_waits_for_no_large_one() {
    let mut turns = Turns::default();
    let large = vec![7; 90_000];
    for sequence in 1..4 {
        push_response(&mut turns, sequence, &large);
    }
    let started = turns.next_turn();
    assert!(started.len() < 4, "{} frames", started.len());
    push_response(&mut turns, 9, b"small");
    let order: Vec<u64> = written(&mut turns)
        .iter()
        .map(|chunk| chunk.sequence)
        .collect();
    let small = order.iter().position(|sequence| *sequence == 9);
    assert!(small <= Some(2), "{small:?}");
}

/// Fails if a body is not whole after it was split, or if its parts are out of order.
#[test]
fn bodies_written_in_turns_are_whole() {
    let mut turns = Turns::default();
    let bodies: HashMap<u64, Vec<u8>> = [(1, 90_000), (2, 0), (3, 16_384), (4, 40_001)]
        .into_iter()
        .map(|(sequence, length)| (sequence, (0..length).map(|byte| byte as u8).collect()))
        .collect();
    for (sequence, body) in &bodies {
        push_response(&mut turns, *sequence, body);
    }
    let mut received: HashMap<u64, (Vec<u8>, bool)> = HashMap::new();
    for chunk in written(&mut turns) {
        let (body, is_whole) = received.entry(chunk.sequence).or_default();
        assert!(!*is_whole && chunk.offset == body.len() as u64);
        body.extend_from_slice(&chunk.bytes);
        *is_whole = chunk.last;
    }
    for (sequence, body) in bodies {
        assert_eq!(received.remove(&sequence), Some((body, true)));
    }
}
