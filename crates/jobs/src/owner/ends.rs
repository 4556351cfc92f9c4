//! Finished runs: completions, failures and interruptions.

use base::prelude::*;
use slog::{info, warn};

use super::Owner;
use crate::report::{EndKind, EndRow};
use crate::{JobState, TaskRun};

impl Owner {
    /// Applies the finished runs that are new, in the order of their numbers.
    pub(super) fn take_ends(&mut self, now: Instant, unix_ms: u64, vm: &Name, rows: &[EndRow]) {
        let top = self.workers.get(vm).map_or(0, |w| w.ends.top);
        let mut rows: Vec<&EndRow> = rows.iter().filter(|row| row.number > top).collect();
        rows.sort_by_key(|row| row.number);
        for row in rows {
            self.take_end(now, unix_ms, vm, row);
            let job = &row.run.task.job;
            let version = self.jobs.get(job).map_or(0, |j| j.stored.version);
            if let Some(worker) = self.workers.get_mut(vm) {
                worker.ends.top = row.number;
                worker
                    .ends
                    .waiting
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

    fn take_end(&mut self, now: Instant, unix_ms: u64, vm: &Name, row: &EndRow) {
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
        match row.how {
            EndKind::Done => self.take_done(vm, &row.run, unix_ms),
            EndKind::Failed if run.is_some() || is_inherited => {
                self.take_failure(now, unix_ms, vm, &row.run);
            }
            _ => self.take_interruption(row),
        }
    }

    /// Marks a task as done; the first member of a gang that is done completes all members.
    fn take_done(&mut self, vm: &Name, run: &TaskRun, unix_ms: u64) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.health.succeeded();
        }
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some((part, position)) = job.find(&run.task) else {
            return;
        };
        let stage = job.stage_of(&run.task);
        if job.state.has_ended() || job.tasks[position].is_done || stage.standing {
            return;
        }
        let positions = if stage.gang {
            job.parts[part].range()
        } else {
            position..position + 1
        };
        let mut others = Vec::new();
        for position in positions {
            job.update(part, position, |task| {
                task.is_done = true;
                task.checkpoint = None;
            });
            let task = job.task_id(&job.parts[part], position);
            let live = job.tasks[position].live.iter();
            others.extend(live.map(|(vm, attempt)| {
                let task = task.clone();
                let attempt = *attempt;
                (Arc::clone(vm), TaskRun { task, attempt })
            }));
        }
        job.state = JobState::Running;
        job.touch();
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

    fn take_failure(&mut self, now: Instant, unix_ms: u64, vm: &Name, run: &TaskRun) {
        self.avoid(vm, run);
        let became_suspect = self
            .workers
            .get_mut(vm)
            .is_some_and(|w| w.health.failed(now));
        if became_suspect {
            warn!(self.log, "owner: worker quarantined"; "vm" => %vm, "why" => "failures in a row");
        }
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some((part, position)) = job.find(&run.task) else {
            return;
        };
        let is_standing = job.stage_of(&run.task).standing;
        if job.state.has_ended() || job.tasks[position].is_done || is_standing {
            return;
        }
        // A gang fails as a whole: its failures count on its first task, once for each run.
        let counted = if job.stage_of(&run.task).gang {
            job.parts[part].first
        } else {
            position
        };
        if job.tasks[counted].failed.contains(&run.attempt) {
            return;
        }
        job.update(part, counted, |task| task.failed.push(run.attempt));
        job.touch();
        let is_spent = job.tasks[counted].failed.len() >= job.record.terms.attempts as usize;
        self.commits.mark_progress(&run.task.job);
        if is_spent {
            self.end_job(&run.task.job, JobState::Failed, unix_ms);
        }
    }

    /// Records the checkpoint of a run that ended early, so that the task resumes from there.
    fn take_interruption(&mut self, row: &EndRow) {
        let Some(job) = self.jobs.get_mut(&row.run.task.job) else {
            return;
        };
        let Some((part, position)) = job.find(&row.run.task) else {
            return;
        };
        if job.state.has_ended() || job.tasks[position].is_done {
            return;
        }
        if row.checkpoint.is_some() && job.tasks[position].live.is_empty() {
            job.update(part, position, |task| {
                task.checkpoint = row.checkpoint.clone()
            });
        }
    }
}
