//! The in-memory state of a job: its tasks, and which of them may start.

mod counts;
mod rejections;
mod run_numbers;

use std::collections::BTreeSet;

use base::prelude::*;
use blame::{Evidence, Verdict};
use ports::store::Revision;
use serde::{Deserialize, Serialize};

pub(crate) use self::rejections::Rejections;
use self::run_numbers::RunNumbers;
use crate::{Faults, JobRecord, Progress, StageSpec, TaskId, TaskProgress};

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task has started yet.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used all its attempts.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns the state's name, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns true if no task of the job will run any more.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether its work is done.
    pub is_done: bool,
    /// Its runs that may be active: the VM and the attempt.
    pub active_runs: Vec<(Name, Attempt)>,
    /// The attempts that failed; kept by number, since a finished run may be redelivered to the
    /// next owner.
    pub failed: Vec<Attempt>,
    /// The highest attempt that was ordered or reported.
    pub last_attempt: Attempt,
    /// The last checkpoint.
    pub checkpoint: Option<Name>,
    /// The VMs on which it failed, stalled, was rejected or was suspected of a crash.
    pub avoid: Vec<Name>,
    /// The crashes of workers that it may be at fault for; those of a gang stand with its first task.
    pub evidence: Vec<Evidence>,
    /// It must not start before this time, since it is not known whether its last workers crashed.
    pub held_until: Option<Instant>,
    /// How many of its runs in a row failed soon after their start.
    pub prompt_failures: u32,
    /// It must not start before this time, since it keeps failing.
    pub retry_at: Option<Instant>,
    /// How many of its runs stood still, and the last of them.
    pub(crate) stalls: (u32, Attempt),
    /// The VMs whose workers rejected its last starts.
    pub(crate) rejected_by: IndexMap<Name, Rejections>,
}

impl Task {
    /// Returns what the crashes of workers say of the task.
    pub fn verdict(&self) -> Verdict {
        if self.evidence.is_empty() {
            return Verdict::Clear;
        }
        blame::assess(&self.evidence)
    }

    /// Returns true if the task is not done and has no run.
    pub fn is_waiting(&self) -> bool {
        !self.is_done && self.active_runs.is_empty()
    }

    fn has_run_on(&self, vm: &Name) -> bool {
        self.active_runs.iter().any(|(at, _)| at == vm)
    }

    /// Returns true if the task must not start yet.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        let is_before = |until: Instant| now < until;
        self.held_until.is_some_and(is_before) || self.retry_at.is_some_and(is_before)
    }

    /// Returns true if it must not start on a VM yet, whose worker has rejected it.
    pub(crate) fn is_rejected_by(&self, vm: &Name, now: Instant) -> bool {
        let rejections = self.rejected_by.get(vm);
        rejections.is_some_and(|r| now < r.until())
    }

    fn progress(&self) -> TaskProgress {
        TaskProgress {
            is_done: self.is_done,
            failed: self.failed.clone(),
            checkpoint: self.checkpoint.clone(),
        }
    }
}

/// One occurrence of a stage.
#[derive(Clone, Debug)]
pub(crate) struct StageInstance {
    pub(crate) occurrence: u32,
    pub(crate) stage: u32,
    /// The position of its first task.
    pub(crate) first: usize,
    pub(crate) tasks: usize,
    /// The positions of the tasks that wait.
    pub(crate) waiting: BTreeSet<usize>,
    pub(crate) done: u32,
    /// How many of its tasks have a run on a VM.
    on_vm: IndexMap<Name, u32>,
}

impl StageInstance {
    pub(crate) fn range(&self) -> std::ops::Range<usize> {
        self.first..self.first + self.tasks
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks
    }

    /// Returns how many of its tasks have a run on a VM.
    pub(crate) fn tasks_on(&self, vm: &Name) -> u32 {
        self.on_vm.get(vm).copied().unwrap_or(0)
    }

    /// Returns the VMs on which its tasks have runs.
    pub(crate) fn vms(&self) -> impl Iterator<Item = &Name> {
        self.on_vm.keys()
    }
}

