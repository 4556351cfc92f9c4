//! The HTTP proxy that forwards requests from entries to the target.

use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

use base::prelude::*;
use crossbeam_channel::{Sender, bounded};
use tiny_http::{Header, Request, Response};
use ureq::Agent;
use ureq::http::{HeaderMap, HeaderName, HeaderValue};
use wire::hop::{self, BodyError, HopRequest, header_of};
use wire::{Outcome, Responder, Token, header, priority_of};

use crate::admit::{AdmitStep, StoredResponse};
use crate::event::{AdmitEvent, AdmitMeta, Event};

/// How long after the caller's deadline a response of the target is still read and stored.
const LATE_RESPONSE_GRACE: Duration = Duration::from_secs(5);

/// The largest request or response body, in bytes; the entry enforces the limit of each route.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Forwards requests to the target.
pub(crate) struct TargetProxy {
    events: Sender<Event>,
    agent: Agent,
    target: SocketAddr,
    token: Option<Token>,
    load: Arc<AtomicU32>,
}

impl TargetProxy {
    /// Creates a proxy to `target`; `load` is the number of requests in progress there.
    pub(crate) fn new(
        events: Sender<Event>,
        target: SocketAddr,
        connections: u32,
        token: Option<Token>,
        load: Arc<AtomicU32>,
    ) -> Self {
        Self {
            events,
            agent: hop::hop_agent(connections as usize),
            target,
            token,
            load,
        }
    }

    /// Serves one request; blocks until its response is sent.
    pub(crate) fn serve(&self, mut req: Request) {
        let body = hop::read_body(&mut req, MAX_BODY_BYTES);
        let given = header_of(&req, header::TOKEN);
        let is_admitted = self.token.as_ref().is_none_or(|token| token.admits(given));
        if !is_admitted {
            let is_repeat = header_of(&req, header::REPEAT).is_some();
            return respond(
                req,
                refused(401, refusal_outcome(is_repeat), "wrong-secret"),
            );
        }
        let Some(meta) = meta_of(&req) else {
            return respond(req, refused(400, Outcome::RefusedNotRun, "malformed"));
        };
        let response = match body {
            Ok(body) => self.serve_with_body(&req, &meta, &body),
            Err(e) => refused_body(&meta, e),
        };
        respond(req, response);
    }

    /// Serves a request whose body has been read.
    fn serve_with_body(&self, req: &Request, meta: &AdmitMeta, body: &[u8]) -> HttpResponse {
        match self.begin(meta) {
            AdmitStep::Run => self.run(req, meta, body),
            step => response_of(meta, step),
        }
    }

    /// Requests admission; blocks until the request's deadline at the latest.
    fn begin(&self, meta: &AdmitMeta) -> AdmitStep {
        let (tx, rx) = bounded(1);
        let reply = Responder::new(move |step| drop(tx.send(step)));
        let event = Event::Admit(AdmitEvent::Begin(meta.clone(), reply));
        if self.events.send(event).is_err() {
            return AdmitStep::Lost { reason: "stopping" };
        }
        // An error means that the actors have ended and dropped the reply.
        rx.recv().unwrap_or(AdmitStep::Lost { reason: "stopping" })
    }

    /// Calls the target, reports the end of the call and returns the response.
    fn run(&self, req: &Request, meta: &AdmitMeta, body: &[u8]) -> HttpResponse {
        let response = self.call_target(req, meta, body).map(Arc::new);
        let event = AdmitEvent::Finished(meta.id.clone(), response.clone());
        // An error means that the actors have ended, so no other request waits for this run.
        drop(self.events.send(Event::Admit(event)));
        let load = self.load.load(Ordering::Relaxed);
        let step = match response {
            Some(answer) => AdmitStep::Answer { answer, load },
            None => AdmitStep::Lost {
                reason: "no-answer",
            },
        };
        response_of(meta, step)
    }

    /// Calls the target; returns `None` if no whole response arrives in time.
    fn call_target(&self, req: &Request, meta: &AdmitMeta, body: &[u8]) -> Option<StoredResponse> {
        let left = meta.deadline.saturating_duration_since(Instant::now());
        let mut headers = hop::end_to_end(req);
        insert(&mut headers, header::REQUEST_ID, meta.id.as_str());
        insert(
            &mut headers,
            header::DEADLINE_MS,
            &left.as_millis().to_string(),
        );
        let call = HopRequest {
            method: req.method().as_str(),
            addr: self.target,
            url: req.url(),
            headers,
            body,
            timeout: left + LATE_RESPONSE_GRACE,
        };
        hop::hop(&self.agent, call, MAX_BODY_BYTES).ok()
    }
}

type HttpResponse = Response<Cursor<Vec<u8>>>;

fn insert(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}

fn meta_of(req: &Request) -> Option<AdmitMeta> {
    let left = header_of(req, header::DEADLINE_MS)?.parse().ok()?;
    let priority = header_of(req, header::PRIORITY).unwrap_or_default();
    Some(AdmitMeta {
        id: RequestId::from(header_of(req, header::REQUEST_ID)?),
        incarnation: Incarnation(header_of(req, header::INCARNATION)?.parse().ok()?),
        uptime: Duration::from_millis(header_of(req, header::UPTIME_MS)?.parse().ok()?),
        deadline: Instant::now() + Duration::from_millis(left),
        priority: priority_of(priority),
        is_repeat: header_of(req, header::REPEAT).is_some(),
    })
}

/// Refuses a request whose body is too large or incomplete.
fn refused_body(meta: &AdmitMeta, e: BodyError) -> HttpResponse {
    let outcome = refusal_outcome(meta.is_repeat);
    match e {
        BodyError::TooLarge => refused(413, outcome, "body-too-large"),
        BodyError::CutOff => refused(400, outcome, "body-not-whole"),
    }
}

/// Returns the outcome of a refusal that is not recorded under the request's id.
///
/// If other copies of the request may exist, one of them may have run, so the outcome is unknown.
fn refusal_outcome(is_repeat: bool) -> Outcome {
    if is_repeat {
        Outcome::Unknown
    } else {
        Outcome::RefusedNotRun
    }
}

fn response_of(meta: &AdmitMeta, step: AdmitStep) -> HttpResponse {
    match step {
        AdmitStep::Answer { answer, load } => {
            let body = answer.body.clone();
            let response = hop::response(answer.status, &answer.headers, body);
            [
                built(header::OUTCOME, Outcome::Answered.as_str()),
                built(header::REQUEST_ID, meta.id.as_str()),
                built(header::LOAD, &load.to_string()),
            ]
            .into_iter()
            .flatten()
            .fold(response, Response::with_header)
        }
        AdmitStep::NotRun { reason } => refused(503, Outcome::RefusedNotRun, reason),
        AdmitStep::Lost { reason } => refused(504, Outcome::Unknown, reason),
        AdmitStep::Run => refused(500, Outcome::Unknown, "internal"),
    }
}

fn refused(status: u16, outcome: Outcome, reason: &str) -> HttpResponse {
    let response = Response::from_data(Vec::new()).with_status_code(status);
    [
        built(header::OUTCOME, outcome.as_str()),
        built(header::REASON, reason),
    ]
    .into_iter()
    .flatten()
    .fold(response, Response::with_header)
}

fn built(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

/// Sends a response; if the connection is lost, the entry repeats the request with the same id.
fn respond(req: Request, response: HttpResponse) {
    drop(req.respond(response));
}
