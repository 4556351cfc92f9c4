//! The jobs that callers submit, and the ids of tasks and runs.

use std::fmt;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// A job as its caller submitted it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// The caller's own data, handed to every task.
    pub payload: Name,
    /// The stages; each depends only on earlier ones.
    pub stages: Vec<StageSpec>,
    /// When the stages run; `None` for once, immediately.
    pub schedule: Option<Schedule>,
}

/// The schedule of a job that does not run once and immediately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Schedule {
    /// How many times the stages run.
    pub occurrences: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// A stage: a number of tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StageSpec {
    /// How many tasks the stage has.
    pub tasks: u32,
    /// The resources that each task requests.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The caller's estimate of a task's run time, in milliseconds; may be inaccurate.
    pub estimate_ms: u64,
    /// The dependencies: stages whose tasks must all be done before.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks have to run all at the same time.
    pub gang: bool,
    /// Whether the tasks are slow unless they share a rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<Name>,
    /// The rack near the data; tasks are slower elsewhere.
    pub near_rack: Option<Name>,
    /// The maximum tasks of one occurrence of the stage on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether a task may have several concurrent runs.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub standing: bool,
    /// The class of the workload; tasks of one class interfere in the same way.
    pub class: Option<Name>,
    /// The latency target that the tail latency of standing tasks must stay below, in milliseconds.
    #[serde(rename = "tail_target_ms")]
    pub latency_target_ms: Option<u64>,
    /// Whether the tasks use only processor time that other tasks leave idle.
    #[serde(rename = "filler")]
    pub best_effort: bool,
    /// How many standing tasks the system itself may stop at the same time.
    pub max_unavailable: Option<u32>,
}

/// The average processor use of a latency-critical task in percent of its request, which covers
/// its peak.
const LATENCY_CRITICAL_USE_PERCENT: u64 = 60;

/// The largest amount of a resource, and the longest estimate in milliseconds, that decisions count with:
/// more than any worker has, and sums over all tasks do not overflow.
const MAX_AMOUNT: u64 = 1 << 40;

/// The same for accelerators.
const MAX_ACCELERATORS: u32 = 1 << 16;

impl StageSpec {
    /// Returns the processors that a task requests, in thousandths of a core.
    pub fn cpu_milli(&self) -> u64 {
        self.resources.cpu_milli.min(MAX_AMOUNT)
    }

    /// Returns the caller's estimate of a task's run time.
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimate_ms.min(MAX_AMOUNT))
    }

    /// Returns the processors that a task is expected to use, in thousandths of a core.
    pub fn demand_milli(&self) -> u64 {
        if self.standing && self.latency_target_ms.is_some() {
            self.cpu_milli() * LATENCY_CRITICAL_USE_PERCENT / 100
        } else {
            self.cpu_milli()
        }
    }

    /// Returns the resources that a task of the stage is charged to its worker.
    pub fn charged(&self) -> Resources {
        Resources {
            cpu_milli: if self.best_effort {
                0
            } else {
                self.cpu_milli()
            },
            memory_mib: self.resources.memory_mib.min(MAX_AMOUNT),
            accelerators: self.resources.accelerators.min(MAX_ACCELERATORS),
        }
    }
}

/// The terms of a route for its jobs; fixed for a job when it is accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteTerms {
    /// The route.
    pub route: RouteName,
    /// The pool whose workers run the tasks.
    pub pool: PoolName,
    /// The priority among routes; 0 is placed first.
    pub priority: u32,
    /// How many failed attempts of a task make its job fail.
    pub attempts: u32,
    /// The objective in multiples of the job's critical path.
    pub stretch: f64,
    /// The time that the objective adds to that product, in milliseconds.
    pub slack_ms: u64,
    /// The timing of the pool's placement advisor, if the route uses one.
    pub advice: Option<AdviceTerms>,
}

/// The route that a caller's request names.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteRef {
    /// Its name in the tables in force.
    pub name: RouteName,
    /// What the request itself names.
    pub address: RouteAddress,
}

/// The timing of a route's placement advisor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdviceTerms {
    /// The base time of a response, in milliseconds.
    pub base_ms: u64,
    /// The additional time of a response for each worker in the request, in milliseconds.
    pub per_worker_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// Identifies a task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The stage, from 0.
    pub stage: u32,
    /// The task within the stage, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.stage, self.index
        )
    }
}

/// Identifies one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// The attempt number; increases with each start of the task.
    pub attempt: Attempt,
}

impl fmt::Display for TaskRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}
