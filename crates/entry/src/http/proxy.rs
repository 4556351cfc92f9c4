//! Proxies callers' requests to targets through their companions.

use std::io::Cursor;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use crossbeam_channel::{Sender, bounded};
use route::{AttemptEnd, RequestMeta, RequestStep, SendStep};
use tables::{Route, RouteKind};
use tiny_http::{Request, Response};
use ureq::http::{HeaderMap, HeaderName, HeaderValue};
use wire::hop::{self, BodyError, HopError, HopRequest, HopResponse, header_of};
use wire::{Outcome, Responder, Token, header};

use super::connection_cache::ConnectionCache;
use super::{Frontend, refusal};
use crate::event::{Event, RequestEvent};

/// How much longer than the deadline a thread waits for the actors to decide.
const DECISION_MARGIN: Duration = Duration::from_secs(5);

/// The largest response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// How long callers should wait before they retry while there are no tables.
const NO_TABLES_RETRY: Duration = Duration::from_secs(1);

/// Sends requests to companions.
pub(super) struct Proxy {
    events: Sender<Event>,
    connection_cache: ConnectionCache,
    token: Option<Token>,
    prefix: u64,
    next_id: AtomicU64,
}

/// A caller's request with its complete body.
struct IncomingRequest {
    method: String,
    url: String,
    headers: HeaderMap,
    body: Vec<u8>,
}

/// A target's complete response, with the id of the request that was sent.
struct ReceivedResponse {
    answer: HopResponse,
    sent_as: RequestId,
}

impl Proxy {
    pub(super) fn new(events: Sender<Event>, token: Option<Token>) -> Self {
        Self {
            events,
            connection_cache: ConnectionCache::default(),
            token,
            prefix: rand::random(),
            next_id: AtomicU64::new(0),
        }
    }

    fn next_request_id(&self) -> RequestId {
        let n = self.next_id.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!("{:016x}-{n:x}", self.prefix))
    }

    /// Sends an event to the actors and waits for the request's next step.
    fn next_step(
        &self,
        deadline: Instant,
        event: impl FnOnce(Responder<RequestStep>) -> RequestEvent,
    ) -> RequestStep {
        let (tx, rx) = bounded(1);
        let reply = Responder::new(move |step| drop(tx.send(step)));
        let sent = self.events.send(Event::Request(event(reply)));
        let step = sent
            .ok()
            .and_then(|()| rx.recv_deadline(deadline + DECISION_MARGIN).ok());
        step.unwrap_or(RequestStep::Unknown { reason: "stopping" })
    }

    /// Makes one attempt.
    fn attempt(
        &self,
        meta: &RequestMeta,
        incoming: &IncomingRequest,
        send: &SendStep,
    ) -> (AttemptEnd, Option<ReceivedResponse>) {
        let started = Instant::now();
        let connections = self.connection_cache.get(send.addr);
        let req = HopRequest {
            method: &incoming.method,
            addr: send.addr,
            url: &incoming.url,
            headers: self.headers_for(meta, incoming, send, started),
            body: &incoming.body,
            timeout: send.timeout,
        };
        match hop::hop(&connections.agent, req, MAX_RESPONSE_BYTES) {
            Ok(answer) => classify(answer, &send.id, started.elapsed()),
            Err(HopError::NotSent) => (AttemptEnd::NotSent, None),
            Err(HopError::Incomplete) => (AttemptEnd::Truncated, None),
            Err(HopError::NoResponse) => {
                self.connection_cache.retire(send.addr, &connections);
                (AttemptEnd::NoResponse, None)
            }
        }
    }

    /// Returns the headers of an attempt.
    fn headers_for(
        &self,
        meta: &RequestMeta,
        incoming: &IncomingRequest,
        send: &SendStep,
        now: Instant,
    ) -> HeaderMap {
        let left = meta.deadline.saturating_duration_since(now).as_millis() as u64;
        let mut headers = incoming.headers.clone();
        let mut set = |name: &str, value: &str| {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                headers.insert(name, value);
            }
        };
        if let Some(token) = &self.token {
            set(header::TOKEN, token.secret());
        }
        set(header::REQUEST_ID, send.id.as_str());
        set(header::ROUTE, meta.route.as_str());
        set(header::TEAM, meta.team.as_str());
        set(header::ATTEMPT, &send.attempt.to_string());
        set(header::INCARNATION, &send.incarnation.to_string());
        set(header::UPTIME_MS, &send.uptime.as_millis().to_string());
        set(header::PRIORITY, wire::priority_text(meta.priority));
        set(header::DEADLINE_MS, &left.to_string());
        if send.is_repeat {
            set(header::REPEAT, "1");
        }
        headers
    }
}

