//! An entry as a running process: the threads around the actor.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use base::SystemClock;
use base::prelude::*;
use crossbeam_channel::unbounded;
use host::{KeyUpdate, watch_key};
use jobs::owner::{AdviceRequest, OWNER_KEY, OwnerRecord, Replacement};
use jobs::{JobReply, JobRequest};
use jsonrpsee::server::ServerHandle;
use ports::store::{Store, StoreCall};
use report::OperationMetrics;
use slog::{Logger, info, warn};
use tiny_http::{Request, Response};
use tokio::runtime::Runtime;
use wire::{HttpPool, Responder};

use crate::advice::{Advisor, AdvisorThread};
use crate::cfg::ControllerCfg;
use crate::codec::CallerCodec;
use crate::elector::ElectorCfg;
use crate::forward::{self, Forwarder};
use crate::front::{Front, Table};
use crate::node::{Events, NodeCfg, Ports};
use crate::runtime::Node;
use crate::store_pool::StorePool;
use crate::{Event, StoreToken, rpc};

/// The timeout of one watch call: bounds how long a dead connection hides a change of the tables.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// The number of threads that serve control calls.
const RPC_THREADS: usize = 1;

/// The number of threads that serve readiness probes.
const READY_THREADS: usize = 2;

/// How long the load balancer needs to notice that this entry is leaving: two failed probes at one
/// probe a second.
const LEAVE_NOTICE: Duration = Duration::from_millis(2600);

/// How long a stop waits for requests in progress.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// A running entry.
#[derive(Debug)]
pub struct App {
    events: Events,
    stopping: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
    front: HttpPool,
    ready: HttpPool,
    metrics: HttpPool,
    rpc: ServerHandle,
    actors: JoinHandle<()>,
    runtime: Runtime,
    log: Logger,
}

#[derive(Debug)]
struct ProcessPorts {
    store: StorePool,
    advisor: AdvisorThread,
    forwarder: Forwarder,
    log: Logger,
}

impl Ports for ProcessPorts {
    fn store(&self, token: StoreToken, call: StoreCall) {
        self.store.submit(token, call);
    }

    fn forward(&self, to: &OwnerRecord, request: JobRequest, responder: Responder<JobReply>) {
        self.forwarder
            .forward(to.addr, to.epoch, request, responder);
    }

    fn advise(&self, request: AdviceRequest) {
        self.advisor.submit(request);
    }

    fn notify_replaced(&self, previous: &OwnerRecord, by: Replacement) {
        forward::notify_replaced(previous.addr, by, &self.log);
    }
}

impl App {
    /// Binds the addresses and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] if an address cannot be bound.
    pub fn start(
        cfg: &ControllerCfg,
        store: Arc<dyn Store>,
        advisor: Option<Arc<dyn Advisor>>,
        codec: Arc<dyn CallerCodec>,
        log: &Logger,
    ) -> Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let runtime = host::start_runtime(RPC_THREADS)?;
        let (events, rx) = unbounded();
        let (rpc_addr, rpc) = runtime.block_on(rpc::serve(cfg.rpc_addr, events.clone()))?;
        let stopping = Arc::new(AtomicBool::new(false));
        let is_leaving = Arc::new(AtomicBool::new(false));
        let table = Table::default();
        let operation_metrics = Arc::new(OperationMetrics::new());
        let metrics = operation_metrics.serve(cfg.metrics_addr)?;

        let front = Front::new(
            Arc::clone(&codec),
            Arc::clone(&table),
            events.clone(),
            Arc::clone(&operation_metrics),
            log.clone(),
        );
        let front = HttpPool::start(cfg.front_addr, cfg.threads, move |req| front.serve(req))?;
        let ready = {
            let (table, is_leaving) = (Arc::clone(&table), Arc::clone(&is_leaving));
            HttpPool::start(cfg.ready_addr, READY_THREADS, move |req| {
                respond_ready(
                    req,
                    table.read().is_some() && !is_leaving.load(Ordering::Acquire),
                );
            })?
        };

