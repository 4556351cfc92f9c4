//! Counts over a sliding time, in buckets of one width.

use base::prelude::*;

use super::Counts;

/// Buckets for the time from now back to `width * buckets.len()`.
#[derive(Clone, Debug)]
pub(super) struct Ring {
    width: Duration,
    buckets: Vec<Counts>,
    /// The number of the newest bucket, counted from the start of time.
    newest: u64,
}

impl Ring {
    pub(super) fn new(width: Duration, len: usize) -> Self {
        Self {
            width,
            buckets: vec![Counts::default(); len],
            newest: 0,
        }
    }

    /// Adds to the bucket of a time, given since the start of time.
    pub(super) fn add(&mut self, at: Duration, counts: Counts) {
        self.advance(at);
        let slot = self.slot(self.newest);
        self.buckets[slot].add(counts);
    }

    /// Empties the buckets that time has passed over.
    pub(super) fn advance(&mut self, at: Duration) {
        let number = self.number(at);
        let passed = number.saturating_sub(self.newest);
        let passed = passed.min(self.buckets.len() as u64);
        for back in 0..passed {
            let slot = self.slot(number - back);
            self.buckets[slot] = Counts::default();
        }
        self.newest = self.newest.max(number);
    }

    /// Sums the buckets of the last `window`, the newest included.
    pub(super) fn sum(&self, window: Duration) -> Counts {
        let len = window.as_nanos().div_ceil(self.width.as_nanos());
        let len = u64::try_from(len).unwrap_or(u64::MAX);
        self.last(len.min(self.buckets.len() as u64))
    }

    /// Returns sums of `per_point` buckets each, oldest first.
    pub(super) fn series(&self, per_point: u64) -> Vec<Counts> {
        let points = self.buckets.len() as u64 / per_point;
        let point = |back: u64| {
            let mut counts = Counts::default();
            for bucket in 0..per_point {
                counts.add(self.back(back * per_point + bucket));
            }
            counts
        };
        (0..points).rev().map(point).collect()
    }

    fn last(&self, len: u64) -> Counts {
        let mut counts = Counts::default();
        for back in 0..len {
            counts.add(self.back(back));
        }
        counts
    }

    /// Returns the bucket that lies `back` buckets before the newest.
    fn back(&self, back: u64) -> Counts {
        match self.newest.checked_sub(back) {
            Some(number) => self.buckets[self.slot(number)],
            None => Counts::default(),
        }
    }

    fn number(&self, at: Duration) -> u64 {
        u64::try_from(at.as_nanos() / self.width.as_nanos()).unwrap_or(u64::MAX)
    }

    fn slot(&self, number: u64) -> usize {
        usize::try_from(number % self.buckets.len() as u64).unwrap_or(0)
    }
}
