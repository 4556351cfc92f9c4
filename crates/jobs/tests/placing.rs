//! Which tasks run where, in which order and how often.

mod rig;

use base::prelude::*;
use jobs::report::{EndKind, RejectKind, Rejected};
use jobs::{JobState, Schedule, StageSpec, Told};

use rig::{Rig, job, stage, terms};

#[test]
fn a_stage_waits_for_those_before_it() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 64);
    let second = StageSpec {
        after: vec![0],
        ..stage(2, 1)
    };
    rig.submit("a", job(vec![stage(3, 1), second]));
    rig.sync_all();
    assert!(rig.running().iter().all(|(_, run)| run.task.stage == 0));

    let first = rig.vm("vm").running[0].run.clone();
    rig.vm("vm").end(&first, EndKind::Done);
    rig.sync_all();
    assert!(rig.running().iter().all(|(_, run)| run.task.stage == 0));
    rig.end_all(EndKind::Done);

    assert_eq!(rig.running().len(), 2);
    assert!(rig.running().iter().all(|(_, run)| run.task.stage == 1));
}

#[test]
fn no_worker_gets_more_than_its_room() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 10);

    rig.submit("a", job(vec![stage(9, 3)]));
    rig.sync_all();

    assert_eq!(rig.running().len(), 3);
}

#[test]
fn room_is_taken_until_a_stop_has_ended() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 4);
    rig.submit("a", job(vec![stage(1, 4)]));
    rig.sync_all();
    rig.submit("b", job(vec![stage(1, 4)]));

    rig.vm("vm").is_deaf = true;
    rig.cancel("a");
    rig.sync_all();
    assert!(
        rig.running()
            .iter()
            .all(|(_, r)| r.task.job.as_str() == "a")
    );
    rig.vm("vm").is_deaf = false;
    rig.pass(Duration::from_millis(500), &["vm"]);

    assert!(
        rig.running()
            .iter()
            .all(|(_, r)| r.task.job.as_str() == "b")
    );
    assert_eq!(rig.running().len(), 1);
}

#[test]
fn a_task_fails_its_job_after_its_last_attempt() {
    let mut rig = Rig::new();
    for name in ["one", "two", "three", "four"] {
        rig.add_vm(name, 16);
    }
    rig.submit("a", job(vec![stage(1, 1)]));
    let mut runs = Vec::new();
    for _ in 0..3 {
        rig.sync_all();
        let running = rig.running();
        assert_eq!(running.len(), 1);
        runs.push(running[0].clone());
        rig.end_all(EndKind::Failed);
    }

    assert!(rig.running().is_empty());
    assert_eq!(rig.status("a"), Some(Told::Status(JobState::Failed)));
    assert_ne!(runs[0].0, runs[1].0, "the second attempt is made elsewhere");
}

#[test]
fn failures_count_across_owners() {
    let mut rig = Rig::new();
    rig.add_vm("one", 16);
    rig.add_vm("two", 16);
    rig.submit("a", job(vec![stage(1, 1)]));
    rig.sync_all();
    rig.end_all(EndKind::Failed);
    rig.take_over();
    rig.sync_all();
    rig.end_all(EndKind::Failed);

    rig.advance(Duration::from_secs(3));
    rig.sync_all();
    rig.end_all(EndKind::Failed);

    assert_eq!(rig.status("a"), Some(Told::Status(JobState::Failed)));
}

#[test]
fn a_worker_that_fails_all_gets_one_task_at_a_time() {
    let mut rig = Rig::new();
    rig.add_vm("bad", 64);
    rig.add_vm("good", 64);
    let standing = StageSpec {
        standing: true,
        ..stage(8, 1)
    };
    rig.submit("a", job(vec![standing]));
    rig.sync_all();
    for _ in 0..3 {
        let runs: Vec<_> = rig
            .vm("bad")
            .running
            .iter()
            .map(|r| r.run.clone())
            .collect();
        for run in runs {
            rig.vm("bad").end(&run, EndKind::Failed);
        }
        rig.sync_all();
    }

    assert!(rig.vm("bad").running.len() <= 1);
    assert!(
        rig.vm("good").running.len() >= 7,
        "standing tasks are restarted however they end"
    );
}

