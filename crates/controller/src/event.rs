//! The events that an entry's actor handles.

use base::prelude::*;
use host::KeyUpdate;
use jobs::owner::{Replacement, StageId, Ticket};
use jobs::report::{SyncReply, SyncReport};
use jobs::{JobReply, JobRequest, RouteRef};
use ports::store::StoreReply;
use wire::Responder;

/// Identifies the part that made a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreToken {
    /// A call of the elector.
    Election,
    /// A commit of the owner at the epoch.
    Commit(Epoch, u64),
    /// A call of the initial load of the owner at the epoch.
    Load(Epoch),
    /// A read of the cordoned availability zones.
    Cordons,
    /// A lookup of a job that is not loaded.
    Lookup(u64),
}

/// An event from outside the actor.
#[derive(Debug)]
pub enum Event {
    /// A request from a caller of this entry, who waits until the given time.
    Caller(Box<JobRequest>, Instant, Responder<JobReply>),
    /// A request from a caller of another entry, which forwarded it.
    Forwarded(Box<JobRequest>, Responder<JobReply>),
    /// A submission that the owner may have stored, though its reply was lost.
    Unanswered(JobId, RouteRef, Responder<JobReply>),
    /// A companion's report.
    Sync(Box<SyncReport>, Responder<SyncReply>),
    /// The owner's key as read from the store.
    OwnerKey(KeyUpdate),
    /// The owner at the epoch reported that it cannot reach the store.
    OwnerWithoutStore(Epoch),
    /// Another entry has taken over ownership.
    Replaced(Replacement),
    /// The reply to a store call.
    Store(StoreToken, Result<StoreReply>),
    /// The placement advisor's tickets for a stage, or its error.
    Advised(StageId, Result<Vec<Ticket>>),
    /// The process is stopping: step down so that another entry takes over.
    Resign,
}
