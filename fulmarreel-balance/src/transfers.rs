//! Which large bodies are under way over a narrow link.
//!
//! A link carries bytes in the order in which they reach it, so a small request waits behind all large
//! bodies that are under way. Their senders therefore wait for their turn, and few bodies are under way
//! at a time. The load it answers: uploads at twice what the link carries, among calls that must be
//! answered within a few hundred milliseconds.

use std::collections::VecDeque;

/// Large bodies that are under way, and those that wait for their turn; `T` identifies a body.
#[derive(Debug)]
pub struct Transfers<T> {
    /// The most bytes that are under way at a time, unless one body alone is longer.
    limit_bytes: u64,
    bytes_under_way: u64,
    under_way: Vec<(T, u64)>,
    waiting: VecDeque<(T, u64)>,
}

impl<T: Copy + PartialEq> Transfers<T> {
    /// Creates transfers with at most this many bytes under way at a time.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            bytes_under_way: 0,
            under_way: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Changes the limit, for the bodies that start from here on.
    pub fn set_limit(&mut self, limit_bytes: u64) {
        self.limit_bytes = limit_bytes;
    }

    /// Adds a body; whether it may start at once.
    pub fn add(&mut self, id: T, bytes: u64) -> bool {
        self.waiting.push_back((id, bytes));
        self.start_next() == Some(id)
    }

    /// Removes a body that has arrived or never will; returns those whose turn it is now.
    pub fn remove(&mut self, id: T) -> Vec<T> {
        self.waiting.retain(|(waiting, _)| *waiting != id);
        if let Some(index) = self.under_way.iter().position(|(known, _)| *known == id) {
            let (_, bytes) = self.under_way.swap_remove(index);
            self.bytes_under_way -= bytes;
        }
        let mut started = Vec::new();
        while let Some(next) = self.start_next() {
            started.push(next);
        }
        started
    }

    /// Starts the body that has waited longest, if there is room for it.
    fn start_next(&mut self) -> Option<T> {
        let (id, bytes) = *self.waiting.front()?;
        let fits = self.bytes_under_way + bytes <= self.limit_bytes;
        if !fits && !self.under_way.is_empty() {
            return None;
        }
        self.waiting.pop_front();
        self.bytes_under_way += bytes;
        self.under_way.push((id, bytes));
        Some(id)
    }
}
