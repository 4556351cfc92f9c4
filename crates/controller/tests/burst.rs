//! The actor of an entry that owns the jobs, under a burst of submissions.

use base::ManualClock;
use base::prelude::*;
use controller::{Event, Node, NodeCfg, OwnerRecord, Ports, StoreToken};
use fakes::store::MemStore;
use host::{Actors, KeyUpdate};
use jobs::owner::{AdviceRequest, Replacement};
use jobs::{JobReply, JobRequest, JobSpec, RouteTerms, StageSpec};
use parking_lot::Mutex;
use ports::store::{StoreCall, StoreReply};
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
        entry.settle();
        entry
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
            for (token, call) in calls {
                let reply = self.store.call(self.clock.now(), &call);
                self.node.deliver(Event::Store(token, reply));
            }
            self.run();
        }
    }

    fn submit(&mut self, id: &str, replies: &Arc<Mutex<Vec<JobReply>>>) {
        let replies = Arc::clone(replies);
        let request = JobRequest::Submit {
            job: id.into(),
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
        self.node
            .deliver(Event::Caller(Box::new(request), responder));
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
    for (token, call) in calls {
        let reply = entry.store.call(entry.clock.now(), &call);
        assert!(matches!(reply, Ok(StoreReply::Done { .. })), "{reply:?}");
        entry.node.deliver(Event::Store(token, reply));
    }
    entry.settle();
    assert_eq!(*replies.lock(), vec![JobReply::Accepted; 40]);
}
