//! The questions put to the placer and its answers.

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
    /// What it holds, the part kept for services included.
    pub capacity: Resources,
    /// Whether it is about to stop: it gets no new task and its tasks are moved.
    pub leaving: bool,
}

/// A job that asks to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct JobAsk {
    /// The job.
    pub job: JobId,
    /// The team that it counts against.
    pub team: TeamName,
    /// Its class, by which tasks use and harm alike.
    pub class: ClassName,
    /// Who goes first.
    pub priority: Priority,
    /// The declared size.
    pub resources: Resources,
    /// The declared time of an undisturbed run; `None` for standing work.
    pub run_time: Option<Duration>,
    /// When it should be finished.
    pub finish_by: Option<Instant>,
    /// The work that its checkpoint holds, in seconds of an undisturbed run.
    pub work_done: Duration,
    /// How many of its attempts have failed.
    pub failures: u32,
}

/// A task that holds part of a worker.
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
    /// Who goes first.
    pub priority: Priority,
    /// What it was granted.
    pub granted: Resources,
    /// The declared time of an undisturbed run; `None` for standing work.
    pub run_time: Option<Duration>,
    /// The work done before this attempt, in seconds of an undisturbed run.
    pub work_done: Duration,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ended {
    /// It ended well.
    Finished,
    /// It ended badly.
    Failed,
    /// It was checkpointed and stopped on our decision.
    Evicted,
    /// Its worker was lost.
    Lost,
    /// Its job was cancelled.
    Cancelled,
}

/// Whether a job can run at all.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Some worker of the pool is large enough.
    Fits,
    /// No present worker is large enough, but one may come.
    MayFitLater {
        /// What is missing, for a person.
        reason: Name,
    },
    /// It can never run in this pool.
    Never {
        /// What is missing, for a person.
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
        /// What to grant.
        granted: Resources,
    },
    /// Limits a running task to a share of its processors.
    Throttle {
        /// The job and attempt.
        key: TaskKey,
        /// The share of its processor grant, 0 to 1; 1 lifts the limit.
        share: f64,
    },
    /// Checkpoints and stops a running task, which then queues again.
    Evict {
        /// The job and attempt.
        key: TaskKey,
        /// What it makes room for.
        why: EvictWhy,
    },
}

/// Why a task is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EvictWhy {
    /// It slows a service on its worker, and throttling did not help enough.
    Harm,
    /// It uses more memory than it was granted.
    Outgrown,
    /// Urgent work needs its room.
    Urgent,
    /// A team that is owed its quota needs its room.
    Quota,
    /// Its worker is leaving.
    Leaving,
}

impl EvictWhy {
    /// Returns the name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Harm => "harm",
            Self::Outgrown => "outgrown",
            Self::Urgent => "urgent",
            Self::Quota => "quota",
            Self::Leaving => "leaving",
        }
    }
}

/// A worker that gets no work because its tasks fail.
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineView {
    /// The worker.
    pub worker: WorkerId,
    /// When it gets its next single task as a probe.
    pub probe_at: Instant,
    /// Whether such a probe runs now.
    pub probing: bool,
}

/// The placer's state in numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Workers that may get work.
    pub workers: usize,
    /// Workers that are silent or leaving.
    pub workers_away: usize,
    /// Workers in quarantine.
    pub quarantined: usize,
    /// Jobs that wait, parked ones included.
    pub queued: usize,
    /// Jobs that wait for a worker large enough.
    pub parked: usize,
    /// Tasks that hold room, placements under way included.
    pub placed: usize,
    /// What the present workers hold, less the part kept for services.
    pub capacity: Resources,
    /// What tasks hold.
    pub held: Resources,
    /// Evictions decided for the sake of services or quotas, in the last hour.
    pub evictions_last_hour: u32,
    /// Tasks under a throttle.
    pub throttled: usize,
}
