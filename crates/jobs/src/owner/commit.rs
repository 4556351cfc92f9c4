//! Batched writes to the store, each transaction fenced by the owner's key.

mod changes;
mod replies;

use base::prelude::*;
use ports::store::{Expect, KeyWrite, MAX_TXN_ROWS, Revision, StoreCall};
use slog::error;

use super::callers::{STORE_UNAVAILABLE, STORE_UNAVAILABLE_RETRY};
use super::{Effect, Owner};
use crate::WorkerRecord;

/// The maximum rows of a transaction, less the row that expects the owner's key.
const MAX_ROWS: usize = MAX_TXN_ROWS - 1;

/// The maximum rows of one change.
const MAX_CHANGE_ROWS: usize = 4;

/// The maximum number of concurrent transactions.
const MAX_IN_FLIGHT: usize = 3;

/// The delay before a transaction is retried.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// How long the store may fail before it counts as unavailable and new jobs are refused.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(400);

/// A key that has to be written or deleted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Dirty {
    Record(JobId),
    Progress(JobId),
    Vm(Name),
    Forget(JobId),
    /// A segment of tombstones.
    Tombstones(u64),
}

/// A pending write or deletion of one key.
#[derive(Clone, Debug)]
pub(super) struct Change {
    dirty: Dirty,
    key: Name,
    expect: Expect,
    pub(super) value: Option<Arc<[u8]>>,
    /// The version of the job's progress in `value`, or the number of tombstones.
    pub(super) version: u64,
    /// The worker record in `value`.
    vm_record: Option<WorkerRecord>,
    /// Another key that is deleted in the same transaction.
    also_delete: Option<(Name, Expect)>,
}

impl Change {
    /// Creates a change of one key; without a value, the key is deleted.
    pub(super) fn new(
        dirty: &Dirty,
        key: String,
        expect: Expect,
        value: Option<Arc<[u8]>>,
    ) -> Self {
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

    /// Returns how many rows of a transaction the change needs.
    fn rows(&self) -> usize {
        2 + 2 * usize::from(self.also_delete.is_some())
    }
}

#[derive(Clone, Debug)]
struct Batch {
    changes: Vec<Change>,
    /// When the latest attempt was sent.
    sent: Instant,
    /// When to retry the transaction; `None` while a call is in flight.
    retry_at: Option<Instant>,
    /// Whether an attempt may have taken effect although its outcome is not known.
    is_outcome_unknown: bool,
}

/// The pending writes and those in flight.
#[derive(Debug, Default)]
pub(super) struct Commits {
    dirty: IndexSet<Dirty>,
    batches: IndexMap<u64, Batch>,
    next: u64,
    failing_since: Option<Instant>,
    /// When the store last responded to a call of this process.
    last_response: Option<Instant>,
    /// No new transaction is sent before this time.
    retry_after: Option<Instant>,
    /// When the first of the writes is due that wait since the job was written shortly before.
    next_write: Option<Instant>,
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

    pub(super) fn mark_tombstones(&mut self, segment: u64) {
        self.dirty.insert(Dirty::Tombstones(segment));
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        let retries = self.batches.values().filter_map(|b| b.retry_at);
        let rejected = self.retry_after.filter(|_| !self.dirty.is_empty());
        retries.chain(rejected).chain(self.next_write).min()
    }

    /// Returns the number of the transaction that is collected next, or now.
    pub(super) fn next_transaction(&self) -> u64 {
        self.next
    }

    pub(super) fn wait_until(&mut self, at: Instant) {
        self.next_write = Some(self.next_write.map_or(at, |due| due.min(at)));
    }

    /// Returns true if the store has failed for long enough to count as unavailable.
    pub(super) fn is_store_unavailable(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.duration_since(since) >= UNAVAILABLE_AFTER)
    }

    fn responded(&mut self, now: Instant) {
        self.failing_since = None;
        self.last_response = Some(now);
    }

    /// Records a failure of a call sent at `sent`: the store has failed since then, or since its latest
    /// response.
    fn failed(&mut self, sent: Instant) {
        let since = self.last_response.map_or(sent, |at| at.max(sent));
        self.failing_since.get_or_insert(since);
    }

    /// Removes a record that no transaction contains yet; returns true if it was pending.
    fn withdraw_record(&mut self, id: &JobId) -> bool {
        self.dirty.swap_remove(&Dirty::Record(id.clone()))
    }
}

impl Owner {
    /// Records whether the store responds to other calls of this process.
    pub fn store_reached(&mut self, now: Instant, is_reached: bool) {
        if is_reached {
            self.commits.responded(now);
        } else {
            self.commits.failing_since.get_or_insert(now);
        }
    }

    /// Refuses the jobs whose record was never sent to the store.
    pub(super) fn refuse_unsent(&mut self, reason: &'static str) {
        let ids: Vec<JobId> = self.pending_accepts.keys().cloned().collect();
        for id in ids {
            if !self.commits.withdraw_record(&id) {
                continue;
            }
            self.jobs.swap_remove(&id);
            self.active.swap_remove(&id);
            for token in self.pending_accepts.swap_remove(&id).unwrap_or_default() {
                self.refuse(token, &id, reason, STORE_UNAVAILABLE_RETRY);
            }
        }
    }

    /// Writes pending changes in transactions.
    pub(super) fn commit(&mut self, now: Instant) {
        if self.commits.is_store_unavailable(now) {
            self.refuse_unsent(STORE_UNAVAILABLE);
        }
        self.retry(now);
        if self.commits.retry_after.is_some_and(|at| at > now) {
            return;
        }
        self.commits.retry_after = None;
        self.commits.next_write = None;
        while self.commits.batches.len() < MAX_IN_FLIGHT {
            let changes = self.collect_changes(now);
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
                    sent: now,
                    retry_at: None,
                    is_outcome_unknown: false,
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
            batch.sent = now;
            let changes = batch.changes.clone();
            let call = self.transaction(&changes);
            self.effects.push(Effect::Store(id, call));
        }
    }

    fn collect_changes(&mut self, now: Instant) -> Vec<Change> {
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
            match self.change(now, &dirty) {
                Ok(Some(change)) => {
                    self.commits.dirty.shift_remove(&dirty);
                    rows += change.rows();
                    changes.push(change);
                }
                // Its write has to wait, so it stays dirty.
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

pub(super) fn expect_revision(revision: Revision) -> Expect {
    if revision == 0 {
        Expect::Absent
    } else {
        Expect::Revision(revision)
    }
}
