//! Sixty-four workers with latency-critical tasks, and a backlog of best-effort tasks.

mod harness;

use base::prelude::*;
use jobs::{JobSpec, StageSpec, TaskRun};

use harness::{Harness, job, stage};
use jobs::report::EndKind;

const WORKERS: usize = 64;

/// The run time of a best-effort task.
const BEST_EFFORT_TIME: Duration = Duration::from_secs(2);

fn latency_critical(class: usize) -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        class: Some(format!("serving-{class}").into()),
        latency_target_ms: Some(18),
        ..stage(14, 10)
    }])
}

fn best_effort(class: usize) -> JobSpec {
    job(vec![StageSpec {
        best_effort: true,
        checkpoints: true,
        class: Some(format!("filler-{class}").into()),
        ..stage(20, 7)
    }])
}

/// Simulates some seconds; returns how many runs finished and the real time spent in the owner.
fn simulate(seconds: u64) -> (usize, Duration) {
    let mut harness = Harness::new();
    let names: Vec<String> = (0..WORKERS).map(|i| format!("vm-{i}")).collect();
    for name in &names {
        harness.add_vm(name, 64);
    }
    harness.sync_all();
    for i in 0..20 {
        harness.submit(&format!("serving-{i}"), latency_critical(i % 5));
    }
    harness.sync_all();
    let mut since: IndexMap<TaskRun, Instant> = IndexMap::new();
    let mut ended = 0;
    let mut took = Duration::ZERO;
    for step in 0..seconds * 4 {
        for i in 0..2 {
            let at = step as usize * 2 + i;
            harness.submit(&format!("fill-{at}"), best_effort(at % 9));
        }
        harness.advance(Duration::from_millis(250));
        for name in &names {
            let now = harness.now;
            let vm = harness.vm(name);
            for row in &mut vm.running {
                row.gauge = if row.run.task.job.as_str().starts_with("serving") {
                    9.0
                } else {
                    6500.0
                };
            }
            let rows: Vec<TaskRun> = vm.running.iter().map(|r| r.run.clone()).collect();
            for run in rows {
                if run.task.job.as_str().starts_with("fill") {
                    let from = *since.entry(run.clone()).or_insert(now);
                    if now >= from + BEST_EFFORT_TIME {
                        vm.end(&run, EndKind::Done);
                        ended += 1;
                    }
                }
            }
            let began = Instant::now();
            harness.sync(name);
            took += began.elapsed();
        }
    }
    (ended, took)
}

#[test]
fn backlog_of_best_effort_tasks_drains_beside_latency_critical_ones() {
    let (ended, took) = simulate(10);

    println!("{ended} runs ended; decisions took {took:?}");
    assert!(ended > 500, "{ended}");
}
