//! The port that decodes callers' requests and operators' tables and encodes responses.

use std::fmt;

use base::prelude::*;
use jobs::{JobReply, JobSpec};

use crate::RouteTable;

/// The operation that a caller requests on a job or a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Submit a job.
    Submit,
    /// Read a job's state, or the number of a route's waiting jobs.
    Read,
    /// Cancel a job.
    Cancel,
}

/// The head of a caller's request, before its route is looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// The operation; `None` for an unsupported method.
    pub verb: Option<Verb>,
    /// The host that the request names, without a port.
    pub host: Name,
    /// The path, without the query.
    pub path: Name,
    /// How long the caller waits; `None` if the request does not say.
    pub timeout: Option<Duration>,
}

/// A response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body; empty if there is none.
    pub body: String,
    /// When the caller should retry, in whole seconds.
    pub retry_after_s: Option<u64>,
}

impl CallerResponse {
    /// Creates a response without a body.
    pub fn status(status: u16) -> Self {
        Self {
            status,
            body: String::new(),
            retry_after_s: None,
        }
    }
}

/// Decodes and encodes the messages of callers and operators; makes no decisions of its own.
pub trait CallerCodec: Send + Sync + fmt::Debug {
    /// Returns the key of the store that holds the operators' tables.
    fn table_key(&self) -> Name;

    /// Reads the operators' tables.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] if the bytes are not valid tables.
    fn read_table(&self, bytes: &[u8]) -> Result<RouteTable>;

    /// Reads the head of a request.
    fn read_head(&self, method: &str, target: &str, headers: &[(String, String)]) -> CallerRequest;

    /// Reads a submitted job.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] with the reason if the body is not a valid job.
    fn read_job(&self, body: &[u8]) -> Result<JobSpec>;

    /// Reads a job's id from the path after a route's prefix; `None` if the text is not a job id.
    fn read_job_id(&self, text: &str) -> Option<JobId>;

    /// Encodes a reply of the owner.
    fn encode_reply(&self, reply: &JobReply) -> CallerResponse;

    /// Returns the response to a request that matches no route.
    fn no_route_response(&self) -> CallerResponse;

    /// Returns the response to a request that is malformed or too large.
    fn malformed_response(&self, is_too_large: bool) -> CallerResponse;
}
