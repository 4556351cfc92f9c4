//! Writes to the store, in groups, each fenced by the owner's key.

use base::prelude::*;
use ports::store::{Expect, KeyValue, KeyWrite, MAX_TXN_ROWS, Revision, StoreCall, StoreReply};
use slog::{error, warn};

use super::callers::{STORE_AWAY, STORE_AWAY_RETRY};
use super::takeover::{JOB_PREFIX, PROGRESS_PREFIX, VM_PREFIX};
use super::{Effect, Owner};
use crate::progress::encode;
use crate::{Told, WorkerRecord};

/// The most rows of one transaction beside the one that expects the owner's key.
const MAX_ROWS: usize = MAX_TXN_ROWS - 1;

/// The most rows that one change takes.
const MAX_CHANGE_ROWS: usize = 4;

/// How many transactions are made at once.
const MAX_IN_FLIGHT: usize = 3;

/// How long to wait before a transaction is made again.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// How long the store may fail before new jobs are refused.
const AWAY_AFTER: Duration = Duration::from_millis(400);

/// A key that has to be written or deleted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Dirty {
    Record(JobId),
    Progress(JobId),
    Vm(Name),
    Forget(JobId),
}

/// A key of a transaction.
#[derive(Clone, Debug)]
struct Change {
    dirty: Dirty,
    key: Name,
    expect: Expect,
    value: Option<Arc<[u8]>>,
    /// The version of the progress that is written.
    version: u64,
    /// What is written about a worker.
    vm_record: Option<WorkerRecord>,
    /// Another key that goes with this one.
    also_delete: Option<(Name, Expect)>,
}

impl Change {
    /// Returns how many rows of a transaction the change takes.
    fn rows(&self) -> usize {
        2 + 2 * usize::from(self.also_delete.is_some())
    }
}

#[derive(Clone, Debug)]
struct Batch {
    changes: Vec<Change>,
    /// When to make the transaction again, while it is not being made.
    retry_at: Option<Instant>,
}

/// The writes that wait and those that are on their way.
#[derive(Debug, Default)]
pub(super) struct Commits {
    dirty: IndexSet<Dirty>,
    batches: IndexMap<u64, Batch>,
    next: u64,
    failing_since: Option<Instant>,
}

impl Commits {
    pub(super) fn mark_record(&mut self, id: &JobId) {
        self.dirty.insert(Dirty::Record(id.clone()));
    }

    pub(super) fn mark_progress(&mut self, id: &JobId) {
        self.dirty.insert(Dirty::Progress(id.clone()));
    }

    pub(super) fn mark_vm(&mut self, vm: &Name) {
        self.dirty.insert(Dirty::Vm(Arc::clone(vm)));
    }

    pub(super) fn mark_forget(&mut self, id: &JobId) {
        self.dirty.insert(Dirty::Forget(id.clone()));
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        self.batches.values().filter_map(|b| b.retry_at).min()
    }

    /// Tells whether the store has failed for so long that it counts as out of reach.
    pub(super) fn is_store_away(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.duration_since(since) >= AWAY_AFTER)
    }

    /// Takes back a record that no transaction has carried yet; tells whether it was there.
    fn withdraw_record(&mut self, id: &JobId) -> bool {
        self.dirty.swap_remove(&Dirty::Record(id.clone()))
    }
}

impl Owner {
    /// Notes whether the store answers other calls of this process.
    pub fn store_reached(&mut self, now: Instant, is_reached: bool) {
        if is_reached {
            self.commits.failing_since = None;
        } else {
            self.commits.failing_since.get_or_insert(now);
        }
    }

    /// Refuses jobs whose record was never sent, while the store is out of reach.
    pub(super) fn refuse_unsent(&mut self) {
        let ids: Vec<JobId> = self.accepting.keys().cloned().collect();
        for id in ids {
            if !self.commits.withdraw_record(&id) {
                continue;
            }
            self.jobs.swap_remove(&id);
            self.active.swap_remove(&id);
            for token in self.accepting.swap_remove(&id).unwrap_or_default() {
                self.refuse(token, &id, STORE_AWAY, STORE_AWAY_RETRY);
            }
        }
    }

    /// Makes transactions of what has changed.
    pub(super) fn commit(&mut self, now: Instant) {
        if self.commits.is_store_away(now) {
            self.refuse_unsent();
        }
        self.retry(now);
        while self.commits.batches.len() < MAX_IN_FLIGHT {
            let changes = self.take_changes();
            if changes.is_empty() {
                return;
            }
            let id = self.commits.next;
            self.commits.next += 1;
            let call = self.transaction(&changes);
            self.commits.batches.insert(
                id,
                Batch {
                    changes,
                    retry_at: None,
                },
            );
            self.effects.push(Effect::Store(id, call));
        }
    }

