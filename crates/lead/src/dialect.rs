//! The port through which an entry learns how its callers and operators speak.

use std::fmt;

use base::prelude::*;
use jobs::{JobSpec, Told};

use crate::RouteTable;

/// What a caller wants of a job or a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Submit a job.
    Submit,
    /// Read a job's state, or a route's count of waiting jobs.
    Read,
    /// Cancel a job.
    Cancel,
}

/// A caller's request before its route is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// What the caller wants; `None` for a verb that nothing answers to.
    pub verb: Option<Verb>,
    /// The host that the request names, without a port.
    pub host: Name,
    /// The path.
    pub path: Name,
    /// How long the caller waits.
    pub patience: Option<Duration>,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body; empty for none.
    pub body: String,
    /// When to come back, in whole seconds.
    pub retry_after_s: Option<u64>,
}

impl Answer {
    /// Creates an answer without a body.
    pub fn status(status: u16) -> Self {
        Self {
            status,
            body: String::new(),
            retry_after_s: None,
        }
    }
}

/// How callers and operators speak; decodes and encodes, and decides nothing.
pub trait Dialect: Send + Sync + fmt::Debug {
    /// Returns the key of the store that holds the operators' tables.
    fn table_key(&self) -> Name;

    /// Reads the operators' tables.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] for bytes that are no tables.
    fn read_table(&self, bytes: &[u8]) -> Result<RouteTable>;

    /// Reads the head of a request.
    fn read_head(&self, method: &str, target: &str, headers: &[(String, String)]) -> CallerRequest;

    /// Reads a submitted job.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] with what is wrong.
    fn read_job(&self, body: &[u8]) -> Result<JobSpec>;

    /// Reads a job's id from what follows a route's prefix; `None` if it is none.
    fn read_job_id(&self, text: &str) -> Option<JobId>;

    /// Writes what a caller is told.
    fn answer(&self, told: &Told) -> Answer;

    /// Writes the answer to a request that no route takes.
    fn answer_no_route(&self) -> Answer;

    /// Writes the answer to a request that is malformed or too large.
    fn answer_malformed(&self, is_too_large: bool) -> Answer;
}
