//! Forwards callers' requests to the owner.

use std::net::SocketAddr;

use base::prelude::*;
use crossbeam_channel::Sender;
use host::spawn_workers;
use jobs::owner::{Replacement, STORE_UNAVAILABLE};
use jobs::{JobReply, JobRequest};
use slog::{Logger, info, warn};
use wire::{OwnerClient, Responder};

use crate::Event;
use crate::node::Events;

/// The timeout of a call to the owner: several times a commit to a slow store, and less than half
/// of the three seconds that callers usually wait, so that they can retry.
const TIMEOUT: Duration = Duration::from_millis(1300);

/// The number of concurrent calls to the owner.
const THREADS: usize = 16;

/// When callers retry after the owner did not respond: about how long an election takes.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A pool of threads that call the owner.
#[derive(Debug)]
pub(crate) struct Forwarder {
    queue: Sender<ForwardedRequest>,
}

/// A request to forward, with the owner's epoch as known here.
#[derive(Debug)]
struct ForwardedRequest {
    to: SocketAddr,
    epoch: Epoch,
    request: JobRequest,
    responder: Responder<JobReply>,
}

impl Forwarder {
    pub(crate) fn start(events: &Events, log: &Logger) -> Self {
        let client = OwnerClient::new(TIMEOUT);
        let (events, log) = (events.clone(), log.clone());
        let queue = spawn_workers(THREADS, move |forwarded: ForwardedRequest| {
            let reply = client
                .send_request(forwarded.to, &forwarded.request)
                .unwrap_or_else(|e| {
                    warn!(log, "entry: owner did not respond"; "error" => %e);
                    failure_reply(&e, &forwarded.request)
                });
            if is_without_store(&reply) {
                drop(events.send(Event::OwnerWithoutStore(forwarded.epoch)));
            }
            forwarded.responder.send(reply);
        });
        Self { queue }
    }

    pub(crate) fn forward(
        &self,
        to: SocketAddr,
        epoch: Epoch,
        request: JobRequest,
        responder: Responder<JobReply>,
    ) {
        let forwarded = ForwardedRequest {
            to,
            epoch,
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
