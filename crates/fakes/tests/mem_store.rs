//! Lease expiry and watch history of the store in memory.

use base::ManualClock;
use base::prelude::*;
use fakes::store::MemStore;
use ports::store::{Expect, StoreCall, StoreReply};

fn put(key: &str, lease: Option<u64>) -> StoreCall {
    StoreCall::Put {
        key: key.into(),
        value: b"v".as_slice().into(),
        expect: Expect::Any,
        lease,
    }
}

fn watch(prefix: &str, after: u64) -> StoreCall {
    StoreCall::Watch {
        prefix: prefix.into(),
        after,
        wait: Duration::ZERO,
    }
}

#[test]
fn expired_lease_deletes_its_keys() {
    let clock = ManualClock::new();
    let mut store = MemStore::new();
    let ttl = Duration::from_secs(5);
    store
        .call(clock.now(), &StoreCall::LeaseGrant { ttl })
        .unwrap();
    store.call(clock.now(), &put("k", Some(1))).unwrap();

    clock.advance(Duration::from_secs(4));
    let renewed = store
        .call(clock.now(), &StoreCall::LeaseRenew { lease: 1 })
        .unwrap();
    clock.advance(Duration::from_secs(4));
    let kept = store.call(clock.now(), &watch("k", 1)).unwrap();
    clock.advance(Duration::from_secs(1));
    let ended = store.call(clock.now(), &watch("k", 1)).unwrap();

    assert!(matches!(renewed, StoreReply::Leased { .. }));
    assert!(matches!(kept, StoreReply::Watched { events, .. } if events.is_empty()));
    let StoreReply::Watched { events, .. } = ended else {
        panic!("not a watch: {ended:?}");
    };
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].value, None);
}

#[test]
fn watch_behind_the_history_is_reported_as_compacted() {
    let clock = ManualClock::new();
    let mut store = MemStore::new();
    store.set_history_limit(2);
    for key in ["a", "b", "c"] {
        store.call(clock.now(), &put(key, None)).unwrap();
    }

    let behind = store.call(clock.now(), &watch("", 0)).unwrap();
    let recent = store.call(clock.now(), &watch("", 1)).unwrap();

    assert!(matches!(
        behind,
        StoreReply::Watched {
            compacted: true,
            revision: 3,
            ..
        }
    ));
    assert!(matches!(
        recent,
        StoreReply::Watched { compacted: false, events, .. } if events.len() == 2
    ));
}
