//! Takeover beside workers that drain, leave or are replaced: who waits for whom.

mod harness;

use base::prelude::*;
use jobs::owner::VM_PREFIX;
use jobs::report::EndKind;
use jobs::{StageSpec, TaskRun};
use ports::store::{StoreCall, StoreReply};

use harness::{GRACE, Harness, StoreMode, WORKER_LEASE, job, overwrite, stage};

/// When runs of an unheard worker have certainly ended.
const LAPSE: Duration = Duration::from_millis(9400);

/// Two VMs, full of a job that has two more tasks than they take.
fn full_harness() -> Harness {
    full_harness_beside(1)
}

/// The same, with the given incarnation of the second worker.
fn full_harness_beside(incarnation: u64) -> Harness {
    let mut harness = Harness::new();
    harness.add_vm("one", 4);
    harness.add_vm("two", 4);
    harness.vm("two").incarnation = incarnation;
    harness.sync_all();
    harness.submit("a", job(vec![stage(10, 1)]));
    harness.sync_all();
    assert_eq!(harness.running().len(), 8);
    harness
}

fn drain(harness: &mut Harness, vm: &str) {
    harness.vm(vm).draining = true;
    harness.sync_all();
}

fn end_runs(harness: &mut Harness, vm: &str, how: EndKind) {
    let runs: Vec<TaskRun> = harness
        .vm(vm)
        .running
        .iter()
        .map(|r| r.run.clone())
        .collect();
    for run in runs {
        harness.vm(vm).end(&run, how);
    }
}

fn sync_times(harness: &mut Harness, vm: &str, times: u32) {
    for _ in 0..times {
        harness.sync(vm);
    }
}

fn standing(tasks: u32) -> StageSpec {
    StageSpec {
        standing: true,
        ..stage(tasks, 1)
    }
}

fn record(harness: &mut Harness, vm: &str) -> Option<Arc<[u8]>> {
    let key = format!("{VM_PREFIX}{vm}").into();
    match harness.store.call(harness.now, &StoreCall::Get { key }) {
        Ok(StoreReply::Got(found)) => found.map(|kv| kv.value),
        other => panic!("expected a value, got {other:?}"),
    }
}

fn tasks_on(harness: &mut Harness, vm: &str) -> IndexSet<jobs::TaskId> {
    let running = harness.vm(vm).running.iter();
    running.map(|r| r.run.task.clone()).collect()
}

#[test]
fn takeover_does_not_wait_for_empty_draining_worker() {
    let mut harness = full_harness();
    drain(&mut harness, "two");
    end_runs(&mut harness, "two", EndKind::Done);
    harness.sync_all();
    assert_eq!(harness.stored(VM_PREFIX), 1);

    harness.take_over();
    sync_times(&mut harness, "one", 3);
    end_runs(&mut harness, "one", EndKind::Done);
    sync_times(&mut harness, "one", 3);

    assert_eq!(harness.vm("one").running.len(), 2);
}

#[test]
fn takeover_beside_draining_worker_holds_back_only_its_tasks() {
    let mut harness = full_harness();
    drain(&mut harness, "two");
    let held = tasks_on(&mut harness, "two");
    harness.take_over();
    sync_times(&mut harness, "one", 3);

    end_runs(&mut harness, "one", EndKind::Done);
    sync_times(&mut harness, "one", 3);
    let started = tasks_on(&mut harness, "one");
    assert_eq!(started.len(), 2, "the tasks that ran nowhere");
    assert!(started.is_disjoint(&held));

    end_runs(&mut harness, "one", EndKind::Done);
    harness.pass(GRACE + WORKER_LEASE, &["one"]);
    assert!(
        tasks_on(&mut harness, "one").is_empty(),
        "they may still run"
    );
    harness.pass(LAPSE - GRACE - WORKER_LEASE, &["one"]);
    assert_eq!(tasks_on(&mut harness, "one"), held);
}

