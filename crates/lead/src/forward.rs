//! Passes what callers ask on to the owner.

use std::net::SocketAddr;

use base::prelude::*;
use crossbeam_channel::{Sender, unbounded};
use jobs::{Ask, Told};
use slog::{Logger, warn};
use wire::{OwnerClient, Reply};

/// How long an answer of the owner is waited for: a commit to a slow store, and some more.
const TIMEOUT: Duration = Duration::from_millis(2000);

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
    ask: Ask,
    reply: Reply<Told>,
}

impl Forwarder {
    pub(crate) fn start(log: &Logger) -> Self {
        let (queue, rx) = unbounded::<Passed>();
        let client = Arc::new(OwnerClient::new(TIMEOUT));
        for _ in 0..THREADS {
            let (rx, client, log) = (rx.clone(), Arc::clone(&client), log.clone());
            std::thread::spawn(move || {
                for passed in rx {
                    let told = client.ask(passed.to, &passed.ask).unwrap_or_else(|e| {
                        warn!(log, "entry: owner did not answer"; "error" => %e);
                        explain(&e, &passed.ask)
                    });
                    passed.reply.send(told);
                }
            });
        }
        Self { queue }
    }

    pub(crate) fn forward(&self, to: SocketAddr, ask: Ask, reply: Reply<Told>) {
        // The threads end only with the process.
        drop(self.queue.send(Passed { to, ask, reply }));
    }
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
