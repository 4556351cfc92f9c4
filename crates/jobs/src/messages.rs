//! What callers ask, and what they are told.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, JobState, RouteTerms};

/// What a caller asks of the owner.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Ask {
    /// Submit a job; the same id again is the same job.
    Submit {
        /// The caller's id of the job.
        job: JobId,
        /// The job.
        spec: Box<JobSpec>,
        /// What its route asks.
        terms: Box<RouteTerms>,
    },
    /// Tell a job's state.
    Status {
        /// The job.
        job: JobId,
        /// The route it was asked under.
        route: RouteName,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: JobId,
        /// The route it was asked under.
        route: RouteName,
    },
    /// Count the accepted jobs of a route that have not begun.
    Waiting {
        /// The route.
        route: RouteName,
    },
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Told {
    /// The job is stored and will run.
    Accepted,
    /// The job's state.
    Status(JobState),
    /// The cancellation is stored.
    Cancelled,
    /// There is no such job.
    Gone,
    /// How many jobs wait.
    Waiting(u64),
    /// Refused; nothing was done and nothing will be.
    Refused {
        /// Why, for logs.
        reason: Name,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job can never be run as submitted.
    Invalid {
        /// What is wrong.
        reason: Name,
    },
    /// The outcome is not known; the same call again is safe.
    Unsure,
}

impl Told {
    /// Returns the outcome's name, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Status(_) => "status",
            Self::Cancelled => "cancelled",
            Self::Gone => "gone",
            Self::Waiting(_) => "waiting",
            Self::Refused { .. } => "refused",
            Self::Invalid { .. } => "invalid",
            Self::Unsure => "unsure",
        }
    }

    /// Creates a refusal.
    pub fn refused(reason: &str, retry_after: Duration) -> Self {
        Self::Refused {
            reason: reason.into(),
            retry_after_ms: base::whole_ms(retry_after),
        }
    }
}
