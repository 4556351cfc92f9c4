//! A bounded priority queue of requests that wait for a slot.

use base::prelude::*;
use tables::Priority;

use crate::event::AdmitMeta;

/// A waiting request.
#[derive(Debug)]
struct Queued {
    id: RequestId,
    priority: Priority,
    deadline: Instant,
}

/// A bounded queue, oldest first within a priority.
#[derive(Debug)]
pub(super) struct Queue {
    capacity: usize,
    waiting: Vec<Queued>,
}

/// The queue is full and holds no request of lower priority.
#[derive(Debug)]
pub(super) struct Full;

impl Queue {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            waiting: Vec::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request; if the queue is full, removes and returns one of lower priority.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if the queue is full and holds no request of lower priority.
    pub(super) fn push(&mut self, meta: &AdmitMeta) -> Result<Option<RequestId>, Full> {
        let mut shed = None;
        if self.waiting.len() >= self.capacity {
            let least = self.position_of_least().ok_or(Full)?;
            if self.waiting[least].priority >= meta.priority {
                return Err(Full);
            }
            shed = Some(self.waiting.remove(least).id);
        }
        self.waiting.push(Queued {
            id: meta.id.clone(),
            priority: meta.priority,
            deadline: meta.deadline,
        });
        Ok(shed)
    }

    /// Returns the position of the newest request of the lowest priority.
    fn position_of_least(&self) -> Option<usize> {
        let lowest = self.waiting.iter().map(|queued| queued.priority).min()?;
        self.waiting
            .iter()
            .rposition(|queued| queued.priority == lowest)
    }

    /// Removes and returns the oldest request of the highest priority.
    pub(super) fn pop(&mut self) -> Option<RequestId> {
        let highest = self.waiting.iter().map(|queued| queued.priority).max()?;
        let next = self
            .waiting
            .iter()
            .position(|queued| queued.priority == highest)?;
        Some(self.waiting.remove(next).id)
    }

    pub(super) fn remove(&mut self, id: &RequestId) {
        self.waiting.retain(|queued| queued.id != *id);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<RequestId> {
        self.waiting
            .extract_if(.., |queued| queued.deadline <= now)
            .map(|queued| queued.id)
            .collect()
    }

    pub(super) fn take_all(&mut self) -> Vec<RequestId> {
        self.waiting.drain(..).map(|queued| queued.id).collect()
    }
}
