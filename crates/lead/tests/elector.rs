//! The election of the owner, against a store in memory.

use std::time::SystemTime;

use base::prelude::*;
use fakes::store::MemStore;
use jobs::owner::{OWNER_KEY, OwnerRecord, Replacement};
use lead::{Change, Elector, ElectorCfg};
use ports::store::{KeyValue, StoreCall, StoreReply};

const LEASE: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_secs(3);

struct Rig {
    now: Instant,
    wall: SystemTime,
    store: MemStore,
}

impl Rig {
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

    /// Shows an elector the key and makes its calls; `loses` tells which answers are lost.
    fn play(
        &mut self,
        elector: &mut Elector,
        loses: impl Fn(&StoreCall) -> bool,
    ) -> Option<Change> {
        let kv = self.key();
        let mut change = elector.key_seen(self.now, Duration::ZERO, kv.as_ref());
        let mut next = elector.run(self.now, self.wall, Nonce(7));
        while let Some(call) = next {
            let reply = self.store.call(self.now, &call);
            let reply = if loses(&call) {
                Err(Error::new(ErrorKind::Timeout, "call", "store", "no answer"))
            } else {
                reply
            };
            let (then, decided) = elector.reply(self.now, (self.now, self.wall), reply);
            change = decided.or(change);
            next = then;
            if matches!(call, StoreCall::LeaseRenew { .. }) {
                break;
            }
        }
        change
    }

    fn elect(&mut self, elector: &mut Elector) -> Option<Change> {
        self.play(elector, |_| false)
    }
}

fn elector(name: &str) -> Elector {
    patient_elector(name, Duration::ZERO)
}

