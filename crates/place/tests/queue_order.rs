//! Quotas, urgent work, large jobs and the order of the queue.

mod common;

use std::time::Duration;

use base::TeamName;
use common::{CORES, Harness, pool_of_teams, request};
use place::{EvictReason, PlacementRequest};
use tables::Priority;

const SECOND: Duration = Duration::from_secs(1);

fn of_team(job: &str, team: &str, cores: u64) -> PlacementRequest {
    PlacementRequest {
        team: team.into(),
        ..request(job, "a", cores)
    }
}

fn urgent(job: &str, cores: u64) -> PlacementRequest {
    PlacementRequest {
        priority: Priority::Urgent,
        ..request(job, "quick", cores)
    }
}

fn cores_of(harness: &Harness, team: &str) -> u64 {
    let team = TeamName::from(team);
    let tasks = harness.running.values().filter(|task| task.team == team);
    tasks.map(|task| task.granted.cpu_milli / 1000).sum()
}

#[test]
fn team_reclaims_its_quota_from_a_borrowing_team() {
    let mut harness = Harness::with_pool(4, &pool_of_teams(&[("press", 0.5), ("journals", 0.5)]));
    for n in 0..32 {
        harness.queue(of_team(&format!("press-{n}"), "press", 4));
    }
    harness.advance(SECOND);
    harness.decide();
    let borrowed = cores_of(&harness, "press");
    for n in 0..32 {
        harness.queue(of_team(&format!("journals-{n}"), "journals", 4));
    }

    for _ in 0..900 {
        harness.advance(SECOND);
        harness.decide();
        harness.finish_evictions();
    }
    let settled = (cores_of(&harness, "press"), cores_of(&harness, "journals"));
    for _ in 0..300 {
        harness.advance(SECOND);
        harness.decide();
    }

    assert_eq!(borrowed, 4 * CORES);
    assert_eq!(settled, (2 * CORES, 2 * CORES));
    assert!(harness.evicted.is_empty(), "{:?}", harness.evicted);
}

#[test]
fn teams_with_equal_quotas_get_equal_shares() {
    let mut harness = Harness::with_pool(4, &pool_of_teams(&[("press", 0.5), ("journals", 0.5)]));
    for n in 0..32 {
        harness.queue(of_team(&format!("press-{n}"), "press", 4));
        harness.queue(of_team(&format!("journals-{n}"), "journals", 4));
    }

    harness.advance(SECOND);
    harness.decide();

    assert_eq!(cores_of(&harness, "press"), cores_of(&harness, "journals"));
    assert_eq!(cores_of(&harness, "press"), 2 * CORES);
}

#[test]
fn team_that_may_not_borrow_stays_within_its_quota() {
    let mut pool = pool_of_teams(&[("press", 0.25), ("journals", 0.75)]);
    if let Some(quota) = pool.teams.get_mut(&TeamName::from("press")) {
        quota.borrow = false;
    }
    let mut harness = Harness::with_pool(4, &pool);
    for n in 0..32 {
        harness.queue(of_team(&format!("press-{n}"), "press", 4));
    }

    harness.advance(SECOND);
    harness.decide();

    assert_eq!(cores_of(&harness, "press"), CORES);
    assert!(harness.placer.why_waiting(&"press-31".into()).is_some());
}

#[test]
fn urgent_jobs_preempt_low_priority_tasks_in_a_full_pool() {
    let mut harness = Harness::new(4);
    for n in 0..16 {
        let priority = if n % 2 == 0 {
            Priority::Low
        } else {
            Priority::Normal
        };
        let job = request(&format!("job-{n}"), "a", 4);
        harness.queue(PlacementRequest { priority, ..job });
    }
    harness.advance(SECOND);
    harness.decide();

    for n in 0..6 {
        harness.queue(urgent(&format!("urgent-{n}"), 4));
    }
    harness.advance(SECOND);
    harness.decide();
    let victims = harness.evicted.clone();
    let moved_normal = victims
        .iter()
        .filter(|(key, _)| harness.running[key].priority != Priority::Low)
        .count();
    harness.finish_evictions();
    harness.advance(SECOND);
    let started = harness.decide();

    assert_eq!(victims.len(), 6);
    assert!(victims.iter().all(|(_, why)| *why == EvictReason::Urgent));
    assert_eq!(moved_normal, 0);
    let urgent_started = started.iter().filter(|t| t.priority == Priority::Urgent);
    assert_eq!(urgent_started.count(), 6);
}

#[test]
fn large_job_is_not_starved_by_small_ones() {
    let mut harness = Harness::new(2);
    let mut n = 0;
    let mut top_up_queue = |harness: &mut Harness| {
        while harness.placer.summary().queued < 8 {
            n += 1;
            harness.queue(request(&format!("small-{n}"), "a", 4));
        }
    };
    top_up_queue(&mut harness);
    harness.advance(SECOND);
    harness.decide();
    harness.queue(request("large", "b", CORES));

    let mut waited = 0;
    while !harness
        .running
        .keys()
        .any(|key| key.job.as_str() == "large")
    {
        top_up_queue(&mut harness);
        harness.advance(Duration::from_secs(10));
        waited += 10;
        assert!(waited < 4 * 3600, "the large job never started");
        // Tasks end one at a time, so that a worker never becomes free as a whole.
        if waited % 150 == 0 {
            let oldest = harness.running.keys().min_by_key(|key| key.attempt);
            let key = oldest.cloned().expect("tasks run");
            harness.end(&key, place::Ended::Finished);
        }
        harness.decide();
    }

    assert!(harness.evicted.is_empty());
}

#[test]
fn earlier_deadlines_are_placed_first() {
    let mut harness = Harness::new(1);
    for (job, hours) in [("noon", 12), ("morning", 8), ("evening", 20)] {
        let finish_by = Some(harness.now + Duration::from_secs(hours * 3600));
        let job = request(job, "a", CORES);
        harness.queue(PlacementRequest { finish_by, ..job });
    }

    harness.advance(SECOND);
    let started = harness.decide();

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].key.job.as_str(), "morning");
}

#[test]
fn standing_tasks_spread_over_racks() {
    let mut harness = Harness::new(9);
    for n in 0..3 {
        let job = request(&format!("watcher-{n}"), "watch", 1);
        harness.queue(PlacementRequest {
            run_time: None,
            ..job
        });
    }

    harness.advance(SECOND);
    let started = harness.decide();

    let mut racks: Vec<_> = started
        .iter()
        .map(|task| {
            task.worker.as_str()[1..]
                .parse::<usize>()
                .expect("a number")
                / 3
        })
        .collect();
    racks.sort_unstable();
    assert_eq!(racks, [0, 1, 2]);
}
