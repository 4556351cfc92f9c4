//! Requests that arrive while no entry owns the jobs, or whose owner ends before it replies.

use base::ManualClock;
use base::prelude::*;
use controller::{Event, Node, NodeCfg, OwnerRecord, Ports, StoreToken};
use fakes::store::MemStore;
use host::{Actors, KeyUpdate};
use jobs::owner::{AdviceRequest, JOB_PREFIX, OWNER_KEY, Replacement, VM_PREFIX};
use jobs::{JobReply, JobRequest, JobSpec, RouteRef, RouteTerms, StageSpec};
use parking_lot::Mutex;
use ports::store::{Expect, StoreCall, StoreReply};
use report::OperationMetrics;
use slog::{Logger, o};
use wire::Responder;

const JOB: &str = "00000000000000a1";

const ADDRESS: &str = "desk.example/checks/";

/// The interval of an owner's renewals.
const RENEWAL: Duration = Duration::from_millis(500);

/// The time that is left to a caller.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Records the calls of the actor.
#[derive(Debug, Default)]
struct RecordedCalls {
    store: Mutex<Vec<(StoreToken, StoreCall)>>,
    /// The owners that requests were forwarded to.
    forwarded: Mutex<Vec<Name>>,
}

impl Ports for RecordedCalls {
    fn store(&self, token: StoreToken, call: StoreCall) {
        self.store.lock().push((token, call));
    }

    fn forward(&self, to: &OwnerRecord, _: JobRequest, _: Responder<JobReply>) {
        self.forwarded.lock().push(Arc::clone(&to.name));
    }

    fn advise(&self, _: AdviceRequest) {}

    fn notify_replaced(&self, _: &OwnerRecord, _: Replacement) {}
}

struct Entry {
    node: Node,
    clock: Arc<ManualClock>,
    calls: Arc<RecordedCalls>,
    store: MemStore,
    replies: Arc<Mutex<Vec<JobReply>>>,
    /// When the owner's key was read.
    key_reads: Vec<Duration>,
}

