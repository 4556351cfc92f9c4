//! Linearizability of the store under concurrent clients, with lost and late responses.

use std::thread;

use base::SystemClock;
use base::prelude::*;
use fakes::history::Recorder;
use fakes::store::{Outage, StoreServer};
use ports::HttpStore;
use ports::store::{Expect, KeyValue, Store, StoreCall, StoreReply};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use todc_utils::Specification;

const CLIENTS: u64 = 4;
const OPS_PER_CLIENT: u64 = 60;
const KEYS: [&str; 3] = ["a", "b", "c"];

/// The value of a key, unique to each write; 0 if the key is absent.
type Value = u64;

#[derive(Clone, Debug)]
enum Op {
    /// Reads the value; `seen` is the response.
    Read { seen: Option<Value> },
    /// Replaces `from` by `to`; the response is the value found if it was another.
    Swap {
        from: Value,
        to: Value,
        swapped: Option<Result<(), Value>>,
    },
}

struct Register;

impl Specification for Register {
    type State = Value;
    type Operation = Op;

    fn init() -> Value {
        0
    }

    fn apply(op: &Op, state: &Value) -> (bool, Value) {
        match *op {
            Op::Read { seen } => (seen.is_none_or(|seen| seen == *state), *state),
            Op::Swap { from, to, swapped } => {
                let found = if from == *state { Ok(()) } else { Err(*state) };
                let next = if found.is_ok() { to } else { *state };
                (swapped.is_none_or(|swapped| swapped == found), next)
            }
        }
    }
}

/// A client that remembers the last value and revision that it saw of each key.
struct Client<'a> {
    store: HttpStore,
    histories: &'a IndexMap<&'static str, Recorder<Op>>,
    seen: IndexMap<&'static str, (Value, Expect)>,
    rng: ChaCha8Rng,
    id: u64,
}

impl Client<'_> {
    fn run(&mut self) {
        for n in 1..=OPS_PER_CLIENT {
            let key = KEYS[self.rng.random_range(0..KEYS.len())];
            if self.rng.random_bool(0.4) {
                self.read(key);
            } else {
                self.swap(key, self.id * 1000 + n);
            }
        }
    }

    fn read(&mut self, key: &'static str) {
        let history = &self.histories[key];
        let pending = history.record_call(Op::Read { seen: None });
        let Ok(StoreReply::Got(found)) = self.store.call(&StoreCall::Get { key: key.into() })
        else {
            return;
        };
        let seen = self.remember(key, found.as_ref());
        history.record_response(pending, Op::Read { seen: Some(seen) });
    }

    fn swap(&mut self, key: &'static str, to: Value) {
        let history = &self.histories[key];
        let (from, expect) = *self.seen.get(key).unwrap_or(&(0, Expect::Absent));
        let op = |swapped| Op::Swap { from, to, swapped };
        let pending = history.record_call(op(None));
        let call = StoreCall::Put {
            key: key.into(),
            value: to.to_be_bytes().as_slice().into(),
            expect,
            lease: None,
        };
        match self.store.call(&call) {
            Ok(StoreReply::Done { revision }) => {
                self.seen.insert(key, (to, Expect::Revision(revision)));
                history.record_response(pending, op(Some(Ok(()))));
            }
            Ok(StoreReply::Conflict { current }) => {
                let found = self.remember(key, current.as_ref());
                history.record_response(pending, op(Some(Err(found))));
            }
            Ok(other) => panic!("unexpected reply to a put: {other:?}"),
            Err(e) => assert!(e.kind().is_outcome_unknown(), "{e:?}"),
        }
    }

    fn remember(&mut self, key: &'static str, found: Option<&KeyValue>) -> Value {
        let seen = found.map_or((0, Expect::Absent), |kv| {
            let value = Value::from_be_bytes((*kv.value).try_into().expect("a value of 8 bytes"));
            (value, Expect::Revision(kv.revision))
        });
        self.seen.insert(key, seen);
        seen.0
    }
}

fn run_clients(
    server: &StoreServer,
    seed: u64,
    timeout: Duration,
) -> IndexMap<&'static str, Recorder<Op>> {
    let histories: IndexMap<_, _> = KEYS.into_iter().map(|key| (key, Recorder::new())).collect();
    thread::scope(|scope| {
        for id in 1..=CLIENTS {
            let mut client = Client {
                store: HttpStore::new(server.addr(), timeout),
                histories: &histories,
                seen: IndexMap::new(),
                rng: ChaCha8Rng::seed_from_u64(seed * 100 + id),
                id,
            };
            scope.spawn(move || client.run());
        }
    });
    histories
}

fn assert_linearizable(histories: &IndexMap<&'static str, Recorder<Op>>) {
    for (key, history) in histories {
        assert!(history.is_linearizable::<Register>(), "{key}: {history:#?}");
    }
}

#[test]
fn histories_with_lost_responses_are_linearizable() {
    for seed in 0..5 {
        let server = StoreServer::start(Arc::new(SystemClock));
        server.faults().lose_writes(0.15, seed);

        let histories = run_clients(&server, seed, Duration::from_secs(30));

        let pending: usize = histories.values().map(Recorder::pending).sum();
        assert!(pending > 0);
        assert_linearizable(&histories);
    }
}

#[test]
fn histories_over_a_hanging_store_are_linearizable() {
    let server = StoreServer::start(Arc::new(SystemClock));
    let faults = server.faults();

    let histories = thread::scope(|scope| {
        let clients = scope.spawn(|| run_clients(&server, 77, Duration::from_millis(100)));
        while !clients.is_finished() {
            // Calls that were sent during the outage take effect after its end.
            faults.set_outage(Some(Outage::Hanging));
            thread::sleep(Duration::from_millis(150));
            faults.set_outage(None);
            thread::sleep(Duration::from_millis(50));
        }
        clients.join().expect("clients do not panic")
    });

    assert_linearizable(&histories);
}

#[test]
fn checker_detects_a_lost_update() {
    let history = Recorder::new();
    for to in [1, 2] {
        let op = |swapped| Op::Swap {
            from: 0,
            to,
            swapped,
        };
        let pending = history.record_call(op(None));
        history.record_response(pending, op(Some(Ok(()))));
    }

    assert!(!history.is_linearizable::<Register>());
}
