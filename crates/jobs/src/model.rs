//! What callers submit, and the names of tasks and their runs.

use std::fmt;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// A job as its caller submitted it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// The caller's own data, handed to every task.
    pub payload: Name,
    /// The stages; each names only earlier ones in `after`.
    pub stages: Vec<StageSpec>,
    /// When the stages run; `None` for once, at once.
    pub schedule: Option<Schedule>,
}

/// When the stages of a job run, if not at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Schedule {
    /// How often the stages run.
    pub occurrences: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// A stage: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StageSpec {
    /// How many tasks the stage has.
    pub tasks: u32,
    /// What each task asks for.
    pub room: Resources,
    /// The caller's estimate of a task's run time, in milliseconds; may be far off.
    pub estimate_ms: u64,
    /// The stages whose tasks must all be done before.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks run only all together.
    pub gang: bool,
    /// Whether the tasks are slow unless they share a rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<Name>,
    /// The rack near the data; slower elsewhere.
    pub near_rack: Option<Name>,
    /// The most tasks of one occurrence of the stage on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether several runs of a task may go on at once.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub standing: bool,
    /// What the tasks run; tasks of a class behave alike.
    pub class: Option<Name>,
    /// The tail latency that standing tasks must stay below, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks use only processor time that others leave.
    pub filler: bool,
    /// How many standing tasks the system itself may take away at once.
    pub max_unavailable: Option<u32>,
}

/// The share of its room that a task with a tail target uses on average, in percent: such tasks
/// ask for what they need at their peak.
const SERVING_USE_PERCENT: u64 = 60;

impl StageSpec {
    /// Returns the processors that a task is expected to use, in thousandths.
    pub fn demand_milli(&self) -> u64 {
        if self.standing && self.tail_target_ms.is_some() {
            self.room.cpu_milli * SERVING_USE_PERCENT / 100
        } else {
            self.room.cpu_milli
        }
    }

    /// Returns what a task of the stage takes from its worker's room.
    pub fn charged(&self) -> Resources {
        let cpu_milli = if self.filler { 0 } else { self.room.cpu_milli };
        Resources {
            cpu_milli,
            ..self.room
        }
    }
}

/// What a route asks of its jobs; fixed for a job when it is accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteTerms {
    /// The route.
    pub route: RouteName,
    /// The pool whose workers run the tasks.
    pub pool: PoolName,
    /// The rank among routes; 0 goes first.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub attempts: u32,
    /// The objective in multiples of the job's longest chain of work.
    pub stretch: f64,
    /// What the objective allows on top of the stretched chain, in milliseconds.
    pub slack_ms: u64,
    /// How the pool's placement advisor answers, where the route has one.
    pub advice: Option<AdviceTerms>,
}

/// How a route's placement advisor answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdviceTerms {
    /// How long an answer takes at least, in milliseconds.
    pub base_ms: u64,
    /// How much longer an answer takes for each worker asked about, in milliseconds.
    pub per_worker_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// Names a task of a job.
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

/// Names one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// The run; rises with each start of the task.
    pub attempt: Attempt,
}

impl fmt::Display for TaskRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}
