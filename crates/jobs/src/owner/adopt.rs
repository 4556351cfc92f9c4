//! Runs in progress in workers' status reports: updates, adoption and rejected starts.

use base::prelude::*;
use slog::{info, warn};

use super::Owner;
use super::trials::trial_of;
use super::worker::{FULL_SPEED, Phase, Run, SPEED_UNKNOWN};
use crate::job::Rejections;
use crate::report::{RejectKind, Rejected, RunningRow, WorkerStatus};
use crate::{JobState, StageSpec, Task, TaskRun};

impl Owner {
    /// Applies the runs that a worker reports as running, and the starts pending at its companion.
    pub(super) fn apply_running(
        &mut self,
        now: Instant,
        vm: &Name,
        status: &WorkerStatus,
        open: &[TaskRun],
        is_first: bool,
    ) {
        // An unsettled status may lack a run that is being stopped and still uses resources.
        if let Some(worker) = self.workers.get_mut(vm).filter(|_| status.is_settled) {
            worker.has_unknown_runs = false;
        }
        for row in &status.running {
            let is_wanted = self.update_run(now, vm, status.clock_ms, row)
                || (is_first && self.adopt(now, vm, row));
            if !is_wanted {
                info!(self.log, "owner: run is not wanted"; "run" => %row.run, "vm" => %vm);
                self.stop_unwanted(now, vm, row);
            }
        }
        self.end_trials(now, vm, status);
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        for id in open {
            if let Some(run) = worker.runs.get_mut(id)
                && let Phase::Ordered {
                    is_acknowledged, ..
                } = &mut run.phase
            {
                *is_acknowledged = true;
            }
        }
    }

    /// Stops a run that should not be there; its resources stay charged, and its task waits, until
    /// it has ended.
    fn stop_unwanted(&mut self, now: Instant, vm: &Name, row: &RunningRow) {
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        let job = self.jobs.get_mut(&row.run.task.job);
        let found = job.and_then(|j| j.find(&row.run.task).map(|at| (j, at)));
        let Some((job, (instance, position))) = found else {
            // Its resources are not known, so nothing is placed on the worker until it ends.
            worker.has_unknown_runs = true;
            worker.unknown_runs.push(row.run.clone());
            return;
        };
        let mut run = new_run(job.stage_of(&row.run.task), now);
        run.phase = Phase::Stopping { sent: None };
        run.was_listed = true;
        worker.insert(row.run.clone(), run);
        job.add_run(instance, position, vm, row.run.attempt);
    }

    /// Applies the progress of a run in a status made at `clock_ms` of the worker's clock; returns false
    /// if the run is not known.
    fn update_run(&mut self, now: Instant, vm: &Name, clock_ms: u64, row: &RunningRow) -> bool {
        let Some(worker) = self.workers.get_mut(vm) else {
            return false;
        };
        let Some(run) = worker.runs.get_mut(&row.run) else {
            return false;
        };
        let is_whole = !run.was_listed && run.speed_percent == FULL_SPEED && !run.resumes;
        run.was_listed = true;
        if let Some(trial) = &mut run.trial {
            trial.listed.get_or_insert((now, clock_ms));
        }
        let has_started = matches!(run.phase, Phase::Ordered { .. });
        if has_started {
            run.last_progress = now;
            run.measured_since = is_whole.then_some(now);
            let order_time = now.duration_since(run.since);
            self.stats.times.push(("order_to_start", order_time));
            info!(self.log, "owner: run started"; "run" => %row.run, "vm" => %vm,
                "ordered_ms_ago" => now.duration_since(run.since).as_millis());
        }
        if row.percent > run.percent {
            run.percent = row.percent;
            run.last_progress = now;
        }
        run.gauge = row.gauge;
        if has_started {
            self.is_round_due |= worker.waits_for_starts() || worker.shed.is_some();
            worker.shed = None;
            worker.set_phase(&row.run, Phase::Running);
        }
        if let Some(job) = self.jobs.get_mut(&row.run.task.job)
            && let Some((instance, position)) = job.find(&row.run.task)
        {
            if job.state == JobState::Queued {
                job.state = JobState::Running;
            }
            if has_started {
                job.tasks[position].rejected_by.clear();
            }
            if row.checkpoint.is_some() {
                job.update(instance, position, |task| {
                    task.checkpoint = row.checkpoint.clone()
                });
            }
        }
        true
    }

