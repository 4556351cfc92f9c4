//! The clock port: real time in production, advanced by hand in tests.

use std::fmt;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// A source of time.
pub trait Clock: Send + Sync + fmt::Debug {
    /// Returns the monotonic time of this process.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for timestamps in logs and records.
    fn wall(&self) -> SystemTime;
}

/// The system clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when [`ManualClock::advance`] is called.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock that starts at the current instant, with a wall time of the Unix epoch.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward by the given duration.
    pub fn advance(&self, by: Duration) {
        let mut elapsed = self
            .elapsed
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *elapsed += by;
    }

    /// Returns by how much the clock has been advanced in total.
    pub fn elapsed(&self) -> Duration {
        *self
            .elapsed
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
