//! Entries, companions, workers and the store in one thread, with time and faults set by the test.

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
    Answer, Call, CallPort, CallToken, JobPhase, JobRef, JobSpec, JobStatus, Reply, SubmitReply,
};

/// How far time moves at once.
const STEP: Duration = Duration::from_millis(20);

pub const SECOND: Duration = Duration::from_secs(1);

/// How long an owner may keep tasks in an outage, by the tables below.
pub const GRACE: Duration = Duration::from_secs(600);

/// Collects what a process asks of one of its ports.
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

/// A control call on its way.
#[derive(Debug)]
struct Sent {
    to: SocketAddr,
    token: CallToken,
    timeout: Duration,
    call: Call,
}

impl CallPort for Outbox<Sent> {
    fn submit(&self, to: SocketAddr, token: CallToken, timeout: Duration, call: Call) {
        self.push(Sent {
            to,
            token,
            timeout,
            call,
        });
    }
}

type ToWorker = (u64, WorkerCall, Option<Instant>);

impl companion::WorkerPort for Outbox<ToWorker> {
    fn submit(&self, id: u64, call: WorkerCall) {
        self.push((id, call, None));
    }

    fn submit_until(&self, id: u64, call: WorkerCall, until: Instant) {
        self.push((id, call, Some(until)));
    }
}

/// A process by its kind and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Entry(usize),
    Companion(usize),
}

/// A call that awaits its answer.
#[derive(Debug)]
struct Awaited {
    from: Who,
    life: u64,
    token: CallToken,
    until: Instant,
    answer: Arc<Mutex<Option<Answer>>>,
}

/// A running process with its ports.
struct Process<N, L> {
    node: N,
    life: u64,
    calls: Arc<Outbox<Sent>>,
    local: Arc<Outbox<L>>,
}

pub struct Entry {
    process: Option<Process<entry::Node, (StoreToken, StoreCall)>>,
    pub has_store: bool,
    /// A paused process does nothing; what reaches it waits.
    pub is_paused: bool,
}

pub struct Vm {
    process: Option<Process<companion::Node, ToWorker>>,
    pub worker: MemWorker,
    /// Whether the companion reaches entries.
    pub has_network: bool,
    /// The only entry that the companion reaches, where it does not reach all.
    pub reaches_only: Option<usize>,
    pub is_paused: bool,
}

