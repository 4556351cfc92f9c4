//! A life of the worker, as its companion knows it.

use base::prelude::*;
use jobs::report::Listing;

use crate::ports::{Heartbeat, HoldReply};
use crate::starts::Starts;
use crate::worker_clock::WorkerClock;

/// How long a worker may leave calls unanswered before its lease is no longer renewed.
const SILENT_AFTER: Duration = Duration::from_millis(1300);

/// How long nothing may listen where the worker takes calls before it counts as ended.
const ENDED_AFTER: Duration = Duration::from_millis(250);

/// A life of the worker.
#[derive(Debug)]
pub(crate) struct Life {
    pub(crate) beat: Heartbeat,
    pub(crate) is_gone: bool,
    pub(crate) clock: Option<WorkerClock>,
    pub(crate) fence: u64,
    /// Until when tasks may run, on the worker's clock in milliseconds.
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) stored_ends: u64,
    pub(crate) listing: Option<Listing>,
    pub(crate) listed_clock_ms: u64,
    pub(crate) starts: Starts,
    pub(crate) is_holding: bool,
    pub(crate) is_looking: bool,
    pub(crate) hold_after: Option<Instant>,
    pub(crate) looked_at: Option<Instant>,
    /// When the last stop may have begun.
    pub(crate) stopped_at: Instant,
    /// When the worker last answered, or was first heard.
    pub(crate) answered_at: Instant,
    /// Since when nothing listens where the worker takes calls.
    pub(crate) refused_since: Option<Instant>,
}

impl Life {
    /// Creates a life; an earlier process on this VM may have begun a stop just now.
    pub(crate) fn new(beat: Heartbeat, now: Instant, stop_time: Duration) -> Self {
        Self {
            beat,
            is_gone: false,
            clock: None,
            fence: 0,
            deadline_ms: None,
            stored_ends: 0,
            listing: None,
            listed_clock_ms: 0,
            starts: Starts::new(stop_time),
            stopped_at: now,
            answered_at: now,
            refused_since: None,
            is_holding: false,
            is_looking: false,
            hold_after: None,
            looked_at: None,
        }
    }

    /// Tells whether the worker has listed under the present fence, with no stop under way.
    pub(crate) fn is_listed(&self) -> bool {
        self.listing
            .as_ref()
            .is_some_and(|l| l.fence == self.fence && l.is_settled)
    }

    /// Notes a failed call; tells whether the worker's process has certainly ended.
    pub(crate) fn refused(&mut self, now: Instant, kind: ErrorKind) -> bool {
        if kind != ErrorKind::NotListening {
            self.refused_since = None;
            return false;
        }
        let since = *self.refused_since.get_or_insert(now);
        now.duration_since(since) >= ENDED_AFTER
    }

    /// Tells whether the worker has not answered for long.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        now.duration_since(self.answered_at) >= SILENT_AFTER
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_gone || self.beat.draining.is_some()
    }
}

/// Takes in a listing unless a later one is known; tells whether the owner should hear of it now.
pub(crate) fn take_listing(
    life: &mut Life,
    now: Instant,
    fence: u64,
    is_settled: bool,
    reply: HoldReply,
) -> bool {
    life.clock = Some(WorkerClock::new(reply.clock_ms, now));
    let known = life
        .listing
        .as_ref()
        .map(|l| (l.fence, life.listed_clock_ms));
    // Of two lists of one millisecond, the later to arrive may be the earlier to be made.
    if known.is_some_and(|known| (fence, reply.clock_ms) <= known) {
        return false;
    }
    let mut listing = Listing {
        fence,
        clock_ms: reply.clock_ms,
        is_settled,
        running: reply.running,
        ends: reply.ends,
    };
    life.starts.settle(&listing, reply.clock_ms);
    listing.is_settled &= !life.starts.has_unlisted();
    let last_end = |l: &Listing| l.ends.iter().map(|e| e.number).max();
    let is_first = life
        .listing
        .as_ref()
        .is_none_or(|l| l.fence != fence || l.is_settled != listing.is_settled);
    let has_new_end = life
        .listing
        .as_ref()
        .is_none_or(|l| last_end(&listing) > last_end(l));
    let has_reject = !life.starts.rejected().is_empty();
    life.listed_clock_ms = reply.clock_ms;
    life.listing = Some(listing);
    is_first || has_new_end || has_reject
}
