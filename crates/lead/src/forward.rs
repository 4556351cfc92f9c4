//! Passes what callers ask on to the owner.

use std::net::SocketAddr;

use base::prelude::*;
use jobs::{Ask, Told};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use parking_lot::Mutex;
use slog::{Logger, warn};
use tokio::runtime::Handle;
use wire::{OwnerApiClient, Reply};

/// The longest that an answer of the owner is waited for.
const MAX_WAIT: Duration = Duration::from_millis(2500);

/// When callers come back after the owner did not answer: about how long an election takes.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Calls the owner.
#[derive(Debug)]
pub(crate) struct Forwarder {
    runtime: Handle,
    log: Logger,
    client: Arc<Mutex<Option<(SocketAddr, HttpClient)>>>,
}

impl Forwarder {
    pub(crate) fn new(runtime: Handle, log: Logger) -> Self {
        Self {
            runtime,
            log,
            client: Arc::default(),
        }
    }

    pub(crate) fn forward(&self, to: SocketAddr, ask: Ask, patience: Duration, reply: Reply<Told>) {
        let client = match self.client(to) {
            Ok(client) => client,
            Err(e) => {
                warn!(self.log, "entry: no client of the owner"; "error" => %e);
                reply.send(Told::refused("the owner cannot be called", RETRY_AFTER));
                return;
            }
        };
        let is_change = matches!(ask, Ask::Submit { .. } | Ask::Cancel { .. });
        let clients = Arc::clone(&self.client);
        let log = self.log.clone();
        self.runtime.spawn(async move {
            let wait = patience.min(MAX_WAIT);
            let told = match tokio::time::timeout(wait, client.ask(ask)).await {
                Ok(Ok(told)) => told,
                failed => {
                    // Connections that went silent do so together: none is used again.
                    *clients.lock() = None;
                    let told = explain(failed.ok().and_then(Result::err), is_change);
                    warn!(log, "entry: owner did not answer";
                        "owner" => %to, "told" => ?told);
                    told
                }
            };
            reply.send(told);
        });
    }

    fn client(&self, to: SocketAddr) -> Result<HttpClient, ClientError> {
        let mut kept = self.client.lock();
        if let Some((addr, client)) = &*kept
            && *addr == to
        {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default().build(format!("http://{to}"))?;
        *kept = Some((to, client.clone()));
        Ok(client)
    }
}

/// Returns what a caller is told for a call without an answer; `error` is absent for a timeout.
fn explain(error: Option<ClientError>, is_change: bool) -> Told {
    let was_sent = !error.as_ref().is_some_and(is_before_sending);
    if is_change && was_sent {
        Told::Unsure
    } else {
        Told::refused("the owner did not answer", RETRY_AFTER)
    }
}

/// Tells whether a call failed before anything of it was sent.
fn is_before_sending(error: &ClientError) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(e) = source {
        if let Some(io) = e.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = e.source();
    }
    false
}
