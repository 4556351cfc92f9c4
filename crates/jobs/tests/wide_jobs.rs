//! Jobs with many tasks: the owner's work for them must not hold up leases, answers and other jobs.

mod harness;

use base::prelude::*;
use harness::{Harness, job, stage};
use jobs::report::EndKind;
use jobs::{JobReply, JobSpec, JobState, Schedule, StageSpec, TaskRun};

const WORKERS: usize = 11;
const CORES: u64 = 64;
const WIDTH: u32 = 10_000;

/// The longest that one call may compute: the owner renews its lease each 500 ms, and nothing else runs
/// meanwhile. The build under test is not optimised.
const MAX_CALL: Duration = Duration::from_millis(500);

/// The largest reply that companions accept, in bytes.
const MAX_REPLY: usize = 4 * 1024 * 1024;

/// Returns a stage of many tasks of 0.02 cores.
fn wide() -> StageSpec {
    StageSpec {
        resources: Resources {
            cpu_milli: 20,
            memory_mib: 2,
            accelerators: 0,
        },
        ..stage(WIDTH, 0)
    }
}

/// Returns a stage of tasks of 0.005 cores.
fn small(tasks: u32) -> StageSpec {
    let mut stage = StageSpec { tasks, ..wide() };
    stage.resources.cpu_milli = 5;
    stage
}

/// Returns a stage of latency-critical tasks.
fn service_of(tasks: u32) -> StageSpec {
    StageSpec {
        standing: true,
        class: Some("serving".into()),
        latency_target_ms: Some(18),
        ..stage(tasks, 2)
    }
}

/// Returns a harness with workers in four racks, one of them with a label of its own.
fn fleet() -> Harness {
    let mut harness = Harness::new();
    for at in 0..WORKERS {
        let name = format!("vm-{at}");
        harness.add_vm(&name, CORES);
        let rack = format!("r1-{}", at / 3);
        harness.vm(&name).labels = vec![rack.as_str().into()];
    }
    harness.vm("vm-0").labels.push("b".into());
    harness.sync_all();
    harness
}

/// Ends the runs that a job has, and returns how many those were.
fn end_runs_of(harness: &mut Harness, job: &str, how: EndKind) -> usize {
    let mut ended = 0;
    for vm in harness.vms.values_mut() {
        let runs: Vec<TaskRun> = vm.running.iter().map(|r| r.run.clone()).collect();
        for run in runs.iter().filter(|r| r.task.job.as_str() == job) {
            vm.end(run, how);
            ended += 1;
        }
    }
    ended
}

fn runs_of(harness: &Harness, job: &str) -> usize {
    let running = harness.running();
    let runs = running.iter();
    runs.filter(|(_, r)| r.task.job.as_str() == job).count()
}

/// Lets some rounds of reports pass, 20 ms apart.
fn pass(harness: &mut Harness, rounds: usize) {
    let names: Vec<Name> = harness.vms.keys().cloned().collect();
    for _ in 0..rounds {
        harness.advance(Duration::from_millis(20));
        harness.settle();
        for name in &names {
            harness.sync(name);
        }
    }
}

/// Runs a wide job until all its tasks are done, as a worker would that takes little time for each.
fn complete(harness: &mut Harness, id: &str) -> usize {
    let mut done = 0;
    for _ in 0..400 {
        pass(harness, 1);
        done += end_runs_of(harness, id, EndKind::Done);
        if harness.status(id) == Some(JobReply::Status(JobState::Completed)) {
            break;
        }
    }
    done
}

/// Asserts that no call took longer than leases and answers can wait.
fn assert_prompt(harness: &Harness) {
    let longest = harness.longest_call;
    assert!(longest < MAX_CALL, "one call took {longest:?}");
    let largest = harness.largest_reply;
    assert!(largest < MAX_REPLY, "a reply has {largest} bytes");
}

/// Plays a wide job beside an ordinary one, which has to get all its runs within 200 ms, until both are
/// completed.
fn play(mut harness: Harness, wide: StageSpec) {
    let tasks = wide.tasks as usize;
    harness.submit("wide", job(vec![wide]));
    let second = StageSpec {
        after: vec![0],
        ..stage(3, 1)
    };
    harness.submit("ordinary", job(vec![stage(3, 1), second]));

    for _ in 0..2 {
        pass(&mut harness, 10);
        assert_eq!(end_runs_of(&mut harness, "ordinary", EndKind::Done), 3);
    }
    assert_eq!(complete(&mut harness, "wide"), tasks);
    assert_prompt(&harness);
}

