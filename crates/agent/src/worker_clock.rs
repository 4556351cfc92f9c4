//! The worker's clock, as far as the companion can tell it.

use base::prelude::*;

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    clock_ms: u64,
    read_at: Instant,
}

impl WorkerClock {
    /// Notes a reading that arrived at `now`.
    pub(crate) fn new(clock_ms: u64, now: Instant) -> Self {
        Self {
            clock_ms,
            read_at: now,
        }
    }

    /// Returns what the clock shows at least at `now`, in milliseconds.
    ///
    /// The reading may have been on its way for long, and our clock may have stood still since:
    /// both make the result too early, so that deadlines made from it are safe.
    pub(crate) fn at_least(&self, now: Instant) -> u64 {
        let since = now.duration_since(self.read_at).as_millis();
        // The worker's clock may be slower than ours.
        let since = u64::try_from(since).unwrap_or(u64::MAX) / 100 * 98;
        self.clock_ms + since
    }
}
