//! What companions tell the owner, and what it answers.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::TaskRun;

/// A companion's report about its worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SyncReport {
    /// The VM that the companion and its worker are on.
    pub vm: Name,
    /// Drawn when the companion started; a later one is larger.
    pub boot: u64,
    /// Counts the companion's reports.
    pub number: u64,
    /// The highest epoch that the companion has heard of.
    pub epoch: Epoch,
    /// The worker, once it has announced itself.
    pub worker: Option<WorkerReport>,
}

/// The worker of a companion.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's id; a later life may have the same.
    pub id: WorkerId,
    /// When this life began, in milliseconds since the Unix epoch.
    pub born: Incarnation,
    /// The pool it serves.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its labels; racks are among them.
    pub labels: Vec<Name>,
    /// Its size.
    pub capacity: Resources,
    /// Set once the worker is leaving: the least time left, in milliseconds.
    pub draining_ms: Option<u64>,
    /// Whether the worker has left for good.
    pub is_gone: bool,
    /// Whether it has not answered for so long that its lease is no longer renewed.
    pub is_silent: bool,
    /// Its latest listing, where there is one.
    pub listing: Option<Listing>,
    /// Starts that the companion holds and whose outcome is open.
    pub open: Vec<TaskRun>,
    /// Starts that will never take effect.
    pub rejected: Vec<Rejected>,
}

/// What the worker listed in one answer.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// The fence under which the worker listed: no order with a lower one takes effect any more.
    pub fence: u64,
    /// The worker's clock when it listed, in milliseconds.
    pub clock_ms: u64,
    /// Whether no stop was under way: a run that is being stopped may be in neither list.
    pub is_settled: bool,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// Ends that have not been acknowledged.
    pub ends: Vec<EndRow>,
}

/// A run that goes on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunningRow {
    /// The run.
    pub run: TaskRun,
    /// The last checkpoint.
    pub checkpoint: Option<Name>,
    /// How much of the work is done, 0 to 100; 100 for a standing task at work.
    pub percent: f64,
    /// Tail latency in milliseconds for a task with a target, else processor use in thousandths.
    pub gauge: f64,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EndRow {
    /// The worker's number of the end.
    pub number: u64,
    /// The run.
    pub run: TaskRun,
    /// How it ended.
    pub how: EndKind,
    /// The last checkpoint.
    pub checkpoint: Option<Name>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndKind {
    /// The work is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped as ordered.
    Stopped,
    /// The worker's lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
    /// Something that this version doesn't know.
    Other,
}

impl EndKind {
    /// Returns the kind's name, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
            Self::Other => "other",
        }
    }
}

/// A start that will never take effect.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Rejected {
    /// The run.
    pub run: TaskRun,
    /// Why.
    pub why: RejectKind,
}

/// Why a start will never take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RejectKind {
    /// A higher fence was seen.
    Fence,
    /// This run, or a later one, was started, stopped or has ended before.
    Old,
    /// The lease had run out.
    Late,
    /// There was no room.
    Room,
    /// The ticket was not valid.
    Ticket,
    /// The worker is leaving.
    Draining,
    /// It was stopped before it was known to run.
    Stopped,
    /// The worker could not read it.
    Invalid,
}

/// What the owner answers to a report.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SyncReply {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Whether the answering entry owns the jobs; else all else is empty.
    pub is_owner: bool,
    /// The fence of orders to this life of the worker.
    pub fence: u64,
    /// The life that the answer is for.
    pub born: Incarnation,
    /// How long tasks may run, from when the report was sent; `None` for no change.
    pub lease_ms: Option<u64>,
    /// Ends up to this number are stored.
    pub stored_ends: u64,
    /// Rejected starts that the owner has taken note of.
    pub noted_rejects: Vec<TaskRun>,
    /// Runs to start.
    pub starts: Vec<StartOrder>,
    /// Runs to stop.
    pub stops: Vec<TaskRun>,
    /// Shares of speed at which runs may go on, in percent.
    pub paces: Vec<(TaskRun, u32)>,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub run: TaskRun,
    /// The job's own data.
    pub payload: Name,
    /// Where to resume.
    pub checkpoint: Option<Name>,
    /// The advisor's ticket.
    pub ticket: Option<Name>,
}
