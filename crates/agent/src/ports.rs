//! The ports to the worker beside the companion.

use std::fmt;

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::{EndRow, RejectKind, RunningRow};

/// What a worker says of itself in a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The worker's id; a later life may have the same.
    pub id: WorkerId,
    /// When this life began, in milliseconds since the Unix epoch.
    pub born: Incarnation,
    /// Rises with each heartbeat of a life.
    pub number: u64,
    /// The pool it serves.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its labels; racks are among them.
    pub labels: Vec<Name>,
    /// Its size.
    pub capacity: Resources,
    /// Set while it is leaving: the least time left.
    pub draining: Option<Duration>,
    /// Its clock, in milliseconds, when it sent this.
    pub clock_ms: Option<u64>,
}

/// What a worker sends to its companion.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerSays {
    /// It lives.
    Heartbeat(Heartbeat),
    /// It leaves for good.
    Leave(WorkerId),
}

/// Decodes what a worker sends.
pub trait HeartbeatDialect: Send + Sync + fmt::Debug {
    /// Reads a request of the worker; `None` if it is none of its calls.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] for a call that names no worker that could be used.
    fn read(&self, method: &str, target: &str, body: &[u8]) -> Result<Option<WorkerSays>>;
}

/// Renews the worker's lease, acknowledges ends, and lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldCall {
    /// The worker that is meant.
    pub worker: WorkerId,
    /// The fence of the owner's epoch.
    pub fence: u64,
    /// Until when, on the worker's clock in milliseconds, tasks may run; `None` leaves it.
    pub deadline_ms: Option<u64>,
    /// Ends up to this number are stored and may be forgotten.
    pub stored_ends: u64,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// The answer to a [`HoldCall`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HoldReply {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The life that answered.
    pub born: Option<Incarnation>,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// Ends that are not acknowledged.
    pub ends: Vec<EndRow>,
}

/// Starts a run; the same again is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The worker that is meant.
    pub worker: WorkerId,
    /// The fence of the owner's epoch.
    pub fence: u64,
    /// Until when, on the worker's clock in milliseconds, tasks may run.
    pub deadline_ms: u64,
    /// The run.
    pub run: TaskRun,
    /// The job's own data.
    pub payload: Name,
    /// Where to resume.
    pub checkpoint: Option<Name>,
    /// The advisor's ticket.
    pub ticket: Option<Name>,
}

/// The answer to a [`StartCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run has started, now or before.
    Started {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The run will not start.
    Rejected {
        /// Why.
        why: RejectKind,
        /// The worker's clock in milliseconds, where it was told.
        clock_ms: Option<u64>,
    },
    /// Another life of the worker answered.
    WrongLife,
}

/// Stops a run, or keeps it from starting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// The worker that is meant.
    pub worker: WorkerId,
    /// The fence of the owner's epoch.
    pub fence: u64,
    /// The run.
    pub run: TaskRun,
}

/// Lets a run go on at a share of its speed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceCall {
    /// The worker that is meant.
    pub worker: WorkerId,
    /// The fence of the owner's epoch.
    pub fence: u64,
    /// The run.
    pub run: TaskRun,
    /// The share, in percent.
    pub percent: u32,
}

/// The worker beside the companion; calls block.
///
/// # Errors
///
/// Errors whose kind [is of unknown outcome](ErrorKind::is_outcome_unknown) may have taken
/// effect, or may do so seconds later.
pub trait Runner: Send + Sync + fmt::Debug {
    /// Renews, acknowledges and lists.
    fn hold(&self, call: &HoldCall) -> Result<HoldReply>;
    /// Starts a run.
    fn start(&self, call: &StartCall) -> Result<StartReply>;
    /// Stops a run; returns the worker's clock in milliseconds, `None` from another life.
    fn stop(&self, call: &StopCall) -> Result<Option<u64>>;
    /// Paces a run.
    fn pace(&self, call: &PaceCall) -> Result<()>;
}