/// An elector that leaves claims to others for a while.
fn patient_elector(name: &str, claim_delay: Duration) -> Elector {
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
fn one_of_two_is_elected() {
    let mut rig = Rig::new();
    let (mut a, mut b) = (elector("a"), elector("b"));

    let first = rig.elect(&mut a);
    let second = rig.elect(&mut b);

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
fn epochs_rise_from_owner_to_owner() {
    let mut rig = Rig::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    rig.elect(&mut a);
    rig.advance(LEASE + Duration::from_millis(1));

    let second = rig.elect(&mut b);

    assert!(matches!(
        second,
        Some(Change::Elected {
            epoch: Epoch(2),
            ..
        })
    ));
}

#[test]
fn a_claim_whose_answer_is_lost_is_recognised() {
    let mut rig = Rig::new();
    let mut a = elector("a");
    let tries = std::cell::Cell::new(0);

    let change = rig.play(&mut a, |call| {
        let is_claim = matches!(call, StoreCall::Txn { .. });
        is_claim && tries.replace(tries.get() + 1) == 0
    });

    assert!(matches!(change, Some(Change::Elected { .. })));
    assert_eq!(tries.get(), 2);
}

#[test]
fn an_owner_goes_on_for_its_grace_without_the_store_and_no_longer() {
    let mut rig = Rig::new();
    let mut a = elector("a");
    rig.elect(&mut a);
    assert!(a.is_certain(rig.now, rig.wall));

    rig.advance(LEASE);
    assert!(!a.is_certain(rig.now, rig.wall));
    assert!(a.may_lead(rig.now, rig.wall));

    rig.advance(GRACE);
    assert!(!a.may_lead(rig.now, rig.wall));
}

#[test]
fn an_owner_on_a_vm_that_was_suspended_does_not_go_on() {
    let mut rig = Rig::new();
    let mut a = elector("a");
    rig.elect(&mut a);

    // The steady clock stands still while the VM is suspended.
    rig.wall += LEASE + GRACE;

    assert!(!a.may_lead(rig.now, rig.wall));
}

#[test]
fn an_owner_whose_key_is_gone_is_deposed_though_its_lease_seems_to_last() {
    let mut rig = Rig::new();
    let mut a = elector("a");
    rig.elect(&mut a);

    let change = a.key_seen(rig.now, Duration::ZERO, None);

    assert!(matches!(change, Some(Change::Deposed(_))));
    assert!(!a.may_lead(rig.now, rig.wall));
}

#[test]
fn an_owner_that_resigns_frees_the_key_and_claims_no_more() {
    let mut rig = Rig::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    rig.elect(&mut a);

    let call = a.resign().expect("the lease is given up");
    rig.store.call(rig.now, &call).expect("the lease ends");

    assert_eq!(rig.elect(&mut a), None);
    assert!(matches!(rig.elect(&mut b), Some(Change::Elected { .. })));
}

#[test]
fn a_lease_that_ended_deposes() {
    let mut rig = Rig::new();
    let mut a = elector("a");
    rig.elect(&mut a);
    rig.advance(LEASE + Duration::from_millis(1));
    rig.store.expire(rig.now);
    let renewal = a
        .run(rig.now, rig.wall, Nonce(8))
        .expect("a renewal is due");

    let reply = rig.store.call(rig.now, &renewal);
    let (_, change) = a.reply(rig.now, (rig.now, rig.wall), reply);

    assert!(matches!(change, Some(Change::Deposed(_))));
}

#[test]
fn the_key_is_taken_from_an_owner_without_the_store() {
    let mut rig = Rig::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    rig.elect(&mut a);
    rig.elect(&mut b);

    b.claim_from(rig.now, Epoch(1));
    let change = rig.elect(&mut b);

    let Some(Change::Elected {
        epoch,
        revision,
        former,
    }) = change
    else {
        panic!("expected an election, got {change:?}");
    };
    assert_eq!(epoch, Epoch(2));
    assert_eq!(former.map(|f| f.name), Some("a".into()));
    let by = Replacement {
        record: b.owner().expect("it owns").clone(),
        revision,
    };
    assert!(matches!(a.replaced(&by), Some(Change::Deposed(_))));
    assert_eq!(a.owner().map(|o| &*o.name), Some("b"));
}

#[test]
fn the_key_is_not_taken_from_a_later_owner() {
    let mut rig = Rig::new();
    let (mut a, mut b, mut c) = (elector("a"), elector("b"), elector("c"));
    rig.elect(&mut a);
    rig.elect(&mut b);
    rig.elect(&mut c);
    b.claim_from(rig.now, Epoch(1));
    rig.elect(&mut b);

    c.claim_from(rig.now, Epoch(1));
    let kept = c.run(rig.now, rig.wall, Nonce(9));
    let change = kept.and_then(|call| {
        let reply = rig.store.call(rig.now, &call);
        c.reply(rig.now, (rig.now, rig.wall), reply).1
    });

    assert_eq!(change, None);
}

#[test]
fn an_entry_that_has_little_leaves_the_claim_to_others() {
    let delay = Duration::from_millis(400);
    let mut rig = Rig::new();
    let (mut small, mut large) = (patient_elector("small", delay), elector("large"));

    let first = rig.elect(&mut small);
    let second = rig.elect(&mut large);
    rig.advance(delay);
    let third = rig.elect(&mut small);

    assert!(first.is_none() && third.is_none());
    assert!(matches!(second, Some(Change::Elected { .. })));
}

#[test]
fn an_entry_that_has_little_claims_where_no_other_does() {
    let delay = Duration::from_millis(400);
    let mut rig = Rig::new();
    let mut small = patient_elector("small", delay);

    rig.elect(&mut small);
    rig.advance(delay);
    let change = rig.elect(&mut small);

    assert!(matches!(change, Some(Change::Elected { .. })));
}

#[test]
fn an_entry_that_gives_up_leaves_the_claim_to_others() {
    let mut rig = Rig::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    rig.elect(&mut a);
    rig.elect(&mut b);

    let call = a.give_up(rig.now).expect("it leads");
    let reply = rig.store.call(rig.now, &call);
    a.reply(rig.now, (rig.now, rig.wall), reply);
    let first = rig.elect(&mut a);
    let second = rig.elect(&mut b);

    assert!(first.is_none(), "{first:?}");
    assert!(matches!(second, Some(Change::Elected { .. })));
}

#[test]
fn an_entry_that_gave_up_claims_again_where_no_other_does() {
    let mut rig = Rig::new();
    let mut a = elector("a");
    rig.elect(&mut a);

    let call = a.give_up(rig.now).expect("it leads");
    let reply = rig.store.call(rig.now, &call);
    a.reply(rig.now, (rig.now, rig.wall), reply);
    rig.elect(&mut a);
    rig.advance(Duration::from_secs(3));
    let change = rig.elect(&mut a);

    assert!(matches!(change, Some(Change::Elected { .. })));
}
