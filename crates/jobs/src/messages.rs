//! Requests of callers and the owner's replies.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, JobState, RouteRef, RouteTerms};

/// A caller's request to the owner of the jobs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum JobRequest {
    /// Submit a job; a repeated id refers to the job submitted first.
    Submit {
        /// The caller's id of the job.
        job: JobId,
        /// The address of its route.
        address: RouteAddress,
        /// The job.
        spec: Box<JobSpec>,
        /// The terms of its route.
        terms: Box<RouteTerms>,
    },
    /// Query a job's state.
    Status {
        /// The job.
        job: JobId,
        /// The route of the request.
        route: RouteRef,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: JobId,
        /// The route of the request.
        route: RouteRef,
    },
    /// Count the accepted jobs of a route that have not started.
    Waiting {
        /// The route.
        route: RouteRef,
    },
}

/// The reply to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobReply {
    /// The job is stored and will run.
    Accepted,
    /// The job's state.
    Status(JobState),
    /// The job has failed.
    Failed {
        /// Why.
        cause: Name,
    },
    /// The cancellation is stored.
    Cancelled,
    /// The job does not exist.
    Gone,
    /// The number of jobs that have not started.
    Waiting(u64),
    /// The request was refused and has no effect.
    Refused {
        /// The reason, for logs.
        reason: Name,
        /// The delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job can never be run as submitted.
    Invalid {
        /// What is wrong.
        reason: Name,
    },
    /// The outcome is unknown; repeating the request is safe.
    Unsure,
}

impl JobReply {
    /// Returns the name of the reply, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Status(_) | Self::Failed { .. } => "status",
            Self::Cancelled => "cancelled",
            Self::Gone => "gone",
            Self::Waiting(_) => "waiting",
            Self::Refused { .. } => "refused",
            Self::Invalid { .. } => "invalid",
            Self::Unsure => "unsure",
        }
    }

    /// Creates the rejection of a submission whose id a job of another route has: workers know tasks by the
    /// id alone, so the two can't both run.
    pub fn id_taken() -> Self {
        Self::Invalid {
            reason: "a job of another route has this id".into(),
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
