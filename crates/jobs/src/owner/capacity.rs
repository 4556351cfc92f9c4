//! Changes of a worker's capacity while it runs tasks.

use base::prelude::*;
use slog::info;

use super::Owner;
use super::worker::Phase;
use crate::TaskRun;

impl Owner {
    /// Handles a change of a worker's capacity, which its last report contains already.
    ///
    /// Running tasks go on. Starts in flight that no longer fit are withdrawn, the latest first.
    pub(super) fn change_capacity(&mut self, vm: &Name, before: Resources, after: Resources) {
        info!(self.log, "owner: capacity changed"; "vm" => %vm, "from" => %before, "to" => %after);
        let kind = if before.fits(&after) {
            "grown"
        } else {
            "shrunk"
        };
        self.stats.events.push(("capacity", kind));
        self.is_round_due = true;
        for run in self.starts_over_capacity(vm, after) {
            info!(self.log, "owner: start withdrawn"; "run" => %run, "vm" => %vm);
            self.withdraw(vm, &run);
        }
    }

    /// Returns the starts in flight that have to be withdrawn for the rest to fit.
    fn starts_over_capacity(&self, vm: &Name, capacity: Resources) -> Vec<TaskRun> {
        let Some(worker) = self.workers.get(vm) else {
            return Vec::new();
        };
        let mut used = Resources::ZERO;
        for run in worker.runs.values() {
            used += run.charged;
        }
        let mut withdrawn = Vec::new();
        for (id, run) in worker.runs.iter().rev() {
            if used.fits(&capacity) {
                break;
            }
            if matches!(run.phase, Phase::Ordered { .. }) && run.charged != Resources::ZERO {
                used = used.saturating_sub(run.charged);
                withdrawn.push(id.clone());
            }
        }
        withdrawn
    }

    /// Stops a start in flight; the members of a gang do not work without it, so they are stopped too.
    pub(super) fn withdraw(&mut self, vm: &Name, run: &TaskRun) {
        let mut runs = vec![(Arc::clone(vm), run.clone())];
        if let Some(job) = self.jobs.get(&run.task.job)
            && let Some((instance, _)) = job.find(&run.task)
            && job.stage(&job.instances[instance]).gang
        {
            let instance = &job.instances[instance];
            for position in instance.range() {
                let task = job.task_id(instance, position);
                let active_runs = job.tasks[position].active_runs.iter();
                runs.extend(active_runs.map(|(vm, attempt)| {
                    let (task, attempt) = (task.clone(), *attempt);
                    (Arc::clone(vm), TaskRun { task, attempt })
                }));
            }
        }
        for (vm, run) in runs {
            if let Some(worker) = self.workers.get_mut(&vm) {
                worker.stop_run(&run);
            }
        }
    }
}
