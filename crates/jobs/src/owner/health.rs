//! Quarantine of workers whose tasks fail.

use base::prelude::*;

use super::worker::Run;
use crate::TaskId;

/// How many failed tasks that are not themselves at fault put a worker in quarantine.
const QUARANTINE_FAILURES: usize = 2;

/// How long a quarantined worker gets no task; after that it gets one probe at a time.
pub(super) const QUARANTINE: Duration = Duration::from_millis(2500);

/// How many failed tasks are remembered; the oldest is dropped first.
const MAX_FAILED: usize = 64;

/// A worker's recent failures and its quarantine.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// The tasks that have failed since one last succeeded, with the time of the last failure.
    failed: IndexMap<TaskId, Instant>,
    /// Set until a task succeeds; tasks that start after this time are probes.
    quarantined_until: Option<Instant>,
}

/// What a quarantine says of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    /// It may start, and its outcome has no influence on the quarantine.
    Allowed,
    /// It may start as the probe.
    Probe,
    /// It must not start.
    Denied,
}

impl Health {
    /// Ends the quarantine and returns the tasks that had failed.
    pub(super) fn record_success(&mut self) -> impl Iterator<Item = TaskId> + use<> {
        std::mem::take(self).failed.into_keys()
    }

    pub(super) fn record_failure(&mut self, now: Instant, task: TaskId) {
        self.failed.shift_remove(&task);
        self.failed.insert(task, now);
        let surplus = self.failed.len().saturating_sub(MAX_FAILED);
        self.failed.drain(..surplus);
    }

    /// Returns true if a task of the job's stage has failed here since one last succeeded.
    pub(super) fn has_failed(&self, job: &JobId, stage: u32) -> bool {
        let is_of_stage = |task: &TaskId| task.job == *job && task.stage == stage;
        self.failed.keys().any(is_of_stage)
    }

    /// Returns the tasks that have failed since one last succeeded.
    pub(super) fn failed(&self) -> impl Iterator<Item = &TaskId> {
        self.failed.keys()
    }

    /// Forgets the failures of tasks.
    pub(super) fn forget(&mut self, is_forgotten: impl Fn(&TaskId) -> bool) {
        self.failed.retain(|task, _| !is_forgotten(task));
    }

    /// Decides again whether the worker is quarantined: failures count unless their task is at fault.
    /// Those of a single stage count only if it is sound elsewhere: else either may be at fault, and the
    /// worker stays open to others.
    ///
    /// Returns until when it was quarantined and until when it is.
    pub(super) fn judge(
        &mut self,
        is_at_fault: impl Fn(&TaskId) -> bool,
        is_sound_elsewhere: impl Fn(&TaskId) -> bool,
    ) -> (Option<Instant>, Option<Instant>) {
        let counted = self.failed.iter().filter(|(task, _)| !is_at_fault(task));
        let counted: Vec<(&TaskId, Instant)> = counted.map(|(task, at)| (task, *at)).collect();
        let stages: IndexSet<(&JobId, u32)> = counted
            .iter()
            .map(|(task, _)| (&task.job, task.stage))
            .collect();
        let is_proved = stages.len() > 1
            || counted
                .first()
                .is_some_and(|(task, _)| is_sound_elsewhere(task));
        let last = counted.iter().map(|(_, at)| *at).max();
        let before = self.quarantined_until;
        self.quarantined_until = last
            .filter(|_| counted.len() >= QUARANTINE_FAILURES && is_proved)
            .map(|at| at + QUARANTINE);
        (before, self.quarantined_until)
    }

    /// Returns whether a task may start here: after a quarantine one as a probe, and more once the probe
    /// has run for as long as the quarantine. A probe need not end, since a standing task never succeeds.
    ///
    /// `is_at_fault` tells whether the failures of the task are its own fault; `probes` are the runs of
    /// tasks of which that is not known.
    pub(super) fn access<'a>(
        &self,
        now: Instant,
        is_at_fault: bool,
        probes: impl Iterator<Item = &'a Run>,
    ) -> Access {
        let Some(until) = self.quarantined_until else {
            return Access::Allowed;
        };
        if now < until {
            return Access::Denied;
        }
        let probe = probes.map(|r| r.since).filter(|at| *at >= until).min();
        match probe {
            _ if is_at_fault => Access::Allowed,
            None => Access::Probe,
            Some(at) if now.saturating_duration_since(at) >= QUARANTINE => Access::Allowed,
            Some(_) => Access::Denied,
        }
    }
}
