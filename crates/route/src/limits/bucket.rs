//! A token bucket whose rate is a share that may change at any time.

use base::prelude::*;
use tables::RateLimit;

/// A token bucket that refills at a share of a rate.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// The fill level, 0 to 1, so that it is kept when the share changes.
    fill: f64,
    at: Instant,
}

impl Bucket {
    /// Creates an empty bucket, so that an entry that starts does not admit a burst.
    pub fn new(now: Instant) -> Self {
        Self { fill: 0.0, at: now }
    }

    /// Takes a token, or returns how long to wait for one.
    ///
    /// # Errors
    ///
    /// Returns the time until there is a token at the current share.
    pub fn take(&mut self, now: Instant, rate: RateLimit, share: f64) -> Result<(), Duration> {
        let per_second = rate.per_second * share;
        let size = (f64::from(rate.burst) * share).max(1.0);
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let tokens = (self.fill * size + elapsed * per_second).min(size);
        if tokens >= 1.0 {
            self.fill = (tokens - 1.0) / size;
            return Ok(());
        }
        self.fill = tokens / size;
        let wait = (1.0 - tokens) / per_second;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
