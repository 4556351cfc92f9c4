//! Times as whole milliseconds, for the wire and for records.

use std::time::{Duration, SystemTime};

/// Returns a duration in whole milliseconds, rounded down.
pub fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a time of day in milliseconds since the Unix epoch; zero before it.
pub fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, whole_ms)
}
