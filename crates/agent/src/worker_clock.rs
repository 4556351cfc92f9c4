//! Estimates of the worker's clock.

use base::prelude::*;

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    clock_ms: u64,
    read_at: Instant,
}

impl WorkerClock {
    /// Records a reading that arrived at `now`.
    pub(crate) fn new(clock_ms: u64, now: Instant) -> Self {
        Self {
            clock_ms,
            read_at: now,
        }
    }

    /// Returns a lower bound of the worker's clock at `now`, in milliseconds.
    ///
    /// Network delay of the reading, or a pause of the local clock since, only lowers the result,
    /// so that deadlines computed from it never come too late.
    pub(crate) fn at_least(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.read_at).as_millis();
        // The worker's clock may run up to 2 % slower than the local one.
        let since = u64::try_from(since).unwrap_or(u64::MAX) / 100 * 98;
        self.clock_ms.saturating_add(since)
    }

    /// Returns an upper bound of the worker's clock at `at`, in milliseconds, if the reading was not
    /// delayed by more than the drift since.
    pub(crate) fn at_most(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.read_at);
        let since = base::whole_ms(since.mul_f64(1.02));
        self.clock_ms.saturating_add(since)
    }
}
