//! The HTTP server for callers.

use std::io::Cursor;

use base::prelude::*;
use crossbeam_channel::bounded;
use jobs::{JobReply, JobRequest};
use parking_lot::RwLock;
use report::OperationMetrics;
use slog::{Logger, info};
use tiny_http::{Header, Request, Response};
use wire::Responder;
use wire::hop::{self, BodyError};

use crate::codec::{CallerCodec, CallerResponse, Verb};
use crate::node::Events;
use crate::table::{RouteMatch, RouteTable};
use crate::{CallerRequest, Event};

/// The timeout of a caller whose request names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// The part of a caller's timeout that is reserved for sending the response.
const RETURN_MARGIN: Duration = Duration::from_millis(100);

/// The largest request body while no tables are in force, in bytes.
const DEFAULT_MAX_BODY: usize = 256 * 1024;

/// The routes in force; `None` until the first tables are read.
pub(crate) type Table = Arc<RwLock<Option<Arc<RouteTable>>>>;

/// Serves callers' HTTP requests; shared by the threads of a pool.
#[derive(Debug)]
pub(crate) struct Front {
    codec: Arc<dyn CallerCodec>,
    table: Table,
    events: Events,
    operation_metrics: Arc<OperationMetrics>,
    log: Logger,
}

impl Front {
    pub(crate) fn new(
        codec: Arc<dyn CallerCodec>,
        table: Table,
        events: Events,
        operation_metrics: Arc<OperationMetrics>,
        log: Logger,
    ) -> Self {
        Self {
            codec,
            table,
            events,
            operation_metrics,
            log,
        }
    }

    /// Serves one request and sends its response.
    pub(crate) fn serve(&self, mut req: Request) {
        let reply = self.handle(&mut req);
        let mut response = Response::new(
            reply.status.into(),
            Vec::new(),
            Cursor::new(reply.body.clone().into_bytes()),
            Some(reply.body.len()),
            None,
        );
        if !reply.body.is_empty() {
            response.add_header(header("Content-Type", "application/json"));
        }
        if let Some(seconds) = reply.retry_after_s {
            response.add_header(header("Retry-After", &seconds.to_string()));
        }
        if let Err(e) = req.respond(response) {
            info!(self.log, "entry: caller disconnected"; "error" => %e);
        }
    }

    fn handle(&self, req: &mut Request) -> CallerResponse {
        let began = Instant::now();
        let headers: Vec<(String, String)> = req
            .headers()
            .iter()
            .map(|h| (h.field.to_string(), h.value.to_string()))
            .collect();
        let method = req.method().to_string();
        let head = self.codec.read_head(&method, req.url(), &headers);
        let table = self.table.read().clone();
        let max_body = table
            .as_ref()
            .map_or(DEFAULT_MAX_BODY, |t| t.max_body_bytes);
        let body = match hop::read_body(req, max_body as u64) {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return self.codec.malformed_response(true),
            Err(BodyError::CutOff) => {
                info!(self.log, "entry: request body could not be read"; "error" => "cut off");
                return self.codec.malformed_response(false);
            }
        };
        let Some(table) = table else {
            info!(self.log, "entry: refused"; "path" => %head.path, "reason" => "no tables yet");
            let reply = JobReply::refused("no tables yet", Duration::from_secs(1));
            return self.codec.encode_reply(&reply);
        };
        let Some(found) = table.find(&head.host, &head.path) else {
            info!(self.log, "entry: no route";
                "host" => %head.host, "path" => %head.path, "generation" => table.generation.0);
            return self.codec.no_route_response();
        };
        self.serve_request(&head, &found, &body, began)
    }

    fn serve_request(
        &self,
        head: &CallerRequest,
        found: &RouteMatch,
        body: &[u8],
        began: Instant,
    ) -> CallerResponse {
        let request = match self.decode_request(head, found, body) {
            Ok(request) => request,
            Err(response) => return response,
        };
        let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let reply = self.call_actor(request, response_timeout(timeout));
        self.operation_metrics
            .observe_duration("caller", began.elapsed());
        self.operation_metrics
            .count(verb_name(head.verb), reply.name());
        let is_read = head.verb == Some(Verb::Read);
        if !is_read
            || matches!(
                reply,
                JobReply::Refused { .. } | JobReply::Unsure | JobReply::Gone
            )
        {
            info!(self.log, "entry: answered";
                "path" => %head.path, "verb" => verb_name(head.verb), "told" => ?reply,
                "took_ms" => began.elapsed().as_millis() as u64);
        }
        self.codec.encode_reply(&reply)
    }

    /// Decodes a caller's request, or returns the response that rejects it.
    fn decode_request(
        &self,
        head: &CallerRequest,
        found: &RouteMatch,
        body: &[u8],
    ) -> Result<JobRequest, CallerResponse> {
        let route = found.route();
        if found.rest.is_empty() && head.verb == Some(Verb::Read) {
            return Ok(JobRequest::Waiting { route });
        }
        let malformed = |why: &str| {
            info!(self.log, "entry: malformed request"; "path" => %head.path, "why" => why);
            self.codec.malformed_response(false)
        };
        let Some(job) = self.codec.read_job_id(&found.rest) else {
            return Err(malformed("no job id"));
        };
        match head.verb {
            Some(Verb::Submit) => {
                let spec = self.codec.read_job(body);
                let spec = spec.map_err(|e| malformed(&e.to_string()))?;
                Ok(JobRequest::Submit {
                    job,
                    address: found.address.clone(),
                    spec: Box::new(spec),
                    terms: Box::new(found.terms.clone()),
                })
            }
            Some(Verb::Read) => Ok(JobRequest::Status { job, route }),
            Some(Verb::Cancel) => Ok(JobRequest::Cancel { job, route }),
            None => Err(CallerResponse::status(405)),
        }
    }

    /// Passes a request to the actor and waits for its reply.
    fn call_actor(&self, request: JobRequest, timeout: Duration) -> JobReply {
        let (tx, rx) = bounded(1);
        // An error means that the wait has timed out, so the reply is not needed.
        let responder = Responder::new(move |reply| drop(tx.send(reply)));
        let is_change = matches!(
            request,
            JobRequest::Submit { .. } | JobRequest::Cancel { .. }
        );
        let event = Event::Caller(Box::new(request), Instant::now() + timeout, responder);
        if self.events.send(event).is_err() {
            return JobReply::refused("the process is stopping", Duration::from_secs(1));
        }
        match rx.recv_timeout(timeout) {
            Ok(reply) => reply,
            Err(_) if is_change => JobReply::Unsure,
            Err(_) => JobReply::refused("no answer in time", Duration::from_secs(1)),
        }
    }
}

/// Returns how long to wait for the reply to a caller with the timeout `timeout`.
///
/// The wait ends `RETURN_MARGIN` before the caller's timeout, so that the response still reaches
/// the caller. If the timeout is short, the wait is at least half of it: most replies take only
/// milliseconds, and a caller without one does not know the outcome of its request.
pub fn response_timeout(timeout: Duration) -> Duration {
    timeout.saturating_sub(RETURN_MARGIN).max(timeout / 2)
}

fn verb_name(verb: Option<Verb>) -> &'static str {
    match verb {
        Some(Verb::Submit) => "submit",
        Some(Verb::Read) => "read",
        Some(Verb::Cancel) => "cancel",
        None => "other",
    }
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("names and values are plain text")
}
