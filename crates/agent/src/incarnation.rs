//! The companion's view of one incarnation of its worker.

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::WorkerStatus;
use slog::Logger;

use crate::ports::{Heartbeat, LongPollReply};
use crate::provenance::Source;
use crate::starts::Starts;
use crate::worker_clock::WorkerClock;

/// How long a worker may go without replying before its lease is no longer renewed.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1300);

/// How long connections to the worker must be refused before its lease is no longer renewed.
const REFUSED_AFTER: Duration = Duration::from_millis(250);

/// How long the last accepted heartbeat outweighs others of the incarnation that contradict it: more
/// than two intervals of heartbeats.
const CONTRADICTED_FOR: Duration = Duration::from_millis(3500);

/// How far the clock in a heartbeat may be from that in the worker's replies, in milliseconds.
const MAX_CLOCK_ERROR_MS: u64 = 2000;

/// The state of one incarnation of the worker.
#[derive(Debug)]
pub(crate) struct WorkerIncarnation {
    /// The latest heartbeat that was accepted.
    pub(crate) heartbeat: Heartbeat,
    /// When it arrived.
    pub(crate) heard_at: Instant,
    pub(crate) is_gone: bool,
    /// The fencing token under which the owner was told that the worker is gone: it releases all runs,
    /// so nothing starts until the token has risen.
    pub(crate) gone_fence: Option<u64>,
    pub(crate) clock: Option<WorkerClock>,
    pub(crate) fence: u64,
    /// When the lease of the tasks expires, on the worker's clock in milliseconds.
    pub(crate) deadline_ms: Option<u64>,
    /// The reply that set `deadline_ms`.
    pub(crate) leased_by: Option<Source>,
    /// Until when the owner permits starts; `None` for as long as the lease lasts.
    pub(crate) starts_until: Option<Instant>,
    /// The same on the worker's clock in milliseconds, which also counts while the VM is suspended.
    pub(crate) starts_until_ms: Option<u64>,
    /// The number of the report whose reply set `starts_until`; replies may arrive in any order.
    pub(crate) starts_until_from: u64,
    /// Finished runs up to this number are stored by the owner.
    pub(crate) stored_ends: u64,
    pub(crate) status: Option<WorkerStatus>,
    pub(crate) status_clock_ms: u64,
    pub(crate) starts: Starts,
    /// Whether no connection has failed since the incarnation was last heard. Until it is heard again,
    /// another incarnation under the same id may receive its calls.
    pub(crate) is_confirmed: bool,
    /// Whether a long poll that waits is in progress.
    pub(crate) is_long_polling: bool,
    /// Whether a status poll is in progress.
    pub(crate) is_status_polling: bool,
    /// No long poll is made before this time.
    pub(crate) poll_after: Option<Instant>,
    /// When the last status poll was made.
    pub(crate) status_polled_at: Option<Instant>,
    /// The worker's clock in the first status, which an earlier companion process's calls precede.
    pub(crate) first_status_ms: Option<u64>,
    /// When the worker last replied, or sent its first heartbeat.
    pub(crate) answered_at: Instant,
    /// When a connection was first refused or reset since the worker last replied to a poll.
    pub(crate) disconnected_at: Option<Instant>,
    /// The runs in the latest status, with when they were started or first listed.
    pub(crate) listed_since: IndexMap<TaskRun, Instant>,
    /// Since when connections to the worker are refused.
    pub(crate) refused_since: Option<Instant>,
    /// Whether connections have been refused for [`REFUSED_AFTER`].
    pub(crate) is_refusing: bool,
    /// Whether the worker has turned away its last start because it sheds load.
    pub(crate) is_shedding: bool,
    /// Whether the worker was unresponsive in the last report; for the log.
    pub(crate) was_unresponsive: bool,
}

