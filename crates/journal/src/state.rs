//! What the records of a shard add up to.

use base::prelude::*;
use platform::worker::Checkpoint;
use wire::{Claim, JobPhase, JobRef, JobSpec, JobStatus, TaskEnd};

use crate::Change;

/// Where a job stands in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum JobState {
    /// It waits to be placed.
    Queued,
    /// Its current attempt belongs to a worker.
    Assigned {
        /// The worker.
        worker: WorkerId,
        /// What it was granted.
        granted: Resources,
    },
    /// It finished.
    Finished,
    /// It failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// A job with all that the log says of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The job.
    pub id: JobId,
    /// What was submitted.
    pub spec: Arc<JobSpec>,
    /// When it was submitted, in milliseconds since 1970.
    pub submitted_at_ms: u64,
    /// Where it stands.
    pub state: JobState,
    /// The current attempt; 0 before the first.
    pub attempt: Attempt,
    /// How often it was evicted.
    pub evictions: u32,
    /// What its failed attempts said.
    pub errors: Vec<Name>,
    /// Where the next attempt resumes.
    pub checkpoint: Option<Checkpoint>,
}

/// The state of a shard: a pure function of its records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardState {
    jobs: IndexMap<JobId, Job>,
    keys: IndexMap<JobKey, JobId>,
    claims: IndexMap<(RouteName, Name), Claim>,
}

impl Job {
    /// Tells whether the job has come to its end.
    pub fn is_ended(&self) -> bool {
        matches!(
            self.state,
            JobState::Finished | JobState::Failed | JobState::Cancelled
        )
    }

    /// Returns the key of the current attempt.
    pub fn task_key(&self) -> TaskKey {
        TaskKey {
            job: self.id.clone(),
            attempt: self.attempt,
        }
    }

    /// Returns the status for a caller; `waiting` is why a queued job waits.
    pub fn status(&self, waiting: impl FnOnce() -> Name) -> JobStatus {
        let phase = match &self.state {
            JobState::Queued => JobPhase::Queued { reason: waiting() },
            JobState::Assigned { worker, .. } => JobPhase::Running {
                worker: worker.clone(),
                attempt: self.attempt,
            },
            JobState::Finished => JobPhase::Finished,
            JobState::Failed => JobPhase::Failed {
                errors: self.errors.clone(),
            },
            JobState::Cancelled => JobPhase::Cancelled,
        };
        JobStatus {
            job: self.id.clone(),
            key: self.spec.key.clone(),
            phase,
            attempts: self.attempt,
            evictions: self.evictions,
        }
    }
}

impl ShardState {
    /// Returns all jobs.
    pub fn jobs(&self) -> &IndexMap<JobId, Job> {
        &self.jobs
    }

    /// Returns a job by its id.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns a job by what a caller knows of it.
    pub fn find(&self, job: &JobRef) -> Option<&Job> {
        match job {
            JobRef::Id(id) => self.jobs.get(id),
            JobRef::Key(_, key) => self.jobs.get(self.keys.get(key)?),
        }
    }

    /// Returns the claim on an idempotency key.
    pub fn claim(&self, route: &RouteName, key: &Name) -> Option<&Claim> {
        self.claims.get(&(route.clone(), Arc::clone(key)))
    }

    /// Tells whether a task is the current attempt of a job that a worker holds.
    pub fn is_current(&self, key: &TaskKey) -> bool {
        self.jobs.get(&key.job).is_some_and(|job| {
            job.attempt == key.attempt && matches!(job.state, JobState::Assigned { .. })
        })
    }

    /// Applies one committed change; a change that no longer fits is without effect.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Submitted { job, spec, at_ms } => self.submitted(job, spec, *at_ms),
            Change::Assigned {
                key,
                worker,
                granted,
            } => self.assigned(key, worker, *granted),
            Change::Ended { key, end } => self.ended(key, end),
            Change::Lost { key } => self.lost(key),
            Change::Cancelled { job } => self.cancelled(job),
            Change::Claimed { claim, .. } => {
                let at = (claim.route.clone(), Arc::clone(&claim.key));
                self.claims.insert(at, (**claim).clone());
            }
        }
    }

    fn submitted(&mut self, id: &JobId, spec: &JobSpec, at_ms: u64) {
        if self.keys.contains_key(&spec.key) {
            return;
        }
        self.keys.insert(spec.key.clone(), id.clone());
        let job = Job {
            id: id.clone(),
            spec: Arc::new(spec.clone()),
            submitted_at_ms: at_ms,
            state: JobState::Queued,
            attempt: Attempt(0),
            evictions: 0,
            errors: Vec::new(),
            checkpoint: None,
        };
        self.jobs.insert(id.clone(), job);
    }

    fn assigned(&mut self, key: &TaskKey, worker: &WorkerId, granted: Resources) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let fits = job.state == JobState::Queued && key.attempt == job.attempt.next();
        let held = Promise::OnePlace.check(fits, || {
            format!("{key} assigned to {worker} while {:?}", job.state)
        });
        if job.evictions > 0 {
            Promise::ResumeOnce.check(fits, || {
                format!("{key} resumes on {worker} while {:?}", job.state)
            });
        }
        if held {
            job.attempt = key.attempt;
            job.state = JobState::Assigned {
                worker: worker.clone(),
                granted,
            };
        }
    }

    fn ended(&mut self, key: &TaskKey, end: &TaskEnd) {
        if !self.is_current(key) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        match end {
            TaskEnd::Finished if job.spec.run_time.is_some() => job.state = JobState::Finished,
            // Standing work has no end of its own: one that ended is started again.
            TaskEnd::Finished => job.state = JobState::Queued,
            TaskEnd::Failed { error } => {
                job.errors.push(Arc::clone(error));
                let spent = job.errors.len() >= job.spec.max_failures.max(1) as usize;
                let is_standing = job.spec.run_time.is_none();
                job.state = if spent && !is_standing {
                    JobState::Failed
                } else {
                    JobState::Queued
                };
            }
            TaskEnd::Stopped { checkpoint } => {
                job.evictions += 1;
                job.checkpoint = checkpoint.clone().or_else(|| job.checkpoint.take());
                job.state = JobState::Queued;
            }
            TaskEnd::Lost => job.state = JobState::Queued,
        }
    }

    fn lost(&mut self, key: &TaskKey) {
        if !self.is_current(key) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.state = JobState::Queued;
        }
    }

    fn cancelled(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.is_ended()) {
            job.state = JobState::Cancelled;
        }
    }
}
