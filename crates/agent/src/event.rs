//! Events that are delivered to the agent's actor.

use base::prelude::*;
use host::KeyUpdate;
use jobs::TaskRun;
use jobs::report::SyncReply;

use crate::ports::{IdentityReply, LongPollReply, StartReply, WorkerMessage};

/// An event for the agent's actor.
#[derive(Debug)]
pub enum Event {
    /// The worker sent a message.
    Worker(WorkerMessage),
    /// A call that asks the worker for its identity completed.
    Identified(IdentityDone),
    /// A long poll completed.
    LongPolled(LongPollDone),
    /// A start call completed.
    Started(Incarnation, TaskRun, Result<StartReply>),
    /// A stop call completed, with the worker's clock in milliseconds; `None` if another
    /// incarnation of the worker replied.
    Stopped(Incarnation, TaskRun, Result<Option<u64>>),
    /// A throttle call completed.
    Throttled,
    /// The report with this number completed.
    Synced(u64, Result<SyncReply>),
    /// The owner's key in the store was read, or could not be.
    OwnerKey(KeyUpdate),
}

/// The outcome of a call that asks the worker for its identity.
#[derive(Debug)]
pub struct IdentityDone {
    /// The worker that was expected to answer.
    pub worker: WorkerId,
    /// The incarnation that it was expected to be.
    pub incarnation: Incarnation,
    /// The reply.
    pub reply: Result<IdentityReply>,
}

/// The outcome of a long poll, with the parameters of the call.
#[derive(Debug)]
pub struct LongPollDone {
    /// The incarnation of the worker that the call was made for.
    pub incarnation: Incarnation,
    /// The fencing token that the call carried.
    pub fence: u64,
    /// Whether the call was allowed to wait at the worker.
    pub is_waiting: bool,
    /// The reply.
    pub reply: Result<LongPollReply>,
}
