//! Which incarnation of a worker the owner takes for the current one.

mod harness;

use base::prelude::*;
use harness::{Harness, job, stage};
use jobs::StageSpec;

/// Guards against a worker that is ignored for good since the time of day was set back before its
/// restart, so that it was born before its earlier incarnation.
#[test]
fn worker_with_an_earlier_birth_gets_its_tasks_back() {
    for (id, birth) in [("one", 3), ("another", 3), ("another", 0)] {
        let mut harness = Harness::new();
        harness.add_vm("one", 16);
        harness.vm("one").incarnation = 5;
        harness.sync_all();
        let standing = StageSpec {
            standing: true,
            ..stage(2, 1)
        };
        harness.submit("job", job(vec![standing]));
        harness.sync_all();
        let before = harness.running().len();

        let vm = harness.vm("one");
        vm.restart();
        (vm.worker, vm.incarnation) = (WorkerId::from(id), birth);
        harness.pass(Duration::from_secs(1), &["one"]);

        assert_eq!(before, 2);
        assert_eq!(harness.running().len(), 2, "{id} born at {birth}");
    }
}

/// Guards against a late report of a companion process that has ended, which names an earlier
/// incarnation: the current one keeps its runs.
#[test]
fn late_report_of_an_earlier_incarnation_costs_no_run() {
    let mut harness = Harness::new();
    harness.add_vm("one", 16);
    harness.vm("one").incarnation = 5;
    harness.sync_all();
    harness.vm("one").boot = 2;
    harness.sync_all();
    harness.submit("job", job(vec![stage(2, 1)]));
    harness.sync_all();

    harness.vm("one").incarnation = 3;
    harness.sync_late("one", 1, 99);
    harness.vm("one").incarnation = 5;
    harness.pass(Duration::from_secs(1), &["one"]);

    let runs = harness.running();
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|(_, run)| run.attempt == Attempt(1)));
}

/// Guards against a late leave of an earlier incarnation, from a companion process that this owner has
/// not heard before: the current incarnation keeps its runs.
#[test]
fn late_leave_of_an_earlier_incarnation_releases_no_run() {
    let mut harness = Harness::new();
    harness.add_vm("one", 16);
    harness.add_vm("two", 16);
    harness.vm("one").incarnation = 5;
    harness.vm("one").boot = 2;
    harness.pass(Duration::from_secs(1), &["one"]);
    harness.submit("job", job(vec![stage(2, 1)]));
    harness.pass(Duration::from_secs(1), &["one", "two"]);
    let before = harness.running();

    report_late_leave(&mut harness, "one", 3);
    harness.pass(Duration::from_secs(1), &["two"]);

    assert_eq!(harness.running(), before);
}

/// Guards against a late leave of an earlier incarnation than the recorded one: a new owner waits for
/// the recorded one, which may run any task.
#[test]
fn late_leave_of_an_earlier_incarnation_does_not_end_the_wait_of_a_new_owner() {
    let mut harness = Harness::new();
    harness.add_vm("one", 16);
    harness.vm("one").incarnation = 5;
    harness.vm("one").boot = 2;
    harness.sync_all();
    harness.submit("job", job(vec![stage(2, 1)]));
    harness.sync_all();
    let before = harness.running();
    harness.add_vm("two", 16);

    harness.take_over();
    report_late_leave(&mut harness, "one", 3);
    harness.pass(Duration::from_secs(1), &["two"]);

    assert_eq!(harness.running(), before);
}

/// Delivers a report that the companion's first process sent as an earlier incarnation left.
fn report_late_leave(harness: &mut Harness, name: &str, incarnation: u64) {
    let current = harness.vm(name).clone();
    let vm = harness.vm(name);
    (vm.incarnation, vm.is_gone, vm.fence, vm.epoch) = (incarnation, true, 0, Epoch(0));
    vm.running.clear();
    harness.sync_late(name, 1, 99);
    *harness.vm(name) = current;
}

/// Guards against a plain report of an earlier incarnation that arrives late too, before its leave: the
/// leave then agrees with the last report, but not with the record.
#[test]
fn late_reports_of_an_earlier_incarnation_do_not_end_the_wait_of_a_new_owner() {
    let mut harness = Harness::new();
    harness.add_vm("one", 16);
    harness.vm("one").incarnation = 5;
    harness.vm("one").boot = 2;
    harness.sync_all();
    harness.submit("job", job(vec![stage(2, 1)]));
    harness.sync_all();
    let before = harness.running();
    harness.add_vm("two", 16);

    harness.take_over();
    report_late(&mut harness, "one", 98, false);
    report_late(&mut harness, "one", 99, true);
    harness.pass(Duration::from_secs(1), &["two"]);

    assert_eq!(harness.running(), before);
}

/// Delivers a report that the companion's first process sent of the worker's third incarnation.
fn report_late(harness: &mut Harness, name: &str, number: u64, is_gone: bool) {
    let current = harness.vm(name).clone();
    let vm = harness.vm(name);
    (vm.incarnation, vm.is_gone, vm.fence, vm.epoch) = (3, is_gone, 0, Epoch(0));
    vm.running.clear();
    harness.sync_late(name, 1, number);
    *harness.vm(name) = current;
}
