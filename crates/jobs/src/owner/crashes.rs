//! Crashes of workers: the evidence against their runs, and tasks that are given up.
//!
//! [`blame`] decides who is at fault.

use base::prelude::*;
use blame::{Candidate, Evidence, Strength, Verdict};
use slog::{info, warn};

use super::Owner;
use super::trials::trial_of;
use crate::report::{Crash, CrashedRun};
use crate::{Job, JobState, TaskId, TaskRun};

/// How long after a crash without a primary suspect others may have the same cause.
const UNEXPLAINED: Duration = Duration::from_secs(60);

/// How far apart the ends of two workers may be that have a common cause: the last status of one that
/// is not heard any more may be older than its end.
const SAME_TIME: Duration = Duration::from_millis(600);

/// How many recorded crashes of a VM are remembered.
const MAX_RECORDED: usize = 16;

impl Owner {
    /// Records the crashes of earlier incarnations of a worker; the companion may forget those whose
    /// evidence is stored.
    pub(super) fn apply_crashes(
        &mut self,
        now: Instant,
        unix_ms: u64,
        vm: &Name,
        crashes: &[Crash],
    ) {
        for crash in crashes {
            let worker = self.workers.get(vm);
            if worker.is_some_and(|w| !w.recorded_crashes.contains_key(&crash.incarnation)) {
                self.apply_crash(now, unix_ms, vm, crash);
            }
        }
        let is_stored = |(id, version): &(JobId, u64)| {
            let job = self.jobs.get(id);
            job.is_none_or(|j| j.stored.stored_version >= *version)
        };
        if let Some(worker) = self.workers.get_mut(vm) {
            let recorded = &worker.recorded_crashes;
            let is_noted = |crash: &&Crash| {
                let jobs = recorded.get(&crash.incarnation);
                jobs.is_some_and(|jobs| jobs.iter().all(is_stored))
            };
            worker.noted_crashes = crashes
                .iter()
                .filter(is_noted)
                .map(|crash| crash.incarnation)
                .collect();
        }
    }

