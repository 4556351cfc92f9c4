//! Detection of tasks that make no progress.

use base::prelude::*;
use slog::warn;

use super::Owner;
use super::worker::{FULL_SPEED, Phase};
use crate::{Job, TaskId, TaskRun};

/// How long a task at full speed may make no progress; doubles with each further run that has stood still,
/// since it may report progress rarely.
const STALLED_AFTER: Duration = Duration::from_millis(2000);

/// The maximum number of times that this is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// The interval between checks; short, so that it adds little to [`STALLED_AFTER`].
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Owner {
    /// Stops tasks that make no progress so that they restart elsewhere, and counts each as a
    /// failure.
    pub(super) fn find_stalled(&mut self, now: Instant) {
        let is_early = |at: Instant| now.saturating_duration_since(at) < CHECK_INTERVAL;
        if self.last_stall_check.is_some_and(is_early) {
            return;
        }
        self.last_stall_check = Some(now);
        let mut stalled: Vec<(Name, TaskRun)> = Vec::new();
        let jobs = &self.jobs;
        let patience = |id: &TaskRun| {
            let job = jobs.get(&id.task.job);
            let stalls = job.map_or(0, |job| stalls(job, &id.task));
            STALLED_AFTER * 2_u32.pow(stalls.saturating_sub(1).min(MAX_DOUBLINGS))
        };
        for (vm, worker) in &mut self.workers {
            // Without a new status report nothing is known of the progress.
            let is_fresh = worker
                .status_at
                .is_some_and(|at| now.duration_since(at) < super::sync::UNRESPONSIVE_AFTER);
            for (id, run) in &mut worker.runs {
                if run.speed_percent != FULL_SPEED || !is_fresh {
                    run.last_progress = now;
                }
                let still = now.duration_since(run.last_progress);
                if still >= STALLED_AFTER
                    && run.phase == Phase::Running
                    && !run.is_standing
                    && still >= patience(id)
                {
                    stalled.push((Arc::clone(vm), id.clone()));
                }
            }
        }
        for (vm, id) in stalled {
            warn!(self.log, "owner: run stands still"; "run" => %id, "vm" => %vm);
            self.avoid(&vm, &id);
            self.count_stall(&id);
            if let Some(worker) = self.workers.get_mut(&vm) {
                // A best-effort task may stall because other tasks leave no processor time.
                let is_best_effort = worker.runs.get(&id).is_some_and(|r| r.is_best_effort);
                let worked = worker.runs.get(&id).map_or(Duration::ZERO, |run| {
                    run.last_progress.saturating_duration_since(run.since)
                });
                worker.stop_run(&id);
                if !is_best_effort {
                    self.record_failure(now, &vm, &id, worked);
                }
            }
        }
    }

    /// Counts a run that stood still; the members of a gang do so together.
    fn count_stall(&mut self, run: &TaskRun) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        if let Some((instance, position)) = job.find(&run.task) {
            let counted = job.counted_position(instance, position);
            let (stalls, last) = &mut job.tasks[counted].stalls;
            *stalls += u32::from(*last != run.attempt);
            *last = run.attempt;
        }
    }
}

/// Returns how many runs of a task have stood still.
fn stalls(job: &Job, task: &TaskId) -> u32 {
    let found = job.find(task);
    found.map_or(0, |(instance, position)| {
        job.tasks[job.counted_position(instance, position)].stalls.0
    })
}
