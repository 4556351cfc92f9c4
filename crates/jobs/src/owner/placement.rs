//! Placement: chooses a worker for each task that may start.

use base::prelude::*;
use blame::Verdict;
use slog::info;

use super::Owner;
use super::adopt::new_run;
use super::ranking::Urgency;
use super::totals::StageKey;
use super::trials::trial_of;
use super::worker::Worker;
use crate::job::StageInstance;
use crate::{Job, StageSpec, TaskRun};

/// The maximum processors that all tasks of a worker may want, over its capacity: throttled
/// best-effort tasks leave theirs to others.
const MAX_OVERCOMMIT: f64 = 1.3;

/// The delay before the next round while a job that could run has no run.
const REPEAT_AFTER: Duration = Duration::from_millis(250);

/// How many candidate stages a round may have without delaying the next one.
const UNDELAYED_STAGES: u32 = 20;

/// The delay of the next round for each further candidate stage, so that under a backlog one round
/// serves several finished runs.
const ROUND_GAP: Duration = Duration::from_micros(100);

/// The maximum delay between rounds.
const MAX_ROUND_GAP: Duration = Duration::from_millis(30);

/// How many tasks of a stage a round tries to place, so that a wide stage does not hold up others.
const MAX_TASKS_PER_STAGE: usize = 64;

/// How many workers a round may look at, over all tasks, before what it has not reached goes on to the
/// next one: a round must not hold up leases and answers.
const MAX_LOOKS: usize = 200_000;

/// How long a best-effort job may have no run before one is placed despite interference: half of
/// the three seconds after which a job that could be placed counts as forgotten.
const FORCED_AFTER: Duration = Duration::from_millis(1500);

/// The maximum best-effort load of a worker that gets a task despite interference, over its
/// capacity.
const FORCED_MAX_LOAD: f64 = 0.08;

/// The cost of placing a task despite interference, in units of load.
const FORCED_COST: f64 = 5.0;

/// The cost of a worker where the task failed before, in units of load.
const AVOID_COST: f64 = 10.0;

/// The cost of a worker outside the preferred rack, in units of load.
const REMOTE_COST: f64 = 1.0;

/// The cost of each run that a suspect of crashes would crash along, in units of load.
const EXPOSURE_COST: f64 = 0.25;

/// The gain of a worker that is reserved for suspects of crashes, in units of load.
const RESERVED_GAIN: f64 = 5.0;

/// The gain of placing latency-critical tasks of one class together, in units of load.
const SAME_CLASS_GAIN: f64 = 2.0;

/// The cost of each other class that a worker serves, in units of load.
const OTHER_CLASS_COST: f64 = 0.3;

/// The cost of a full best-effort load beside a latency-critical task, in units of load.
const BEST_EFFORT_COST: f64 = 1.0;

impl Owner {
    /// Places the tasks that may start, most urgent first.
    pub(super) fn place_tasks(&mut self, now: Instant, unix_ms: u64) {
        let is_repeat_due = self.repeat_round.is_some_and(|at| at <= now);
        if !self.is_round_due && !is_repeat_due && !self.has_schedules() {
            return;
        }
        if let Some(at) = self.next_round.filter(|at| *at > now) {
            self.repeat_round = Some(self.repeat_round.map_or(at, |due| due.min(at)));
            return;
        }
        self.is_round_due = false;
        self.repeat_round = None;
        let candidates = self.candidates(now, unix_ms);
        self.look_ahead(now);
        let candidate_count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        self.next_round = Some(
            now + (ROUND_GAP * candidate_count.saturating_sub(UNDELAYED_STAGES)).min(MAX_ROUND_GAP),
        );
        let mut budget = Budget::default();
        for (urgency, id, instance) in &candidates {
            if !self.place_candidate(now, *urgency, id, *instance, &mut budget) {
                return;
            }
        }
        // What failed on a quarantined worker probes it only if nothing else does.
        let to_probe = self.workers_to_probe(now);
        if !to_probe.is_empty() {
            self.faults.may_probe_again = true;
            for (urgency, id, instance) in &candidates {
                if self.has_failed_on(&to_probe, id, self.stage_at(id, *instance))
                    && !self.place_candidate(now, *urgency, id, *instance, &mut budget)
                {
                    break;
                }
            }
            self.faults.may_probe_again = false;
        }
        self.placed_stages.clear();
        self.look_ahead.placing = None;
    }

