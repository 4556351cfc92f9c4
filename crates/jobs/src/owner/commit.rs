//! Writes to the store, in groups, each fenced by the owner's key.

mod changes;
mod replies;

use base::prelude::*;
use ports::store::{Expect, KeyWrite, MAX_TXN_ROWS, Revision, StoreCall};
use slog::error;

use super::callers::{STORE_AWAY, STORE_AWAY_RETRY};
use super::{Effect, Owner};
use crate::WorkerRecord;

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
    /// Creates a change of one key; it is deleted if there is no value.
    fn new(dirty: &Dirty, key: String, expect: Expect, value: Option<Arc<[u8]>>) -> Self {
        Self {
            dirty: dirty.clone(),
            key: key.into(),
            expect,
            value,
            version: 0,
            vm_record: None,
            also_delete: None,
        }
    }

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
}

fn expect_revision(revision: Revision) -> Expect {
    if revision == 0 {
        Expect::Absent
    } else {
        Expect::Revision(revision)
    }
}
