//! The election of the owner against an in-memory store.

use std::time::SystemTime;

use base::prelude::*;
use controller::{Change, Elector, ElectorCfg};
use fakes::store::MemStore;
use jobs::owner::{OWNER_KEY, OwnerRecord, Replacement};
use ports::store::{KeyValue, StoreCall, StoreReply};

const LEASE: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_secs(3);

struct Cluster {
    now: Instant,
    wall: SystemTime,
    store: MemStore,
}

impl Cluster {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000),
            store: MemStore::new(),
        }
    }

    fn advance(&mut self, by: Duration) {
        self.now += by;
        self.wall += by;
    }

    fn key(&mut self) -> Option<KeyValue> {
        let key = OWNER_KEY.into();
        match self.store.call(self.now, &StoreCall::Get { key }) {
            Ok(StoreReply::Got(found)) => found,
            other => panic!("expected a key, got {other:?}"),
        }
    }

    /// Shows an elector the key and makes its calls; drops the replies that `is_lost` selects.
    fn drive(
        &mut self,
        elector: &mut Elector,
        is_lost: impl Fn(&StoreCall) -> bool,
    ) -> Option<Change> {
        let kv = self.key();
        let mut change = elector.key_seen(self.now, Duration::ZERO, kv.as_ref());
        let mut next = elector.run(self.now, self.wall, Nonce(7));
        while let Some(call) = next {
            let reply = self.store.call(self.now, &call);
            let reply = if is_lost(&call) {
                Err(Error::new(ErrorKind::Timeout, "call", "store", "no answer"))
            } else {
                reply
            };
            let (following, decided) = elector.reply(self.now, (self.now, self.wall), reply);
            change = decided.or(change);
            next = following;
            if matches!(call, StoreCall::LeaseRenew { .. }) {
                break;
            }
        }
        change
    }

    fn elect(&mut self, elector: &mut Elector) -> Option<Change> {
        self.drive(elector, |_| false)
    }
}

fn elector(name: &str) -> Elector {
    delayed_elector(name, Duration::ZERO)
}

/// Creates an elector that delays its claims.
fn delayed_elector(name: &str, claim_delay: Duration) -> Elector {
    Elector::new(ElectorCfg {
        claim_delay,
        me: OwnerRecord {
            name: name.into(),
            addr: "127.0.0.1:1".parse().expect("an address"),
            epoch: Epoch(0),
            nonce: Nonce(0),
        },
        lease: LEASE,
        outage_grace: GRACE,
    })
}

#[test]
fn one_of_two_electors_is_elected() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));

    let first = cluster.elect(&mut a);
    let second = cluster.elect(&mut b);

    assert!(matches!(
        first,
        Some(Change::Elected {
            epoch: Epoch(1),
            ..
        })
    ));
    assert_eq!(second, None);
    assert_eq!(b.owner().map(|o| &*o.name), Some("a"));
}

#[test]
fn each_new_owner_has_a_higher_epoch() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    cluster.elect(&mut a);
    cluster.advance(LEASE + Duration::from_millis(1));

    let second = cluster.elect(&mut b);

    assert!(matches!(
        second,
        Some(Change::Elected {
            epoch: Epoch(2),
            ..
        })
    ));
}

#[test]
fn claim_with_a_lost_reply_is_recognised_on_repeat() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    let tries = std::cell::Cell::new(0);

    let change = cluster.drive(&mut a, |call| {
        let is_claim = matches!(call, StoreCall::Txn { .. });
        is_claim && tries.replace(tries.get() + 1) == 0
    });

    assert!(matches!(change, Some(Change::Elected { .. })));
    assert_eq!(tries.get(), 2);
}

#[test]
fn owner_without_the_store_continues_until_its_outage_grace_ends() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    assert!(a.is_lease_valid(cluster.now, cluster.wall));

    cluster.advance(LEASE);
    assert!(!a.is_lease_valid(cluster.now, cluster.wall));
    assert!(a.may_lead(cluster.now, cluster.wall));

    cluster.advance(GRACE);
    assert!(!a.may_lead(cluster.now, cluster.wall));
}

#[test]
fn owner_on_a_suspended_vm_does_not_continue() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);

    // The monotonic clock stops while the VM is suspended.
    cluster.wall += LEASE + GRACE;

    assert!(!a.may_lead(cluster.now, cluster.wall));
}

#[test]
fn deleted_key_ends_ownership_before_the_lease_expires() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);

    let change = a.key_seen(cluster.now, Duration::ZERO, None);

    assert!(matches!(change, Some(Change::OwnershipLost(_))));
    assert!(!a.may_lead(cluster.now, cluster.wall));
}

