//! Decides when to ask whom for the tables.
//!
//! A watch tells of a change at once; a read each second finds it where the watch is silent or
//! stale; entries and companions tell it where the store can't.

use std::net::SocketAddr;

use base::prelude::*;
use ports::store::Revision;

/// How often the tables are read, whatever the watch says.
pub(crate) const READ_EVERY: Duration = Duration::from_secs(1);

/// How long a watch waits for a change.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How long the store may be silent before others are asked.
const SILENCE: Duration = Duration::from_secs(2);

const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Whom to ask for tables besides the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// An entry.
    Entry(SocketAddr),
    /// A companion.
    Companion(SocketAddr),
}

/// What is known of the store and of others' generations.
#[derive(Debug)]
pub(crate) struct Sync {
    /// The entries named in the settings.
    seeds: Vec<SocketAddr>,
    seen: Revision,
    must_read: bool,
    answered: Option<Instant>,
    started: Instant,
    watch_pause: Duration,
}

impl Sync {
    pub(crate) fn new(seeds: Vec<SocketAddr>, now: Instant) -> Self {
        Self {
            seeds,
            seen: 0,
            must_read: true,
            answered: None,
            started: now,
            watch_pause: FIRST_PAUSE,
        }
    }

    /// Returns the revision after which changes are asked for.
    pub(crate) fn seen(&self) -> Revision {
        self.seen
    }

    /// Tells whether the tables have to be read whole.
    pub(crate) fn must_read(&self) -> bool {
        self.must_read
    }

    /// Notes that the tables were read whole.
    pub(crate) fn was_read(&mut self) {
        self.must_read = false;
    }

    /// Notes the revision that a store told changes up to.
    ///
    /// Where the store forgot older changes, or counts from a lower revision than it did, the
    /// tables have to be read whole.
    pub(crate) fn changes_told(&mut self, revision: Revision, is_compacted: bool) {
        if is_compacted || revision < self.seen {
            self.must_read = true;
            self.seen = revision;
        }
    }

    /// Notes an answer of the store that shows it at `revision`.
    pub(crate) fn store_answered(&mut self, now: Instant, revision: Revision) {
        self.answered = Some(now);
        self.seen = self.seen.max(revision);
    }

    /// Returns how long to wait before the next watch.
    pub(crate) fn watch_ended(&mut self, is_ok: bool) -> Duration {
        if is_ok {
            self.watch_pause = FIRST_PAUSE;
            return Duration::ZERO;
        }
        let pause = self.watch_pause;
        self.watch_pause = (pause * 2).min(MAX_PAUSE);
        pause
    }

    /// Returns how long ago the store answered last.
    pub(crate) fn store_age(&self, now: Instant) -> Option<Duration> {
        self.answered.map(|at| now.saturating_duration_since(at))
    }

    /// Returns whom to ask because the store is silent.
    pub(crate) fn ask_for_lack_of_store(&self, now: Instant) -> Vec<Source> {
        let since = self.answered.unwrap_or(self.started);
        if now.saturating_duration_since(since) < SILENCE {
            return Vec::new();
        }
        self.seeds.iter().copied().map(Source::Entry).collect()
    }
}
