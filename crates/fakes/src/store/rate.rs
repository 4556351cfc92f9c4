//! A token bucket.

use std::time::Instant;

/// A limit on calls per second, with a burst of one second's worth.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    filled_at: Instant,
}

impl RateLimit {
    /// Creates a full bucket.
    pub fn new(per_second: f64, now: Instant) -> Self {
        Self {
            per_second,
            tokens: per_second,
            filled_at: now,
        }
    }

    /// Takes one token; returns false if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
