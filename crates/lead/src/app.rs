//! An entry as a running process: threads around the actor.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use base::SystemClock;
use base::prelude::*;
use crossbeam_channel::unbounded;
use host::{KeySeen, follow_key};
use jobs::owner::{OWNER_KEY, OwnerRecord, Question, Replacement};
use jobs::{Ask, Told};
use jsonrpsee::server::ServerHandle;
use ports::store::{Store, StoreCall};
use report::Gauges;
use slog::{Logger, info, warn};
use tiny_http::{Request, Response};
use tokio::runtime::Runtime;
use wire::{HttpPool, Reply};

use crate::advice::{Advisor, AdvisorThread};
use crate::cfg::LeadCfg;
use crate::dialect::Dialect;
use crate::elector::ElectorCfg;
use crate::forward::{self, Forwarder};
use crate::front::{Front, Table};
use crate::node::{Events, NodeCfg, Ports};
use crate::runtime::Node;
use crate::store_pool::StorePool;
use crate::{Event, StoreToken, rpc};

/// How long a watch waits: bounds how long a dead connection hides a change of the tables.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// How many threads carry control calls.
const RPC_THREADS: usize = 1;

/// How many threads answer readiness probes.
const READY_THREADS: usize = 2;

/// How long the balancer may take to notice that this entry leaves: two missed probes, one a second.
const LEAVE_NOTICE: Duration = Duration::from_millis(2600);

/// How long requests in progress may take at a stop.
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
struct Outside {
    store: StorePool,
    advisor: AdvisorThread,
    forwarder: Forwarder,
    log: Logger,
}

impl Ports for Outside {
    fn store(&self, token: StoreToken, call: StoreCall) {
        self.store.submit(token, call);
    }

    fn forward(&self, to: &OwnerRecord, ask: Ask, reply: Reply<Told>) {
        self.forwarder.forward(to.addr, to.epoch, ask, reply);
    }

    fn advise(&self, question: Question) {
        self.advisor.ask(question);
    }

    fn tell_replaced(&self, former: &OwnerRecord, by: Replacement) {
        forward::tell_replaced(former.addr, by, &self.log);
    }
}

impl App {
    /// Binds the addresses and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] where an address cannot be bound.
    pub fn start(
        cfg: &LeadCfg,
        store: Arc<dyn Store>,
        advisor: Option<Arc<dyn Advisor>>,
        dialect: Arc<dyn Dialect>,
        log: &Logger,
    ) -> Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let runtime = host::start_runtime(RPC_THREADS)?;
        let (events, rx) = unbounded();
        let (rpc_addr, rpc) = runtime.block_on(rpc::serve(cfg.rpc_addr, events.clone()))?;
        let stopping = Arc::new(AtomicBool::new(false));
        let is_leaving = Arc::new(AtomicBool::new(false));
        let table = Table::default();
        let gauges = Arc::new(Gauges::new());
        let metrics = gauges.serve(cfg.metrics_addr)?;

        let front = Front::new(
            Arc::clone(&dialect),
            Arc::clone(&table),
            events.clone(),
            Arc::clone(&gauges),
            log.clone(),
        );
        let front = HttpPool::start(cfg.front_addr, cfg.threads, move |req| front.serve(req))?;
        let ready = {
            let (table, is_leaving) = (Arc::clone(&table), Arc::clone(&is_leaving));
            HttpPool::start(cfg.ready_addr, READY_THREADS, move |req| {
                tell_ready(
                    req,
                    table.read().is_some() && !is_leaving.load(Ordering::Acquire),
                );
            })?
        };

        let outside = Outside {
            store: StorePool::start(&store, &gauges, {
                let events = events.clone();
                // The actor may have ended first; then nobody wants the reply.
                move |token, reply| drop(events.send(Event::Store(token, reply)))
            }),
            advisor: AdvisorThread::start(advisor, {
                let events = events.clone();
                move |question, reply| {
                    drop(events.send(Event::Advised(question.stage, reply)));
                }
            }),
            forwarder: Forwarder::start(&events, log),
            log: log.clone(),
        };
        let node_cfg = node_cfg(cfg, rpc_addr);
        let actors = std::thread::spawn({
            let (stopping, log) = (Arc::clone(&stopping), log.clone());
            move || {
                let ports: Arc<dyn Ports> = Arc::new(outside);
                let mut node = Node::new(
                    node_cfg,
                    Arc::clone(&clock),
                    ports,
                    gauges,
                    log,
                    rand::random(),
                );
                host::drive(&mut node, &*clock, &rx, &stopping, |_| {});
            }
        });
        follow_owner(Arc::clone(&store), events.clone(), &stopping);
        follow_table(store, dialect, table, &stopping, log);
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

    /// Stops as planned: another entry takes over, what is in progress finishes.
    pub fn stop(self) {
        info!(self.log, "entry: stops as planned");
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
        // The actor's thread ends with the process: to wait for it would keep connections open
        // on which nothing is served any more.
        drop(self.actors);
        self.runtime.shutdown_background();
    }
}

fn node_cfg(cfg: &LeadCfg, rpc_addr: SocketAddr) -> NodeCfg {
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
    }
}

fn follow_owner(store: Arc<dyn Store>, events: Events, stopping: &Arc<AtomicBool>) {
    let sink = move |seen| drop(events.send(Event::OwnerKey(seen)));
    // The thread ends with the process.
    drop(follow_key(
        store,
        OWNER_KEY.into(),
        WATCH_WAIT,
        Arc::clone(stopping),
        sink,
    ));
}

fn follow_table(
    store: Arc<dyn Store>,
    dialect: Arc<dyn Dialect>,
    table: Table,
    stopping: &Arc<AtomicBool>,
    log: &Logger,
) {
    let key = dialect.table_key();
    let log = log.clone();
    let sink = move |seen| match seen {
        KeySeen::Is(Some(kv)) => match dialect.read_table(&kv.value) {
            Ok(new) => apply(&table, new, &log),
            Err(e) => warn!(log, "entry: tables not read"; "error" => %e),
        },
        KeySeen::Is(None) => info!(log, "entry: no tables yet"),
        KeySeen::Unreached(e) => warn!(log, "entry: tables not reached"; "error" => %e),
    };
    drop(follow_key(
        store,
        key,
        WATCH_WAIT,
        Arc::clone(stopping),
        sink,
    ));
}

/// Puts tables in force unless later ones already are.
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

fn tell_ready(req: Request, is_ready: bool) {
    let status = if is_ready { 200 } else { 503 };
    // The balancer that left asks again.
    drop(req.respond(Response::empty(status)));
}

/// Runs an entry until it is told to stop by a signal.
///
/// # Errors
///
/// Returns what kept the entry from starting.
pub fn run(
    cfg: &LeadCfg,
    store: Arc<dyn Store>,
    advisor: Option<Arc<dyn Advisor>>,
    dialect: Arc<dyn Dialect>,
    log: &Logger,
) -> Result<()> {
    let app = App::start(cfg, store, advisor, dialect, log)?;
    host::wait_for_stop_with(|| info!(log, "entry: told of new settings; addresses stay"))?;
    app.stop();
    Ok(())
}
