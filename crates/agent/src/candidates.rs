//! Heartbeats that name another incarnation than the known one.
//!
//! Anyone who reaches the heartbeat address can send a heartbeat, and one of an earlier incarnation may
//! arrive late. So the incarnation that it names is only a candidate until the worker itself has
//! confirmed it, at the worker's own address.

use base::prelude::*;

use crate::ports::Heartbeat;

/// How many candidates are kept; further ones are dropped and heard again with their next heartbeat.
const MAX_CANDIDATES: usize = 16;

/// Delay before the next check after one without an answer.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// How long after its last heartbeat a candidate is kept while the worker does not answer.
const KEPT_FOR: Duration = Duration::from_secs(4);

/// An incarnation of a worker.
pub(crate) type Identity = (WorkerId, Incarnation);

#[derive(Debug)]
struct Candidate {
    heartbeat: Heartbeat,
    heard_at: Instant,
}

/// The incarnations that heartbeats have named and that the worker has neither confirmed nor denied.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// The one to check next comes first.
    queue: IndexMap<Identity, Candidate>,
    is_checking: bool,
    /// No check is made before this time.
    not_before: Option<Instant>,
}

impl Candidates {
    /// Adds an incarnation, or replaces its earlier heartbeat; returns false if there are too many.
    pub(crate) fn add(&mut self, now: Instant, heartbeat: Heartbeat) -> bool {
        let identity = heartbeat.identity();
        let is_new = !self.queue.contains_key(&identity);
        if is_new && self.queue.len() >= MAX_CANDIDATES {
            return false;
        }
        if is_new {
            self.not_before = None;
        }
        let candidate = Candidate {
            heartbeat,
            heard_at: now,
        };
        self.queue.insert(identity, candidate);
        true
    }

    /// Returns the incarnation to check now; [`Candidates::settle`] or [`Candidates::retry`] follows.
    pub(crate) fn begin_check(&mut self, now: Instant) -> Option<Identity> {
        self.queue
            .retain(|_, c| now.saturating_duration_since(c.heard_at) < KEPT_FOR);
        if self.is_checking || self.not_before.is_some_and(|at| at > now) {
            return None;
        }
        let (identity, _) = self.queue.first()?;
        self.is_checking = true;
        Some(identity.clone())
    }

    /// Ends a check that the worker has answered; returns the latest heartbeat of the incarnation.
    pub(crate) fn settle(&mut self, identity: &Identity) -> Option<Heartbeat> {
        self.is_checking = false;
        let candidate = self.queue.shift_remove(identity);
        candidate.map(|c| c.heartbeat)
    }

    /// Ends a check without an answer; the other candidates are checked first.
    pub(crate) fn retry(&mut self, now: Instant, identity: &Identity) {
        self.is_checking = false;
        self.not_before = Some(now + RETRY_AFTER);
        if let Some(candidate) = self.queue.shift_remove(identity) {
            self.queue.insert(identity.clone(), candidate);
        }
    }

    /// Returns when the next check is due.
    pub(crate) fn next_due(&self, now: Instant) -> Option<Instant> {
        let is_due = !self.is_checking && !self.queue.is_empty();
        is_due.then(|| self.not_before.map_or(now, |at| at.max(now)))
    }
}
