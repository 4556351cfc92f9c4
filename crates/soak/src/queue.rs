//! The event queue of the simulation.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

/// Future events, ordered by time, then by the order in which they were queued.
#[derive(Debug)]
pub struct Queue<T> {
    heap: BinaryHeap<Reverse<Queued<T>>>,
    next_number: u64,
}

#[derive(Debug)]
struct Queued<T> {
    at: Instant,
    number: u64,
    event: T,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_number: 0,
        }
    }

    /// Queues `event` for `at`.
    pub fn push(&mut self, at: Instant, event: T) {
        let number = self.next_number;
        self.next_number += 1;
        self.heap.push(Reverse(Queued { at, number, event }));
    }

    /// Returns the time of the next event.
    pub fn next_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse(next)| next.at)
    }

    /// Removes and returns the next event if it is due by `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<T> {
        if self.next_at()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| next.event)
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> PartialEq for Queued<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for Queued<T> {}

impl<T> PartialOrd for Queued<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Queued<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
