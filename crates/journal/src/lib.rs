//! Ownership of shards, their log, snapshots and recovery.
