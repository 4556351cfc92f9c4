//! Leases that lapse while another entry may own the jobs and renew them.

mod harness;

use base::prelude::*;
use harness::{GRACE, Harness, WORKER_LEASE, job, stage};

/// Longer than a lease by the slowest clock.
const LAPSED: Duration = Duration::from_millis(4500);

/// Creates an owner with two tasks on each of two workers, of which "two" is no longer heard.
fn harness_with_silent_worker() -> Harness {
    let mut harness = Harness::new();
    harness.add_vm("one", 16);
    harness.add_vm("two", 16);
    harness.sync_all();
    harness.submit("a", job(vec![stage(4, 1)]));
    harness.sync_all();
    assert_eq!(harness.vm("one").running.len(), 2);
    assert_eq!(harness.vm("two").running.len(), 2);
    harness
}

/// Lets `time` pass, in which only "one" reports.
fn pass(harness: &mut Harness, time: Duration) {
    let step = Duration::from_millis(500);
    let end = harness.now + time;
    while harness.now < end {
        harness.advance(step);
        harness.sync("one");
    }
    harness.sync("one");
}

#[test]
fn lease_that_a_later_owner_may_have_renewed_does_not_lapse() {
    let mut harness = harness_with_silent_worker();
    harness.is_unproved = true;

    pass(&mut harness, LAPSED);

    assert_eq!(harness.vm("one").running.len(), 2, "two runs of one task");
}

#[test]
fn inherited_lease_that_a_later_owner_may_have_renewed_does_not_lapse() {
    let mut harness = harness_with_silent_worker();
    harness.take_over();
    harness.sync("one");
    harness.is_unproved = true;

    pass(&mut harness, GRACE + LAPSED);

    assert_eq!(harness.vm("one").running.len(), 2, "two runs of one task");
}

#[test]
fn proof_from_before_the_end_of_a_lease_does_not_let_it_lapse() {
    let mut harness = harness_with_silent_worker();
    pass(&mut harness, WORKER_LEASE);
    harness.is_unproved = true;

    pass(&mut harness, LAPSED);

    assert_eq!(harness.vm("one").running.len(), 2, "two runs of one task");
}

#[test]
fn expired_lease_lapses_once_ownership_is_proved() {
    let mut harness = harness_with_silent_worker();
    harness.is_unproved = true;
    pass(&mut harness, LAPSED);
    let is_requested = harness.is_proof_requested;

    harness.is_unproved = false;
    pass(&mut harness, Duration::from_millis(500));

    assert!(is_requested);
    assert_eq!(harness.vm("one").running.len(), 4);
}
