//! Placement: where tasks run, in which order, and how often they are retried.

mod harness;

use base::prelude::*;
use jobs::report::{EndKind, RejectKind, Rejected};
use jobs::{JobReply, JobState, Schedule, StageSpec};

use harness::{Harness, job, stage, terms};

#[test]
fn stage_waits_for_its_dependencies() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 64);
    let second = StageSpec {
        after: vec![0],
        ..stage(2, 1)
    };
    harness.submit("a", job(vec![stage(3, 1), second]));
    harness.sync_all();
    assert!(harness.running().iter().all(|(_, run)| run.task.stage == 0));

    let first = harness.vm("vm").running[0].run.clone();
    harness.vm("vm").end(&first, EndKind::Done);
    harness.sync_all();
    assert!(harness.running().iter().all(|(_, run)| run.task.stage == 0));
    harness.end_all(EndKind::Done);

    assert_eq!(harness.running().len(), 2);
    assert!(harness.running().iter().all(|(_, run)| run.task.stage == 1));
}

#[test]
fn worker_capacity_is_not_exceeded() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 10);

    harness.submit("a", job(vec![stage(9, 3)]));
    harness.sync_all();

    assert_eq!(harness.running().len(), 3);
}

#[test]
fn stopping_run_holds_resources_until_it_ends() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 4);
    harness.submit("a", job(vec![stage(1, 4)]));
    harness.sync_all();
    harness.submit("b", job(vec![stage(1, 4)]));

    harness.vm("vm").ignores_orders = true;
    harness.cancel("a");
    harness.sync_all();
    assert!(
        harness
            .running()
            .iter()
            .all(|(_, r)| r.task.job.as_str() == "a")
    );
    harness.vm("vm").ignores_orders = false;
    harness.pass(Duration::from_millis(500), &["vm"]);

    assert!(
        harness
            .running()
            .iter()
            .all(|(_, r)| r.task.job.as_str() == "b")
    );
    assert_eq!(harness.running().len(), 1);
}

#[test]
fn job_fails_after_last_attempt_of_a_task() {
    let mut harness = Harness::new();
    for name in ["one", "two", "three", "four"] {
        harness.add_vm(name, 16);
    }
    harness.submit("a", job(vec![stage(1, 1)]));
    let mut runs = Vec::new();
    for _ in 0..3 {
        harness.sync_all();
        let running = harness.running();
        assert_eq!(running.len(), 1);
        runs.push(running[0].clone());
        harness.end_all(EndKind::Failed);
    }

    assert!(harness.running().is_empty());
    assert_eq!(
        harness.status("a"),
        Some(JobReply::Failed {
            cause: "3 runs of task a.0.0.0 failed".into()
        })
    );
    assert_ne!(runs[0].0, runs[1].0, "the second attempt is made elsewhere");
}

#[test]
fn failures_count_across_owners() {
    let mut harness = Harness::new();
    harness.add_vm("one", 16);
    harness.add_vm("two", 16);
    harness.submit("a", job(vec![stage(1, 1)]));
    harness.sync_all();
    harness.end_all(EndKind::Failed);
    harness.take_over();
    harness.sync_all();
    harness.end_all(EndKind::Failed);

    harness.advance(Duration::from_secs(3));
    harness.sync_all();
    harness.end_all(EndKind::Failed);

    assert_eq!(
        harness.status("a"),
        Some(JobReply::Failed {
            cause: "3 runs of task a.0.0.0 failed".into()
        })
    );
}

#[test]
fn failing_worker_gets_one_task_at_a_time() {
    let mut harness = Harness::new();
    harness.add_vm("bad", 64);
    harness.add_vm("good", 64);
    let standing = StageSpec {
        standing: true,
        ..stage(8, 1)
    };
    harness.submit("a", job(vec![standing]));
    harness.sync_all();
    for _ in 0..3 {
        let runs: Vec<_> = harness
            .vm("bad")
            .running
            .iter()
            .map(|r| r.run.clone())
            .collect();
        for run in runs {
            harness.vm("bad").end(&run, EndKind::Failed);
        }
        harness.sync_all();
    }

    assert!(harness.vm("bad").running.len() <= 1);
    assert!(
        harness.vm("good").running.len() >= 7,
        "standing tasks are restarted however they end"
    );
}

