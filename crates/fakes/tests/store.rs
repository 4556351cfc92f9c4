//! The store over HTTP: its semantics and its faults.

use base::SystemClock;
use base::prelude::*;
use fakes::store::{Outage, StoreServer};
use ports::HttpStore;
use ports::store::{Expect, MAX_VALUE_BYTES, Store, StoreCall, StoreReply};

const TIMEOUT: Duration = Duration::from_secs(10);

fn start() -> (StoreServer, HttpStore) {
    let server = StoreServer::start(Arc::new(SystemClock));
    let store = HttpStore::new(server.addr(), TIMEOUT);
    (server, store)
}

fn get(key: &str) -> StoreCall {
    StoreCall::Get { key: key.into() }
}

fn put(key: &str, value: &[u8], expect: Expect) -> StoreCall {
    StoreCall::Put {
        key: key.into(),
        value: value.into(),
        expect,
        lease: None,
    }
}

fn list(prefix: &str, after: Option<&str>, limit: usize) -> StoreCall {
    StoreCall::List {
        prefix: prefix.into(),
        after: after.map(Name::from),
        limit,
    }
}

fn keys(reply: StoreReply) -> Vec<String> {
    match reply {
        StoreReply::Listed(keys) => keys.iter().map(|kv| kv.key.to_string()).collect(),
        other => panic!("not a list: {other:?}"),
    }
}

#[test]
fn creating_an_existing_key_conflicts() {
    let (_server, store) = start();
    let create = put("shard/1/log/7 %?&/ü", b"a", Expect::Absent);

    let first = store.call(&create).unwrap();
    let second = store.call(&create).unwrap();

    assert_eq!(first, StoreReply::Done { revision: 1 });
    let StoreReply::Conflict { current: Some(kv) } = second else {
        panic!("no conflict: {second:?}");
    };
    assert_eq!((&*kv.value, kv.revision), (b"a".as_slice(), 1));
}

#[test]
fn put_succeeds_only_at_the_expected_revision() {
    let (_server, store) = start();
    store.call(&put("k", b"a", Expect::Any)).unwrap();

    let stale = store.call(&put("k", b"b", Expect::Revision(9))).unwrap();
    let fresh = store.call(&put("k", b"c", Expect::Revision(1))).unwrap();
    let absent = store.call(&put("none", b"d", Expect::Revision(1))).unwrap();

    assert!(matches!(stale, StoreReply::Conflict { current: Some(_) }));
    assert_eq!(fresh, StoreReply::Done { revision: 2 });
    assert_eq!(absent, StoreReply::Conflict { current: None });
}

#[test]
fn lists_in_order_and_in_pages() {
    let (_server, store) = start();
    for key in ["a/2", "b/1", "a/1", "a/3"] {
        store.call(&put(key, b"v", Expect::Any)).unwrap();
    }

    let first = keys(store.call(&list("a/", None, 2)).unwrap());
    let rest = keys(store.call(&list("a/", Some("a/2"), 9)).unwrap());

    assert_eq!(first, ["a/1", "a/2"]);
    assert_eq!(rest, ["a/3"]);
}

#[test]
fn deletes_a_half_open_range() {
    let (_server, store) = start();
    for key in ["a/1", "a/2", "a/3"] {
        store.call(&put(key, b"v", Expect::Any)).unwrap();
    }

    store
        .call(&StoreCall::DeleteRange {
            from: "a/1".into(),
            to: "a/3".into(),
        })
        .unwrap();

    let left = keys(store.call(&list("", None, 9)).unwrap());
    assert_eq!(left, ["a/3"]);
    assert_eq!(store.call(&get("a/1")).unwrap(), StoreReply::Got(None));
}

