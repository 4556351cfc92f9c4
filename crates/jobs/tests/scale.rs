//! Sixty-four workers with serving tasks, and a backlog of fillers.

mod rig;

use base::prelude::*;
use jobs::{JobSpec, StageSpec, TaskRun};

use jobs::report::EndKind;
use rig::{Rig, job, stage};

const WORKERS: usize = 64;

/// How long a filler works.
const FILLER_TIME: Duration = Duration::from_secs(2);

fn serving(class: usize) -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        class: Some(format!("serving-{class}").into()),
        tail_target_ms: Some(18),
        ..stage(14, 10)
    }])
}

fn fillers(class: usize) -> JobSpec {
    job(vec![StageSpec {
        filler: true,
        checkpoints: true,
        class: Some(format!("filler-{class}").into()),
        ..stage(20, 7)
    }])
}

/// Plays some seconds; returns how many runs ended and how long the decisions took.
fn play(seconds: u64) -> (usize, Duration) {
    let mut rig = Rig::new();
    let names: Vec<String> = (0..WORKERS).map(|i| format!("vm-{i}")).collect();
    for name in &names {
        rig.add_vm(name, 64);
    }
    rig.sync_all();
    for i in 0..20 {
        rig.submit(&format!("serving-{i}"), serving(i % 5));
    }
    rig.sync_all();
    let mut since: IndexMap<TaskRun, Instant> = IndexMap::new();
    let mut ended = 0;
    let mut took = Duration::ZERO;
    for step in 0..seconds * 4 {
        for i in 0..2 {
            let at = step as usize * 2 + i;
            rig.submit(&format!("fill-{at}"), fillers(at % 9));
        }
        rig.advance(Duration::from_millis(250));
        for name in &names {
            let now = rig.now;
            let vm = rig.vm(name);
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
                    if now >= from + FILLER_TIME {
                        vm.end(&run, EndKind::Done);
                        ended += 1;
                    }
                }
            }
            let began = Instant::now();
            rig.sync(name);
            took += began.elapsed();
        }
    }
    (ended, took)
}

#[test]
fn a_backlog_of_fillers_is_worked_off_beside_serving_tasks() {
    let (ended, took) = play(10);

    println!("{ended} runs ended; decisions took {took:?}");
    assert!(ended > 500, "{ended}");
}