    fn stage_at(&self, id: &JobId, at: usize) -> u32 {
        self.jobs.get(id).map_or(0, |j| j.instances[at].stage)
    }

    /// Places what fits of a candidate; returns false if the rest has to wait for the next round.
    fn place_candidate(
        &mut self,
        now: Instant,
        urgency: Urgency,
        id: &JobId,
        at: usize,
        budget: &mut Budget,
    ) -> bool {
        if budget.looks >= MAX_LOOKS {
            self.stats.events.push(("round", "cut"));
            self.look_ahead.placing = None;
            self.repeat_soon(now);
            return false;
        }
        let Some(job) = self.jobs.get(id) else {
            return true;
        };
        let stage = (id.clone(), job.instances[at].stage);
        let is_gang = job.stage(&job.instances[at]).gang;
        self.look_ahead.placing = Some(urgency);
        if is_gang {
            budget.looks += self.workers.len();
            self.place_gang(now, id, at);
        } else {
            self.place_stage(now, id, at, budget);
        }
        self.placed_stages.insert(stage);
        self.request_advice(now, id, at);
        if self.jobs.get_mut(id).is_some_and(|j| j.update_idle(now)) {
            self.repeat_soon(now + REPEAT_AFTER);
        }
        true
    }

    /// Makes a placement round due at a time, even without a change.
    pub(super) fn repeat_soon(&mut self, at: Instant) {
        self.repeat_round = Some(self.repeat_round.map_or(at, |due| due.min(at)));
    }

    fn has_schedules(&self) -> bool {
        self.active.iter().any(|id| {
            self.jobs
                .get(id)
                .is_some_and(|j| j.record.spec.schedule.is_some())
        })
    }