impl WorkerIncarnation {
    /// Creates the state for an incarnation that sent its first heartbeat at `now`.
    pub(crate) fn new(heartbeat: Heartbeat, now: Instant, stop_time: Duration) -> Self {
        Self {
            heartbeat,
            heard_at: now,
            is_gone: false,
            gone_fence: None,
            clock: None,
            fence: 0,
            deadline_ms: None,
            leased_by: None,
            starts_until: None,
            starts_until_ms: None,
            starts_until_from: 0,
            stored_ends: 0,
            status: None,
            status_clock_ms: 0,
            starts: Starts::new(stop_time),
            first_status_ms: None,
            answered_at: now,
            disconnected_at: None,
            listed_since: IndexMap::new(),
            refused_since: None,
            is_refusing: false,
            is_shedding: false,
            was_unresponsive: false,
            is_confirmed: true,
            is_long_polling: false,
            is_status_polling: false,
            poll_after: None,
            status_polled_at: None,
        }
    }

    /// Returns true if a heartbeat of this incarnation is to be applied.
    ///
    /// One that is outdated, or that contradicts the worker, may be another writer's. But so may be the
    /// one accepted before: if nothing has agreed with that for long, the worker itself contradicts it.
    pub(crate) fn accepts(&self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let known = &self.heartbeat;
        let is_later = heartbeat.number > known.number;
        let is_alike = heartbeat.pool == known.pool
            && heartbeat.zone == known.zone
            && heartbeat.labels == known.labels;
        let has_clock = heartbeat
            .clock_ms
            .zip(self.clock)
            .is_none_or(|(ms, clock)| {
                ms >= clock.at_least(now).saturating_sub(MAX_CLOCK_ERROR_MS)
                    && ms <= clock.at_most(now).saturating_add(MAX_CLOCK_ERROR_MS)
            });
        let is_agreed = is_later && is_alike && has_clock;
        is_agreed || now.saturating_duration_since(self.heard_at) >= CONTRADICTED_FOR
    }

    /// Returns true if the latest status was made under the current fencing token and no start or
    /// stop was in progress.
    pub(crate) fn has_current_status(&self) -> bool {
        self.status
            .as_ref()
            .is_some_and(|s| s.fence == self.fence && s.is_settled)
    }

    pub(crate) fn record_gone(&mut self) {
        self.is_gone = true;
        self.gone_fence = Some(self.fence);
    }

    /// Returns the lease of starts, if any may be sent, on the worker's clock in milliseconds.
    pub(crate) fn start_deadline_ms(&self) -> Option<u64> {
        let takes_starts =
            self.is_confirmed && !self.is_draining() && self.gone_fence != Some(self.fence);
        self.deadline_ms.filter(|_| takes_starts)
    }

    /// Returns true if the owner's permission to start tasks has run out.
    pub(crate) fn is_past_starts(&self, now: Instant) -> bool {
        let clock_ms = self.clock.map(|clock| clock.at_least(now));
        let is_past = self.starts_until.is_some_and(|until| until <= now);
        let is_past_there = self.starts_until_ms.zip(clock_ms);
        is_past || is_past_there.is_some_and(|(until_ms, clock_ms)| until_ms <= clock_ms)
    }

    /// Returns when the next start is to be sent.
    pub(crate) fn next_start_due(&self) -> Option<Instant> {
        self.start_deadline_ms()?;
        self.starts.next_due()
    }

    /// Returns true if calls wait for the next status.
    pub(crate) fn needs_status_poll(&self) -> bool {
        self.fence > 0 && (!self.is_confirmed || self.starts.awaits_status())
    }

    /// Records a failed call, which a restart of the worker may have caused.
    pub(crate) fn call_failed(&mut self, now: Instant, kind: ErrorKind) {
        let is_lost = matches!(
            kind,
            ErrorKind::Unreachable | ErrorKind::NotListening | ErrorKind::Interrupted
        );
        self.is_confirmed &= !is_lost;
        self.record_disconnect(now, kind);
    }

    fn record_disconnect(&mut self, now: Instant, kind: ErrorKind) {
        if matches!(kind, ErrorKind::NotListening | ErrorKind::Interrupted) {
            self.disconnected_at.get_or_insert(now);
        }
    }

