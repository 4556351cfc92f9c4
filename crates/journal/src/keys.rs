//! The keys of a shard in the store.

use base::prelude::*;

/// Builds the keys of one shard.
#[derive(Clone, Debug)]
pub struct Keys {
    shard: ShardId,
}

impl Keys {
    /// The prefix of every shard's owner key.
    pub const OWNERS: &str = "owner/";

    /// Creates the keys of a shard.
    pub fn new(shard: ShardId) -> Self {
        Self { shard }
    }

    /// Returns the key that holds the owner, under the owner's lease.
    pub fn owner(&self) -> Name {
        format!("{}{}", Self::OWNERS, self.shard).into()
    }

    /// Returns the prefix of the log's records.
    pub fn log_prefix(&self) -> Name {
        format!("shard/{}/log/", self.shard).into()
    }

    /// Returns the key of one record; keys sort as their numbers do.
    pub fn log(&self, seq: Seq) -> Name {
        format!("shard/{}/log/{:020}", self.shard, seq.0).into()
    }
}
