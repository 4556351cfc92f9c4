//! Failed runs: whether the task, its stage or the worker is at fault, and when the task may run again.
//!
//! [`blame::Outcomes`] decides; a failure counts against the worker unless its task is at fault.

use std::collections::BTreeSet;

use base::prelude::*;
use blame::Outcomes;
use slog::{info, warn};

use super::Owner;
use super::health::{Access, QUARANTINE};
use super::totals::StageKey;
use super::worker::Worker;
use crate::{Job, TaskId, TaskRun};

/// How often it is checked whether runs of a stage that is at fault have lasted meanwhile.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A standing task that failed sooner waits before its next run, longer each time.
const PROMPT: Duration = Duration::from_secs(1);

/// The delay after the second prompt failure in a row; doubles with each further one.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// The maximum delay of a standing task that keeps failing.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The outcomes by task and by stage, and the tasks that wait after failures.
#[derive(Debug, Default)]
pub(super) struct Faults {
    tasks: IndexMap<TaskId, Outcomes>,
    stages: IndexMap<StageKey, StageOutcomes>,
    /// Whether the stages that failed on a worker may probe it, since no other task does.
    pub(super) may_probe_again: bool,
    last_check: Option<Instant>,
    /// When tasks may run again.
    retries: BTreeSet<Instant>,
}

/// The outcomes of a stage's tasks.
#[derive(Debug, Default)]
struct StageOutcomes {
    outcomes: Outcomes,
    checked_at: Option<Instant>,
}

impl Faults {
    /// Returns true if the failures of a task are its own fault.
    pub(super) fn is_at_fault(&self, task: &TaskId) -> bool {
        if self.stages.is_empty() {
            return false;
        }
        let is_task = self.tasks.get(task).is_some_and(Outcomes::is_at_fault);
        is_task || self.is_stage_at_fault(&(task.job.clone(), task.stage))
    }

    /// Returns true if the failures of a stage's tasks are their own fault.
    pub(super) fn is_stage_at_fault(&self, stage: &StageKey) -> bool {
        let stage = self.stages.get(stage);
        stage.is_some_and(|s| s.outcomes.is_at_fault())
    }

    /// Returns true if the stage of a task succeeds or runs on another worker than that of a VM.
    fn is_sound_elsewhere(&self, jobs: &IndexMap<JobId, Job>, vm: &Name, task: &TaskId) -> bool {
        let stage = self.stages.get(&(task.job.clone(), task.stage));
        let (Some(stage), Some(job)) = (stage, jobs.get(&task.job)) else {
            // What has ended without a fault of its own was sound.
            return true;
        };
        let instances = job.instances.iter().filter(|i| i.stage == task.stage);
        let runs_on = instances.flat_map(|i| i.vms());
        stage.outcomes.is_sound_elsewhere(vm, runs_on)
    }

    /// Returns when the next task may run again.
    pub(super) fn next_retry(&self) -> Option<Instant> {
        self.retries.first().copied()
    }

    /// Wakes the owner when a task may run again.
    pub(super) fn wake_at(&mut self, at: Instant) {
        self.retries.insert(at);
    }

    fn outcomes(&mut self) -> impl Iterator<Item = &mut Outcomes> {
        let stages = self.stages.values_mut().map(|s| &mut s.outcomes);
        self.tasks.values_mut().chain(stages)
    }

    /// Forgets the outcomes on a VM, whose worker has been replaced.
    pub(super) fn forget_worker(&mut self, vm: &Name) {
        for outcomes in self.outcomes() {
            outcomes.forget(vm);
        }
    }
}

impl Owner {
    /// Makes a round due once a task may run again.
    pub(super) fn end_retry_delays(&mut self, now: Instant) {
        while self.faults.next_retry().is_some_and(|at| at <= now) {
            self.faults.retries.pop_first();
            self.is_round_due = true;
        }
    }

