//! Requests that wait for an election that is under way.
//!
//! The load: an owner ends while callers go on. The next one is elected and has read its jobs a few
//! store calls later; callers that were told to come back in a second would lose most of their time.

use base::prelude::*;
use jobs::{JobReply, JobRequest};
use slog::info;
use wire::Responder;

use super::{Controller, no_owner};

/// How long a request waits at most: several times an election with its load, and less than a third of
/// the shortest time in which callers expect results.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// How long an election takes at most; one that takes longer has an unknown end.
const MAX_ELECTION: Duration = Duration::from_secs(1);

/// The part of a caller's remaining time that its request may wait, so that enough is left to serve it.
const WAIT_SHARE: u32 = 2;

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// From a caller of this entry; it may be forwarded.
    Caller,
    /// From another entry, which takes this one for the owner.
    Entry,
}

/// A request that waits for an owner.
#[derive(Debug)]
pub(super) struct Waiting {
    request: JobRequest,
    responder: Responder<JobReply>,
    origin: Origin,
    /// When it is refused at the latest.
    until: Instant,
}

impl Controller {
    /// Returns true if an owner is expected within a few calls of a store that responds: this entry
    /// takes its key again or reads its jobs, or the owner's key is free.
    fn is_owner_expected(&self) -> bool {
        let is_ours = self.load.is_some() || self.elector.is_resuming();
        (is_ours && !self.elector.is_store_failing()) || self.elector.is_key_free()
    }

    /// Keeps a request until an owner can serve it; refuses it at once if none is expected or too
    /// little of its time is left.
    pub(super) fn wait_for_owner(
        &mut self,
        now: Instant,
        deadline: Option<Instant>,
        request: JobRequest,
        responder: Responder<JobReply>,
    ) {
        let origin = if deadline.is_some() {
            Origin::Caller
        } else {
            Origin::Entry
        };
        let left = deadline.map(|at| at.saturating_duration_since(now) / WAIT_SHARE);
        let since = *self.expected_since.get_or_insert(now);
        let until = (now + MAX_WAIT).min(since + MAX_ELECTION);
        if !self.is_owner_expected() || until <= now || left.is_some_and(|left| left < MAX_WAIT) {
            responder.send(no_owner());
            return;
        }
        self.operation_metrics.count("election_wait", "began");
        self.waiting.push(Waiting {
            request,
            responder,
            origin,
            until,
        });
    }

    /// Serves the waiting requests if there is an owner, and refuses those that none is expected for or
    /// that have waited for long.
    pub(super) fn serve_waiting(&mut self, now: Instant) {
        let is_expected = self.is_owner_expected();
        if !is_expected {
            self.expected_since = None;
        }
        if self.waiting.is_empty() {
            return;
        }
        let can_serve = self.owner.is_some() && self.active_owner(now).is_some();
        let is_other = self.other_owner().is_some();
        for waiting in std::mem::take(&mut self.waiting) {
            let is_for_other = is_other && waiting.origin == Origin::Caller;
            if can_serve {
                self.serve_owned(now, None, waiting.request, waiting.responder);
            } else if let Some(owner) = self.other_owner().filter(|_| is_for_other) {
                self.ports
                    .forward(owner, waiting.request, waiting.responder);
            } else if !is_expected || is_other || waiting.until <= now {
                info!(self.log, "entry: refused after a wait for an owner";
                    "is_expected" => is_expected);
                self.operation_metrics.count("election_wait", "refused");
                waiting.responder.send(no_owner());
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    /// Returns when the first waiting request has waited for long.
    pub(super) fn waiting_due(&self) -> Option<Instant> {
        self.waiting.iter().map(|w| w.until).min()
    }
}