/// A job and the state of its tasks.
#[derive(Debug)]
pub struct Job {
    pub(crate) id: JobId,
    pub(crate) record: JobRecord,
    pub(crate) state: JobState,
    pub(crate) tasks: Vec<Task>,
    pub(crate) instances: Vec<StageInstance>,
    /// Whether a previous owner accepted it, so that workers may run tasks of it that this owner
    /// doesn't know.
    pub(crate) is_inherited: bool,
    /// Since when it could run but has no run.
    pub(crate) idle_since: Option<Instant>,
    /// When this owner accepted or loaded it.
    pub(crate) since: Instant,
    pub(crate) ended_unix_ms: Option<u64>,
    /// Why it failed.
    pub(crate) cause: Option<Name>,
    pub(crate) stored: Stored,
    run_numbers: RunNumbers,
    /// The stage instances with waiting tasks.
    open: BTreeSet<usize>,
    /// How many stage instances are done.
    done_instances: usize,
    /// How many runs its tasks have.
    runs: usize,
    /// Whether there may be evidence against a task of it.
    pub(crate) has_evidence: bool,
    /// The estimated work of the tasks that are not done, in core-microseconds.
    remaining_core_us: u128,
    /// The stage instance from which the next round continues if it can't take all.
    next_instance: usize,
    /// The remaining critical path from the start of each stage, in milliseconds.
    remaining_paths_ms: Vec<u64>,
}

/// What the store holds of a job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stored {
    /// The revision of the record, once it is stored.
    pub(crate) record: Option<Revision>,
    /// The revision of the progress, 0 if none is stored.
    pub(crate) progress: Revision,
    /// Increases with each change of the progress.
    pub(crate) version: u64,
    /// The version that is stored.
    pub(crate) stored_version: u64,
    /// Whether a write is in flight.
    pub(crate) in_flight: bool,
    /// The progress of a job that goes on is not written again before this time.
    pub(crate) next_write: Option<Instant>,
}

impl Job {
    pub(crate) fn new(id: JobId, record: JobRecord, now: Instant) -> Self {
        let occurrences = record.spec.schedule.map_or(1, |s| s.occurrences);
        let mut instances = Vec::new();
        let mut first = 0;
        for occurrence in 0..occurrences {
            for (stage, spec) in (0..).zip(&record.spec.stages) {
                instances.push(StageInstance {
                    occurrence,
                    stage,
                    first,
                    tasks: spec.tasks as usize,
                    waiting: BTreeSet::new(),
                    done: 0,
                    on_vm: IndexMap::new(),
                });
                first += spec.tasks as usize;
            }
        }
        let mut job = Self {
            id,
            remaining_paths_ms: remaining_paths_ms(&record.spec.stages),
            record,
            state: JobState::Queued,
            tasks: vec![Task::default(); first],
            instances,
            is_inherited: false,
            idle_since: None,
            since: now,
            ended_unix_ms: None,
            cause: None,
            stored: Stored::default(),
            run_numbers: RunNumbers::default(),
            open: BTreeSet::new(),
            done_instances: 0,
            runs: 0,
            has_evidence: false,
            remaining_core_us: 0,
            next_instance: 0,
        };
        job.recount();
        job
    }

    /// Restores the job's stored progress.
    pub(crate) fn restore(&mut self, progress: Progress, revision: Revision) {
        self.state = progress.state;
        self.ended_unix_ms = progress.ended_unix_ms;
        self.stored.progress = revision;
        self.cause = progress.faults.cause;
        self.run_numbers = RunNumbers::after(progress.last_run);
        for (position, evidence) in progress.faults.evidence {
            if let Some(task) = self.tasks.get_mut(position as usize) {
                task.evidence = evidence;
                self.has_evidence = true;
            }
        }
        for (position, stored) in progress.tasks {
            if let Some(task) = self.tasks.get_mut(position as usize) {
                task.is_done = stored.is_done;
                task.failed = stored.failed;
                task.checkpoint = stored.checkpoint;
            }
        }
        self.recount();
    }

    /// Returns the job's progress as a record for the store.
    pub(crate) fn progress(&self) -> Progress {
        let fresh = TaskProgress::default();
        let tasks = (0..)
            .zip(&self.tasks)
            .map(|(position, task)| (position, task.progress()))
            .filter(|(_, progress)| *progress != fresh)
            .collect();
        Progress {
            state: self.state,
            tasks,
            ended_unix_ms: self.ended_unix_ms,
            faults: Faults {
                evidence: self.evidence(),
                cause: self.cause.clone(),
            },
            last_run: self.run_numbers.reserved(),
        }
    }

    fn evidence(&self) -> Vec<(u32, Vec<Evidence>)> {
        let tasks = (0..).zip(&self.tasks);
        tasks
            .filter(|(_, task)| !task.evidence.is_empty() && !task.is_done)
            .map(|(position, task)| (position, task.evidence.clone()))
            .collect()
    }

    /// Marks the progress as changed, so that it is not stored yet.
    pub(crate) fn mark_changed(&mut self) {
        self.stored.version += 1;
    }

    /// Returns until when the next write of the progress waits; that of an ended job does not.
    pub(crate) fn write_waits_until(&self, now: Instant) -> Option<Instant> {
        let next = self.stored.next_write.filter(|at| *at > now);
        next.filter(|_| !self.state.has_ended())
    }

