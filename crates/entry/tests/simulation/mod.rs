//! A simulation of entries, companions, workers and the store in one thread, with virtual time
//! and injected faults.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Mutex;

use base::ManualClock;
use base::prelude::*;
use companion::CompanionCfg;
use entry::{AdminEvent, EntryCfg, StorePort, StorePriority, StoreToken};
use fakes::store::MemStore;
use fakes::worker::{MemWorker, WorkerSettings};
use ports::store::{Expect, StoreCall};
use ports::worker::{WorkerCall, WorkerReply};
use slog::{Discard, Logger, o};
use tables::{Priority, TablesDoc};
use wire::operator::ShardStatus;
use wire::{
    Call, CallPort, CallResponse, CallToken, JobPhase, JobRef, JobSpec, JobStatus, Responder,
    SubmitReply,
};

/// How far time advances per step.
const STEP: Duration = Duration::from_millis(20);

pub const SECOND: Duration = Duration::from_secs(1);

/// The grace period for store outages, as set in the tables below.
pub const GRACE: Duration = Duration::from_secs(600);

/// Collects the calls that a process makes through one of its ports.
#[derive(Debug)]
struct Outbox<T>(Mutex<Vec<T>>);

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> Outbox<T> {
    fn push(&self, item: T) {
        self.0.lock().unwrap().push(item);
    }

    fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.0.lock().unwrap())
    }
}

impl StorePort for Outbox<(StoreToken, StoreCall)> {
    fn submit(&self, _priority: StorePriority, token: StoreToken, call: StoreCall) {
        self.push((token, call));
    }
}

/// A control call that has not been routed yet.
#[derive(Debug)]
struct SentCall {
    to: SocketAddr,
    token: CallToken,
    timeout: Duration,
    call: Call,
}

impl CallPort for Outbox<SentCall> {
    fn submit(&self, to: SocketAddr, token: CallToken, timeout: Duration, call: Call) {
        self.push(SentCall {
            to,
            token,
            timeout,
            call,
        });
    }
}

type WorkerRequest = (u64, WorkerCall, Option<Instant>);

impl companion::WorkerPort for Outbox<WorkerRequest> {
    fn submit(&self, id: u64, call: WorkerCall) {
        self.push((id, call, None));
    }

    fn submit_until(&self, id: u64, call: WorkerCall, until: Instant) {
        self.push((id, call, Some(until)));
    }
}

/// Identifies a process by its kind and index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRef {
    Entry(usize),
    Companion(usize),
}

/// A control call that waits for its response.
#[derive(Debug)]
struct PendingCall {
    from: ProcessRef,
    incarnation: u64,
    token: CallToken,
    until: Instant,
    response: Arc<Mutex<Option<CallResponse>>>,
}

/// A running process with its ports.
struct Process<N, L> {
    node: N,
    incarnation: u64,
    calls: Arc<Outbox<SentCall>>,
    local: Arc<Outbox<L>>,
}

pub struct Entry {
    process: Option<Process<entry::Node, (StoreToken, StoreCall)>>,
    pub has_store: bool,
    /// A paused process does nothing; events for it are queued.
    pub is_paused: bool,
}

pub struct Vm {
    process: Option<Process<companion::Node, WorkerRequest>>,
    pub worker: MemWorker,
    /// Whether the companion reaches entries.
    pub has_network: bool,
    /// The only entry that the companion reaches, where it does not reach all.
    pub reaches_only: Option<usize>,
    pub is_paused: bool,
}

pub struct Simulation {
    clock: Arc<ManualClock>,
    pub store: MemStore,
    pub entries: Vec<Entry>,
    pub vms: Vec<Vm>,
    pending_calls: Vec<PendingCall>,
    last_incarnation: u64,
    pub writes: u64,
}

fn entry_addr(at: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + at as u16).into()
}

fn companion_addr(at: usize) -> SocketAddr {
    ([127, 0, 0, 1], 2_000 + at as u16).into()
}

pub fn key(name: &str) -> JobRef {
    JobRef::Key("proofs".into(), name.into())
}

pub fn spec(name: &str, run_time: Duration) -> JobSpec {
    JobSpec {
        key: name.into(),
        route: "proof".into(),
        pool: "proofs".into(),
        team: "press".into(),
        class: "proof".into(),
        priority: Priority::Normal,
        resources: Resources::new(4, 1_024, 0),
        run_time: Some(run_time),
        finish_within: None,
        max_failures: 3,
        after: None,
        payload: "manuscript".into(),
    }
}

