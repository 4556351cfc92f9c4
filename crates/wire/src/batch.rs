//! Messages about jobs and tasks.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use tables::Priority;

/// A job as submitted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// The caller's key: the same key is the same job.
    pub key: JobKey,
    /// The route it came in under.
    pub route: RouteName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The team that it counts against.
    pub team: TeamName,
    /// Its class.
    pub class: ClassName,
    /// Who goes first.
    pub priority: Priority,
    /// What it asks for.
    pub resources: Resources,
    /// Its work in undisturbed run time; `None` for standing work.
    pub run_time: Option<Duration>,
    /// How long after its submission it should be finished.
    pub finish_within: Option<Duration>,
    /// How many attempts may fail.
    pub max_failures: u32,
    /// The key of a job that must be finished first.
    pub after: Option<JobKey>,
    /// The job's own data, opaque to us.
    pub payload: Name,
}

/// Names a job by what a caller knows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobRef {
    /// The id that the system gave.
    Id(JobId),
    /// The caller's key, in a pool.
    Key(PoolName, JobKey),
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum JobPhase {
    /// It waits, for the reason given.
    Queued {
        /// Why it waits.
        reason: Name,
    },
    /// It runs.
    Running {
        /// Where it runs.
        worker: WorkerId,
        /// The attempt.
        attempt: Attempt,
    },
    /// It finished, and is counted once.
    Finished,
    /// It failed, with the errors of its attempts.
    Failed {
        /// What each attempt said.
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
    /// The caller's key.
    pub key: JobKey,
    /// Where it stands.
    pub phase: JobPhase,
    /// How often it was placed.
    pub attempts: Attempt,
    /// How often it was evicted.
    pub evictions: u32,
}

/// The answer to a submission, sent once the job is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SubmitReply {
    /// The job is kept; `known` tells that the key was submitted before.
    Accepted {
        /// The job.
        job: JobId,
        /// Whether an earlier submission made it.
        known: bool,
    },
    /// The job is not kept and will not run.
    Refused {
        /// Why.
        reason: Name,
    },
    /// Whether the job is kept is not known: submit it again with the same key.
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
    /// The life of the companion.
    pub incarnation: Incarnation,
    /// The shard that the companion believes the worker is in.
    pub shard: ShardId,
    /// Matches the answer to this poll.
    pub nonce: Nonce,
    /// How long the owner may hold the poll.
    pub wait: Duration,
    /// What the worker has.
    pub capacity: Resources,
    /// Where the worker is.
    pub zone: ZoneName,
    /// The rack it sits in.
    pub rack: RackName,
    /// Whether the worker takes new work.
    pub leaving: bool,
    /// What runs on the worker, by the worker's own list.
    pub running: Vec<RunningTask>,
    /// Lagging samples that are new since the last answered poll.
    pub samples: Vec<ports::worker::UsageSample>,
}

/// A task that a worker holds.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunningTask {
    /// The job and attempt.
    pub key: TaskKey,
    /// What it was granted.
    pub granted: Resources,
    /// Its class.
    pub class: ClassName,
}

/// What the owner asks a companion to do.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Order {
    /// Start a task. The assignment is committed.
    Start(ports::worker::TaskStart),
    /// Stop a task without a checkpoint: it is cancelled or superseded.
    Stop {
        /// The task.
        key: TaskKey,
    },
    /// Checkpoint a task, stop it and report its end.
    Evict {
        /// The task.
        key: TaskKey,
    },
    /// Limit a task to a share of its processors.
    Throttle {
        /// The task.
        key: TaskKey,
        /// The share, 0 to 1.
        share: f64,
    },
}

/// Whether running tasks may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Keep {
    /// All that the poll named and no order stops may go on.
    All,
    /// This answer renews nothing.
    None,
}

/// The answer to a [`Poll`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PollReply {
    /// The nonce of the poll that this answers.
    pub nonce: Nonce,
    /// What the owner says.
    pub answer: PollAnswer,
}

/// What the owner says to a poll.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PollAnswer {
    /// From the owner of the shard.
    Owner {
        /// The owner's term.
        epoch: Epoch,
        /// Whether running tasks may go on.
        keep: Keep,
        /// How long they may go on without another answer.
        keep_for: Duration,
        /// What to do.
        orders: Vec<Order>,
    },
    /// This entry does not own the shard; `owner` does, if known.
    NotOwner {
        /// The owner's address for control calls.
        owner: Option<std::net::SocketAddr>,
    },
}

/// How a task's attempt ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum TaskEnd {
    /// It ended well.
    Finished,
    /// It ended badly.
    Failed {
        /// What it said.
        error: Name,
    },
    /// It was stopped, with its last checkpoint where there is one.
    Stopped {
        /// Where to resume.
        checkpoint: Option<ports::worker::Checkpoint>,
    },
    /// Its worker once listed it and no longer does: the VM was restarted or replaced.
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

/// The tasks whose ends are committed, or that the shard does not know: forget them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DoneAck {
    /// The acknowledged tasks.
    pub keys: Vec<TaskKey>,
}

/// A non-idempotent request's idempotency key with where it was sent, so that a retry joins it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The route.
    pub route: RouteName,
    /// The caller's key.
    pub key: Name,
    /// The id under which the request is sent.
    pub request: RequestId,
    /// The target it is sent to.
    pub target: TargetId,
    /// The life of the target's companion.
    pub incarnation: Incarnation,
    /// The companion's uptime as known when the target was chosen.
    pub uptime: Duration,
    /// Where the companion takes requests.
    pub http_addr: std::net::SocketAddr,
}

/// The answer to a claim, sent once it is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimReply {
    /// The key is claimed as asked.
    Granted,
    /// The key was claimed before: join that request.
    Held(Claim),
    /// The key is not claimed by this call.
    Refused {
        /// Why.
        reason: Name,
    },
    /// Whether the key is claimed is not known.
    Unknown,
    /// This entry does not own the shard.
    NotOwner,
}

/// Returns the shard that holds the jobs of a pool.
pub fn shard_of_pool(pool: &PoolName) -> ShardId {
    let hash = xxhash_rust::xxh3::xxh3_64(pool.as_str().as_bytes());
    ShardId((hash & u64::from(u32::MAX)) as u32)
}