    /// Records that a run failed after the time `ran`, or stood still.
    pub(super) fn record_failure(&mut self, now: Instant, vm: &Name, run: &TaskRun, ran: Duration) {
        let job = self.jobs.get(&run.task.job);
        let Some(job) = job.filter(|j| !j.state.has_ended()) else {
            return;
        };
        let Some(task) = counted_task(job, &run.task) else {
            return;
        };
        let key = (task.job.clone(), task.stage);
        let outcomes = self.faults.tasks.entry(task.clone()).or_default();
        if outcomes.failed_workers() > 0 && ran >= outcomes.lasting() {
            *outcomes = Outcomes::default();
        }
        outcomes.record_failure(vm, ran);
        let stage = self.faults.stages.entry(key.clone());
        let stage = stage.or_insert_with(|| StageOutcomes {
            outcomes: Outcomes::with_successes(done_tasks(job, key.1)),
            checked_at: None,
        });
        stage.outcomes.record_failure(vm, ran);
        self.delay_retry(now, &task, ran);
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.health.record_failure(now, task.clone());
        }
        self.record_lasting(now, &key);
        info!(self.log, "owner: failure judged"; "run" => %run, "vm" => %vm,
            "task_at_fault" => self.faults.is_at_fault(&task),
            "stage_at_fault" => self.faults.is_stage_at_fault(&key));
        self.judge_workers(now, &key);
    }

    /// Records that a run succeeded: its worker is sound, and what fails there is at fault.
    pub(super) fn record_success(&mut self, now: Instant, vm: &Name, run: &TaskRun) {
        let stage = (run.task.job.clone(), run.task.stage);
        let job = self.jobs.get(&run.task.job);
        if let Some(task) = job.and_then(|job| counted_task(job, &run.task)) {
            self.faults.tasks.swap_remove(&task);
        }
        if let Some(known) = self.faults.stages.get_mut(&stage) {
            known.outcomes.record_success(vm);
        }
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        for failed in worker.health.record_success() {
            let other = (failed.job.clone(), failed.stage);
            if other == stage {
                continue;
            }
            if let Some(outcomes) = self.faults.tasks.get_mut(&failed) {
                outcomes.record_success_of_others(vm);
            }
            if let Some(known) = self.faults.stages.get_mut(&other) {
                known.outcomes.record_success_of_others(vm);
            }
        }
        if self.faults.stages.contains_key(&stage) {
            self.judge_workers(now, &stage);
        }
    }

    /// Lets a standing task that failed soon after its start wait before its next run; the attempts of
    /// others are limited. The first failure causes no delay: the next run is on another worker, if there
    /// is one.
    fn delay_retry(&mut self, now: Instant, task: &TaskId, ran: Duration) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some((_, position)) = job.find(task) else {
            return;
        };
        if !job.stage_of(task).standing {
            return;
        }
        let task = &mut job.tasks[position];
        if ran >= PROMPT {
            task.prompt_failures = 0;
            task.retry_at = None;
            return;
        }
        task.prompt_failures = task.prompt_failures.saturating_add(1);
        let Some(doublings) = task.prompt_failures.checked_sub(2) else {
            return;
        };
        let delay = RETRY_AFTER.saturating_mul(2_u32.saturating_pow(doublings));
        let at = now + delay.min(MAX_RETRY_AFTER);
        task.retry_at = Some(at);
        self.faults.wake_at(at);
    }

    /// Checks whether the stages that are at fault still are.
    pub(super) fn recheck_faults(&mut self, now: Instant) {
        let is_early = |at: Instant| now.saturating_duration_since(at) < CHECK_INTERVAL;
        if self.faults.last_check.is_some_and(is_early) {
            return;
        }
        self.faults.last_check = Some(now);
        let stages = self.faults.stages.iter();
        let at_fault = stages.filter(|(_, s)| s.outcomes.is_at_fault());
        let at_fault: Vec<StageKey> = at_fault.map(|(key, _)| key.clone()).collect();
        for stage in at_fault {
            self.record_lasting(now, &stage);
            if !self.faults.is_stage_at_fault(&stage) {
                self.judge_workers(now, &stage);
            }
        }
    }

    /// Counts the runs of a stage as successes that have lasted longer than failed ones.
    fn record_lasting(&mut self, now: Instant, key: &StageKey) {
        let (Some(job), Some(stage)) = (self.jobs.get(&key.0), self.faults.stages.get_mut(key))
        else {
            return;
        };
        let is_early = |at: Instant| now.saturating_duration_since(at) < CHECK_INTERVAL;
        if !stage.outcomes.is_at_fault() || stage.checked_at.is_some_and(is_early) {
            return;
        }
        stage.checked_at = Some(now);
        let lasting = stage.outcomes.lasting().min(QUARANTINE);
        let instances = job.instances.iter().filter(|i| i.stage == key.1);
        let vms: IndexSet<&Name> = instances.flat_map(|i| i.vms()).collect();
        for vm in vms {
            if stage.outcomes.has_succeeded_on(vm) {
                continue;
            }
            let runs = self.workers.get(vm).into_iter().flat_map(|w| &w.runs);
            let mut of_stage =
                runs.filter(|(id, _)| id.task.job == key.0 && id.task.stage == key.1);
            if of_stage.any(|(_, run)| run.was_listed && now.duration_since(run.since) >= lasting) {
                stage.outcomes.record_success(vm);
            }
        }
    }

    /// Decides again which workers are quarantined, of those where tasks of a stage failed.
    fn judge_workers(&mut self, now: Instant, key: &StageKey) {
        let (faults, jobs) = (&self.faults, &self.jobs);
        for (vm, worker) in &mut self.workers {
            if !worker.health.has_failed(&key.0, key.1) {
                continue;
            }
            let is_at_fault = |task: &TaskId| faults.is_at_fault(task);
            let is_sound_elsewhere = |task: &TaskId| faults.is_sound_elsewhere(jobs, vm, task);
            let (before, after) = worker.health.judge(is_at_fault, is_sound_elsewhere);
            let is_active = |until: Option<Instant>| until.is_some_and(|until| until > now);
            match (is_active(before), is_active(after)) {
                (false, true) => {
                    let tasks: Vec<String> =
                        worker.health.failed().map(TaskId::to_string).collect();
                    warn!(self.log, "owner: worker quarantined"; "vm" => %vm,
                        "why" => "several tasks failed", "tasks" => tasks.join(" "));
                    self.stats.events.push(("worker", "quarantined"));
                }
                (true, false) => {
                    info!(self.log, "owner: quarantine lifted"; "vm" => %vm,
                        "why" => "its tasks fail elsewhere too");
                    self.stats.events.push(("worker", "quarantine_lifted"));
                }
                _ => {}
            }
            self.is_round_due |= before.is_some() && after.is_none();
        }
    }

    /// Forgets the outcomes of a job that will not run again. Failures that were its own fault are no
    /// longer held against workers.
    pub(super) fn forget_faults(&mut self, id: &JobId) {
        if !self.faults.stages.keys().any(|(job, _)| job == id) {
            return;
        }
        let faults = &self.faults;
        for worker in self.workers.values_mut() {
            let is_own = |task: &TaskId| task.job == *id && faults.is_at_fault(task);
            worker.health.forget(is_own);
        }
        self.faults.tasks.retain(|task, _| task.job != *id);
        self.faults.stages.retain(|(job, _), _| job != id);
    }

    /// Returns true if a quarantine allows a task of a stage to start on a worker.
    pub(super) fn is_admitted(
        &self,
        now: Instant,
        job: &Job,
        stage: u32,
        worker: &Worker,
        is_at_fault: bool,
    ) -> bool {
        match self.access(now, worker, is_at_fault) {
            Access::Allowed => true,
            Access::Denied => false,
            Access::Probe => {
                self.faults.may_probe_again || !worker.health.has_failed(&job.id, stage)
            }
        }
    }

    fn access(&self, now: Instant, worker: &Worker, is_at_fault: bool) -> Access {
        let runs = worker.runs.iter();
        let probes = runs.filter(|(id, _)| !self.faults.is_at_fault(&id.task));
        worker
            .health
            .access(now, is_at_fault, probes.map(|(_, run)| run))
    }

    /// Returns true if a worker takes tasks now, some of them at least.
    pub(super) fn takes_tasks(&self, now: Instant, worker: &Worker) -> bool {
        worker.is_available(now) && self.access(now, worker, false) != Access::Denied
    }

    /// Returns the workers that wait for a probe.
    pub(super) fn workers_to_probe(&self, now: Instant) -> Vec<Name> {
        let is_due =
            |w: &Worker| self.access(now, w, false) == Access::Probe && w.is_available(now);
        let workers = self.workers.iter().filter(|(_, w)| is_due(w));
        workers.map(|(vm, _)| Arc::clone(vm)).collect()
    }

    /// Returns true if a task of a stage has failed on one of the workers since one last succeeded there.
    pub(super) fn has_failed_on(&self, vms: &[Name], job: &JobId, stage: u32) -> bool {
        let mut workers = vms.iter().filter_map(|vm| self.workers.get(vm));
        workers.any(|w| w.health.has_failed(job, stage))
    }
}

/// Returns the task that the failures of a task are counted on: a gang fails as a whole.
fn counted_task(job: &Job, task: &TaskId) -> Option<TaskId> {
    let (instance, position) = job.find(task)?;
    let counted = job.counted_position(instance, position);
    Some(job.task_id(&job.instances[instance], counted))
}

/// Returns how many tasks of a stage are done.
fn done_tasks(job: &Job, stage: u32) -> usize {
    let instances = job.instances.iter().filter(|i| i.stage == stage);
    instances.map(|i| i.done as usize).sum()
}
