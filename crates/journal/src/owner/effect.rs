//! The effects of an owner.

use base::prelude::*;
use ports::store::StoreCall;

use super::OwnerValue;
use crate::Change;

/// The urgency of a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// The call renews or revokes a lease.
    Lease,
    /// The call is part of a commit or of taking over a shard.
    Commit,
    /// The call writes a snapshot or trims what it replaced.
    Snapshot,
}

/// Why an entry lost ownership of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// Its lease may have expired; no other owner is known.
    LeaseEnd,
    /// The store holds another owner's write, or no longer knows the lease.
    Another,
    /// It resigned.
    Resignation,
}

/// Identifies a proposal, to match its outcome to the proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// An action for the caller of [`Owner`](crate::Owner) to carry out, or an event for it to handle.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make a store call and pass its reply to [`Owner::reply`](crate::Owner::reply) with the id.
    Store {
        /// The id of the call.
        id: u64,
        /// The urgency of the call.
        urgency: Urgency,
        /// The call.
        call: StoreCall,
    },
    /// This entry owns the shard from now on, and its state has been recovered.
    Activated(Epoch),
    /// A proposed change has been committed and applied.
    Committed(Ticket, Change),
    /// The outcome of a proposed change is unknown: it may be committed or not.
    Unknown(Ticket),
    /// A proposed change is not committed and never will be.
    Dropped(Ticket),
    /// This entry no longer owns the shard.
    OwnershipLost(LossReason),
    /// Another entry holds the shard's owner key.
    OwnedElsewhere(Box<OwnerValue>),
    /// The shard cannot be recovered: the log or the snapshot is malformed.
    Stuck(Error),
}
