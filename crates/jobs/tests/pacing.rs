//! Fillers beside tasks with a tail target.

mod rig;

use base::prelude::*;
use jobs::{JobSpec, StageSpec};

use rig::{Rig, job, stage};

/// How long a tail may stay over its target with fillers at work beside it.
const HARM_BOUND: Duration = Duration::from_secs(4);

const TARGET_MS: u64 = 10;

/// A standing task with a tail target.
fn serving() -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        class: Some("serving".into()),
        tail_target_ms: Some(TARGET_MS),
        ..stage(1, 8)
    }])
}

/// Fillers that save checkpoints, as the second stage so that rows are told apart.
fn fillers(tasks: u32) -> JobSpec {
    job(vec![StageSpec {
        filler: true,
        checkpoints: true,
        class: Some("filler".into()),
        ..stage(tasks, 4)
    }])
}

/// One worker with a serving task and a filler beside it.
fn mixed_rig() -> Rig {
    let mut rig = Rig::new();
    rig.add_vm("vm", 64);
    rig.submit("serving", serving());
    rig.sync_all();
    rig.submit("fill", fillers(1));
    rig.sync_all();
    assert_eq!(rig.running().len(), 2);
    rig
}

fn set_tail(rig: &mut Rig, gauge: f64) {
    for row in &mut rig.vm("vm").running {
        if row.run.task.job.as_str() == "serving" {
            row.gauge = gauge;
        }
    }
}

fn pace(rig: &mut Rig) -> u32 {
    let vm = rig.vm("vm");
    let fill = vm
        .running
        .iter()
        .find(|r| r.run.task.job.as_str() == "fill");
    let fill = fill.expect("the filler runs").run.clone();
    vm.paces.get(&fill).copied().unwrap_or(100)
}

#[test]
fn a_filler_stands_still_before_a_tail_was_over_its_target_for_too_long() {
    let mut rig = mixed_rig();
    set_tail(&mut rig, 30.0);

    rig.pass(HARM_BOUND - Duration::from_millis(500), &["vm"]);

    assert_eq!(pace(&mut rig), 0);
}

#[test]
fn a_filler_goes_on_at_full_speed_once_the_tail_is_low() {
    let mut rig = mixed_rig();
    set_tail(&mut rig, 30.0);
    rig.pass(Duration::from_secs(3), &["vm"]);
    assert!(pace(&mut rig) < 100);

    set_tail(&mut rig, 3.0);
    rig.pass(Duration::from_secs(6), &["vm"]);

    assert_eq!(pace(&mut rig), 100);
}

#[test]
fn a_tail_well_below_its_target_slows_nothing() {
    let mut rig = mixed_rig();
    set_tail(&mut rig, 5.0);

    rig.pass(Duration::from_secs(5), &["vm"]);

    assert_eq!(pace(&mut rig), 100);
}

#[test]
fn no_filler_comes_to_a_worker_whose_fillers_are_slowed() {
    let mut rig = mixed_rig();
    set_tail(&mut rig, 30.0);
    rig.pass(Duration::from_secs(1), &["vm"]);

    rig.submit("more", fillers(4));
    rig.pass(Duration::from_secs(1), &["vm"]);

    assert!(
        !rig.running()
            .iter()
            .any(|(_, r)| r.task.job.as_str() == "more")
    );
}

#[test]
fn a_slowed_filler_moves_to_a_worker_without_tail_targets() {
    let mut rig = mixed_rig();
    set_tail(&mut rig, 30.0);
    rig.pass(Duration::from_secs(1), &["vm"]);

    rig.add_vm("free", 64);
    rig.pass(Duration::from_secs(3), &["vm", "free"]);

    let runs = rig.running();
    let fill = runs.iter().find(|(_, r)| r.task.job.as_str() == "fill");
    assert_eq!(fill.map(|(vm, _)| &**vm), Some("free"));
}

#[test]
fn fillers_go_where_no_task_has_a_tail_target() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 64);
    rig.submit("serving", serving());
    rig.sync_all();
    rig.add_vm("free", 64);
    rig.sync_all();

    rig.submit("fill", fillers(4));
    rig.sync_all();

    let on_free = rig.vm("free").running.len();
    assert!(on_free >= 3, "{on_free} of 4");
}

#[test]
fn a_new_owner_tells_the_pace_of_fillers_anew() {
    let mut rig = mixed_rig();
    set_tail(&mut rig, 30.0);
    rig.pass(HARM_BOUND - Duration::from_millis(500), &["vm"]);
    assert_eq!(pace(&mut rig), 0);

    set_tail(&mut rig, 3.0);
    rig.take_over();
    rig.pass(Duration::from_secs(1), &["vm"]);

    assert_eq!(
        pace(&mut rig),
        100,
        "what the former owner said does not stay"
    );
}

#[test]
fn a_filler_runs_at_last_though_harm_is_expected_everywhere() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 64);
    rig.submit("serving", serving());
    rig.sync_all();
    set_tail(&mut rig, 9.0);
    rig.pass(Duration::from_secs(20), &["vm"]);

    rig.submit("fill", fillers(3));
    rig.sync_all();
    let fills = |rig: &Rig| {
        let runs = rig.running();
        runs.iter()
            .filter(|(_, r)| r.task.job.as_str() == "fill")
            .count()
    };
    assert_eq!(fills(&rig), 0, "the tail is near its target already");
    rig.pass(Duration::from_millis(2500), &["vm"]);

    assert_eq!(fills(&rig), 1, "one task, so that the job is not forgotten");
}
