//! The port to a worker VM, as the platform offers it to the companion beside it.

use std::fmt;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// What to start on a worker. Starting the same key again is a no-op.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TaskStart {
    /// The job and attempt.
    pub key: TaskKey,
    /// The class, by which tasks use and harm alike.
    pub class: ClassName,
    /// What the task was granted.
    pub granted: Resources,
    /// The work to do, in seconds of an undisturbed run; `None` for standing work.
    pub work: Option<Duration>,
    /// Where to resume, from an earlier attempt's checkpoint.
    pub checkpoint: Option<Checkpoint>,
    /// The job's own data, opaque to us.
    pub payload: Name,
    /// How long the task may run before its first renewal; `None` for the worker's own limit.
    #[serde(default)]
    pub ttl: Option<Duration>,
}

/// How far a task had come when it was checkpointed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Checkpoint {
    /// The platform's name of the saved state.
    pub name: Name,
    /// The work done, in seconds of an undisturbed run.
    pub done: Duration,
}

/// Where a task on a worker stands.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum TaskState {
    /// It runs.
    Running,
    /// It is being checkpointed.
    Checkpointing,
    /// It was stopped, with a checkpoint where one was taken.
    Stopped {
        /// The state saved before the stop.
        checkpoint: Option<Checkpoint>,
    },
    /// It ended well.
    Finished,
    /// It ended badly.
    Failed {
        /// What the task said.
        error: Name,
    },
}

/// A task in the worker's own list.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TaskReport {
    /// The job and attempt.
    pub key: TaskKey,
    /// The class.
    pub class: ClassName,
    /// What it was granted.
    pub granted: Resources,
    /// Where it stands.
    pub state: TaskState,
    /// The share of its processor grant that it may use, 0 to 1; below 1 when throttled.
    pub throttle: f64,
}

/// One lagging measurement of a task or of the service beside it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct UsageSample {
    /// The task, or `None` for the latency-critical service on the worker.
    pub task: Option<TaskKey>,
    /// The class of the task or service.
    pub class: ClassName,
    /// How long ago the sample was taken.
    pub age: Duration,
    /// Processors used, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory used, in mebibytes.
    pub memory_mib: u64,
    /// Work done a second, where 1 is an undisturbed run; for a service, quiet latency over latency.
    pub speed: f64,
    /// The share of the work done, 0 to 1, where the task tells.
    pub progress: Option<f64>,
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum WorkerCall {
    /// Starts a task; a no-op if this key was ever started.
    Start(TaskStart),
    /// Stops a task without a checkpoint.
    Stop {
        /// The job and attempt.
        key: TaskKey,
    },
    /// Checkpoints a task and stops it.
    Checkpoint {
        /// The job and attempt.
        key: TaskKey,
    },
    /// Limits a task to a share of its processors, 0 to 1.
    Throttle {
        /// The job and attempt.
        key: TaskKey,
        /// The share of its processor grant, 0 to 1.
        share: f64,
    },
    /// Forgets an ended task once its end was recorded.
    Forget {
        /// The job and attempt.
        key: TaskKey,
    },
    /// Renews the worker's leases: tasks not renewed for the time given stop by themselves.
    Renew {
        /// The job and attempt.
        keys: Vec<TaskKey>,
        /// How long they may run without another renewal.
        ttl: Duration,
    },
    /// Lists the tasks, ended ones included until forgotten.
    List,
    /// Reads the latest samples, taken some time ago.
    Usage,
}

/// The answer to a [`WorkerCall`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum WorkerReply {
    /// The call was taken.
    Ok,
    /// There is no such task.
    NoSuchTask,
    /// Answers a list: the worker's size and its tasks.
    Tasks {
        /// The worker's size.
        capacity: Resources,
        /// Its tasks, ended ones included.
        tasks: Vec<TaskReport>,
    },
    /// Answers a usage call.
    Usage(Vec<UsageSample>),
}

/// The blocking port to a worker.
pub trait Worker: Send + Sync + fmt::Debug {
    /// Makes one call and waits for its answer.
    ///
    /// # Errors
    ///
    /// Errors of unknown outcome may have taken effect; every call is safe to repeat.
    fn call(&self, call: &WorkerCall) -> Result<WorkerReply>;
}

impl WorkerCall {
    /// Returns the name of the call's kind, for metrics and errors.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::Stop { .. } => "stop",
            Self::Checkpoint { .. } => "checkpoint",
            Self::Throttle { .. } => "throttle",
            Self::Forget { .. } => "forget",
            Self::Renew { .. } => "renew",
            Self::List => "list",
            Self::Usage => "usage",
        }
    }
}
