//! The HTTP adapter of a worker, for the project's own [protocol](crate::protocol).

use std::net::SocketAddr;

use base::prelude::*;
use ureq::http::{Request, header};

use crate::client::Client;
use crate::protocol::WORKER_PATH;
use crate::worker::{Worker, WorkerCall, WorkerReply};

/// A worker, called over HTTP.
#[derive(Debug)]
pub struct HttpWorker {
    client: Client,
}

impl HttpWorker {
    /// Creates an adapter whose calls take at most `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(addr, timeout),
        }
    }

    fn request(&self, call: &WorkerCall) -> Result<Request<Vec<u8>>> {
        let invalid = |message| self.client.error(ErrorKind::Invalid, call.kind(), message);
        let body = serde_json::to_vec(call).map_err(|e| invalid(e.to_string()))?;
        Request::post(self.client.uri(WORKER_PATH))
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|e| invalid(e.to_string()))
    }
}

impl Worker for HttpWorker {
    fn call(&self, call: &WorkerCall) -> Result<WorkerReply> {
        let req = self.request(call)?;
        let resp = self.client.send(call.kind(), req, Duration::ZERO)?;
        serde_json::from_slice(resp.body()).map_err(|e| {
            self.client
                .error(ErrorKind::Malformed, call.kind(), e.to_string())
        })
    }
}
