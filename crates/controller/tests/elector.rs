//! The election of the owner against an in-memory store.

mod harness;

use base::prelude::*;
use controller::Change;
use harness::{Cluster, GRACE, LEASE, delayed_elector, elector, elector_at};
use jobs::owner::Replacement;
use ports::store::StoreCall;

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
    assert!(a.is_lease_valid(cluster.now, cluster.boot));

    cluster.advance(LEASE);
    assert!(!a.is_lease_valid(cluster.now, cluster.boot));
    assert!(a.may_lead(cluster.now, cluster.boot));

    cluster.advance(GRACE);
    assert!(!a.may_lead(cluster.now, cluster.boot));
}

#[test]
fn owner_on_a_suspended_vm_does_not_continue() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);

    // The monotonic clock stops while the VM is suspended.
    cluster.boot += LEASE + GRACE;

    assert!(!a.may_lead(cluster.now, cluster.boot));
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
    let call = c.run(cluster.now, Nonce(9));
    let change = call.and_then(|call| {
        let reply = cluster.store.call(cluster.now, &call);
        c.reply(cluster.now, (cluster.now, cluster.boot), reply).1
    });

    assert_eq!(change, None);
}

/// All VMs lose power and are back before the owner's lease has expired.
#[test]
fn restarted_owner_takes_the_key_of_its_earlier_process_at_once() {
    let mut cluster = Cluster::new();
    cluster.elect(&mut elector("a"));
    let (mut restarted, mut other) = (elector("a"), elector("b"));

    let of_other = cluster.elect(&mut other);
    let change = cluster.elect(&mut restarted);

    assert_eq!(of_other, None);
    let Some(Change::Elected {
        epoch, previous, ..
    }) = change
    else {
        panic!("expected an election, got {change:?}");
    };
    assert_eq!(epoch, Epoch(2));
    assert_eq!(previous, None);
}

/// A VM that was replaced keeps its name, but not its address: its process may still run.
#[test]
fn key_of_a_process_at_another_address_is_not_taken() {
    let mut cluster = Cluster::new();
    cluster.elect(&mut elector_at("a", 1));
    let mut replacement = elector_at("a", 2);

    let early = cluster.elect(&mut replacement);
    cluster.advance(LEASE + Duration::from_millis(1));
    let late = cluster.elect(&mut replacement);

    assert_eq!(early, None);
    assert!(matches!(late, Some(Change::Elected { .. })));
}

/// A read that was sent before the owner stepped down may be answered after it.
#[test]
fn owner_that_stepped_down_does_not_take_its_own_key_again_from_a_late_read() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    let left = cluster.key();
    a.step_down(cluster.now);

    a.key_seen(cluster.now, Duration::ZERO, left.as_ref());
    let call = a.run(cluster.now, Nonce(9));

    assert_eq!(call, None);
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
    a.reply(cluster.now, (cluster.now, cluster.boot), reply);
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
    a.reply(cluster.now, (cluster.now, cluster.boot), reply);
    cluster.elect(&mut a);
    cluster.advance(Duration::from_secs(3));
    let change = cluster.elect(&mut a);

    assert!(matches!(change, Some(Change::Elected { .. })));
}