#[test]
fn gang_starts_whole_with_one_attempt_number_or_not_at_all() {
    let mut harness = Harness::new();
    harness.add_vm("one", 4);
    harness.add_vm("two", 4);
    let gang = |tasks| StageSpec {
        gang: true,
        ..stage(tasks, 2)
    };
    harness.submit("wide", job(vec![gang(5)]));
    harness.sync_all();
    assert!(harness.running().is_empty());

    harness.submit("fits", job(vec![gang(4)]));
    harness.sync_all();
    let attempts: IndexSet<Attempt> = harness.running().iter().map(|(_, r)| r.attempt).collect();
    assert_eq!(harness.running().len(), 4);
    assert_eq!(attempts.len(), 1);

    let first = harness.running()[0].clone();
    harness.vm(&first.0).end(&first.1, EndKind::Done);
    harness.sync_all();
    assert_eq!(
        harness.status("fits"),
        Some(JobReply::Status(JobState::Completed))
    );
}

#[test]
fn labels_and_limits_per_worker_are_respected() {
    let mut harness = Harness::new();
    harness.add_vm("plain", 64);
    harness.add_vm("marked", 64);
    harness.vm("marked").labels = vec!["fast".into()];
    let apart = StageSpec {
        label: Some("fast".into()),
        max_per_worker: Some(2),
        ..stage(5, 1)
    };

    harness.submit("a", job(vec![apart]));
    harness.sync_all();

    assert!(harness.vm("plain").running.is_empty());
    assert_eq!(harness.vm("marked").running.len(), 2);
}

#[test]
fn occurrence_starts_when_it_is_due() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 64);
    let mut spec = job(vec![stage(1, 1)]);
    spec.schedule = Some(Schedule {
        occurrences: 2,
        first_unix_ms: harness.unix_ms + 1000,
        interval_ms: 2000,
    });
    harness.submit("a", spec);
    harness.sync_all();
    harness.advance(Duration::from_millis(999));
    harness.sync_all();
    assert!(harness.running().is_empty());

    harness.advance(Duration::from_millis(1));
    harness.sync_all();
    assert_eq!(harness.running().len(), 1);
    harness.advance(Duration::from_millis(2000));
    harness.sync_all();

    assert_eq!(harness.running().len(), 2);
}

#[test]
fn draining_worker_gets_no_tasks_and_stops_standing_ones() {
    let mut harness = Harness::new();
    harness.add_vm("one", 64);
    let standing = StageSpec {
        standing: true,
        ..stage(2, 1)
    };
    harness.submit("a", job(vec![standing]));
    harness.sync_all();
    harness.add_vm("two", 64);
    harness.vm("one").draining = true;

    harness.sync_all();
    harness.submit("b", job(vec![stage(2, 1)]));
    harness.sync_all();

    assert!(harness.vm("one").running.is_empty());
    assert_eq!(harness.vm("two").running.len(), 4);
}

#[test]
fn rejected_start_is_retried_elsewhere_with_higher_attempt_number() {
    let mut harness = Harness::new();
    harness.add_vm("one", 16);
    harness.submit("a", job(vec![stage(1, 1)]));
    harness.sync_all();
    let run = harness.vm("one").running.remove(0).run;
    harness.add_vm("two", 16);
    harness.sync("two");
    harness.sync("two");
    harness.vm("one").rejected = vec![Rejected {
        run: run.clone(),
        why: RejectKind::Room,
    }];

    harness.sync("one");
    harness.sync_all();

    let runs = harness.running();
    assert_eq!(runs.len(), 1);
    assert_eq!(&*runs[0].0, "two");
    assert!(runs[0].1.attempt > run.attempt);
}

/// Under overload, such as heavy jobs at 2.6 times their usual rate, jobs that are late in any case
/// must not take the capacity of those that can still be on time.
#[test]
fn overload_places_jobs_that_can_be_on_time_first() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 8);
    for n in 0..6 {
        harness.submit(&format!("old-{n}"), job(vec![stage(8, 1)]));
    }
    // Critical path 1 s, objective 2.5 s: after 2 s, the old jobs that wait can't be on time.
    harness.sync_all();
    harness.advance(Duration::from_millis(2000));
    harness.submit("fresh", job(vec![stage(8, 1)]));

    harness.end_all(EndKind::Done);

    let runs = harness.running();
    assert_eq!(runs.len(), 8);
    assert!(runs.iter().all(|(_, r)| r.task.job.as_str() == "fresh"));
}

#[test]
fn route_with_higher_priority_is_placed_first() {
    let mut harness = Harness::new();
    harness.submit_under("low", job(vec![stage(4, 1)]), terms(2));
    harness.submit_under("high", job(vec![stage(4, 1)]), terms(0));

    harness.add_vm("vm", 4);
    harness.sync_all();

    assert!(
        harness
            .running()
            .iter()
            .all(|(_, r)| r.task.job.as_str() == "high")
    );
}
