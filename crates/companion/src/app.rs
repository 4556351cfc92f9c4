//! The companion process: the threads that run the actors and serve requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::JoinHandle;

use base::SystemClock;
use base::prelude::*;
use crossbeam_channel::{Receiver, Sender, unbounded};
use jsonrpsee::server::ServerHandle;
use ports::HttpWorker;
use slog::{Logger, info};
use tokio::runtime::Runtime;
use wire::{Client, ClientCfg, HttpPool, Token};

use crate::http::TargetProxy;
use crate::worker_io::WorkerIo;
use crate::{CompanionCfg, Event, Node, Ports, rpc};

/// Timeout of a call to the worker.
const WORKER_TIMEOUT: Duration = Duration::from_secs(1);

/// How many threads serve and make control calls.
const RPC_THREADS: usize = 1;

/// Extra threads that refuse requests, or wait for a run of the same id, while all connections are
/// in use.
const SPARE_THREADS: usize = 16;

/// How long a shutdown waits for requests in progress.
const STOP_GRACE: Duration = Duration::from_secs(30);

/// How long a leaving target refuses requests before the process exits, so that all entries learn
/// that it leaves.
const STOP_LINGER: Duration = Duration::from_secs(1);

/// A running companion.
#[derive(Debug)]
pub struct App {
    cfg: Arc<CompanionCfg>,
    events: Sender<Event>,
    stopping: Arc<AtomicBool>,
    in_flight: Arc<AtomicU32>,
    http: HttpPool,
    rpc: ServerHandle,
    worker_io: Arc<WorkerIo>,
    actors: JoinHandle<()>,
    runtime: Runtime,
}

impl App {
    /// Binds the addresses and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] if an address cannot be bound.
    pub fn start(cfg: CompanionCfg, log: &Logger) -> Result<Self> {
        Self::start_secured(cfg, None, log)
    }

    /// Binds the addresses and starts the threads.
    ///
    /// If a token is given, incoming requests and calls must carry it.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] if an address cannot be bound.
    pub fn start_secured(cfg: CompanionCfg, token: Option<Token>, log: &Logger) -> Result<Self> {
        let runtime = host::start_runtime(RPC_THREADS)?;
        let (events, rx) = unbounded();
        let (rpc_addr, rpc) =
            runtime.block_on(rpc::serve(cfg.rpc_addr, events.clone(), token.clone()))?;
        let in_flight = Arc::new(AtomicU32::new(0));
        let proxy = TargetProxy::new(
            events.clone(),
            cfg.target_addr,
            cfg.connections,
            token.clone(),
            Arc::clone(&in_flight),
        );
        let threads = cfg.connections as usize + SPARE_THREADS;
        let http = HttpPool::start(cfg.http_addr, threads, move |req| proxy.serve(req))?;
        let cfg = Arc::new(CompanionCfg {
            http_addr: http.addr(),
            rpc_addr,
            ..cfg
        });
        info!(log, "companion: serving {} on {}", cfg.target, http.addr());

        let worker = Arc::new(HttpWorker::new(cfg.worker_addr, WORKER_TIMEOUT));
        let worker_events = events.clone();
        let worker_io = Arc::new(WorkerIo::start(
            worker,
            Arc::new(SystemClock),
            move |id, reply| {
                // Sending fails only if the actors have ended; the reply is not needed then.
                drop(worker_events.send(Event::Worker(id, reply)));
            },
        ));
        let call_events = events.clone();
        let client_cfg = ClientCfg {
            runtime: runtime.handle().clone(),
        };
        let calls = Client::new(client_cfg, move |token, answer| {
            drop(call_events.send(Event::Call(token, answer)));
        })
        .with_token(token.as_ref())?;
        let ports = Ports {
            clock: Arc::new(SystemClock),
            worker: Arc::clone(&worker_io) as Arc<dyn crate::WorkerPort>,
            calls: Arc::new(calls),
            log: log.clone(),
        };
        let stopping = Arc::new(AtomicBool::new(false));
        let actors = host::spawn_actors({
            let cfg = Arc::clone(&cfg);
            let stopping = Arc::clone(&stopping);
            let in_flight = Arc::clone(&in_flight);
            move || run_actors(&cfg, &ports, &rx, &stopping, &in_flight)
        });
        Ok(Self {
            cfg,
            events,
            stopping,
            in_flight,
            http,
            rpc,
            worker_io,
            actors,
            runtime,
        })
    }

    /// Returns the settings, with the addresses that were bound.
    pub fn cfg(&self) -> &CompanionCfg {
        &self.cfg
    }

    /// Returns the address that requests are served on.
    pub fn http_addr(&self) -> SocketAddr {
        self.cfg.http_addr
    }

    /// Starts to drain: new work is refused, and work in progress goes on.
    pub fn drain(&self) {
        // An error means that the actors have ended already.
        drop(self.events.send(Event::Drain));
    }

    /// Drains, waits for requests in progress within a grace period, and stops.
    pub fn stop(self) {
        self.drain();
        let began = Instant::now();
        std::thread::sleep(STOP_LINGER);
        while self.in_flight.load(Ordering::Acquire) > 0 && began.elapsed() < STOP_GRACE {
            std::thread::sleep(Duration::from_millis(10));
        }
        let Self {
            stopping,
            http,
            rpc,
            worker_io,
            actors,
            runtime,
            ..
        } = self;
        let is_finished = http.stop(STOP_GRACE);
        Promise::GracefulStop.check(is_finished, || {
            format!("{} stops with requests in progress", self.cfg.target)
        });
        stopping.store(true, Ordering::Release);
        // An error means that the server has stopped already.
        let _ = rpc.stop();
        drop(actors.join());
        worker_io.stop();
        runtime.shutdown_background();
    }

    /// Stops at once, as in a crash: no request is finished and nothing is reported.
    pub fn kill(self) {
        self.stopping.store(true, Ordering::Release);
        // An error means that the server has stopped already.
        let _ = self.rpc.stop();
        self.http.abandon();
        drop(self.actors.join());
        self.worker_io.stop();
        self.runtime.shutdown_background();
    }
}

/// Runs the actors until the process stops.
fn run_actors(
    cfg: &Arc<CompanionCfg>,
    ports: &Ports,
    rx: &Receiver<Event>,
    stopping: &AtomicBool,
    in_flight: &AtomicU32,
) {
    let mut node = Node::new(cfg, ports, ports.clock.now(), rand::random());
    host::drive(&mut node, &*ports.clock, rx, stopping, |node| {
        in_flight.store(node.in_flight(), Ordering::Release);
    });
}

/// Runs a companion until the process receives a signal to stop.
///
/// # Errors
///
/// Returns an error if the companion cannot start or signals cannot be watched.
pub fn run(cfg: CompanionCfg, token: Option<Token>, log: &Logger) -> Result<()> {
    let app = App::start_secured(cfg, token, log)?;
    host::wait_for_stop()?;
    info!(log, "companion: planned stop begins");
    app.stop();
    Ok(())
}
