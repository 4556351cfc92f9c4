//! One HTTP hop of a request: forwards it to the next process and reads the whole response.

use std::io::{Cursor, Read};
use std::net::SocketAddr;

use base::prelude::*;
use ports::ip_agent;
use tiny_http::{Header, Request, Response};
use ureq::Agent;
use ureq::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ureq::http::{self, HeaderMap, HeaderName, HeaderValue};

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection may be idle and still be reused.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Headers that are specific to a connection or that each hop sets itself.
const HOP_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The prefix of the system's own headers.
const OWN_PREFIX: &str = "monsoontrestle-";

/// A request to the next process.
#[derive(Debug)]
pub struct HopRequest<'a> {
    /// The method.
    pub method: &'a str,
    /// The address of the process.
    pub addr: SocketAddr,
    /// The path and query.
    pub url: &'a str,
    /// All headers except those of the connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: &'a [u8],
    /// The timeout for the whole exchange.
    pub timeout: Duration,
}

/// A response that was read completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopResponse {
    /// The status.
    pub status: u16,
    /// All headers except those of the connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The reason why there is no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopError {
    /// The request was not sent.
    NotSent,
    /// The connection broke or timed out after the request may have been sent.
    NoResponse,
    /// The body was cut off, did not match its announced length, or exceeds the limit.
    Incomplete,
}

/// Creates an HTTP agent that keeps at most `idle` idle connections.
pub fn hop_agent(idle: usize) -> Agent {
    let config = Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections_per_host(idle)
        .max_idle_connections(idle)
        .max_idle_age(MAX_IDLE)
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent("")
        .accept("")
        .allow_non_standard_methods(true)
        .build();
    ip_agent(config)
}

/// Sends a request and reads its response, whose body may have at most `limit` bytes.
///
/// # Errors
///
/// Returns a [`HopError`] if there is no complete response; only [`HopError::NotSent`] means that
/// the request did not reach the process.
pub fn hop(agent: &Agent, hop: HopRequest<'_>, limit: u64) -> Result<HopResponse, HopError> {
    let mut req = http::Request::builder()
        .method(hop.method)
        .uri(format!("http://{}{}", hop.addr, hop.url));
    if let Some(headers) = req.headers_mut() {
        *headers = hop.headers;
    }
    let req = req.body(hop.body).map_err(|_invalid| HopError::NotSent)?;
    let req = agent
        .configure_request(req)
        .timeout_global(Some(hop.timeout))
        .build();
    let mut response = agent.run(req).map_err(|e| hop_error(&e))?;
    let announced = announced_length(&response);
    let mut body = Vec::with_capacity(announced.unwrap_or(0).min(limit) as usize);
    response
        .body_mut()
        .as_reader()
        .take(limit + 1)
        .read_to_end(&mut body)
        .map_err(|_broken| HopError::Incomplete)?;
    let length = body.len() as u64;
    let has_no_body = hop.method == "HEAD" || matches!(response.status().as_u16(), 204 | 304);
    let is_chunked = response.headers().contains_key(TRANSFER_ENCODING);
    let is_whole = has_no_body || announced.map_or(is_chunked, |announced| announced == length);
    if !is_whole || length > limit {
        return Err(HopError::Incomplete);
    }
    let status = response.status().as_u16();
    let (parts, _body) = response.into_parts();
    Ok(HopResponse {
        status,
        headers: parts.headers,
        body,
    })
}

/// Maps an error of the HTTP client to whether the request was sent.
fn hop_error(e: &ureq::Error) -> HopError {
    match e {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect) => HopError::NotSent,
        ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            HopError::NotSent
        }
        _ => HopError::NoResponse,
    }
}

fn announced_length(response: &http::Response<ureq::Body>) -> Option<u64> {
    let value = response.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// The reason why a request's body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It exceeds the limit.
    TooLarge,
    /// It ended before its announced length.
    CutOff,
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns [`BodyError::TooLarge`] if it has more than `limit` bytes, and [`BodyError::CutOff`] if
/// it ended early.
pub fn read_body(req: &mut Request, limit: u64) -> Result<Vec<u8>, BodyError> {
    let announced = req.body_length();
    if announced.unwrap_or(0) as u64 > limit {
        return Err(BodyError::TooLarge);
    }
    let mut body = Vec::with_capacity(announced.unwrap_or(0));
    req.as_reader()
        .take(limit + 1)
        .read_to_end(&mut body)
        .map_err(|_broken| BodyError::CutOff)?;
    if body.len() as u64 > limit {
        return Err(BodyError::TooLarge);
    }
    if announced.is_some_and(|length| length != body.len()) {
        return Err(BodyError::CutOff);
    }
    Ok(body)
}

/// Returns the value of a header, whose name is compared without regard to case.
pub fn header_of<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|h| h.value.as_str())
}

/// Returns the headers to pass on: those that are neither of the connection nor the system's own.
pub fn end_to_end(req: &Request) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(req.headers().len() + 8);
    for h in req.headers() {
        let name = HeaderName::from_bytes(h.field.as_str().as_bytes());
        let value = HeaderValue::from_bytes(h.value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value)
            && is_end_to_end(&name)
        {
            headers.append(name, value);
        }
    }
    headers
}

fn is_end_to_end(name: &HeaderName) -> bool {
    let name = name.as_str();
    !HOP_HEADERS.contains(&name) && !name.starts_with(OWN_PREFIX)
}

/// Builds a response with a `Content-Length`, never chunked.
pub fn response(status: u16, headers: &HeaderMap, body: Vec<u8>) -> Response<Cursor<Vec<u8>>> {
    let mut response = Response::from_data(body)
        .with_status_code(status)
        .with_chunked_threshold(usize::MAX);
    for (name, value) in headers.iter().filter(|(name, _)| is_end_to_end(name)) {
        if let Ok(h) = Header::from_bytes(name.as_str(), value.as_bytes()) {
            response.add_header(h);
        }
    }
    response
}
