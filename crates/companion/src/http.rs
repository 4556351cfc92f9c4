//! Requests from entries, passed to the target.

use std::io::{Cursor, Read};
use std::net::SocketAddr;

use base::prelude::*;
use crossbeam_channel::{Sender, bounded};
use tiny_http::{Header, Request, Response};
use ureq::Agent;
use ureq::http;
use wire::{Outcome, Reply, Token, header};

use crate::admit::{AdmitStep, StoredAnswer};
use crate::event::{AdmitEvent, AdmitMeta, Event};

/// How long a connection to the target may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How much longer than the caller's deadline the target may take.
const LATE_ANSWER: Duration = Duration::from_secs(5);

/// How long a thread waits for the run that its request joined.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);

/// The largest request body, in bytes; the entry holds the route's own limit.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Passes requests to the target.
pub(crate) struct Door {
    events: Sender<Event>,
    agent: Agent,
    target: SocketAddr,
    token: Option<Token>,
}

impl Door {
    pub(crate) fn new(
        events: Sender<Event>,
        target: SocketAddr,
        connections: u32,
        token: Option<Token>,
    ) -> Self {
        let agent = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections_per_host(connections as usize)
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self {
            events,
            agent,
            target,
            token,
        }
    }

    /// Serves one request to its end.
    pub(crate) fn serve(&self, mut req: Request) {
        let given = header_of(&req, header::TOKEN);
        let is_admitted = self.token.as_ref().is_none_or(|token| token.admits(given));
        if !is_admitted {
            return respond(req, refused(401, Outcome::RefusedNotRun, "wrong-secret"));
        }
        let mut body = Vec::new();
        let read = req.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body);
        let expected = req.body_length();
        let is_whole = read.is_ok() && expected.is_none_or(|length| length == body.len());
        let Some(meta) = meta_of(&req).filter(|_| is_whole) else {
            return respond(req, refused(400, Outcome::RefusedNotRun, "malformed"));
        };
        let response = match self.begin(&meta) {
            AdmitStep::Run => self.run(&req, &meta, &body),
            step => response_of(step),
        };
        respond(req, response);
    }

    /// Asks whether the request may run.
    fn begin(&self, meta: &AdmitMeta) -> AdmitStep {
        let (tx, rx) = bounded(1);
        // The receiver is gone where the wait has ended: nobody wants the step.
        let reply = Reply::new(move |step| drop(tx.send(step)));
        let event = Event::Admit(AdmitEvent::Begin(meta.clone(), reply));
        if self.events.send(event).is_err() {
            return AdmitStep::Lost { reason: "stopping" };
        }
        rx.recv_timeout(JOIN_TIMEOUT)
            .unwrap_or(AdmitStep::Lost { reason: "stopping" })
    }

    /// Calls the target and reports the end.
    fn run(&self, req: &Request, meta: &AdmitMeta, body: &[u8]) -> Response<Cursor<Vec<u8>>> {
        let answer = self.call_target(req, meta, body).map(Arc::new);
        let event = AdmitEvent::Finished(meta.id.clone(), answer.clone());
        drop(self.events.send(Event::Admit(event)));
        response_of(match answer {
            Some(answer) => AdmitStep::Answer { answer, load: 0 },
            None => AdmitStep::Lost {
                reason: "no-answer",
            },
        })
    }

    /// Returns the target's whole answer; `None` if there is none.
    fn call_target(&self, req: &Request, meta: &AdmitMeta, body: &[u8]) -> Option<StoredAnswer> {
        let timeout = meta.deadline.saturating_duration_since(Instant::now()) + LATE_ANSWER;
        let call = http::Request::builder()
            .method(req.method().as_str())
            .uri(format!("http://{}{}", self.target, req.url()))
            .header(header::REQUEST_ID, meta.id.as_str());
        let call = match header_of(req, "Content-Type") {
            Some(value) => call.header("Content-Type", value),
            None => call,
        };
        let call = call.body(body).ok()?;
        let call = self
            .agent
            .configure_request(call)
            .timeout_global(Some(timeout))
            .build();
        let mut response = self.agent.run(call).ok()?;
        let announced: Option<usize> = response
            .headers()
            .get("Content-Length")?
            .to_str()
            .ok()?
            .parse()
            .ok();
        let content_type = response
            .headers()
            .get("Content-Type")
            .and_then(|v| v.to_str().ok())
            .map(Name::from);
        let mut body = Vec::new();
        response
            .body_mut()
            .as_reader()
            .read_to_end(&mut body)
            .ok()?;
        let is_whole = announced == Some(body.len());
        is_whole.then(|| StoredAnswer {
            status: response.status().as_u16(),
            content_type,
            body,
        })
    }
}

fn meta_of(req: &Request) -> Option<AdmitMeta> {
    let left = header_of(req, header::DEADLINE_MS)?.parse().ok()?;
    Some(AdmitMeta {
        id: RequestId::from(header_of(req, header::REQUEST_ID)?),
        incarnation: Incarnation(header_of(req, header::INCARNATION)?.parse().ok()?),
        deadline: Instant::now() + Duration::from_millis(left),
    })
}

fn header_of<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|h| h.value.as_str())
}

fn response_of(step: AdmitStep) -> Response<Cursor<Vec<u8>>> {
    match step {
        AdmitStep::Answer { answer, load } => {
            let mut response =
                Response::from_data(answer.body.clone()).with_status_code(answer.status);
            let headers = [
                built(header::OUTCOME, Outcome::Answered.as_str()),
                built(header::LOAD, &load.to_string()),
                answer
                    .content_type
                    .as_deref()
                    .and_then(|value| built("Content-Type", value)),
            ];
            headers
                .into_iter()
                .flatten()
                .for_each(|h| response.add_header(h));
            response
        }
        AdmitStep::NotRun { reason } => refused(503, Outcome::RefusedNotRun, reason),
        AdmitStep::Lost { reason } => refused(504, Outcome::Unknown, reason),
        AdmitStep::Run => refused(500, Outcome::Unknown, "internal"),
    }
}

fn refused(status: u16, outcome: Outcome, reason: &str) -> Response<Cursor<Vec<u8>>> {
    let mut response = Response::from_data(Vec::new()).with_status_code(status);
    let headers = [
        built(header::OUTCOME, outcome.as_str()),
        built(header::REASON, reason),
    ];
    headers
        .into_iter()
        .flatten()
        .for_each(|h| response.add_header(h));
    response
}

fn built(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

/// Sends a response; an entry that is gone asks again by id.
fn respond(req: Request, response: Response<Cursor<Vec<u8>>>) {
    drop(req.respond(response));
}
