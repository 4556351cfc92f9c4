//! The entry process: requests, shards, membership and configuration.
