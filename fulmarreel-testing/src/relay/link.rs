//! A link of limited rate that several relays share.

use smol::Timer;
use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// A link of limited rate; each direction has a rate and a queue of its own.
#[derive(Debug)]
pub struct Link {
    pub(super) there: Direction,
    pub(super) back: Direction,
}

/// Bytes that a link has taken in so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Carried {
    /// Towards the address that the relays forward to.
    pub there: u64,
    /// From that address.
    pub back: u64,
}

/// One direction of a link: first in, first out.
#[derive(Debug)]
pub(super) struct Direction {
    bytes_per_second: u64,
    queue_bytes: u64,
    queue: Mutex<Queue>,
}

#[derive(Debug)]
struct Queue {
    /// When the last byte that was taken in is sent.
    empty_at: Instant,
    carried: u64,
}

impl Link {
    /// An idle link. Connections are read no further, and datagrams dropped, while more than
    /// `queue_bytes` wait in their direction.
    pub fn new(bytes_per_second: u64, queue_bytes: u64) -> Self {
        Self {
            there: Direction::new(bytes_per_second, queue_bytes),
            back: Direction::new(bytes_per_second, queue_bytes),
        }
    }

    /// A link that adds no time.
    pub fn unlimited() -> Self {
        Self::new(u64::MAX, u64::MAX)
    }

    /// Bytes that were taken in so far.
    pub fn carried(&self) -> Carried {
        Carried {
            there: self.there.carried(),
            back: self.back.carried(),
        }
    }
}

impl Direction {
    fn new(bytes_per_second: u64, queue_bytes: u64) -> Self {
        Self {
            bytes_per_second,
            queue_bytes,
            queue: Mutex::new(Queue {
                empty_at: Instant::now(),
                carried: 0,
            }),
        }
    }

    /// Takes in bytes; returns when the last of them is sent.
    pub(super) fn push(&self, bytes: usize) -> Instant {
        let mut queue = self.queue.lock().expect("queue lock");
        let begin = queue.empty_at.max(Instant::now());
        queue.empty_at = begin + self.transmission(bytes as u64);
        queue.carried += bytes as u64;
        queue.empty_at
    }

    /// Takes in a datagram, unless the queue is full; returns when it is sent.
    pub(super) fn push_datagram(&self, bytes: usize) -> Option<Instant> {
        let has_room = self.room_at() <= Instant::now();
        has_room.then(|| self.push(bytes))
    }

    /// Waits until no more waits than the queue holds.
    pub(super) async fn wait_for_room(&self) {
        loop {
            let room_at = self.room_at();
            if room_at <= Instant::now() {
                return;
            }
            Timer::at(room_at).await;
        }
    }

    /// When no more waits than the queue holds, if nothing more is taken in.
    fn room_at(&self) -> Instant {
        let empty_at = self.queue.lock().expect("queue lock").empty_at;
        let full = self.transmission(self.queue_bytes);
        empty_at.checked_sub(full).unwrap_or(empty_at)
    }

    fn carried(&self) -> u64 {
        self.queue.lock().expect("queue lock").carried
    }

    fn transmission(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64)
    }
}