/// Classifies an attempt by its companion's response.
fn classify(
    answer: HopResponse,
    sent_as: &RequestId,
    took: Duration,
) -> (AttemptEnd, Option<ReceivedResponse>) {
    let outcome = text(&answer.headers, header::OUTCOME).and_then(|s| s.parse().ok());
    let reason = || Name::from(text(&answer.headers, header::REASON).unwrap_or("none"));
    match outcome {
        Some(Outcome::RefusedNotRun) => return (AttemptEnd::NotRun { reason: reason() }, None),
        Some(Outcome::Unknown) => return (AttemptEnd::Lost { reason: reason() }, None),
        Some(Outcome::Answered) => {}
        // The response does not come from a companion.
        None => return (AttemptEnd::Truncated, None),
    }
    if text(&answer.headers, header::REQUEST_ID) != Some(sent_as.as_str()) {
        return (AttemptEnd::Truncated, None);
    }
    let load = text(&answer.headers, header::LOAD).and_then(|s| s.parse().ok());
    let end = AttemptEnd::Answered {
        took,
        load: load.unwrap_or(0),
        status: answer.status,
    };
    let received = ReceivedResponse {
        answer,
        sent_as: sent_as.clone(),
    };
    (end, Some(received))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl Frontend {
    /// Serves a request that falls under a route.
    pub(super) fn serve_route(&self, mut req: Request) {
        let refuse = |status, reason, retry_after| {
            refusal(status, Outcome::RefusedNotRun, reason, retry_after)
        };
        let Some(tables) = self.tables.get() else {
            return respond(req, refuse(503, "no-tables", Some(NO_TABLES_RETRY)));
        };
        let Some(route) = tables.route_for_path(req.url()) else {
            return respond(req, refuse(404, "no-route", None));
        };
        let body = match hop::read_body(&mut req, route.max_body_bytes) {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return respond(req, refuse(413, "body-too-large", None)),
            Err(BodyError::CutOff) => return respond(req, refuse(400, "body-not-whole", None)),
        };
        if route.kind != RouteKind::Request {
            return self.serve_submit(req, route, &body);
        }
        let meta = self.meta(&req, route);
        let incoming = IncomingRequest {
            method: req.method().to_string(),
            url: req.url().to_owned(),
            headers: hop::end_to_end(&req),
            body,
        };
        self.telemetry.set_tables(&tables);
        let began = Instant::now();
        let response = self.run_request(&meta, &incoming);
        self.count(&route.name, began, &response);
        respond(req, response);
    }

    fn meta(&self, req: &Request, route: &Route) -> RequestMeta {
        let requested = header_of(req, header::DEADLINE_MS).and_then(|s| s.parse().ok());
        let deadline = requested
            .map_or(route.deadline, Duration::from_millis)
            .min(route.deadline);
        let team = header_of(req, header::TEAM).map_or_else(|| route.team.clone(), TeamName::from);
        RequestMeta {
            id: self.proxy.next_request_id(),
            route: route.name.clone(),
            team,
            priority: route.priority,
            deadline: Instant::now() + deadline,
            key: header_of(req, header::IDEMPOTENCY_KEY).map(Name::from),
        }
    }

    /// Makes attempts until the actors end the request.
    fn run_request(
        &self,
        meta: &RequestMeta,
        incoming: &IncomingRequest,
    ) -> Response<Cursor<Vec<u8>>> {
        let mut step = self.proxy.next_step(meta.deadline, |reply| {
            RequestEvent::Admit(meta.clone(), reply)
        });
        loop {
            match step {
                RequestStep::Send(send) => {
                    let (end, received) = self.proxy.attempt(meta, incoming, &send);
                    if let Some(received) = received {
                        // Informs the actors without making the caller wait for them.
                        let event = RequestEvent::Answered(meta.id.clone(), end);
                        drop(self.proxy.events.send(Event::Request(event)));
                        return answered(meta, &send, received);
                    }
                    step = self.proxy.next_step(meta.deadline, |reply| {
                        RequestEvent::Ended(meta.id.clone(), end, reply)
                    });
                }
                RequestStep::Answer => return refusal(504, Outcome::Unknown, "no-answer", None),
                RequestStep::Refuse {
                    reason,
                    retry_after,
                } => {
                    return refusal(503, Outcome::RefusedNotRun, reason, retry_after);
                }
                RequestStep::Unknown { reason } => {
                    return refusal(504, Outcome::Unknown, reason, None);
                }
            }
        }
    }
}

/// Builds the caller's response from the target's, checking that it answers this request.
fn answered(
    meta: &RequestMeta,
    send: &SendStep,
    received: ReceivedResponse,
) -> Response<Cursor<Vec<u8>>> {
    let answered_id = text(&received.answer.headers, header::REQUEST_ID);
    let is_own = received.sent_as == send.id && answered_id == Some(send.id.as_str());
    let detail = || format!("{} received the answer to {answered_id:?}", send.id);
    if !Promise::WholeAnswer.check(is_own, detail) {
        return refusal(504, Outcome::Unknown, "internal", None);
    }
    let answer = received.answer;
    let mut response = hop::response(answer.status, &answer.headers, answer.body);
    let headers = [
        super::header(header::OUTCOME, Outcome::Answered.as_str()),
        super::header(header::REQUEST_ID, meta.id.as_str()),
    ];
    for h in headers.into_iter().flatten() {
        response.add_header(h);
    }
    response
}

/// Sends a response, ignoring callers that have disconnected.
pub(super) fn respond(req: Request, response: Response<Cursor<Vec<u8>>>) {
    drop(req.respond(response));
}
