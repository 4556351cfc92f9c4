//! Run times, learned from completed runs.
//!
//! A run counts from when it was first listed, and only if it ran from its beginning to its end under
//! this owner and at full speed.

use base::prelude::*;
use runtimes::{RunTimes, StageKey};

use super::Owner;
use super::worker::Run;
use crate::{Job, TaskRun};

impl Owner {
    /// Returns what is known of run times.
    pub fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Learns from a completed run.
    pub(super) fn learn_run_time(&mut self, now: Instant, id: &TaskRun, run: &Run) {
        let job = self.jobs.get(&id.task.job);
        let Some(job) = job.filter(|j| j.find(&id.task).is_some()) else {
            return;
        };
        let Some(since) = run.measured_since.filter(|_| !run.is_standing) else {
            return;
        };
        let declared = job.stage_of(&id.task).estimate();
        let actual = now.duration_since(since);
        let key = stage_key(job, id.task.stage);
        self.run_times.record(now, &key, declared, actual);
    }
}

/// Returns the key of a job's stage in [`RunTimes`].
pub(super) fn stage_key(job: &Job, stage: u32) -> StageKey {
    StageKey {
        route: job.record.address_or_name(),
        stage,
    }
}
