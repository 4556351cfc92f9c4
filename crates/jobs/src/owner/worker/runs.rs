//! The runs of a worker: they come, change and go together with the sums over them.

use base::prelude::*;

use super::{Phase, Run, Worker};
use crate::TaskRun;
use crate::owner::totals::{StageKey, Totals};

/// How many starts of unknown outcome a worker has before further ones wait: more than it begins while
/// a reply of the owner is on its way.
const MAX_STARTING: u32 = 64;

/// How many of them each stage may have in any case.
const MIN_STARTING: u32 = 4;

impl Worker {
    /// Recomputes the sums over all runs, after their trials have changed.
    pub(in crate::owner) fn recount(&mut self) {
        self.note_change();
        self.totals = Totals::default();
        for (id, run) in &self.runs {
            self.totals.add(id, run);
        }
    }

    fn note_change(&mut self) {
        self.version += 1;
        self.may_have_orders = true;
    }

    pub(in crate::owner) fn insert(&mut self, id: TaskRun, mut run: Run) {
        self.note_change();
        run.number = self.next_number;
        self.next_number += 1;
        self.totals.add(&id, &run);
        if let Some(replaced) = self.runs.insert(id.clone(), run) {
            self.totals.subtract(&id, &replaced);
        }
    }

    pub(in crate::owner) fn remove(&mut self, id: &TaskRun) -> Option<Run> {
        self.note_change();
        let run = self.runs.swap_remove(id)?;
        self.totals.subtract(id, &run);
        Some(run)
    }

    pub(in crate::owner) fn set_phase(&mut self, id: &TaskRun, phase: Phase) {
        self.change(id, |run| run.phase = phase);
    }

    /// Changes a run together with the sums.
    fn change(&mut self, id: &TaskRun, change: impl FnOnce(&mut Run)) {
        if let Some(run) = self.runs.get_mut(id) {
            self.totals.subtract(id, run);
            change(run);
            self.totals.add(id, run);
        }
    }

    /// Returns true if a stage may have another start here whose outcome is not known. Many starts of one
    /// stage leave room for those of others, which would else wait until the worker has begun them all.
    pub(in crate::owner) fn takes_start(&self, stage: &StageKey) -> bool {
        !self.waits_for_starts() || self.totals.starting_of(stage) < MIN_STARTING
    }

    /// Returns true if it has so many starts of unknown outcome that further ones wait.
    pub(in crate::owner) fn waits_for_starts(&self) -> bool {
        self.totals.starting >= MAX_STARTING
    }

    pub(in crate::owner) fn stop_job(&mut self, job: &JobId) {
        self.may_have_orders = true;
        for (id, run) in self.runs.iter_mut().filter(|(id, _)| id.task.job == *job) {
            self.totals.subtract(id, run);
            run.stop();
            self.totals.add(id, run);
        }
    }

    pub(in crate::owner) fn stop_run(&mut self, id: &TaskRun) {
        self.may_have_orders = true;
        self.change(id, Run::stop);
    }
}
