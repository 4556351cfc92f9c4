//! A test harness: an owner with an in-memory store and simulated workers.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::collections::VecDeque;

use base::prelude::*;
use fakes::store::MemStore;
use fakes::timing::processor_time;
use jobs::owner::{
    AdviceRequest, JOB_PREFIX, OWNER_KEY, PROGRESS_PREFIX, TOMBSTONE_PREFIX, VM_PREFIX,
};
use jobs::report::{
    Crash, CrashedRun, EndKind, FinishedRun, RejectKind, Rejected, RunningRow, SharedStatus,
    StartOrder, SyncReply, SyncReport, WorkerReport, WorkerStatus,
};
use jobs::{
    Effect, JobReply, JobRequest, JobSpec, Owner, OwnerCfg, RouteRef, RouteTerms, StageSpec,
    TaskRun, Token,
};
use ports::store::{Expect, KeyWrite, Revision, StoreCall, StoreReply};
use slog::{Logger, o};

pub const WORKER_LEASE: Duration = Duration::from_secs(4);
pub const GRACE: Duration = Duration::from_secs(5);
pub const ROUTE: &str = "checks";
pub const POOL: &str = "desk";

/// The maximum number of finished runs that a worker lists at a time.
pub const MAX_LISTED_ENDS: usize = 500;

/// Who gets the reply to a report whose sender has ended.
const NOBODY: &str = "nobody";

/// How the store responds to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// Executes no call and responds with an error.
    Unavailable,
    /// Rejects each call: nothing was done.
    Rejects,
    /// Executes no call; the calls wait in [`Harness::unanswered`].
    Silent,
    /// Executes each call and loses the response.
    LosesResponses,
}

/// A worker and its companion.
#[derive(Clone, Debug)]
pub struct Vm {
    pub name: Name,
    /// The id of its worker.
    pub worker: WorkerId,
    pub boot: u64,
    pub incarnation: u64,
    pub number: u64,
    pub epoch: Epoch,
    pub fence: u64,
    pub is_settled: bool,
    pub draining: bool,
    pub is_gone: bool,
    pub is_unresponsive: bool,
    /// Whether the companion repeats its last status.
    pub has_stale_status: bool,
    /// The worker's clock in the last status.
    status_clock_ms: u64,
    /// Whether it ignores the owner's replies.
    pub ignores_orders: bool,
    pub capacity: Resources,
    pub labels: Vec<Name>,
    pub zone: ZoneName,
    pub running: Vec<RunningRow>,
    pub finished: Vec<FinishedRun>,
    pub rejected: Vec<Rejected>,
    /// Crashes that the owner has not recorded.
    pub crashes: Vec<Crash>,
    pub open: Vec<TaskRun>,
    /// Whether its starts stay open: the worker begins none.
    pub holds_starts: bool,
    /// Why its worker rejects all starts, if it does.
    pub rejects: Option<RejectKind>,
    /// Whether that is because it sheds load.
    pub is_shedding: bool,
    /// The runs that it was ordered to start.
    pub ordered: IndexSet<TaskRun>,
    pub stored_ends: u64,
    pub throttles: IndexMap<TaskRun, u32>,
    /// The tickets of the start orders.
    pub tickets: IndexMap<TaskRun, Name>,
    pub last_reply: SyncReply,
    /// The status that the owner is expected to hold.
    pub shared_status: SharedStatus,
    /// The size of the last report as JSON, in bytes.
    pub report_bytes: usize,
}

pub struct Harness {
    pub now: Instant,
    pub unix_ms: u64,
    pub store: MemStore,
    pub mode: StoreMode,
    pub owner: Owner,
    pub revision: Revision,
    pub replies: IndexMap<u64, JobReply>,
    /// The VMs whose reports wait for a reply, by token.
    pub reporting: IndexMap<u64, Name>,
    pub lookups: Vec<JobId>,
    /// The requests to the advisor.
    pub advice_requests: Vec<AdviceRequest>,
    pub step_down: Option<&'static str>,
    /// Whether the owner found its key missing.
    pub is_key_missing: bool,
    /// Whether the owner has asked for a proof that it owns the jobs.
    pub is_proof_requested: bool,
    /// Whether the owner can't read its key, so that another one may have been elected.
    pub is_unproved: bool,
    pub vms: IndexMap<Name, Vm>,
    pub transactions: usize,
    /// The bytes of all values in them.
    pub written_bytes: usize,
    /// The longest time that the owner has computed for one call, on this thread's processor clock.
    pub longest_call: Duration,
    /// The size of the largest reply to a report as JSON, in bytes.
    pub largest_reply: usize,
    /// Whether operators can cordon zones.
    cordon_bound: Option<Duration>,
    /// The calls that a silent store has not answered.
    pub unanswered: Vec<u64>,
    next: u64,
}

