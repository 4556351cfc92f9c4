//! Changes of a worker's capacity while it runs tasks.

use base::prelude::*;
use slog::info;

use super::Owner;
use super::worker::{Phase, Run};
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
        let starts = self.starts_over_capacity(vm, after).into_iter();
        let starts: Vec<_> = starts.map(|run| (Arc::clone(vm), run)).collect();
        for (vm, run) in &starts {
            info!(self.log, "owner: start withdrawn"; "run" => %run, "vm" => %vm);
        }
        self.withdraw(&starts);
    }

    /// Returns the starts in flight that have to be withdrawn for the rest to fit.
    fn starts_over_capacity(&self, vm: &Name, capacity: Resources) -> Vec<TaskRun> {
        let Some(worker) = self.workers.get(vm) else {
            return Vec::new();
        };
        let mut used = worker.totals().used;
        let is_start = |run: &Run| matches!(run.phase, Phase::Ordered { .. });
        let starts = worker.runs.iter().filter(|(_, run)| is_start(run));
        let mut starts: Vec<_> = starts
            .filter(|(_, run)| run.charged != Resources::ZERO)
            .collect();
        starts.sort_by_key(|(_, run)| std::cmp::Reverse(run.number));
        let mut withdrawn = Vec::new();
        for (id, run) in starts {
            if used.fits(&capacity) {
                break;
            }
            used = used.saturating_sub(run.charged);
            withdrawn.push(id.clone());
        }
        withdrawn
    }

    /// Stops starts in flight; the members of a gang do not work without each other, so the others are
    /// stopped too.
    pub(super) fn withdraw(&mut self, starts: &[(Name, TaskRun)]) {
        let mut gangs: IndexSet<(JobId, usize)> = IndexSet::new();
        for (vm, run) in starts {
            if let Some(worker) = self.workers.get_mut(vm) {
                worker.stop_run(run);
            }
            if let Some(job) = self.jobs.get(&run.task.job)
                && let Some((instance, _)) = job.find(&run.task)
                && job.stage(&job.instances[instance]).gang
            {
                gangs.insert((job.id.clone(), instance));
            }
        }
        for (job, instance) in gangs {
            self.stop_gang(&job, instance);
        }
    }

    fn stop_gang(&mut self, id: &JobId, instance: usize) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let instance = &job.instances[instance];
        for position in instance.range() {
            let task = job.task_id(instance, position);
            for (vm, attempt) in &job.tasks[position].active_runs {
                let (task, attempt) = (task.clone(), *attempt);
                if let Some(worker) = self.workers.get_mut(vm) {
                    worker.stop_run(&TaskRun { task, attempt });
                }
            }
        }
    }
}