    fn retry(&mut self, now: Instant) {
        let due = |b: &Batch| b.retry_at.is_some_and(|at| at <= now);
        let ids = self.commits.batches.iter().filter(|(_, b)| due(b));
        for id in ids.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(batch) = self.commits.batches.get_mut(&id) else {
                continue;
            };
            batch.retry_at = None;
            let changes = batch.changes.clone();
            let call = self.transaction(&changes);
            self.effects.push(Effect::Store(id, call));
        }
    }

    fn take_changes(&mut self) -> Vec<Change> {
        let waiting: Vec<Dirty> = self.commits.dirty.iter().cloned().collect();
        let mut changes = Vec::new();
        let mut rows = 0;
        for dirty in waiting {
            if rows + MAX_CHANGE_ROWS > MAX_ROWS {
                break;
            }
            if matches!(&dirty, Dirty::Vm(vm) if self.is_vm_stored(vm)) {
                self.commits.dirty.shift_remove(&dirty);
                continue;
            }
            match self.change(&dirty) {
                Ok(Some(change)) => {
                    self.commits.dirty.shift_remove(&dirty);
                    rows += change.rows();
                    changes.push(change);
                }
                // The key is being written; it stays marked.
                Ok(None) => {}
                Err(e) => {
                    error!(self.log, "owner: record not stored"; "error" => %e);
                    self.commits.dirty.shift_remove(&dirty);
                }
            }
        }
        changes
    }

    /// Returns how a key has to change, unless a write of it is on its way.
    fn change(&mut self, dirty: &Dirty) -> Result<Option<Change>> {
        match dirty {
            Dirty::Record(id) => self.record_change(dirty, id),
            Dirty::Progress(id) => self.progress_change(dirty, id),
            Dirty::Vm(vm) => self.vm_change(dirty, vm),
            Dirty::Forget(id) => Ok(self.forget_change(dirty, id)),
        }
    }

    fn record_change(&mut self, dirty: &Dirty, id: &JobId) -> Result<Option<Change>> {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.stored.in_flight) else {
            return Ok(None);
        };
        job.stored.in_flight = true;
        Ok(Some(Change {
            dirty: dirty.clone(),
            key: format!("{JOB_PREFIX}{id}").into(),
            expect: Expect::Absent,
            value: Some(encode(&job.record)?),
            version: 0,
            vm_record: None,
            also_delete: None,
        }))
    }

    fn progress_change(&mut self, dirty: &Dirty, id: &JobId) -> Result<Option<Change>> {
        let is_free = |j: &&mut crate::Job| !j.stored.in_flight && j.stored.record.is_some();
        let Some(job) = self.jobs.get_mut(id).filter(is_free) else {
            return Ok(None);
        };
        job.stored.in_flight = true;
        Ok(Some(Change {
            dirty: dirty.clone(),
            key: format!("{PROGRESS_PREFIX}{id}").into(),
            expect: expect_revision(job.stored.progress),
            value: Some(encode(&job.progress())?),
            version: job.stored.version,
            vm_record: None,
            also_delete: None,
        }))
    }

    fn vm_change(&mut self, dirty: &Dirty, vm: &Name) -> Result<Option<Change>> {
        let record = self.vm_record(vm);
        let is_free = |w: &&mut super::Worker| !w.roster.in_flight;
        let Some(worker) = self.workers.get_mut(vm).filter(is_free) else {
            return Ok(None);
        };
        worker.roster.in_flight = true;
        Ok(Some(Change {
            dirty: dirty.clone(),
            key: format!("{VM_PREFIX}{vm}").into(),
            expect: expect_revision(worker.roster.revision),
            value: record.as_ref().map(encode).transpose()?,
            version: 0,
            vm_record: record,
            also_delete: None,
        }))
    }

    /// Returns what the store should say of a VM: the life that may run tasks there.
    fn vm_record(&self, vm: &Name) -> Option<WorkerRecord> {
        let worker = self.workers.get(vm)?;
        if worker.inherited_until.is_some() && !worker.is_adopted {
            return worker.roster.record.clone();
        }
        let life = worker.life.as_ref().filter(|l| !l.is_gone)?;
        worker.lease_from?;
        Some(WorkerRecord {
            id: life.id.clone(),
            born: life.born,
        })
    }

    /// Tells whether the store says of a VM what it should.
    fn is_vm_stored(&self, vm: &Name) -> bool {
        let Some(worker) = self.workers.get(vm) else {
            return true;
        };
        !worker.roster.in_flight && worker.roster.record == self.vm_record(vm)
    }

    /// Deletes a job's record and progress together: a record alone would run again.
    fn forget_change(&mut self, dirty: &Dirty, id: &JobId) -> Option<Change> {
        let job = self.jobs.get_mut(id).filter(|j| !j.stored.in_flight)?;
        job.stored.in_flight = true;
        let progress = (job.stored.progress != 0).then(|| {
            let key = format!("{PROGRESS_PREFIX}{id}").into();
            (key, Expect::Revision(job.stored.progress))
        });
        Some(Change {
            dirty: dirty.clone(),
            key: format!("{JOB_PREFIX}{id}").into(),
            expect: expect_revision(job.stored.record.unwrap_or(0)),
            value: None,
            version: 0,
            vm_record: None,
            also_delete: progress,
        })
    }

    fn transaction(&self, changes: &[Change]) -> StoreCall {
        let fence = (
            Arc::clone(&self.cfg.owner_key),
            Expect::Revision(self.cfg.owner_revision),
        );
        let also = changes.iter().filter_map(|c| c.also_delete.clone());
        let keys = changes.iter().map(|c| (Arc::clone(&c.key), c.expect));
        let keys = keys.chain(also.clone());
        let writes = changes.iter().filter_map(|c| {
            let value = c.value.clone()?;
            Some(KeyWrite {
                key: Arc::clone(&c.key),
                value,
                lease: None,
            })
        });
        let gone = changes.iter().filter(|c| c.value.is_none());
        StoreCall::Txn {
            expected: std::iter::once(fence).chain(keys).collect(),
            writes: writes.collect(),
            deletes: gone
                .map(|c| Arc::clone(&c.key))
                .chain(also.map(|(key, _)| key))
                .collect(),
        }
    }

    /// Takes the reply to a call of [`Effect::Store`].
    pub fn store_reply(&mut self, now: Instant, id: u64, reply: Result<StoreReply>) {
        match reply {
            Ok(StoreReply::Done { revision }) => {
                self.commits.failing_since = None;
                let batch = self.commits.batches.swap_remove(&id);
                for change in batch.into_iter().flat_map(|b| b.changes) {
                    self.changed(&change, revision);
                }
                self.advance_ends();
            }
            Ok(StoreReply::Conflicts { current }) => {
                self.commits.failing_since = None;
                self.resolve(id, &current);
                self.advance_ends();
            }
            Ok(other) => {
                error!(self.log, "owner: unexpected reply of the store"; "reply" => ?other);
                self.retry_later(now, id);
            }
            Err(e) => {
                warn!(self.log, "owner: commit failed"; "error" => %e);
                self.commits.failing_since.get_or_insert(now);
                self.retry_later(now, id);
            }
        }
    }

    /// Leaves a transaction of unknown outcome to be made again.
    ///
    /// If it was carried out, then the next try meets a conflict with what it wrote.
    fn retry_later(&mut self, now: Instant, id: u64) {
        if let Some(batch) = self.commits.batches.get_mut(&id) {
            batch.retry_at = Some(now + RETRY_AFTER);
        }
    }

    /// Settles a transaction that met something unexpected.
    fn resolve(&mut self, id: u64, current: &[KeyValue]) {
        let find = |key: &Name| current.iter().find(|item| item.key == *key);
        let owner = find(&self.cfg.owner_key).map(|item| item.revision);
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
                    self.changed(&change, item.revision);
                }
                (None, None) => self.changed(&change, 0),
                (_, found) => self.unchanged(&change, found.map_or(0, |item| item.revision)),
            }
        }
    }

    /// Takes note that a key was written or deleted.
    fn changed(&mut self, change: &Change, revision: Revision) {
        match &change.dirty {
            Dirty::Record(id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.stored.in_flight = false;
                    job.stored.record = Some(revision);
                }
                self.accepted(id);
            }
            Dirty::Progress(id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.stored.in_flight = false;
                    job.stored.progress = revision;
                    job.stored.stored_version = change.version;
                    if job.stored.version > change.version {
                        self.commits.mark_progress(id);
                    }
                }
                self.cancelled(id);
            }
            Dirty::Vm(vm) => {
                if let Some(worker) = self.workers.get_mut(vm) {
                    worker.roster.in_flight = false;
                    worker.roster.record = change.vm_record.clone();
                    worker.roster.revision = if change.value.is_some() { revision } else { 0 };
                }
                self.is_round_due = true;
            }
            Dirty::Forget(id) => {
                self.jobs.swap_remove(id);
            }
        }
    }

    /// Marks a key again whose write did not take effect.
    fn unchanged(&mut self, change: &Change, revision: Revision) {
        self.commits.dirty.insert(change.dirty.clone());
        match &change.dirty {
            Dirty::Record(id) | Dirty::Forget(id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.stored.in_flight = false;
                }
                if revision != 0 && matches!(change.dirty, Dirty::Record(_)) {
                    self.record_taken(id);
                }
            }
            Dirty::Progress(id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.stored.in_flight = false;
                    job.stored.progress = revision;
                }
            }
            Dirty::Vm(vm) => {
                if let Some(worker) = self.workers.get_mut(vm) {
                    worker.roster.in_flight = false;
                    worker.roster.revision = revision;
                }
            }
        }
    }

    /// Gives up a record whose key holds another job: the next owner reads that one.
    fn record_taken(&mut self, id: &JobId) {
        error!(self.log, "owner: another record has the id of a new job"; "job" => %id);
        self.commits.dirty.swap_remove(&Dirty::Record(id.clone()));
        self.jobs.swap_remove(id);
        self.active.swap_remove(id);
        for token in self.accepting.swap_remove(id).unwrap_or_default() {
            self.effects.push(Effect::Tell(token, Told::Unsure));
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

fn expect_revision(revision: Revision) -> Expect {
    if revision == 0 {
        Expect::Absent
    } else {
        Expect::Revision(revision)
    }
}
