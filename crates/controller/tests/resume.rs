//! An owner whose lease has expired, during an outage of the store or otherwise.

mod harness;

use base::prelude::*;
use controller::Change;
use harness::{Cluster, delayed_elector, elector};

/// The time that an owner has after an outage before others claim its key.
const RESUME_TIME: Duration = Duration::from_millis(400);

/// The interval of failing calls during an outage.
const STEP: Duration = Duration::from_millis(250);

#[test]
fn owner_whose_key_is_missing_does_not_lead() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);

    let change = a.key_seen(cluster.now, Duration::ZERO, None);

    assert_eq!(change, None);
    assert!(a.is_resuming());
    assert!(!a.may_lead(cluster.now, cluster.boot));
}

#[test]
fn owner_whose_lease_has_expired_does_not_lead() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    cluster.expire_leases();

    let change = cluster.step(&mut a, false);

    assert_eq!(change, None);
    assert!(!a.may_lead(cluster.now, cluster.boot));
}

#[test]
fn owner_takes_its_key_again_under_the_same_epoch() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    let elected = cluster.elect(&mut a);
    cluster.elect(&mut b);
    cluster.expire_leases();

    let changes: Vec<_> = (0..3).map(|_| cluster.step(&mut a, false)).collect();

    let Some(Change::Elected { revision: old, .. }) = elected else {
        panic!("expected an election, got {elected:?}");
    };
    let Some(Change::Resumed { revision }) = changes[2] else {
        panic!("expected a resumption, got {changes:?}");
    };
    assert!(revision > old);
    assert!(a.may_lead(cluster.now, cluster.boot));
    assert_eq!(cluster.elect(&mut b), None, "the key is taken");
    assert_eq!(b.owner().map(|o| o.epoch), Some(Epoch(1)));
}

#[test]
fn owner_does_not_resume_after_another_was_elected() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    cluster.elect(&mut a);
    cluster.expire_leases();
    cluster.elect(&mut b);

    let changes: Vec<_> = (0..3).map(|_| cluster.step(&mut a, false)).collect();

    assert!(
        matches!(changes[2], Some(Change::OwnershipLost(_))),
        "{changes:?}"
    );
    assert!(!a.may_lead(cluster.now, cluster.boot));
}

#[test]
fn owner_does_not_resume_after_another_has_come_and_gone() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    cluster.elect(&mut a);
    cluster.expire_leases();
    cluster.elect(&mut b);
    cluster.expire_leases();

    let changes: Vec<_> = (0..3).map(|_| cluster.step(&mut a, false)).collect();

    assert!(
        matches!(changes[2], Some(Change::OwnershipLost(_))),
        "{changes:?}"
    );
}

#[test]
fn resumption_with_a_lost_reply_is_recognised_on_repeat() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    cluster.expire_leases();
    cluster.step(&mut a, false);
    cluster.step(&mut a, false);

    let lost = cluster.step(&mut a, true);
    cluster.advance(STEP);
    let repeated = cluster.step(&mut a, false);

    assert_eq!(lost, None);
    assert!(
        matches!(repeated, Some(Change::Resumed { .. })),
        "{repeated:?}"
    );
}

#[test]
fn own_record_seen_before_the_reply_does_not_end_ownership() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    cluster.expire_leases();
    cluster.step(&mut a, false);
    cluster.step(&mut a, false);
    cluster.step(&mut a, true);
    let kv = cluster.key();

    let change = a.key_seen(cluster.now, Duration::ZERO, kv.as_ref());

    assert_eq!(change, None);
    cluster.advance(STEP);
    let repeated = cluster.step(&mut a, false);
    assert!(
        matches!(repeated, Some(Change::Resumed { .. })),
        "{repeated:?}"
    );
}

#[test]
fn key_missing_in_an_old_read_leaves_the_owner_its_lease() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    cluster.step(&mut a, false);
    a.key_seen(cluster.now, Duration::ZERO, None);

    let changes: Vec<_> = (0..2).map(|_| cluster.step(&mut a, false)).collect();

    assert_eq!(changes, [None, None]);
    assert!(a.may_lead(cluster.now, cluster.boot));
}

#[test]
fn others_let_the_owner_resume_after_an_outage() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    cluster.elect(&mut a);
    cluster.elect(&mut b);
    for _ in 0..12 {
        b.store_failed(cluster.now);
        cluster.advance(STEP);
    }
    cluster.store.expire(cluster.now);

    let at_return = cluster.elect(&mut b);
    cluster.advance(RESUME_TIME);
    let later = cluster.elect(&mut b);

    assert_eq!(at_return, None);
    assert!(matches!(later, Some(Change::Elected { .. })), "{later:?}");
}

#[test]
fn entry_with_few_resources_waits_longer_after_an_outage() {
    let delay = Duration::from_millis(400);
    let mut cluster = Cluster::new();
    let (mut small, mut large) = (delayed_elector("small", delay), elector("large"));
    for _ in 0..12 {
        small.store_failed(cluster.now);
        large.store_failed(cluster.now);
        cluster.advance(STEP);
    }
    cluster.elect(&mut small);
    cluster.elect(&mut large);

    cluster.advance(RESUME_TIME);
    let first = cluster.elect(&mut small);
    let second = cluster.elect(&mut large);

    assert_eq!(first, None);
    assert!(matches!(second, Some(Change::Elected { .. })), "{second:?}");
}

/// The owner's refusals arrive late: it has reached the store again before others hear of them.
#[test]
fn key_is_not_claimed_from_an_owner_right_after_an_outage() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    cluster.elect(&mut a);
    cluster.elect(&mut b);
    for _ in 0..12 {
        b.store_failed(cluster.now);
        b.claim_from(cluster.now, Epoch(1));
        cluster.now += STEP;
    }

    cluster.elect(&mut b);
    b.claim_from(cluster.now, Epoch(1));
    let at_return = cluster.elect(&mut b);
    cluster.advance(Duration::from_secs(1));
    b.claim_from(cluster.now, Epoch(1));
    let later = cluster.elect(&mut b);

    assert_eq!(at_return, None);
    assert!(matches!(later, Some(Change::Elected { .. })), "{later:?}");
}