#[test]
fn revoked_lease_deletes_its_keys() {
    let (_server, store) = start();
    let ttl = Duration::from_secs(60);
    let reply = store.call(&StoreCall::LeaseGrant { ttl }).unwrap();
    let StoreReply::Leased { lease, .. } = reply else {
        panic!("no lease: {reply:?}");
    };
    let under_lease = StoreCall::Put {
        key: "owner".into(),
        value: b"me".as_slice().into(),
        expect: Expect::Absent,
        lease: Some(lease),
    };
    store.call(&under_lease).unwrap();

    let renewed = store.call(&StoreCall::LeaseRenew { lease }).unwrap();
    store.call(&StoreCall::LeaseRevoke { lease }).unwrap();

    assert_eq!(renewed, StoreReply::Leased { lease, ttl });
    assert_eq!(store.call(&get("owner")).unwrap(), StoreReply::Got(None));
    assert_eq!(store.call(&under_lease).unwrap(), StoreReply::LeaseGone);
    let again = store.call(&StoreCall::LeaseRenew { lease }).unwrap();
    assert_eq!(again, StoreReply::LeaseGone);
}

#[test]
fn waiting_watch_counts_once_and_outlasts_the_call_timeout() {
    let (server, _) = start();
    // The timeout is far shorter than the wait of the watch.
    let store = Arc::new(HttpStore::new(server.addr(), Duration::from_secs(2)));
    let watch = StoreCall::Watch {
        prefix: "w/".into(),
        after: 0,
        wait: Duration::from_secs(60),
    };
    let watcher = Arc::clone(&store);
    let waiting = std::thread::spawn(move || watcher.call(&watch));
    while server.counts().reads == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_millis(2500));

    server.call(&put("other", b"v", Expect::Any)).unwrap();
    server.call(&put("w/1", b"v", Expect::Any)).unwrap();

    let reply = waiting.join().unwrap().unwrap();
    let StoreReply::Watched {
        events, revision, ..
    } = reply
    else {
        panic!("not a watch: {reply:?}");
    };
    assert_eq!((events.len(), revision), (1, 2));
    assert_eq!(server.counts().by_kind["watch"], 1);
}

#[test]
fn lost_response_has_an_effect_and_an_unknown_outcome() {
    let (server, store) = start();
    server.faults().lose_next_writes(1);

    let lost = store.call(&put("k", b"v", Expect::Absent)).unwrap_err();
    let read_back = store.call(&get("k")).unwrap();

    assert!(lost.kind().is_outcome_unknown(), "{lost:?}");
    assert!(matches!(read_back, StoreReply::Got(Some(_))));
}

#[test]
fn outage_refuses_connections_until_it_ends() {
    let (server, store) = start();
    store.call(&get("k")).unwrap();

    server.faults().set_outage(Some(Outage::Refused));
    // The pooled connection broke with the outage; a new one is refused.
    let broken = store
        .call(&put("k", b"v", Expect::Any))
        .map_err(|e| e.kind());
    let refused = store.call(&put("k", b"v", Expect::Any)).unwrap_err();
    server.faults().set_outage(None);
    let after = store.call(&get("k")).unwrap();

    broken.unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::Unreachable, "{refused:?}");
    assert_eq!(after, StoreReply::Got(None));
}

#[test]
fn a_hanging_store_times_out() {
    let (server, _) = start();
    let store = HttpStore::new(server.addr(), Duration::from_millis(200));
    server.faults().set_outage(Some(Outage::Hanging));

    let e = store.call(&get("k")).unwrap_err();

    assert_eq!(e.kind(), ErrorKind::Timeout, "{e:?}");
}

#[test]
fn rejects_calls_over_the_rate_limit() {
    let (server, store) = start();
    server.faults().set_rates(Some(1.0), None);

    let first = store.call(&put("k", b"v", Expect::Any));
    server.faults().set_rates(Some(0.0), None);
    let shed = store.call(&put("k", b"w", Expect::Any)).unwrap_err();
    let read = store.call(&get("k"));

    first.unwrap();
    read.unwrap();
    assert_eq!(shed.kind(), ErrorKind::Overloaded, "{shed:?}");
    assert_eq!(server.counts().shed, 1);
}

#[test]
fn refuses_a_value_over_the_limit() {
    let (_server, store) = start();

    let largest = store.call(&put("k", &vec![7; MAX_VALUE_BYTES], Expect::Any));
    let e = store
        .call(&put("k", &vec![7; MAX_VALUE_BYTES + 1], Expect::Any))
        .unwrap_err();

    largest.unwrap();
    assert_eq!(e.kind(), ErrorKind::Refused, "{e:?}");
}
