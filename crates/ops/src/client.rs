//! Client of the operator API of an entry, over HTTP.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use report::burn::BurnSnapshot;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::http::StatusCode;
use wire::header;
use wire::operator::{JobSelection, JobSubmission, Status, path};
use wire::{JobStatus, SubmitReply, Token};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// The operator API of an entry.
///
/// # Errors
///
/// A call whose error is [of unknown outcome](ErrorKind::is_outcome_unknown) may have taken effect.
pub trait EntryPort: fmt::Debug {
    /// Returns the status of the entry and of the processes that it knows.
    fn status(&self) -> Result<Status>;

    /// Submits a job.
    fn submit(&self, job: &JobSubmission) -> Result<SubmitReply>;

    /// Returns the status of jobs; unknown ones are left out.
    fn job_statuses(&self, jobs: &JobSelection) -> Result<Vec<JobStatus>>;

    /// Cancels jobs and returns their status; unknown ones are left out.
    fn cancel(&self, jobs: &JobSelection) -> Result<Vec<JobStatus>>;

    /// Starts to drain a target.
    fn drain(&self, target: &TargetId) -> Result<()>;

    /// Returns the counts for the service-level burn report.
    fn burn(&self) -> Result<BurnSnapshot>;
}

/// An entry reached over HTTP.
#[derive(Debug)]
pub struct HttpEntry {
    agent: Agent,
    addr: SocketAddr,
    token: Option<Token>,
}

impl HttpEntry {
    /// Creates a client of the entry at `addr`.
    pub fn new(addr: SocketAddr, token: Option<Token>) -> Self {
        let cfg = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            agent: cfg.into(),
            addr,
            token,
        }
    }

    fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    fn secret(&self) -> &str {
        self.token.as_ref().map_or("", Token::secret)
    }

    fn get(&self, step: &'static str, path: &str) -> Result<String> {
        let req = self.agent.get(self.uri(path));
        let resp = req.header(header::TOKEN, self.secret()).call();
        self.read(step, resp)
    }

    fn post<T: Serialize>(&self, step: &'static str, path: &str, body: &T) -> Result<String> {
        let req = self.agent.post(self.uri(path));
        let resp = req.header(header::TOKEN, self.secret()).send_json(body);
        self.read(step, resp)
    }

    fn read(
        &self,
        step: &'static str,
        resp: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<String> {
        let mut resp = resp.map_err(|e| self.error(error_kind(&e), step, e.to_string()))?;
        let body = resp.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let text = body
            .read_to_string()
            .map_err(|e| self.error(ErrorKind::Interrupted, step, e.to_string()))?;
        let kind = match resp.status() {
            status if status.is_success() => return Ok(text),
            StatusCode::NOT_FOUND => ErrorKind::NotFound,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                ErrorKind::Overloaded
            }
            StatusCode::GATEWAY_TIMEOUT => ErrorKind::Timeout,
            status if status.is_client_error() => ErrorKind::Refused,
            _ => ErrorKind::Internal,
        };
        let message = format!("{}: {}", resp.status(), text.trim());
        Err(self.error(kind, step, message))
    }

    fn parse<T: DeserializeOwned>(&self, step: &'static str, text: &str) -> Result<T> {
        serde_json::from_str(text)
            .map_err(|e| self.error(ErrorKind::Malformed, step, e.to_string()))
    }

    fn error(&self, kind: ErrorKind, step: &'static str, message: String) -> Error {
        Error::new(kind, step, format!("entry {}", self.addr), message)
    }
}

impl EntryPort for HttpEntry {
    fn status(&self) -> Result<Status> {
        let step = "read status";
        self.parse(step, &self.get(step, path::STATUS)?)
    }

    fn submit(&self, job: &JobSubmission) -> Result<SubmitReply> {
        let step = "submit job";
        self.parse(step, &self.post(step, path::JOBS, job)?)
    }

    fn job_statuses(&self, jobs: &JobSelection) -> Result<Vec<JobStatus>> {
        let step = "read jobs";
        let text = self.post(step, path::JOBS_QUERY, jobs)?;
        let found = self.parse::<Vec<Option<JobStatus>>>(step, &text)?;
        Ok(found.into_iter().flatten().collect())
    }

    fn cancel(&self, jobs: &JobSelection) -> Result<Vec<JobStatus>> {
        let step = "cancel jobs";
        self.parse(step, &self.post(step, path::JOBS_CANCEL, jobs)?)
    }

    fn drain(&self, target: &TargetId) -> Result<()> {
        self.post("drain target", path::DRAIN, target).map(drop)
    }

    fn burn(&self) -> Result<BurnSnapshot> {
        let step = "read burn";
        self.parse(step, &self.get(step, path::BURN)?)
    }
}

/// Classifies a failed call. Only a call that was never sent is certain to have had no effect.
fn error_kind(error: &ureq::Error) -> ErrorKind {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => ErrorKind::Unreachable,
        ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            ErrorKind::Unreachable
        }
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            ErrorKind::Unreachable
        }
        ureq::Error::Timeout(_) => ErrorKind::Timeout,
        _ => ErrorKind::Interrupted,
    }
}