impl Simulation {
    pub fn new(entries: usize, vms: usize) -> Self {
        Promise::panic_on_breach();
        let clock = Arc::new(ManualClock::new());
        let mut sim = Self {
            store: MemStore::new(),
            entries: Vec::new(),
            vms: Vec::new(),
            pending_calls: Vec::new(),
            last_incarnation: 0,
            writes: 0,
            clock,
        };
        sim.put_tables(entries);
        for at in 0..entries {
            sim.entries.push(Entry {
                process: None,
                has_store: true,
                is_paused: false,
            });
            sim.start_entry(at);
        }
        for at in 0..vms {
            sim.vms.push(Vm {
                process: None,
                worker: MemWorker::new(WorkerSettings::default(), sim.now()),
                has_network: true,
                reaches_only: None,
                is_paused: false,
            });
            sim.start_companion(at);
        }
        sim
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    fn put_tables(&mut self, _entries: usize) {
        let pools = "[pools.proofs]\nworkers = [\"vm-*\"]\nzones = [\"viti-suva\"]\n\
            outage-grace = \"10m\"\n[pools.proofs.teams]\npress = 1.0\n";
        let routes = "[routes.proof]\npath = \"/proof\"\nkind = \"batch\"\npool = \"proofs\"\n\
            desk = \"vakaloloma\"\nteam = \"press\"\n\
            resources = { cores = 4, memory = \"1GiB\" }\nrun-time = \"20m\"\n";
        let doc = TablesDoc {
            version: TablesDoc::VERSION,
            generation: Generation(1),
            routes: routes.into(),
            pools: pools.into(),
            author: "test".into(),
            applied_at_ms: 0,
            comment: "".into(),
            nonce: Nonce(1),
        };
        doc.tables().unwrap();
        let call = StoreCall::Put {
            key: TablesDoc::KEY.into(),
            value: serde_json::to_vec(&doc).unwrap().into(),
            expect: Expect::Any,
            lease: None,
        };
        let now = self.now();
        self.store.call(now, &call).unwrap();
    }

    pub fn start_entry(&mut self, at: usize) {
        self.last_incarnation += 1;
        let calls = Arc::new(Outbox::default());
        let local = Arc::new(Outbox::default());
        let cfg = EntryCfg {
            entry: format!("entry-{at}-{}", self.last_incarnation).into(),
            zone: "viti-suva".into(),
            http_addr: ([127, 0, 0, 1], 3_000 + at as u16).into(),
            rpc_addr: entry_addr(at),
            store: ([127, 0, 0, 1], 1).into(),
            peers: Vec::new(),
            threads: 1,
        };
        let ports = entry::Ports {
            clock: Arc::clone(&self.clock) as Arc<dyn Clock>,
            store: Arc::clone(&local) as Arc<dyn StorePort>,
            calls: Arc::clone(&calls) as Arc<dyn CallPort>,
            log: Logger::root(Discard, o!()),
        };
        let node = entry::Node::new(&Arc::new(cfg), &ports, self.now(), self.last_incarnation);
        self.entries[at].process = Some(Process {
            node,
            incarnation: self.last_incarnation,
            calls,
            local,
        });
    }

    pub fn start_companion(&mut self, at: usize) {
        self.last_incarnation += 1;
        let calls = Arc::new(Outbox::default());
        let local = Arc::new(Outbox::default());
        let cfg = CompanionCfg {
            target: format!("vm-{at}").into(),
            worker: format!("vm-{at}").into(),
            incarnation: Incarnation(self.last_incarnation),
            zone: "viti-suva".into(),
            rack: format!("rack-{}", at / 3).into(),
            http_addr: ([127, 0, 0, 1], 4_000 + at as u16).into(),
            announce_http: None,
            rpc_addr: companion_addr(at),
            target_addr: ([127, 0, 0, 1], 1).into(),
            worker_addr: ([127, 0, 0, 1], 1).into(),
            entries: (0..self.entries.len()).map(entry_addr).collect(),
            slots: 8,
            connections: 64,
            capacity: Resources::new(64, 250 * 1_024, 0),
        };
        let ports = companion::Ports {
            clock: Arc::clone(&self.clock) as Arc<dyn Clock>,
            worker: Arc::clone(&local) as Arc<dyn companion::WorkerPort>,
            calls: Arc::clone(&calls) as Arc<dyn CallPort>,
            log: Logger::root(Discard, o!()),
        };
        let node = companion::Node::new(&Arc::new(cfg), &ports, self.now(), self.last_incarnation);
        self.vms[at].process = Some(Process {
            node,
            incarnation: self.last_incarnation,
            calls,
            local,
        });
    }

    pub fn kill_entry(&mut self, at: usize) {
        self.entries[at].process = None;
    }

    pub fn stop_entry(&mut self, at: usize) {
        if let Some(p) = &mut self.entries[at].process {
            p.node.deliver(entry::Event::Stop);
        }
    }

    pub fn kill_companion(&mut self, at: usize) {
        self.vms[at].process = None;
    }

    /// Begins the planned stop of a VM.
    pub fn drain(&mut self, at: usize) {
        if let Some(p) = &mut self.vms[at].process {
            p.node.deliver(companion::Event::Drain);
        }
    }

    /// Kills a VM with its companion and all its tasks.
    pub fn lose_vm(&mut self, at: usize) {
        let now = self.now();
        self.kill_companion(at);
        self.vms[at].worker.lose_all(now);
    }

    pub fn set_store(&mut self, is_up: bool) {
        self.entries.iter_mut().for_each(|e| e.has_store = is_up);
    }

    /// Advances the time step by step.
    pub fn run(&mut self, time: Duration) {
        let until = self.now() + time;
        while self.now() < until {
            self.clock.advance(STEP);
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now();
        for vm in &mut self.vms {
            vm.worker.advance(now);
        }
        // A call may trigger others at once; four rounds let such chains complete in one step.
        for _ in 0..4 {
            self.run_processes(now);
            self.serve_store(now);
            self.serve_workers(now);
            self.route_calls(now);
            self.return_responses(now);
        }
        self.assert_no_concurrent_attempts();
    }

    fn run_processes(&mut self, now: Instant) {
        for entry in self.entries.iter_mut().filter(|e| !e.is_paused) {
            if let Some(p) = &mut entry.process {
                p.node.run(now);
            }
        }
        for vm in self.vms.iter_mut().filter(|vm| !vm.is_paused) {
            if let Some(p) = &mut vm.process {
                p.node.run(now);
            }
        }
    }

    fn serve_store(&mut self, now: Instant) {
        for entry in self.entries.iter_mut().filter(|e| !e.is_paused) {
            let Some(p) = &mut entry.process else {
                continue;
            };
            for (token, call) in p.local.take() {
                self.writes += u64::from(call.is_write());
                let reply = if entry.has_store {
                    self.store.call(now, &call)
                } else {
                    Err(unreachable("store"))
                };
                p.node.deliver(entry::Event::Store(token, reply));
            }
        }
    }

    fn serve_workers(&mut self, now: Instant) {
        for vm in self.vms.iter_mut().filter(|vm| !vm.is_paused) {
            let Some(p) = &mut vm.process else { continue };
            for (id, call, until) in p.local.take() {
                let reply: Result<WorkerReply> = companion::call_in_time(call, until, now)
                    .and_then(|call| vm.worker.call(now, &call));
                p.node.deliver(companion::Event::Worker(id, reply));
            }
        }
    }

    fn route_calls(&mut self, now: Instant) {
        let mut sent = Vec::new();
        for (at, entry) in self.entries.iter().enumerate() {
            let p = entry.process.as_ref().filter(|_| !entry.is_paused);
            sent.extend(p.map(|p| (ProcessRef::Entry(at), p.incarnation, p.calls.take())));
        }
        for (at, vm) in self.vms.iter().enumerate() {
            let p = vm.process.as_ref().filter(|_| !vm.is_paused);
            sent.extend(p.map(|p| (ProcessRef::Companion(at), p.incarnation, p.calls.take())));
        }
        for (from, incarnation, calls) in sent {
            for sent in calls {
                self.route(now, from, incarnation, sent);
            }
        }
    }

    fn route(&mut self, now: Instant, from: ProcessRef, incarnation: u64, sent: SentCall) {
        let response = Arc::new(Mutex::new(None));
        self.pending_calls.push(PendingCall {
            from,
            incarnation,
            token: sent.token,
            until: now + sent.timeout,
            response: Arc::clone(&response),
        });
        let is_partitioned = matches!(from, ProcessRef::Companion(at) if !self.vms[at].has_network);
        let to = (0..self.entries.len()).find(|at| entry_addr(*at) == sent.to);
        let only = match from {
            ProcessRef::Companion(at) => self.vms[at].reaches_only,
            ProcessRef::Entry(_) => None,
        };
        let is_partitioned = is_partitioned || only.is_some_and(|only| to != Some(only));
        let Some(to) = to.filter(|_| !is_partitioned) else {
            return;
        };
        if let Some(p) = &mut self.entries[to].process {
            p.node.deliver(entry_event(sent.call, response));
        }
    }

    fn return_responses(&mut self, now: Instant) {
        for pending in std::mem::take(&mut self.pending_calls) {
            if self.is_paused(pending.from) {
                self.pending_calls.push(pending);
                continue;
            }
            let response = pending.response.lock().unwrap().take();
            let is_partitioned =
                matches!(pending.from, ProcessRef::Companion(at) if !self.vms[at].has_network);
            match response.filter(|_| !is_partitioned) {
                Some(response) => self.deliver_response(&pending, Ok(response)),
                None if now >= pending.until => {
                    self.deliver_response(&pending, Err(unreachable("peer")))
                }
                None => self.pending_calls.push(pending),
            }
        }
    }

    fn is_paused(&self, who: ProcessRef) -> bool {
        match who {
            ProcessRef::Entry(at) => self.entries[at].is_paused,
            ProcessRef::Companion(at) => self.vms[at].is_paused,
        }
    }

    fn deliver_response(&mut self, pending: &PendingCall, response: Result<CallResponse>) {
        let (incarnation, token) = (pending.incarnation, pending.token);
        match pending.from {
            ProcessRef::Entry(at) => {
                if let Some(p) = self.entries[at]
                    .process
                    .as_mut()
                    .filter(|p| p.incarnation == incarnation)
                {
                    p.node.deliver(entry::Event::Call(token, response));
                }
            }
            ProcessRef::Companion(at) => {
                if let Some(p) = self.vms[at]
                    .process
                    .as_mut()
                    .filter(|p| p.incarnation == incarnation)
                {
                    p.node.deliver(companion::Event::Call(token, response));
                }
            }
        }
    }

    /// Asserts that no job has two attempts running at this moment.
    fn assert_no_concurrent_attempts(&self) {
        let mut running: IndexMap<JobId, String> = IndexMap::new();
        for (at, vm) in self.vms.iter().enumerate() {
            for run in vm.worker.record().runs.iter().filter(|r| r.end.is_none()) {
                let place = format!("{} on vm-{at}", run.key);
                let other = running.insert(run.key.job.clone(), place.clone());
                assert!(other.is_none(), "{place} and {other:?}");
            }
        }
    }

    /// Submits a job through an entry and runs for a second; returns `None` without a reply.
    pub fn submit(&mut self, at: usize, job: JobSpec) -> Option<SubmitReply> {
        self.admin_call(at, |reply| AdminEvent::Submit(Box::new(job), reply))
    }

    pub fn status(&mut self, at: usize, job: &str) -> Option<JobStatus> {
        self.query_status(at, job).flatten()
    }

    /// Returns a job's status; the outer `None` means that there was no reply.
    pub fn query_status(&mut self, at: usize, job: &str) -> Option<Option<JobStatus>> {
        self.admin_call(at, |reply| {
            AdminEvent::Job("proofs".into(), key(job), reply)
        })
    }

    /// Returns the status of an entry's shards, as shown to operators.
    pub fn shards(&mut self, at: usize) -> Vec<ShardStatus> {
        let view = self.admin_call_now(at, AdminEvent::Shards);
        view.map(|view| view.shards).unwrap_or_default()
    }

    /// Returns a job's phase from the first entry that knows the job, without advancing time.
    pub fn current_phase(&mut self, job: &str) -> Option<JobPhase> {
        (0..self.entries.len()).find_map(|at| {
            let status = self.admin_call_now(at, |reply| {
                AdminEvent::Job("proofs".into(), key(job), reply)
            });
            Some(status.flatten()?.phase)
        })
    }

    pub fn cancel(&mut self, at: usize, jobs: Vec<JobRef>) -> Option<Vec<JobStatus>> {
        self.admin_call(at, |reply| AdminEvent::Cancel("proofs".into(), jobs, reply))
    }

    /// Makes an admin call without advancing time; returns `None` without an immediate reply.
    fn admin_call_now<T: Send + 'static>(
        &mut self,
        at: usize,
        event: impl FnOnce(Responder<T>) -> AdminEvent,
    ) -> Option<T> {
        let now = self.now();
        let response = Arc::new(Mutex::new(None));
        let sink = Arc::clone(&response);
        let reply = Responder::new(move |t| *sink.lock().unwrap() = Some(t));
        let p = self.entries[at].process.as_mut()?;
        p.node.deliver(entry::Event::Admin(event(reply)));
        p.node.run(now);
        response.lock().unwrap().take()
    }

    fn admin_call<T: Send + 'static>(
        &mut self,
        at: usize,
        event: impl FnOnce(Responder<T>) -> AdminEvent,
    ) -> Option<T> {
        let response = Arc::new(Mutex::new(None));
        let sink = Arc::clone(&response);
        let reply = Responder::new(move |t| *sink.lock().unwrap() = Some(t));
        let p = self.entries[at].process.as_mut()?;
        p.node.deliver(entry::Event::Admin(event(reply)));
        self.run(SECOND);
        response.lock().unwrap().take()
    }

