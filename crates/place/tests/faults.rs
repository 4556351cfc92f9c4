//! Failing workers, infeasible jobs, bulk cancellation, lost racks and leaving workers.

mod common;

use std::time::Duration;

use base::{Resources, TaskKey};
use common::{CORES, Harness, pool, request, worker};
use place::{Ended, EvictReason, Feasibility, PlacementRequest};
use tables::Pool;

const SECOND: Duration = Duration::from_secs(1);

fn infeasible(job: &str) -> PlacementRequest {
    request(job, "giant", CORES * 10)
}

/// Runs `rounds` seconds in which every task ends: it fails on `bad` workers and finishes on
/// others.
fn run_with_failing(harness: &mut Harness, failing: &[&str], rounds: usize) {
    for _ in 0..rounds {
        harness.advance(SECOND);
        harness.decide();
        let ended: Vec<(TaskKey, bool)> = harness
            .running
            .values()
            .map(|task| (task.key.clone(), failing.contains(&task.worker.as_str())))
            .collect();
        for (key, failed) in ended {
            let how = if failed {
                Ended::Failed
            } else {
                Ended::Finished
            };
            harness.end(&key, how);
        }
    }
}

#[test]
fn failing_workers_are_quarantined_and_jobs_run_elsewhere() {
    let mut harness = Harness::new(20);
    for n in 0..400 {
        harness.queue(request(&format!("job-{n}"), "a", 4));
    }

    run_with_failing(&mut harness, &["w3", "w11"], 30);

    let mut quarantined: Vec<_> = harness
        .placer
        .quarantined()
        .iter()
        .map(|view| view.worker.to_string())
        .collect();
    quarantined.sort();
    assert_eq!(quarantined, ["w11", "w3"]);
    assert_eq!(harness.placer.summary().queued, 0);
    assert!(
        harness
            .requests
            .values()
            .all(|request| request.failures <= 2)
    );
}

#[test]
fn successful_probe_ends_a_quarantine() {
    let mut harness = Harness::new(10);
    for n in 0..200 {
        harness.queue(request(&format!("job-{n}"), "a", 4));
    }
    run_with_failing(&mut harness, &["w3"], 20);
    assert_eq!(harness.placer.quarantined().len(), 1);
    for n in 0..40 {
        harness.queue(request(&format!("late-{n}"), "a", 4));
    }

    harness.advance(Duration::from_secs(61));
    let started = harness.decide();
    let probes = started.iter().filter(|t| t.worker.as_str() == "w3").count();
    let keys: Vec<TaskKey> = harness.running.keys().cloned().collect();
    for key in keys {
        harness.end(&key, Ended::Finished);
    }

    assert_eq!(probes, 1);
    assert!(harness.placer.quarantined().is_empty());
}

#[test]
fn class_that_fails_everywhere_quarantines_few_workers() {
    let mut harness = Harness::new(10);
    for n in 0..100 {
        harness.queue(request(&format!("good-{n}"), "good", 2));
        harness.queue(request(&format!("bad-{n}"), "bad", 2));
    }

    for _ in 0..30 {
        harness.advance(SECOND);
        harness.decide();
        let tasks: Vec<_> = harness.running.values().cloned().collect();
        for task in tasks {
            let failed = task.class.as_str() == "bad";
            let how = if failed {
                Ended::Failed
            } else {
                Ended::Finished
            };
            harness.end(&task.key, how);
        }
    }

    // Failures of a class that was never seen may quarantine workers, but `max_quarantined_share`
    // limits them to 3 of the 10.
    assert!(harness.placer.quarantined().len() <= 3);
    let good_left = harness
        .requests
        .keys()
        .filter(|job| job.starts_with("good"))
        .filter(|job| harness.placer.why_waiting(&job.as_str().into()).is_some())
        .count();
    assert_eq!(good_left, 0);
}

