//! The companion process: the threads that run the actor and make its blocking calls.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use base::SystemClock;
use base::prelude::*;
use crossbeam_channel::{Sender, unbounded};
use host::{spawn_workers, watch_key};
use jobs::owner::OWNER_KEY;
use jobs::report::SyncReport;
use ports::store::Store;
use report::OperationMetrics;
use slog::{Logger, info, warn};
use tiny_http::{Request, Response};
use wire::{HttpPool, OwnerClient, hop};

use crate::event::{Event, IdentityDone, LongPollDone};
use crate::node::{Node, OutboundCalls};
use crate::orders::MAX_CALLS;
use crate::ports::{
    HeartbeatCodec, IdentityCall, IdentityReply, LongPollCall, Runner, StartCall, StopCall,
    ThrottleCall, WorkerMessage,
};
use crate::state::AgentState;

/// How long one watch request for the owner's key waits at the store.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// How many threads serve heartbeats of the worker.
const HEARTBEAT_THREADS: usize = 2;

/// How many threads send reports to the owner: one waits in a report that the owner holds open,
/// the other sends newer state meanwhile.
const REPORT_THREADS: usize = 2;

/// Timeout of a report; the owner holds a report open for less than this.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1200);

/// The largest heartbeat, in bytes.
const MAX_HEARTBEAT: u64 = 4 * 1024 * 1024;

/// How long a shutdown waits for heartbeat requests in progress.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// Settings of a companion.
#[derive(Clone, Debug)]
pub struct AgentCfg {
    /// The VM that the companion and its worker are on.
    pub vm: Name,
    /// The address to listen on for the worker's heartbeats.
    pub heartbeat_addr: SocketAddr,
    /// The longest time that the worker takes to stop a run.
    pub stop_time: Duration,
    /// The address to serve metrics on.
    pub metrics_addr: SocketAddr,
}

/// A blocking call to the worker, queued for a thread.
#[derive(Debug)]
enum WorkerCall {
    Identify(Incarnation, IdentityCall),
    LongPoll(Incarnation, LongPollCall),
    Start(Incarnation, StartCall),
    Stop(Incarnation, StopCall),
    Throttle(ThrottleCall),
}

/// Queues to the threads that make blocking calls.
#[derive(Debug)]
struct CallQueues {
    /// Long polls that wait at the worker.
    long_polls: Sender<WorkerCall>,
    /// All other calls to the worker.
    immediate: Sender<WorkerCall>,
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

impl OutboundCalls for CallQueues {
    fn identify(&self, incarnation: Incarnation, call: IdentityCall) {
        drop(self.immediate.send(WorkerCall::Identify(incarnation, call)));
    }

    fn long_poll(&self, incarnation: Incarnation, call: LongPollCall) {
        let queue = if call.wait.is_zero() {
            &self.immediate
        } else {
            &self.long_polls
        };
        // Sending can't fail: the threads run until the process ends.
        drop(queue.send(WorkerCall::LongPoll(incarnation, call)));
    }

    fn start(&self, incarnation: Incarnation, call: StartCall) {
        drop(self.immediate.send(WorkerCall::Start(incarnation, call)));
    }

    fn stop(&self, incarnation: Incarnation, call: StopCall) {
        drop(self.immediate.send(WorkerCall::Stop(incarnation, call)));
    }

    fn throttle(&self, call: ThrottleCall) {
        drop(self.immediate.send(WorkerCall::Throttle(call)));
    }

    fn sync(&self, to: SocketAddr, number: u64, report: SyncReport) {
        drop(self.reports.send((to, number, report)));
    }
}

impl CallQueues {
    fn start(
        runner: &Arc<dyn Runner>,
        events: &Sender<Event>,
        operation_metrics: &Arc<OperationMetrics>,
        log: &Logger,
    ) -> Self {
        let spawn = |threads: usize| {
            let (runner, events) = (Arc::clone(runner), events.clone());
            let (log, operation_metrics) = (log.clone(), Arc::clone(operation_metrics));
            spawn_workers(threads, move |call: WorkerCall| {
                call_worker(&*runner, call, &events, &operation_metrics, &log);
            })
        };
        Self {
            long_polls: spawn(1),
            immediate: spawn(MAX_CALLS),
            reports: Self::start_reports(events, operation_metrics),
        }
    }

