//! Requests at the target: admitted by slots, remembered by id.

mod actor;
mod queue;
mod table;

use base::prelude::*;

pub(crate) use self::actor::AdmitActor;
pub use self::table::{RequestTable, TableLimits};

/// A target's whole answer, kept until it was fetched or expired.
pub type StoredAnswer = wire::hop::HopAnswer;

/// What the thread that serves a request does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmitStep {
    /// Call the target and report the end.
    Run,
    /// Pass on the answer of the run that this id had.
    Answer {
        /// The answer.
        answer: Arc<StoredAnswer>,
        /// Requests in progress at the target.
        load: u32,
    },
    /// The request was not run here, and will not be.
    NotRun {
        /// Why, a short token.
        reason: &'static str,
    },
    /// The request ran, or may have, and there is no answer.
    Lost {
        /// Why, a short token.
        reason: &'static str,
    },
}
