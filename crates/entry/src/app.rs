//! The entry as a running process: threads around the actors.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use base::SystemClock;
use base::prelude::*;
use crossbeam_channel::{Receiver, Sender, unbounded};
use jsonrpsee::server::ServerHandle;
use ports::HttpStore;
use ports::store::Store;
use slog::{Logger, info};
use tokio::runtime::Runtime;
use wire::{Client, ClientCfg, HttpPool, Token};

use crate::http::Frontend;
use crate::store_io::StoreIo;
use crate::telemetry::{MeteredStore, Telemetry};
use crate::{EntryCfg, Event, Node, Ports, TablesSnapshot, rpc};

/// How long a store call may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// How many threads serve control calls.
const RPC_THREADS: usize = 2;

/// How long a stopping entry keeps serving, so that load balancers notice that it is not ready.
const STOP_LINGER: Duration = Duration::from_secs(2);

/// How long a planned stop waits for requests in progress.
const STOP_GRACE: Duration = Duration::from_secs(30);

/// A running entry.
#[derive(Debug)]
pub struct App {
    cfg: Arc<EntryCfg>,
    events: Sender<Event>,
    stopping: Arc<AtomicBool>,
    http: HttpPool,
    rpc: ServerHandle,
    store_io: Arc<StoreIo>,
    actors: JoinHandle<()>,
    runtime: Runtime,
}

impl App {
    /// Binds the addresses and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] if an address cannot be bound.
    pub fn start(cfg: EntryCfg, log: &Logger) -> Result<Self> {
        Self::start_secured(cfg, None, log)
    }

    /// Binds the addresses and starts the threads; calls must carry the shared secret `token`, if
    /// there is one.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] if an address cannot be bound.
    pub fn start_secured(cfg: EntryCfg, token: Option<Token>, log: &Logger) -> Result<Self> {
        let runtime = host::start_runtime(RPC_THREADS)?;
        let (events, rx) = unbounded();
        let (rpc_addr, rpc) =
            runtime.block_on(rpc::serve(cfg.rpc_addr, events.clone(), token.clone()))?;
        let telemetry = Arc::new(Telemetry::new(&cfg.entry, SystemClock.now()));
        let store: Arc<dyn Store> = Arc::new(MeteredStore::new(
            Arc::new(HttpStore::new(cfg.store, STORE_TIMEOUT)),
            Arc::clone(&telemetry),
            Arc::new(SystemClock),
        ));
        let snapshot = Arc::new(TablesSnapshot::default());
        let frontend = Frontend::new(
            events.clone(),
            Arc::clone(&snapshot),
            token.clone(),
            Arc::clone(&telemetry),
            log.clone(),
        );
        let http = HttpPool::start(cfg.http_addr, cfg.threads, move |req| frontend.serve(req))?;
        let cfg = Arc::new(EntryCfg {
            http_addr: http.addr(),
            rpc_addr,
            ..cfg
        });
        info!(
            log,
            "entry: serves callers on {} and processes on {}",
            http.addr(),
            rpc_addr
        );

        let store_events = events.clone();
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let store_io = StoreIo::start(&store, &clock, move |token, reply| {
            // Sending fails only after the actors have ended, when the reply is not needed.
            drop(store_events.send(Event::Store(token, reply)));
        });
        let store_io = Arc::new(store_io);
        let call_events = events.clone();
        let client_cfg = ClientCfg {
            runtime: runtime.handle().clone(),
        };
        let calls = Client::new(client_cfg, move |token, answer| {
            drop(call_events.send(Event::Call(token, answer)));
        })
        .with_token(token.as_ref())?;
        let ports = Ports {
            clock,
            store: Arc::clone(&store_io) as Arc<dyn crate::StorePort>,
            calls: Arc::new(calls),
            log: log.clone(),
        };
        let stopping = Arc::new(AtomicBool::new(false));
        let actors = host::spawn_actors({
            let cfg = Arc::clone(&cfg);
            let stopping = Arc::clone(&stopping);
            move || run_actors(&cfg, &ports, snapshot, &rx, &stopping)
        });
        Ok(Self {
            cfg,
            events,
            stopping,
            http,
            rpc,
            store_io,
            actors,
            runtime,
        })
    }

    /// Returns the settings, with the addresses that were bound.
    pub fn cfg(&self) -> &EntryCfg {
        &self.cfg
    }

    /// Returns the address that serves callers' requests.
    pub fn http_addr(&self) -> SocketAddr {
        self.cfg.http_addr
    }

    /// Stops gracefully: finishes the requests in progress and releases leases.
    pub fn stop(self) {
        // An error means that the actors have ended already.
        drop(self.events.send(Event::Stop));
        std::thread::sleep(STOP_LINGER);
        let Self {
            stopping,
            http,
            rpc,
            store_io,
            actors,
            runtime,
            ..
        } = self;
        let is_finished = http.stop(STOP_GRACE);
        Promise::GracefulStop.check(is_finished, || {
            format!("{} stops with requests in progress", self.cfg.entry)
        });
        stopping.store(true, Ordering::Release);
        // An error means that the server has stopped already.
        let _ = rpc.stop();
        drop(actors.join());
        store_io.stop();
        runtime.shutdown_background();
    }

    /// Stops at once, like a crash: finishes no requests and releases no leases.
    pub fn kill(self) {
        self.stopping.store(true, Ordering::Release);
        // An error means that the server has stopped already.
        let _ = self.rpc.stop();
        self.http.abandon();
        self.store_io.stop();
        drop(self.actors.join());
        self.runtime.shutdown_background();
    }
}

/// Runs the actors until the process stops.
fn run_actors(
    cfg: &Arc<EntryCfg>,
    ports: &Ports,
    snapshot: Arc<TablesSnapshot>,
    rx: &Receiver<Event>,
    stopping: &AtomicBool,
) {
    let mut node = Node::new(cfg, ports, ports.clock.now(), rand::random());
    node.publish_to(snapshot);
    host::drive(&mut node, &*ports.clock, rx, stopping, |_node| ());
}

/// Runs an entry until the process receives a signal to stop.
///
/// # Errors
///
/// Returns an error if the entry cannot start or signals cannot be watched.
pub fn run(cfg: EntryCfg, token: Option<Token>, log: &Logger) -> Result<()> {
    let app = App::start_secured(cfg, token, log)?;
    host::wait_for_stop()?;
    info!(log, "entry: planned stop begins");
    app.stop();
    Ok(())
}