#[test]
fn infeasible_jobs_are_parked_with_a_reason_and_block_no_others() {
    let mut harness = Harness::new(4);
    for n in 0..200 {
        harness.queue(infeasible(&format!("giant-{n}")));
        harness.queue(request(&format!("job-{n}"), "a", 4));
    }

    run_with_failing(&mut harness, &[], 20);

    assert_eq!(harness.placer.summary().queued, 200);
    assert_eq!(harness.placer.summary().parked, 200);
    assert!(harness.placer.why_waiting(&"giant-7".into()).is_some());
}

#[test]
fn parked_job_starts_once_a_large_enough_worker_joins() {
    let mut harness = Harness::new(1);
    harness.queue(infeasible("giant"));
    harness.advance(SECOND);
    harness.decide();
    let mut large = worker(9);
    large.capacity = Resources::new(CORES * 10, 64_000, 0);

    harness.placer.worker_seen(harness.now, large);
    harness.advance(SECOND);
    let started = harness.decide();

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].worker.as_str(), "w9");
}

#[test]
fn job_too_large_for_all_named_workers_is_infeasible() {
    let listed = Pool {
        workers: vec!["w0".into(), "w1".into()],
        ..pool()
    };
    let mut harness = Harness::with_pool(2, &listed);
    let early = harness.placer.check(&infeasible("giant"));

    harness.advance(Duration::from_secs(120));
    harness.decide();
    let late = harness.placer.check(&infeasible("giant"));

    assert!(
        matches!(early, Feasibility::FeasibleLater { .. }),
        "{early:?}"
    );
    assert!(matches!(late, Feasibility::Infeasible { .. }), "{late:?}");
}

#[test]
fn bulk_cancellation_leaves_no_state() {
    let mut harness = Harness::new(4);
    for n in 0..5_000 {
        harness.queue(request(&format!("job-{n}"), "a", 4));
    }
    harness.advance(SECOND);
    harness.decide();
    let running: Vec<TaskKey> = harness.running.keys().cloned().collect();

    for n in 0..5_000 {
        harness
            .placer
            .job_removed(&format!("job-{n}").as_str().into());
    }
    for key in &running {
        harness.end(key, Ended::Cancelled);
    }
    harness.advance(SECOND);
    let started = harness.decide();

    assert!(started.is_empty());
    let summary = harness.placer.summary();
    assert_eq!((summary.queued, summary.placed), (0, 0));
    assert_eq!(summary.allocated, Resources::ZERO);
}

#[test]
fn lost_rack_gets_no_tasks_until_it_returns() {
    let mut harness = Harness::new(6);
    for n in 0..24 {
        harness.queue(request(&format!("job-{n}"), "a", 4));
    }
    harness.advance(SECOND);
    harness.decide();
    let lost: Vec<TaskKey> = harness
        .running
        .values()
        .filter(|task| ["w0", "w1", "w2"].contains(&task.worker.as_str()))
        .map(|task| task.key.clone())
        .collect();

    for n in 0..3 {
        harness
            .placer
            .worker_gone(harness.now, &format!("w{n}").into());
    }
    for key in &lost {
        harness.end(key, Ended::Lost);
    }
    harness.advance(SECOND);
    let meanwhile = harness.decide();
    for n in 0..3 {
        harness.placer.worker_seen(harness.now, worker(n));
    }
    harness.advance(SECOND);
    let back = harness.decide();

    assert_eq!(lost.len(), 12);
    assert!(meanwhile.is_empty());
    assert_eq!(back.len(), 12);
}

#[test]
fn leaving_worker_is_drained_and_gets_no_tasks() {
    let mut harness = Harness::new(2);
    for n in 0..4 {
        harness.queue(request(&format!("job-{n}"), "a", 4));
    }
    harness.advance(SECOND);
    harness.decide();
    let mut leaving = worker(0);
    leaving.leaving = true;
    let held = harness.running_on(0);

    harness.placer.worker_seen(harness.now, leaving);
    harness.advance(SECOND);
    harness.decide();
    let evicted = harness.evicted.clone();
    harness.finish_evictions();
    harness.advance(SECOND);
    harness.decide();

    assert_eq!(evicted.len(), held);
    assert!(evicted.iter().all(|(_, why)| *why == EvictReason::Leaving));
    assert_eq!(harness.running_on(0), 0);
    assert_eq!(harness.running.len(), 4);
}
