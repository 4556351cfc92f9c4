//! Finished runs: completions, failures and interruptions.

use base::prelude::*;
use slog::info;

use super::Owner;
use crate::report::{EndKind, FinishedRun};
use crate::{JobState, TaskRun};

impl Owner {
    /// Applies the finished runs that are new, in the order of their numbers.
    pub(super) fn apply_finished(
        &mut self,
        now: Instant,
        unix_ms: u64,
        vm: &Name,
        rows: &[FinishedRun],
    ) {
        let top = self.workers.get(vm).map_or(0, |w| w.finished.highest);
        let mut rows: Vec<&FinishedRun> = rows.iter().filter(|row| row.number > top).collect();
        rows.sort_by_key(|row| row.number);
        for row in rows {
            self.apply_finished_run(now, unix_ms, vm, row);
            let job = &row.run.task.job;
            let version = self.jobs.get(job).map_or(0, |j| j.stored.version);
            if let Some(worker) = self.workers.get_mut(vm) {
                worker.finished.highest = row.number;
                worker
                    .finished
                    .unstored
                    .push_back((row.number, job.clone(), version));
            }
        }
        let jobs = &self.jobs;
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.advance_stored(|id, version| {
                jobs.get(id)
                    .is_none_or(|j| j.stored.stored_version >= version)
            });
        }
    }

    fn apply_finished_run(&mut self, now: Instant, unix_ms: u64, vm: &Name, row: &FinishedRun) {
        let run = self.workers.get_mut(vm).and_then(|w| w.remove(&row.run));
        info!(self.log, "owner: run ended";
            "run" => %row.run, "vm" => %vm, "how" => ?row.how, "known" => run.is_some(),
            "ran_ms" => run.as_ref().map_or(0, |r| now.duration_since(r.since).as_millis() as u64));
        self.stats.events.push(("run", row.how.name()));
        self.release(vm, &row.run);
        let is_inherited = run.is_none()
            && self.workers.get(vm).is_some_and(|w| !w.is_adopted)
            && self
                .jobs
                .get(&row.run.task.job)
                .is_some_and(|j| j.is_inherited);
        if let Some(run) = run.as_ref().filter(|_| row.how == EndKind::Done) {
            self.learn_run_time(now, &row.run, run);
        }
        match row.how {
            EndKind::Done => self.apply_done(now, vm, &row.run, unix_ms),
            EndKind::Failed if run.is_some() || is_inherited => {
                let ran = run.map_or(Duration::ZERO, |r| now.duration_since(r.since));
                self.apply_failure(now, unix_ms, vm, &row.run, ran);
            }
            _ => self.apply_interruption(row),
        }
    }

    /// Marks a task as done; the first member of a gang that is done completes all members.
    fn apply_done(&mut self, now: Instant, vm: &Name, run: &TaskRun, unix_ms: u64) {
        self.record_success(now, vm, run);
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some((instance, position)) = job.find(&run.task) else {
            return;
        };
        let stage = job.stage_of(&run.task);
        if job.state.has_ended() || job.tasks[position].is_done || stage.standing {
            return;
        }
        let positions = if stage.gang {
            job.instances[instance].range()
        } else {
            position..position + 1
        };
        let mut others = Vec::new();
        for position in positions {
            job.update(instance, position, |task| {
                task.is_done = true;
                task.checkpoint = None;
            });
            let task = job.task_id(&job.instances[instance], position);
            let active_runs = job.tasks[position].active_runs.iter();
            others.extend(active_runs.map(|(vm, attempt)| {
                let task = task.clone();
                let attempt = *attempt;
                (Arc::clone(vm), TaskRun { task, attempt })
            }));
        }
        job.state = JobState::Running;
        job.mark_changed();
        let is_complete = job.is_all_done();
        for (vm, run) in others {
            if let Some(worker) = self.workers.get_mut(&vm) {
                worker.stop_run(&run);
            }
        }
        self.commits.mark_progress(&run.task.job);
        self.is_round_due = true;
        if is_complete {
            self.end_job(&run.task.job, JobState::Completed, unix_ms);
        }
    }

    fn apply_failure(
        &mut self,
        now: Instant,
        unix_ms: u64,
        vm: &Name,
        run: &TaskRun,
        ran: Duration,
    ) {
        self.avoid(vm, run);
        self.record_failure(now, vm, run, ran);
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some((instance, position)) = job.find(&run.task) else {
            return;
        };
        let is_standing = job.stage_of(&run.task).standing;
        if job.state.has_ended() || job.tasks[position].is_done || is_standing {
            return;
        }
        // The members of a gang share the attempt number, so each of its runs counts once.
        let counted = job.counted_position(instance, position);
        if job.tasks[counted].failed.contains(&run.attempt) {
            return;
        }
        job.update(instance, counted, |task| task.failed.push(run.attempt));
        job.mark_changed();
        let is_spent = job.tasks[counted].failed.len() >= job.record.terms.attempts as usize;
        self.commits.mark_progress(&run.task.job);
        if is_spent {
            let failures = job.tasks[counted].failed.len();
            job.cause = Some(format!("{failures} runs of task {} failed", run.task).into());
            self.end_job(&run.task.job, JobState::Failed, unix_ms);
        }
    }

    /// Records the checkpoint of a run that ended early, so that the task resumes from there.
    fn apply_interruption(&mut self, row: &FinishedRun) {
        let Some(job) = self.jobs.get_mut(&row.run.task.job) else {
            return;
        };
        let Some((instance, position)) = job.find(&row.run.task) else {
            return;
        };
        if job.state.has_ended() || job.tasks[position].is_done {
            return;
        }
        if row.checkpoint.is_some() && job.tasks[position].active_runs.is_empty() {
            job.update(instance, position, |task| {
                task.checkpoint = row.checkpoint.clone()
            });
        }
    }
}