impl Entry {
    /// Creates an entry that has not read the owner's key yet.
    fn new() -> Self {
        let clock = Arc::new(ManualClock::new());
        let calls = Arc::new(RecordedCalls::default());
        let cfg = NodeCfg {
            elector: controller::ElectorCfg {
                me: owner_record("entry", 0),
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
        Self {
            node,
            clock,
            calls,
            store: MemStore::new(),
            replies: Arc::default(),
            key_reads: Vec::new(),
        }
    }

    /// Creates an entry that sees no owner while the store responds.
    fn without_owner() -> Self {
        let mut entry = Self::new();
        entry.deliver(Event::OwnerKey(KeyUpdate::Current(None)));
        entry
    }

    fn elected() -> Self {
        let mut entry = Self::without_owner();
        entry.advance(Duration::from_millis(100));
        entry.settle();
        entry
    }

    fn deliver(&mut self, event: Event) {
        self.node.deliver(event);
        self.run();
    }

    fn run(&mut self) {
        self.node.run(self.clock.now());
    }

    fn advance(&mut self, by: Duration) {
        self.clock.advance(by);
        self.run();
    }

    fn take_calls(&self) -> Vec<(StoreToken, StoreCall)> {
        std::mem::take(&mut self.calls.store.lock())
    }

    /// Answers the store calls until the actor makes none.
    fn settle(&mut self) {
        loop {
            self.run();
            let calls = self.take_calls();
            if calls.is_empty() {
                return;
            }
            for (token, call) in calls {
                if matches!(&call, StoreCall::Get { key } if &**key == OWNER_KEY) {
                    self.key_reads.push(self.clock.elapsed());
                }
                let reply = self.store.call(self.clock.now(), &call);
                self.node.deliver(Event::Store(token, reply));
            }
        }
    }

    /// Lets `time` pass while the store answers.
    fn pass(&mut self, time: Duration) {
        let step = Duration::from_millis(10);
        let end = self.clock.now() + time;
        while self.clock.now() < end {
            self.advance(step);
            self.settle();
        }
    }

    fn write(&mut self, key: &str, value: &[u8]) {
        let write = StoreCall::Put {
            key: key.into(),
            value: value.into(),
            expect: Expect::Any,
            lease: None,
        };
        let now = self.clock.now();
        self.store.call(now, &write).expect("the key is written");
    }

    /// Lets the named entry take the owner's key, and shows it to this one.
    fn elect_other(&mut self, name: &str) {
        let record = owner_record(name, 2).encode().expect("a record");
        self.write(OWNER_KEY, &record);
        let now = self.clock.now();
        let key = OWNER_KEY.into();
        let Ok(StoreReply::Got(found)) = self.store.call(now, &StoreCall::Get { key }) else {
            panic!("expected a key");
        };
        self.deliver(Event::OwnerKey(KeyUpdate::Current(found)));
    }

    fn submit(&mut self, time_left: Duration) {
        let responder = self.responder();
        let deadline = self.clock.now() + time_left;
        self.deliver(Event::Caller(Box::new(submission()), deadline, responder));
    }

    /// Asks what became of a submission at an address, whose owner has been lost.
    fn look_up_submission(&mut self, address: &str) {
        let route = RouteRef {
            name: "checks".into(),
            address: address.into(),
        };
        let responder = self.responder();
        self.deliver(Event::Unanswered(JOB.into(), route, responder));
        self.settle();
    }

    fn responder(&self) -> Responder<JobReply> {
        let replies = Arc::clone(&self.replies);
        Responder::new(move |reply| replies.lock().push(reply))
    }

    fn stored_jobs(&mut self) -> usize {
        let call = StoreCall::List {
            prefix: JOB_PREFIX.into(),
            after: None,
            limit: usize::MAX,
        };
        match self.store.call(self.clock.now(), &call) {
            Ok(StoreReply::Listed(items)) => items.len(),
            other => panic!("expected a list, got {other:?}"),
        }
    }
}

fn owner_record(name: &str, epoch: u64) -> OwnerRecord {
    OwnerRecord {
        name: name.into(),
        addr: "127.0.0.1:1".parse().expect("an address"),
        epoch: Epoch(epoch),
        nonce: Nonce(0),
    }
}

fn submission() -> JobRequest {
    let stage = StageSpec {
        tasks: 1,
        ..StageSpec::default()
    };
    JobRequest::Submit {
        job: JOB.into(),
        address: ADDRESS.into(),
        spec: Box::new(JobSpec {
            payload: "payload".into(),
            stages: vec![stage],
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
    }
}

fn is_refused(replies: &[JobReply]) -> bool {
    matches!(replies, [JobReply::Refused { retry_after_ms, .. }] if *retry_after_ms <= 1000)
}

/// The load: callers submit between two owners, 100 ms before the next one is elected.
#[test]
fn submission_between_two_owners_is_served_by_the_next_one() {
    let mut entry = Entry::without_owner();

    entry.submit(TIMEOUT);
    let early = entry.replies.lock().clone();
    entry.advance(Duration::from_millis(100));
    entry.settle();

    assert_eq!(early, []);
    assert_eq!(*entry.replies.lock(), [JobReply::Accepted]);
    assert_eq!(entry.stored_jobs(), 1);
}

#[test]
fn submission_between_two_owners_is_forwarded_once_another_entry_is_elected() {
    let mut entry = Entry::without_owner();

    entry.submit(TIMEOUT);
    entry.elect_other("other");

    assert_eq!(*entry.calls.forwarded.lock(), ["other".into()]);
    assert_eq!(*entry.replies.lock(), []);
}

#[test]
fn request_of_another_entry_waits_until_the_jobs_are_loaded() {
    let mut entry = Entry::without_owner();
    entry.advance(Duration::from_millis(100));
    let responder = entry.responder();

    entry.deliver(Event::Forwarded(Box::new(submission()), responder));
    let early = entry.replies.lock().clone();
    entry.settle();

    assert_eq!(early, []);
    assert_eq!(*entry.replies.lock(), [JobReply::Accepted]);
}

#[test]
fn submission_is_refused_when_the_store_fails_during_the_election_and_never_runs() {
    let mut entry = Entry::without_owner();
    entry.submit(TIMEOUT);

    let message = "no answer";
    let lost = Error::new(ErrorKind::Timeout, "watch", "store", message);
    entry.deliver(Event::OwnerKey(KeyUpdate::Unreachable(lost)));

    assert!(is_refused(&entry.replies.lock()));
    entry.advance(Duration::from_secs(1));
    entry.deliver(Event::OwnerKey(KeyUpdate::Current(None)));
    entry.advance(Duration::from_secs(1));
    entry.settle();
    assert_eq!(entry.stored_jobs(), 0);
}

#[test]
fn submission_is_refused_when_the_election_does_not_end() {
    let mut entry = Entry::without_owner();
    entry.submit(TIMEOUT);

    entry.advance(Duration::from_millis(400));

    assert!(is_refused(&entry.replies.lock()));
}

#[test]
fn submissions_do_not_wait_for_an_election_that_takes_long() {
    let mut entry = Entry::without_owner();
    for _ in 0..3 {
        entry.submit(TIMEOUT);
        entry.advance(Duration::from_millis(400));
    }
    entry.replies.lock().clear();

    entry.submit(TIMEOUT);

    assert!(is_refused(&entry.replies.lock()));
}

#[test]
fn submission_with_little_time_left_is_refused_at_once() {
    let mut entry = Entry::without_owner();

    entry.submit(Duration::from_millis(500));

    assert!(is_refused(&entry.replies.lock()));
}

#[test]
fn submission_is_refused_at_once_when_the_owners_key_was_never_read() {
    let mut entry = Entry::new();

    entry.submit(TIMEOUT);

    assert!(is_refused(&entry.replies.lock()));
}

/// The owner stores a job and is killed before it replies.
#[test]
fn submission_that_the_lost_owner_has_stored_is_accepted() {
    let mut entry = Entry::elected();
    entry.submit(TIMEOUT);
    entry.settle();
    entry.replies.lock().clear();

    entry.look_up_submission(ADDRESS);

    assert_eq!(*entry.replies.lock(), [JobReply::Accepted]);
}

/// Guards against a lost reply that is taken for the acceptance of another route's job.
#[test]
fn submission_whose_id_another_route_has_stored_is_not_accepted() {
    let mut entry = Entry::elected();
    entry.submit(TIMEOUT);
    entry.settle();
    entry.replies.lock().clear();

    entry.look_up_submission("desk.example/settlements/");

    assert_eq!(*entry.replies.lock(), [JobReply::id_taken()]);
}

#[test]
fn submission_that_the_lost_owner_may_still_store_is_unsure() {
    let mut entry = Entry::elected();

    entry.look_up_submission(ADDRESS);

    assert_eq!(*entry.replies.lock(), [JobReply::Unsure]);
}

/// Guards against a lapse that waits for the owner's next renewal to be proved.
#[test]
fn expired_lease_makes_the_owner_read_its_key_at_once() {
    let mut entry = Entry::without_owner();
    entry.write(&format!("{VM_PREFIX}one"), b"any task may run there");

    // The predecessor's grace and a lease of 4 s by the slowest clock end at 9.3 s.
    entry.pass(Duration::from_secs(9));
    let before = entry.key_reads.len();
    entry.pass(Duration::from_millis(500));

    let gaps = entry.key_reads[before - 1..].windows(2);
    let gaps: Vec<Duration> = gaps.map(|at| at[1] - at[0]).collect();
    assert!(gaps.iter().any(|gap| *gap < RENEWAL), "{gaps:?}");
}
