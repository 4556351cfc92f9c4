//! Failing workers, infeasible jobs, bulk cancellation, lost racks and leaving workers.

mod common;

use std::time::Duration;

use base::{Resources, TaskKey};
use common::{CORES, Rig, pool, request, worker};
use place::{Ended, EvictReason, Feasibility, PlacementRequest};
use tables::Pool;

const SECOND: Duration = Duration::from_secs(1);

fn impossible(job: &str) -> PlacementRequest {
    request(job, "giant", CORES * 10)
}

/// Runs `rounds` seconds in which every task ends: it fails on `bad` workers and finishes on
/// others.
fn run_with_bad(rig: &mut Rig, bad: &[&str], rounds: usize) {
    for _ in 0..rounds {
        rig.wait(SECOND);
        rig.decide();
        let ended: Vec<(TaskKey, bool)> = rig
            .running
            .values()
            .map(|task| (task.key.clone(), bad.contains(&task.worker.as_str())))
            .collect();
        for (key, failed) in ended {
            let how = if failed {
                Ended::Failed
            } else {
                Ended::Finished
            };
            rig.end(&key, how);
        }
    }
}

#[test]
fn workers_that_fail_everything_are_quarantined_and_jobs_run_elsewhere() {
    let mut rig = Rig::new(20);
    for n in 0..400 {
        rig.queue(request(&format!("job-{n}"), "a", 4));
    }

    run_with_bad(&mut rig, &["w3", "w11"], 30);

    let mut quarantined: Vec<_> = rig
        .placer
        .quarantined()
        .iter()
        .map(|view| view.worker.to_string())
        .collect();
    quarantined.sort();
    assert_eq!(quarantined, ["w11", "w3"]);
    assert_eq!(rig.placer.summary().queued, 0);
    assert!(rig.requests.values().all(|request| request.failures <= 2));
}

#[test]
fn a_mended_worker_is_let_back_after_one_probe() {
    let mut rig = Rig::new(10);
    for n in 0..200 {
        rig.queue(request(&format!("job-{n}"), "a", 4));
    }
    run_with_bad(&mut rig, &["w3"], 20);
    assert_eq!(rig.placer.quarantined().len(), 1);
    for n in 0..40 {
        rig.queue(request(&format!("late-{n}"), "a", 4));
    }

    rig.wait(Duration::from_secs(61));
    let started = rig.decide();
    let probes = started.iter().filter(|t| t.worker.as_str() == "w3").count();
    let keys: Vec<TaskKey> = rig.running.keys().cloned().collect();
    for key in keys {
        rig.end(&key, Ended::Finished);
    }

    assert_eq!(probes, 1);
    assert!(rig.placer.quarantined().is_empty());
}

#[test]
fn a_class_that_fails_everywhere_quarantines_nobody_for_long() {
    let mut rig = Rig::new(10);
    for n in 0..100 {
        rig.queue(request(&format!("good-{n}"), "good", 2));
        rig.queue(request(&format!("bad-{n}"), "bad", 2));
    }

    for _ in 0..30 {
        rig.wait(SECOND);
        rig.decide();
        let tasks: Vec<_> = rig.running.values().cloned().collect();
        for task in tasks {
            let failed = task.class.as_str() == "bad";
            let how = if failed {
                Ended::Failed
            } else {
                Ended::Finished
            };
            rig.end(&task.key, how);
        }
    }

    // Failures of a class that was never seen may quarantine workers, but at most 3 of the 10.
    assert!(rig.placer.quarantined().len() <= 3);
    let good_left = rig
        .requests
        .keys()
        .filter(|job| job.starts_with("good"))
        .filter(|job| rig.placer.why_waiting(&job.as_str().into()).is_some())
        .count();
    assert_eq!(good_left, 0);
}

#[test]
fn impossible_jobs_are_parked_with_the_reason_and_block_nobody() {
    let mut rig = Rig::new(4);
    for n in 0..200 {
        rig.queue(impossible(&format!("giant-{n}")));
        rig.queue(request(&format!("job-{n}"), "a", 4));
    }

    run_with_bad(&mut rig, &[], 20);

    assert_eq!(rig.placer.summary().queued, 200);
    assert_eq!(rig.placer.summary().parked, 200);
    assert!(rig.placer.why_waiting(&"giant-7".into()).is_some());
}

