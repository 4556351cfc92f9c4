//! An owner whose key is gone although its lease lives, and whose watch hears nothing of it.

mod harness;

use base::prelude::*;
use controller::{Change, Elector};
use harness::{Cluster, GRACE, LEASE, elector};
use jobs::owner::OWNER_KEY;
use ports::store::{Expect, KeyWrite, StoreCall};

/// The interval of an owner's renewals.
const RENEWAL: Duration = Duration::from_millis(500);

fn is_read(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Get { .. })
}

/// Lets an owner make its calls for `time`; drops the replies that `is_lost` selects.
fn keep_leading(
    cluster: &mut Cluster,
    owner: &mut Elector,
    time: Duration,
    is_lost: impl Fn(&StoreCall) -> bool,
) -> Vec<Change> {
    let mut changes = Vec::new();
    let end = cluster.now + time;
    while cluster.now < end {
        cluster.advance(RENEWAL.min(end - cluster.now));
        changes.extend(cluster.step_without(owner, &is_lost));
    }
    changes
}

#[test]
fn owner_does_not_lead_beside_the_next_one_while_it_renews_the_lease_of_a_revoked_key() {
    let mut cluster = Cluster::new();
    let (mut a, mut b) = (elector("a"), elector("b"));
    cluster.elect(&mut a);
    cluster.revoke_key();
    let next = cluster.elect(&mut b);

    let changes = keep_leading(&mut cluster, &mut a, LEASE + GRACE, |_| false);

    assert!(matches!(next, Some(Change::Elected { .. })), "{next:?}");
    assert!(!a.may_lead(cluster.now, cluster.boot));
    assert!(
        matches!(changes[..], [Change::OwnershipLost(_)]),
        "{changes:?}"
    );
    assert_eq!(a.owner().map(|o| &*o.name), Some("b"));
}

#[test]
fn owner_whose_revoked_key_nobody_has_claimed_takes_it_again() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    cluster.revoke_key();

    let changes = keep_leading(&mut cluster, &mut a, LEASE + GRACE, |_| false);

    assert!(
        matches!(changes[..], [Change::Resumed { .. }]),
        "{changes:?}"
    );
    assert!(a.may_lead(cluster.now, cluster.boot));
}

#[test]
fn owner_that_renews_its_lease_but_cannot_read_its_key_does_not_lead() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);

    keep_leading(&mut cluster, &mut a, LEASE + GRACE, is_read);
    let may_lead = a.may_lead(cluster.now, cluster.boot);
    keep_leading(&mut cluster, &mut a, LEASE + RENEWAL, is_read);

    assert!(!may_lead);
    assert_eq!(cluster.key(), None, "left to others");
}

#[test]
fn lost_reply_to_a_read_of_the_key_does_not_end_ownership() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    keep_leading(&mut cluster, &mut a, GRACE, is_read);

    let changes = keep_leading(&mut cluster, &mut a, LEASE + GRACE, |_| false);

    assert_eq!(changes, []);
    assert!(a.may_lead(cluster.now, cluster.boot));
}

#[test]
fn owner_that_leads_undisturbed_reads_its_key_at_every_second_renewal_at_most() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    let reads = std::cell::Cell::new(0);

    let count = |call: &StoreCall| {
        reads.set(reads.get() + u32::from(is_read(call)));
        false
    };
    let changes = keep_leading(&mut cluster, &mut a, 20 * RENEWAL, count);

    assert_eq!(changes, []);
    assert!((1..=10).contains(&reads.get()), "{} reads", reads.get());
}

#[test]
fn replies_that_arrive_after_a_freeze_count_from_when_their_calls_were_sent() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    cluster.advance(LEASE / 2);
    let sent = (cluster.now, cluster.boot);
    let renewal = a.run(cluster.now, Nonce(8)).expect("a renewal is due");
    let renewed = cluster.store.call(cluster.now, &renewal);
    let (read, _) = a.reply(cluster.now, sent, renewed);
    let found = cluster
        .store
        .call(cluster.now, &read.expect("the key is read"));

    cluster.advance(LEASE + GRACE - Duration::from_millis(1));
    a.reply(cluster.now, sent, found);
    let before = a.may_lead(cluster.now, cluster.boot);
    cluster.advance(Duration::from_millis(1));

    assert!(before);
    assert!(!a.may_lead(cluster.now, cluster.boot));
}

#[test]
fn renewal_that_is_answered_after_a_freeze_does_not_extend_ownership() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    cluster.advance(LEASE / 2);
    let sent = (cluster.now, cluster.boot);
    let renewal = a.run(cluster.now, Nonce(8)).expect("a renewal is due");
    let renewed = cluster.store.call(cluster.now, &renewal);

    cluster.advance(LEASE + GRACE);
    a.reply(cluster.now, sent, renewed);

    assert!(!a.is_lease_valid(cluster.now, cluster.boot));
    assert!(!a.may_lead(cluster.now, cluster.boot));
}

#[test]
fn owner_does_not_lead_on_a_key_that_was_written_again_by_itself() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    let own = cluster.key().expect("it is elected");
    let rewrite = StoreCall::Txn {
        expected: vec![(OWNER_KEY.into(), Expect::Any)],
        writes: vec![KeyWrite {
            key: own.key,
            value: own.value,
            lease: None,
        }],
        deletes: Vec::new(),
    };
    cluster
        .store
        .call(cluster.now, &rewrite)
        .expect("the key is written");

    let changes = keep_leading(&mut cluster, &mut a, 2 * RENEWAL, |_| false);

    assert!(
        matches!(changes[..], [Change::OwnershipLost(_)]),
        "{changes:?}"
    );
}

#[test]
fn requested_proof_is_read_after_the_request_and_at_once() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    cluster.advance(RENEWAL / 5);

    let change = cluster.step(&mut a, false);
    let before = a.proved_at();
    a.prove(cluster.now);
    let change = change.or(cluster.step(&mut a, false));

    assert_eq!(change, None);
    assert!(before < Some(cluster.now));
    assert_eq!(a.proved_at(), Some(cluster.now));
}

#[test]
fn proof_that_cannot_be_read_does_not_keep_the_lease_from_being_renewed() {
    let mut cluster = Cluster::new();
    let mut a = elector("a");
    cluster.elect(&mut a);
    let mut changes = Vec::new();

    for _ in 0..2 * LEASE.as_millis() / RENEWAL.as_millis() {
        a.prove(cluster.now);
        changes.extend(keep_leading(&mut cluster, &mut a, RENEWAL, is_read));
    }
    cluster.store.expire(cluster.now);

    assert_eq!(changes, []);
    assert!(cluster.key().is_some(), "the lease has not expired");
}
