//! The HTTP frontend: callers' requests, jobs and operator calls.

mod admin;
mod connection_cache;
mod proxy;

use std::io::Cursor;

use base::prelude::*;
use crossbeam_channel::{Sender, bounded};
use slog::Logger;
use tiny_http::{Header, Request, Response};
use wire::{Outcome, Responder, Token, header};

use self::proxy::Proxy;
use crate::event::{AdminEvent, Event};
use crate::snapshot::TablesSnapshot;
use crate::telemetry::Telemetry;

/// The path prefix of operator calls.
const OPERATOR_PATHS: &str = "/v1/";

/// How long an operator call waits for the actors.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(6);

/// Serves HTTP requests on the threads of the pool.
pub(crate) struct Frontend {
    events: Sender<Event>,
    proxy: Proxy,
    tables: Arc<TablesSnapshot>,
    token: Option<Token>,
    telemetry: Arc<Telemetry>,
    log: Logger,
}

impl Frontend {
    pub(crate) fn new(
        events: Sender<Event>,
        tables: Arc<TablesSnapshot>,
        token: Option<Token>,
        telemetry: Arc<Telemetry>,
        log: Logger,
    ) -> Self {
        Self {
            tables,
            proxy: Proxy::new(events.clone(), token.clone()),
            events,
            token,
            telemetry,
            log,
        }
    }

    /// Serves one request to its end.
    pub(crate) fn serve(&self, req: Request) {
        if req.url().starts_with(OPERATOR_PATHS) {
            self.serve_admin(req);
        } else {
            self.serve_route(req);
        }
    }

    /// Counts a request by the outcome and reason in its response's headers.
    fn count(&self, route: &RouteName, began: Instant, response: &Response<Cursor<Vec<u8>>>) {
        let header_named = |name: &str| {
            let mut headers = response.headers().iter();
            headers.find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        };
        let outcome = header_named(header::OUTCOME).and_then(|h| h.value.as_str().parse().ok());
        let reason = header_named(header::REASON).map_or("no reason", |h| h.value.as_str());
        let outcome = outcome.unwrap_or(Outcome::Unknown);
        let now = Instant::now();
        self.telemetry.request(route, outcome, reason, began, now);
    }

    /// Sends an event to the actors and waits for the reply; returns `None` if it times out.
    fn call_actors<T: Send + 'static>(
        &self,
        event: impl FnOnce(Responder<T>) -> AdminEvent,
    ) -> Option<T> {
        let (tx, rx) = bounded(1);
        // Sending fails only after the wait has timed out, when the reply is not needed.
        let reply = Responder::new(move |answer| drop(tx.send(answer)));
        self.events.send(Event::Admin(event(reply))).ok()?;
        rx.recv_timeout(ADMIN_TIMEOUT).ok()
    }
}

/// Builds a header from text that is known to be valid.
fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

/// Builds the response to a request that no target answered.
fn refusal(
    status: u16,
    outcome: Outcome,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<Cursor<Vec<u8>>> {
    let mut response =
        Response::from_string(format!("{outcome}: {reason}\n")).with_status_code(status);
    let retry_after = retry_after.map(|after| after.as_secs_f64().ceil().to_string());
    let headers = [
        header(header::OUTCOME, outcome.as_str()),
        header(header::REASON, reason),
        retry_after.and_then(|after| header("Retry-After", &after)),
    ];
    for h in headers.into_iter().flatten() {
        response.add_header(h);
    }
    response
}
