//! A companion as a running process: threads around the actor.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use base::SystemClock;
use base::prelude::*;
use crossbeam_channel::{Sender, unbounded};
use host::{follow_key, spawn_workers};
use jobs::owner::OWNER_KEY;
use jobs::report::SyncReport;
use ports::store::Store;
use report::Gauges;
use slog::{Logger, info, warn};
use tiny_http::{Request, Response};
use wire::{HttpPool, OwnerClient, hop};

use crate::event::{Event, HoldDone};
use crate::keeper::Keeper;
use crate::node::{Node, Outside};
use crate::ports::{HeartbeatDialect, HoldCall, PaceCall, Runner, StartCall, StopCall, WorkerSays};

/// How long a watch of the owner's key waits.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// How many threads hear the worker.
const HEARTBEAT_THREADS: usize = 2;

/// How many threads carry reports: one that is held, and one with news.
const REPORT_THREADS: usize = 2;

/// How many calls to the worker are made at once, beside the hold that waits.
const CALL_THREADS: usize = 4;

/// How long a report may go without an answer; the owner holds one for less.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1200);

/// The largest heartbeat, in bytes.
const MAX_HEARTBEAT: u64 = 4 * 1024 * 1024;

/// How long a stop waits for heartbeats that are being answered.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// What a companion needs to know.
#[derive(Clone, Debug)]
pub struct AgentCfg {
    /// The VM that the companion and its worker are on.
    pub vm: Name,
    /// Where the worker sends heartbeats.
    pub heartbeat_addr: SocketAddr,
    /// How long the worker takes at most to stop a run.
    pub stop_time: Duration,
    /// Where metrics are served.
    pub metrics_addr: SocketAddr,
}

/// Calls to the worker that threads make.
#[derive(Debug)]
enum WorkerCall {
    Hold(Incarnation, HoldCall),
    Start(Incarnation, StartCall),
    Stop(Incarnation, StopCall),
    Pace(PaceCall),
}

#[derive(Debug)]
struct Calls {
    waiting: Sender<WorkerCall>,
    common: Sender<WorkerCall>,
    reports: Sender<(SocketAddr, u64, SyncReport)>,
}

/// A running companion.
#[derive(Debug)]
pub struct App {
    stopping: Arc<AtomicBool>,
    heartbeats: HttpPool,
    metrics: HttpPool,
    actors: JoinHandle<()>,
    log: Logger,
}

impl Outside for Calls {
    fn hold(&self, born: Incarnation, call: HoldCall) {
        let queue = if call.wait.is_zero() {
            &self.common
        } else {
            &self.waiting
        };
        // The threads end only with the process.
        drop(queue.send(WorkerCall::Hold(born, call)));
    }

    fn start(&self, born: Incarnation, call: StartCall) {
        drop(self.common.send(WorkerCall::Start(born, call)));
    }

    fn stop(&self, born: Incarnation, call: StopCall) {
        drop(self.common.send(WorkerCall::Stop(born, call)));
    }

    fn pace(&self, call: PaceCall) {
        drop(self.common.send(WorkerCall::Pace(call)));
    }

    fn sync(&self, to: SocketAddr, number: u64, report: SyncReport) {
        drop(self.reports.send((to, number, report)));
    }
}

impl Calls {
    fn start(
        runner: &Arc<dyn Runner>,
        events: &Sender<Event>,
        gauges: &Arc<Gauges>,
        log: &Logger,
    ) -> Self {
        let spawn = |threads: usize| {
            let (runner, events) = (Arc::clone(runner), events.clone());
            let (log, gauges) = (log.clone(), Arc::clone(gauges));
            spawn_workers(threads, move |call: WorkerCall| {
                make(&*runner, call, &events, &gauges, &log);
            })
        };
        Self {
            waiting: spawn(1),
            common: spawn(CALL_THREADS),
            reports: Self::start_reports(events, gauges),
        }
    }

    /// Starts the threads that carry reports.
    fn start_reports(
        events: &Sender<Event>,
        gauges: &Arc<Gauges>,
    ) -> Sender<(SocketAddr, u64, SyncReport)> {
        let client = OwnerClient::new(REPORT_TIMEOUT);
        let (events, gauges) = (events.clone(), Arc::clone(gauges));
        spawn_workers(REPORT_THREADS, move |(to, number, report)| {
            let began = Instant::now();
            let reply = client.sync(to, &report);
            gauges.took("report", began.elapsed());
            gauges.count("report", outcome(&reply));
            drop(events.send(Event::Synced(number, reply)));
        })
    }
}

