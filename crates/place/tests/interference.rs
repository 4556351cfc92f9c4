//! Interference that changes, is measured late or not at all, or affects all workers at once.

mod common;

use std::time::Duration;

use base::{JobId, TaskKey};
use common::{CORES, Rig, request};
use place::{Ended, PlacementRequest};
use tables::Priority;

const SECOND: Duration = Duration::from_secs(1);
const LAG: Duration = Duration::from_secs(5);

/// Runs a job of class `a` next to each service in turn and reports the service's speed.
fn teach(rig: &mut Rig, speeds: [f64; 2], rounds: usize) {
    for (worker, speed) in speeds.into_iter().enumerate() {
        let job = format!("teacher-{worker}-{}", rig.requests.len());
        fill_all_but(rig, worker);
        // Urgent jobs are not held back, whatever their predicted interference.
        let teacher = request(&job, "a", 8);
        rig.queue(PlacementRequest {
            priority: Priority::Urgent,
            ..teacher
        });
        rig.wait(SECOND);
        rig.decide();
        for _ in 0..rounds {
            rig.wait(LAG);
            rig.service(worker, &format!("s{worker}"), speed, SECOND);
        }
        clear(rig);
    }
}

/// Fills the other worker with a job of another class.
fn fill_all_but(rig: &mut Rig, free: usize) {
    let name = format!("filler-{}", rig.requests.len());
    rig.placer.worker_gone(rig.now, &format!("w{free}").into());
    let filler = request(&name, "filler", CORES);
    rig.queue(PlacementRequest {
        priority: Priority::Urgent,
        ..filler
    });
    rig.wait(SECOND);
    rig.decide();
    rig.placer.worker_seen(rig.now, common::worker(free));
    rig.service(free, &format!("s{free}"), 1.0, Duration::ZERO);
}

fn clear(rig: &mut Rig) {
    let keys: Vec<TaskKey> = rig.running.keys().cloned().collect();
    for key in keys {
        rig.end(&key, Ended::Finished);
    }
    rig.throttled.clear();
    rig.evicted.clear();
    // Leaves enough time for the workers to de-escalate.
    for _ in 0..6 {
        rig.wait(LAG * 4);
        for worker in 0..2 {
            rig.service(worker, &format!("s{worker}"), 1.0, SECOND);
        }
        rig.decide();
    }
}

fn place_one(rig: &mut Rig) -> String {
    let job = format!("job-{}", rig.requests.len());
    rig.queue(request(&job, "a", 8));
    rig.wait(SECOND);
    let started = rig.decide();
    let worker = started[0].worker.to_string();
    clear(rig);
    worker
}

#[test]
fn a_pair_whose_harm_flips_is_learnt_anew() {
    let mut rig = Rig::new(2);

    teach(&mut rig, [0.4, 1.0], 20);
    let before = place_one(&mut rig);
    teach(&mut rig, [1.0, 0.4], 40);
    let after = place_one(&mut rig);

    assert_eq!(before, "w1");
    assert_eq!(after, "w0");
}

/// Runs one interfering task and reports a slow service every second; returns when each of the
/// first `steps` throttles or evictions was decided.
fn steps_under(age: Duration, steps: usize) -> Vec<Duration> {
    let mut rig = Rig::new(1);
    rig.queue(request("noisy", "a", 8));
    rig.wait(SECOND);
    rig.decide();
    let start = rig.now;
    let mut at = Vec::new();
    for _ in 0..2_000 {
        rig.wait(SECOND);
        if rig.now >= start + age {
            rig.service(0, "s0", 0.3, age);
        }
        let before = rig.throttled.len() + rig.evicted.len();
        rig.decide();
        if rig.throttled.len() + rig.evicted.len() > before {
            at.push(rig.now - start);
        }
        if at.len() >= steps {
            break;
        }
    }
    at
}

#[test]
fn steps_wait_for_the_lag_when_it_grows_fivefold() {
    let quick = steps_under(LAG, 2);
    let slow = steps_under(LAG * 5, 2);

    assert_eq!((quick.len(), slow.len()), (2, 2));
    assert!(quick[1] - quick[0] >= LAG, "{quick:?}");
    assert!(slow[1] - slow[0] >= LAG * 5, "{slow:?}");
}

#[test]
fn without_samples_nothing_is_acted_on_and_throttles_are_lifted() {
    let mut rig = Rig::new(1);
    rig.queue(request("noisy", "a", 8));
    rig.wait(SECOND);
    rig.decide();
    while rig.throttled.is_empty() {
        rig.wait(SECOND);
        rig.service(0, "s0", 0.3, SECOND);
        rig.decide();
    }
    let evicted = rig.evicted.len();

    for _ in 0..1_000 {
        rig.wait(SECOND);
        rig.decide();
    }

    assert_eq!(rig.evicted.len(), evicted);
    assert_eq!(rig.throttled.last().map(|(_, share)| *share), Some(1.0));
}

#[test]
fn a_noisy_wave_on_all_workers_is_blamed_on_no_task() {
    let mut rig = Rig::new(8);
    for n in 0..8 {
        rig.queue(request(&format!("job-{n}"), "a", 9));
    }
    rig.wait(SECOND);
    rig.decide();
    let report = |rig: &mut Rig, speed: f64| {
        rig.wait(SECOND);
        for worker in 0..8 {
            rig.service(worker, "s", speed, SECOND);
        }
        rig.decide();
    };
    for _ in 0..200 {
        report(&mut rig, 0.95);
    }

    for _ in 0..120 {
        report(&mut rig, 0.5);
    }

    assert_eq!(rig.running.len(), 8);
    assert_eq!((rig.throttled.len(), rig.evicted.len()), (0, 0));
}

#[test]
fn a_slow_service_on_one_worker_is_relieved() {
    let mut rig = Rig::new(8);
    for n in 0..8 {
        rig.queue(request(&format!("job-{n}"), "a", 9));
    }
    rig.wait(SECOND);
    rig.decide();

    for _ in 0..120 {
        rig.wait(SECOND);
        for worker in 0..8 {
            let speed = if worker == 3 { 0.3 } else { 0.95 };
            rig.service(worker, &format!("s{worker}"), speed, SECOND);
        }
        rig.decide();
    }

    let harmful: Vec<JobId> = rig
        .running
        .values()
        .filter(|task| task.worker.as_str() == "w3")
        .map(|task| task.key.job.clone())
        .collect();
    let throttled = rig.throttled.iter().map(|(key, _)| &key.job);
    assert!(!rig.throttled.is_empty());
    assert!(throttled.clone().all(|job| harmful.contains(job)));
}
