//! A worker as a server on a loopback port.

use std::fmt;
use std::net::SocketAddr;
use std::thread;

use base::prelude::*;
use parking_lot::Mutex;
use ports::protocol::WORKER_PATH;
use ports::worker::{WorkerCall, WorkerReply};
use tiny_http::{Request, Response, Server};

use super::{MemWorker, WorkerFaults, WorkerRecord, WorkerSettings};
use crate::http::{read_body, serve};
use crate::relay::Relay;

/// The number of threads that serve calls.
const SERVING_THREADS: usize = 2;

/// A worker on a loopback port.
pub struct WorkerServer {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

#[derive(Debug)]
struct Shared {
    clock: Arc<dyn Clock>,
    relay: Relay,
    worker: Mutex<MemWorker>,
    stopped: Mutex<bool>,
}

impl WorkerServer {
    /// Starts an idle worker.
    pub fn start(settings: WorkerSettings, clock: Arc<dyn Clock>) -> Self {
        let (server, inner_addr) = serve();
        let worker = MemWorker::new(settings, clock.now());
        let shared = Arc::new(Shared {
            clock,
            relay: Relay::start(inner_addr),
            worker: Mutex::new(worker),
            stopped: Mutex::new(false),
        });
        let server = Arc::new(server);
        for _ in 0..SERVING_THREADS {
            let (shared, server) = (Arc::clone(&shared), Arc::clone(&server));
            thread::spawn(move || shared.serve(&server));
        }
        Self { shared, server }
    }

    /// Returns the address that clients connect to.
    pub fn addr(&self) -> SocketAddr {
        self.shared.relay.addr()
    }

    /// Returns the relay in front of the worker.
    pub fn relay(&self) -> &Relay {
        &self.shared.relay
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut WorkerFaults)) {
        self.with(|worker| change(worker.faults_mut()));
    }

    /// Returns what the worker did up to now.
    pub fn record(&self) -> WorkerRecord {
        self.with(|worker| worker.record().clone())
    }

    /// Executes a call directly, without the network.
    ///
    /// # Errors
    ///
    /// Fails as [`MemWorker::call`] does.
    pub fn call(&self, call: &WorkerCall) -> Result<WorkerReply> {
        let now = self.shared.clock.now();
        self.with(|worker| worker.call(now, call))
    }

    /// Replaces the VM by an empty one of the same name; all tasks are lost.
    pub fn lose_all(&self) {
        let now = self.shared.clock.now();
        self.with(|worker| worker.lose_all(now));
    }

    /// Stops the server for good; dropping it does the same.
    pub fn stop(&self) {
        *self.shared.stopped.lock() = true;
        self.shared.relay.stop();
        for _ in 0..SERVING_THREADS {
            self.server.unblock();
        }
    }

    fn with<T>(&self, f: impl FnOnce(&mut MemWorker) -> T) -> T {
        let now = self.shared.clock.now();
        let mut worker = self.shared.worker.lock();
        worker.advance(now);
        f(&mut worker)
    }
}

impl fmt::Debug for WorkerServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerServer")
            .field("shared", &self.shared)
            .finish_non_exhaustive()
    }
}

impl Drop for WorkerServer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    fn serve(&self, server: &Server) {
        while let Ok(req) = server.recv() {
            if *self.stopped.lock() {
                return;
            }
            self.handle(req);
        }
    }

    fn handle(&self, mut req: Request) {
        let Some(call) = parse_call(&mut req) else {
            return send(req, 400, Vec::new());
        };
        let reply = self.worker.lock().call(self.clock.now(), &call);
        match reply {
            Ok(reply) => {
                let body = serde_json::to_vec(&reply).expect("a reply can be encoded");
                send(req, 200, body);
            }
            Err(_) => self.break_connection(req),
        }
    }

    /// Breaks the connection of a request instead of responding.
    fn break_connection(&self, req: Request) {
        if let Some(from) = req.remote_addr().copied() {
            self.relay.break_from(from);
        }
        drop(req.into_writer());
    }
}

fn parse_call(req: &mut Request) -> Option<WorkerCall> {
    if req.url() != WORKER_PATH {
        return None;
    }
    serde_json::from_slice(&read_body(req).ok()?).ok()
}

/// Sends a response; errors are ignored, as the client may have disconnected.
fn send(req: Request, code: u16, body: Vec<u8>) {
    let resp = Response::from_data(body).with_status_code(code);
    req.respond(resp).unwrap_or_default();
}