/// Guards against a limit per worker whose check grew with the square of the width: one placement held
/// the owner up for seconds, until its lease had lapsed.
#[test]
fn wide_stage_with_a_limit_per_worker_does_not_hold_up_the_owner() {
    play(
        fleet(),
        StageSpec {
            max_per_worker: Some(1_000),
            ..wide()
        },
    );
}

/// Guards against wide stages of other kinds that hold the owner up in the same way.
#[test]
fn wide_stages_of_other_kinds_do_not_hold_up_the_owner() {
    play(fleet(), wide());
    play(
        fleet(),
        StageSpec {
            near_rack: Some("r1-1".into()),
            max_per_worker: Some(1_000),
            ..wide()
        },
    );
    play(
        fleet(),
        StageSpec {
            speculative: true,
            checkpoints: true,
            max_per_worker: Some(1_000),
            ..wide()
        },
    );
}

/// Guards against runs of one worker that were all summed up again for each one that came.
#[test]
fn wide_stage_on_one_worker_does_not_hold_up_the_owner() {
    let mut harness = fleet();
    let stage = StageSpec {
        label: Some("b".into()),
        standing: true,
        ..small(WIDTH)
    };
    harness.submit("wide", job(vec![stage]));

    pass(&mut harness, 200);

    assert_eq!(runs_of(&harness, "wide"), WIDTH as usize);
    assert_prompt(&harness);
}

/// Guards against best-effort tasks whose load was summed up for each task and worker anew.
#[test]
fn wide_best_effort_stage_beside_a_service_does_not_hold_up_the_owner() {
    let mut harness = fleet();
    harness.submit("service", job(vec![service_of(11)]));
    pass(&mut harness, 10);
    let stage = StageSpec {
        best_effort: true,
        class: Some("filling".into()),
        ..small(WIDTH)
    };
    harness.submit("wide", job(vec![stage]));

    pass(&mut harness, 40);
    let late = StageSpec {
        resources: small(1).resources,
        ..service_of(4_000)
    };
    harness.submit("late", job(vec![late]));
    pass(&mut harness, 20);

    assert!(runs_of(&harness, "wide") > 5_000);
    assert_eq!(runs_of(&harness, "late"), 4_000);
    assert_prompt(&harness);
}

/// Guards against ordinary jobs that wait until a worker has begun thousands of starts before theirs.
#[test]
fn starts_of_a_wide_stage_leave_room_for_others_at_a_worker_that_begins_none() {
    let mut harness = fleet();
    for vm in harness.vms.values_mut() {
        vm.holds_starts = true;
    }
    harness.submit("wide", job(vec![wide()]));
    pass(&mut harness, 20);
    let before: usize = harness.vms.values().map(|vm| vm.open.len()).sum();

    harness.submit("ordinary", job(vec![stage(11, 1)]));
    pass(&mut harness, 2);

    let open = harness.vms.values().flat_map(|vm| &vm.open);
    let ordinary = open.filter(|r| r.task.job.as_str() == "ordinary").count();
    assert_eq!(ordinary, 11);
    assert!(before <= WORKERS * 64, "{before} starts are under way");
}

/// Guards against replies that exceed what companions accept, since all starts of a worker are in one.
#[test]
fn starts_with_long_payloads_are_spread_over_replies() {
    let mut harness = fleet();
    let spec = JobSpec {
        payload: "\u{1}".repeat(4_000).as_str().into(),
        ..job(vec![StageSpec {
            gang: true,
            tasks: 4_000,
            ..wide()
        }])
    };

    harness.submit("wide", spec);
    pass(&mut harness, 60);

    assert_eq!(runs_of(&harness, "wide"), 4_000);
    assert_prompt(&harness);
}

