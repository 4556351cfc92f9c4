//! What happens outside the actors of an entry.

use base::prelude::*;
use host::KeySeen;
use jobs::owner::{Replacement, StageId, Ticket};
use jobs::report::{SyncReply, SyncReport};
use jobs::{Ask, Told};
use ports::store::StoreReply;
use wire::Reply;

/// Matches a store reply to the part that made the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreToken {
    /// A step of the election.
    Election,
    /// A commit of the owner.
    Commit(u64),
    /// The next part of what a new owner loads, for the epoch.
    Load(Epoch),
    /// A look for a job that is not known.
    Look(u64),
}

/// Something that happened outside the actors.
#[derive(Debug)]
pub enum Event {
    /// A caller of this entry asks.
    Caller(Box<Ask>, Reply<Told>),
    /// A caller of another entry asks.
    Forwarded(Box<Ask>, Reply<Told>),
    /// A companion reports.
    Sync(Box<SyncReport>, Reply<SyncReply>),
    /// The owner's key was seen.
    OwnerKey(KeySeen),
    /// The owner at an epoch told that the store does not answer it.
    OwnerWithoutStore(Epoch),
    /// Another entry owns the jobs.
    Replaced(Replacement),
    /// The store replied.
    Store(StoreToken, Result<StoreReply>),
    /// The placement advisor answered, or failed to.
    Advised(StageId, Result<Vec<Ticket>>),
    /// The process is told to stop: another entry should own the jobs.
    Resign,
}
