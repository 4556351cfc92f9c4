//! The settings of an owner.

use std::net::SocketAddr;

use base::prelude::*;

/// How an owner is set up.
#[derive(Clone, Debug)]
pub struct OwnerCfg {
    /// The shard.
    pub shard: ShardId,
    /// The pool whose jobs it holds.
    pub pool: PoolName,
    /// This entry.
    pub entry: EntryId,
    /// Where this entry takes control calls.
    pub rpc_addr: SocketAddr,
    /// How long the lease lives unless renewed.
    pub lease_ttl: Duration,
    /// What is taken off the lease for clocks that run at different rates.
    pub drift: Duration,
    /// How long changes are gathered before they are committed together.
    pub commit_window: Duration,
    /// How long to wait before a failed step is tried again.
    pub retry_after: Duration,
    /// How many bytes of log are written before a snapshot replaces them, at the least.
    pub snapshot_bytes: u64,
}

impl OwnerCfg {
    /// The default time to live of an owner's lease.
    pub const LEASE_TTL: Duration = Duration::from_secs(4);

    /// The default allowance for clocks that run at different rates.
    pub const DRIFT: Duration = Duration::from_millis(250);

    /// The default time that changes are gathered.
    pub const COMMIT_WINDOW: Duration = Duration::from_millis(100);

    /// The default wait before a failed step is tried again.
    pub const RETRY_AFTER: Duration = Duration::from_millis(250);

    /// The default size of log that a snapshot replaces, at the least.
    pub const SNAPSHOT_BYTES: u64 = 2 * 1024 * 1024;
}
