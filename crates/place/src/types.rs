//! The inputs and outputs of the placer.

use base::prelude::*;
use tables::Priority;

/// A worker as its companion reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// Its capacity, including the part reserved for services.
    pub capacity: Resources,
    /// Whether it is about to stop: it gets no new tasks and its tasks are evicted.
    pub leaving: bool,
}

/// A request to place a job.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The job.
    pub job: JobId,
    /// The team that it counts against.
    pub team: TeamName,
    /// Its class; tasks of one class have similar resource use and interference.
    pub class: ClassName,
    /// Its priority.
    pub priority: Priority,
    /// The declared size.
    pub resources: Resources,
    /// The declared time of an undisturbed run; `None` for standing work.
    pub run_time: Option<Duration>,
    /// The deadline by which it should finish, if any.
    pub finish_by: Option<Instant>,
    /// The work that its checkpoint holds, as the time of an undisturbed run.
    pub work_done: Duration,
    /// How many of its attempts have failed.
    pub failures: u32,
}

/// A task with resources allocated on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedTask {
    /// The job and attempt.
    pub key: TaskKey,
    /// Where it runs.
    pub worker: WorkerId,
    /// Its class.
    pub class: ClassName,
    /// The team that it counts against.
    pub team: TeamName,
    /// Its priority.
    pub priority: Priority,
    /// The granted resources.
    pub granted: Resources,
    /// The declared time of an undisturbed run; `None` for standing work.
    pub run_time: Option<Duration>,
    /// The work done before this attempt, as the time of an undisturbed run.
    pub work_done: Duration,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ended {
    /// It succeeded.
    Finished,
    /// It failed.
    Failed,
    /// It was checkpointed and stopped because the placer decided to evict it.
    Evicted,
    /// Its worker was lost.
    Lost,
    /// Its job was cancelled.
    Cancelled,
}

/// Whether a job can run in the pool at all.
#[derive(Clone, Debug, PartialEq)]
pub enum Feasibility {
    /// Some worker of the pool is large enough.
    Feasible,
    /// No present worker is large enough, but one may join.
    FeasibleLater {
        /// What is missing, human-readable.
        reason: Name,
    },
    /// It can never run in this pool.
    Infeasible {
        /// What is missing, human-readable.
        reason: Name,
    },
}

/// A decision for the owner to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Starts the next attempt of a job.
    Place {
        /// The job.
        job: JobId,
        /// Where to start it.
        worker: WorkerId,
        /// The resources to grant.
        granted: Resources,
    },
    /// Limits a running task to a share of its processors.
    Throttle {
        /// The job and attempt.
        key: TaskKey,
        /// The share of its processor grant, 0 to 1; 1 lifts the limit.
        share: f64,
    },
    /// Checkpoints and stops a running task, whose job is then queued again.
    Evict {
        /// The job and attempt.
        key: TaskKey,
        /// Why it is evicted.
        why: EvictReason,
    },
}

/// Why a task is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EvictReason {
    /// It slows a service on its worker and throttling was not enough.
    Interference,
    /// It uses more memory than it was granted.
    Outgrown,
    /// An urgent job needs its resources.
    Urgent,
    /// A team below its quota needs its resources.
    Quota,
    /// Its worker is leaving.
    Leaving,
}

impl EvictReason {
    /// Returns the name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interference => "harm",
            Self::Outgrown => "outgrown",
            Self::Urgent => "urgent",
            Self::Quota => "quota",
            Self::Leaving => "leaving",
        }
    }
}

/// A quarantined worker, which gets no tasks because its tasks failed.
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineView {
    /// The worker.
    pub worker: WorkerId,
    /// When it gets its next single task as a probe.
    pub probe_at: Instant,
    /// Whether a probe is running now.
    pub probing: bool,
}

/// Counts and totals of the placer's state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Workers that are present and not leaving.
    pub workers: usize,
    /// Workers that are unresponsive or leaving.
    pub workers_unavailable: usize,
    /// Workers in quarantine.
    pub quarantined: usize,
    /// Waiting jobs, including parked ones and those whose placement is pending.
    pub queued: usize,
    /// Jobs that wait for a large enough worker to join.
    pub parked: usize,
    /// Tasks with allocated resources, including pending placements.
    pub placed: usize,
    /// The capacity of the present workers, less the part reserved for services.
    pub capacity: Resources,
    /// The resources allocated to tasks.
    pub allocated: Resources,
    /// Evictions because of interference that were decided in the last hour.
    pub evictions_last_hour: u32,
    /// Tasks that are throttled.
    pub throttled: usize,
}