    /// Returns true if the lease of the runs had certainly not expired at `at`.
    pub(crate) fn had_lease(&self, at: Instant) -> bool {
        let clock_ms = self.clock.map(|clock| clock.at_most(at));
        self.deadline_ms
            .zip(clock_ms)
            .is_some_and(|(deadline_ms, clock_ms)| clock_ms < deadline_ms)
    }

    /// Records a failed poll; returns true if the worker now counts as refusing connections.
    pub(crate) fn poll_failed(&mut self, now: Instant, kind: ErrorKind) -> bool {
        // Another incarnation may answer the next call.
        self.is_confirmed = false;
        self.record_disconnect(now, kind);
        let was_refusing = self.is_refusing;
        if kind == ErrorKind::NotListening {
            let since = *self.refused_since.get_or_insert(now);
            self.is_refusing = now.duration_since(since) >= REFUSED_AFTER;
        } else {
            self.refused_since = None;
            self.is_refusing = false;
        }
        self.is_refusing && !was_refusing
    }

    /// Records that the incarnation has answered a poll.
    pub(crate) fn poll_answered(&mut self, now: Instant) {
        self.answered_at = now;
        self.disconnected_at = None;
        self.refused_since = None;
        self.is_refusing = false;
        self.is_confirmed = true;
    }

    /// Returns true if the worker has not replied for [`UNRESPONSIVE_AFTER`] or refuses connections.
    /// Neither proves that its runs have ended, so they wait for the end of its lease.
    pub(crate) fn is_unresponsive(&self, now: Instant) -> bool {
        self.is_refusing || now.duration_since(self.answered_at) >= UNRESPONSIVE_AFTER
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_gone || self.heartbeat.draining.is_some()
    }
}

/// Records a status unless a later one is known; returns true if it must be reported at once.
pub(crate) fn record_status(
    worker: &mut WorkerIncarnation,
    now: Instant,
    fence: u64,
    reply: LongPollReply,
    log: &Logger,
) -> bool {
    worker.clock = Some(WorkerClock::new(reply.clock_ms, now));
    let known = worker
        .status
        .as_ref()
        .map(|s| (s.fence, worker.status_clock_ms));
    // Replies may arrive out of order, so of two with the same clock the first to arrive is kept.
    if known.is_some_and(|known| (fence, reply.clock_ms) <= known) {
        return false;
    }
    let first_status_ms = *worker.first_status_ms.get_or_insert(reply.clock_ms);
    let mut status = WorkerStatus {
        fence,
        clock_ms: reply.clock_ms,
        is_settled: false,
        running: reply.running,
        finished: reply.ends,
    };
    record_listed(worker, now, &status);
    worker
        .starts
        .reconcile(now, &status, reply.clock_ms, reply.is_partial);
    status.is_settled =
        !reply.is_partial && worker.starts.is_settled(first_status_ms, reply.clock_ms);
    let last_end = |s: &WorkerStatus| s.finished.iter().map(|e| e.number).max();
    // A status that is no longer settled can wait: the owner draws conclusions from settled ones.
    let is_first = worker
        .status
        .as_ref()
        .is_none_or(|s| s.fence != fence || (status.is_settled && !s.is_settled));
    let has_new_end = worker
        .status
        .as_ref()
        .is_none_or(|s| last_end(&status) > last_end(s));
    if has_new_end {
        let known = worker.status.as_ref().and_then(last_end).unwrap_or(0);
        worker.log_lapses(now, &status, known, log);
    }
    let has_reject = !worker.starts.rejected().is_empty();
    worker.status_clock_ms = reply.clock_ms;
    worker.status = Some(status);
    is_first || has_new_end || has_reject
}

/// Records since when each run of a status has been running.
fn record_listed(worker: &mut WorkerIncarnation, now: Instant, status: &WorkerStatus) {
    let known = std::mem::take(&mut worker.listed_since);
    let since = |run: &TaskRun| {
        let listed = known.get(run).copied();
        listed
            .or_else(|| worker.starts.started_at(run))
            .unwrap_or(now)
    };
    let rows = status.running.iter();
    worker.listed_since = rows.map(|row| (row.run.clone(), since(&row.run))).collect();
}
