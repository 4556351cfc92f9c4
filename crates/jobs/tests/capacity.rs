//! Capacity that shrinks and grows under running tasks.

mod harness;

use base::prelude::*;
use jobs::StageSpec;
use jobs::report::EndKind;

use harness::{Harness, job, stage};

fn cores(cores: u64) -> Resources {
    Resources::new(cores, cores * 4096, 0)
}

fn harness_with_worker(cores: u64) -> Harness {
    let mut harness = Harness::new();
    harness.add_vm("vm", cores);
    harness.sync_all();
    harness
}

#[test]
fn worker_whose_capacity_has_shrunk_gets_no_task_over_it() {
    let mut harness = harness_with_worker(16);
    harness.submit("first", job(vec![stage(2, 4)]));
    harness.sync_all();

    harness.vm("vm").capacity = cores(10);
    harness.sync_all();
    harness.submit("second", job(vec![stage(2, 4)]));
    harness.sync_all();

    assert_eq!(harness.running().len(), 2);
}

#[test]
fn running_tasks_go_on_when_the_capacity_shrinks_below_them() {
    let mut harness = harness_with_worker(16);
    harness.submit("job", job(vec![stage(4, 4)]));
    harness.sync_all();

    harness.vm("vm").capacity = cores(8);
    harness.sync_all();

    assert_eq!(harness.running().len(), 4);
}

#[test]
fn room_is_not_free_until_enough_runs_have_ended() {
    let mut harness = harness_with_worker(16);
    harness.submit("first", job(vec![stage(4, 4)]));
    harness.sync_all();
    harness.vm("vm").capacity = cores(8);
    harness.submit("second", job(vec![stage(2, 4)]));
    harness.sync_all();
    let runs = harness.running();

    harness.vm("vm").end(&runs[0].1, EndKind::Done);
    harness.vm("vm").end(&runs[1].1, EndKind::Done);
    harness.sync_all();
    let after_two = harness.running().len();
    harness.vm("vm").end(&runs[2].1, EndKind::Done);
    harness.sync_all();

    assert_eq!((after_two, harness.running().len()), (2, 2));
}

#[test]
fn capacity_that_has_grown_is_used_at_once() {
    let mut harness = harness_with_worker(4);
    harness.submit("job", job(vec![stage(4, 4)]));
    harness.sync_all();

    harness.vm("vm").capacity = cores(16);
    harness.sync_all();

    assert_eq!(harness.running().len(), 4);
}

#[test]
fn starts_in_flight_over_a_shrunk_capacity_are_withdrawn() {
    let mut harness = harness_with_worker(16);
    harness.submit("running", job(vec![stage(1, 4)]));
    harness.sync_all();
    harness.vm("vm").ignores_orders = true;
    harness.submit("in-flight", job(vec![stage(3, 4)]));
    harness.sync("vm");

    harness.vm("vm").capacity = cores(8);
    harness.sync("vm");
    harness.advance(Duration::from_millis(700));
    harness.settle();

    let stops = &harness.vm("vm").last_reply.stops;
    assert_eq!(stops.len(), 2, "{stops:?}");
    assert!(stops.iter().all(|r| r.task.job.as_str() == "in-flight"));
}

#[test]
fn all_members_of_a_gang_are_withdrawn_with_one() {
    let mut harness = harness_with_worker(16);
    harness.add_vm("other", 16);
    harness.sync_all();
    let gang = StageSpec {
        gang: true,
        max_per_worker: Some(1),
        ..stage(2, 12)
    };
    harness.vm("vm").ignores_orders = true;
    harness.vm("other").ignores_orders = true;
    harness.submit("gang", job(vec![gang]));
    harness.sync_all();

    harness.vm("vm").capacity = cores(8);
    let mut stopped = IndexSet::new();
    for _ in 0..4 {
        harness.advance(Duration::from_millis(700));
        for name in ["vm", "other"] {
            harness.sync(name);
            stopped.extend(harness.vm(name).last_reply.stops.clone());
        }
    }

    assert_eq!(stopped.len(), 2);
}

#[test]
fn new_owner_counts_what_runs_over_a_shrunk_capacity() {
    let mut harness = harness_with_worker(16);
    harness.submit("first", job(vec![stage(4, 4)]));
    harness.submit("second", job(vec![stage(1, 4)]));
    harness.sync_all();
    harness.vm("vm").capacity = cores(8);

    harness.take_over();
    harness.sync_all();
    let runs = harness.running();
    harness.vm("vm").end(&runs[0].1, EndKind::Done);
    harness.sync_all();

    assert_eq!(harness.running().len(), 3);
}