#[test]
fn gang_with_a_member_on_a_draining_worker_waits_whole() {
    let mut harness = Harness::new();
    harness.add_vm("one", 4);
    harness.add_vm("two", 4);
    harness.sync_all();
    let gang = StageSpec {
        gang: true,
        max_per_worker: Some(2),
        ..stage(4, 1)
    };
    harness.submit("a", job(vec![gang]));
    harness.sync_all();
    drain(&mut harness, "two");
    end_runs(&mut harness, "one", EndKind::Broken);
    harness.add_vm("three", 4);
    harness.vm("two").ignores_orders = true;

    harness.take_over();
    for _ in 0..4 {
        harness.sync("one");
        harness.sync("three");
    }

    assert!(harness.vm("one").running.is_empty());
    assert!(harness.vm("three").running.is_empty());
}

#[test]
fn standing_task_that_left_a_draining_worker_is_not_held_back() {
    let mut harness = Harness::new();
    harness.add_vm("one", 4);
    harness.add_vm("two", 4);
    harness.sync_all();
    harness.submit("quick", job(vec![stage(6, 1)]));
    harness.submit("standing", job(vec![standing(1)]));
    harness.sync_all();
    let is_standing = |run: &TaskRun| run.task.job.as_str() == "standing";
    let running = harness.running();
    let (from, _) = running
        .iter()
        .find(|(_, run)| is_standing(run))
        .expect("runs");
    let to = if &**from == "one" { "two" } else { "one" };
    drain(&mut harness, from);
    assert!(!harness.vm(from).running.is_empty(), "the record is kept");

    // The worker that has the standing task now loses it.
    harness.vm(to).restart();
    harness.take_over();
    sync_times(&mut harness, to, 4);

    let running = harness.running();
    assert!(
        running
            .iter()
            .any(|(vm, run)| **vm == *to && is_standing(run))
    );
}

/// A worker that was draining, with as many runs on record, ends them as it takes starts again.
fn harness_with_reopened_worker(runs: usize, incarnation: u64) -> Harness {
    let mut harness = full_harness_beside(incarnation);
    drain(&mut harness, "two");
    let ended = harness.vm("two").running[runs..].to_vec();
    for row in ended {
        harness.vm("two").end(&row.run, EndKind::Done);
    }
    harness.sync_all();
    harness.mode = StoreMode::Unavailable;
    harness.vm("two").draining = false;
    end_runs(&mut harness, "two", EndKind::Done);
    harness.sync_all();
    harness
}

#[test]
fn worker_that_drains_no_more_gets_no_task_before_its_record_says_so() {
    // A worker that names no incarnation has 0.
    for (runs, incarnation) in [(0, 1), (1, 1), (1, 0)] {
        let mut harness = harness_with_reopened_worker(runs, incarnation);
        assert!(harness.vm("two").running.is_empty());

        harness.mode = StoreMode::Up;
        harness.pass(Duration::from_secs(1), &["one", "two"]);
        assert_eq!(harness.vm("two").running.len(), 2);

        harness.take_over();
        sync_times(&mut harness, "one", 3);
        end_runs(&mut harness, "one", EndKind::Lapsed);
        sync_times(&mut harness, "one", 3);
        let started = tasks_on(&mut harness, "one");
        assert!(started.is_empty(), "any task may run on the other");
    }
}

#[test]
fn tasks_of_a_draining_worker_that_left_start_at_once() {
    let mut harness = full_harness();
    drain(&mut harness, "two");
    let held = tasks_on(&mut harness, "two");
    harness.take_over();
    sync_times(&mut harness, "one", 3);
    end_runs(&mut harness, "one", EndKind::Done);

    harness.vm("two").running.clear();
    harness.vm("two").is_gone = true;
    harness.sync("two");
    sync_times(&mut harness, "one", 3);

    assert!(!tasks_on(&mut harness, "one").is_disjoint(&held));
}

