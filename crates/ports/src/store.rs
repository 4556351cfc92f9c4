//! The port to the platform's key-value service.

use std::fmt;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The largest value the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The version of a key, drawn from one counter for the whole store.
pub type Revision = u64;

/// The id of a lease in the store.
pub type LeaseId = u64;

/// What a write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Expect {
    /// Anything, or nothing.
    Any,
    /// No such key.
    Absent,
    /// The key at this revision.
    Revision(Revision),
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Name,
    /// The value, at most [`MAX_VALUE_BYTES`].
    pub value: Arc<[u8]>,
    /// The revision of the key's last write.
    pub revision: Revision,
}

/// The most rows of a transaction: what it expects, writes and deletes.
pub const MAX_TXN_ROWS: usize = 32;

/// A key that a transaction writes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyWrite {
    /// The key.
    pub key: Name,
    /// The value, at most [`MAX_VALUE_BYTES`].
    pub value: Arc<[u8]>,
    /// The lease that the key lives under.
    pub lease: Option<LeaseId>,
}

/// One call to the store; the store counts each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key.
        key: Name,
    },
    /// Reads one key, with the revision from which a watch of it goes on.
    Observe {
        /// The key.
        key: Name,
    },
    /// Reads keys with a prefix, in order, after `after`, at most `limit`.
    List {
        /// What the keys begin with.
        prefix: Name,
        /// The last key of the page before.
        after: Option<Name>,
        /// The largest number of keys to return.
        limit: usize,
    },
    /// Writes a key if it is as expected; the key goes when its lease ends.
    Put {
        /// The key.
        key: Name,
        /// The value, at most [`MAX_VALUE_BYTES`].
        value: Arc<[u8]>,
        /// What must be there for the call to take effect.
        expect: Expect,
        /// The lease that the key lives under.
        lease: Option<LeaseId>,
    },
    /// Deletes a key if it is as expected.
    Delete {
        /// The key.
        key: Name,
        /// What must be there for the call to take effect.
        expect: Expect,
    },
    /// Deletes all keys `from <= key < to`.
    DeleteRange {
        /// The first key.
        from: Name,
        /// The key after the last.
        to: Name,
    },
    /// Writes and deletes keys, all or none, if all is as expected.
    Txn {
        /// What must be there for the call to take effect.
        expected: Vec<(Name, Expect)>,
        /// The keys to write.
        writes: Vec<KeyWrite>,
        /// The keys to delete.
        deletes: Vec<Name>,
    },
    /// Creates a lease.
    LeaseGrant {
        /// How long the lease lives unless renewed.
        ttl: Duration,
    },
    /// Renews a lease to its full time.
    LeaseRenew {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease and deletes its keys.
    LeaseRevoke {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits for changes under a prefix after a revision, at most `wait`.
    Watch {
        /// What the keys begin with.
        prefix: Name,
        /// The last revision already seen.
        after: Revision,
        /// How long to wait for a change.
        wait: Duration,
    },
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key.
    pub key: Name,
    /// The value, absent where the key was deleted.
    pub value: Option<Arc<[u8]>>,
    /// The revision of the change.
    pub revision: Revision,
}

/// The answer to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreReply {
    /// Answers a get; `None` if there is no such key.
    Got(Option<KeyValue>),
    /// Answers an observation.
    Observed {
        /// The key; `None` if there is none.
        found: Option<KeyValue>,
        /// The store's revision when it was read.
        at: Revision,
    },
    /// Answers a list.
    Listed(Vec<KeyValue>),
    /// The put or delete was done.
    Done {
        /// The revision of the last change.
        revision: Revision,
    },
    /// The key was not as expected; nothing changed. Holds what is there.
    Conflict {
        /// What is there instead.
        current: Option<KeyValue>,
    },
    /// Something in a transaction was not as expected; nothing changed. Holds what is there.
    Conflicts {
        /// The expected keys that exist, as they are.
        current: Vec<KeyValue>,
    },
    /// Answers a lease grant or renewal.
    Leased {
        /// The lease.
        lease: LeaseId,
        /// How long the lease lives unless renewed.
        ttl: Duration,
    },
    /// The lease has ended or never was.
    LeaseGone,
    /// Answers a watch. `compacted` tells that older changes are forgotten: list again.
    Watched {
        /// The changes, oldest first.
        events: Vec<WatchEvent>,
        /// The revision of the last change.
        revision: Revision,
        /// Whether older changes are forgotten.
        compacted: bool,
    },
}

/// The blocking port to the store, for callers that may wait (threads at the border, commands).
///
/// # Errors
///
/// Errors whose kind [is of unknown outcome](ErrorKind::is_outcome_unknown) may have taken effect.
pub trait Store: Send + Sync + fmt::Debug {
    /// Makes one call and waits for its answer.
    fn call(&self, call: &StoreCall) -> Result<StoreReply>;
}

impl StoreCall {
    /// Tells whether the call writes.
    pub fn is_write(&self) -> bool {
        !matches!(
            self,
            Self::Get { .. } | Self::Observe { .. } | Self::List { .. } | Self::Watch { .. }
        )
    }

    /// Returns the name of the call's kind, for metrics and errors.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::Observe { .. } => "observe",
            Self::List { .. } => "list",
            Self::Put { .. } => "put",
            Self::Delete { .. } => "delete",
            Self::DeleteRange { .. } => "delete_range",
            Self::Txn { .. } => "txn",
            Self::LeaseGrant { .. } => "lease_grant",
            Self::LeaseRenew { .. } => "lease_renew",
            Self::LeaseRevoke { .. } => "lease_revoke",
            Self::Watch { .. } => "watch",
        }
    }
}
