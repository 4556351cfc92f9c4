//! Interference that changes, is measured late or not at all, or affects all workers at once.

mod common;

use std::time::Duration;

use base::{JobId, TaskKey};
use common::{CORES, Harness, request};
use place::{Ended, PlacementRequest};
use tables::Priority;

const SECOND: Duration = Duration::from_secs(1);
const LAG: Duration = Duration::from_secs(5);

/// Runs a job of class `a` next to each service in turn and reports the service's speed.
fn report_speeds(harness: &mut Harness, speeds: [f64; 2], rounds: usize) {
    for (worker, speed) in speeds.into_iter().enumerate() {
        let job = format!("teacher-{worker}-{}", harness.requests.len());
        fill_other_worker(harness, worker);
        // Urgent jobs are not held back, whatever their predicted interference.
        let request = request(&job, "a", 8);
        harness.queue(PlacementRequest {
            priority: Priority::Urgent,
            ..request
        });
        harness.advance(SECOND);
        harness.decide();
        for _ in 0..rounds {
            harness.advance(LAG);
            harness.report_service_speed(worker, &format!("s{worker}"), speed, SECOND);
        }
        clear(harness);
    }
}

/// Fills the other worker with a job of a class whose interference is never measured.
fn fill_other_worker(harness: &mut Harness, free: usize) {
    let name = format!("filler-{}", harness.requests.len());
    harness
        .placer
        .worker_gone(harness.now, &format!("w{free}").into());
    let request = request(&name, "filler", CORES);
    harness.queue(PlacementRequest {
        priority: Priority::Urgent,
        ..request
    });
    harness.advance(SECOND);
    harness.decide();
    harness
        .placer
        .worker_seen(harness.now, common::worker(free));
    harness.report_service_speed(free, &format!("s{free}"), 1.0, Duration::ZERO);
}

fn clear(harness: &mut Harness) {
    let keys: Vec<TaskKey> = harness.running.keys().cloned().collect();
    for key in keys {
        harness.end(&key, Ended::Finished);
    }
    harness.throttled.clear();
    harness.evicted.clear();
    // Leaves enough time for the workers to de-escalate.
    for _ in 0..6 {
        harness.advance(LAG * 4);
        for worker in 0..2 {
            harness.report_service_speed(worker, &format!("s{worker}"), 1.0, SECOND);
        }
        harness.decide();
    }
}

fn place_one(harness: &mut Harness) -> String {
    let job = format!("job-{}", harness.requests.len());
    harness.queue(request(&job, "a", 8));
    harness.advance(SECOND);
    let started = harness.decide();
    let worker = started[0].worker.to_string();
    clear(harness);
    worker
}

#[test]
fn changed_interference_of_a_pair_is_relearnt() {
    let mut harness = Harness::new(2);

    report_speeds(&mut harness, [0.4, 1.0], 20);
    let before = place_one(&mut harness);
    report_speeds(&mut harness, [1.0, 0.4], 40);
    let after = place_one(&mut harness);

    assert_eq!(before, "w1");
    assert_eq!(after, "w0");
}

/// Runs one interfering task and reports a slow service every second; returns when each of the
/// first `steps` throttles or evictions was decided.
fn decision_times(age: Duration, steps: usize) -> Vec<Duration> {
    let mut harness = Harness::new(1);
    harness.queue(request("noisy", "a", 8));
    harness.advance(SECOND);
    harness.decide();
    let start = harness.now;
    let mut at = Vec::new();
    for _ in 0..2_000 {
        harness.advance(SECOND);
        if harness.now >= start + age {
            harness.report_service_speed(0, "s0", 0.3, age);
        }
        let before = harness.throttled.len() + harness.evicted.len();
        harness.decide();
        if harness.throttled.len() + harness.evicted.len() > before {
            at.push(harness.now - start);
        }
        if at.len() >= steps {
            break;
        }
    }
    at
}

#[test]
fn escalation_waits_for_the_measurement_lag() {
    let quick = decision_times(LAG, 2);
    let slow = decision_times(LAG * 5, 2);

    assert_eq!((quick.len(), slow.len()), (2, 2));
    assert!(quick[1] - quick[0] >= LAG, "{quick:?}");
    assert!(slow[1] - slow[0] >= LAG * 5, "{slow:?}");
}

#[test]
fn missing_samples_cause_no_evictions_and_lift_throttles() {
    let mut harness = Harness::new(1);
    harness.queue(request("noisy", "a", 8));
    harness.advance(SECOND);
    harness.decide();
    while harness.throttled.is_empty() {
        harness.advance(SECOND);
        harness.report_service_speed(0, "s0", 0.3, SECOND);
        harness.decide();
    }
    let evicted = harness.evicted.len();

    for _ in 0..1_000 {
        harness.advance(SECOND);
        harness.decide();
    }

    assert_eq!(harness.evicted.len(), evicted);
    assert_eq!(harness.throttled.last().map(|(_, share)| *share), Some(1.0));
}

#[test]
fn common_slowdown_is_attributed_to_no_task() {
    let mut harness = Harness::new(8);
    for n in 0..8 {
        harness.queue(request(&format!("job-{n}"), "a", 9));
    }
    harness.advance(SECOND);
    harness.decide();
    let report = |harness: &mut Harness, speed: f64| {
        harness.advance(SECOND);
        for worker in 0..8 {
            harness.report_service_speed(worker, "s", speed, SECOND);
        }
        harness.decide();
    };
    for _ in 0..200 {
        report(&mut harness, 0.95);
    }

    for _ in 0..120 {
        report(&mut harness, 0.5);
    }

    assert_eq!(harness.running.len(), 8);
    assert_eq!((harness.throttled.len(), harness.evicted.len()), (0, 0));
}

#[test]
fn only_offenders_beside_a_slow_service_are_throttled() {
    let mut harness = Harness::new(8);
    for n in 0..8 {
        harness.queue(request(&format!("job-{n}"), "a", 9));
    }
    harness.advance(SECOND);
    harness.decide();

    for _ in 0..120 {
        harness.advance(SECOND);
        for worker in 0..8 {
            let speed = if worker == 3 { 0.3 } else { 0.95 };
            harness.report_service_speed(worker, &format!("s{worker}"), speed, SECOND);
        }
        harness.decide();
    }

    let neighbours: Vec<JobId> = harness
        .running
        .values()
        .filter(|task| task.worker.as_str() == "w3")
        .map(|task| task.key.job.clone())
        .collect();
    let throttled = harness.throttled.iter().map(|(key, _)| &key.job);
    assert!(!harness.throttled.is_empty());
    assert!(throttled.clone().all(|job| neighbours.contains(job)));
}