/// Makes one call to the worker and tells the actor of its outcome.
fn make(
    runner: &dyn Runner,
    call: WorkerCall,
    events: &Sender<Event>,
    gauges: &Gauges,
    log: &Logger,
) {
    let event = match call {
        WorkerCall::Hold(born, call) => Event::Held(HoldDone {
            born,
            fence: call.fence,
            is_waiting: !call.wait.is_zero(),
            reply: runner.hold(&call),
        }),
        WorkerCall::Start(born, call) => {
            Event::Started(born, call.run.clone(), runner.start(&call))
        }
        WorkerCall::Stop(born, call) => Event::Stopped(born, call.run.clone(), runner.stop(&call)),
        WorkerCall::Pace(call) => {
            if let Err(e) = runner.pace(&call) {
                // The owner orders a throttle anew for as long as it is wanted.
                warn!(log, "companion: pace failed"; "run" => %call.run, "error" => %e);
            }
            return;
        }
    };
    match &event {
        Event::Held(done) => gauges.count("hold", outcome(&done.reply)),
        Event::Started(_, _, reply) => gauges.count("start", outcome(reply)),
        Event::Stopped(_, _, reply) => gauges.count("stop", outcome(reply)),
        _ => {}
    }
    // The actor may have ended first; then nobody wants the outcome.
    drop(events.send(event));
}

fn outcome<T>(reply: &Result<T>) -> &'static str {
    if reply.is_ok() { "answered" } else { "failed" }
}

impl App {
    /// Binds the address and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] where the address cannot be bound.
    pub fn start(
        cfg: &AgentCfg,
        store: Arc<dyn Store>,
        runner: &Arc<dyn Runner>,
        dialect: Arc<dyn HeartbeatDialect>,
        log: &Logger,
    ) -> Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let (events, rx) = unbounded();
        let heartbeats = HttpPool::start(cfg.heartbeat_addr, HEARTBEAT_THREADS, {
            let (events, log) = (events.clone(), log.clone());
            move |req| hear(req, &*dialect, &events, &log)
        })?;
        let gauges = Arc::new(Gauges::new());
        let metrics = gauges.serve(cfg.metrics_addr)?;
        let calls = Calls::start(runner, &events, &gauges, log);
        let boot = base::unix_ms(clock.wall());
        let keeper = Keeper::new(Arc::clone(&cfg.vm), boot, cfg.stop_time, log.clone());
        let stopping = Arc::new(AtomicBool::new(false));
        let actors = std::thread::spawn({
            let (stopping, log) = (Arc::clone(&stopping), log.clone());
            move || {
                let mut node = Node::new(keeper, Arc::new(calls), log, clock.now());
                host::drive(&mut node, &*clock, &rx, &stopping, |_| {});
            }
        });
        let sink = move |seen| drop(events.send(Event::OwnerKey(seen)));
        // The thread ends with the process.
        drop(follow_key(
            store,
            OWNER_KEY.into(),
            WATCH_WAIT,
            Arc::clone(&stopping),
            sink,
        ));
        info!(log, "companion: started"; "vm" => %cfg.vm);
        Ok(Self {
            stopping,
            heartbeats,
            metrics,
            actors,
            log: log.clone(),
        })
    }

    /// Stops as planned; the worker's tasks go on under their lease.
    pub fn stop(self) {
        info!(self.log, "companion: stops as planned");
        self.heartbeats.stop(STOP_GRACE);
        self.metrics.abandon();
        self.stopping.store(true, Ordering::Release);
        drop(self.actors.join());
    }
}

/// Answers a request of the worker.
fn hear(mut req: Request, dialect: &dyn HeartbeatDialect, events: &Sender<Event>, log: &Logger) {
    let status = match read(&mut req, dialect) {
        Ok(Some(says)) => {
            drop(events.send(Event::Worker(says)));
            200
        }
        Ok(None) => 404,
        Err(e) => {
            warn!(log, "companion: heartbeat not read"; "error" => %e);
            400
        }
    };
    if let Err(e) = req.respond(Response::empty(status)) {
        info!(log, "companion: worker did not wait"; "error" => %e);
    }
}

fn read(req: &mut Request, dialect: &dyn HeartbeatDialect) -> Result<Option<WorkerSays>> {
    let body = hop::read_body(req, MAX_HEARTBEAT).map_err(|e| {
        let message = format!("body {e:?}");
        Error::new(ErrorKind::Interrupted, "read heartbeat", "worker", message)
    })?;
    dialect.read(&req.method().to_string(), req.url(), &body)
}

/// Runs a companion until it is told to stop by a signal.
///
/// # Errors
///
/// Returns what kept the companion from starting.
pub fn run(
    cfg: &AgentCfg,
    store: Arc<dyn Store>,
    runner: &Arc<dyn Runner>,
    dialect: Arc<dyn HeartbeatDialect>,
    log: &Logger,
) -> Result<()> {
    let app = App::start(cfg, store, runner, dialect, log)?;
    host::wait_for_stop_with(|| info!(log, "companion: told of new settings; addresses stay"))?;
    app.stop();
    Ok(())
}
