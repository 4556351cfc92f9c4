//! The ports through which the actors of a companion make calls.

use std::fmt;

use base::prelude::*;
use ports::worker::WorkerCall;
use wire::CallPort;

/// The port through which actors call the worker.
///
/// A call returns at once; exactly one [`crate::Event::Worker`] with its id follows.
pub trait WorkerPort: Send + Sync + fmt::Debug {
    /// Queues a call.
    fn submit(&self, id: u64, call: WorkerCall);

    /// Queues a call that must not be made at or after `until`.
    ///
    /// An adapter whose calls wait in a queue must fail a late call with an error, and must limit
    /// the time to live that a call carries so that it ends at `until` at the latest.
    fn submit_until(&self, id: u64, call: WorkerCall, until: Instant) {
        let _ = until;
        self.submit(id, call);
    }
}

/// The ports of a companion's actors.
#[derive(Clone, Debug)]
pub struct Ports {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Calls to the worker.
    pub worker: Arc<dyn WorkerPort>,
    /// Calls to the entries.
    pub calls: Arc<dyn CallPort>,
    /// The logger.
    pub log: slog::Logger,
}