    /// Starts the threads that send reports to the owner.
    fn start_reports(
        events: &Sender<Event>,
        operation_metrics: &Arc<OperationMetrics>,
    ) -> Sender<(SocketAddr, u64, SyncReport)> {
        let client = OwnerClient::new(REPORT_TIMEOUT);
        let (events, operation_metrics) = (events.clone(), Arc::clone(operation_metrics));
        spawn_workers(REPORT_THREADS, move |(to, number, report)| {
            let began = Instant::now();
            let reply = client.sync(to, &report);
            operation_metrics.observe_duration("report", began.elapsed());
            operation_metrics.count("report", outcome(&reply));
            drop(events.send(Event::Synced(number, reply)));
        })
    }
}

/// Makes one call to the worker and sends its outcome to the actor.
fn call_worker(
    runner: &dyn Runner,
    call: WorkerCall,
    events: &Sender<Event>,
    operation_metrics: &OperationMetrics,
    log: &Logger,
) {
    let event = match call {
        WorkerCall::Identify(incarnation, call) => Event::Identified(IdentityDone {
            worker: call.worker.clone(),
            incarnation,
            reply: runner.identify(&call),
        }),
        WorkerCall::LongPoll(incarnation, call) => Event::LongPolled(LongPollDone {
            incarnation,
            fence: call.fence,
            is_waiting: !call.wait.is_zero(),
            reply: runner.long_poll(&call),
        }),
        WorkerCall::Start(incarnation, call) => {
            Event::Started(incarnation, call.run.clone(), runner.start(&call))
        }
        WorkerCall::Stop(incarnation, call) => {
            Event::Stopped(incarnation, call.run.clone(), runner.stop(&call))
        }
        WorkerCall::Throttle(call) => {
            if let Err(e) = runner.throttle(&call) {
                // No retry: the owner repeats the order while the throttle is wanted.
                warn!(log, "companion: throttle call failed"; "run" => %call.run, "error" => %e);
            }
            Event::Throttled
        }
    };
    match &event {
        Event::Identified(IdentityDone {
            reply: Ok(IdentityReply::Other),
            ..
        }) => operation_metrics.count("identify", "other"),
        Event::Identified(done) => operation_metrics.count("identify", outcome(&done.reply)),
        Event::LongPolled(done) => operation_metrics.count("hold", outcome(&done.reply)),
        Event::Started(_, _, reply) => operation_metrics.count("start", outcome(reply)),
        Event::Stopped(_, _, reply) => operation_metrics.count("stop", outcome(reply)),
        _ => {}
    }
    // Sending fails only if the actor has already ended; the outcome is not needed then.
    drop(events.send(event));
}

/// Returns the outcome of a call for metrics; only an unanswered call may still take effect.
fn outcome<T>(reply: &Result<T>) -> &'static str {
    match reply {
        Ok(_) => "answered",
        Err(e) if e.kind().is_outcome_unknown() => "unanswered",
        Err(e) => match e.kind() {
            ErrorKind::Overloaded => "overloaded",
            ErrorKind::NotListening => "not_listening",
            _ => "failed",
        },
    }
}

impl App {
    /// Binds the addresses for heartbeats and metrics and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] if an address cannot be bound.
    pub fn start(
        cfg: &AgentCfg,
        store: Arc<dyn Store>,
        runner: &Arc<dyn Runner>,
        codec: Arc<dyn HeartbeatCodec>,
        log: &Logger,
    ) -> Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let (events, rx) = unbounded();
        let heartbeats = HttpPool::start(cfg.heartbeat_addr, HEARTBEAT_THREADS, {
            let (events, log) = (events.clone(), log.clone());
            move |req| serve_worker(req, &*codec, &events, &log)
        })?;
        let operation_metrics = Arc::new(OperationMetrics::new());
        let metrics = operation_metrics.serve(cfg.metrics_addr)?;
        let calls = CallQueues::start(runner, &events, &operation_metrics, log);
        let boot = base::unix_ms(clock.wall());
        let state = AgentState::new(Arc::clone(&cfg.vm), boot, cfg.stop_time, log.clone());
        let stopping = Arc::new(AtomicBool::new(false));
        let actors = host::spawn_actors({
            let (stopping, log) = (Arc::clone(&stopping), log.clone());
            move || {
                let mut node = Node::new(state, Arc::new(calls), log, clock.now());
                host::drive(&mut node, &*clock, &rx, &stopping, |_| {});
            }
        });
        let sink = move |seen| drop(events.send(Event::OwnerKey(seen)));
        // The thread runs until the process ends, so its handle is not needed.
        drop(watch_key(
            store,
            OWNER_KEY.into(),
            WATCH_WAIT,
            Arc::clone(&stopping),
            sink,
        ));
        info!(log, "companion: started"; "vm" => %cfg.vm, "boot" => boot);
        Ok(Self {
            stopping,
            heartbeats,
            metrics,
            actors,
            log: log.clone(),
        })
    }

    /// Shuts down; the worker's tasks go on until its lease expires.
    pub fn stop(self) {
        info!(self.log, "companion: planned stop begins");
        self.heartbeats.stop(STOP_GRACE);
        self.metrics.abandon();
        self.stopping.store(true, Ordering::Release);
        drop(self.actors.join());
    }
}

/// Serves a request of the worker: passes what it sent to the actor and responds.
fn serve_worker(
    mut req: Request,
    codec: &dyn HeartbeatCodec,
    events: &Sender<Event>,
    log: &Logger,
) {
    let status = match read(&mut req, codec) {
        Ok(Some(message)) => {
            drop(events.send(Event::Worker(message)));
            200
        }
        Ok(None) => 404,
        Err(e) => {
            warn!(log, "companion: invalid heartbeat"; "error" => %e);
            400
        }
    };
    if let Err(e) = req.respond(Response::empty(status)) {
        info!(log, "companion: cannot respond to heartbeat"; "error" => %e);
    }
}

fn read(req: &mut Request, codec: &dyn HeartbeatCodec) -> Result<Option<WorkerMessage>> {
    let body = hop::read_body(req, MAX_HEARTBEAT).map_err(|e| {
        let message = format!("body {e:?}");
        Error::new(ErrorKind::Interrupted, "read heartbeat", "worker", message)
    })?;
    codec.read(&req.method().to_string(), req.url(), &body)
}

/// Runs a companion until the process receives SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if the companion cannot start or signals cannot be watched.
pub fn run(
    cfg: &AgentCfg,
    store: Arc<dyn Store>,
    runner: &Arc<dyn Runner>,
    codec: Arc<dyn HeartbeatCodec>,
    log: &Logger,
) -> Result<()> {
    let app = App::start(cfg, store, runner, codec, log)?;
    host::wait_for_stop_with(|| {
        info!(
            log,
            "companion: SIGHUP ignored: listening addresses cannot be reloaded"
        )
    })?;
    app.stop();
    Ok(())
}
