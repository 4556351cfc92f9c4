//! Throttling of best-effort tasks next to latency-critical ones.

mod harness;

use base::prelude::*;
use jobs::{JobSpec, StageSpec};

use harness::{Harness, job, stage};

/// How long a tail latency may exceed its target while best-effort tasks run on the worker.
const MAX_TIME_OVER_TARGET: Duration = Duration::from_secs(4);

const TARGET_MS: u64 = 10;

/// A job of one latency-critical task.
fn latency_critical() -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        class: Some("serving".into()),
        latency_target_ms: Some(TARGET_MS),
        ..stage(1, 8)
    }])
}

/// A job of best-effort tasks that save checkpoints.
fn best_effort(tasks: u32) -> JobSpec {
    job(vec![StageSpec {
        best_effort: true,
        checkpoints: true,
        class: Some("filler".into()),
        ..stage(tasks, 4)
    }])
}

/// A worker with a latency-critical and a best-effort task.
fn colocated_harness() -> Harness {
    let mut harness = Harness::new();
    harness.add_vm("vm", 64);
    harness.submit("serving", latency_critical());
    harness.sync_all();
    harness.submit("fill", best_effort(1));
    harness.sync_all();
    assert_eq!(harness.running().len(), 2);
    harness
}

fn set_tail_latency(harness: &mut Harness, gauge: f64) {
    for row in &mut harness.vm("vm").running {
        if row.run.task.job.as_str() == "serving" {
            row.gauge = gauge;
        }
    }
}

fn speed_of_best_effort(harness: &mut Harness) -> u32 {
    let vm = harness.vm("vm");
    let fill = vm
        .running
        .iter()
        .find(|r| r.run.task.job.as_str() == "fill");
    let fill = fill.expect("the best-effort task runs").run.clone();
    vm.throttles.get(&fill).copied().unwrap_or(100)
}

#[test]
fn best_effort_task_is_paused_within_the_bound() {
    let mut harness = colocated_harness();
    set_tail_latency(&mut harness, 30.0);

    harness.pass(MAX_TIME_OVER_TARGET - Duration::from_millis(500), &["vm"]);

    assert_eq!(speed_of_best_effort(&mut harness), 0);
}

#[test]
fn best_effort_task_returns_to_full_speed_at_low_latency() {
    let mut harness = colocated_harness();
    set_tail_latency(&mut harness, 30.0);
    harness.pass(Duration::from_secs(3), &["vm"]);
    assert!(speed_of_best_effort(&mut harness) < 100);

    set_tail_latency(&mut harness, 3.0);
    harness.pass(Duration::from_secs(6), &["vm"]);

    assert_eq!(speed_of_best_effort(&mut harness), 100);
}

#[test]
fn latency_below_target_throttles_nothing() {
    let mut harness = colocated_harness();
    set_tail_latency(&mut harness, 5.0);

    harness.pass(Duration::from_secs(5), &["vm"]);

    assert_eq!(speed_of_best_effort(&mut harness), 100);
}

#[test]
fn throttled_worker_gets_no_best_effort_tasks() {
    let mut harness = colocated_harness();
    set_tail_latency(&mut harness, 30.0);
    harness.pass(Duration::from_secs(1), &["vm"]);

    harness.submit("more", best_effort(4));
    harness.pass(Duration::from_secs(1), &["vm"]);

    assert!(
        !harness
            .running()
            .iter()
            .any(|(_, r)| r.task.job.as_str() == "more")
    );
}

#[test]
fn throttled_task_moves_to_worker_without_latency_targets() {
    let mut harness = colocated_harness();
    set_tail_latency(&mut harness, 30.0);
    harness.pass(Duration::from_secs(1), &["vm"]);

    harness.add_vm("free", 64);
    harness.pass(Duration::from_secs(3), &["vm", "free"]);

    let runs = harness.running();
    let fill = runs.iter().find(|(_, r)| r.task.job.as_str() == "fill");
    assert_eq!(fill.map(|(vm, _)| &**vm), Some("free"));
}

#[test]
fn best_effort_tasks_prefer_workers_without_latency_targets() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 64);
    harness.submit("serving", latency_critical());
    harness.sync_all();
    harness.add_vm("free", 64);
    harness.sync_all();

    harness.submit("fill", best_effort(4));
    harness.sync_all();

    let on_free = harness.vm("free").running.len();
    assert!(on_free >= 3, "{on_free} of 4");
}

#[test]
fn new_owner_resends_throttles() {
    let mut harness = colocated_harness();
    set_tail_latency(&mut harness, 30.0);
    harness.pass(MAX_TIME_OVER_TARGET - Duration::from_millis(500), &["vm"]);
    assert_eq!(speed_of_best_effort(&mut harness), 0);

    set_tail_latency(&mut harness, 3.0);
    harness.take_over();
    harness.pass(Duration::from_secs(1), &["vm"]);

    assert_eq!(
        speed_of_best_effort(&mut harness),
        100,
        "the throttle of the previous owner does not stay"
    );
}

#[test]
fn starved_best_effort_job_gets_one_task_despite_interference() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 64);
    harness.submit("serving", latency_critical());
    harness.sync_all();
    set_tail_latency(&mut harness, 9.0);
    harness.pass(Duration::from_secs(20), &["vm"]);

    harness.submit("fill", best_effort(3));
    harness.sync_all();
    let best_effort_runs = |harness: &Harness| {
        let runs = harness.running();
        runs.iter()
            .filter(|(_, r)| r.task.job.as_str() == "fill")
            .count()
    };
    assert_eq!(
        best_effort_runs(&harness),
        0,
        "the tail latency is near its target already"
    );
    harness.pass(Duration::from_millis(2500), &["vm"]);

    assert_eq!(
        best_effort_runs(&harness),
        1,
        "one task, so that the job does not starve"
    );
}
