//! The time that a test's own thread computes, whatever else the machine does.

use base::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Returns the processor time of this thread.
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
