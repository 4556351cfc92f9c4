//! An owner with a store and workers in memory, driven by hand.

#![allow(dead_code, reason = "each test file uses a part of the rig")]

use std::collections::VecDeque;

use base::prelude::*;
use fakes::store::MemStore;
use jobs::owner::{JOB_PREFIX, OWNER_KEY, PROGRESS_PREFIX, Question, VM_PREFIX};
use jobs::report::{
    EndKind, EndRow, Listing, Rejected, RunningRow, StartOrder, SyncReply, SyncReport, WorkerReport,
};
use jobs::{Ask, Effect, JobSpec, Owner, OwnerCfg, RouteTerms, StageSpec, TaskRun, Token, Told};
use ports::store::{Expect, KeyWrite, Revision, StoreCall, StoreReply};
use slog::{Logger, o};

pub const WORKER_LEASE: Duration = Duration::from_secs(4);
pub const GRACE: Duration = Duration::from_secs(5);
pub const ROUTE: &str = "checks";
pub const POOL: &str = "desk";

/// How the store answers the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// Carries out nothing and answers with an error.
    Away,
    /// Carries out each call and loses the answer.
    LosesAnswers,
}

/// A worker and its companion.
#[derive(Clone, Debug)]
pub struct Vm {
    pub name: Name,
    pub boot: u64,
    pub born: u64,
    pub number: u64,
    pub epoch: Epoch,
    pub fence: u64,
    pub is_settled: bool,
    pub draining: bool,
    pub is_silent: bool,
    /// Whether it does nothing that it is told.
    pub is_deaf: bool,
    pub capacity: Resources,
    pub labels: Vec<Name>,
    pub running: Vec<RunningRow>,
    pub ends: Vec<EndRow>,
    pub rejected: Vec<Rejected>,
    pub open: Vec<TaskRun>,
    pub stored_ends: u64,
    pub paces: IndexMap<TaskRun, u32>,
    /// The tickets that starts carried.
    pub tickets: IndexMap<TaskRun, Name>,
    pub last: SyncReply,
}

pub struct Rig {
    pub now: Instant,
    pub unix_ms: u64,
    pub store: MemStore,
    pub mode: StoreMode,
    pub owner: Owner,
    pub revision: Revision,
    pub told: IndexMap<u64, Told>,
    /// The VMs whose reports wait, by token.
    pub reporting: IndexMap<u64, Name>,
    pub looked: Vec<JobId>,
    /// What the advisor was asked.
    pub questions: Vec<Question>,
    pub deposed: Option<&'static str>,
    pub vms: IndexMap<Name, Vm>,
    pub transactions: usize,
    next: u64,
}

impl Rig {
    pub fn new() -> Self {
        let now = Instant::now();
        let mut store = MemStore::new();
        let (owner, revision) = elect(&mut store, now, 1);
        Self {
            now,
            unix_ms: 1_000_000,
            store,
            mode: StoreMode::Up,
            owner,
            revision,
            told: IndexMap::new(),
            reporting: IndexMap::new(),
            looked: Vec::new(),
            questions: Vec::new(),
            deposed: None,
            vms: IndexMap::new(),
            transactions: 0,
            next: 0,
        }
    }

    /// Lets the next epoch's owner take over; workers go on.
    pub fn take_over(&mut self) {
        let epoch = self.owner.epoch().0 + 1;
        self.reporting.clear();
        (self.owner, self.revision) = elect(&mut self.store, self.now, epoch);
    }

    pub fn add_vm(&mut self, name: &str, cores: u64) {
        let vm = Vm {
            name: name.into(),
            boot: 1,
            born: 1,
            number: 0,
            epoch: Epoch(0),
            fence: 0,
            is_settled: true,
            draining: false,
            is_silent: false,
            is_deaf: false,
            capacity: Resources::new(cores, cores * 4096, 0),
            labels: Vec::new(),
            running: Vec::new(),
            ends: Vec::new(),
            rejected: Vec::new(),
            open: Vec::new(),
            stored_ends: 0,
            paces: IndexMap::new(),
            tickets: IndexMap::new(),
            last: SyncReply::default(),
        };
        self.vms.insert(name.into(), vm);
    }

    pub fn vm(&mut self, name: &str) -> &mut Vm {
        self.vms.get_mut(name).expect("the VM was added")
    }

    pub fn advance(&mut self, by: Duration) {
        self.now += by;
        self.unix_ms += u64::try_from(by.as_millis()).expect("short");
    }

    pub fn ask(&mut self, ask: Ask) -> u64 {
        self.next += 1;
        let token = self.next;
        self.owner.ask(self.now, self.unix_ms, Token(token), ask);
        self.settle();
        token
    }

    pub fn submit(&mut self, id: &str, spec: JobSpec) -> u64 {
        self.submit_under(id, spec, terms(0))
    }

