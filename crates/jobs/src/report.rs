//! Companions' reports to the owner, and its replies.

mod changes;

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::TaskRun;

pub use self::changes::{SharedStatus, StatusChanges};

/// A companion's report about its worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SyncReport {
    /// The VM that the companion and its worker are on.
    pub vm: Name,
    /// Identifies the companion's process; the numbers of processes have no order.
    pub boot: u64,
    /// The sequence number of the report.
    pub number: u64,
    /// The highest epoch that the companion knows.
    pub epoch: Epoch,
    /// The worker, once it has announced itself.
    pub worker: Option<WorkerReport>,
}

/// A companion's report of its worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's id; a later incarnation may have the same.
    pub id: WorkerId,
    /// When this incarnation started, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub incarnation: Incarnation,
    /// The pool it serves.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its labels; racks are among them.
    pub labels: Vec<Name>,
    /// Its total resources.
    pub capacity: Resources,
    /// The minimum time left before it stops, in milliseconds; set once the worker is draining.
    pub draining_ms: Option<u64>,
    /// Whether the worker has left for good.
    pub is_gone: bool,
    /// Whether it has not responded for so long that its lease is no longer renewed.
    #[serde(rename = "is_silent")]
    pub is_unresponsive: bool,
    /// Whether it has turned away its last start because it sheds load, whatever the start needs.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_shedding: bool,
    /// Its latest status report, if there is one.
    #[serde(rename = "listing")]
    pub status: Option<WorkerStatus>,
    /// In place of `status`, its changes since an earlier report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<StatusChanges>,
    /// Starts that the companion has received and whose outcome is unknown.
    pub open: Vec<TaskRun>,
    /// Starts that will never take effect.
    pub rejected: Vec<Rejected>,
    /// Crashes of earlier incarnations that the owner has not recorded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
}

impl WorkerReport {
    /// Returns what the report says of the worker itself, without its runs.
    pub fn without_runs(&self) -> Self {
        Self {
            id: self.id.clone(),
            incarnation: self.incarnation,
            pool: self.pool.clone(),
            zone: self.zone.clone(),
            labels: self.labels.clone(),
            capacity: self.capacity,
            draining_ms: self.draining_ms,
            is_gone: self.is_gone,
            is_unresponsive: self.is_unresponsive,
            is_shedding: self.is_shedding,
            status: None,
            changes: None,
            open: Vec::new(),
            rejected: Vec::new(),
            crashes: Vec::new(),
        }
    }
}

/// A worker's status report: its running and finished runs.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The fencing token that the worker had seen: no order with a lower one takes effect any more.
    pub fence: u64,
    /// The worker's clock at the time of the status report, in milliseconds.
    pub clock_ms: u64,
    /// Whether no stop was in progress: a run that is being stopped may be in neither list.
    pub is_settled: bool,
    /// The runs in progress.
    pub running: Vec<RunningRow>,
    /// The finished runs that have not been acknowledged.
    #[serde(rename = "ends")]
    pub finished: Vec<FinishedRun>,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunningRow {
    /// The run.
    pub run: TaskRun,
    /// The last checkpoint.
    pub checkpoint: Option<Name>,
    /// The progress in percent, 0 to 100; 100 for a standing task that is ready.
    pub percent: f64,
    /// The tail latency in milliseconds for a latency-critical task, else the processor use in
    /// thousandths of a core.
    pub gauge: f64,
}

/// A finished run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FinishedRun {
    /// The worker's sequence number of the finished run.
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
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
    /// A kind that this version doesn't know.
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
    /// The reason.
    pub why: RejectKind,
}

/// The reason why a start will never take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RejectKind {
    /// The worker had seen a higher fencing token.
    Fence,
    /// This run, or a later one, was started, stopped or has ended before.
    Old,
    /// The lease had expired.
    Late,
    /// The worker lacked free resources.
    Room,
    /// The ticket was not valid.
    Ticket,
    /// The worker is draining.
    Draining,
    /// It was stopped before it was confirmed to run.
    Stopped,
    /// The worker could not parse the order.
    Invalid,
}

/// A crash of a worker: another incarnation appeared on its VM although it neither left nor drained.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// How long before the next incarnation was heard it was last connected, in milliseconds.
    pub away_ms: u64,
    /// Whether it ended while the lease of its runs lasted; else they may have ended before it.
    pub is_within_lease: bool,
    /// The runs that it may have had.
    pub runs: Vec<CrashedRun>,
}

/// A run on a worker that crashed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CrashedRun {
    /// The run.
    pub run: TaskRun,
    /// How long it had run at least when the worker was last connected, in milliseconds.
    pub ran_ms: u64,
}

/// The owner's reply to a report.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SyncReply {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Whether the replying entry owns the jobs; if not, all other fields are empty.
    pub is_owner: bool,
    /// The fencing token of orders to this incarnation of the worker.
    pub fence: u64,
    /// The incarnation that the reply is for.
    #[serde(rename = "born")]
    pub incarnation: Incarnation,
    /// Whether later reports may carry changes to the status of the report before.
    #[serde(default)]
    pub takes_changes: bool,
    /// Whether the next report must carry a whole status.
    #[serde(default)]
    pub needs_status: bool,
    /// How long tasks may run, from when the report was sent; `None` for no change.
    pub lease_ms: Option<u64>,
    /// How long tasks may start, from when the report was sent; `None` for as long as they may run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_lease_ms: Option<u64>,
    /// Finished runs up to this number are stored.
    pub stored_ends: u64,
    /// Rejected starts that the owner has processed.
    pub noted_rejects: Vec<TaskRun>,
    /// Earlier incarnations of the worker whose crashes the owner has recorded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub noted_crashes: Vec<Incarnation>,
    /// Runs to start.
    pub starts: Vec<StartOrder>,
    /// Runs to stop.
    pub stops: Vec<TaskRun>,
    /// The speeds to which runs are throttled, in percent of full speed.
    #[serde(rename = "paces")]
    pub throttles: Vec<(TaskRun, u32)>,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub run: TaskRun,
    /// The job's payload.
    pub payload: Name,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// The advisor's ticket.
    pub ticket: Option<Name>,
}
