//! What an owner asks for or tells.

use base::prelude::*;
use ports::store::StoreCall;

use super::OwnerValue;
use crate::Change;

/// How urgent a store call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// It keeps or takes a lease.
    Lease,
    /// It commits or recovers.
    Commit,
    /// It writes a snapshot or trims what one replaced.
    Snapshot,
}

/// Why an owner stood down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeposedBy {
    /// Its lease may have ended, without a word of another owner.
    LeaseEnd,
    /// The store holds what another owner wrote, or has forgotten the lease.
    Another,
    /// It gave the shard up.
    Resignation,
}

/// Matches the end of a proposal to the one who made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What an owner asks for or tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make a store call and hand its answer to [`Owner::reply`] with the id.
    Store {
        /// The id.
        id: u64,
        /// How urgent it is.
        urgency: Urgency,
        /// The call.
        call: StoreCall,
    },
    /// This entry owns the shard from now on; its state is recovered.
    Activated(Epoch),
    /// A change is committed and applied.
    Committed(Ticket, Change),
    /// It is not known whether a proposed change is committed.
    Unknown(Ticket),
    /// A proposed change is not committed and never will be.
    Dropped(Ticket),
    /// This entry no longer owns the shard.
    Deposed(DeposedBy),
    /// Another entry holds the shard's owner key.
    Elsewhere(Box<OwnerValue>),
    /// The shard cannot be recovered: a record is unreadable.
    Stuck(Error),
}
