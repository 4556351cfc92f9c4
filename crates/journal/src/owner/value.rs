//! The value of a shard's owner key.

use std::net::SocketAddr;

use base::prelude::*;
use ports::store::LeaseId;
use serde::{Deserialize, Serialize};

/// The value of a shard's owner key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerValue {
    /// The shard.
    pub shard: ShardId,
    /// The pool whose jobs the shard holds.
    pub pool: PoolName,
    /// The owner.
    pub entry: EntryId,
    /// The address at which the owner serves control calls.
    pub rpc_addr: SocketAddr,
    /// The owner's epoch; 0 during the take-over.
    pub epoch: Epoch,
    /// The lease that the key is bound to, by which a writer recognises its own value.
    #[serde(default)]
    pub lease: LeaseId,
}

impl OwnerValue {
    /// Encodes the value as JSON, so that operators can read it in the store.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a value; `None` if it is malformed.
    pub fn decode(buf: &[u8]) -> Option<Self> {
        serde_json::from_slice(buf).ok()
    }
}
