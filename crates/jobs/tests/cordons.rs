//! Cordoned availability zones: what the owner starts where, and what it permits companions.

mod harness;

use base::prelude::*;
use cordon::Observation;
use harness::{Harness, job, stage};
use jobs::report::{EndKind, RejectKind, Rejected};

const BOUND: Duration = Duration::from_secs(5);

/// A worker in each of two zones.
fn harness() -> Harness {
    let mut harness = Harness::with_cordons(Some(BOUND));
    for (vm, zone) in [("one", "north"), ("two", "south")] {
        harness.add_vm(vm, 16);
        harness.vm(vm).zone = zone.into();
    }
    harness
}

fn cordon(harness: &mut Harness, zones: &[&str]) {
    let observation = Observation {
        zones: zones.iter().map(|zone| ZoneName::from(*zone)).collect(),
        sent_at: harness.now,
    };
    harness.owner.observe_cordons(harness.now, observation);
    harness.settle();
}

fn vms_with_runs(harness: &Harness) -> IndexSet<Name> {
    harness.running().into_iter().map(|(vm, _)| vm).collect()
}

fn start_lease(harness: &mut Harness, vm: &str) -> u64 {
    let lease = harness.vm(vm).last_reply.start_lease_ms;
    lease.expect("zones can be cordoned")
}

#[test]
fn nothing_starts_before_the_cordons_were_read() {
    let mut harness = harness();
    harness.sync_all();
    harness.submit("a", job(vec![stage(4, 1)]));
    harness.sync_all();
    let before = harness.running().len();

    cordon(&mut harness, &[]);
    harness.sync_all();

    assert_eq!(before, 0);
    assert_eq!(harness.running().len(), 4);
}

#[test]
fn tasks_start_only_outside_a_cordoned_zone() {
    let mut harness = harness();
    cordon(&mut harness, &["south"]);
    harness.sync_all();

    harness.submit("a", job(vec![stage(8, 1)]));
    harness.sync_all();

    assert_eq!(vms_with_runs(&harness), IndexSet::from([Name::from("one")]));
    assert_eq!(harness.running().len(), 8);
    assert_eq!(start_lease(&mut harness, "two"), 0);
    assert!(start_lease(&mut harness, "one") > 0);
}

#[test]
fn what_runs_in_a_zone_goes_on_when_it_is_cordoned() {
    let mut harness = harness();
    cordon(&mut harness, &[]);
    harness.sync_all();
    harness.submit("a", job(vec![stage(8, 1)]));
    harness.sync_all();
    let before = harness.running();

    cordon(&mut harness, &["south"]);
    harness.sync_all();

    assert_eq!(harness.running(), before);
}

#[test]
fn start_that_is_on_its_way_when_its_zone_is_cordoned_goes_elsewhere() {
    let mut harness = harness();
    cordon(&mut harness, &[]);
    harness.sync_all();
    harness.vm("two").ignores_orders = true;
    harness.submit("a", job(vec![stage(8, 1)]));
    let ordered = harness.vm("two").last_reply.starts.clone();
    assert_eq!(ordered.len(), 4);

    cordon(&mut harness, &["south"]);
    harness.sync("two");
    let stops = harness.vm("two").last_reply.stops.clone();
    harness.vm("two").ignores_orders = false;
    // The companion rejects what it has not sent.
    harness.vm("two").rejected = ordered
        .iter()
        .map(|order| Rejected {
            run: order.run.clone(),
            why: RejectKind::Late,
        })
        .collect();
    harness.sync_all();

    assert_eq!(stops.len(), 4);
    assert_eq!(vms_with_runs(&harness), IndexSet::from([Name::from("one")]));
    assert_eq!(harness.running().len(), 8);
}

#[test]
fn companion_is_told_of_a_cordon_without_an_order() {
    let mut harness = harness();
    cordon(&mut harness, &[]);
    harness.sync_all();

    cordon(&mut harness, &["south"]);

    assert_eq!(start_lease(&mut harness, "two"), 0);
}

#[test]
fn starts_stop_when_the_cordons_can_not_be_read_any_more() {
    let mut harness = harness();
    cordon(&mut harness, &[]);
    harness.pass(BOUND, &["one", "two"]);

    harness.submit("a", job(vec![stage(4, 1)]));
    harness.sync_all();
    let without_knowledge = harness.running().len();
    cordon(&mut harness, &[]);
    harness.sync_all();

    assert_eq!(without_knowledge, 0);
    assert_eq!(harness.running().len(), 4);
}

#[test]
fn the_permission_shrinks_with_the_age_of_the_read() {
    let mut harness = harness();
    cordon(&mut harness, &[]);
    harness.sync_all();
    let fresh = start_lease(&mut harness, "one");

    harness.pass(Duration::from_secs(1), &["one"]);

    assert_eq!(start_lease(&mut harness, "one"), fresh - 1000);
}

#[test]
fn zone_that_is_taken_back_gets_tasks_again() {
    let mut harness = harness();
    cordon(&mut harness, &["north", "south"]);
    harness.sync_all();
    harness.submit("a", job(vec![stage(8, 1)]));
    harness.sync_all();
    assert!(harness.running().is_empty(), "all zones are cordoned");

    cordon(&mut harness, &["north"]);
    harness.sync_all();

    assert_eq!(vms_with_runs(&harness), IndexSet::from([Name::from("two")]));
}

#[test]
fn new_owner_starts_nothing_before_it_has_read_the_cordons() {
    let mut harness = harness();
    cordon(&mut harness, &["south"]);
    harness.sync_all();
    harness.submit("a", job(vec![stage(2, 1)]));
    harness.sync_all();
    harness.take_over();
    harness.sync_all();

    harness.end_all(EndKind::Lapsed);
    let before = harness.running().len();
    cordon(&mut harness, &["south"]);
    harness.sync_all();

    assert_eq!(before, 0);
    assert_eq!(vms_with_runs(&harness), IndexSet::from([Name::from("one")]));
}

#[test]
fn suspended_owner_starts_nothing_before_it_has_read_the_cordons_again() {
    let mut harness = harness();
    cordon(&mut harness, &[]);
    harness.sync_all();

    harness.owner.forget_cordons(harness.now);
    harness.submit("a", job(vec![stage(2, 1)]));
    harness.sync_all();

    assert!(harness.running().is_empty());
}

#[test]
fn order_whose_reply_was_lost_is_not_sent_again_after_the_permission_has_run_out() {
    let mut harness = harness();
    cordon(&mut harness, &["south"]);
    harness.sync_all();
    harness.vm("one").ignores_orders = true;
    harness.submit("a", job(vec![stage(2, 1)]));
    assert_eq!(harness.vm("one").last_reply.starts.len(), 2);

    let mut sent_again = 0;
    harness.advance(BOUND);
    for _ in 0..4 {
        harness.sync("one");
        harness.advance(Duration::from_millis(700));
        harness.settle();
        sent_again += harness.vm("one").last_reply.starts.len();
    }

    assert_eq!(sent_again, 0);
}
