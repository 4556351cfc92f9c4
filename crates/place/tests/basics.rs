//! Capacity limits of the ledger, the order of priorities and the release of resources.

use std::time::{Duration, Instant};

use base::{Attempt, Resources, TaskKey};
use place::{Decision, Ended, PlacedTask, PlacementRequest, Placer, PlacerCfg, WorkerView};
use tables::Priority;

fn worker(name: &str) -> WorkerView {
    WorkerView {
        worker: name.into(),
        zone: "viti-suva".into(),
        rack: "r1".into(),
        capacity: Resources::new(8, 16_000, 0),
        leaving: false,
    }
}

fn request(name: &str, cores: u64, priority: Priority) -> PlacementRequest {
    PlacementRequest {
        job: name.into(),
        team: "press".into(),
        class: "proof".into(),
        priority,
        resources: Resources::new(cores, 1_000, 0),
        run_time: Some(Duration::from_secs(60)),
        finish_by: None,
        work_done: Duration::ZERO,
        failures: 0,
    }
}

fn placed(name: &str, cores: u64) -> PlacedTask {
    PlacedTask {
        key: TaskKey {
            job: name.into(),
            attempt: Attempt(1),
        },
        worker: "w1".into(),
        class: "proof".into(),
        team: "press".into(),
        priority: Priority::Normal,
        granted: Resources::new(cores, 1_000, 0),
        run_time: Some(Duration::from_secs(60)),
        work_done: Duration::ZERO,
    }
}

fn jobs_placed(decisions: &[Decision]) -> Vec<String> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Place { job, .. } => Some(job.to_string()),
            _ => None,
        })
        .collect()
}

#[test]
fn decided_placements_are_allocated_at_once() {
    let now = Instant::now();
    let mut placer = Placer::new(PlacerCfg::default(), 1);
    placer.worker_seen(now, worker("w1"));
    placer.job_queued(now, request("a", 6, Priority::Normal));
    placer.job_queued(now, request("b", 6, Priority::Normal));

    let first = placer.decide(now, 10);
    let second = placer.decide(now, 10);

    assert_eq!(jobs_placed(&first), ["a"]);
    assert_eq!(jobs_placed(&second), Vec::<String>::new());
    assert!(placer.why_waiting(&"b".into()).is_some());
}

#[test]
fn urgent_jobs_are_placed_first() {
    let now = Instant::now();
    let mut placer = Placer::new(PlacerCfg::default(), 1);
    placer.worker_seen(now, worker("w1"));
    placer.job_queued(now, request("a", 6, Priority::Normal));
    placer.job_queued(now, request("b", 6, Priority::Urgent));

    let decisions = placer.decide(now, 10);

    assert_eq!(jobs_placed(&decisions), ["b"]);
}

#[test]
fn job_of_dropped_placement_is_placed_again() {
    let now = Instant::now();
    let mut placer = Placer::new(PlacerCfg::default(), 1);
    placer.worker_seen(now, worker("w1"));
    placer.job_queued(now, request("a", 6, Priority::Normal));
    placer.decide(now, 10);

    placer.placement_dropped(&"a".into());
    let decisions = placer.decide(now, 10);

    assert_eq!(jobs_placed(&decisions), ["a"]);
}

#[test]
fn ended_task_frees_its_resources() {
    let now = Instant::now();
    let mut placer = Placer::new(PlacerCfg::default(), 1);
    placer.worker_seen(now, worker("w1"));
    placer.task_placed(now, placed("old", 6));
    placer.job_queued(now, request("a", 6, Priority::Normal));

    let before = placer.decide(now, 10);
    placer.task_ended(now, &placed("old", 6).key, Ended::Finished);
    let after = placer.decide(now, 10);

    assert_eq!(jobs_placed(&before), Vec::<String>::new());
    assert_eq!(jobs_placed(&after), ["a"]);
}
