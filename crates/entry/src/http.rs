//! The HTTP front: callers' requests, jobs and operator calls.

mod admin;
mod paths;
mod proxy;

use std::io::Cursor;

use base::prelude::*;
use crossbeam_channel::{Sender, bounded};
use slog::Logger;
use tiny_http::{Header, Request, Response};
use wire::{Outcome, Reply, header};

use self::proxy::Proxy;
use crate::event::{AdminEvent, Event};
use crate::snapshot::TablesSnapshot;

/// How long an operator call waits for the actors.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(6);

/// Serves HTTP requests on the threads of the pool.
pub(crate) struct Front {
    events: Sender<Event>,
    proxy: Proxy,
    tables: Arc<TablesSnapshot>,
    log: Logger,
}

impl Front {
    pub(crate) fn new(events: Sender<Event>, tables: Arc<TablesSnapshot>, log: Logger) -> Self {
        Self {
            tables,
            proxy: Proxy::new(events.clone()),
            events,
            log,
        }
    }

    /// Serves one request to its end.
    pub(crate) fn serve(&self, req: Request) {
        if req.url().starts_with("/v1/") {
            self.serve_admin(req);
        } else {
            self.serve_route(req);
        }
    }

    /// Asks the actors and waits for their answer; `None` if none came in time.
    fn ask<T: Send + 'static>(&self, event: impl FnOnce(Reply<T>) -> AdminEvent) -> Option<T> {
        let (tx, rx) = bounded(1);
        // The receiver is gone where the wait has ended: nobody wants the answer.
        let reply = Reply::new(move |answer| drop(tx.send(answer)));
        self.events.send(Event::Admin(event(reply))).ok()?;
        rx.recv_timeout(ADMIN_TIMEOUT).ok()
    }
}

/// Builds a header from text that is known to be valid.
fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

/// Builds a response without a target's answer.
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
