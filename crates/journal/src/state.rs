//! The state of a shard that results from applying its records.

use base::prelude::*;
use ports::worker::Checkpoint;
use wire::{Claim, JobPhase, JobRef, JobSpec, JobStatus, TaskEnd};

use crate::Change;
use crate::retain::Retained;
use crate::snapshot::Item;
use serde::{Deserialize, Serialize};

/// The maximum stored length of a task's error, in bytes.
const MAX_ERROR_BYTES: usize = 1_024;

/// The state of a job in the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum JobState {
    /// It is waiting to be placed.
    Queued,
    /// Its current attempt belongs to a worker.
    Assigned {
        /// The worker.
        worker: WorkerId,
        /// The granted resources.
        granted: Resources,
    },
    /// It finished.
    Finished,
    /// It failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// A job as recorded in the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Job {
    /// The job.
    pub id: JobId,
    /// The submitted job; the payload is removed once the job has ended.
    pub spec: Arc<JobSpec>,
    /// When it was submitted, in milliseconds since 1970.
    pub submitted_at_ms: u64,
    /// The current state.
    pub state: JobState,
    /// The current attempt; 0 before the first.
    pub attempt: Attempt,
    /// How often it was evicted.
    pub evictions: u32,
    /// The errors of its failed attempts.
    pub errors: Vec<Name>,
    /// The checkpoint from which the next attempt resumes.
    pub checkpoint: Option<Checkpoint>,
    /// When it ended, in milliseconds since 1970; 0 before.
    pub ended_at_ms: u64,
}

/// The state of a shard, which is a pure function of its records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardState {
    jobs: IndexMap<JobId, Job>,
    keys: IndexMap<JobKey, JobId>,
    claims: IndexMap<(RouteAddress, Name), (Claim, u64)>,
    retained: Retained,
    now_ms: u64,
    grace: Duration,
    is_handed_over: bool,
}

impl Job {
    /// Returns true if the job has ended.
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

    /// Returns the status for a caller; `waiting` returns the reason why a queued job waits.
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

    /// Returns a job by its id or its idempotency key.
    pub fn find(&self, job: &JobRef) -> Option<&Job> {
        match job {
            JobRef::Id(id) => self.jobs.get(id),
            JobRef::Key(_, key) => self.jobs.get(self.keys.get(key)?),
        }
    }

    /// Returns the claim on an idempotency key.
    pub fn claim(&self, route: &RouteAddress, key: &Name) -> Option<&Claim> {
        let (claim, _) = self.claims.get(&(route.clone(), Arc::clone(key)))?;
        Some(claim)
    }

    /// Returns true if a task is the current attempt of a job that is assigned to a worker.
    pub fn is_current(&self, key: &TaskKey) -> bool {
        self.jobs.get(&key.job).is_some_and(|job| {
            job.attempt == key.attempt && matches!(job.state, JobState::Assigned { .. })
        })
    }

