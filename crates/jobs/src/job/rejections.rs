//! Starts that are rejected again and again.

use base::prelude::*;

/// The shortest wait after a rejection.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// The longest.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The part of the time since the first rejection for which the next start waits.
const WAIT_PART: u32 = 128;

/// Rejections in a row.
///
/// Each start waits for a part of the time since the first one: the waits become longer for as long as
/// the rejections last, and what was rejected starts soon after they end, however long they lasted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rejections {
    since: Instant,
    until: Instant,
}

impl Rejections {
    /// Returns the rejections with one more; those of long ago do not count.
    pub(crate) fn add(before: Option<Self>, now: Instant) -> Self {
        let recent = before.filter(|b| now < b.until + MAX_WAIT);
        let since = recent.map_or(now, |b| b.since);
        let part = now.saturating_duration_since(since) / WAIT_PART;
        Self {
            since,
            until: now + part.clamp(MIN_WAIT, MAX_WAIT),
        }
    }

    /// Returns until when the next start waits.
    pub(crate) fn until(&self) -> Instant {
        self.until
    }
}
