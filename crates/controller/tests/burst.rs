//! The actor of an entry that owns the jobs, under a burst of submissions or reports.

use base::ManualClock;
use base::prelude::*;
use controller::{Event, Node, NodeCfg, OwnerRecord, Ports, StoreToken};
use fakes::store::MemStore;
use host::{Actors, KeyUpdate};
use jobs::owner::{AdviceRequest, OWNER_KEY, Replacement};
use jobs::report::{SyncReply, SyncReport};
use jobs::{JobReply, JobRequest, JobSpec, RouteTerms, StageSpec};
use parking_lot::Mutex;
use ports::store::{Expect, StoreCall, StoreReply};
use report::OperationMetrics;
use slog::{Logger, o};
use wire::Responder;

/// Records the store calls of the actor.
#[derive(Debug, Default)]
struct RecordedCalls(Mutex<Vec<(StoreToken, StoreCall)>>);

impl RecordedCalls {
    fn take(&self) -> Vec<(StoreToken, StoreCall)> {
        std::mem::take(&mut self.0.lock())
    }
}

impl Ports for RecordedCalls {
    fn store(&self, token: StoreToken, call: StoreCall) {
        self.0.lock().push((token, call));
    }

    fn forward(&self, _: &OwnerRecord, _: JobRequest, _: Responder<JobReply>) {
        panic!("the entry is the owner");
    }

    fn advise(&self, _: AdviceRequest) {}

    fn notify_replaced(&self, _: &OwnerRecord, _: Replacement) {}
}

/// An entry that owns the jobs, with a store in memory.
struct Entry {
    node: Node,
    clock: Arc<ManualClock>,
    calls: Arc<RecordedCalls>,
    store: MemStore,
}

impl Entry {
    fn elected() -> Self {
        let mut entry = Self::new();
        entry.settle();
        entry
    }

    /// Creates an entry that is elected and has not read its jobs yet; returns the reads.
    fn loading() -> (Self, Vec<(StoreToken, StoreCall)>) {
        let mut entry = Self::new();
        loop {
            entry.run();
            let calls = entry.calls.take();
            let is_load =
                |(token, _): &(StoreToken, StoreCall)| matches!(token, StoreToken::Load(_));
            if calls.iter().any(is_load) {
                return (entry, calls);
            }
            entry.reply_to(calls);
        }
    }

    /// Creates an entry that has seen the owner's key missing.
    fn new() -> Self {
        let clock = Arc::new(ManualClock::new());
        let calls = Arc::new(RecordedCalls::default());
        let cfg = NodeCfg {
            elector: controller::ElectorCfg {
                me: OwnerRecord {
                    name: "entry".into(),
                    addr: "127.0.0.1:1".parse().expect("an address"),
                    epoch: Epoch(0),
                    nonce: Nonce(0),
                },
                lease: Duration::from_secs(2),
                outage_grace: Duration::from_secs(3),
                claim_delay: Duration::ZERO,
            },
            worker_lease: Duration::from_secs(4),
            retention: Duration::from_secs(120),
            cordon: None,
        };
        let node = Node::new(
            cfg,
            Arc::clone(&clock) as Arc<dyn Clock>,
            Arc::clone(&calls) as Arc<dyn Ports>,
            Arc::new(OperationMetrics::new()),
            Logger::root(slog::Discard, o!()),
            1,
        );
        let mut entry = Self {
            node,
            clock,
            calls,
            store: MemStore::new(),
        };
        entry
            .node
            .deliver(Event::OwnerKey(KeyUpdate::Current(None)));
        entry.run();
        entry.clock.advance(Duration::from_millis(100));
        entry
    }

    /// Lets another entry take the key for a moment.
    fn lose_ownership(&mut self) {
        let key: Name = OWNER_KEY.into();
        let other = OwnerRecord {
            name: "other".into(),
            addr: "127.0.0.1:2".parse().expect("an address"),
            epoch: Epoch(2),
            nonce: Nonce(1),
        };
        let write = StoreCall::Put {
            key: Arc::clone(&key),
            value: other.encode().expect("a record"),
            expect: Expect::Any,
            lease: None,
        };
        let delete = StoreCall::Delete {
            key: Arc::clone(&key),
            expect: Expect::Any,
        };
        for call in [write, delete] {
            let now = self.clock.now();
            self.store
                .call(now, &call)
                .expect("the call is carried out");
            let read = StoreCall::Get {
                key: Arc::clone(&key),
            };
            let Ok(StoreReply::Got(found)) = self.store.call(now, &read) else {
                panic!("expected a key");
            };
            let seen = Event::OwnerKey(KeyUpdate::Current(found));
            self.node.deliver(seen);
            self.run();
        }
    }

    /// Lets the claim that is due succeed, and answers the calls that follow.
    fn be_elected(&mut self) {
        self.clock.advance(Duration::from_millis(100));
        self.settle();
    }

    fn run(&mut self) {
        self.node.run(self.clock.now());
    }

    /// Runs the actor and answers its store calls until it makes none.
    fn settle(&mut self) {
        self.run();
        loop {
            let calls = self.calls.take();
            if calls.is_empty() {
                return;
            }
            self.reply_to(calls);
            self.run();
        }
    }

    fn reply_to(&mut self, calls: Vec<(StoreToken, StoreCall)>) {
        for (token, call) in calls {
            let reply = self.store.call(self.clock.now(), &call);
            self.node.deliver(Event::Store(token, reply));
        }
    }