#[test]
fn record_that_could_not_be_written_holds_back_all() {
    for mode in [StoreMode::Unavailable, StoreMode::Rejects] {
        let mut harness = full_harness();
        harness.mode = mode;
        drain(&mut harness, "two");
        end_runs(&mut harness, "two", EndKind::Stopped);
        harness.sync_all();
        harness.mode = StoreMode::Up;

        harness.take_over();
        sync_times(&mut harness, "one", 3);
        end_runs(&mut harness, "one", EndKind::Lapsed);
        sync_times(&mut harness, "one", 3);

        assert!(harness.vm("one").running.is_empty(), "{mode:?}");
    }
}

#[test]
fn lost_response_of_the_store_bounds_the_wait_all_the_same() {
    let mut harness = full_harness();
    harness.mode = StoreMode::LosesResponses;
    drain(&mut harness, "two");
    harness.mode = StoreMode::Up;
    let held = tasks_on(&mut harness, "two");

    harness.take_over();
    sync_times(&mut harness, "one", 3);
    end_runs(&mut harness, "one", EndKind::Lapsed);
    sync_times(&mut harness, "one", 3);

    let started = tasks_on(&mut harness, "one");
    assert_eq!(started.len(), 4);
    assert!(started.is_disjoint(&held));
}

#[test]
fn second_takeover_holds_back_the_same_tasks() {
    let mut harness = full_harness();
    drain(&mut harness, "two");
    let held = tasks_on(&mut harness, "two");
    harness.take_over();
    sync_times(&mut harness, "one", 3);

    harness.take_over();
    sync_times(&mut harness, "one", 3);
    end_runs(&mut harness, "one", EndKind::Lapsed);
    sync_times(&mut harness, "one", 3);

    let started = tasks_on(&mut harness, "one");
    assert_eq!(started.len(), 4);
    assert!(started.is_disjoint(&held));
}

#[test]
fn draining_worker_that_is_heard_late_keeps_its_tasks() {
    let mut harness = full_harness();
    drain(&mut harness, "two");
    let held = tasks_on(&mut harness, "two");
    harness.take_over();
    sync_times(&mut harness, "one", 3);
    end_runs(&mut harness, "one", EndKind::Done);
    harness.pass(Duration::from_secs(2), &["one"]);

    harness.sync_all();

    assert_eq!(tasks_on(&mut harness, "two"), held);
    assert!(tasks_on(&mut harness, "one").is_disjoint(&held));
}

#[test]
fn start_that_an_earlier_process_sent_keeps_the_record_open() {
    let mut harness = full_harness();
    let waiting = harness.running()[0].1.task.clone();
    harness.vm("two").open = vec![TaskRun {
        task: waiting,
        attempt: Attempt(900),
    }];
    drain(&mut harness, "two");
    harness.take_over();
    sync_times(&mut harness, "one", 3);
    end_runs(&mut harness, "one", EndKind::Lapsed);
    sync_times(&mut harness, "one", 3);

    assert!(harness.vm("one").running.is_empty());
}

#[test]
fn record_of_an_earlier_version_holds_back_all() {
    let mut harness = full_harness();
    drain(&mut harness, "two");
    let earlier = postcard::to_stdvec(&("two", 1_u64)).expect("encodable");
    overwrite(&mut harness, &format!("{VM_PREFIX}two"), &earlier);

    harness.take_over();
    sync_times(&mut harness, "one", 3);
    end_runs(&mut harness, "one", EndKind::Lapsed);
    sync_times(&mut harness, "one", 3);

    assert!(harness.vm("one").running.is_empty());
}

#[test]
fn earlier_version_takes_a_bounded_record_for_another_incarnation() {
    let mut harness = full_harness();
    drain(&mut harness, "two");

    let bytes = record(&mut harness, "two").expect("it has runs");
    let (id, incarnation): (String, u64) = postcard::from_bytes(&bytes).expect("readable");

    // So it writes its own record before it starts anything there.
    assert_eq!((&*id, incarnation), ("two", 0));
}

