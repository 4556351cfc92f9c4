//! Quotas, urgent work, large jobs and the order of the queue.

mod common;

use std::time::Duration;

use base::TeamName;
use common::{CORES, Rig, pool_of_teams, request};
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

fn cores_of(rig: &Rig, team: &str) -> u64 {
    let team = TeamName::from(team);
    let tasks = rig.running.values().filter(|task| task.team == team);
    tasks.map(|task| task.granted.cpu_milli / 1000).sum()
}

#[test]
fn a_team_takes_its_quota_back_from_one_that_borrowed_it() {
    let mut rig = Rig::with_pool(4, &pool_of_teams(&[("press", 0.5), ("journals", 0.5)]));
    for n in 0..32 {
        rig.queue(of_team(&format!("press-{n}"), "press", 4));
    }
    rig.wait(SECOND);
    rig.decide();
    let borrowed = cores_of(&rig, "press");
    for n in 0..32 {
        rig.queue(of_team(&format!("journals-{n}"), "journals", 4));
    }

    for _ in 0..900 {
        rig.wait(SECOND);
        rig.decide();
        rig.finish_evictions();
    }
    let settled = (cores_of(&rig, "press"), cores_of(&rig, "journals"));
    for _ in 0..300 {
        rig.wait(SECOND);
        rig.decide();
    }

    assert_eq!(borrowed, 4 * CORES);
    assert_eq!(settled, (2 * CORES, 2 * CORES));
    assert!(rig.evicted.is_empty(), "{:?}", rig.evicted);
}

#[test]
fn two_teams_racing_for_the_last_room_share_it() {
    let mut rig = Rig::with_pool(4, &pool_of_teams(&[("press", 0.5), ("journals", 0.5)]));
    for n in 0..32 {
        rig.queue(of_team(&format!("press-{n}"), "press", 4));
        rig.queue(of_team(&format!("journals-{n}"), "journals", 4));
    }

    rig.wait(SECOND);
    rig.decide();

    assert_eq!(cores_of(&rig, "press"), cores_of(&rig, "journals"));
    assert_eq!(cores_of(&rig, "press"), 2 * CORES);
}

#[test]
fn a_team_without_the_right_to_borrow_stays_within_its_quota() {
    let mut pool = pool_of_teams(&[("press", 0.25), ("journals", 0.75)]);
    if let Some(quota) = pool.teams.get_mut(&TeamName::from("press")) {
        quota.borrow = false;
    }
    let mut rig = Rig::with_pool(4, &pool);
    for n in 0..32 {
        rig.queue(of_team(&format!("press-{n}"), "press", 4));
    }

    rig.wait(SECOND);
    rig.decide();

    assert_eq!(cores_of(&rig, "press"), CORES);
    assert!(rig.placer.why_waiting(&"press-31".into()).is_some());
}

#[test]
fn an_urgent_burst_into_a_full_pool_starts_as_soon_as_checkpoints_end() {
    let mut rig = Rig::new(4);
    for n in 0..16 {
        let priority = if n % 2 == 0 {
            Priority::Low
        } else {
            Priority::Normal
        };
        let job = request(&format!("job-{n}"), "a", 4);
        rig.queue(PlacementRequest { priority, ..job });
    }
    rig.wait(SECOND);
    rig.decide();

    for n in 0..6 {
        rig.queue(urgent(&format!("urgent-{n}"), 4));
    }
    rig.wait(SECOND);
    rig.decide();
    let victims = rig.evicted.clone();
    let moved_normal = victims
        .iter()
        .filter(|(key, _)| rig.running[key].priority != Priority::Low)
        .count();
    rig.finish_evictions();
    rig.wait(SECOND);
    let started = rig.decide();

    assert_eq!(victims.len(), 6);
    assert!(victims.iter().all(|(_, why)| *why == EvictReason::Urgent));
    assert_eq!(moved_normal, 0);
    let urgent_started = started.iter().filter(|t| t.priority == Priority::Urgent);
    assert_eq!(urgent_started.count(), 6);
}

#[test]
fn a_large_job_is_not_starved_by_small_ones() {
    let mut rig = Rig::new(2);
    let mut n = 0;
    let mut feed = |rig: &mut Rig| {
        while rig.placer.summary().queued < 8 {
            n += 1;
            rig.queue(request(&format!("small-{n}"), "a", 4));
        }
    };
    feed(&mut rig);
    rig.wait(SECOND);
    rig.decide();
    rig.queue(request("large", "b", CORES));

    let mut waited = 0;
    while !rig.running.keys().any(|key| key.job.as_str() == "large") {
        feed(&mut rig);
        rig.wait(Duration::from_secs(10));
        waited += 10;
        assert!(waited < 4 * 3600, "the large job never started");
        // Tasks end one at a time, so that a worker never becomes free as a whole.
        if waited % 150 == 0 {
            let oldest = rig.running.keys().min_by_key(|key| key.attempt);
            let key = oldest.cloned().expect("tasks run");
            rig.end(&key, place::Ended::Finished);
        }
        rig.decide();
    }

    assert!(rig.evicted.is_empty());
}

#[test]
fn earlier_deadlines_go_first() {
    let mut rig = Rig::new(1);
    for (job, hours) in [("noon", 12), ("morning", 8), ("evening", 20)] {
        let finish_by = Some(rig.now + Duration::from_secs(hours * 3600));
        let job = request(job, "a", CORES);
        rig.queue(PlacementRequest { finish_by, ..job });
    }

    rig.wait(SECOND);
    let started = rig.decide();

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].key.job.as_str(), "morning");
}

#[test]
fn standing_tasks_spread_over_racks() {
    let mut rig = Rig::new(9);
    for n in 0..3 {
        let job = request(&format!("watcher-{n}"), "watch", 1);
        rig.queue(PlacementRequest {
            run_time: None,
            ..job
        });
    }

    rig.wait(SECOND);
    let started = rig.decide();

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