    fn report(&mut self, vm: &str, number: u64, replies: &Arc<Mutex<Vec<SyncReply>>>) {
        let replies = Arc::clone(replies);
        let report = SyncReport {
            vm: vm.into(),
            boot: 1,
            number,
            epoch: Epoch(0),
            worker: None,
        };
        let responder = Responder::new(move |reply| replies.lock().push(reply));
        self.node.deliver(Event::Sync(Box::new(report), responder));
    }

    fn submit(&mut self, id: &str, replies: &Arc<Mutex<Vec<JobReply>>>) {
        let replies = Arc::clone(replies);
        let request = JobRequest::Submit {
            job: id.into(),
            address: "desk.example/checks/".into(),
            spec: Box::new(JobSpec {
                payload: "payload".into(),
                stages: vec![StageSpec {
                    tasks: 1,
                    ..StageSpec::default()
                }],
                schedule: None,
            }),
            terms: Box::new(RouteTerms {
                route: "checks".into(),
                pool: "desk".into(),
                priority: 0,
                attempts: 3,
                stretch: 2.0,
                slack_ms: 500,
                advice: None,
            }),
        };
        let responder = Responder::new(move |reply| replies.lock().push(reply));
        let deadline = self.clock.now() + Duration::from_secs(3);
        self.node
            .deliver(Event::Caller(Box::new(request), deadline, responder));
    }
}

/// The load: forty callers submit within a moment, more than the store answers one at a time.
#[test]
fn submissions_that_arrive_together_are_stored_together() {
    let mut entry = Entry::elected();
    let replies = Arc::new(Mutex::new(Vec::new()));
    for i in 0..40 {
        entry.submit(&format!("{i:016x}"), &replies);
    }

    entry.run();
    let calls = entry.calls.take();

    let stored: usize = calls
        .iter()
        .map(|(_, call)| match call {
            StoreCall::Txn { writes, .. } => writes.len(),
            other => panic!("unexpected call {other:?}"),
        })
        .sum();
    assert_eq!(stored, 40, "in {} calls", calls.len());
    entry.reply_to(calls);
    entry.settle();
    assert_eq!(*replies.lock(), vec![JobReply::Accepted; 40]);
}

/// The load: all companions report to a new owner that still reads its jobs.
#[test]
fn reports_that_arrive_during_the_load_wait_for_it() {
    let (mut entry, reads) = Entry::loading();
    let replies = Arc::new(Mutex::new(Vec::new()));
    for i in 0..240 {
        entry.report(&format!("vm-{i}"), 1, &replies);
    }
    entry.report("vm-0", 2, &replies);
    entry.run();
    let early = replies.lock().clone();

    entry.reply_to(reads);
    entry.settle();

    assert_eq!(early, [SyncReply::default()], "only the replaced report");
    let replies = replies.lock();
    assert_eq!(replies.len(), 241);
    assert!(replies[1..].iter().all(|reply| reply.is_owner));
}

#[test]
fn owner_whose_lease_expired_goes_on_without_reading_its_jobs_again() {
    let mut entry = Entry::elected();
    let replies = Arc::new(Mutex::new(Vec::new()));
    entry.clock.advance(Duration::from_millis(2100));
    entry.store.expire(entry.clock.now());
    let mut calls = Vec::new();

    entry.submit("00000000000000a1", &replies);
    for _ in 0..40 {
        entry.run();
        let made = entry.calls.take();
        calls.extend(made.iter().map(|(token, _)| *token));
        entry.reply_to(made);
        entry.clock.advance(Duration::from_millis(10));
    }

    let is_load = |token: &StoreToken| matches!(token, StoreToken::Load(_));
    assert!(!calls.iter().any(is_load), "{calls:?}");
    assert_eq!(*replies.lock(), [JobReply::Accepted]);
}

#[test]
fn owner_on_a_suspended_vm_whose_wall_clock_was_stepped_back_accepts_no_job() {
    let mut entry = Entry::elected();
    let replies = Arc::new(Mutex::new(Vec::new()));
    let before = entry.clock.wall();
    entry.clock.suspend(Duration::from_secs(10));
    entry.clock.set_wall(before);

    entry.submit("00000000000000a1", &replies);
    entry.run();

    assert!(entry.calls.take().is_empty());
    assert!(matches!(replies.lock()[..], [JobReply::Refused { .. }]));
}

#[test]
fn owner_whose_wall_clock_is_stepped_forward_goes_on() {
    let mut entry = Entry::elected();
    let replies = Arc::new(Mutex::new(Vec::new()));
    let before = entry.clock.wall();
    entry.clock.set_wall(before + Duration::from_secs(3600));

    entry.submit("00000000000000a1", &replies);
    entry.settle();

    assert_eq!(*replies.lock(), [JobReply::Accepted]);
}

/// The reply arrives when the entry has lost ownership and won it again: its next owner numbers its
/// commits from the start.
#[test]
fn late_reply_to_a_commit_of_an_earlier_ownership_accepts_no_other_job() {
    let mut entry = Entry::elected();
    let replies = Arc::new(Mutex::new(Vec::new()));
    entry.submit("00000000000000a1", &Arc::default());
    entry.run();
    let late = entry.calls.take();
    entry.lose_ownership();
    entry.be_elected();
    entry.submit("00000000000000a2", &replies);
    entry.run();
    let outstanding = entry.calls.take();

    for (token, _) in late {
        let done = StoreReply::Done { revision: 1 };
        entry.node.deliver(Event::Store(token, Ok(done)));
    }
    entry.run();

    assert!(!outstanding.is_empty());
    assert_eq!(*replies.lock(), []);
}
