//! One task on a worker.

use base::prelude::*;
use ports::worker::{Checkpoint, TaskReport, TaskStart, TaskState};

use super::interference::Workload;

/// A task with its state and progress.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) start: TaskStart,
    pub(super) state: TaskState,
    pub(super) throttle: f64,
    /// Work done, in seconds of an undisturbed run.
    pub(super) done: f64,
    /// The real work, in seconds of an undisturbed run.
    pub(super) work: Option<f64>,
    /// When the task stops unless its lease is renewed.
    pub(super) leased_until: Instant,
    /// When the checkpoint in progress is complete.
    pub(super) checkpoint_at: Option<Instant>,
    /// When the task fails, if it is made to fail.
    pub(super) fails_at: Option<Instant>,
}

impl Task {
    pub(super) fn is_live(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Checkpointing)
    }

    pub(super) fn workload(&self) -> Workload {
        Workload {
            class: self.start.class.clone(),
            granted: self.start.granted,
            throttle: self.throttle,
            load: 1.0,
        }
    }

    pub(super) fn report(&self) -> TaskReport {
        TaskReport {
            key: self.start.key.clone(),
            class: self.start.class.clone(),
            granted: self.start.granted,
            state: self.state.clone(),
            throttle: self.throttle,
        }
    }

    /// Returns the share of the work done, 0 to 1.
    pub(super) fn progress(&self) -> Option<f64> {
        self.work.map(|work| (self.done / work).min(1.0))
    }

    pub(super) fn checkpoint(&self) -> Checkpoint {
        Checkpoint {
            name: format!("{}@{:.3}", self.start.key, self.done).into(),
            done: Duration::from_secs_f64(self.done),
        }
    }

    /// Returns when the task next changes state without a call, if it runs at `speed` from `now`.
    pub(super) fn next_event(&self, now: Instant, speed: f64) -> Option<Instant> {
        if !self.is_live() {
            return None;
        }
        let mut next = self.leased_until;
        if let Some(at) = self.checkpoint_at {
            next = next.min(at);
        }
        if let Some(at) = self.fails_at {
            next = next.min(at);
        }
        if let Some(at) = self.finish_time(now, speed) {
            next = next.min(at);
        }
        Some(next)
    }

    fn finish_time(&self, now: Instant, speed: f64) -> Option<Instant> {
        let work = self.work?;
        if self.state != TaskState::Running || speed <= 0.0 {
            return None;
        }
        let left = ((work - self.done) / speed).max(0.0);
        // Rounded up, so that the work is complete at that time despite rounding errors.
        let left = Duration::try_from_secs_f64(left).ok()? + Duration::from_nanos(1);
        now.checked_add(left)
    }
}