    fn apply_crash(&mut self, now: Instant, unix_ms: u64, vm: &Name, crash: &Crash) {
        let last_started = crash.runs.iter().min_by_key(|r| r.ran_ms);
        warn!(self.log, "owner: worker crashed";
            "vm" => %vm, "born" => crash.incarnation.0, "runs" => crash.runs.len(),
            "within_lease" => crash.is_within_lease,
            "last_started" => last_started.map(|r| r.run.to_string()));
        self.stats.events.push(("worker", "crashed"));
        let suspects = self.accuse(now, vm, crash);
        let jobs: IndexSet<JobId> = suspects.iter().map(|task| task.job.clone()).collect();
        for task in &suspects {
            self.judge(unix_ms, vm, task);
        }
        let version = |id: JobId| {
            let version = self.jobs.get(&id).map_or(0, |job| job.stored.version);
            (id, version)
        };
        let jobs = jobs.into_iter().map(version).collect();
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.crashed_at = now.checked_sub(Duration::from_millis(crash.away_ms));
            worker.recorded_crashes.insert(crash.incarnation, jobs);
            let surplus = worker.recorded_crashes.len().saturating_sub(MAX_RECORDED);
            worker.recorded_crashes.drain(..surplus);
        }
    }

    /// Adds a crash to the evidence against the tasks that the worker may have run, and returns
    /// those tasks.
    pub(super) fn accuse(&mut self, now: Instant, vm: &Name, crash: &Crash) -> Vec<TaskId> {
        let runs = self.candidates_of(crash);
        let candidates: Vec<Candidate<'_>> = runs
            .iter()
            .map(|(_, ran_ms, evidence)| Candidate {
                evidence,
                ran_ms: *ran_ms,
            })
            .collect();
        let (strengths, has_primary) = blame::attribute(&candidates);
        if crash.is_within_lease && !has_primary {
            self.unexplained_crash = Some(now);
        }
        let is_recent = |at: Instant| now.duration_since(at) < UNEXPLAINED;
        let ended_at = now.checked_sub(Duration::from_millis(crash.away_ms));
        let has_other_causes = self.unexplained_crash.is_some_and(is_recent)
            || ended_at.is_some_and(|at| self.has_lost_another_worker(now, vm, at));
        let mut suspects = Vec::new();
        for ((task, ran_ms, _), strength) in runs.iter().zip(strengths) {
            info!(self.log, "owner: run on a lost worker";
                "task" => %task, "vm" => %vm, "ran_ms" => ran_ms, "strength" => ?strength,
                "is_crash" => crash.is_within_lease);
            // Whatever ran for long may have ended before a crash of unknown time.
            if !crash.is_within_lease && strength == Strength::Distant {
                continue;
            }
            let evidence = Evidence {
                vm: Arc::clone(vm),
                incarnation: crash.incarnation,
                ran_ms: *ran_ms,
                strength,
                is_certain: crash.is_within_lease,
                has_other_causes,
            };
            self.add_evidence(task, evidence);
            suspects.push(task.clone());
        }
        suspects
    }

    /// Returns true if another worker ended at about the same time, so that the cause may be common.
    fn has_lost_another_worker(&self, now: Instant, vm: &Name, at: Instant) -> bool {
        let is_close = |other: Instant| {
            let distance = at.max(other) - at.min(other);
            distance < SAME_TIME
        };
        let mut others = self.workers.iter().filter(|(name, _)| *name != vm);
        others.any(|(_, worker)| {
            let last_status = worker.status_at.filter(|_| !worker.is_heard(now));
            worker.crashed_at.is_some_and(is_close) || last_status.is_some_and(is_close)
        })
    }

    /// Returns the tasks that may be at fault for a crash, one for each gang, with how long they had
    /// run and the earlier evidence against them.
    fn candidates_of(&self, crash: &Crash) -> Vec<(TaskId, u64, Vec<Evidence>)> {
        let mut found: IndexMap<TaskId, (u64, Vec<Evidence>)> = IndexMap::new();
        for CrashedRun { run, ran_ms } in &crash.runs {
            let job = self.jobs.get(&run.task.job);
            let Some((job, (instance, position))) = job.and_then(|j| Some((j, j.find(&run.task)?)))
            else {
                continue;
            };
            let counted = job.counted_position(instance, position);
            let task = &job.tasks[counted];
            if job.state.has_ended() || task.is_done {
                continue;
            }
            let id = job.task_id(&job.instances[instance], counted);
            let entry = found.entry(id);
            let (least, _) = entry.or_insert_with(|| (*ran_ms, task.evidence.clone()));
            *least = (*least).min(*ran_ms);
        }
        let rows = found.into_iter();
        rows.map(|(id, (ran_ms, evidence))| (id, ran_ms, evidence))
            .collect()
    }

    /// Adds evidence against a task; it replaces what was known of the same incarnation.
    fn add_evidence(&mut self, id: &TaskId, evidence: Evidence) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some((instance, position)) = job.find(id) else {
            return;
        };
        let is_alone = evidence.is_certain && evidence.strength == Strength::Alone;
        let task = &mut job.tasks[position];
        task.evidence.retain(|e| !e.is_of_same_worker(&evidence));
        let vm = Arc::clone(&evidence.vm);
        self.has_doubts |= !evidence.is_certain;
        task.evidence.push(evidence);
        job.has_evidence = true;
        let task = &mut job.tasks[position];
        if task.verdict() != Verdict::Clear && !task.avoid.contains(&vm) {
            task.avoid.push(vm);
        }
        if is_alone {
            drop_checkpoint(job, instance, position);
        }
        job.mark_changed();
        self.commits.mark_progress(&id.job);
    }

    /// Gives a task up that is proved to be at fault; puts one that is suspected on trial where it
    /// already runs again.
    fn judge(&mut self, unix_ms: u64, crashed: &Name, id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some((instance, position)) = job.find(id).filter(|_| !job.state.has_ended()) else {
            return;
        };
        let task = &job.tasks[position];
        let verdict = task.verdict();
        if verdict != Verdict::Clear {
            info!(self.log, "owner: task suspected of crashes";
                "task" => %id, "verdict" => ?verdict, "crashes" => task.evidence.len());
            self.stats.events.push(("task", "suspected"));
        }
        if verdict == Verdict::Guilty {
            self.give_up(unix_ms, id);
            return;
        }
        let trial = trial_of(job, instance, position);
        let task = &job.tasks[position];
        for (vm, attempt) in task.active_runs.iter().filter(|(vm, _)| vm != crashed) {
            let run = TaskRun {
                task: id.clone(),
                attempt: *attempt,
            };
            if let Some(worker) = self.workers.get_mut(vm)
                && let Some(run) = worker.runs.get_mut(&run)
            {
                run.trial = trial;
                worker.recount();
            }
        }
    }

    /// Fails a job because one of its tasks crashes its workers; clears others of the same crashes.
    fn give_up(&mut self, unix_ms: u64, id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some((_, position)) = job.find(id) else {
            return;
        };
        let evidence = std::mem::take(&mut job.tasks[position].evidence);
        let vms: Vec<&str> = evidence.iter().map(|e| &*e.vm).collect();
        let vms = vms.join(", ");
        let cause = format!("task {id} crashed {} workers ({vms})", evidence.len());
        warn!(self.log, "owner: task given up";
            "task" => %id, "crashes" => evidence.len(), "vms" => vms, "cause" => &cause);
        self.stats.events.push(("task", "given_up"));
        job.cause = Some(cause.into());
        self.end_job(&id.job, JobState::Failed, unix_ms);
        let others: Vec<JobId> = self.active.iter().cloned().collect();
        for other in others {
            self.clear_explained(&other, &evidence);
        }
    }

    /// Removes evidence against the tasks of a job that another task's fault explains.
    fn clear_explained(&mut self, id: &JobId, explained: &[Evidence]) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_explained = |e: &Evidence| explained.iter().any(|other| other.is_of_same_worker(e));
        let mut has_changed = false;
        for task in &mut job.tasks {
            let before = task.evidence.len();
            task.evidence.retain(|e| !is_explained(e));
            has_changed |= task.evidence.len() != before;
        }
        if has_changed {
            job.mark_changed();
            self.commits.mark_progress(id);
            self.is_round_due = true;
        }
    }
}

/// Makes a task start from its beginning, since its checkpoint may be what crashes the worker.
fn drop_checkpoint(job: &mut Job, instance: usize, position: usize) {
    let positions = if job.stage(&job.instances[instance]).gang {
        job.instances[instance].range()
    } else {
        position..position + 1
    };
    for position in positions {
        job.update(instance, position, |task| task.checkpoint = None);
    }
}