#[test]
fn resigned_owner_frees_the_key_and_makes_no_further_claim() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    cluster.elect(&mut a);

    let call = a.resign().expect("it is the owner");
    cluster
        .store
        .call(cluster.now, &call)
        .expect("the lease is revoked");

    assert_eq!(cluster.elect(&mut a), None);
    assert!(matches!(
        cluster.elect(&mut b),
        Some(Change::Elected { .. })
    ));
}

#[test]
fn expired_lease_ends_ownership() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    cluster.advance(LEASE + Duration::from_millis(1));
    cluster.store.expire(cluster.now);
    let renewal = a
        .run(cluster.now, cluster.wall, Nonce(8))
        .expect("a renewal is due");

    let reply = cluster.store.call(cluster.now, &renewal);
    let (_, change) = a.reply(cluster.now, (cluster.now, cluster.wall), reply);

    assert!(matches!(change, Some(Change::OwnershipLost(_))));
}

#[test]
fn key_is_claimed_from_an_owner_that_cannot_reach_the_store() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    cluster.elect(&mut a);
    cluster.elect(&mut b);

    b.claim_from(cluster.now, Epoch(1));
    let change = cluster.elect(&mut b);

    let Some(Change::Elected {
        epoch,
        revision,
        previous,
    }) = change
    else {
        panic!("expected an election, got {change:?}");
    };
    assert_eq!(epoch, Epoch(2));
    assert_eq!(previous.map(|p| p.name), Some("a".into()));
    let by = Replacement {
        record: b.owner().expect("an owner").clone(),
        revision,
    };
    assert!(matches!(a.replaced(&by), Some(Change::OwnershipLost(_))));
    assert_eq!(a.owner().map(|o| &*o.name), Some("b"));
}

#[test]
fn key_is_not_taken_from_a_later_owner() {
    let mut cluster = Cluster::new();
    let (mut a, mut b, mut c) = (elector("a"), elector("b"), elector("c"));
    cluster.elect(&mut a);
    cluster.elect(&mut b);
    cluster.elect(&mut c);
    b.claim_from(cluster.now, Epoch(1));
    cluster.elect(&mut b);

    c.claim_from(cluster.now, Epoch(1));
    let call = c.run(cluster.now, cluster.wall, Nonce(9));
    let change = call.and_then(|call| {
        let reply = cluster.store.call(cluster.now, &call);
        c.reply(cluster.now, (cluster.now, cluster.wall), reply).1
    });

    assert_eq!(change, None);
}

#[test]
fn entry_with_few_resources_lets_others_claim_first() {
    let delay = Duration::from_millis(400);
    let mut cluster = Cluster::new();
    let (mut small, mut large) = (delayed_elector("small", delay), elector("large"));

    let first = cluster.elect(&mut small);
    let second = cluster.elect(&mut large);
    cluster.advance(delay);
    let third = cluster.elect(&mut small);

    assert!(first.is_none() && third.is_none());
    assert!(matches!(second, Some(Change::Elected { .. })));
}

#[test]
fn entry_with_few_resources_claims_if_no_other_does() {
    let delay = Duration::from_millis(400);
    let mut cluster = Cluster::new();
    let mut small = delayed_elector("small", delay);

    cluster.elect(&mut small);
    cluster.advance(delay);
    let change = cluster.elect(&mut small);

    assert!(matches!(change, Some(Change::Elected { .. })));
}

#[test]
fn entry_that_stepped_down_lets_others_claim_first() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    cluster.elect(&mut a);
    cluster.elect(&mut b);

    let call = a.step_down(cluster.now).expect("it is the owner");
    let reply = cluster.store.call(cluster.now, &call);
    a.reply(cluster.now, (cluster.now, cluster.wall), reply);
    let first = cluster.elect(&mut a);
    let second = cluster.elect(&mut b);

    assert!(first.is_none(), "{first:?}");
    assert!(matches!(second, Some(Change::Elected { .. })));
}

#[test]
fn entry_that_stepped_down_claims_again_if_no_other_does() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);

    let call = a.step_down(cluster.now).expect("it is the owner");
    let reply = cluster.store.call(cluster.now, &call);
    a.reply(cluster.now, (cluster.now, cluster.wall), reply);
    cluster.elect(&mut a);
    cluster.advance(Duration::from_secs(3));
    let change = cluster.elect(&mut a);

    assert!(matches!(change, Some(Change::Elected { .. })));
}
