//! A network link of limited rate that several relays can share.

use smol::Timer;
use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// A link of limited rate. Each direction has its own queue and the full rate.
#[derive(Debug)]
pub struct Link {
    /// Towards the addresses that the relays forward to.
    pub(super) upstream: Direction,
    /// From those addresses.
    pub(super) downstream: Direction,
}

/// Bytes that a link has accepted so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CarriedBytes {
    /// Bytes towards the addresses that the relays forward to.
    pub upstream: u64,
    /// Bytes from those addresses.
    pub downstream: u64,
}

/// One direction of a link, a first-in, first-out queue.
#[derive(Debug)]
pub(super) struct Direction {
    bytes_per_second: u64,
    queue_bytes: u64,
    queue: Mutex<Queue>,
}

#[derive(Debug)]
struct Queue {
    /// When the last accepted byte leaves the queue.
    empty_at: Instant,
    carried_bytes: u64,
}

impl Link {
    /// Creates an idle link. While more than `queue_bytes` wait in a direction, the relays stop reading
    /// connections and drop datagrams in that direction.
    pub fn new(bytes_per_second: u64, queue_bytes: u64) -> Self {
        Self {
            upstream: Direction::new(bytes_per_second, queue_bytes),
            downstream: Direction::new(bytes_per_second, queue_bytes),
        }
    }

    /// Creates a link that adds no delay.
    pub fn unlimited() -> Self {
        Self::new(u64::MAX, u64::MAX)
    }

    /// The bytes that were accepted so far.
    pub fn carried_bytes(&self) -> CarriedBytes {
        CarriedBytes {
            upstream: self.upstream.carried_bytes(),
            downstream: self.downstream.carried_bytes(),
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
                carried_bytes: 0,
            }),
        }
    }

    /// Accepts bytes; returns when the last of them leaves the queue.
    pub(super) fn push(&self, bytes: usize) -> Instant {
        let mut queue = self.queue.lock().expect("queue lock");
        let start = queue.empty_at.max(Instant::now());
        queue.empty_at = start + self.transmission_time(bytes as u64);
        queue.carried_bytes += bytes as u64;
        queue.empty_at
    }

    /// Accepts a datagram and returns when it leaves the queue, or `None` if the queue is full.
    pub(super) fn push_datagram(&self, bytes: usize) -> Option<Instant> {
        let has_room = self.room_at() <= Instant::now();
        has_room.then(|| self.push(bytes))
    }

    /// Waits until no more than `queue_bytes` are in the queue.
    pub(super) async fn wait_for_room(&self) {
        loop {
            let room_at = self.room_at();
            if room_at <= Instant::now() {
                return;
            }
            Timer::at(room_at).await;
        }
    }

    /// When no more than `queue_bytes` will be in the queue, if no more bytes are accepted.
    fn room_at(&self) -> Instant {
        let empty_at = self.queue.lock().expect("queue lock").empty_at;
        let full_queue_time = self.transmission_time(self.queue_bytes);
        empty_at.checked_sub(full_queue_time).unwrap_or(empty_at)
    }

    fn carried_bytes(&self) -> u64 {
        self.queue.lock().expect("queue lock").carried_bytes
    }

    /// How long it takes to send bytes at the rate of the link.
    fn transmission_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64)
    }
}
