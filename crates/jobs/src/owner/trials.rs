//! Trials of tasks that are suspected of crashing their workers.
//!
//! A suspect starts on a worker without another trial and without a run that has just started; the
//! worker takes no other task meanwhile. A suspect that has lasted longer than at its crashes is cleared.

use base::prelude::*;
use blame::Verdict;
use slog::info;

use super::Owner;
use super::worker::{Run, Worker};
use crate::report::WorkerStatus;
use crate::{Job, TaskId};

/// The share of a pool's workers that may run suspects at a time.
const MAX_TRIAL_SHARE: f64 = 0.5;

/// How long a worker takes no other task before a suspect starts there, so that no other run has just
/// started when the suspect does.
const RESERVED: Duration = Duration::from_millis(350);

/// How long a worker stays reserved for the next suspect after a trial.
const KEPT: Duration = Duration::from_millis(50);

/// How long a worker takes no other task after a suspect of crashes has started there.
const MAX_RESERVED: Duration = Duration::from_secs(1);

/// A run of a task that is suspected of crashing its workers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    /// How long it has to last.
    pub(super) lasts: Duration,
    /// When it was first listed, and the worker's clock in that status, in milliseconds.
    pub(super) listed: Option<(Instant, u64)>,
    /// Whether the task is a prime suspect.
    pub(super) is_prime: bool,
}

impl Owner {
    /// Clears the suspects that a status lists and that have lasted longer than at their crashes, by
    /// the worker's clock: reports may repeat the last status of a worker that has crashed meanwhile.
    pub(super) fn end_trials(&mut self, now: Instant, vm: &Name, status: &WorkerStatus) {
        let Some(worker) = self.workers.get_mut(vm).filter(|w| w.has_trial()) else {
            return;
        };
        let mut cleared = Vec::new();
        for row in &status.running {
            if let Some(run) = worker.runs.get_mut(&row.run)
                && run.has_passed_trial(status.clock_ms)
            {
                run.trial = None;
                cleared.push(row.run.task.clone());
            }
        }
        if cleared.is_empty() {
            return;
        }
        worker.recount();
        // The next suspect goes before other tasks, while no run here has just started.
        worker.reserved_until = Some(now + KEPT);
        self.is_round_due = true;
        for id in cleared {
            info!(self.log, "owner: suspect cleared"; "task" => %id, "vm" => %vm);
            self.stats.events.push(("task", "cleared"));
            self.clear_evidence(&id);
        }
    }

    fn clear_evidence(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some((instance, position)) = job.find(id) else {
            return;
        };
        let counted = job.counted_position(instance, position);
        job.tasks[counted].evidence.clear();
        job.mark_changed();
        self.commits.mark_progress(&id.job);
    }

    /// Returns true if a task with this verdict may start in a pool, as far as trials are concerned.
    pub(super) fn admits_trial(&self, now: Instant, pool: &PoolName, verdict: Verdict) -> bool {
        if verdict == Verdict::Clear {
            return true;
        }
        let is_of = |w: &&Worker| w.last_report.as_ref().is_some_and(|l| l.pool == *pool);
        let workers = self.workers.values().filter(is_of);
        if verdict == Verdict::PrimeSuspect {
            let mut runs = workers.clone().flat_map(|w| w.runs.values());
            if runs.any(|r| r.trial.is_some_and(|t| t.is_prime)) {
                return false;
            }
        }
        let with_trial = workers.clone().filter(|w| w.has_trial() && w.is_heard(now));
        let max = (workers.count() as f64 * MAX_TRIAL_SHARE).max(1.0);
        (with_trial.count() as f64) < max
    }

    /// Returns true if a suspect may start on a worker now; else reserves the worker until then.
    pub(super) fn prepare_trial(&mut self, now: Instant, vm: &Name) -> bool {
        let Some(worker) = self.workers.get_mut(vm) else {
            return false;
        };
        let has_just_started =
            |run: &Run| run.trial.is_none() && now.duration_since(run.since) < RESERVED;
        if !worker.runs.values().any(has_just_started) {
            return true;
        }
        if !worker.is_reserved(now) {
            worker.reserved_until = Some(now + RESERVED + KEPT);
        }
        self.repeat_soon(now + RESERVED / 4);
        false
    }
}

impl Worker {
    /// Returns true if the worker takes no task but suspects of crashes: one is about to start here, or
    /// has started recently.
    pub(super) fn is_reserved(&self, now: Instant) -> bool {
        if self.reserved_until.is_some_and(|until| now < until) {
            return true;
        }
        let is_recent = |trial: &Trial| {
            let listed = trial.listed;
            listed.is_none_or(|(at, _)| now.saturating_duration_since(at) < MAX_RESERVED)
        };
        let mut trials = self.runs.values().filter_map(|r| r.trial.as_ref());
        self.has_trial() && trials.any(is_recent)
    }
}

/// Returns the trial of a task's next run, if the task is a suspect.
pub(super) fn trial_of(job: &Job, instance: usize, position: usize) -> Option<Trial> {
    let task = &job.tasks[job.counted_position(instance, position)];
    let verdict = task.verdict();
    (verdict != Verdict::Clear).then(|| Trial {
        lasts: blame::trial(&task.evidence),
        listed: None,
        is_prime: verdict == Verdict::PrimeSuspect,
    })
}

impl Run {
    fn has_passed_trial(&self, clock_ms: u64) -> bool {
        self.trial.is_some_and(|trial| {
            let lasted = trial.listed.map(|(_, at)| clock_ms.saturating_sub(at));
            lasted.is_some_and(|lasted| Duration::from_millis(lasted) >= trial.lasts)
        })
    }
}