        let ports = ProcessPorts {
            store: StorePool::start(&store, &operation_metrics, {
                let events = events.clone();
                // An error means that the actor has ended, so the reply is not needed.
                move |token, reply| drop(events.send(Event::Store(token, reply)))
            }),
            advisor: AdvisorThread::start(advisor, {
                let events = events.clone();
                move |request, reply| {
                    drop(events.send(Event::Advised(request.stage, reply)));
                }
            }),
            forwarder: Forwarder::start(&events, log),
            log: log.clone(),
        };
        let node_cfg = node_cfg(cfg, rpc_addr);
        let actors = host::spawn_actors({
            let (stopping, log) = (Arc::clone(&stopping), log.clone());
            move || {
                let ports: Arc<dyn Ports> = Arc::new(ports);
                let mut node = Node::new(
                    node_cfg,
                    Arc::clone(&clock),
                    ports,
                    operation_metrics,
                    log,
                    rand::random(),
                );
                host::drive(&mut node, &*clock, &rx, &stopping, |_| {});
            }
        });
        watch_owner(Arc::clone(&store), events.clone(), &stopping);
        watch_table(store, codec, table, &stopping, log);
        info!(log, "entry: started"; "name" => %cfg.name, "front" => %cfg.front_addr);
        Ok(Self {
            events,
            stopping,
            is_leaving,
            front,
            ready,
            metrics,
            rpc,
            actors,
            runtime,
            log: log.clone(),
        })
    }

    /// Stops gracefully: another entry takes over and requests in progress finish.
    pub fn stop(self) {
        info!(self.log, "entry: planned stop begins");
        self.is_leaving.store(true, Ordering::Release);
        // An error means that the actor has ended already.
        drop(self.events.send(Event::Resign));
        std::thread::sleep(LEAVE_NOTICE);
        let is_finished = self.front.stop(STOP_GRACE);
        info!(self.log, "entry: stopped"; "finished" => is_finished);
        self.ready.abandon();
        self.metrics.abandon();
        // An error means that the server has stopped already.
        let _ = self.rpc.stop();
        self.stopping.store(true, Ordering::Release);
        // The actor's thread ends with the process: waiting for it would keep connections open
        // on which no request is served any more.
        drop(self.actors);
        self.runtime.shutdown_background();
    }
}

fn node_cfg(cfg: &ControllerCfg, rpc_addr: SocketAddr) -> NodeCfg {
    NodeCfg {
        elector: ElectorCfg {
            me: OwnerRecord {
                name: Arc::clone(&cfg.name),
                addr: rpc_addr,
                epoch: Epoch(0),
                nonce: Nonce(0),
            },
            lease: cfg.owner_lease,
            outage_grace: cfg.outage_grace,
            claim_delay: cfg.claim_delay,
        },
        worker_lease: cfg.worker_lease,
        retention: cfg.retention,
        cordon: cfg.cordon.clone(),
    }
}

fn watch_owner(store: Arc<dyn Store>, events: Events, stopping: &Arc<AtomicBool>) {
    let sink = move |seen| drop(events.send(Event::OwnerKey(seen)));
    // The thread runs until the process stops.
    drop(watch_key(
        store,
        OWNER_KEY.into(),
        WATCH_WAIT,
        Arc::clone(stopping),
        sink,
    ));
}

fn watch_table(
    store: Arc<dyn Store>,
    codec: Arc<dyn CallerCodec>,
    table: Table,
    stopping: &Arc<AtomicBool>,
    log: &Logger,
) {
    let key = codec.table_key();
    let log = log.clone();
    let sink = move |seen| match seen {
        KeyUpdate::Current(Some(kv)) => match codec.read_table(&kv.value) {
            Ok(new) => apply(&table, new, &log),
            Err(e) => warn!(log, "entry: tables could not be decoded"; "error" => %e),
        },
        KeyUpdate::Current(None) => info!(log, "entry: no tables yet"),
        KeyUpdate::Unreachable(e) => warn!(log, "entry: tables could not be read"; "error" => %e),
    };
    drop(watch_key(
        store,
        key,
        WATCH_WAIT,
        Arc::clone(stopping),
        sink,
    ));
}

/// Puts tables in force unless their generation is in force already, or a later one.
fn apply(table: &Table, new: crate::RouteTable, log: &Logger) {
    let mut table = table.write();
    if table
        .as_ref()
        .is_some_and(|t| t.generation >= new.generation)
    {
        return;
    }
    info!(log, "entry: tables in force";
        "generation" => new.generation.0, "routes" => new.routes.len());
    *table = Some(Arc::new(new));
}

fn respond_ready(req: Request, is_ready: bool) {
    let status = if is_ready { 200 } else { 503 };
    // If the load balancer has disconnected, it will probe again.
    drop(req.respond(Response::empty(status)));
}

/// Runs an entry until a signal stops it.
///
/// # Errors
///
/// Returns an error if the runtime or a listener cannot start, or signals cannot be watched.
pub fn run(
    cfg: &ControllerCfg,
    store: Arc<dyn Store>,
    advisor: Option<Arc<dyn Advisor>>,
    codec: Arc<dyn CallerCodec>,
    log: &Logger,
) -> Result<()> {
    let app = App::start(cfg, store, advisor, codec, log)?;
    host::wait_for_stop_with(|| {
        info!(
            log,
            "entry: SIGHUP ignored: listening addresses cannot be reloaded"
        )
    })?;
    app.stop();
    Ok(())
}
