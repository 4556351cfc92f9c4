//! Counts over a sliding window, in buckets of equal width.

use base::prelude::*;

use super::Counts;

/// A ring buffer of counts for the last `width * buckets.len()`.
#[derive(Clone, Debug)]
pub(super) struct Ring {
    width: Duration,
    buckets: Vec<Counts>,
    /// The number of the newest bucket, counted from the start of the meter.
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

    /// Adds to the bucket of a time since the start of the meter.
    pub(super) fn add(&mut self, at: Duration, counts: Counts) {
        self.advance(at);
        let slot = self.slot(self.newest);
        self.buckets[slot].add(counts);
    }

    /// Moves the newest bucket to a time, and clears the buckets that are reused.
    pub(super) fn advance(&mut self, at: Duration) {
        let number = self.bucket_number(at);
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
        self.sum_newest(len.min(self.buckets.len() as u64))
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

    fn sum_newest(&self, len: u64) -> Counts {
        let mut counts = Counts::default();
        for back in 0..len {
            counts.add(self.back(back));
        }
        counts
    }

    /// Returns the counts of the bucket `back` buckets before the newest one.
    fn back(&self, back: u64) -> Counts {
        match self.newest.checked_sub(back) {
            Some(number) => self.buckets[self.slot(number)],
            None => Counts::default(),
        }
    }

    fn bucket_number(&self, at: Duration) -> u64 {
        u64::try_from(at.as_nanos() / self.width.as_nanos()).unwrap_or(u64::MAX)
    }

    fn slot(&self, number: u64) -> usize {
        usize::try_from(number % self.buckets.len() as u64).unwrap_or(0)
    }
}
