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

    /// Returns the key that names the owner; it is bound to the owner's lease.
    pub fn owner(&self) -> Name {
        format!("{}{}", Self::OWNERS, self.shard).into()
    }

    /// Returns the prefix of the log's records.
    pub fn log_prefix(&self) -> Name {
        format!("shard/{}/log/", self.shard).into()
    }

    /// Returns the key of one record; the keys sort by sequence number.
    pub fn log(&self, seq: Seq) -> Name {
        format!("shard/{}/log/{:020}", self.shard, seq.0).into()
    }

    /// Returns the range of the records up to and including `seq`.
    pub fn log_up_to(&self, seq: Seq) -> (Name, Name) {
        (self.log(Seq(0)), self.log(seq.next()))
    }

    /// Returns the key of the pointer to the current snapshot.
    pub fn pointer(&self) -> Name {
        format!("shard/{}/snapshot", self.shard).into()
    }

    /// Returns the key of a chunk of the snapshot up to `seq` that was written in `epoch`.
    pub fn chunk(&self, seq: Seq, epoch: Epoch, at: u32) -> Name {
        let snapshot = self.chunks(seq, epoch);
        format!("{snapshot}{at:06}").into()
    }

    /// Returns the range of the chunks of all snapshots before the one at `seq` and `epoch`.
    pub fn chunks_before(&self, seq: Seq, epoch: Epoch) -> (Name, Name) {
        (self.chunks(Seq(0), Epoch(0)), self.chunks(seq, epoch))
    }

    fn chunks(&self, seq: Seq, epoch: Epoch) -> Name {
        format!("shard/{}/chunk/{:020}/{:020}/", self.shard, seq.0, epoch.0).into()
    }
}
