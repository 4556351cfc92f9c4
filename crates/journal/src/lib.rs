//! Ownership of shards, their log, snapshots and recovery.
//!
//! A shard's history is a row of immutable records in the platform's store. The
//! owner of the shard, an entry that holds the shard's lease, appends to it with
//! create-if-absent, so that two owners can never both write one place of the row.
//! [`Owner`] takes and keeps ownership, [`ShardState`] is what the records add up to.

mod keys;
mod owner;
mod record;
mod retain;
mod snapshot;
mod state;

pub use keys::Keys;
pub use owner::{DeposedBy, Effect, Owner, OwnerCfg, OwnerValue, Ticket, Urgency};
pub use record::{Change, Record, RecordBody};
pub use retain::{CLAIM_RETENTION, JOB_RETENTION, MAX_CLAIMS, MAX_ENDED, MIN_ENDED};
pub use state::{Job, JobState, ShardState};
