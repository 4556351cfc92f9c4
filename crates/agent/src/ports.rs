//! Messages of the worker, calls to it, and the traits that carry them.

use std::fmt;

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::{FinishedRun, RejectKind, RunningRow};

use crate::candidates::Identity;

/// A worker's description of itself, sent periodically.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The worker's id; a later incarnation may have the same.
    pub id: WorkerId,
    /// When this incarnation began, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Sequence number, which rises with each heartbeat of an incarnation.
    pub number: u64,
    /// The pool it serves.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its labels; racks are among them.
    pub labels: Vec<Name>,
    /// Its total resources.
    pub capacity: Resources,
    /// Set while it drains: the shortest time left until it leaves.
    pub draining: Option<Duration>,
    /// Its clock, in milliseconds, when it sent this.
    pub clock_ms: Option<u64>,
}

impl Heartbeat {
    /// Returns the incarnation that the heartbeat names.
    pub(crate) fn identity(&self) -> Identity {
        (self.id.clone(), self.incarnation)
    }
}

/// A message from a worker to its companion.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerMessage {
    /// The worker is up.
    Heartbeat(Heartbeat),
    /// The worker with this id leaves for good; its incarnation, if the worker says it.
    Leave(WorkerId, Option<Incarnation>),
}

/// Decodes requests of the worker.
pub trait HeartbeatCodec: Send + Sync + fmt::Debug {
    /// Decodes a request; returns `None` if its method and path are not part of the protocol.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] if the body cannot be decoded.
    fn read(&self, method: &str, target: &str, body: &[u8]) -> Result<Option<WorkerMessage>>;
}

/// Asks the worker whether it is the expected one; has no effect on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdentityCall {
    /// The worker that is expected to answer.
    pub worker: WorkerId,
    /// The fencing token of the owner, 0 if none is known.
    pub fence: u64,
}

/// The reply to an [`IdentityCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityReply {
    /// The expected worker replied.
    Expected {
        /// Its incarnation, if the reply contains it.
        incarnation: Option<Incarnation>,
        /// Its clock, in milliseconds.
        clock_ms: u64,
    },
    /// Another worker replied.
    Other,
}

/// Renews the worker's lease, acknowledges finished runs, and returns the worker's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongPollCall {
    /// The worker that must carry out the call.
    pub worker: WorkerId,
    /// The fencing token of the owner.
    pub fence: u64,
    /// When the lease expires, on the worker's clock in milliseconds; `None` leaves it unchanged.
    pub deadline_ms: Option<u64>,
    /// Finished runs up to this number are stored, so the worker may forget them.
    pub stored_ends: u64,
    /// How long the worker may wait for a run to finish before it replies.
    pub wait: Duration,
}

/// The reply to a [`LongPollCall`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LongPollReply {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The incarnation that replied, if the worker sent it.
    pub incarnation: Option<Incarnation>,
    /// Runs in progress.
    pub running: Vec<RunningRow>,
    /// Finished runs that are not acknowledged.
    pub ends: Vec<FinishedRun>,
    /// Whether runs may be missing from the lists, so that nothing follows from their absence.
    pub is_partial: bool,
}

/// Starts a run; idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The worker that must carry out the call.
    pub worker: WorkerId,
    /// The fencing token of the owner.
    pub fence: u64,
    /// When the lease expires, on the worker's clock in milliseconds.
    pub deadline_ms: u64,
    /// The run.
    pub run: TaskRun,
    /// The job's payload, opaque to the companion.
    pub payload: Name,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// The advisor's ticket.
    pub ticket: Option<Name>,
}

/// The reply to a [`StartCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run has started, by this call or an earlier one.
    Started {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The run will not start.
    Rejected {
        /// Why.
        why: RejectKind,
        /// The worker's clock in milliseconds, if the worker sent it.
        clock_ms: Option<u64>,
    },
    /// Another incarnation of the worker replied.
    WrongIncarnation,
}

/// Stops a run, or prevents it from starting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// The worker that must carry out the call.
    pub worker: WorkerId,
    /// The fencing token of the owner.
    pub fence: u64,
    /// The run.
    pub run: TaskRun,
}

/// Throttles a run to a share of its speed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThrottleCall {
    /// The worker that must carry out the call.
    pub worker: WorkerId,
    /// The fencing token of the owner.
    pub fence: u64,
    /// The run.
    pub run: TaskRun,
    /// The share, in percent.
    pub percent: u32,
}

/// The worker on the companion's VM; calls block.
///
/// # Errors
///
/// Errors whose kind [is of unknown outcome](ErrorKind::is_outcome_unknown) may have taken
/// effect, or may do so seconds later.
pub trait Runner: Send + Sync + fmt::Debug {
    /// Asks the worker whether it is the expected one.
    fn identify(&self, call: &IdentityCall) -> Result<IdentityReply>;
    /// Renews the lease, acknowledges finished runs and returns the worker's status.
    fn long_poll(&self, call: &LongPollCall) -> Result<LongPollReply>;
    /// Starts a run.
    fn start(&self, call: &StartCall) -> Result<StartReply>;
    /// Stops a run; returns the worker's clock in milliseconds, or `None` if another incarnation
    /// replied.
    fn stop(&self, call: &StopCall) -> Result<Option<u64>>;
    /// Throttles a run.
    fn throttle(&self, call: &ThrottleCall) -> Result<()>;
}
