//! The retry budget of a route: retries as a share of first attempts.

/// How many retries may accumulate while nothing fails.
const MAX_AVAILABLE: f64 = 10.0;

/// Allows a retry for every `1 / share` first attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self {
            available: MAX_AVAILABLE,
        }
    }

    /// Counts a first attempt.
    pub(crate) fn first_attempt(&mut self, share: f64) {
        self.available = (self.available + share).min(MAX_AVAILABLE);
    }

    /// Takes a retry from the budget; returns false if none is left.
    pub(crate) fn take(&mut self) -> bool {
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
