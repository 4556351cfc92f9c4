//! The clock port: real time in production, advanced by hand in tests.

use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};

/// A source of time.
pub trait Clock: Send + Sync + fmt::Debug {
    /// Returns the monotonic time of this process.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for timestamps in logs and records; it may be stepped.
    fn wall(&self) -> SystemTime;

    /// Returns the time since the VM was booted; it counts suspension and is never stepped.
    fn boot_time(&self) -> Duration;
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

    fn boot_time(&self) -> Duration {
        // Cannot fail: this clock is never negative.
        clock_gettime(ClockId::Boottime)
            .try_into()
            .unwrap_or_default()
    }
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    readings: Mutex<Readings>,
}

/// What the clocks show, besides the instant at which they were created.
#[derive(Clone, Copy, Debug)]
struct Readings {
    elapsed: Duration,
    boot_time: Duration,
    wall: SystemTime,
}

impl Readings {
    fn suspend(&mut self, by: Duration) {
        self.boot_time += by;
        self.wall += by;
    }
}

impl ManualClock {
    /// Creates a clock that starts at the current instant, with a wall time of the Unix epoch.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            readings: Mutex::new(Readings {
                elapsed: Duration::ZERO,
                boot_time: Duration::ZERO,
                wall: SystemTime::UNIX_EPOCH,
            }),
        }
    }

    /// Moves the clock forward by the given duration.
    pub fn advance(&self, by: Duration) {
        let mut readings = self.readings();
        readings.elapsed += by;
        readings.suspend(by);
    }

    /// Moves the clock as during a suspension of the VM: the monotonic time stands still.
    pub fn suspend(&self, by: Duration) {
        self.readings().suspend(by);
    }

    /// Steps the wall clock alone.
    pub fn set_wall(&self, wall: SystemTime) {
        self.readings().wall = wall;
    }

    /// Returns by how much the clock has been advanced in total.
    pub fn elapsed(&self) -> Duration {
        self.readings().elapsed
    }

    fn readings(&self) -> MutexGuard<'_, Readings> {
        self.readings.lock().unwrap_or_else(PoisonError::into_inner)
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
        self.readings().wall
    }

    fn boot_time(&self) -> Duration {
        self.readings().boot_time
    }
}