#[test]
fn a_gang_starts_whole_under_one_number_or_not_at_all() {
    let mut rig = Rig::new();
    rig.add_vm("one", 4);
    rig.add_vm("two", 4);
    let gang = |tasks| StageSpec {
        gang: true,
        ..stage(tasks, 2)
    };
    rig.submit("wide", job(vec![gang(5)]));
    rig.sync_all();
    assert!(rig.running().is_empty());

    rig.submit("fits", job(vec![gang(4)]));
    rig.sync_all();
    let attempts: IndexSet<Attempt> = rig.running().iter().map(|(_, r)| r.attempt).collect();
    assert_eq!(rig.running().len(), 4);
    assert_eq!(attempts.len(), 1);

    let first = rig.running()[0].clone();
    rig.vm(&first.0).end(&first.1, EndKind::Done);
    rig.sync_all();
    assert_eq!(rig.status("fits"), Some(Told::Status(JobState::Completed)));
}

#[test]
fn labels_and_limits_per_worker_are_kept() {
    let mut rig = Rig::new();
    rig.add_vm("plain", 64);
    rig.add_vm("marked", 64);
    rig.vm("marked").labels = vec!["fast".into()];
    let apart = StageSpec {
        label: Some("fast".into()),
        max_per_worker: Some(2),
        ..stage(5, 1)
    };

    rig.submit("a", job(vec![apart]));
    rig.sync_all();

    assert!(rig.vm("plain").running.is_empty());
    assert_eq!(rig.vm("marked").running.len(), 2);
}

#[test]
fn an_occurrence_starts_when_it_is_due_and_not_before() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 64);
    let mut spec = job(vec![stage(1, 1)]);
    spec.schedule = Some(Schedule {
        occurrences: 2,
        first_unix_ms: rig.unix_ms + 1000,
        interval_ms: 2000,
    });
    rig.submit("a", spec);
    rig.sync_all();
    rig.advance(Duration::from_millis(999));
    rig.sync_all();
    assert!(rig.running().is_empty());

    rig.advance(Duration::from_millis(1));
    rig.sync_all();
    assert_eq!(rig.running().len(), 1);
    rig.advance(Duration::from_millis(2000));
    rig.sync_all();

    assert_eq!(rig.running().len(), 2);
}

#[test]
fn a_draining_worker_gets_no_task_and_gives_up_standing_ones() {
    let mut rig = Rig::new();
    rig.add_vm("one", 64);
    let standing = StageSpec {
        standing: true,
        ..stage(2, 1)
    };
    rig.submit("a", job(vec![standing]));
    rig.sync_all();
    rig.add_vm("two", 64);
    rig.vm("one").draining = true;

    rig.sync_all();
    rig.submit("b", job(vec![stage(2, 1)]));
    rig.sync_all();

    assert!(rig.vm("one").running.is_empty());
    assert_eq!(rig.vm("two").running.len(), 4);
}

#[test]
fn a_rejected_start_is_made_elsewhere_under_a_higher_number() {
    let mut rig = Rig::new();
    rig.add_vm("one", 16);
    rig.submit("a", job(vec![stage(1, 1)]));
    rig.sync_all();
    let run = rig.vm("one").running.remove(0).run;
    rig.add_vm("two", 16);
    rig.sync("two");
    rig.sync("two");
    rig.vm("one").rejected = vec![Rejected {
        run: run.clone(),
        why: RejectKind::Room,
    }];

    rig.sync("one");
    rig.sync_all();

    let runs = rig.running();
    assert_eq!(runs.len(), 1);
    assert_eq!(&*runs[0].0, "two");
    assert!(runs[0].1.attempt > run.attempt);
}

/// The load of a day on which heavy jobs come at 2.6 times the usual rate for a while.
#[test]
fn under_overload_jobs_that_can_be_in_time_go_first() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 8);
    for n in 0..6 {
        rig.submit(&format!("old-{n}"), job(vec![stage(8, 1)]));
    }
    // Chain 1 s, objective 2.5 s: by now the old ones that wait cannot be in time.
    rig.sync_all();
    rig.advance(Duration::from_millis(2000));
    rig.submit("fresh", job(vec![stage(8, 1)]));

    rig.end_all(EndKind::Done);

    let runs = rig.running();
    assert_eq!(runs.len(), 8);
    assert!(runs.iter().all(|(_, r)| r.task.job.as_str() == "fresh"));
}

#[test]
fn a_route_of_higher_rank_goes_first() {
    let mut rig = Rig::new();
    rig.submit_under("low", job(vec![stage(4, 1)]), terms(2));
    rig.submit_under("high", job(vec![stage(4, 1)]), terms(0));

    rig.add_vm("vm", 4);
    rig.sync_all();

    assert!(
        rig.running()
            .iter()
            .all(|(_, r)| r.task.job.as_str() == "high")
    );
}
