//! What each worker holds and what was given away.

use base::prelude::*;

use crate::types::{PlacedTask, WorkerView};

/// A worker with its tasks.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRow {
    pub(crate) view: WorkerView,
    pub(crate) present: bool,
    pub(crate) held: Resources,
    pub(crate) tasks: IndexSet<TaskKey>,
    pub(crate) pending: IndexSet<JobId>,
}

/// A placement that was decided but not yet committed.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) worker: WorkerId,
    pub(crate) granted: Resources,
}

/// The ledger of a shard's workers.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    reserved: Resources,
    workers: IndexMap<WorkerId, WorkerRow>,
    tasks: IndexMap<TaskKey, PlacedTask>,
    pending: IndexMap<JobId, Pending>,
}

impl Ledger {
    pub(crate) fn set_reserved(&mut self, reserved: Resources) {
        self.reserved = reserved;
    }

    pub(crate) fn workers(&self) -> impl Iterator<Item = &WorkerRow> {
        self.workers.values()
    }

    pub(crate) fn placed(&self) -> usize {
        self.tasks.len() + self.pending.len()
    }

    /// Returns what a worker may give to tasks in all.
    pub(crate) fn offer(&self, row: &WorkerRow) -> Resources {
        row.view.capacity.saturating_sub(self.reserved)
    }

    /// Returns what a worker can still give.
    pub(crate) fn free(&self, row: &WorkerRow) -> Resources {
        self.offer(row).saturating_sub(row.held)
    }

    pub(crate) fn worker_seen(&mut self, view: WorkerView) {
        if let Some(row) = self.workers.get_mut(&view.worker) {
            row.view = view;
            row.present = true;
            return;
        }
        let row = WorkerRow {
            present: true,
            held: Resources::ZERO,
            tasks: IndexSet::new(),
            pending: IndexSet::new(),
            view: view.clone(),
        };
        self.workers.insert(view.worker, row);
    }

    pub(crate) fn worker_gone(&mut self, worker: &WorkerId) {
        if let Some(row) = self.workers.get_mut(worker) {
            row.present = false;
        }
    }

    /// Holds room for a placement that is not yet committed.
    pub(crate) fn hold(&mut self, job: &JobId, worker: &WorkerId, granted: Resources) {
        let Some(row) = self.workers.get_mut(worker) else {
            return;
        };
        row.held += granted;
        row.pending.insert(job.clone());
        let offer = row.view.capacity.saturating_sub(self.reserved);
        let held = row.held;
        Promise::Capacity.check(held.fits(&offer), || {
            format!("worker {worker} was given {held} of {offer}")
        });
        let pending = Pending {
            worker: worker.clone(),
            granted,
        };
        self.pending.insert(job.clone(), pending);
    }

    /// Gives back the room of a placement that was not committed.
    pub(crate) fn drop_hold(&mut self, job: &JobId) -> bool {
        let Some(pending) = self.pending.swap_remove(job) else {
            return false;
        };
        if let Some(row) = self.workers.get_mut(&pending.worker) {
            row.held -= pending.granted;
            row.pending.swap_remove(job);
        }
        true
    }

    /// Counts a committed or adopted task.
    pub(crate) fn place(&mut self, task: PlacedTask) {
        self.drop_hold(&task.key.job);
        self.end(&task.key);
        let row = self
            .workers
            .entry(task.worker.clone())
            .or_insert_with(|| unseen_worker(&task.worker));
        row.held += task.granted;
        row.tasks.insert(task.key.clone());
        self.tasks.insert(task.key.clone(), task);
    }

    /// Gives back the room of an ended task.
    pub(crate) fn end(&mut self, key: &TaskKey) -> Option<PlacedTask> {
        let task = self.tasks.swap_remove(key)?;
        if let Some(row) = self.workers.get_mut(&task.worker) {
            row.held -= task.granted;
            row.tasks.swap_remove(key);
        }
        Some(task)
    }
}

/// Returns the row of a worker that is known by an adopted task alone.
fn unseen_worker(worker: &WorkerId) -> WorkerRow {
    let view = WorkerView {
        worker: worker.clone(),
        zone: ZoneName::from(""),
        rack: RackName::from(""),
        capacity: Resources::ZERO,
        leaving: false,
    };
    WorkerRow {
        view,
        present: false,
        held: Resources::ZERO,
        tasks: IndexSet::new(),
        pending: IndexSet::new(),
    }
}