/// Takes over after "one" was replaced by a worker under the given id, whose status is not settled.
fn replaced_worker(id: &str) -> Harness {
    let mut harness = full_harness();
    let vm = harness.vm("one");
    vm.restart();
    vm.worker = id.into();
    vm.is_settled = false;
    harness.take_over();
    harness.submit("b", job(vec![stage(2, 1)]));
    sync_times(&mut harness, "one", 4);
    harness
}

#[test]
fn worker_that_the_store_does_not_name_is_adopted_at_once() {
    let mut harness = replaced_worker("one, second life");

    assert_eq!(harness.vm("one").running.len(), 2);
}

#[test]
fn worker_under_the_id_of_an_earlier_one_is_adopted_once_settled() {
    let mut harness = replaced_worker("one");

    assert!(harness.vm("one").running.is_empty());
    harness.vm("one").is_settled = true;
    sync_times(&mut harness, "one", 4);
    assert_eq!(harness.vm("one").running.len(), 2);
}

#[test]
fn worker_that_the_store_names_is_adopted_once_settled() {
    let mut harness = replaced_worker("one, second life");
    harness.vm("one").is_settled = true;
    sync_times(&mut harness, "one", 4);
    // A run that is being stopped is in neither list.
    let hidden = harness.vm("one").running.remove(0).run;
    harness.vm("one").is_settled = false;

    harness.take_over();
    harness.pass(LAPSE, &["one"]);

    let tasks = tasks_on(&mut harness, "one");
    assert!(!tasks.contains(&hidden.task));
}

#[test]
fn worker_that_got_its_first_starts_is_adopted_again_once_settled() {
    let mut harness = replaced_worker("one, second life");
    // They are being stopped, so they are in neither list.
    harness.vm("one").running.clear();

    harness.vm("one").boot = 2;
    sync_times(&mut harness, "one", 6);

    assert!(harness.vm("one").running.is_empty());
}

#[test]
fn late_heartbeat_of_an_earlier_worker_does_not_hide_its_runs() {
    let mut harness = full_harness();
    let vm = harness.vm("one");
    vm.worker = "one, life before".into();
    vm.incarnation = 0;
    vm.fence = 0;
    vm.running.clear();
    vm.is_settled = false;
    harness.take_over();
    harness.submit("b", job(vec![stage(2, 1)]));
    sync_times(&mut harness, "one", 4);

    assert!(harness.vm("one").running.is_empty());
}

#[test]
fn power_loss_while_workers_are_replaced_delays_no_standing_task() {
    let mut harness = Harness::new();
    let kept = ["a", "b", "c", "d"];
    let replaced = ["e", "f", "g"];
    let all = kept.iter().chain(&replaced);
    all.for_each(|vm| harness.add_vm(vm, 4));
    harness.sync_all();
    harness.submit("quick", job(vec![stage(10, 1)]));
    harness.submit("standing", job(vec![standing(6)]));
    harness.sync_all();
    for vm in replaced {
        drain(&mut harness, vm);
    }
    end_runs(&mut harness, "e", EndKind::Done);
    harness.sync_all();

    let is_held = |vm: &&str| !tasks_on(&mut harness, vm).is_empty();
    assert!(replaced.iter().any(is_held), "one still has a run");

    // All lose power; those that were being replaced don't come back.
    for vm in kept {
        let worker = harness.vm(vm);
        worker.restart();
        worker.boot += 1;
        worker.worker = format!("{vm}, second life").as_str().into();
        worker.is_settled = false;
    }
    harness.take_over();
    for _ in 0..4 {
        kept.iter().for_each(|vm| harness.sync(vm));
    }

    let running = harness.running();
    let standing = running
        .iter()
        .filter(|(vm, run)| kept.contains(&&**vm) && run.task.job.as_str() == "standing");
    assert_eq!(standing.count(), 6, "at once");
}
