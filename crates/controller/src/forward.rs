//! Forwards callers' requests to the owner.

use std::net::SocketAddr;

use base::prelude::*;
use crossbeam_channel::Sender;
use host::spawn_workers;
use jobs::owner::{Replacement, STORE_UNAVAILABLE};
use jobs::{JobReply, JobRequest, RouteRef};
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use wire::{OwnerClient, Responder};

use crate::Event;
use crate::node::Events;
use crate::owner_health::{CallEnd, OwnerHealth};

/// The timeout of a call to the owner: several times a commit to a slow store, and less than half
/// of the three seconds that callers usually wait, so that they can retry.
const TIMEOUT: Duration = Duration::from_millis(1300);

/// The number of concurrent calls to the owner.
const THREADS: usize = 16;

/// How long a request may wait for a thread before it is sent to an owner that answers nothing.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(100);

/// When callers retry after the owner did not respond: about how long an election takes.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A pool of threads that call the owner.
#[derive(Debug)]
pub(crate) struct Forwarder {
    queue: Sender<ForwardedRequest>,
    health: Arc<Mutex<OwnerHealth>>,
}

/// A request to forward, with the owner's epoch as known here.
#[derive(Debug)]
struct ForwardedRequest {
    to: SocketAddr,
    epoch: Epoch,
    queued_at: Instant,
    request: JobRequest,
    responder: Responder<JobReply>,
}

impl Forwarder {
    pub(crate) fn start(events: &Events, log: &Logger) -> Self {
        let client = OwnerClient::new(TIMEOUT);
        let (events, log) = (events.clone(), log.clone());
        let health = Arc::new(Mutex::new(OwnerHealth::default()));
        let known = Arc::clone(&health);
        let queue = spawn_workers(THREADS, move |forwarded: ForwardedRequest| {
            let began = Instant::now();
            let is_delayed = began.duration_since(forwarded.queued_at) > MAX_QUEUE_TIME;
            if is_delayed && known.lock().is_silent(began) {
                forwarded.responder.send(owner_silent());
                return;
            }
            let outcome = client.send_request(forwarded.to, &forwarded.request);
            let end = call_end(&outcome);
            known
                .lock()
                .ended(Instant::now(), forwarded.epoch, began, end);
            let reply = outcome.unwrap_or_else(|e| {
                warn!(log, "entry: owner did not respond"; "error" => %e);
                failure_reply(&e, &forwarded.request)
            });
            if is_without_store(&reply) {
                drop(events.send(Event::OwnerWithoutStore(forwarded.epoch)));
            }
            match (forwarded.request, reply) {
                (
                    JobRequest::Submit {
                        job,
                        address,
                        terms,
                        ..
                    },
                    JobReply::Unsure,
                ) => {
                    let name = terms.route;
                    let route = RouteRef { name, address };
                    // An error means that the actor has ended, and with it the process.
                    drop(events.send(Event::Unanswered(job, route, forwarded.responder)));
                }
                (_, reply) => forwarded.responder.send(reply),
            }
        });
        Self { queue, health }
    }

    pub(crate) fn forward(
        &self,
        to: SocketAddr,
        epoch: Epoch,
        request: JobRequest,
        responder: Responder<JobReply>,
    ) {
        let now = Instant::now();
        if !self.health.lock().admit(now, epoch) {
            responder.send(owner_silent());
            return;
        }
        let forwarded = ForwardedRequest {
            to,
            epoch,
            queued_at: now,
            request,
            responder,
        };
        // Cannot fail: the threads run until the process ends.
        drop(self.queue.send(forwarded));
    }
}

/// Notifies an owner, without blocking, that another entry has taken over.
pub(crate) fn notify_replaced(to: SocketAddr, by: Replacement, log: &Logger) {
    let log = log.clone();
    std::thread::spawn(move || {
        if let Err(e) = OwnerClient::new(TIMEOUT).send_replacement(to, &by) {
            // The previous owner continues until its lease and grace end, for which the new one
            // waits.
            info!(log, "entry: previous owner could not be notified"; "error" => %e);
        }
    });
}

/// Returns true if the owner refused because it cannot reach the store.
fn is_without_store(reply: &JobReply) -> bool {
    matches!(reply, JobReply::Refused { reason, .. } if &**reason == STORE_UNAVAILABLE)
}

/// Returns the reply to a caller whose request to the owner failed.
fn failure_reply(e: &Error, request: &JobRequest) -> JobReply {
    let is_change = matches!(
        request,
        JobRequest::Submit { .. } | JobRequest::Cancel { .. }
    );
    if is_change && e.kind().is_outcome_unknown() {
        JobReply::Unsure
    } else {
        JobReply::refused("the owner did not answer", RETRY_AFTER)
    }
}

/// Returns the reply to a request that is not sent, since the owner answers nothing.
fn owner_silent() -> JobReply {
    JobReply::refused("the owner does not answer", RETRY_AFTER)
}

fn call_end(outcome: &Result<JobReply>) -> CallEnd {
    match outcome {
        Ok(_) => CallEnd::Answered,
        Err(e) => match e.kind() {
            ErrorKind::Timeout | ErrorKind::Unreachable | ErrorKind::NotListening => {
                CallEnd::Silent
            }
            _ => CallEnd::Broken,
        },
    }
}
