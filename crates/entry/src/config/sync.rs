//! Decides when to fetch the tables, and from which process.
//!
//! A watch reports a change at once; a read every second detects it if the watch is stalled or
//! stale. Entries and companions provide the tables while the store does not respond.

use std::net::SocketAddr;

use base::prelude::*;
use ports::store::Revision;

/// Interval at which the tables are read, independently of the watch.
pub(crate) const READ_INTERVAL: Duration = Duration::from_secs(1);

/// How long a watch waits for a change.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time without a response from the store after which other processes are queried.
const STORE_UNRESPONSIVE_AFTER: Duration = Duration::from_secs(2);

/// Shortest pause after a failed watch; each further failure doubles it.
const MIN_WATCH_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a failed watch.
const MAX_WATCH_BACKOFF: Duration = Duration::from_secs(5);

/// A process to query for tables besides the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// An entry.
    Entry(SocketAddr),
    /// A companion.
    Companion(SocketAddr),
}

/// Tracks which revision of the store was seen and when the store last responded.
#[derive(Debug)]
pub(crate) struct TablesSync {
    /// The entries named in the settings.
    seeds: Vec<SocketAddr>,
    seen: Revision,
    needs_full_read: bool,
    last_response: Option<Instant>,
    started: Instant,
    watch_backoff: Duration,
}

impl TablesSync {
    pub(crate) fn new(seeds: Vec<SocketAddr>, now: Instant) -> Self {
        Self {
            seeds,
            seen: 0,
            needs_full_read: true,
            last_response: None,
            started: now,
            watch_backoff: MIN_WATCH_BACKOFF,
        }
    }

    /// Returns the revision after which changes are requested.
    pub(crate) fn seen(&self) -> Revision {
        self.seen
    }

    /// Returns true if the tables must be read in full.
    pub(crate) fn needs_full_read(&self) -> bool {
        self.needs_full_read
    }

    /// Records that the tables were read in full.
    pub(crate) fn record_full_read(&mut self) {
        self.needs_full_read = false;
    }

    /// Records the revision up to which the store has reported changes.
    ///
    /// If the store has compacted older changes, or its revision has gone back, the tables must be
    /// read in full.
    pub(crate) fn record_changes(&mut self, revision: Revision, is_compacted: bool) {
        if is_compacted || revision < self.seen {
            self.needs_full_read = true;
            self.seen = revision;
        }
    }

    /// Records a response from the store, which is at `revision`.
    pub(crate) fn record_response(&mut self, now: Instant, revision: Revision) {
        self.last_response = Some(now);
        self.seen = self.seen.max(revision);
    }

    /// Records the end of a watch and returns how long to wait before the next one.
    pub(crate) fn watch_ended(&mut self, is_ok: bool) -> Duration {
        if is_ok {
            self.watch_backoff = MIN_WATCH_BACKOFF;
            return Duration::ZERO;
        }
        let pause = self.watch_backoff;
        self.watch_backoff = (pause * 2).min(MAX_WATCH_BACKOFF);
        pause
    }

    /// Returns the time since the last response from the store, or `None` before the first.
    pub(crate) fn store_age(&self, now: Instant) -> Option<Duration> {
        self.last_response
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns the processes to query for tables; none while the store responds.
    pub(crate) fn peers_to_query(&self, now: Instant) -> Vec<Source> {
        let since = self.last_response.unwrap_or(self.started);
        if now.saturating_duration_since(since) < STORE_UNRESPONSIVE_AFTER {
            return Vec::new();
        }
        self.seeds.iter().copied().map(Source::Entry).collect()
    }
}
