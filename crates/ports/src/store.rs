//! The port to the platform's key-value service.

use std::fmt;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The version of a key, taken from a single counter of the whole store.
pub type Revision = u64;

/// The id of a lease in the store.
pub type LeaseId = u64;

/// The precondition of a write on the current state of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Expect {
    /// The key may exist or not.
    Any,
    /// The key must not exist.
    Absent,
    /// The key must be at this revision.
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

/// The maximum number of rows in a transaction: expectations, writes and deletes together.
pub const MAX_TXN_ROWS: usize = 32;

/// A key that a transaction writes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyWrite {
    /// The key.
    pub key: Name,
    /// The value, at most [`MAX_VALUE_BYTES`].
    pub value: Arc<[u8]>,
    /// The lease that the key is attached to; the key is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}

/// A call to the store; each one counts towards the store's rate limit for reads or for writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key.
        key: Name,
    },
    /// Reads one key, with the store's revision from which a watch can continue.
    Observe {
        /// The key.
        key: Name,
    },
    /// Reads at most `limit` keys that start with `prefix` and follow `after`, in order.
    List {
        /// The prefix of the keys.
        prefix: Name,
        /// The last key of the previous page.
        after: Option<Name>,
        /// The maximum number of keys to return.
        limit: usize,
    },
    /// Writes a key if the expectation holds.
    Put {
        /// The key.
        key: Name,
        /// The value, at most [`MAX_VALUE_BYTES`].
        value: Arc<[u8]>,
        /// The expectation that must hold for the call to take effect.
        expect: Expect,
        /// The lease that the key is attached to; the key is deleted when the lease ends.
        lease: Option<LeaseId>,
    },
    /// Deletes a key if the expectation holds.
    Delete {
        /// The key.
        key: Name,
        /// The expectation that must hold for the call to take effect.
        expect: Expect,
    },
    /// Deletes all keys `from <= key < to`.
    DeleteRange {
        /// The first key.
        from: Name,
        /// The end of the range, exclusive.
        to: Name,
    },
    /// Atomically writes and deletes keys if all expectations hold.
    Txn {
        /// The expectations that must hold for the call to take effect.
        expected: Vec<(Name, Expect)>,
        /// The keys to write.
        writes: Vec<KeyWrite>,
        /// The keys to delete.
        deletes: Vec<Name>,
    },
    /// Creates a lease.
    LeaseGrant {
        /// The time to live of the lease, counted from its last renewal.
        ttl: Duration,
    },
    /// Renews a lease for its full time to live.
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
        /// The prefix of the keys.
        prefix: Name,
        /// The last revision already seen.
        after: Revision,
        /// The longest time to wait for a change.
        wait: Duration,
    },
}

/// A change that a watch returned.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key.
    pub key: Name,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Arc<[u8]>>,
    /// The revision of the change.
    pub revision: Revision,
}

/// The reply to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreReply {
    /// Reply to a get; `None` if the key does not exist.
    Got(Option<KeyValue>),
    /// Reply to an observe call.
    Observed {
        /// The key; `None` if it does not exist.
        found: Option<KeyValue>,
        /// The store's revision at the time of the read.
        at: Revision,
    },
    /// Reply to a list call.
    Listed(Vec<KeyValue>),
    /// The write took effect.
    Done {
        /// The revision of the last change.
        revision: Revision,
    },
    /// The expectation of a put or delete did not hold; nothing changed.
    Conflict {
        /// The current state of the key; `None` if it does not exist.
        current: Option<KeyValue>,
    },
    /// An expectation of a transaction did not hold; nothing changed.
    Conflicts {
        /// The current state of the keys with expectations; keys that do not exist are omitted.
        current: Vec<KeyValue>,
    },
    /// Reply to a lease grant or renewal.
    Leased {
        /// The lease.
        lease: LeaseId,
        /// The time to live of the lease, counted from its last renewal.
        ttl: Duration,
    },
    /// The lease has ended or never existed.
    LeaseGone,
    /// Reply to a watch.
    Watched {
        /// The changes, oldest first.
        events: Vec<WatchEvent>,
        /// The revision of the last change.
        revision: Revision,
        /// True if changes after the given revision were compacted; the keys must be read again.
        compacted: bool,
    },
}

/// The blocking port to the store, for I/O threads and command-line tools.
///
/// # Errors
///
/// A call that fails with an error of [unknown outcome](ErrorKind::is_outcome_unknown) may have
/// taken effect.
pub trait Store: Send + Sync + fmt::Debug {
    /// Makes one call and waits for its reply.
    fn call(&self, call: &StoreCall) -> Result<StoreReply>;
}

impl StoreCall {
    /// Returns true if the call writes.
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