    /// Places as many tasks of a stage instance as fit, and as the budget allows.
    fn place_stage(&mut self, now: Instant, id: &JobId, at: usize, budget: &mut Budget) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let stage = (id.clone(), job.instances[at].stage);
        // Tasks that no crash speaks against go first.
        let passes: &[bool] = if job.has_evidence {
            &[false, true]
        } else {
            &[false]
        };
        for is_suspect in passes.iter().copied() {
            let mut next = 0;
            while let Some(position) = self.next_waiting(now, id, at, next, is_suspect) {
                next = position + 1;
                if !budget.take(&stage, self.workers.len()) {
                    if !is_suspect {
                        // What is left has its turn once other events have been handled.
                        self.repeat_soon(now);
                    }
                    return;
                }
                let Some(job) = self.jobs.get(id) else {
                    return;
                };
                let Some(vm) = self.choose_worker(now, job, &job.instances[at], position) else {
                    self.reserve(now, id, at);
                    break;
                };
                let last = job.tasks[position].last_attempt;
                let Some(attempt) = self.next_attempt(id, last) else {
                    continue;
                };
                if is_suspect && !self.prepare_trial(now, &vm) {
                    continue;
                }
                self.order_run(now, id, at, position, &vm, attempt);
            }
        }
    }

    /// Returns the position of the next waiting task of a stage instance that may start now, from
    /// `position` on, among those that are suspected of crashes or among the others.
    fn next_waiting(
        &self,
        now: Instant,
        id: &JobId,
        at: usize,
        position: usize,
        is_suspect: bool,
    ) -> Option<usize> {
        let job = self.jobs.get(id)?;
        let instance = &job.instances[at];
        let may_start = |position: &&usize| {
            let task = &job.tasks[**position];
            (task.verdict() != Verdict::Clear) == is_suspect
                && !task.is_held(now)
                && !self.is_awaited(job, instance, **position)
        };
        let mut waiting = instance.waiting.range(position..);
        waiting.find(may_start).copied()
    }

    /// Returns the number of the next run after `last`, which no owner has used; `None` until the store
    /// has reserved more.
    pub(super) fn next_attempt(&mut self, id: &JobId, last: Attempt) -> Option<Attempt> {
        let epoch = self.cfg.epoch;
        let job = self.jobs.get_mut(id)?;
        let next = job.next_run_number(epoch, last);
        if job.reserve_run_numbers(epoch, last) {
            info!(self.log, "owner: run numbers reserved"; "job" => %id, "after" => %last,
                "is_waiting" => next.is_none());
            self.stats.events.push(("run_numbers", "reserved"));
            self.commits.mark_progress(id);
        }
        next
    }

    /// Orders a run of a task.
    pub(super) fn order_run(
        &mut self,
        now: Instant,
        id: &JobId,
        at: usize,
        position: usize,
        vm: &Name,
        attempt: Attempt,
    ) {
        let ticket = self
            .jobs
            .get(id)
            .and_then(|job| self.ticket(now, job, &job.instances[at], vm));
        let (fence, proved_ms_ago) = (self.fence(vm), self.proved_ms_ago(now));
        let (Some(job), Some(worker)) = (self.jobs.get_mut(id), self.workers.get_mut(vm)) else {
            return;
        };
        let task = job.task_id(&job.instances[at], position);
        let mut run = new_run(job.stage(&job.instances[at]), now);
        run.ticket = ticket;
        run.trial = trial_of(job, at, position);
        run.resumes = job.tasks[position].checkpoint.is_some();
        job.add_run(at, position, vm, attempt);
        let run_id = TaskRun { task, attempt };
        info!(self.log, "owner: run ordered"; "run" => %run_id, "vm" => %vm,
            "load" => worker.load_with(0), "failures" => job.tasks[position].failed.len(),
            "suspect" => run.trial.is_some(), "resumes" => run.resumes,
            "fence" => fence, "proved_ms_ago" => proved_ms_ago,
            "waited_ms" => now.duration_since(job.since).as_millis());
        self.stats
            .times
            .push(("accept_to_order", now.duration_since(job.since)));
        worker.insert(run_id, run);
    }

    /// Chooses the worker for a task.
    pub(super) fn choose_worker(
        &self,
        now: Instant,
        job: &Job,
        instance: &StageInstance,
        position: usize,
    ) -> Option<Name> {
        let stage = job.stage(instance);
        let verdict = job.tasks[position].verdict();
        if !self.admits_trial(now, &job.record.terms.pool, verdict) {
            return None;
        }
        let key = (job.id.clone(), instance.stage);
        let is_at_fault = self.faults.is_at_fault(&job.task_id(instance, position));
        let mut best: Option<(f64, &Name)> = None;
        for (vm, worker) in &self.workers {
            if !worker.takes_start(&key)
                || !self.is_eligible(now, job, instance, vm, worker, is_at_fault)
                || !self.is_allowed(now, job, instance, vm)
                || !self.is_unreserved(now, job, instance.stage, vm)
                || job.tasks[position].is_rejected_by(vm, now)
            {
                continue;
            }
            let mut cost = cost(stage, worker);
            if stage.best_effort {
                let added_load = self.colocation.borrow_mut().added_load(now, worker, stage);
                let Some(added_load) =
                    added_load.or_else(|| is_forced(now, job, worker).then_some(FORCED_COST))
                else {
                    continue;
                };
                cost += added_load;
            }
            if verdict == Verdict::Clear && worker.is_reserved(now) {
                continue;
            }
            if verdict != Verdict::Clear {
                if worker.has_trial() {
                    continue;
                }
                if worker.is_reserved(now) {
                    cost -= RESERVED_GAIN;
                }
                cost += EXPOSURE_COST * worker.runs.len() as f64;
            }
            if job.tasks[position].avoid.contains(vm) {
                cost += AVOID_COST;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, vm));
            }
        }
        best.map(|(_, vm)| Arc::clone(vm))
    }

    /// Returns true if a task of a stage may be placed on a worker now.
    pub(super) fn is_eligible(
        &self,
        now: Instant,
        job: &Job,
        instance: &StageInstance,
        vm: &Name,
        worker: &Worker,
        is_at_fault: bool,
    ) -> bool {
        self.takes(now, job, instance, vm, worker, is_at_fault)
            && job.stage(instance).charged().fits(&worker.free_capacity())
    }

    /// Returns true if a worker takes tasks of a stage, whether or not it has room for one;
    /// `is_at_fault` tells whether failures of the task are its own fault.
    pub(super) fn takes(
        &self,
        now: Instant,
        job: &Job,
        instance: &StageInstance,
        vm: &Name,
        worker: &Worker,
        is_at_fault: bool,
    ) -> bool {
        let Some(last_report) = &worker.last_report else {
            return false;
        };
        if last_report.pool != job.record.terms.pool
            || !worker.is_available(now)
            || !self.is_admitted(now, job, instance.stage, worker, is_at_fault)
        {
            return false;
        }
        let stage = job.stage(instance);
        if stage
            .label
            .as_ref()
            .is_some_and(|l| !last_report.labels.contains(l))
        {
            return false;
        }
        if stage.best_effort && worker.load_with(stage.cpu_milli()) > MAX_OVERCOMMIT {
            return false;
        }
        let is_full = |max: u32| instance.tasks_on(vm) >= max;
        !stage.max_per_worker.is_some_and(is_full)
    }
}