    /// Returns how many attempts have been started, over all workers.
    pub fn runs(&self) -> usize {
        self.vms
            .iter()
            .map(|vm| vm.worker.record().runs.len())
            .sum()
    }

    /// Returns how many tasks run now.
    pub fn running(&self) -> usize {
        let open = |vm: &Vm| {
            let runs = &vm.worker.record().runs;
            runs.iter().filter(|run| run.end.is_none()).count()
        };
        self.vms.iter().map(open).sum()
    }

    /// Returns how often each job took effect.
    pub fn effects(&self) -> IndexMap<JobId, usize> {
        let mut effects = IndexMap::new();
        for effect in self.vms.iter().flat_map(|vm| &vm.worker.record().effects) {
            *effects.entry(effect.key.job.clone()).or_default() += 1;
        }
        effects
    }

    /// Returns the entry that owns the shard, according to the store.
    pub fn owner(&mut self) -> Option<usize> {
        let call = StoreCall::List {
            prefix: journal::Keys::OWNERS.into(),
            after: None,
            limit: 1,
        };
        let now = self.now();
        let Ok(ports::store::StoreReply::Listed(found)) = self.store.call(now, &call) else {
            return None;
        };
        let value = journal::OwnerValue::decode(&found.first()?.value)?;
        (0..self.entries.len()).find(|at| entry_addr(*at) == value.rpc_addr)
    }
}

