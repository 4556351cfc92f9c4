//! The ports through which the actors of a companion reach the outside.

use std::fmt;

use base::prelude::*;
use ports::worker::WorkerCall;
use wire::CallPort;

/// The port through which actors call the worker.
///
/// A call returns at once; exactly one [`crate::Event::Worker`] with its number follows.
pub trait WorkerPort: Send + Sync + fmt::Debug {
    /// Queues a call.
    fn submit(&self, id: u64, call: WorkerCall);

    /// Queues a call that must not be made at or after `until`.
    ///
    /// An adapter whose calls wait must drop a late one with an error, and must not
    /// let the time to live that a call carries reach beyond `until`.
    fn submit_until(&self, id: u64, call: WorkerCall, until: Instant) {
        let _ = until;
        self.submit(id, call);
    }
}

/// The outside of a companion, as its actors see it.
#[derive(Clone, Debug)]
pub struct Ports {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The worker beside this companion.
    pub worker: Arc<dyn WorkerPort>,
    /// The entries.
    pub calls: Arc<dyn CallPort>,
    /// The logger.
    pub log: slog::Logger,
}
