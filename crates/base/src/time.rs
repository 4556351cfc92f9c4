//! Conversion of times to whole milliseconds, for messages and stored records.

use std::time::{Duration, SystemTime};

/// Returns a duration in whole milliseconds, rounded down; [`u64::MAX`] if it does not fit.
pub fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a wall-clock time in milliseconds since the Unix epoch, or zero if it is before it.
pub fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, whole_ms)
}
