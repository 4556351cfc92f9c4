//! The in-memory state of a job: its tasks, and which of them may start.

use base::prelude::*;
use ports::store::Revision;
use serde::{Deserialize, Serialize};

use crate::{JobRecord, Progress, StageSpec, TaskId, TaskProgress};

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
    pub live: Vec<(Name, Attempt)>,
    /// The attempts that failed; kept by number, since a finished run may be redelivered to the
    /// next owner.
    pub failed: Vec<Attempt>,
    /// The highest attempt that was ordered or reported.
    pub last: Attempt,
    /// The last checkpoint.
    pub checkpoint: Option<Name>,
    /// The VMs on which it failed, stalled or was rejected.
    pub avoid: Vec<Name>,
}

impl Task {
    /// Returns true if the task is not done and has no run.
    pub fn is_waiting(&self) -> bool {
        !self.is_done && self.live.is_empty()
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
pub(crate) struct Part {
    pub(crate) occurrence: u32,
    pub(crate) stage: u32,
    /// The position of its first task.
    pub(crate) first: usize,
    pub(crate) tasks: usize,
    pub(crate) waiting: u32,
    pub(crate) done: u32,
}

impl Part {
    pub(crate) fn range(&self) -> std::ops::Range<usize> {
        self.first..self.first + self.tasks
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks
    }
}

/// A job and the state of its tasks.
#[derive(Debug)]
pub struct Job {
    pub(crate) id: JobId,
    pub(crate) record: JobRecord,
    pub(crate) state: JobState,
    pub(crate) tasks: Vec<Task>,
    pub(crate) parts: Vec<Part>,
    /// Whether a previous owner accepted it, so that workers may run tasks of it that this owner
    /// doesn't know.
    pub(crate) is_inherited: bool,
    /// Since when it could run but has no run.
    pub(crate) idle_since: Option<Instant>,
    /// When this owner accepted or loaded it.
    pub(crate) since: Instant,
    pub(crate) ended_unix_ms: Option<u64>,
    pub(crate) stored: Stored,
    /// The remaining critical path from the start of each stage, in milliseconds.
    tails_ms: Vec<u64>,
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
}

impl Job {
    pub(crate) fn new(id: JobId, record: JobRecord, now: Instant) -> Self {
        let occurrences = record.spec.schedule.map_or(1, |s| s.occurrences);
        let mut parts = Vec::new();
        let mut first = 0;
        for occurrence in 0..occurrences {
            for (stage, spec) in (0..).zip(&record.spec.stages) {
                parts.push(Part {
                    occurrence,
                    stage,
                    first,
                    tasks: spec.tasks as usize,
                    waiting: spec.tasks,
                    done: 0,
                });
                first += spec.tasks as usize;
            }
        }
        Self {
            id,
            tails_ms: tails_ms(&record.spec.stages),
            record,
            state: JobState::Queued,
            tasks: vec![Task::default(); first],
            parts,
            is_inherited: false,
            idle_since: None,
            since: now,
            ended_unix_ms: None,
            stored: Stored::default(),
        }
    }

    /// Restores the job's stored progress.
    pub(crate) fn restore(&mut self, progress: Progress, revision: Revision) {
        self.state = progress.state;
        self.ended_unix_ms = progress.ended_unix_ms;
        self.stored.progress = revision;
        for (position, stored) in progress.tasks {
            if let Some(task) = self.tasks.get_mut(position as usize) {
                task.is_done = stored.is_done;
                task.failed = stored.failed;
                task.checkpoint = stored.checkpoint;
            }
        }
        for part in &mut self.parts {
            let tasks = &self.tasks[part.range()];
            part.done = count(tasks, |t| t.is_done);
            part.waiting = count(tasks, Task::is_waiting);
        }
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
        }
    }

    /// Marks the progress as changed, so that it is not stored yet.
    pub(crate) fn touch(&mut self) {
        self.stored.version += 1;
    }

    pub(crate) fn is_stored(&self) -> bool {
        self.stored.record.is_some() && self.stored.stored_version == self.stored.version
    }

    pub(crate) fn stage(&self, part: &Part) -> &StageSpec {
        &self.record.spec.stages[part.stage as usize]
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
        let part = self.parts.get(at)?;
        ((id.index as usize) < part.tasks).then_some((at, part.first + id.index as usize))
    }

    pub(crate) fn task_id(&self, part: &Part, position: usize) -> TaskId {
        TaskId {
            job: self.id.clone(),
            occurrence: part.occurrence,
            stage: part.stage,
            index: u32::try_from(position - part.first).unwrap_or(u32::MAX),
        }
    }

    /// Changes a task and updates the counts of its stage instance.
    pub(crate) fn update(&mut self, part: usize, position: usize, change: impl FnOnce(&mut Task)) {
        let task = &mut self.tasks[position];
        let part = &mut self.parts[part];
        let before = (task.is_waiting(), task.is_done);
        change(task);
        part.waiting -= u32::from(before.0);
        part.waiting += u32::from(task.is_waiting());
        part.done -= u32::from(before.1);
        part.done += u32::from(task.is_done);
    }

    /// Returns the scheduled start of an occurrence, in milliseconds since the Unix epoch, if the
    /// job has a schedule.
    fn set_time(&self, part: &Part) -> Option<u64> {
        let schedule = self.record.spec.schedule.as_ref()?;
        Some(schedule.first_unix_ms + u64::from(part.occurrence) * schedule.interval_ms)
    }

    /// Returns the time from which the objective of an occurrence counts, in milliseconds since the
    /// Unix epoch.
    pub(crate) fn counts_from(&self, part: &Part) -> u64 {
        self.set_time(part).unwrap_or(self.record.accepted_unix_ms)
    }

    /// Returns true if tasks of a stage instance may start at `unix_ms`: it is scheduled by then
    /// and its dependencies are done.
    pub(crate) fn is_due(&self, part: &Part, unix_ms: u64) -> bool {
        let due = self.set_time(part).is_none_or(|at| unix_ms >= at);
        due && self.stage(part).after.iter().all(|stage| {
            let at = part.occurrence as usize * self.record.spec.stages.len() + *stage as usize;
            self.parts.get(at).is_some_and(Part::is_done)
        })
    }

    /// Updates since when the job, which could run, has no run; returns true if it has none.
    pub(crate) fn note_idle(&mut self, now: Instant) -> bool {
        if self.tasks.iter().all(|t| t.live.is_empty()) {
            self.idle_since.get_or_insert(now);
        } else {
            self.idle_since = None;
        }
        self.idle_since.is_some()
    }

    /// Returns true if all tasks are done.
    pub(crate) fn is_all_done(&self) -> bool {
        self.parts.iter().all(Part::is_done)
    }

    /// Returns the remaining critical path from a stage instance on, in milliseconds.
    pub(crate) fn chain_ms(&self, part: &Part) -> u64 {
        self.tails_ms[part.stage as usize]
    }

    /// Returns the job's critical path, in milliseconds.
    pub(crate) fn longest_chain_ms(&self) -> u64 {
        self.tails_ms.iter().copied().max().unwrap_or(0)
    }

    /// Returns the estimated work of the tasks that are not done, in core-milliseconds.
    pub(crate) fn work_left(&self) -> u64 {
        let work = |part: &Part| {
            let stage = self.stage(part);
            let left = part.tasks as u64 - u64::from(part.done);
            left * stage.estimate_ms * stage.room.cpu_milli / 1000
        };
        self.parts.iter().map(work).sum()
    }
}

/// Returns the remaining critical path from the start of each stage, in milliseconds.
fn tails_ms(stages: &[StageSpec]) -> Vec<u64> {
    let mut tail = vec![0_u64; stages.len()];
    for (at, stage) in stages.iter().enumerate().rev() {
        tail[at] += stage.estimate_ms;
        for before in &stage.after {
            let before = *before as usize;
            tail[before] = tail[before].max(tail[at]);
        }
    }
    tail
}

fn count(tasks: &[Task], is: impl Fn(&Task) -> bool) -> u32 {
    u32::try_from(tasks.iter().filter(|t| is(t)).count()).unwrap_or(u32::MAX)
}
