//! Replies of the store to transactions, and their effects.

use base::prelude::*;
use ports::store::{KeyValue, Revision, StoreReply};
use slog::{error, warn};

use super::{Change, Dirty, RETRY_AFTER};
use crate::JobReply;
use crate::owner::{Effect, Owner};

impl Owner {
    /// Handles the reply to the call of an [`Effect::Store`].
    pub fn store_reply(&mut self, now: Instant, id: u64, reply: Result<StoreReply>) {
        match reply {
            Ok(StoreReply::Done { revision }) => {
                self.commits.responded(now);
                let batch = self.commits.batches.swap_remove(&id);
                for change in batch.into_iter().flat_map(|b| b.changes) {
                    self.on_committed(&change, revision);
                }
                self.advance_ends();
            }
            Ok(StoreReply::Conflicts { current }) => {
                self.commits.responded(now);
                self.resolve(now, id, &current);
                self.advance_ends();
            }
            Ok(other) => {
                error!(self.log, "owner: unexpected reply of the store"; "reply" => ?other);
                self.retry_later(now, id);
            }
            Err(e) => {
                warn!(self.log, "owner: commit failed"; "error" => %e);
                let sent = self.commits.batches.get(&id).map_or(now, |b| b.sent);
                self.commits.failed(sent);
                if e.kind() == ErrorKind::Overloaded {
                    self.on_rejected(now, id);
                } else {
                    self.retry_later(now, id);
                }
            }
        }
    }

    /// Withdraws a transaction that the store rejected, so that its jobs can be refused if the
    /// store stays unavailable.
    ///
    /// If an earlier attempt had an unknown outcome, the transaction is retried instead.
    fn on_rejected(&mut self, now: Instant, id: u64) {
        self.commits.retry_after = Some(now + RETRY_AFTER);
        let batch = self.commits.batches.get(&id);
        if batch.is_some_and(|b| b.is_outcome_unknown) {
            self.retry_later(now, id);
            return;
        }
        let batch = self.commits.batches.swap_remove(&id);
        for change in batch.into_iter().flat_map(|b| b.changes) {
            self.mark_dirty(&change);
        }
    }

    /// Schedules a retry of a transaction of unknown outcome.
    ///
    /// If it was committed, the retry gets a conflict that shows its own writes.
    fn retry_later(&mut self, now: Instant, id: u64) {
        if let Some(batch) = self.commits.batches.get_mut(&id) {
            batch.retry_at = Some(now + RETRY_AFTER);
            batch.is_outcome_unknown = true;
        }
    }

    /// Resolves a conflict: applies the changes that were committed before and marks the others
    /// dirty again.
    fn resolve(&mut self, now: Instant, id: u64, current: &[KeyValue]) {
        let find = |key: &Name| current.iter().find(|item| item.key == *key);
        let owner = find(&self.cfg.owner_key).map(|item| item.revision);
        if owner.is_none() {
            self.effects.push(Effect::KeyMissing);
            self.retry_later(now, id);
            return;
        }
        if owner != Some(self.cfg.owner_revision) {
            self.effects
                .push(Effect::StepDown("the owner's key has changed"));
            return;
        }
        let Some(batch) = self.commits.batches.swap_remove(&id) else {
            return;
        };
        for change in batch.changes {
            let found = find(&change.key);
            match (&change.value, found) {
                (Some(value), Some(item)) if item.value == *value => {
                    self.on_committed(&change, item.revision);
                }
                (None, None) => self.on_committed(&change, 0),
                (_, found) => self.on_not_committed(&change, found.map_or(0, |item| item.revision)),
            }
        }
    }

    /// Applies a change that was committed.
    fn on_committed(&mut self, change: &Change, revision: Revision) {
        match &change.dirty {
            Dirty::Record(id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.stored.in_flight = false;
                    job.stored.record = Some(revision);
                }
                self.on_record_stored(id);
            }
            Dirty::Progress(id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.stored.in_flight = false;
                    job.stored.progress = revision;
                    // Tasks may wait for run numbers that this write reserves.
                    self.is_round_due |= job.reserves_run_numbers_in(change.version);
                    job.stored.stored_version = change.version;
                    if job.stored.version > change.version {
                        self.commits.mark_progress(id);
                    }
                }
                self.on_progress_stored(id);
            }
            Dirty::Vm(vm) => {
                if let Some(worker) = self.workers.get_mut(vm) {
                    worker.stored_record.in_flight = false;
                    worker.stored_record.record = change.vm_record.clone();
                    worker.stored_record.revision =
                        if change.value.is_some() { revision } else { 0 };
                }
                self.is_round_due = true;
            }
            Dirty::Forget(id) => {
                self.jobs.swap_remove(id);
            }
            Dirty::Tombstones(segment) => self.on_tombstones_stored(*segment, change, revision),
        }
    }

    /// Marks a key dirty again whose write did not take effect.
    fn mark_dirty(&mut self, change: &Change) {
        self.commits.dirty.insert(change.dirty.clone());
        match &change.dirty {
            Dirty::Record(id) | Dirty::Progress(id) | Dirty::Forget(id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.stored.in_flight = false;
                }
            }
            Dirty::Vm(vm) => {
                if let Some(worker) = self.workers.get_mut(vm) {
                    worker.stored_record.in_flight = false;
                }
            }
            Dirty::Tombstones(segment) => self.on_tombstones_not_stored(*segment, None),
        }
    }

    /// Marks a key dirty again after a conflict; `revision` is the one in the store.
    fn on_not_committed(&mut self, change: &Change, revision: Revision) {
        self.mark_dirty(change);
        match &change.dirty {
            Dirty::Record(id) | Dirty::Forget(id) => {
                if revision != 0 && matches!(change.dirty, Dirty::Record(_)) {
                    self.on_record_conflict(id);
                }
            }
            Dirty::Progress(id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.stored.progress = revision;
                }
            }
            Dirty::Vm(vm) => {
                if let Some(worker) = self.workers.get_mut(vm) {
                    worker.stored_record.revision = revision;
                }
            }
            Dirty::Tombstones(segment) => {
                self.on_tombstones_not_stored(*segment, Some(revision));
            }
        }
    }

    /// Drops a new job whose key holds another job's record, and steps down: the next owner loads
    /// that record.
    fn on_record_conflict(&mut self, id: &JobId) {
        error!(self.log, "owner: another record has the id of a new job"; "job" => %id);
        self.commits.dirty.swap_remove(&Dirty::Record(id.clone()));
        self.jobs.swap_remove(id);
        self.active.swap_remove(id);
        for token in self.pending_accepts.swap_remove(id).unwrap_or_default() {
            self.effects.push(Effect::Reply(token, JobReply::Unsure));
        }
        self.effects
            .push(Effect::StepDown("the store holds a job that is not known"));
    }

    fn advance_ends(&mut self) {
        let jobs = &self.jobs;
        for worker in self.workers.values_mut() {
            worker.advance_stored(|id, version| {
                jobs.get(id)
                    .is_none_or(|job| job.stored.stored_version >= version)
            });
        }
    }
}
