//! The order in which frames of several calls are written to one connection over a narrow link.
//!
//! Calls take turns of limited size, so that a small response does not wait until large ones before it
//! are written. A call that has not had a turn goes before those that have. The frames of one call stay
//! in their order.

use fulmarreel_wire::call::{Chunk, Frame};
use std::collections::VecDeque;

/// The body bytes that one call writes in its turn: 13 ms of a link of 10 Mbit/s.
const TURN_BYTES: usize = 16_384;

/// Body bytes that are held here at most; further frames stay in their queue.
const MAX_HELD_BYTES: usize = 524_288;

/// Frames that wait to be written, by call.
#[derive(Debug, Default)]
pub struct Turns {
    /// Frames that belong to no call.
    control: VecDeque<Frame>,
    /// Calls that have not had a turn.
    first_turns: VecDeque<Waiting>,
    /// Calls that have had a turn.
    later_turns: VecDeque<Waiting>,
    held_bytes: usize,
}

#[derive(Debug)]
struct Waiting {
    sequence: u64,
    frames: VecDeque<Frame>,
}

impl Turns {
    /// Whether a further frame may be added.
    pub fn has_room(&self) -> bool {
        self.held_bytes < MAX_HELD_BYTES
    }

    /// Adds a frame behind those of its call.
    pub fn push(&mut self, frame: Frame) {
        let Some(sequence) = call_of(&frame) else {
            return self.control.push_back(frame);
        };
        self.held_bytes += body_bytes(&frame);
        // The rest of a body whose call has nothing waiting has had its first turn.
        let continues = matches!(&frame, Frame::Chunk(chunk) if chunk.offset > 0);
        let mut calls = self.first_turns.iter_mut().chain(&mut self.later_turns);
        if let Some(call) = calls.find(|call| call.sequence == sequence) {
            return call.frames.extend(parts(frame));
        }
        let call = Waiting {
            sequence,
            frames: parts(frame).collect(),
        };
        if continues {
            self.later_turns.push_back(call);
        } else {
            self.first_turns.push_back(call);
        }
    }

    /// The frames of the next turn; none if nothing waits.
    pub fn next_turn(&mut self) -> Vec<Frame> {
        let mut turn: Vec<Frame> = self.control.drain(..).collect();
        let first = self.first_turns.pop_front();
        let Some(mut call) = first.or_else(|| self.later_turns.pop_front()) else {
            return turn;
        };
        let mut left = TURN_BYTES;
        while let Some(frame) = call.frames.pop_front() {
            let bytes = body_bytes(&frame);
            if bytes > left {
                call.frames.push_front(frame);
                break;
            }
            left -= bytes;
            self.held_bytes -= bytes;
            turn.push(frame);
        }
        if !call.frames.is_empty() {
            self.later_turns.push_back(call);
        }
        turn
    }
}

/// The call that a frame belongs to.
fn call_of(frame: &Frame) -> Option<u64> {
    match frame {
        Frame::Open(open) => Some(open.sequence),
        Frame::Chunk(chunk) => Some(chunk.sequence),
        Frame::Head(head) => Some(head.sequence),
        Frame::Refused(refused) => Some(refused.sequence),
        Frame::Failed(failed) => Some(failed.sequence),
        Frame::Cancel { sequence }
        | Frame::Query { sequence }
        | Frame::State { sequence, .. }
        | Frame::Credit { sequence, .. } => Some(*sequence),
        Frame::Ping { .. }
        | Frame::Pong { .. }
        | Frame::Leaving
        | Frame::Accepting
        | Frame::Begin { .. } => None,
    }
}

fn body_bytes(frame: &Frame) -> usize {
    match frame {
        Frame::Chunk(chunk) => chunk.bytes.len(),
        _ => 0,
    }
}

/// Splits a chunk that is longer than a turn.
fn parts(frame: Frame) -> impl Iterator<Item = Frame> {
    let (whole, pieces) = match frame {
        Frame::Chunk(chunk) if chunk.bytes.len() > TURN_BYTES => (None, split(&chunk)),
        frame => (Some(frame), Vec::new()),
    };
    whole.into_iter().chain(pieces)
}

fn split(chunk: &Chunk) -> Vec<Frame> {
    let mut offset = chunk.offset;
    let count = chunk.bytes.len().div_ceil(TURN_BYTES);
    let pieces = chunk.bytes.chunks(TURN_BYTES).enumerate();
    pieces
        .map(|(index, bytes)| {
            let piece = Chunk {
                sequence: chunk.sequence,
                offset,
                bytes: bytes.to_vec(),
                last: chunk.last && index + 1 == count,
            };
            offset += bytes.len() as u64;
            Frame::Chunk(piece)
        })
        .collect()
}
