//! Whether the owner answers, as seen by an entry that forwards to it.
//!
//! The load: the owner is frozen or cut off while callers go on. Without this each request is held
//! until its call times out, and the threads that call the owner are all taken, so that later requests
//! end unanswered without having been sent. Those are refused at once instead, which is true.

use base::prelude::*;

/// How long the owner may answer nothing until requests are no longer sent to it: longer than a slow
/// store takes, and half the time of a call.
const SILENT_AFTER: Duration = Duration::from_millis(600);

/// How often a request is sent to an owner that does not answer.
const PROBE_EVERY: Duration = Duration::from_millis(250);

/// How a call to the owner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With a reply.
    Answered,
    /// Without one, and the peer cannot be reached or does not respond.
    Silent,
    /// The connection broke, which says nothing about the next call.
    Broken,
}

/// What the calls to the owner at one epoch have shown.
#[derive(Debug, Default)]
pub struct OwnerHealth {
    epoch: Epoch,
    last_answer: Option<Instant>,
    /// When the first call began that has not been answered, nor any after it.
    waiting_since: Option<Instant>,
    has_failed: bool,
    next_probe: Option<Instant>,
}

impl OwnerHealth {
    /// Returns true if a request may be sent now to the owner at `epoch`, which then counts as sent.
    pub fn admit(&mut self, now: Instant, epoch: Epoch) -> bool {
        if epoch != self.epoch {
            *self = Self {
                epoch,
                ..Self::default()
            };
        }
        if !self.is_silent(now) {
            self.waiting_since.get_or_insert(now);
            return true;
        }
        let is_due = self.next_probe.is_none_or(|at| at <= now);
        if is_due {
            self.next_probe = Some(now + PROBE_EVERY);
        }
        is_due
    }

    /// Returns true if the owner at the latest epoch has not answered for long.
    pub fn is_silent(&self, now: Instant) -> bool {
        let is_long = |since: Instant| now.saturating_duration_since(since) >= SILENT_AFTER;
        self.has_failed || self.waiting_since.is_some_and(is_long)
    }

    /// Records the end of a call that began at `began`.
    pub fn ended(&mut self, now: Instant, epoch: Epoch, began: Instant, end: CallEnd) {
        if epoch != self.epoch {
            return;
        }
        match end {
            CallEnd::Answered => {
                self.last_answer = Some(now);
                self.waiting_since = None;
                self.has_failed = false;
                self.next_probe = None;
            }
            CallEnd::Silent if self.last_answer.is_none_or(|at| at < began) => {
                self.has_failed = true;
                self.next_probe.get_or_insert(now + PROBE_EVERY);
            }
            CallEnd::Silent | CallEnd::Broken => {}
        }
    }
}
