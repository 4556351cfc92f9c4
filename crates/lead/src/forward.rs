//! Passes what callers ask on to the owner.

use std::net::SocketAddr;

use base::prelude::*;
use crossbeam_channel::Sender;
use host::spawn_workers;
use jobs::owner::{Replacement, STORE_AWAY};
use jobs::{Ask, Told};
use slog::{Logger, info, warn};
use wire::{OwnerClient, Reply};

use crate::Event;
use crate::node::Events;

/// How long an answer of the owner is waited for: several times a commit to a slow store, and less
/// than half of the three seconds that callers usually wait, so that they can try again.
const TIMEOUT: Duration = Duration::from_millis(1300);

/// How many calls to the owner are made at once.
const THREADS: usize = 16;

/// When callers come back after the owner did not answer: about how long an election takes.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Calls the owner from a few threads.
#[derive(Debug)]
pub(crate) struct Forwarder {
    queue: Sender<Passed>,
}

/// What is passed on.
#[derive(Debug)]
struct Passed {
    to: SocketAddr,
    epoch: Epoch,
    ask: Ask,
    reply: Reply<Told>,
}

impl Forwarder {
    pub(crate) fn start(events: &Events, log: &Logger) -> Self {
        let client = OwnerClient::new(TIMEOUT);
        let (events, log) = (events.clone(), log.clone());
        let queue = spawn_workers(THREADS, move |passed: Passed| {
            let told = client.ask(passed.to, &passed.ask).unwrap_or_else(|e| {
                warn!(log, "entry: owner did not answer"; "error" => %e);
                explain(&e, &passed.ask)
            });
            if is_without_store(&told) {
                drop(events.send(Event::OwnerWithoutStore(passed.epoch)));
            }
            passed.reply.send(told);
        });
        Self { queue }
    }

    pub(crate) fn forward(&self, to: SocketAddr, epoch: Epoch, ask: Ask, reply: Reply<Told>) {
        let passed = Passed {
            to,
            epoch,
            ask,
            reply,
        };
        // The threads end only with the process.
        drop(self.queue.send(passed));
    }
}

/// Tells an owner, without waiting, that another has taken over.
pub(crate) fn tell_replaced(to: SocketAddr, by: Replacement, log: &Logger) {
    let log = log.clone();
    std::thread::spawn(move || {
        if let Err(e) = OwnerClient::new(TIMEOUT).replaced(to, &by) {
            // It goes on until its lease and grace end, which the new owner waits for.
            info!(log, "entry: former owner not told"; "error" => %e);
        }
    });
}

fn is_without_store(told: &Told) -> bool {
    matches!(told, Told::Refused { reason, .. } if &**reason == STORE_AWAY)
}

/// Returns what a caller is told whose call got no answer.
fn explain(e: &Error, ask: &Ask) -> Told {
    let is_change = matches!(ask, Ask::Submit { .. } | Ask::Cancel { .. });
    if is_change && e.kind().is_outcome_unknown() {
        Told::Unsure
    } else {
        Told::refused("the owner did not answer", RETRY_AFTER)
    }
}