#[test]
fn a_parked_job_starts_once_a_worker_large_enough_comes() {
    let mut rig = Rig::new(1);
    rig.queue(impossible("giant"));
    rig.wait(SECOND);
    rig.decide();
    let mut large = worker(9);
    large.capacity = Resources::new(CORES * 10, 64_000, 0);

    rig.placer.worker_seen(rig.now, large);
    rig.wait(SECOND);
    let started = rig.decide();

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].worker.as_str(), "w9");
}

#[test]
fn a_job_that_no_listed_worker_holds_is_refused() {
    let listed = Pool {
        workers: vec!["w0".into(), "w1".into()],
        ..pool()
    };
    let mut rig = Rig::with_pool(2, &listed);
    let early = rig.placer.check(&impossible("giant"));

    rig.wait(Duration::from_secs(120));
    rig.decide();
    let late = rig.placer.check(&impossible("giant"));

    assert!(
        matches!(early, Feasibility::FeasibleLater { .. }),
        "{early:?}"
    );
    assert!(matches!(late, Feasibility::Infeasible { .. }), "{late:?}");
}

#[test]
fn a_wave_of_cancellations_leaves_nothing_behind() {
    let mut rig = Rig::new(4);
    for n in 0..5_000 {
        rig.queue(request(&format!("job-{n}"), "a", 4));
    }
    rig.wait(SECOND);
    rig.decide();
    let running: Vec<TaskKey> = rig.running.keys().cloned().collect();

    for n in 0..5_000 {
        rig.placer.job_removed(&format!("job-{n}").as_str().into());
    }
    for key in &running {
        rig.end(key, Ended::Cancelled);
    }
    rig.wait(SECOND);
    let started = rig.decide();

    assert!(started.is_empty());
    let summary = rig.placer.summary();
    assert_eq!((summary.queued, summary.placed), (0, 0));
    assert_eq!(summary.allocated, Resources::ZERO);
}

#[test]
fn a_rack_lost_when_full_gets_nothing_until_it_is_back() {
    let mut rig = Rig::new(6);
    for n in 0..24 {
        rig.queue(request(&format!("job-{n}"), "a", 4));
    }
    rig.wait(SECOND);
    rig.decide();
    let lost: Vec<TaskKey> = rig
        .running
        .values()
        .filter(|task| ["w0", "w1", "w2"].contains(&task.worker.as_str()))
        .map(|task| task.key.clone())
        .collect();

    for n in 0..3 {
        rig.placer.worker_gone(rig.now, &format!("w{n}").into());
    }
    for key in &lost {
        rig.end(key, Ended::Lost);
    }
    rig.wait(SECOND);
    let meanwhile = rig.decide();
    for n in 0..3 {
        rig.placer.worker_seen(rig.now, worker(n));
    }
    rig.wait(SECOND);
    let back = rig.decide();

    assert_eq!(lost.len(), 12);
    assert!(meanwhile.is_empty());
    assert_eq!(back.len(), 12);
}

#[test]
fn a_leaving_worker_is_emptied_and_gets_nothing() {
    let mut rig = Rig::new(2);
    for n in 0..4 {
        rig.queue(request(&format!("job-{n}"), "a", 4));
    }
    rig.wait(SECOND);
    rig.decide();
    let mut leaving = worker(0);
    leaving.leaving = true;
    let held = rig.on(0);

    rig.placer.worker_seen(rig.now, leaving);
    rig.wait(SECOND);
    rig.decide();
    let evicted = rig.evicted.clone();
    rig.finish_evictions();
    rig.wait(SECOND);
    rig.decide();

    assert_eq!(evicted.len(), held);
    assert!(evicted.iter().all(|(_, why)| *why == EvictReason::Leaving));
    assert_eq!(rig.on(0), 0);
    assert_eq!(rig.running.len(), 4);
}
