//! Detection of tasks that make no progress.

use base::prelude::*;
use slog::warn;

use super::Owner;
use super::worker::{FULL_SPEED, Phase};
use crate::TaskRun;

/// How long a task at full speed may make no progress.
const STALLED_AFTER: Duration = Duration::from_millis(2000);

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
        for (vm, worker) in &mut self.workers {
            // Without a new status report nothing is known of the progress.
            let is_fresh = worker
                .status_at
                .is_some_and(|at| now.duration_since(at) < super::sync::UNRESPONSIVE_AFTER);
            for (id, run) in &mut worker.runs {
                if run.speed_percent != FULL_SPEED || !is_fresh {
                    run.last_progress = now;
                }
                let is_stalled = now.duration_since(run.last_progress) >= STALLED_AFTER;
                if is_stalled && run.phase == Phase::Running && !run.is_standing {
                    stalled.push((Arc::clone(vm), id.clone()));
                }
            }
        }
        for (vm, id) in stalled {
            warn!(self.log, "owner: run stands still"; "run" => %id, "vm" => %vm);
            self.avoid(&vm, &id);
            if let Some(worker) = self.workers.get_mut(&vm) {
                // A best-effort task may stall because other tasks leave no processor time.
                let is_best_effort = worker.runs.get(&id).is_some_and(|r| r.is_best_effort);
                let since = worker.runs.get(&id).map_or(now, |r| r.since);
                worker.stop_run(&id);
                if !is_best_effort {
                    self.record_failure(now, &vm, &id, now.duration_since(since));
                }
            }
        }
    }
}
