//! Which runs the owner learns run times from.

mod harness;

use base::prelude::*;
use jobs::StageSpec;
use jobs::report::EndKind;
use runtimes::StageKey;

use harness::{Harness, ROUTE, job, route, stage};

/// The run time of a task in these tests; its declared time is one second.
const RUN_TIME: Duration = Duration::from_secs(4);

fn started(spec: StageSpec) -> Harness {
    let mut harness = Harness::new();
    harness.add_vm("vm", 64);
    harness.submit("a", job(vec![spec]));
    harness.sync_all();
    harness
}

fn end(harness: &mut Harness, how: EndKind) {
    harness.pass(RUN_TIME, &["vm"]);
    harness.end_all(how);
}

/// Returns whether the stage is predicted to run longer than declared.
fn has_learned(harness: &Harness) -> bool {
    let key = StageKey {
        route: route(ROUTE).address,
        stage: 0,
    };
    let declared = Duration::from_secs(1);
    harness.owner.run_times().predict(&key, declared).typical > declared.mul_f64(1.5)
}

#[test]
fn completed_runs_are_learned_from() {
    let mut harness = started(stage(6, 1));

    end(&mut harness, EndKind::Done);

    assert!(has_learned(&harness));
}

#[test]
fn failed_runs_are_not_learned_from() {
    let mut harness = started(stage(6, 1));

    end(&mut harness, EndKind::Failed);

    assert!(!has_learned(&harness));
}

#[test]
fn adopted_runs_are_not_learned_from() {
    let mut harness = started(stage(6, 1));

    harness.take_over();
    harness.sync_all();
    end(&mut harness, EndKind::Done);

    assert_eq!(harness.owner.run_times().stages(), 0);
}

#[test]
fn runs_from_a_checkpoint_are_not_learned_from() {
    let mut harness = started(stage(6, 1));
    for row in &mut harness.vm("vm").running {
        row.checkpoint = Some("half".into());
    }
    harness.sync_all();
    harness.end_all(EndKind::Stopped);

    end(&mut harness, EndKind::Done);

    assert_eq!(harness.owner.run_times().stages(), 0);
}

#[test]
fn throttled_runs_are_not_learned_from() {
    let spec = StageSpec {
        best_effort: true,
        class: Some("batch".into()),
        ..stage(6, 4)
    };
    let standing = StageSpec {
        standing: true,
        class: Some("desk".into()),
        latency_target_ms: Some(10),
        ..stage(4, 8)
    };
    let mut harness = started(standing);
    harness.submit("b", job(vec![spec]));
    harness.sync_all();
    for row in &mut harness.vm("vm").running {
        row.gauge = if row.run.task.job.as_str() == "a" {
            40.0
        } else {
            4000.0
        };
    }
    harness.pass(Duration::from_secs(1), &["vm"]);
    assert!(
        harness
            .vm("vm")
            .throttles
            .values()
            .any(|speed| *speed < 100)
    );

    end(&mut harness, EndKind::Done);

    assert_eq!(harness.owner.run_times().stages(), 0);
}
