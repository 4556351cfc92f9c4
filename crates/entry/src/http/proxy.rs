//! Serving a caller's request through companions and their targets.

use std::io::{Cursor, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use crossbeam_channel::{Sender, bounded};
use route::{AttemptEnd, RequestMeta, RequestStep};
use tables::{Route, RouteKind, Tables};
use tiny_http::{Request, Response};
use ureq::Agent;
use ureq::http::{self, HeaderMap};
use wire::{Outcome, Reply, Token, header};

use super::{Front, header_of, refusal};
use crate::event::{AdminEvent, Event, RequestEvent};

/// How long a thread waits for the actors to decide on a request.
const DECISION_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How many idle connections to one companion are kept.
const IDLE_PER_COMPANION: usize = 64;

/// Sends requests to companions.
pub(super) struct Proxy {
    events: Sender<Event>,
    agent: Agent,
    token: Option<Token>,
    prefix: u32,
    next_id: AtomicU64,
}

/// A request that is read whole.
struct Incoming {
    method: String,
    url: String,
    content_type: Option<String>,
    body: Vec<u8>,
}

/// A target's whole answer.
struct TargetAnswer {
    status: u16,
    content_type: Option<String>,
    body: Vec<u8>,
}

impl Proxy {
    pub(super) fn new(events: Sender<Event>, token: Option<Token>) -> Self {
        Self {
            events,
            agent: agent(),
            token,
            prefix: rand::random(),
            next_id: AtomicU64::new(0),
        }
    }

    fn draw_id(&self) -> RequestId {
        let n = self.next_id.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!("{:08x}-{n:x}", self.prefix))
    }

    fn ask(&self, event: impl FnOnce(Reply<RequestStep>) -> RequestEvent) -> RequestStep {
        let (tx, rx) = bounded(1);
        let reply = Reply::new(move |step| drop(tx.send(step)));
        let sent = self.events.send(Event::Request(event(reply)));
        let step = sent
            .ok()
            .and_then(|()| rx.recv_timeout(DECISION_TIMEOUT).ok());
        step.unwrap_or(RequestStep::Unknown { reason: "stopping" })
    }

    /// Makes one attempt.
    fn attempt(
        &self,
        id: &RequestId,
        meta: &RequestMeta,
        incoming: &Incoming,
        send: &SendStep,
    ) -> (AttemptEnd, Option<TargetAnswer>) {
        let started = Instant::now();
        let fresh_agent = send.fresh.then(agent);
        let agent = fresh_agent.as_ref().unwrap_or(&self.agent);
        let left = meta.deadline.saturating_duration_since(started);
        let req = http::Request::builder()
            .method(incoming.method.as_str())
            .uri(format!("http://{}{}", send.addr, incoming.url))
            .header(header::REQUEST_ID, id.as_str())
            .header(header::ROUTE, meta.route.as_str())
            .header(header::ATTEMPT, send.attempt)
            .header(header::INCARNATION, send.incarnation.0)
            .header(header::DEADLINE_MS, left.as_millis() as u64);
        let req = match &incoming.content_type {
            Some(value) => req.header("Content-Type", value),
            None => req,
        };
        let req = match &self.token {
            Some(token) => req.header(header::TOKEN, token.secret()),
            None => req,
        };
        let Ok(req) = req.body(incoming.body.as_slice()) else {
            return (AttemptEnd::NotSent, None);
        };
        let req = agent
            .configure_request(req)
            .timeout_global(Some(send.timeout))
            .http_status_as_error(false)
            .build();
        match agent.run(req) {
            Ok(response) => read_answer(response, started),
            Err(ureq::Error::ConnectionFailed | ureq::Error::HostNotFound) => {
                (AttemptEnd::NotSent, None)
            }
            Err(ureq::Error::Io(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                (AttemptEnd::NotSent, None)
            }
            Err(ureq::Error::Timeout(ureq::Timeout::Connect)) => (AttemptEnd::NotSent, None),
            Err(_) => (AttemptEnd::Silent, None),
        }
    }
}

/// The parts of [`RequestStep::Send`].
struct SendStep {
    addr: SocketAddr,
    incarnation: Incarnation,
    attempt: u32,
    timeout: Duration,
    fresh: bool,
}

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections_per_host(IDLE_PER_COMPANION)
        .max_idle_connections(IDLE_PER_COMPANION * 64)
        .http_status_as_error(false)
        .build()
        .new_agent()
}

