//! The HTTP front for callers, and the readiness probe.

use std::io::Cursor;

use base::prelude::*;
use crossbeam_channel::bounded;
use jobs::{Ask, Told};
use parking_lot::RwLock;
use report::Gauges;
use slog::{Logger, info};
use tiny_http::{Header, Request, Response};
use wire::Reply;
use wire::hop::{self, BodyError};

use crate::dialect::{Answer, Dialect, Verb};
use crate::node::Events;
use crate::table::{RouteTable, Sought};
use crate::{CallerRequest, Event};

/// How long callers wait that don't say so.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);

/// What is left of a caller's patience for the way back.
const RETURN_MARGIN: Duration = Duration::from_millis(100);

/// The largest body while no tables are known, in bytes.
const DEFAULT_MAX_BODY: usize = 256 * 1024;

/// The routes in force; absent until the first tables were read.
pub(crate) type Table = Arc<RwLock<Option<Arc<RouteTable>>>>;

/// Serves callers on the threads of a pool.
#[derive(Debug)]
pub(crate) struct Front {
    dialect: Arc<dyn Dialect>,
    table: Table,
    events: Events,
    gauges: Arc<Gauges>,
    log: Logger,
}

impl Front {
    pub(crate) fn new(
        dialect: Arc<dyn Dialect>,
        table: Table,
        events: Events,
        gauges: Arc<Gauges>,
        log: Logger,
    ) -> Self {
        Self {
            dialect,
            table,
            events,
            gauges,
            log,
        }
    }

    /// Serves one request to its end.
    pub(crate) fn serve(&self, mut req: Request) {
        let answer = self.answer(&mut req);
        let mut response = Response::new(
            answer.status.into(),
            Vec::new(),
            Cursor::new(answer.body.clone().into_bytes()),
            Some(answer.body.len()),
            None,
        );
        if !answer.body.is_empty() {
            response.add_header(header("Content-Type", "application/json"));
        }
        if let Some(seconds) = answer.retry_after_s {
            response.add_header(header("Retry-After", &seconds.to_string()));
        }
        if let Err(e) = req.respond(response) {
            info!(self.log, "entry: caller left"; "error" => %e);
        }
    }

    fn answer(&self, req: &mut Request) -> Answer {
        let began = Instant::now();
        let headers: Vec<(String, String)> = req
            .headers()
            .iter()
            .map(|h| (h.field.to_string(), h.value.to_string()))
            .collect();
        let method = req.method().to_string();
        let head = self.dialect.read_head(&method, req.url(), &headers);
        let table = self.table.read().clone();
        let max_body = table
            .as_ref()
            .map_or(DEFAULT_MAX_BODY, |t| t.max_body_bytes);
        let body = match hop::read_body(req, max_body as u64) {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return self.dialect.answer_malformed(true),
            Err(BodyError::CutOff) => {
                info!(self.log, "entry: body not read"; "error" => "cut off");
                return self.dialect.answer_malformed(false);
            }
        };
        let Some(table) = table else {
            info!(self.log, "entry: refused"; "path" => %head.path, "reason" => "no tables yet");
            let told = Told::refused("no tables yet", Duration::from_secs(1));
            return self.dialect.answer(&told);
        };
        let Some(sought) = table.find(&head.host, &head.path) else {
            info!(self.log, "entry: no route";
                "host" => %head.host, "path" => %head.path, "generation" => table.generation.0);
            return self.dialect.answer_no_route();
        };
        self.serve_route(&head, &sought, &body, began)
    }

    fn serve_route(
        &self,
        head: &CallerRequest,
        sought: &Sought,
        body: &[u8],
        began: Instant,
    ) -> Answer {
        let ask = match self.read_ask(head, sought, body) {
            Ok(ask) => ask,
            Err(answer) => return answer,
        };
        let patience = head.patience.unwrap_or(DEFAULT_PATIENCE);
        let told = self.ask(ask, answer_time(patience));
        self.gauges.took("caller", began.elapsed());
        self.gauges.count(verb_name(head.verb), told.name());
        let is_read = head.verb == Some(Verb::Read);
        if !is_read || matches!(told, Told::Refused { .. } | Told::Unsure | Told::Gone) {
            info!(self.log, "entry: answered";
                "path" => %head.path, "verb" => verb_name(head.verb), "told" => ?told,
                "took_ms" => began.elapsed().as_millis() as u64);
        }
        self.dialect.answer(&told)
    }

    fn read_ask(&self, head: &CallerRequest, sought: &Sought, body: &[u8]) -> Result<Ask, Answer> {
        let route = sought.terms.route.clone();
        if sought.rest.is_empty() && head.verb == Some(Verb::Read) {
            return Ok(Ask::Waiting { route });
        }
        let malformed = |why: &str| {
            info!(self.log, "entry: malformed"; "path" => %head.path, "why" => why);
            self.dialect.answer_malformed(false)
        };
        let Some(job) = self.dialect.read_job_id(&sought.rest) else {
            return Err(malformed("no job id"));
        };
        match head.verb {
            Some(Verb::Submit) => {
                let spec = self.dialect.read_job(body);
                let spec = spec.map_err(|e| malformed(&e.to_string()))?;
                Ok(Ask::Submit {
                    job,
                    spec: Box::new(spec),
                    terms: Box::new(sought.terms.clone()),
                })
            }
            Some(Verb::Read) => Ok(Ask::Status { job, route }),
            Some(Verb::Cancel) => Ok(Ask::Cancel { job, route }),
            None => Err(Answer::status(405)),
        }
    }

    /// Asks the actor and waits for its answer.
    fn ask(&self, ask: Ask, patience: Duration) -> Told {
        let (tx, rx) = bounded(1);
        // The receiver is gone where the wait has ended: nobody wants the answer.
        let reply = Reply::new(move |told| drop(tx.send(told)));
        let is_change = matches!(ask, Ask::Submit { .. } | Ask::Cancel { .. });
        let event = Event::Caller(Box::new(ask), reply);
        if self.events.send(event).is_err() {
            return Told::refused("the process is stopping", Duration::from_secs(1));
        }
        match rx.recv_timeout(patience) {
            Ok(told) => told,
            Err(_) if is_change => Told::Unsure,
            Err(_) => Told::refused("no answer in time", Duration::from_secs(1)),
        }
    }
}

/// Returns how long an answer may take for a caller who waits so long.
///
/// A caller with little patience left still gets half of it: most answers take milliseconds, and
/// one that is not waited for leaves the caller not knowing.
pub fn answer_time(patience: Duration) -> Duration {
    patience.saturating_sub(RETURN_MARGIN).max(patience / 2)
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