impl Harness {
    pub fn new() -> Self {
        Self::with_cordons(None)
    }

    /// Creates a harness with an idle worker of 16 cores.
    pub fn with_vm() -> Self {
        let mut harness = Self::new();
        harness.add_vm("vm", 16);
        harness.sync_all();
        harness
    }

    /// Creates a harness whose operators can cordon zones, with a bound on later starts there.
    pub fn with_cordons(cordon_bound: Option<Duration>) -> Self {
        let now = Instant::now();
        let mut store = MemStore::new();
        let (owner, revision) = elect(&mut store, now, 1, cordon_bound);
        Self {
            cordon_bound,
            now,
            unix_ms: 1_000_000,
            store,
            mode: StoreMode::Up,
            owner,
            revision,
            replies: IndexMap::new(),
            reporting: IndexMap::new(),
            lookups: Vec::new(),
            advice_requests: Vec::new(),
            step_down: None,
            is_key_missing: false,
            is_proof_requested: false,
            is_unproved: false,
            vms: IndexMap::new(),
            transactions: 0,
            written_bytes: 0,
            longest_call: Duration::ZERO,
            largest_reply: 0,
            unanswered: Vec::new(),
            next: 0,
        }
    }

    /// Replaces the owner by one of the next epoch; workers keep running.
    pub fn take_over(&mut self) {
        self.take_over_as(self.owner.epoch().0 + 1);
    }

    pub fn take_over_as(&mut self, epoch: u64) {
        self.reporting.clear();
        let began = processor_time();
        (self.owner, self.revision) = elect(&mut self.store, self.now, epoch, self.cordon_bound);
        self.record_call(began);
        for vm in self.vms.values_mut() {
            vm.shared_status.clear();
        }
    }