/// Reads a companion's response whole and tells what it proves.
fn read_answer(
    mut response: http::Response<ureq::Body>,
    started: Instant,
) -> (AttemptEnd, Option<TargetAnswer>) {
    let outcome = text(response.headers(), header::OUTCOME).and_then(|s| s.parse().ok());
    let reason: Name = text(response.headers(), header::REASON)
        .unwrap_or_else(|| "none".to_owned())
        .into();
    match outcome {
        Some(Outcome::RefusedNotRun) => return (AttemptEnd::NotRun { reason }, None),
        Some(Outcome::Unknown) => return (AttemptEnd::Lost { reason }, None),
        Some(Outcome::Answered) => {}
        None => return (AttemptEnd::Short, None),
    }
    let status = response.status().as_u16();
    let load = text(response.headers(), header::LOAD)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let content_type = text(response.headers(), "Content-Type");
    let announced =
        text(response.headers(), "Content-Length").and_then(|s| s.parse::<usize>().ok());
    let mut body = Vec::with_capacity(announced.unwrap_or(0).min(1 << 20));
    let read = response.body_mut().as_reader().read_to_end(&mut body);
    if read.is_err() || announced.is_some_and(|length| length != body.len()) {
        return (AttemptEnd::Short, None);
    }
    let end = AttemptEnd::Answered {
        took: started.elapsed(),
        load,
        status,
    };
    (
        end,
        Some(TargetAnswer {
            status,
            content_type,
            body,
        }),
    )
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

impl Front {
    /// Serves a request that falls under a route.
    pub(super) fn serve_route(&self, mut req: Request) {
        let Some(tables) = self.tables() else {
            return respond(
                req,
                refusal(
                    503,
                    Outcome::RefusedNotRun,
                    "no-tables",
                    Some(Duration::from_secs(1)),
                ),
            );
        };
        let Some(route) = tables.route_for_path(req.url()).map(Arc::clone) else {
            return respond(req, refusal(404, Outcome::RefusedNotRun, "no-route", None));
        };
        let Some(body) = read_body(&mut req, route.max_body_bytes) else {
            return respond(
                req,
                refusal(413, Outcome::RefusedNotRun, "body-too-large", None),
            );
        };
        if route.kind != RouteKind::Request {
            return self.serve_submit(req, &route, &body);
        }
        let meta = self.meta(&req, &route);
        let incoming = Incoming {
            method: req.method().to_string(),
            url: req.url().to_owned(),
            content_type: header_of(&req, "Content-Type").map(str::to_owned),
            body,
        };
        self.telemetry.set_tables(&tables);
        let began = Instant::now();
        let response = self.run_request(&meta, &incoming);
        self.count(&route.name, began, &response);
        respond(req, response);
    }

    fn tables(&self) -> Option<Arc<Tables>> {
        self.ask(AdminEvent::Parsed).flatten()
    }

    fn meta(&self, req: &Request, route: &Route) -> RequestMeta {
        let asked = header_of(req, header::DEADLINE_MS).and_then(|s| s.parse().ok());
        let deadline = asked
            .map_or(route.deadline, Duration::from_millis)
            .min(route.deadline);
        let team = header_of(req, header::TEAM).map_or_else(|| route.team.clone(), TeamName::from);
        RequestMeta {
            id: self.proxy.draw_id(),
            route: route.name.clone(),
            team,
            priority: route.priority,
            deadline: Instant::now() + deadline,
            key: header_of(req, header::IDEMPOTENCY_KEY).map(Name::from),
        }
    }

    /// Makes attempts until the decisions end the request.
    fn run_request(&self, meta: &RequestMeta, incoming: &Incoming) -> Response<Cursor<Vec<u8>>> {
        let mut step = self
            .proxy
            .ask(|reply| RequestEvent::Admit(meta.clone(), reply));
        let mut answer = None;
        loop {
            match step {
                RequestStep::Send {
                    addr,
                    incarnation,
                    attempt,
                    timeout,
                    fresh,
                    ..
                } => {
                    let send = SendStep {
                        addr,
                        incarnation,
                        attempt,
                        timeout,
                        fresh,
                    };
                    let (end, received) = self.proxy.attempt(&meta.id, meta, incoming, &send);
                    answer = received;
                    step = self
                        .proxy
                        .ask(|reply| RequestEvent::Ended(meta.id.clone(), end, reply));
                }
                RequestStep::Answer => return answered(meta, answer),
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

fn answered(meta: &RequestMeta, answer: Option<TargetAnswer>) -> Response<Cursor<Vec<u8>>> {
    let Some(answer) = answer else {
        return refusal(504, Outcome::Unknown, "no-answer", None);
    };
    let mut response = Response::from_data(answer.body).with_status_code(answer.status);
    let headers = [
        super::header(header::OUTCOME, Outcome::Answered.as_str()),
        super::header(header::REQUEST_ID, meta.id.as_str()),
        answer
            .content_type
            .and_then(|value| super::header("Content-Type", &value)),
    ];
    for h in headers.into_iter().flatten() {
        response.add_header(h);
    }
    response
}

/// Reads a body whole; `None` if it is larger than `limit`.
pub(super) fn read_body(req: &mut Request, limit: u64) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    req.as_reader()
        .take(limit + 1)
        .read_to_end(&mut body)
        .ok()?;
    (body.len() as u64 <= limit).then_some(body)
}

/// Sends a response; a caller that is gone needs none.
pub(super) fn respond(req: Request, response: Response<Cursor<Vec<u8>>>) {
    drop(req.respond(response));
}
