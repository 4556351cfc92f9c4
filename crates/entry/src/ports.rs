//! Ports through which the actors of an entry reach the store and other processes.

use std::fmt;

use base::prelude::*;
use ports::store::StoreCall;
use wire::CallPort;

use crate::event::StoreToken;

/// The priority of a store call, which matters when the store is slow; most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StorePriority {
    /// Leases and ownership.
    Lease,
    /// Commits of the log.
    Commit,
    /// Reads and writes of the configuration.
    Config,
    /// Snapshots and trimming.
    Snapshot,
}

/// The port through which actors call the store.
///
/// A call returns at once; exactly one [`crate::Event::Store`] with its token follows.
pub trait StorePort: Send + Sync + fmt::Debug {
    /// Queues a call.
    fn submit(&self, priority: StorePriority, token: StoreToken, call: StoreCall);
}

/// The external dependencies of an entry's actors.
#[derive(Clone, Debug)]
pub struct Ports {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The platform's store.
    pub store: Arc<dyn StorePort>,
    /// Control calls to other entries and to companions.
    pub calls: Arc<dyn CallPort>,
    /// The logger.
    pub log: slog::Logger,
}