/// Guards against a cancellation, a lost worker, a drain and a takeover whose cost grew with the square
/// of the width.
#[test]
fn changes_under_a_wide_job_do_not_hold_up_the_owner() {
    let mut harness = fleet();
    let standing = StageSpec {
        standing: true,
        ..wide()
    };
    harness.submit("wide", job(vec![standing]));
    pass(&mut harness, 40);
    assert_eq!(runs_of(&harness, "wide"), WIDTH as usize);

    harness.vm("vm-1").crash(|_| 5);
    pass(&mut harness, 20);
    harness.vm("vm-2").draining = true;
    pass(&mut harness, 5);
    harness.vm("vm-3").capacity = Resources::new(8, 8 * 4096, 0);
    pass(&mut harness, 5);
    harness.take_over();
    pass(&mut harness, 20);
    harness.cancel("wide");
    pass(&mut harness, 40);

    assert_eq!(runs_of(&harness, "wide"), 0, "all runs are stopped");
    assert_prompt(&harness);
}

/// Guards against a gang that is withdrawn once for each of its members.
#[test]
fn wide_gang_is_withdrawn_once() {
    let mut harness = fleet();
    for vm in harness.vms.values_mut() {
        vm.holds_starts = true;
    }
    let gang = StageSpec {
        gang: true,
        ..wide()
    };
    harness.submit("wide", job(vec![gang]));
    pass(&mut harness, 5);

    harness.vm("vm-3").capacity = Resources::new(1, 4096, 0);
    pass(&mut harness, 40);

    assert_prompt(&harness);
}

/// Guards against occurrences that are all due at once: each was ranked by a sum over all of them.
#[test]
fn many_overlapping_occurrences_do_not_hold_up_the_owner() {
    let mut harness = fleet();
    let spec = JobSpec {
        schedule: Some(Schedule {
            occurrences: WIDTH,
            first_unix_ms: 0,
            interval_ms: 0,
        }),
        ..job(vec![StageSpec { tasks: 1, ..wide() }])
    };
    harness.submit("wide", spec);
    harness.submit("ordinary", job(vec![stage(3, 1)]));

    pass(&mut harness, 10);

    assert_eq!(runs_of(&harness, "ordinary"), 3);
    assert_eq!(complete(&mut harness, "wide"), WIDTH as usize);
    assert_prompt(&harness);
}

/// Guards against room for a large task that was worked out from all small runs, for each pair of them.
#[test]
fn large_task_beside_many_small_runs_does_not_hold_up_the_owner() {
    let mut harness = fleet();
    harness.submit("wide", job(vec![small(20_000)]));
    pass(&mut harness, 60);
    let half = StageSpec {
        standing: true,
        ..stage(22, 24)
    };
    harness.submit("half", job(vec![half]));
    pass(&mut harness, 10);

    harness.submit("large", job(vec![stage(4, 60)]));
    pass(&mut harness, 10);

    assert_eq!(runs_of(&harness, "wide"), 20_000);
    assert_prompt(&harness);
}

/// Guards against the whole progress of a wide job being written again for each few of its ends.
#[test]
fn progress_of_a_wide_job_is_not_written_for_each_end() {
    let mut harness = fleet();
    harness.submit("wide", job(vec![wide()]));
    for _ in 0..30 {
        pass(&mut harness, 1);
        for vm in harness.vms.values_mut() {
            let rows = vm.running.iter().map(|r| r.run.clone());
            let early = rows.filter(|run| run.task.index < 9_000);
            for run in early.collect::<Vec<_>>() {
                vm.end(&run, EndKind::Done);
            }
        }
    }
    pass(&mut harness, 10);
    assert_eq!(runs_of(&harness, "wide"), 1_000);
    harness.written_bytes = 0;
    let began = harness.now;

    let names: Vec<Name> = harness.vms.keys().cloned().collect();
    for name in names.iter().cycle().take(250) {
        let vm = harness.vm(name);
        if let Some(run) = vm.running.first().map(|r| r.run.clone()) {
            vm.end(&run, EndKind::Done);
        }
        harness.advance(Duration::from_millis(4));
        harness.sync(name);
    }

    let seconds = harness.now.duration_since(began).as_secs_f64();
    let rate = harness.written_bytes as f64 / seconds;
    assert!(rate > 0.0 && rate < 1.5e6, "{rate:.0} bytes a second");
}