    /// Applies one committed change; a change that does not match the current state has no effect.
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
            Change::Claimed { claim, at_ms } => self.claimed(claim, *at_ms),
            Change::Clock { at_ms } => self.clock(*at_ms),
            Change::Grace { grace } => self.grace = *grace,
            Change::HandedOver => self.is_handed_over = true,
            Change::Abandoned { job, reason } => self.abandoned(job, reason),
        }
    }

    /// Returns how long a previous owner may have kept tasks running after its lease expired.
    pub fn grace(&self) -> Duration {
        self.grace
    }

    /// Returns true if the previous owner resigned, so that it keeps no tasks running.
    pub fn is_handed_over(&self) -> bool {
        self.is_handed_over
    }

    /// Applies the barrier of a new owner.
    pub(crate) fn barrier(&mut self) {
        self.is_handed_over = false;
    }

    /// Drops what is past its retention. The time comes from the record, so that every replay of
    /// the log drops the same.
    fn clock(&mut self, at_ms: u64) {
        self.now_ms = self.now_ms.max(at_ms);
        while let Some(id) = self.retained.pop_job(self.now_ms) {
            if let Some(job) = self.jobs.swap_remove(&id) {
                self.keys.swap_remove(&job.spec.key);
            }
        }
        while let Some((at, made)) = self.retained.pop_claim(self.now_ms) {
            // A claim that moved since then has a later entry of its own.
            if self.claims.get(&at).is_some_and(|(_, ms)| *ms == made) {
                self.claims.swap_remove(&at);
            }
        }
    }

    fn claimed(&mut self, claim: &Claim, at_ms: u64) {
        let at = (claim.route.clone(), Arc::clone(&claim.key));
        self.retained.claim_made(at.clone(), at_ms);
        self.claims.insert(at, (claim.clone(), at_ms));
    }

    /// Returns the items of a snapshot, from which [`ShardState::restore`] rebuilds the state.
    pub(crate) fn items(&self) -> impl Iterator<Item = Item> {
        let head = [Item::Clock(self.now_ms), Item::Grace(self.grace)];
        let open = self.jobs.values().filter(|job| !job.is_ended());
        let ended = self.retained.jobs().filter_map(|id| self.jobs.get(id));
        let jobs = open.chain(ended).cloned().map(Box::new).map(Item::Job);
        let claims = self.retained.claims().filter_map(|(at, made)| {
            let (claim, ms) = self.claims.get(at)?;
            (ms == made).then(|| Item::Claim(Box::new(claim.clone()), *ms))
        });
        head.into_iter().chain(jobs).chain(claims)
    }

    /// Adds the items of a snapshot chunk.
    pub(crate) fn restore(&mut self, items: Vec<Item>) {
        for item in items {
            match item {
                Item::Job(job) => {
                    if job.is_ended() {
                        self.retained.job_ended(job.id.clone(), job.ended_at_ms);
                    }
                    self.keys.insert(job.spec.key.clone(), job.id.clone());
                    self.jobs.insert(job.id.clone(), *job);
                }
                Item::Claim(claim, at_ms) => self.claimed(&claim, at_ms),
                Item::Clock(at_ms) => self.now_ms = at_ms,
                Item::Grace(grace) => self.grace = grace,
            }
        }
    }

    /// Records the end of a job and drops its checkpoint and payload, so that only what is needed
    /// to recognise a duplicate remains.
    fn record_end(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_ended()) else {
            return;
        };
        job.ended_at_ms = self.now_ms;
        job.checkpoint = None;
        Arc::make_mut(&mut job.spec).payload = "".into();
        self.retained.job_ended(id.clone(), self.now_ms);
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
            ended_at_ms: 0,
        };
        self.jobs.insert(id.clone(), job);
    }

    fn assigned(&mut self, key: &TaskKey, worker: &WorkerId, granted: Resources) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let is_valid = job.state == JobState::Queued && key.attempt == job.attempt.next();
        let is_kept = Promise::OnePlace.check(is_valid, || {
            format!("{key} assigned to {worker} while {:?}", job.state)
        });
        if job.evictions > 0 {
            Promise::ResumeOnce.check(is_valid, || {
                format!("{key} resumes on {worker} while {:?}", job.state)
            });
        }
        if is_kept {
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
            // A standing task has no end: one that ended is started again.
            TaskEnd::Finished => job.state = JobState::Queued,
            TaskEnd::Failed { error } => {
                job.errors.push(shortened(error));
                let is_last = job.errors.len() >= job.spec.max_failures.max(1) as usize;
                let is_standing = job.spec.run_time.is_none();
                job.state = if is_last && !is_standing {
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
        self.record_end(&key.job);
    }

    fn lost(&mut self, key: &TaskKey) {
        if !self.is_current(key) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.state = JobState::Queued;
        }
    }

    fn abandoned(&mut self, id: &JobId, reason: &Name) {
        let queued = self.jobs.get_mut(id);
        if let Some(job) = queued.filter(|job| job.state == JobState::Queued) {
            job.errors.push(shortened(reason));
            job.state = JobState::Failed;
            self.record_end(id);
        }
    }

    /// Returns the predecessor that a job depends on, if it has one that is known.
    pub fn predecessor(&self, job: &Job) -> Option<&Job> {
        let key = job.spec.after.as_ref()?;
        self.jobs.get(self.keys.get(key)?)
    }

    fn cancelled(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.is_ended()) {
            job.state = JobState::Cancelled;
            self.record_end(id);
        }
    }
}

/// Truncates an error, so that the errors of many attempts can be stored.
pub fn shortened(error: &Name) -> Name {
    let mut end = error.len().min(MAX_ERROR_BYTES);
    while !error.is_char_boundary(end) {
        end -= 1;
    }
    error[..end].into()
}
