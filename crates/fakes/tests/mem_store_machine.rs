//! The store in memory against a reference model, over random calls and pauses.

use std::collections::BTreeMap;

use base::ManualClock;
use base::prelude::*;
use fakes::store::MemStore;
use ports::store::{Expect, LeaseId, Revision, StoreCall, StoreReply};
use proptest::prelude::*;
use proptest::strategy::Union;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const TTL_SECS: u64 = 5;

/// The expected contents of the store.
#[derive(Clone, Debug, Default)]
struct Model {
    now: u64,
    revision: Revision,
    keys: BTreeMap<u8, (Revision, Option<LeaseId>)>,
    leases: BTreeMap<LeaseId, u64>,
    next_lease: LeaseId,
}

#[derive(Clone, Debug)]
enum Step {
    Pause(u64),
    Put(u8, Expect, Option<LeaseId>),
    Delete(u8, Expect),
    Grant,
    Renew(LeaseId),
    Revoke(LeaseId),
}

impl Model {
    fn is_expected(&self, key: u8, expect: Expect) -> bool {
        match expect {
            Expect::Any => true,
            Expect::Absent => !self.keys.contains_key(&key),
            Expect::Revision(revision) => self.keys.get(&key).is_some_and(|k| k.0 == revision),
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let before = self.keys.len();
        self.keys.retain(|_, key| key.1 != Some(lease));
        self.revision += (before - self.keys.len()) as u64;
    }

    fn end_expired(&mut self) {
        let now = self.now;
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, ends)| **ends <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let key = || 0_u8..4;
        let expect = prop_oneof![
            Just(Expect::Any),
            Just(Expect::Absent),
            (0..=state.revision + 1).prop_map(Expect::Revision),
        ];
        let lease = 1..=state.next_lease + 1;
        Union::new([
            (1_u64..4).prop_map(Step::Pause).boxed(),
            (key(), expect.clone(), proptest::option::of(lease.clone()))
                .prop_map(|(key, expect, lease)| Step::Put(key, expect, lease))
                .boxed(),
            (key(), expect)
                .prop_map(|(key, expect)| Step::Delete(key, expect))
                .boxed(),
            Just(Step::Grant).boxed(),
            lease.clone().prop_map(Step::Renew).boxed(),
            lease.prop_map(Step::Revoke).boxed(),
        ])
        .boxed()
    }

    fn apply(mut state: Self, transition: &Step) -> Self {
        match *transition {
            Step::Pause(secs) => state.now += secs,
            Step::Put(key, expect, lease) => {
                let is_live = lease.is_none_or(|lease| state.leases.contains_key(&lease));
                if is_live && state.is_expected(key, expect) {
                    state.revision += 1;
                    state.keys.insert(key, (state.revision, lease));
                }
            }
            Step::Delete(key, expect) => {
                if state.is_expected(key, expect) && state.keys.remove(&key).is_some() {
                    state.revision += 1;
                }
            }
            Step::Grant => {
                state.next_lease += 1;
                let ends = state.now + TTL_SECS;
                state.leases.insert(state.next_lease, ends);
            }
            Step::Renew(lease) => {
                let now = state.now;
                state
                    .leases
                    .entry(lease)
                    .and_modify(|ends| *ends = now + TTL_SECS);
            }
            Step::Revoke(lease) => state.end_lease(lease),
        }
        state.end_expired();
        state
    }
}

#[derive(Debug)]
struct Real {
    clock: ManualClock,
    store: MemStore,
}

impl Real {
    fn call(&mut self, call: &StoreCall) -> StoreReply {
        self.store.call(self.clock.now(), call).unwrap()
    }
}

impl StateMachineTest for Real {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(_: &Model) -> Self {
        Self {
            clock: ManualClock::new(),
            store: MemStore::new(),
        }
    }

    fn apply(mut state: Self, _ref_state: &Model, transition: Step) -> Self {
        let key = |key: u8| Name::from(format!("k/{key}"));
        match transition {
            Step::Pause(secs) => state.clock.advance(Duration::from_secs(secs)),
            Step::Put(k, expect, lease) => {
                state.call(&StoreCall::Put {
                    key: key(k),
                    value: [k].as_slice().into(),
                    expect,
                    lease,
                });
            }
            Step::Delete(k, expect) => {
                state.call(&StoreCall::Delete {
                    key: key(k),
                    expect,
                });
            }
            Step::Grant => {
                state.call(&StoreCall::LeaseGrant {
                    ttl: Duration::from_secs(TTL_SECS),
                });
            }
            Step::Renew(lease) => {
                state.call(&StoreCall::LeaseRenew { lease });
            }
            Step::Revoke(lease) => {
                state.call(&StoreCall::LeaseRevoke { lease });
            }
        }
        state.store.expire(state.clock.now());
        state
    }

    fn check_invariants(state: &Self, ref_state: &Model) {
        let mut store = state.store.clone();
        let list = StoreCall::List {
            prefix: "k/".into(),
            after: None,
            limit: usize::MAX,
        };

        let StoreReply::Listed(listed) = store.call(state.clock.now(), &list).unwrap() else {
            panic!("not a list");
        };

        let listed: Vec<_> = listed.iter().map(|kv| (kv.value[0], kv.revision)).collect();
        let expected: Vec<_> = ref_state.keys.iter().map(|(key, k)| (*key, k.0)).collect();
        assert_eq!(listed, expected);
        assert_eq!(store.revision(), ref_state.revision);
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn agrees_with_the_model(sequential 1..60 => Real);
}