fn unreachable(peer: &'static str) -> Error {
    Error::new(ErrorKind::Timeout, "call", peer, "cut off")
}

type ResponseSlot = Arc<Mutex<Option<CallResponse>>>;

fn entry_event(call: Call, slot: ResponseSlot) -> entry::Event {
    match call {
        Call::Announce(msg) => entry::Event::Announce(
            msg,
            reply_into(slot, |a| CallResponse::Announce(Box::new(a))),
        ),
        Call::Poll(msg) => {
            entry::Event::Poll(msg, reply_into(slot, |a| CallResponse::Poll(Box::new(a))))
        }
        Call::Done(msg) => entry::Event::Done(msg, reply_into(slot, CallResponse::Done)),
        Call::Gossip(msg) => {
            entry::Event::Gossip(msg, reply_into(slot, |a| CallResponse::Gossip(Box::new(a))))
        }
        Call::Submit(shard, job) => {
            entry::Event::Submit(shard, job, reply_into(slot, CallResponse::Submit))
        }
        Call::Job(shard, job) => entry::Event::Job(shard, job, reply_into(slot, CallResponse::Job)),
        Call::Cancel(shard, jobs) => {
            entry::Event::Cancel(shard, jobs, reply_into(slot, CallResponse::Cancel))
        }
        Call::Claim(shard, claim, old) => {
            entry::Event::Claim(shard, claim, old, reply_into(slot, CallResponse::Claim))
        }
        other => unimplemented!("{other:?} is not called here"),
    }
}

fn reply_into<T>(
    slot: ResponseSlot,
    wrap: impl FnOnce(T) -> CallResponse + Send + 'static,
) -> Responder<T> {
    Responder::new(move |response| *slot.lock().unwrap() = Some(wrap(response)))
}
