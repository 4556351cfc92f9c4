//! The numbers under which a job's runs may be ordered.
//!
//! No number is used twice, whoever owns the jobs. Each epoch has a range of its own; before an owner
//! leaves it, it reserves further numbers in the store, so that its successors start after them.

use base::prelude::*;

use super::Job;

/// How many numbers belong to an epoch.
const PER_EPOCH: u64 = 1024;

/// How many numbers are reserved at a time.
const RESERVED: u64 = 1024;

/// The number of unused numbers below which more are reserved, so that no run waits for it.
const RESERVE_BELOW: u64 = 256;

/// The reserved run numbers of a job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunNumbers {
    /// The highest number that a previous owner may have used.
    inherited: Attempt,
    /// The highest number that the store reserves or will reserve.
    highest: Attempt,
    /// The highest number that it reserved before.
    stored: Attempt,
    /// The version of the job's progress that reserves `highest`.
    version: u64,
}

impl RunNumbers {
    /// Returns the numbers after those that a previous owner reserved.
    pub(super) fn after(reserved: Attempt) -> Self {
        Self {
            inherited: reserved,
            highest: reserved,
            stored: reserved,
            version: 0,
        }
    }

    /// Returns the highest number that the job's progress reserves.
    pub(super) fn reserved(&self) -> Attempt {
        self.highest
    }
}

impl Job {
    /// Returns the number of the next run of a task whose highest one so far is `last`; `None` until more
    /// numbers are reserved in the store.
    pub(crate) fn next_run_number(&self, epoch: Epoch, last: Attempt) -> Option<Attempt> {
        let next = self.first_unused(epoch, last);
        (next <= self.usable(epoch)).then_some(next)
    }

    /// Reserves more numbers if few are left after `last`; returns true if they have to be stored.
    pub(crate) fn reserve_run_numbers(&mut self, epoch: Epoch, last: Attempt) -> bool {
        let next = self.first_unused(epoch, last);
        let usable = self.usable(epoch);
        let is_stored = self.stored.stored_version >= self.run_numbers.version;
        if !is_stored || usable.0 >= next.0.saturating_add(RESERVE_BELOW) {
            return false;
        }
        let highest = Attempt(usable.max(next).0.saturating_add(RESERVED));
        self.mark_changed();
        self.run_numbers = RunNumbers {
            highest,
            stored: self.run_numbers.highest,
            version: self.stored.version,
            ..self.run_numbers
        };
        true
    }

    /// Returns true if a version of the progress, not stored yet, reserves run numbers.
    pub(crate) fn reserves_run_numbers_in(&self, version: u64) -> bool {
        let reserving = self.run_numbers.version;
        self.stored.stored_version < reserving && reserving <= version
    }

    fn first_unused(&self, epoch: Epoch, last: Attempt) -> Attempt {
        let before = epoch.0.saturating_sub(1).saturating_mul(PER_EPOCH);
        last.max(Attempt(before))
            .max(self.run_numbers.inherited)
            .next()
    }

    /// Returns the highest number that no other owner uses.
    fn usable(&self, epoch: Epoch) -> Attempt {
        let numbers = &self.run_numbers;
        let own = Attempt(epoch.0.saturating_mul(PER_EPOCH));
        let reserved = if self.stored.stored_version >= numbers.version {
            numbers.highest
        } else {
            numbers.stored
        };
        own.max(reserved)
    }
}