    pub fn add_vm(&mut self, name: &str, cores: u64) {
        let vm = Vm {
            name: name.into(),
            worker: WorkerId::from(name),
            boot: 1,
            incarnation: 1,
            number: 0,
            epoch: Epoch(0),
            fence: 0,
            is_settled: true,
            draining: false,
            is_gone: false,
            is_unresponsive: false,
            has_stale_status: false,
            status_clock_ms: 0,
            ignores_orders: false,
            capacity: Resources::new(cores, cores * 4096, 0),
            labels: Vec::new(),
            zone: "north".into(),
            running: Vec::new(),
            finished: Vec::new(),
            rejected: Vec::new(),
            crashes: Vec::new(),
            open: Vec::new(),
            holds_starts: false,
            rejects: None,
            is_shedding: false,
            ordered: IndexSet::new(),
            stored_ends: 0,
            throttles: IndexMap::new(),
            tickets: IndexMap::new(),
            last_reply: SyncReply::default(),
            shared_status: SharedStatus::default(),
            report_bytes: 0,
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

    pub fn request(&mut self, request: JobRequest) -> u64 {
        self.next += 1;
        let token = self.next;
        let began = processor_time();
        self.owner
            .handle_request(self.now, self.unix_ms, Token(token), request);
        self.record_call(began);
        self.settle();
        token
    }

    pub fn submit(&mut self, id: &str, spec: JobSpec) -> u64 {
        self.submit_under(id, spec, terms(0))
    }

    pub fn submit_under(&mut self, id: &str, spec: JobSpec, terms: RouteTerms) -> u64 {
        self.request(JobRequest::Submit {
            job: id.into(),
            address: route(terms.route.as_str()).address,
            spec: Box::new(spec),
            terms: Box::new(terms),
        })
    }

    /// Submits a job of one task to the route of a name and returns the reply.
    pub fn submit_on(&mut self, id: &str, name: &str) -> Option<JobReply> {
        let mut terms = terms(0);
        terms.route = name.into();
        let token = self.submit_under(id, job(vec![stage(1, 1)]), terms);
        self.sync_all();
        self.replies.get(&token).cloned()
    }

    pub fn status(&mut self, id: &str) -> Option<JobReply> {
        self.status_on(id, route(ROUTE))
    }

    pub fn status_on(&mut self, id: &str, route: RouteRef) -> Option<JobReply> {
        let job = id.into();
        let token = self.request(JobRequest::Status { job, route });
        self.replies.get(&token).cloned()
    }

    pub fn cancel(&mut self, id: &str) -> u64 {
        self.cancel_on(id, route(ROUTE))
    }

    pub fn cancel_on(&mut self, id: &str, route: RouteRef) -> u64 {
        let job = id.into();
        self.request(JobRequest::Cancel { job, route })
    }

    /// Runs the owner and its store calls until no effect is left at the current time.
    pub fn settle(&mut self) {
        let mut store_replies: VecDeque<(u64, Result<StoreReply>)> = VecDeque::new();
        loop {
            if !self.is_unproved {
                self.owner.ownership_proved(self.now);
            }
            let began = processor_time();
            let effects = self.owner.run(self.now, self.unix_ms);
            self.record_call(began);
            for effect in effects {
                match effect {
                    Effect::Reply(token, reply) => {
                        self.replies.insert(token.0, reply);
                    }
                    Effect::Sync(token, reply) => {
                        let name = self.reporting.swap_remove(&token.0);
                        let name = name.expect("a report is answered once");
                        let json = serde_json::to_vec(&reply).expect("a reply is serializable");
                        self.largest_reply = self.largest_reply.max(json.len());
                        if &*name != NOBODY {
                            self.vm(&name).apply_reply(*reply);
                        }
                    }
                    Effect::Store(id, _) if self.mode == StoreMode::Silent => {
                        self.unanswered.push(id);
                    }
                    Effect::Store(id, call) => store_replies.push_back((id, self.execute(&call))),
                    Effect::Lookup(_, job) => self.lookups.push(job),
                    Effect::Advise(request) => self.advice_requests.push(request),
                    Effect::KeyMissing => self.is_key_missing = true,
                    Effect::ProveOwnership => self.is_proof_requested = true,
                    Effect::StepDown(why) => self.step_down = Some(why),
                }
            }
            let Some((id, reply)) = store_replies.pop_front() else {
                return;
            };
            self.owner.store_reply(self.now, id, reply);
        }
    }

    fn record_call(&mut self, began: Duration) {
        self.longest_call = self.longest_call.max(processor_time() - began);
    }

    /// Lets the calls that a silent store has not answered time out.
    pub fn time_out(&mut self) {
        for id in std::mem::take(&mut self.unanswered) {
            let lost = Error::new(ErrorKind::Timeout, "txn", "store", "no answer");
            self.owner.store_reply(self.now, id, Err(lost));
        }
        self.settle();
    }

    /// Ends the ownership; delivers the replies to callers.
    pub fn step_down(&mut self) {
        let epoch = self.owner.epoch().0 + 1;
        let (next, revision) = elect(&mut self.store, self.now, epoch, self.cordon_bound);
        self.revision = revision;
        let owner = std::mem::replace(&mut self.owner, next);
        self.deliver_replies(owner.step_down());
    }

    /// Suspends the ownership; delivers the replies to callers.
    pub fn pause(&mut self) {
        let effects = self.owner.pause();
        self.deliver_replies(effects);
    }

    fn deliver_replies(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Reply(token, reply) = effect {
                self.replies.insert(token.0, reply);
            }
        }
    }

    fn execute(&mut self, call: &StoreCall) -> Result<StoreReply> {
        self.transactions += 1;
        if let StoreCall::Txn { writes, .. } = call {
            self.written_bytes += writes.iter().map(|w| w.value.len()).sum::<usize>();
        }
        let lost = || Error::new(ErrorKind::Timeout, "txn", "store", "no answer");
        match self.mode {
            StoreMode::Up => self.store.call(self.now, call),
            StoreMode::Unavailable | StoreMode::Silent => Err(lost()),
            StoreMode::Rejects => {
                let message = "status 503";
                Err(Error::new(ErrorKind::Overloaded, "txn", "store", message))
            }
            StoreMode::LosesResponses => {
                self.store.call(self.now, call)?;
                Err(lost())
            }
        }
    }

    /// Sends a report of a VM; the reply is applied once it arrives.
    pub fn sync(&mut self, name: &str) {
        self.next += 1;
        let token = self.next;
        let clock_ms = self.unix_ms;
        let vm = self.vm(name);
        if !vm.has_stale_status {
            vm.status_clock_ms = clock_ms;
        }
        let clock_ms = vm.status_clock_ms;
        vm.number += 1;
        for row in &mut vm.running {
            row.percent += 0.1;
        }
        let report = vm.report(clock_ms);
        self.reporting.insert(token, name.into());
        let began = processor_time();
        self.owner
            .sync(self.now, self.unix_ms, Token(token), report);
        self.record_call(began);
        self.settle();
    }

    /// Delivers a late report of another process of a VM's companion, which has ended.
    pub fn sync_late(&mut self, name: &str, boot: u64, number: u64) {
        self.next += 1;
        let token = self.next;
        let clock_ms = self.unix_ms;
        let report = SyncReport {
            boot,
            number,
            ..self.vm(name).whole_report(clock_ms)
        };
        self.reporting.insert(token, NOBODY.into());
        self.owner
            .sync(self.now, self.unix_ms, Token(token), report);
        self.settle();
    }

    /// Syncs all VMs a few times, so that pending orders take effect.
    pub fn sync_all(&mut self) {
        let names: Vec<Name> = self.vms.keys().cloned().collect();
        for _ in 0..4 {
            for name in &names {
                self.sync(name);
            }
        }
    }

    /// Advances the time while only the named VMs report.
    pub fn pass(&mut self, time: Duration, names: &[&str]) {
        let step = Duration::from_millis(250);
        for _ in 0..time.as_millis() / step.as_millis() {
            self.advance(step);
            self.settle();
            for name in names {
                self.sync(name);
            }
        }
    }

    /// Ends all running runs with the given outcome and syncs all VMs.
    pub fn end_all(&mut self, how: EndKind) {
        for vm in self.vms.values_mut() {
            let runs: Vec<TaskRun> = vm.running.iter().map(|r| r.run.clone()).collect();
            for run in runs {
                vm.end(&run, how);
            }
        }
        self.sync_all();
    }

    /// Ends all runs of a gang, as workers do after one of them has ended.
    pub fn break_gang(&mut self, job: &str) {
        for vm in self.vms.values_mut() {
            let runs: Vec<TaskRun> = vm.running.iter().map(|r| r.run.clone()).collect();
            for run in runs.iter().filter(|r| r.task.job.as_str() == job) {
                vm.end(run, EndKind::Broken);
            }
        }
    }

    /// Returns all running runs with their VMs.
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
    /// Returns the next report, reduced to changes as a companion does.
    fn report(&mut self, clock_ms: u64) -> SyncReport {
        let mut report = self.whole_report(clock_ms);
        if !self.last_reply.takes_changes || self.last_reply.needs_status {
            self.shared_status.clear();
        }
        if let Some(worker) = &mut report.worker {
            self.shared_status.reduce(report.number, worker);
        }
        let json = serde_json::to_vec(&report).expect("a report is serializable");
        self.report_bytes = json.len();
        report
    }

    fn whole_report(&self, clock_ms: u64) -> SyncReport {
        let finished = self.finished.iter().filter(|e| e.number > self.stored_ends);
        let status = (self.fence > 0).then(|| WorkerStatus {
            fence: self.fence,
            clock_ms,
            is_settled: self.is_settled,
            running: self.running.clone(),
            finished: finished.take(MAX_LISTED_ENDS).cloned().collect(),
        });
        SyncReport {
            vm: Arc::clone(&self.name),
            boot: self.boot,
            number: self.number,
            epoch: self.epoch,
            worker: Some(WorkerReport {
                id: self.worker.clone(),
                incarnation: Incarnation(self.incarnation),
                pool: POOL.into(),
                zone: self.zone.clone(),
                labels: self.labels.clone(),
                capacity: self.capacity,
                draining_ms: self.draining.then_some(1000),
                is_gone: self.is_gone,
                is_unresponsive: self.is_unresponsive,
                is_shedding: self.is_shedding,
                status,
                changes: None,
                open: self.open.clone(),
                rejected: self.rejected.clone(),
                crashes: self.crashes.clone(),
            }),
        }
    }

    /// Applies the owner's reply, as a companion and its worker would.
    pub fn apply_reply(&mut self, reply: SyncReply) {
        if reply.is_owner && reply.incarnation.0 == self.incarnation && !self.ignores_orders {
            self.epoch = self.epoch.max(reply.epoch);
            self.fence = self.fence.max(reply.fence);
            self.stored_ends = self.stored_ends.max(reply.stored_ends);
            self.rejected.clear();
            self.crashes
                .retain(|c| !reply.noted_crashes.contains(&c.incarnation));
            for order in &reply.starts {
                self.start(order);
            }
            self.throttles.extend(reply.throttles.iter().cloned());
            for run in &reply.stops {
                self.open.retain(|open| open != run);
                self.end(run, EndKind::Stopped);
            }
        }
        self.last_reply = reply;
    }

    fn start(&mut self, order: &StartOrder) {
        let is_known = self.running.iter().any(|r| r.run == order.run)
            || self.finished.iter().any(|e| e.run == order.run);
        if let Some(ticket) = &order.ticket {
            self.tickets.insert(order.run.clone(), Arc::clone(ticket));
        }
        self.ordered.insert(order.run.clone());
        if let Some(why) = self.rejects {
            self.rejected.push(Rejected {
                run: order.run.clone(),
                why,
            });
        } else if self.holds_starts && !self.open.contains(&order.run) {
            self.open.push(order.run.clone());
        } else if !is_known && !self.holds_starts {
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
        let number = self.finished.last().map_or(0, |e| e.number) + 1;
        self.finished.push(FinishedRun {
            number,
            run: row.run,
            how,
            checkpoint: row.checkpoint,
        });
    }

    /// Crashes and restarts; the companion reports the runs, of which each had run for `ran_ms`.
    pub fn crash(&mut self, ran_ms: impl Fn(&TaskRun) -> u64) {
        let runs = self.running.iter().map(|row| CrashedRun {
            run: row.run.clone(),
            ran_ms: ran_ms(&row.run),
        });
        self.crashes.push(Crash {
            incarnation: Incarnation(self.incarnation),
            away_ms: 0,
            is_within_lease: true,
            runs: runs.collect(),
        });
        self.restart();
    }

    /// Loses all state, as in a crash and a restart under the same id.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.fence = 0;
        self.running.clear();
        self.finished.clear();
        self.open.clear();
        self.stored_ends = 0;
        self.shared_status.clear();
    }
}

fn elect(
    store: &mut MemStore,
    now: Instant,
    epoch: u64,
    cordon_bound: Option<Duration>,
) -> (Owner, Revision) {
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
        cordon_bound,
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
    let tombstones = list(TOMBSTONE_PREFIX);
    owner.load(now, &jobs, &progress, &vms, &tombstones);
    (owner, revision)
}

/// Returns the route that has the name and an address of its own.
pub fn route(name: &str) -> RouteRef {
    RouteRef {
        name: name.into(),
        address: RouteAddress::of("desk.example", &format!("/{name}/")),
    }
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
        resources: Resources::new(cores, 100, 0),
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

pub fn write_owner_key(harness: &mut Harness) {
    let call = StoreCall::Txn {
        expected: vec![(OWNER_KEY.into(), Expect::Revision(harness.revision))],
        writes: vec![KeyWrite {
            key: OWNER_KEY.into(),
            value: b"another".to_vec().into(),
            lease: None,
        }],
        deletes: Vec::new(),
    };
    harness
        .store
        .call(harness.now, &call)
        .expect("the key is written");
}

/// Overwrites a key of the store.
pub fn overwrite(harness: &mut Harness, key: &str, value: &[u8]) {
    let call = StoreCall::Txn {
        expected: Vec::new(),
        writes: vec![KeyWrite {
            key: key.into(),
            value: value.into(),
            lease: None,
        }],
        deletes: Vec::new(),
    };
    harness
        .store
        .call(harness.now, &call)
        .expect("the key is written");
}

/// Deletes the owner's key, as the store does when the lease expires.
pub fn delete_owner_key(harness: &mut Harness) {
    let call = StoreCall::Txn {
        expected: Vec::new(),
        writes: Vec::new(),
        deletes: vec![OWNER_KEY.into()],
    };
    harness
        .store
        .call(harness.now, &call)
        .expect("the key is deleted");
}

/// Writes the owner's key again and returns its revision.
pub fn write_new_owner_key(harness: &mut Harness) -> Revision {
    let call = StoreCall::Txn {
        expected: vec![(OWNER_KEY.into(), Expect::Absent)],
        writes: vec![KeyWrite {
            key: OWNER_KEY.into(),
            value: b"1".to_vec().into(),
            lease: None,
        }],
        deletes: Vec::new(),
    };
    match harness.store.call(harness.now, &call) {
        Ok(StoreReply::Done { revision }) => revision,
        other => panic!("expected a revision, got {other:?}"),
    }
}