/// What a round may still do.
#[derive(Debug, Default)]
struct Budget {
    /// How many workers it has looked at, over all tasks.
    looks: usize,
    /// How many tasks of each stage it has tried to place.
    tasks: IndexMap<StageKey, usize>,
}

impl Budget {
    /// Returns true if the round may try to place another task of a stage.
    fn take(&mut self, stage: &StageKey, workers: usize) -> bool {
        let tasks = self.tasks.entry(stage.clone()).or_default();
        *tasks += 1;
        self.looks += workers;
        *tasks <= MAX_TASKS_PER_STAGE
    }
}

/// Returns true if a best-effort task may be placed on a worker despite the predicted interference:
/// its job has long had no run, and the worker has little best-effort load. Throttling bounds the
/// interference.
fn is_forced(now: Instant, job: &Job, worker: &Worker) -> bool {
    let is_long = |since: Instant| now.duration_since(since) >= FORCED_AFTER;
    !job.has_runs()
        && job.idle_since.is_some_and(is_long)
        && worker.best_effort_load() <= FORCED_MAX_LOAD
}

/// Returns the cost of placing a task of a stage on a worker, in units of load.
pub(super) fn cost(stage: &StageSpec, worker: &Worker) -> f64 {
    let mut cost = worker.load_with(stage.demand_milli());
    if stage.latency_target_ms.is_some() && stage.standing {
        cost += serving_cost(stage, worker);
        cost += BEST_EFFORT_COST * worker.best_effort_load();
    }
    if stage.near_rack.is_some() && stage.near_rack.as_ref() != worker.rack() {
        cost += REMOTE_COST;
    }
    cost
}

/// Returns the cost of serving one more latency-critical task on a worker, in units of load.
///
/// Best-effort tasks have to be harmless to each class that their worker serves, so the fewer classes
/// a worker serves, the more of them can run there. Fuller workers cost no more than others: packed
/// tasks leave the others free.
fn serving_cost(stage: &StageSpec, worker: &Worker) -> f64 {
    let served = worker.totals().served_classes();
    if served == 0 {
        return 0.0;
    }
    let packed = -worker.load_with(0);
    if stage.class.is_some() && worker.totals().serves(&stage.class) {
        packed + OTHER_CLASS_COST * (served - 1) as f64 - SAME_CLASS_GAIN
    } else {
        packed + OTHER_CLASS_COST * served as f64
    }
}
