//! The settings of an owner.

use std::net::SocketAddr;

use base::prelude::*;

/// The settings of an [`Owner`](crate::Owner).
#[derive(Clone, Debug)]
pub struct OwnerCfg {
    /// The shard.
    pub shard: ShardId,
    /// The pool whose jobs the shard holds.
    pub pool: PoolName,
    /// This entry.
    pub entry: EntryId,
    /// The address at which this entry serves control calls.
    pub rpc_addr: SocketAddr,
    /// The time to live of the lease.
    pub lease_ttl: Duration,
    /// The safety margin subtracted from the lease for clocks that run at different rates.
    pub drift: Duration,
    /// The minimum time between two records, in which changes are batched.
    pub commit_window: Duration,
    /// The delay before a failed step is retried.
    pub retry_after: Duration,
    /// The minimum size of the log that a snapshot replaces, in bytes.
    pub snapshot_bytes: u64,
}

impl OwnerCfg {
    /// The default time to live of an owner's lease.
    pub const LEASE_TTL: Duration = Duration::from_secs(4);

    /// The default safety margin for clocks that run at different rates.
    pub const DRIFT: Duration = Duration::from_millis(250);

    /// The default time between two records.
    pub const COMMIT_WINDOW: Duration = Duration::from_millis(100);

    /// The default delay before a failed step is retried.
    pub const RETRY_AFTER: Duration = Duration::from_millis(250);

    /// The default minimum size of the log that a snapshot replaces, in bytes.
    pub const SNAPSHOT_BYTES: u64 = 2 * 1024 * 1024;
}
