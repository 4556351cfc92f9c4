//! Ownership of shards, their log, snapshots and recovery.
//!
//! A shard's log is a sequence of immutable records in the platform's store. The
//! owner of the shard, an entry that holds the shard's lease, appends to it with
//! create-if-absent, so that two owners can never write the same sequence number.
//! [`Owner`] acquires and holds ownership; [`ShardState`] is the state that results
//! from applying the records.

mod keys;
mod owner;
mod record;
mod retain;
mod snapshot;
mod state;

pub use keys::Keys;
pub use owner::{Effect, LossReason, Owner, OwnerCfg, OwnerValue, Ticket, Urgency};
pub use record::{Change, Record, RecordBody};
pub use retain::{CLAIM_RETENTION, JOB_RETENTION, MAX_CLAIMS, MAX_ENDED, MIN_ENDED};
pub use state::{Job, JobState, ShardState, shortened};