    pub fn submit_under(&mut self, id: &str, spec: JobSpec, terms: RouteTerms) -> u64 {
        self.ask(Ask::Submit {
            job: id.into(),
            spec: Box::new(spec),
            terms: Box::new(terms),
        })
    }

    pub fn status(&mut self, id: &str) -> Option<Told> {
        let token = self.ask(Ask::Status {
            job: id.into(),
            route: ROUTE.into(),
        });
        self.told.get(&token).cloned()
    }

    pub fn cancel(&mut self, id: &str) -> u64 {
        self.ask(Ask::Cancel {
            job: id.into(),
            route: ROUTE.into(),
        })
    }

    /// Runs the owner until it has nothing to do at this time.
    pub fn settle(&mut self) {
        let mut replies: VecDeque<(u64, Result<StoreReply>)> = VecDeque::new();
        loop {
            for effect in self.owner.run(self.now, self.unix_ms) {
                match effect {
                    Effect::Tell(token, told) => {
                        self.told.insert(token.0, told);
                    }
                    Effect::Sync(token, reply) => {
                        let name = self.reporting.swap_remove(&token.0);
                        let name = name.expect("a report is answered once");
                        self.vm(&name).carry_out(*reply);
                    }
                    Effect::Store(id, call) => replies.push_back((id, self.make(&call))),
                    Effect::Look(_, job) => self.looked.push(job),
                    Effect::Advise(question) => self.questions.push(question),
                    Effect::StepDown(why) => self.deposed = Some(why),
                }
            }
            let Some((id, reply)) = replies.pop_front() else {
                return;
            };
            self.owner.store_reply(self.now, id, reply);
        }
    }

    fn make(&mut self, call: &StoreCall) -> Result<StoreReply> {
        self.transactions += 1;
        let lost = || Error::new(ErrorKind::Timeout, "txn", "store", "no answer");
        match self.mode {
            StoreMode::Up => self.store.call(self.now, call),
            StoreMode::Away => Err(lost()),
            StoreMode::LosesAnswers => {
                self.store.call(self.now, call)?;
                Err(lost())
            }
        }
    }

    /// Sends a report of a VM; its answer is carried out once it comes.
    pub fn sync(&mut self, name: &str) {
        self.next += 1;
        let token = self.next;
        let clock_ms = self.unix_ms;
        let vm = self.vm(name);
        vm.number += 1;
        for row in &mut vm.running {
            row.percent += 0.1;
        }
        let report = vm.report(clock_ms);
        self.reporting.insert(token, name.into());
        self.owner
            .sync(self.now, self.unix_ms, Token(token), report);
        self.settle();
    }

    /// Syncs all VMs until nothing more is ordered.
    pub fn sync_all(&mut self) {
        let names: Vec<Name> = self.vms.keys().cloned().collect();
        for _ in 0..4 {
            for name in &names {
                self.sync(name);
            }
        }
    }

    /// Lets time pass while only some VMs report.
    pub fn pass(&mut self, time: Duration, names: &[&str]) {
        let step = Duration::from_millis(250);
        for _ in 0..time.as_millis() / step.as_millis() {
            self.advance(step);
            for name in names {
                self.sync(name);
            }
        }
    }

    /// Lets every run that goes on end in a way, and tells the owner.
    pub fn end_all(&mut self, how: EndKind) {
        for vm in self.vms.values_mut() {
            let runs: Vec<TaskRun> = vm.running.iter().map(|r| r.run.clone()).collect();
            for run in runs {
                vm.end(&run, how);
            }
        }
        self.sync_all();
    }

    /// Returns all runs that go on, by VM.
    pub fn running(&self) -> Vec<(Name, TaskRun)> {
        let rows = self.vms.iter().flat_map(|(name, vm)| {
            let rows = vm.running.iter();
            rows.map(|r| (Arc::clone(name), r.run.clone()))
        });
        rows.collect()
    }

    pub fn stored(&mut self, prefix: &str) -> usize {
        let call = StoreCall::List {
            prefix: prefix.into(),
            after: None,
            limit: usize::MAX,
        };
        match self.store.call(self.now, &call) {
            Ok(StoreReply::Listed(items)) => items.len(),
            other => panic!("expected a list, got {other:?}"),
        }
    }
}

impl Vm {
    fn report(&self, clock_ms: u64) -> SyncReport {
        let ends = self.ends.iter().filter(|e| e.number > self.stored_ends);
        let listing = (self.fence > 0).then(|| Listing {
            fence: self.fence,
            clock_ms,
            is_settled: self.is_settled,
            running: self.running.clone(),
            ends: ends.cloned().collect(),
        });
        SyncReport {
            vm: Arc::clone(&self.name),
            boot: self.boot,
            number: self.number,
            epoch: self.epoch,
            worker: Some(WorkerReport {
                id: WorkerId::new(Arc::clone(&self.name)),
                born: Incarnation(self.born),
                pool: POOL.into(),
                zone: "north".into(),
                labels: self.labels.clone(),
                capacity: self.capacity,
                draining_ms: self.draining.then_some(1000),
                is_gone: false,
                is_silent: self.is_silent,
                listing,
                open: self.open.clone(),
                rejected: self.rejected.clone(),
            }),
        }
    }

