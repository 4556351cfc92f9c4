//! An HTTP client with pooled connections, whose errors tell whether a call may have had an effect.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use base::prelude::*;
use parking_lot::Mutex;
use ureq::http::{Request, Response};
use ureq::{Agent, Body};

use crate::ip_agent;

/// The maximum number of idle connections to keep.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The largest response body that is read, in bytes.
const MAX_BODY_BYTES: u64 = 256 * 1024 * 1024;

/// An HTTP client for one server.
pub struct Client {
    peer: Name,
    base: String,
    timeout: Duration,
    agent: Mutex<Agent>,
    accepted: &'static [u16],
    detects_closed_ports: bool,
}

/// Statuses that are valid responses from any server.
const EXPECTED_STATUSES: [u16; 4] = [200, 404, 409, 410];

impl Client {
    /// Creates a client whose calls take at most `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            peer: addr.to_string().into(),
            base: format!("http://{addr}"),
            timeout,
            agent: Mutex::new(new_agent(timeout)),
            accepted: &[],
            detects_closed_ports: false,
        }
    }

    /// Reports a refused connection as [`ErrorKind::NotListening`] instead of
    /// [`ErrorKind::Unreachable`].
    #[must_use]
    pub fn detecting_closed_ports(mut self) -> Self {
        self.detects_closed_ports = true;
        self
    }

    /// Treats further statuses as valid responses.
    #[must_use]
    pub fn accepting(mut self, statuses: &'static [u16]) -> Self {
        self.accepted = statuses;
        self
    }

    /// Returns the URI of `path`, which may include a query.
    pub fn uri(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    /// Creates an error for `step` with this client's server as the peer.
    pub fn error(&self, kind: ErrorKind, step: &'static str, message: impl Into<String>) -> Error {
        Error::new(kind, step, Arc::clone(&self.peer), message)
    }

    /// Sends a request and reads its whole response, within the client's timeout plus `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the transport fails, or if the status is not one that every call accepts (200, 404,
    /// 409, 410) or one given to [`Client::accepting`]. The status 429 or 503 is
    /// [`ErrorKind::Overloaded`], 400 or 413 is [`ErrorKind::Refused`], and any other is
    /// [`ErrorKind::Interrupted`].
    pub fn send(
        &self,
        step: &'static str,
        req: Request<Vec<u8>>,
        wait: Duration,
    ) -> Result<Response<Vec<u8>>> {
        self.exchange(step, req, self.timeout + wait, Duration::ZERO)
    }

    /// Sends a request with a large response: its head must arrive within the client's timeout plus
    /// `wait`, its body within another `body_timeout`.
    ///
    /// # Errors
    ///
    /// The same as those of [`Client::send`].
    pub fn send_with_body_timeout(
        &self,
        step: &'static str,
        req: Request<Vec<u8>>,
        wait: Duration,
        body_timeout: Duration,
    ) -> Result<Response<Vec<u8>>> {
        self.exchange(step, req, self.timeout + wait, body_timeout)
    }

    fn exchange(
        &self,
        step: &'static str,
        req: Request<Vec<u8>>,
        head_timeout: Duration,
        body_timeout: Duration,
    ) -> Result<Response<Vec<u8>>> {
        let agent = self.agent.lock().clone();
        let req = agent
            .configure_request(req)
            .timeout_recv_response(Some(head_timeout))
            .timeout_global(Some(head_timeout + body_timeout))
            .build();
        let resp = agent
            .run(req)
            .and_then(read_whole)
            .map_err(|e| self.transport_error(step, &e))?;
        self.check_status(step, resp)
    }

    fn check_status(
        &self,
        step: &'static str,
        resp: Response<Vec<u8>>,
    ) -> Result<Response<Vec<u8>>> {
        let status = resp.status().as_u16();
        let kind = match status {
            _ if EXPECTED_STATUSES.contains(&status) || self.accepted.contains(&status) => {
                return Ok(resp);
            }
            429 | 503 => ErrorKind::Overloaded,
            400 | 413 => ErrorKind::Refused,
            _ => ErrorKind::Interrupted,
        };
        let text = String::from_utf8_lossy(resp.body()).into_owned();
        Err(self.error(kind, step, format!("status {}: {text}", resp.status())))
    }

    fn transport_error(&self, step: &'static str, e: &ureq::Error) -> Error {
        let kind = match e {
            ureq::Error::Io(e) if self.detects_closed_ports && is_connection_refused(e) => {
                ErrorKind::NotListening
            }
            _ => transport_kind(e),
        };
        if kind.is_outcome_unknown() {
            // Connections to one server tend to fail together, so the whole pool is discarded.
            *self.agent.lock() = new_agent(self.timeout);
        }
        self.error(kind, step, e.to_string())
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("peer", &self.peer)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

fn new_agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .max_idle_connections(MAX_IDLE_CONNECTIONS)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
        // Shorter than the timeout of the call, so that a failed connect is distinguished from a
        // lost response.
        .timeout_connect(Some(timeout / 2))
        .build();
    ip_agent(config)
}

fn read_whole(resp: Response<Body>) -> Result<Response<Vec<u8>>, ureq::Error> {
    let (parts, mut body) = resp.into_parts();
    let body = body.with_config().limit(MAX_BODY_BYTES).read_to_vec()?;
    Ok(Response::from_parts(parts, body))
}

fn transport_kind(e: &ureq::Error) -> ErrorKind {
    match e {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound => ErrorKind::Unreachable,
        ureq::Error::Timeout(_) => ErrorKind::Timeout,
        ureq::Error::Http(_) | ureq::Error::BadUri(_) => ErrorKind::Invalid,
        ureq::Error::Io(e) => io_kind(e.kind()),
        _ => ErrorKind::Interrupted,
    }
}

fn is_connection_refused(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::ConnectionRefused
}

fn io_kind(kind: io::ErrorKind) -> ErrorKind {
    match kind {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable
        | io::ErrorKind::AddrNotAvailable => ErrorKind::Unreachable,
        io::ErrorKind::TimedOut => ErrorKind::Timeout,
        _ => ErrorKind::Interrupted,
    }
}