    pub(crate) fn is_stored(&self) -> bool {
        self.stored.record.is_some() && self.stored.stored_version == self.stored.version
    }

    pub(crate) fn stage(&self, instance: &StageInstance) -> &StageSpec {
        &self.record.spec.stages[instance.stage as usize]
    }

    pub(crate) fn stage_of(&self, task: &TaskId) -> &StageSpec {
        &self.record.spec.stages[task.stage as usize]
    }

    /// Returns the index of the stage instance and the position of a task, if the job has it.
    pub(crate) fn find(&self, id: &TaskId) -> Option<(usize, usize)> {
        let stages = self.record.spec.stages.len();
        if id.stage as usize >= stages {
            return None;
        }
        let at = id.occurrence as usize * stages + id.stage as usize;
        let instance = self.instances.get(at)?;
        ((id.index as usize) < instance.tasks).then_some((at, instance.first + id.index as usize))
    }

    /// Returns the position of the task that faults of a task are counted on: a gang fails as a whole.
    pub(crate) fn counted_position(&self, instance: usize, position: usize) -> usize {
        let instance = &self.instances[instance];
        if self.stage(instance).gang {
            instance.first
        } else {
            position
        }
    }

    pub(crate) fn task_id(&self, instance: &StageInstance, position: usize) -> TaskId {
        TaskId {
            job: self.id.clone(),
            occurrence: instance.occurrence,
            stage: instance.stage,
            index: u32::try_from(position - instance.first).unwrap_or(u32::MAX),
        }
    }

    /// Returns the scheduled start of an occurrence, in milliseconds since the Unix epoch, if the
    /// job has a schedule.
    fn scheduled_unix_ms(&self, instance: &StageInstance) -> Option<u64> {
        let schedule = self.record.spec.schedule.as_ref()?;
        let passed = schedule
            .interval_ms
            .saturating_mul(u64::from(instance.occurrence));
        Some(schedule.first_unix_ms.saturating_add(passed))
    }

    /// Returns the time from which the objective of an occurrence counts, in milliseconds since the
    /// Unix epoch.
    pub(crate) fn released_unix_ms(&self, instance: &StageInstance) -> u64 {
        self.scheduled_unix_ms(instance)
            .unwrap_or(self.record.accepted_unix_ms)
    }

    /// Returns true if tasks of a stage instance may start at `unix_ms`: it is scheduled by then
    /// and its dependencies are done.
    pub(crate) fn is_due(&self, instance: &StageInstance, unix_ms: u64) -> bool {
        let due = self
            .scheduled_unix_ms(instance)
            .is_none_or(|at| unix_ms >= at);
        due && self.stage(instance).after.iter().all(|stage| {
            let at = instance.occurrence as usize * self.record.spec.stages.len() + *stage as usize;
            self.instances.get(at).is_some_and(StageInstance::is_done)
        })
    }

    /// Updates since when the job could run but has no run; returns true if it has none.
    pub(crate) fn update_idle(&mut self, now: Instant) -> bool {
        if self.has_runs() {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(now);
        }
        self.idle_since.is_some()
    }

    /// Returns true if any of its tasks has a run.
    pub(crate) fn has_runs(&self) -> bool {
        self.runs > 0
    }

    /// Returns true if all tasks are done.
    pub(crate) fn is_all_done(&self) -> bool {
        self.done_instances == self.instances.len()
    }

    /// Returns the remaining critical path from a stage instance on, in milliseconds.
    pub(crate) fn remaining_path_ms(&self, instance: &StageInstance) -> u64 {
        self.remaining_paths_ms[instance.stage as usize]
    }

    /// Returns the job's critical path, in milliseconds.
    pub(crate) fn critical_path_ms(&self) -> u64 {
        self.remaining_paths_ms.iter().copied().max().unwrap_or(0)
    }

    /// Returns the estimated work of the tasks that are not done, in core-milliseconds.
    pub(crate) fn remaining_work(&self) -> u64 {
        u64::try_from(self.remaining_core_us / 1000).unwrap_or(u64::MAX)
    }
}

/// Returns the remaining critical path from the start of each stage, in milliseconds.
fn remaining_paths_ms(stages: &[StageSpec]) -> Vec<u64> {
    let mut path = vec![0_u64; stages.len()];
    for (at, stage) in stages.iter().enumerate().rev() {
        path[at] = path[at].saturating_add(base::whole_ms(stage.estimate()));
        for before in &stage.after {
            let before = *before as usize;
            path[before] = path[before].max(path[at]);
        }
    }
    path
}