    /// Adopts a run that a previous owner started; returns false if it has to be stopped.
    fn adopt(&mut self, now: Instant, vm: &Name, row: &RunningRow) -> bool {
        let Some(job) = self.jobs.get_mut(&row.run.task.job) else {
            return false;
        };
        let Some((instance, position)) = job.find(&row.run.task) else {
            return false;
        };
        let stage = job.stage_of(&row.run.task).clone();
        let task = &job.tasks[position];
        if job.state.has_ended() || task.is_done {
            return false;
        }
        if !task.active_runs.is_empty() && !stage.speculative {
            return false;
        }
        let mut run = new_run(&stage, now);
        run.phase = Phase::Running;
        run.was_listed = true;
        run.percent = row.percent;
        run.gauge = row.gauge;
        run.trial = trial_of(job, instance, position);
        // The previous owner may have throttled it, so the speed is sent in any case.
        run.speed_sent = run.is_best_effort.then_some((SPEED_UNKNOWN, now));
        job.state = JobState::Running;
        job.add_run(instance, position, vm, row.run.attempt);
        if row.checkpoint.is_some() {
            job.update(instance, position, |task| {
                task.checkpoint = row.checkpoint.clone()
            });
        }
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.insert(row.run.clone(), run);
        }
        info!(self.log, "owner: run adopted"; "run" => %row.run, "vm" => %vm);
        true
    }

    /// Releases runs that the worker reported before and that are now missing without an end.
    ///
    /// Requires a settled status report: a run that is being stopped may be missing from an
    /// unsettled one, both as running and as finished.
    pub(super) fn drop_vanished(&mut self, vm: &Name, status: &WorkerStatus, open: &[TaskRun]) {
        let Some(worker) = self.workers.get(vm) else {
            return;
        };
        let running = status.running.iter().map(|r| &r.run);
        let reported: IndexSet<&TaskRun> = running.chain(open).collect();
        let is_reported = |id: &TaskRun| reported.contains(id);
        let report = worker.processes.last_number;
        let vanished: Vec<TaskRun> = worker
            .runs
            .iter()
            .filter(|(id, run)| run.phase == Phase::Running && !is_reported(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in vanished {
            warn!(self.log, "owner: run vanished"; "run" => %id, "vm" => %vm,
                "fence" => status.fence, "clock_ms" => status.clock_ms, "report" => report);
            if let Some(worker) = self.workers.get_mut(vm) {
                worker.remove(&id);
            }
            self.release(vm, &id);
        }
    }

    /// Completes the adoption of a worker: runs that are neither reported nor pending are lost.
    pub(super) fn complete_adoption(&mut self, vm: &Name, status: &WorkerStatus, open: &[TaskRun]) {
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        worker.is_adopted = true;
        worker.is_unused = false;
        worker.processes.record_adoption();
        worker.inherited_until = None;
        let running = status.running.iter().map(|r| &r.run);
        let reported: IndexSet<&TaskRun> = running.chain(open).collect();
        // Starts sent under an earlier fencing token can't take effect any more, whether or not
        // their outcome is known.
        let lost: Vec<TaskRun> = worker
            .runs
            .keys()
            .filter(|id| !reported.contains(id))
            .cloned()
            .collect();
        info!(self.log, "owner: worker adopted";
            "vm" => %vm, "running" => status.running.len(), "lost" => lost.len(),
            "fence" => status.fence, "clock_ms" => status.clock_ms);
        for id in lost {
            info!(self.log, "owner: run lost"; "run" => %id, "vm" => %vm,
                "why" => "missing after the fencing token rose");
            if let Some(worker) = self.workers.get_mut(vm) {
                worker.remove(&id);
            }
            self.release(vm, &id);
        }
        self.settle_inherited(vm);
        self.commits.mark_vm(vm);
        self.is_round_due = true;
    }

    /// Handles starts that will never take effect, unless the worker's lists show otherwise;
    /// `status` is the latest.
    pub(super) fn apply_rejections(
        &mut self,
        now: Instant,
        vm: &Name,
        rejected: &[Rejected],
        status: Option<&WorkerStatus>,
    ) {
        if rejected.is_empty() {
            return;
        }
        let running = status.into_iter().flat_map(|s| &s.running);
        let listed: IndexSet<&TaskRun> = running.map(|r| &r.run).collect();
        for rejected in rejected {
            let is_listed = listed.contains(&rejected.run);
            self.apply_rejection(now, vm, rejected, is_listed, status);
        }
    }

    fn apply_rejection(
        &mut self,
        now: Instant,
        vm: &Name,
        rejected: &Rejected,
        is_listed: bool,
        status: Option<&WorkerStatus>,
    ) {
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        let is_settled = status.is_some_and(|s| s.is_settled);
        let was_listed = worker.runs.get(&rejected.run).is_some_and(|r| r.was_listed);
        // The companion concludes these two from the lists, others from the reply to one of several
        // calls.
        let is_by_lists = matches!(rejected.why, RejectKind::Old | RejectKind::Stopped);
        if is_listed || (was_listed && !is_settled && !is_by_lists) {
            warn!(self.log, "owner: rejection of a started run ignored";
                "run" => %rejected.run, "vm" => %vm, "why" => ?rejected.why);
            return;
        }
        let Some(run) = worker.remove(&rejected.run) else {
            return;
        };
        info!(self.log, "owner: start rejected";
            "run" => %rejected.run, "vm" => %vm, "why" => ?rejected.why,
            "ordered_ms_ago" => now.duration_since(run.since).as_millis(),
            "was_listed" => was_listed, "report" => worker.processes.last_number);
        self.stats.events.push(("run", "rejected"));
        if rejected.why == RejectKind::Ticket {
            self.drop_ticket(vm, &rejected.run);
        }
        if matches!(rejected.why, RejectKind::Room | RejectKind::Invalid) {
            self.avoid(vm, &rejected.run);
        }
        // These two end with the run or the worker.
        if !matches!(rejected.why, RejectKind::Stopped | RejectKind::Draining) {
            self.delay_after_rejection(now, vm, rejected);
        }
        self.release(vm, &rejected.run);
    }

    /// Lets a task wait before its next start on a worker that has rejected it, and all tasks if the
    /// worker sheds load.
    fn delay_after_rejection(&mut self, now: Instant, vm: &Name, rejected: &Rejected) {
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        let is_shedding = worker.last_report.as_ref().is_some_and(|l| l.is_shedding);
        if is_shedding && rejected.why == RejectKind::Room {
            let shed = Rejections::add(worker.shed, now);
            if worker.shed.is_none() {
                info!(self.log, "owner: worker sheds load"; "vm" => %vm, "run" => %rejected.run);
                self.stats.events.push(("worker", "shedding"));
            }
            worker.shed = Some(shed);
            self.faults.wake_at(shed.until());
        }
        let Some(job) = self.jobs.get_mut(&rejected.run.task.job) else {
            return;
        };
        if let Some((_, position)) = job.find(&rejected.run.task) {
            let rejected_by = &mut job.tasks[position].rejected_by;
            let rejections = Rejections::add(rejected_by.get(vm).copied(), now);
            rejected_by.insert(Arc::clone(vm), rejections);
            self.faults.wake_at(rejections.until());
        }
    }

    /// Makes a task avoid a worker where it failed, stalled or was rejected.
    pub(super) fn avoid(&mut self, vm: &Name, run: &TaskRun) {
        if let Some(job) = self.jobs.get_mut(&run.task.job)
            && let Some((instance, position)) = job.find(&run.task)
        {
            let avoid = |task: &mut Task| {
                if !task.avoid.contains(vm) {
                    task.avoid.push(Arc::clone(vm));
                }
            };
            job.update(instance, position, avoid);
        }
    }
}

/// Creates a newly ordered run of a task of `stage`.
pub(super) fn new_run(stage: &StageSpec, now: Instant) -> Run {
    Run {
        number: 0,
        phase: Phase::Ordered {
            sent: None,
            is_acknowledged: false,
        },
        was_listed: false,
        charged: stage.charged(),
        demand_milli: stage.demand_milli(),
        is_best_effort: stage.best_effort,
        class: stage.class.clone(),
        throttled_since: None,
        is_standing: stage.standing,
        latency_target_ms: stage.latency_target_ms.filter(|_| stage.standing),
        since: now,
        resumes: false,
        measured_since: None,
        percent: 0.0,
        last_progress: now,
        gauge: 0.0,
        speed_percent: FULL_SPEED,
        speed_sent: None,
        ticket: None,
        trial: None,
    }
}