    /// Does what the owner answered, as a companion and its worker would.
    pub fn carry_out(&mut self, reply: SyncReply) {
        if reply.is_owner && reply.born.0 == self.born && !self.is_deaf {
            self.epoch = self.epoch.max(reply.epoch);
            self.fence = self.fence.max(reply.fence);
            self.stored_ends = self.stored_ends.max(reply.stored_ends);
            self.rejected.clear();
            for order in &reply.starts {
                self.start(order);
            }
            self.paces.extend(reply.paces.iter().cloned());
            for run in &reply.stops {
                self.end(run, EndKind::Stopped);
            }
        }
        self.last = reply;
    }

    fn start(&mut self, order: &StartOrder) {
        let is_known = self.running.iter().any(|r| r.run == order.run)
            || self.ends.iter().any(|e| e.run == order.run);
        if let Some(ticket) = &order.ticket {
            self.tickets.insert(order.run.clone(), Arc::clone(ticket));
        }
        if !is_known {
            self.running.push(RunningRow {
                run: order.run.clone(),
                checkpoint: order.checkpoint.clone(),
                percent: 1.0,
                gauge: 0.0,
            });
        }
    }

    pub fn end(&mut self, run: &TaskRun, how: EndKind) {
        let Some(at) = self.running.iter().position(|r| r.run == *run) else {
            return;
        };
        let row = self.running.remove(at);
        let number = self.ends.last().map_or(0, |e| e.number) + 1;
        self.ends.push(EndRow {
            number,
            run: row.run,
            how,
            checkpoint: row.checkpoint,
        });
    }

    /// Loses all, as a crash and a new start would; the id stays.
    pub fn restart(&mut self) {
        self.born += 1;
        self.fence = 0;
        self.running.clear();
        self.ends.clear();
        self.open.clear();
        self.stored_ends = 0;
    }
}

fn elect(store: &mut MemStore, now: Instant, epoch: u64) -> (Owner, Revision) {
    let write = StoreCall::Txn {
        expected: Vec::new(),
        writes: vec![KeyWrite {
            key: OWNER_KEY.into(),
            value: epoch.to_string().into_bytes().into(),
            lease: None,
        }],
        deletes: Vec::new(),
    };
    let Ok(StoreReply::Done { revision }) = store.call(now, &write) else {
        panic!("the owner's key can be written");
    };
    let cfg = OwnerCfg {
        epoch: Epoch(epoch),
        owner_key: OWNER_KEY.into(),
        owner_revision: revision,
        worker_lease: WORKER_LEASE,
        predecessor_grace: GRACE,
        retention: Duration::from_secs(120),
    };
    let mut owner = Owner::new(cfg, Logger::root(slog::Discard, o!()));
    let mut list = |prefix: &str| {
        let call = StoreCall::List {
            prefix: prefix.into(),
            after: None,
            limit: usize::MAX,
        };
        match store.call(now, &call) {
            Ok(StoreReply::Listed(items)) => items,
            other => panic!("expected a list, got {other:?}"),
        }
    };
    let (jobs, progress, vms) = (list(JOB_PREFIX), list(PROGRESS_PREFIX), list(VM_PREFIX));
    owner.load(now, &jobs, &progress, &vms);
    (owner, revision)
}

pub fn terms(priority: u32) -> RouteTerms {
    RouteTerms {
        route: ROUTE.into(),
        pool: POOL.into(),
        priority,
        attempts: 3,
        stretch: 2.0,
        slack_ms: 500,
        advice: None,
    }
}

pub fn stage(tasks: u32, cores: u64) -> StageSpec {
    StageSpec {
        tasks,
        room: Resources::new(cores, 100, 0),
        estimate_ms: 1000,
        ..StageSpec::default()
    }
}

pub fn job(stages: Vec<StageSpec>) -> JobSpec {
    JobSpec {
        payload: "payload".into(),
        stages,
        schedule: None,
    }
}

pub fn write_owner_key(rig: &mut Rig) {
    let call = StoreCall::Txn {
        expected: vec![(OWNER_KEY.into(), Expect::Revision(rig.revision))],
        writes: vec![KeyWrite {
            key: OWNER_KEY.into(),
            value: b"another".to_vec().into(),
            lease: None,
        }],
        deletes: Vec::new(),
    };
    rig.store.call(rig.now, &call).expect("the key is written");
}
