//! The owner's estimate of the load of services, seen by where best-effort tasks are placed.

mod harness;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobSpec, StageSpec, TaskRun};

use harness::{Harness, job, stage};

const TARGET_MS: u64 = 18;

/// Tail latencies of a service at low load, near its target and far over it.
const LOW_TAIL_LATENCY_MS: f64 = 5.0;
const HIGH_TAIL_LATENCY_MS: f64 = 17.0;
const BACKLOG_TAIL_LATENCY_MS: f64 = 60.0;

/// The processor use of a best-effort task at full speed, in thousandths of a core.
const BEST_EFFORT_MILLI: f64 = 4000.0;

/// A job of one latency-critical task that occupies most of a worker.
fn latency_critical() -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        class: Some("serving".into()),
        latency_target_ms: Some(TARGET_MS),
        ..stage(1, 40)
    }])
}

fn best_effort(tasks: u32) -> JobSpec {
    job(vec![StageSpec {
        best_effort: true,
        class: Some("filler".into()),
        ..stage(tasks, 4)
    }])
}

/// Two workers, each with a latency-critical job of the same class.
fn two_services() -> Harness {
    let mut harness = Harness::new();
    harness.add_vm("a", 64);
    harness.add_vm("b", 64);
    harness.sync_all();
    harness.submit("serving-1", latency_critical());
    harness.submit("serving-2", latency_critical());
    harness.sync_all();
    assert_eq!(harness.running().len(), 2);
    harness
}

fn set_tail_latency(harness: &mut Harness, vm: &str, gauge: f64) {
    for row in &mut harness.vm(vm).running {
        if row.run.task.job.as_str().starts_with("serving") {
            row.gauge = gauge;
        }
    }
}

/// Sets the measurements of a worker: best-effort tasks at full speed, and the tail latency.
fn set_measurements(harness: &mut Harness, vm: &str, tail: f64) {
    set_tail_latency(harness, vm, tail);
    for row in &mut harness.vm(vm).running {
        if row.run.task.job.as_str() == "fill" {
            row.gauge = BEST_EFFORT_MILLI;
        }
    }
}

fn best_effort_runs_on(harness: &mut Harness, vm: &str) -> Vec<TaskRun> {
    let rows = harness.vm(vm).running.iter().map(|r| r.run.clone());
    rows.filter(|r| r.task.job.as_str().starts_with("fill"))
        .collect()
}

#[test]
fn services_of_one_class_have_separate_loads() {
    let mut harness = two_services();
    set_tail_latency(&mut harness, "a", LOW_TAIL_LATENCY_MS);
    set_tail_latency(&mut harness, "b", HIGH_TAIL_LATENCY_MS);
    harness.pass(Duration::from_secs(3), &["a", "b"]);

    harness.submit("fill", best_effort(4));
    harness.sync_all();

    assert_eq!(best_effort_runs_on(&mut harness, "a").len(), 4);
    assert_eq!(best_effort_runs_on(&mut harness, "b").len(), 0);
}

#[test]
fn redelivered_status_does_not_change_estimates() {
    let best_effort_runs_after = |times: usize| {
        let mut harness = two_services();
        set_tail_latency(&mut harness, "a", LOW_TAIL_LATENCY_MS);
        set_tail_latency(&mut harness, "b", BACKLOG_TAIL_LATENCY_MS);
        harness.pass(Duration::from_secs(3), &["a", "b"]);
        harness.submit("fill", best_effort(4));
        harness.sync_all();
        set_measurements(&mut harness, "a", 12.0);
        harness.advance(Duration::from_millis(250));
        for _ in 0..times {
            harness.sync("a");
        }
        harness.submit("more", best_effort(8));
        harness.sync_all();
        best_effort_runs_on(&mut harness, "a").len()
    };

    let (once, often) = (best_effort_runs_after(1), best_effort_runs_after(20));

    assert_eq!(once, often);
}

#[test]
fn recently_ended_best_effort_task_explains_latency() {
    let mut harness = two_services();
    set_tail_latency(&mut harness, "a", LOW_TAIL_LATENCY_MS);
    set_tail_latency(&mut harness, "b", BACKLOG_TAIL_LATENCY_MS);
    harness.pass(Duration::from_secs(3), &["a", "b"]);
    harness.submit("fill", best_effort(4));
    harness.sync_all();
    for _ in 0..8 {
        harness.advance(Duration::from_millis(250));
        set_measurements(&mut harness, "a", 7.0);
        harness.sync("a");
        harness.sync("b");
    }

    let ended = best_effort_runs_on(&mut harness, "a");
    for run in &ended {
        harness.vm("a").end(run, EndKind::Done);
    }
    harness.advance(Duration::from_millis(50));
    harness.sync("a");
    harness.submit("fill-more", best_effort(4));
    harness.sync_all();

    assert_eq!(best_effort_runs_on(&mut harness, "a").len(), 4);
}
