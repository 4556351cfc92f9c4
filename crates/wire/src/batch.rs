//! Messages about batch jobs and their tasks.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use tables::Priority;

/// A job as submitted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// The caller's idempotency key: submissions with the same key are the same job.
    pub key: JobKey,
    /// The route that it was submitted to.
    pub route: RouteName,
    /// The pool that runs it.
    pub pool: PoolName,
    /// The team whose quota it is charged to.
    pub team: TeamName,
    /// Its class.
    pub class: ClassName,
    /// The priority.
    pub priority: Priority,
    /// The resources that it requests.
    pub resources: Resources,
    /// Its undisturbed run time; `None` for standing work.
    pub run_time: Option<Duration>,
    /// The deadline, counted from its submission.
    pub finish_within: Option<Duration>,
    /// The number of failed attempts after which the job fails.
    pub max_failures: u32,
    /// The key of a job that must be finished first.
    pub after: Option<JobKey>,
    /// The job's payload, opaque to the scheduler.
    pub payload: Name,
}

/// A reference to a job, as callers give it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobRef {
    /// The id that the system assigned.
    Id(JobId),
    /// The pool and the caller's idempotency key.
    Key(PoolName, JobKey),
}

/// The phase of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum JobPhase {
    /// It waits for the given reason.
    Queued {
        /// The reason.
        reason: Name,
    },
    /// It runs.
    Running {
        /// Where it runs.
        worker: WorkerId,
        /// The attempt.
        attempt: Attempt,
    },
    /// It finished, and was counted exactly once.
    Finished,
    /// It failed, with the errors of its attempts.
    Failed {
        /// The error message of each attempt.
        errors: Vec<Name>,
    },
    /// It was cancelled.
    Cancelled,
}

/// The status of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// The caller's idempotency key.
    pub key: JobKey,
    /// Its phase.
    pub phase: JobPhase,
    /// The number of times it was placed.
    pub attempts: Attempt,
    /// The number of times it was evicted.
    pub evictions: u32,
}

/// The reply to a submission, sent once the job is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SubmitReply {
    /// The job is stored.
    Accepted {
        /// The job.
        job: JobId,
        /// True if an earlier submission with the same key created it.
        known: bool,
    },
    /// The job is not stored and will not run.
    Refused {
        /// The reason.
        reason: Name,
    },
    /// It is unknown whether the job is stored; the caller should resubmit it with the same key.
    Unknown,
    /// This entry does not own the shard.
    NotOwner,
}

/// A companion's long poll for work, to the owner of its worker's shard.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Poll {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation of the companion.
    pub incarnation: Incarnation,
    /// The shard that the companion believes the worker is in.
    pub shard: ShardId,
    /// Matches the reply to this poll.
    pub nonce: Nonce,
    /// How long the owner may hold the poll.
    pub wait: Duration,
    /// The worker's capacity.
    pub capacity: Resources,
    /// The availability zone of the worker.
    pub zone: ZoneName,
    /// The rack of the worker.
    pub rack: RackName,
    /// True if the worker is leaving and takes no new work.
    pub leaving: bool,
    /// The tasks on the worker, according to the worker's own list.
    pub running: Vec<RunningTask>,
    /// Usage samples that are new since the last poll that was replied to; they are delayed.
    pub samples: Vec<ports::worker::UsageSample>,
}

/// A task on a worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunningTask {
    /// The job and attempt.
    pub key: TaskKey,
    /// The resources granted to it.
    pub granted: Resources,
    /// Its class.
    pub class: ClassName,
}

/// An order of the owner to a companion.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Order {
    /// Start a task, whose assignment is committed.
    Start(ports::worker::TaskStart),
    /// Stop a task without a checkpoint, since it is cancelled or superseded.
    Stop {
        /// The task.
        key: TaskKey,
    },
    /// Checkpoint a task, stop it and report its end.
    Evict {
        /// The task.
        key: TaskKey,
    },
    /// Limit a task to a share of its granted processor time.
    Throttle {
        /// The task.
        key: TaskKey,
        /// The share, 0 to 1.
        share: f64,
    },
}

/// Which running tasks a poll reply renews.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Renewal {
    /// All tasks that the poll listed, except those that an order in the reply stops.
    All,
    /// The reply renews no task.
    None,
}

/// The reply to a [`Poll`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PollReply {
    /// The nonce of the poll that this replies to.
    pub nonce: Nonce,
    /// The outcome of the poll.
    pub answer: PollOutcome,
}

/// The outcome of a poll.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PollOutcome {
    /// The reply of the shard's owner.
    Owner {
        /// The owner's epoch.
        epoch: Epoch,
        /// Which running tasks the reply renews.
        keep: Renewal,
        /// How long the renewed tasks may run without another renewal, from the issue of the poll.
        keep_for: Duration,
        /// The orders to carry out.
        orders: Vec<Order>,
    },
    /// This entry does not own the shard.
    NotOwner {
        /// The owner's address for control calls, if known.
        owner: Option<std::net::SocketAddr>,
    },
}

/// How a task's attempt ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum TaskEnd {
    /// It succeeded.
    Finished,
    /// It failed.
    Failed {
        /// The error message of the task.
        error: Name,
    },
    /// It was stopped, with its last checkpoint if there is one.
    Stopped {
        /// The checkpoint to resume from.
        checkpoint: Option<ports::worker::Checkpoint>,
    },
    /// The worker's list contained it before and no longer does: the VM was restarted or replaced.
    Lost,
}

/// A companion's report of ended tasks, repeated until acknowledged.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DoneReport {
    /// The worker.
    pub worker: WorkerId,
    /// The shard.
    pub shard: ShardId,
    /// The tasks that ended.
    pub ends: Vec<(TaskKey, TaskEnd)>,
}

/// The acknowledgement of a [`DoneReport`]: tasks that the companion can forget, since their ends
/// are committed or the shard does not know them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DoneAck {
    /// The acknowledged tasks.
    pub keys: Vec<TaskKey>,
}

/// The idempotency key of a non-idempotent request and where the request was sent, so that a retry
/// joins it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The route: its path, which callers name, since its name may change before a retry.
    pub route: RouteAddress,
    /// The caller's idempotency key.
    pub key: Name,
    /// The id that the request is sent with.
    pub request: RequestId,
    /// The target that it is sent to.
    pub target: TargetId,
    /// The incarnation of the target's companion.
    pub incarnation: Incarnation,
    /// The companion's uptime, as known when the target was chosen.
    pub uptime: Duration,
    /// The companion's address for requests.
    pub http_addr: std::net::SocketAddr,
}

/// The reply to a claim, sent once the claim is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimReply {
    /// The key is claimed as requested.
    Granted,
    /// The key was claimed before, by the request to join.
    Held(Claim),
    /// The key is not claimed by this call.
    Refused {
        /// The reason.
        reason: Name,
    },
    /// It is unknown whether the key is claimed.
    Unknown,
    /// This entry does not own the shard.
    NotOwner,
}

/// Returns the shard that holds the jobs of a pool.
pub fn shard_of_pool(pool: &PoolName) -> ShardId {
    let hash = xxhash_rust::xxh3::xxh3_64(pool.as_str().as_bytes());
    ShardId((hash & u64::from(u32::MAX)) as u32)
}
