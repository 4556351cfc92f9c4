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

/// The error message for a response that has neither a result nor an error.
const NO_RESULT: &str = "neither result nor error";

/// A JSON-RPC request.
#[derive(Serialize)]
struct RpcRequest<'a, T> {
    jsonrpc: &'static str,
    id: u32,
    method: &'static str,
    params: [&'a T; 1],
}

/// A JSON-RPC response: a result or an error.
#[derive(Deserialize)]
struct RpcResponse<T> {
    result: Option<T>,
    error: Option<RpcError>,
}

#[derive(Deserialize)]
struct RpcError {
    code: i64,
    message: String,
}

/// A client for the current owner; its address is given with each call.
#[derive(Debug)]
pub struct OwnerClient {
    timeout: Duration,
    client: Mutex<Option<(SocketAddr, Arc<Client>)>>,
}

impl OwnerClient {
    /// Creates a client whose calls take at most `timeout`.
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
    /// Errors whose kind [is of unknown outcome](ErrorKind::is_outcome_unknown) may have taken
    /// effect.
    pub fn sync(&self, to: SocketAddr, report: &SyncReport) -> Result<SyncReply> {
        self.call(to, "owner_sync", report)
    }

    /// Forwards a caller's request.
    ///
    /// # Errors
    ///
    /// Errors whose kind [is of unknown outcome](ErrorKind::is_outcome_unknown) may have taken
    /// effect.
    pub fn send_request(&self, to: SocketAddr, request: &JobRequest) -> Result<JobReply> {
        self.call(to, "owner_ask", request)
    }

    /// Notifies the previous owner that another has taken over.
    ///
    /// # Errors
    ///
    /// Fails if the previous owner sends no response.
    pub fn send_replacement(&self, to: SocketAddr, by: &Replacement) -> Result<()> {
        match self.call::<_, ()>(to, "owner_replaced", by) {
            // A call without a return value has the result null, which is deserialized as `None`.
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
        let rpc = RpcRequest {
            jsonrpc: "2.0",
            id: 1,
            method,
            params: [params],
        };
        let body = serde_json::to_vec(&rpc)
            .map_err(|e| client.error(ErrorKind::Internal, method, e.to_string()))?;
        let req = Request::post(client.uri("/"))
            .header("Content-Type", "application/json")
            .body(body)
            .map_err(|e| client.error(ErrorKind::Invalid, method, e.to_string()))?;
        let resp = client.send(method, req, Duration::ZERO)?;
        let response: RpcResponse<R> = serde_json::from_slice(resp.body())
            .map_err(|e| client.error(ErrorKind::Interrupted, method, e.to_string()))?;
        response.result.ok_or_else(|| {
            let error = response.error.map_or_else(
                || NO_RESULT.to_owned(),
                |e| format!("error {}: {}", e.code, e.message),
            );
            client.error(ErrorKind::Interrupted, method, error)
        })
    }

    fn client(&self, to: SocketAddr) -> Arc<Client> {
        let mut cached = self.client.lock();
        match &*cached {
            Some((addr, client)) if *addr == to => Arc::clone(client),
            _ => {
                let client = Arc::new(Client::new(to, self.timeout));
                *cached = Some((to, Arc::clone(&client)));
                client
            }
        }
    }
}
