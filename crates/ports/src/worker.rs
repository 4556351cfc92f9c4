//! The port to a worker VM, which the platform offers to the companion on the same VM.

use std::fmt;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// A task to start on a worker; starting the same key again is a no-op.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TaskStart {
    /// The job and attempt.
    pub key: TaskKey,
    /// The class; tasks of one class have similar usage and cause similar interference.
    pub class: ClassName,
    /// The resources granted to the task.
    pub granted: Resources,
    /// The work to do, as the duration of an undisturbed run; `None` for standing work.
    pub work: Option<Duration>,
    /// The checkpoint of an earlier attempt to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// The job's payload, opaque to the scheduler.
    pub payload: Name,
    /// How long the task may run before its first renewal; `None` for the worker's own limit.
    #[serde(default)]
    pub ttl: Option<Duration>,
}

/// A saved state of a task and its progress at that time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Checkpoint {
    /// The platform's name for the saved state.
    pub name: Name,
    /// The work done, as the duration of an undisturbed run.
    pub done: Duration,
}

/// The state of a task on a worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum TaskState {
    /// It runs.
    Running,
    /// It is being checkpointed.
    Checkpointing,
    /// It was stopped, with a checkpoint if one was taken.
    Stopped {
        /// The state saved before the stop.
        checkpoint: Option<Checkpoint>,
    },
    /// It succeeded.
    Finished,
    /// It failed.
    Failed {
        /// The error message of the task.
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
    /// The resources granted to it.
    pub granted: Resources,
    /// Its state.
    pub state: TaskState,
    /// The share of its granted processor time that it may use, 0 to 1; below 1 when throttled.
    pub throttle: f64,
}

/// A delayed measurement of a task or of the service on the same worker.
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
    /// The speed relative to an undisturbed run, which has 1; for a service, undisturbed latency
    /// divided by current latency.
    pub speed: f64,
    /// The share of the work done, 0 to 1, if the task reports it.
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
    /// Limits a task to a share of its granted processor time.
    Throttle {
        /// The job and attempt.
        key: TaskKey,
        /// The share of its granted processor time, 0 to 1.
        share: f64,
    },
    /// Removes an ended task from the worker's list, once its end has been recorded.
    Forget {
        /// The job and attempt.
        key: TaskKey,
    },
    /// Renews the leases of tasks; a task that is not renewed within `ttl` stops by itself.
    Renew {
        /// The tasks to renew.
        keys: Vec<TaskKey>,
        /// How long the tasks may run without another renewal.
        ttl: Duration,
    },
    /// Lists the tasks, including ended ones that were not forgotten yet.
    List,
    /// Reads the latest usage samples, which are delayed.
    Usage,
}

/// The reply to a [`WorkerCall`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum WorkerReply {
    /// The call was accepted.
    Ok,
    /// There is no such task.
    NoSuchTask,
    /// Reply to a list call.
    Tasks {
        /// The worker's capacity.
        capacity: Resources,
        /// Its tasks, including ended ones.
        tasks: Vec<TaskReport>,
    },
    /// Reply to a usage call.
    Usage(Vec<UsageSample>),
}

/// The blocking port to a worker.
pub trait Worker: Send + Sync + fmt::Debug {
    /// Makes one call and waits for its reply.
    ///
    /// # Errors
    ///
    /// A call that fails with an error of unknown outcome may have taken effect; every call is safe
    /// to repeat.
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
