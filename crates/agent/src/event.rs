//! What happens outside the companion's actor.

use base::prelude::*;
use host::KeySeen;
use jobs::TaskRun;
use jobs::report::SyncReply;

use crate::ports::{HoldReply, StartReply, WorkerSays};

/// Something that happened outside the actor.
#[derive(Debug)]
pub enum Event {
    /// The worker sent something.
    Worker(WorkerSays),
    /// A hold was answered.
    Held(HoldDone),
    /// A start was answered.
    Started(Incarnation, TaskRun, Result<StartReply>),
    /// A stop was answered, with the worker's clock in milliseconds.
    Stopped(Incarnation, TaskRun, Result<Option<u64>>),
    /// A report was answered.
    Synced(u64, Result<SyncReply>),
    /// The owner's key was seen.
    OwnerKey(KeySeen),
}

/// The answer to a hold, with what it was asked under.
#[derive(Debug)]
pub struct HoldDone {
    /// The life that was meant.
    pub born: Incarnation,
    /// The fence it was sent with.
    pub fence: u64,
    /// Whether it was one that waits.
    pub is_waiting: bool,
    /// The answer.
    pub reply: Result<HoldReply>,
}
