//! An entry: the actor itself, with a clock that may be suspended.

use base::ManualClock;
use base::prelude::*;
use controller::{ElectorCfg, Event, Node, NodeCfg, OwnerRecord, Ports, StoreToken};
use host::Actors;
use jobs::owner::{AdviceRequest, Replacement};
use jobs::report::SyncReply;
use jobs::{JobReply, JobRequest};
use parking_lot::Mutex;
use ports::store::StoreCall;
use report::OperationMetrics;
use slog::{Logger, o};
use wire::Responder;

pub const WORKER_LEASE: Duration = Duration::from_millis(4500);
const OWNER_LEASE: Duration = Duration::from_secs(2);
const OUTAGE_GRACE: Duration = Duration::from_secs(3);

/// What an entry sends.
#[derive(Debug)]
pub enum Output {
    Store(StoreToken, StoreCall),
    Forward(Name, JobRequest, Responder<JobReply>),
    Replaced(Name, Replacement),
    /// The reply to a VM's report, which its companion's process and a number identify.
    Sync(usize, (u64, u64), Box<SyncReply>),
}

/// What an entry has sent, until it is on its way.
#[derive(Clone, Debug, Default)]
pub struct Outbox(Arc<Mutex<Vec<Output>>>);

impl Outbox {
    pub fn push(&self, output: Output) {
        self.0.lock().push(output);
    }
}

impl Ports for Outbox {
    fn store(&self, token: StoreToken, call: StoreCall) {
        self.push(Output::Store(token, call));
    }

    fn forward(&self, to: &OwnerRecord, request: JobRequest, responder: Responder<JobReply>) {
        self.push(Output::Forward(Arc::clone(&to.name), request, responder));
    }

    fn advise(&self, _: AdviceRequest) {}

    fn notify_replaced(&self, previous: &OwnerRecord, by: Replacement) {
        self.push(Output::Replaced(Arc::clone(&previous.name), by));
    }
}

/// How an entry is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspension {
    /// Its process is stopped; the clocks go on.
    Process,
    /// Its VM is suspended; the monotonic clock stands still.
    Vm,
}

pub struct Entry {
    pub outbox: Outbox,
    /// The store calls without a reply.
    pub calls: IndexMap<u64, StoreToken>,
    pub clock: Arc<ManualClock>,
    node: Node,
    suspended: Option<(Duration, Suspension)>,
    /// What has arrived while it was suspended.
    inbox: Vec<Event>,
}

impl Entry {
    pub fn new(name: &str, port: u16, seed: u64) -> Self {
        let clock = Arc::new(ManualClock::new());
        let outbox = Outbox::default();
        let cfg = NodeCfg {
            elector: ElectorCfg {
                me: OwnerRecord {
                    name: name.into(),
                    addr: ([127, 0, 0, 1], port).into(),
                    epoch: Epoch(0),
                    nonce: Nonce(0),
                },
                lease: OWNER_LEASE,
                outage_grace: OUTAGE_GRACE,
                claim_delay: Duration::ZERO,
            },
            worker_lease: WORKER_LEASE,
            retention: Duration::from_secs(120),
            cordon: None,
        };
        let node = Node::new(
            cfg,
            Arc::clone(&clock) as Arc<dyn Clock>,
            Arc::new(outbox.clone()) as Arc<dyn Ports>,
            Arc::new(OperationMetrics::new()),
            Logger::root(slog::Discard, o!()),
            seed,
        );
        Self {
            outbox,
            calls: IndexMap::new(),
            clock,
            node,
            suspended: None,
            inbox: Vec::new(),
        }
    }

    pub fn deliver(&mut self, event: Event) {
        self.inbox.push(event);
    }

    /// Suspends the entry between its decisions and their way to others.
    pub fn suspend(&mut self, until: Duration, suspension: Suspension) {
        self.suspended.get_or_insert((until, suspension));
    }

    /// Advances the clock by a step to `now` and acts; timers come before what has arrived if
    /// `is_late`.
    pub fn step(&mut self, now: Duration, step: Duration, is_late: bool) {
        match self.suspended {
            Some((_, Suspension::Vm)) => self.clock.suspend(step),
            _ => self.clock.advance(step),
        }
        if self.suspended.is_some_and(|(until, _)| now < until) {
            return;
        }
        let was_suspended = self.suspended.take().is_some();
        if was_suspended && is_late {
            self.node.run(self.clock.now());
        }
        for event in self.inbox.drain(..) {
            self.node.deliver(event);
        }
        self.node.run(self.clock.now());
    }

    /// Takes what the entry has sent; nothing leaves it while it is suspended.
    pub fn take_output(&mut self) -> Vec<Output> {
        if self.suspended.is_some() {
            return Vec::new();
        }
        std::mem::take(&mut self.outbox.0.lock())
    }
}