pub struct World {
    clock: Arc<ManualClock>,
    pub store: MemStore,
    pub entries: Vec<Entry>,
    pub vms: Vec<Vm>,
    awaited: Vec<Awaited>,
    lives: u64,
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

impl World {
    pub fn new(entries: usize, vms: usize) -> Self {
        Promise::panic_on_breach();
        let clock = Arc::new(ManualClock::new());
        let mut world = Self {
            store: MemStore::new(),
            entries: Vec::new(),
            vms: Vec::new(),
            awaited: Vec::new(),
            lives: 0,
            writes: 0,
            clock,
        };
        world.put_tables(entries);
        for at in 0..entries {
            world.entries.push(Entry {
                process: None,
                has_store: true,
                is_paused: false,
            });
            world.start_entry(at);
        }
        for at in 0..vms {
            world.vms.push(Vm {
                process: None,
                worker: MemWorker::new(WorkerSettings::default(), world.now()),
                has_network: true,
                reaches_only: None,
                is_paused: false,
            });
            world.start_companion(at);
        }
        world
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
        self.lives += 1;
        let calls = Arc::new(Outbox::default());
        let local = Arc::new(Outbox::default());
        let cfg = EntryCfg {
            entry: format!("entry-{at}-{}", self.lives).into(),
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
        let node = entry::Node::new(&Arc::new(cfg), &ports, self.now(), self.lives);
        self.entries[at].process = Some(Process {
            node,
            life: self.lives,
            calls,
            local,
        });
    }

    pub fn start_companion(&mut self, at: usize) {
        self.lives += 1;
        let calls = Arc::new(Outbox::default());
        let local = Arc::new(Outbox::default());
        let cfg = CompanionCfg {
            target: format!("vm-{at}").into(),
            worker: format!("vm-{at}").into(),
            incarnation: Incarnation(self.lives),
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
        let node = companion::Node::new(&Arc::new(cfg), &ports, self.now(), self.lives);
        self.vms[at].process = Some(Process {
            node,
            life: self.lives,
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

    /// Loses a VM with its companion and all that ran on it.
    pub fn lose_vm(&mut self, at: usize) {
        let now = self.now();
        self.kill_companion(at);
        self.vms[at].worker.lose_all(now);
    }

    pub fn set_store(&mut self, is_up: bool) {
        self.entries.iter_mut().for_each(|e| e.has_store = is_up);
    }

    /// Lets a time pass.
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
        // A call may lead to another at once; a few rounds settle what is due.
        for _ in 0..4 {
            self.run_processes(now);
            self.serve_store(now);
            self.serve_workers(now);
            self.route_calls(now);
            self.return_answers(now);
        }
        self.assert_one_place();
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
            sent.extend(p.map(|p| (Who::Entry(at), p.life, p.calls.take())));
        }
        for (at, vm) in self.vms.iter().enumerate() {
            let p = vm.process.as_ref().filter(|_| !vm.is_paused);
            sent.extend(p.map(|p| (Who::Companion(at), p.life, p.calls.take())));
        }
        for (from, life, calls) in sent {
            for sent in calls {
                self.route(now, from, life, sent);
            }
        }
    }

    fn route(&mut self, now: Instant, from: Who, life: u64, sent: Sent) {
        let answer = Arc::new(Mutex::new(None));
        self.awaited.push(Awaited {
            from,
            life,
            token: sent.token,
            until: now + sent.timeout,
            answer: Arc::clone(&answer),
        });
        let is_cut = matches!(from, Who::Companion(at) if !self.vms[at].has_network);
        let to = (0..self.entries.len()).find(|at| entry_addr(*at) == sent.to);
        let only = match from {
            Who::Companion(at) => self.vms[at].reaches_only,
            Who::Entry(_) => None,
        };
        let is_cut = is_cut || only.is_some_and(|only| to != Some(only));
        let Some(to) = to.filter(|_| !is_cut) else {
            return;
        };
        if let Some(p) = &mut self.entries[to].process {
            p.node.deliver(event_of(sent.call, answer));
        }
    }

    fn return_answers(&mut self, now: Instant) {
        for awaited in std::mem::take(&mut self.awaited) {
            if self.is_paused(awaited.from) {
                self.awaited.push(awaited);
                continue;
            }
            let answer = awaited.answer.lock().unwrap().take();
            let is_cut = matches!(awaited.from, Who::Companion(at) if !self.vms[at].has_network);
            match answer.filter(|_| !is_cut) {
                Some(answer) => self.give(&awaited, Ok(answer)),
                None if now >= awaited.until => self.give(&awaited, Err(unreachable("peer"))),
                None => self.awaited.push(awaited),
            }
        }
    }

    fn is_paused(&self, who: Who) -> bool {
        match who {
            Who::Entry(at) => self.entries[at].is_paused,
            Who::Companion(at) => self.vms[at].is_paused,
        }
    }

    fn give(&mut self, awaited: &Awaited, answer: Result<Answer>) {
        let (life, token) = (awaited.life, awaited.token);
        match awaited.from {
            Who::Entry(at) => {
                if let Some(p) = self.entries[at].process.as_mut().filter(|p| p.life == life) {
                    p.node.deliver(entry::Event::Call(token, answer));
                }
            }
            Who::Companion(at) => {
                if let Some(p) = self.vms[at].process.as_mut().filter(|p| p.life == life) {
                    p.node.deliver(companion::Event::Call(token, answer));
                }
            }
        }
    }

    /// Asserts that no job has two attempts running at this moment.
    fn assert_one_place(&self) {
        let mut running: IndexMap<JobId, String> = IndexMap::new();
        for (at, vm) in self.vms.iter().enumerate() {
            for run in vm.worker.record().runs.iter().filter(|r| r.end.is_none()) {
                let place = format!("{} on vm-{at}", run.key);
                let other = running.insert(run.key.job.clone(), place.clone());
                assert!(other.is_none(), "{place} and {other:?}");
            }
        }
    }

    /// Submits a job through an entry and lets a second pass; `None` without an answer.
    pub fn submit(&mut self, at: usize, job: JobSpec) -> Option<SubmitReply> {
        self.ask(at, |reply| AdminEvent::Submit(Box::new(job), reply))
    }

    pub fn status(&mut self, at: usize, job: &str) -> Option<JobStatus> {
        self.ask_status(at, job).flatten()
    }

    /// Returns what is told of a job; the outer `None` is no answer.
    pub fn ask_status(&mut self, at: usize, job: &str) -> Option<Option<JobStatus>> {
        self.ask(at, |reply| {
            AdminEvent::Job("proofs".into(), key(job), reply)
        })
    }

    /// Returns what an entry tells operators of its shards.
    pub fn shards(&mut self, at: usize) -> Vec<ShardStatus> {
        let view = self.ask_now(at, AdminEvent::Shards);
        view.map(|view| view.shards).unwrap_or_default()
    }

    /// Returns where a job stands by the word of any entry, without letting time pass.
    pub fn peek(&mut self, job: &str) -> Option<JobPhase> {
        (0..self.entries.len()).find_map(|at| {
            let status = self.ask_now(at, |reply| {
                AdminEvent::Job("proofs".into(), key(job), reply)
            });
            Some(status.flatten()?.phase)
        })
    }

    pub fn cancel(&mut self, at: usize, jobs: Vec<JobRef>) -> Option<Vec<JobStatus>> {
        self.ask(at, |reply| AdminEvent::Cancel("proofs".into(), jobs, reply))
    }

    /// Asks an entry, which answers at once or not at all.
    fn ask_now<T: Send + 'static>(
        &mut self,
        at: usize,
        event: impl FnOnce(Reply<T>) -> AdminEvent,
    ) -> Option<T> {
        let now = self.now();
        let answer = Arc::new(Mutex::new(None));
        let sink = Arc::clone(&answer);
        let reply = Reply::new(move |t| *sink.lock().unwrap() = Some(t));
        let p = self.entries[at].process.as_mut()?;
        p.node.deliver(entry::Event::Admin(event(reply)));
        p.node.run(now);
        answer.lock().unwrap().take()
    }

    fn ask<T: Send + 'static>(
        &mut self,
        at: usize,
        event: impl FnOnce(Reply<T>) -> AdminEvent,
    ) -> Option<T> {
        let answer = Arc::new(Mutex::new(None));
        let sink = Arc::clone(&answer);
        let reply = Reply::new(move |t| *sink.lock().unwrap() = Some(t));
        let p = self.entries[at].process.as_mut()?;
        p.node.deliver(entry::Event::Admin(event(reply)));
        self.run(SECOND);
        answer.lock().unwrap().take()
    }

    /// Returns how many attempts ran or run, over all workers.
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

    /// Returns the jobs that took effect, with how often.
    pub fn effects(&self) -> IndexMap<JobId, usize> {
        let mut effects = IndexMap::new();
        for effect in self.vms.iter().flat_map(|vm| &vm.worker.record().effects) {
            *effects.entry(effect.key.job.clone()).or_default() += 1;
        }
        effects
    }

    /// Returns the entry that owns the shard by the store's word.
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

type Slot = Arc<Mutex<Option<Answer>>>;

fn event_of(call: Call, slot: Slot) -> entry::Event {
    match call {
        Call::Announce(msg) => {
            entry::Event::Announce(msg, into(slot, |a| Answer::Announce(Box::new(a))))
        }
        Call::Poll(msg) => entry::Event::Poll(msg, into(slot, |a| Answer::Poll(Box::new(a)))),
        Call::Done(msg) => entry::Event::Done(msg, into(slot, Answer::Done)),
        Call::Gossip(msg) => entry::Event::Gossip(msg, into(slot, |a| Answer::Gossip(Box::new(a)))),
        Call::Submit(shard, job) => entry::Event::Submit(shard, job, into(slot, Answer::Submit)),
        Call::Job(shard, job) => entry::Event::Job(shard, job, into(slot, Answer::Job)),
        Call::Cancel(shard, jobs) => entry::Event::Cancel(shard, jobs, into(slot, Answer::Cancel)),
        Call::Claim(shard, claim, old) => {
            entry::Event::Claim(shard, claim, old, into(slot, Answer::Claim))
        }
        other => unimplemented!("{other:?} is not called here"),
    }
}

fn into<T>(slot: Slot, wrap: impl FnOnce(T) -> Answer + Send + 'static) -> Reply<T> {
    Reply::new(move |answer| *slot.lock().unwrap() = Some(wrap(answer)))
}
