//! Blocking calls to the owner of the jobs: JSON-RPC over HTTP.

use std::net::SocketAddr;

use base::prelude::*;
use jobs::owner::Replacement;
use jobs::report::{SyncReply, SyncReport};
use jobs::{JobReply, JobRequest};
use parking_lot::Mutex;
use ports::Client;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use ureq::http::Request;

/// What is said of an answer without result and error.
const NO_RESULT: &str = "neither result nor error";

/// A call as JSON-RPC writes it.
#[derive(Serialize)]
struct RpcCall<'a, T> {
    jsonrpc: &'static str,
    id: u32,
    method: &'static str,
    params: [&'a T; 1],
}

/// An answer as JSON-RPC writes it: a result or an error.
#[derive(Deserialize)]
struct RpcAnswer<T> {
    result: Option<T>,
    error: Option<RpcError>,
}

#[derive(Deserialize)]
struct RpcError {
    code: i64,
    message: String,
}

/// Calls the owner, whichever entry that is.
#[derive(Debug)]
pub struct OwnerClient {
    timeout: Duration,
    client: Mutex<Option<(SocketAddr, Arc<Client>)>>,
}

impl OwnerClient {
    /// Creates a client whose calls last at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            client: Mutex::default(),
        }
    }

    /// Sends a companion's report.
    ///
    /// # Errors
    ///
    /// Returns what kept the owner from answering.
    pub fn sync(&self, to: SocketAddr, report: &SyncReport) -> Result<SyncReply> {
        self.call(to, "owner_sync", report)
    }

    /// Passes on what a caller asks.
    ///
    /// # Errors
    ///
    /// Errors whose kind [is of unknown outcome](ErrorKind::is_outcome_unknown) may have taken
    /// effect.
    pub fn ask(&self, to: SocketAddr, ask: &JobRequest) -> Result<JobReply> {
        self.call(to, "owner_ask", ask)
    }

    /// Tells an owner that another has taken over.
    ///
    /// # Errors
    ///
    /// Returns what kept the former owner from answering.
    pub fn replaced(&self, to: SocketAddr, by: &Replacement) -> Result<()> {
        match self.call::<_, ()>(to, "owner_replaced", by) {
            // The result of a call that returns nothing is null, which reads as none.
            Err(e) if e.message() == NO_RESULT => Ok(()),
            outcome => outcome,
        }
    }

    fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        to: SocketAddr,
        method: &'static str,
        params: &P,
    ) -> Result<R> {
        let client = self.client(to);
        let call = RpcCall {
            jsonrpc: "2.0",
            id: 1,
            method,
            params: [params],
        };
        let body = serde_json::to_vec(&call)
            .map_err(|e| client.error(ErrorKind::Internal, method, e.to_string()))?;
        let req = Request::post(client.uri("/"))
            .header("Content-Type", "application/json")
            .body(body)
            .map_err(|e| client.error(ErrorKind::Invalid, method, e.to_string()))?;
        let resp = client.send(method, req, Duration::ZERO)?;
        let answer: RpcAnswer<R> = serde_json::from_slice(resp.body())
            .map_err(|e| client.error(ErrorKind::Interrupted, method, e.to_string()))?;
        answer.result.ok_or_else(|| {
            let error = answer.error.map_or_else(
                || NO_RESULT.to_owned(),
                |e| format!("error {}: {}", e.code, e.message),
            );
            client.error(ErrorKind::Interrupted, method, error)
        })
    }

    fn client(&self, to: SocketAddr) -> Arc<Client> {
        let mut kept = self.client.lock();
        match &*kept {
            Some((addr, client)) if *addr == to => Arc::clone(client),
            _ => {
                let client = Arc::new(Client::new(to, self.timeout));
                *kept = Some((to, Arc::clone(&client)));
                client
            }
        }
    }
}
