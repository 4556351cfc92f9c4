//! Admission of requests at the target, by slots and with deduplication by request id.

mod actor;
mod queue;
mod table;

use base::prelude::*;

pub(crate) use self::actor::AdmitActor;
pub use self::table::{RequestTable, TableLimits};

/// A target's whole response, stored so that repeated requests with the same id can get it.
pub type StoredResponse = wire::hop::HopResponse;

/// What the thread that serves a request does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmitStep {
    /// Call the target, then report that the call has ended.
    Run,
    /// Return the stored response of the run with this id.
    Answer {
        /// The response.
        answer: Arc<StoredResponse>,
        /// The number of requests that run or wait at the target.
        load: u32,
    },
    /// The request has not run here, and never will.
    NotRun {
        /// The reason, a short token.
        reason: &'static str,
    },
    /// The request has run, or may have, and there is no response.
    Lost {
        /// The reason, a short token.
        reason: &'static str,
    },
}
