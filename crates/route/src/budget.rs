//! The retry budget of a route: retries as a share of first attempts.

/// How many retries may accumulate while nothing fails.
const MAX_SAVED: f64 = 10.0;

/// Allows a retry for every `1 / share` first attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self { saved: MAX_SAVED }
    }

    /// Counts a first attempt.
    pub(crate) fn first_attempt(&mut self, share: f64) {
        self.saved = (self.saved + share).min(MAX_SAVED);
    }

    /// Takes a retry from the budget; returns false if none is left.
    pub(crate) fn take(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
