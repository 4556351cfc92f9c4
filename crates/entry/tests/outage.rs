//! Owners, companions and workers through outages of the store, losses and pauses.

mod world;

use base::prelude::*;
use journal::Keys;
use ports::store::{Expect, StoreCall};
use wire::timing::{DRIFT, KEEP_FOR};
use wire::{JobPhase, JobSpec, SubmitReply, shard_of_pool};

use world::{GRACE, SECOND, World, spec};

const HOUR: Duration = Duration::from_secs(3_600);

/// A world in which `jobs` long jobs run.
fn busy(entries: usize, vms: usize, jobs: usize) -> World {
    let mut world = World::new(entries, vms);
    world.run(SECOND * 4);
    for job in 0..jobs {
        let reply = world.submit(0, spec(&format!("job-{job}"), HOUR));
        assert!(
            matches!(reply, Some(SubmitReply::Accepted { .. })),
            "{reply:?}"
        );
    }
    world.run(SECOND * 2);
    assert_eq!(world.running(), jobs);
    world
}

#[test]
fn shard_with_an_unreadable_record_is_shown_as_stuck() {
    let mut world = World::new(1, 1);
    let now = world.now();
    let garbage = StoreCall::Put {
        key: Keys::new(shard_of_pool(&"proofs".into())).log(Seq(1)),
        value: b"no record".as_slice().into(),
        expect: Expect::Absent,
        lease: None,
    };
    world.store.call(now, &garbage).unwrap();

    world.run(SECOND * 4);

    let shards = world.shards(0);
    let reason = shards.first().and_then(|shard| shard.stuck.clone());
    assert!(reason.is_some_and(|reason| reason.contains("decode record")));
}

#[test]
fn short_job_finishes_and_takes_effect_once() {
    let mut world = World::new(3, 2);
    world.run(SECOND * 4);

    world.submit(1, spec("a", SECOND));
    world.run(SECOND * 4);

    let status = world.status(2, "a").map(|s| s.phase);
    assert_eq!(status, Some(JobPhase::Finished));
    assert_eq!(world.effects().into_values().collect::<Vec<_>>(), [1]);
}

#[test]
fn five_minutes_without_the_store_stop_no_running_task() {
    let mut world = busy(3, 3, 6);

    world.set_store(false);
    world.run(SECOND * 300);
    let during = (world.running(), world.runs());
    world.set_store(true);
    world.run(SECOND * 20);

    assert_eq!(during, (6, 6));
    assert_eq!((world.running(), world.runs()), (6, 6));
}

#[test]
fn nothing_starts_and_nothing_is_accepted_while_the_store_is_down() {
    let mut world = busy(1, 1, 1);
    world.set_store(false);
    world.run(SECOND * 10);

    let reply = world.submit(0, spec("late", SECOND));
    world.run(SECOND * 20);

    assert!(
        matches!(reply, Some(SubmitReply::Refused { .. })),
        "{reply:?}"
    );
    assert_eq!(world.runs(), 1);
}

#[test]
fn tasks_stop_once_the_grace_is_over() {
    let mut world = busy(1, 2, 2);

    world.set_store(false);
    world.run(GRACE + KEEP_FOR + SECOND * 6);

    assert_eq!(world.running(), 0);
}

#[test]
fn work_of_a_lost_vm_starts_elsewhere_after_the_keep_time() {
    let mut world = busy(3, 2, 1);
    let held = usize::from(world.vms[1].worker.record().runs.len() == 1);

    world.lose_vm(held);
    world.run(KEEP_FOR / 2);
    let early = world.runs();
    world.run(KEEP_FOR / 2 + DRIFT + SECOND * 2);

    assert_eq!(early, 1);
    assert_eq!(world.runs(), 2);
}

#[test]
fn killed_owner_is_replaced_and_running_tasks_go_on() {
    let mut world = busy(3, 3, 6);
    let owner = world.owner().unwrap();

    world.kill_entry(owner);
    world.run(SECOND * 10);
    let other = (owner + 1) % 3;
    let reply = world.submit(other, spec("next", HOUR));
    world.run(SECOND);

    assert!(
        matches!(reply, Some(SubmitReply::Accepted { .. })),
        "{reply:?}"
    );
    assert_eq!((world.running(), world.runs()), (7, 7));
}

#[test]
fn planned_stop_hands_the_shard_over_at_once() {
    let mut world = busy(3, 3, 6);
    let owner = world.owner().unwrap();

    world.stop_entry(owner);
    world.run(SECOND * 2);

    assert_ne!(world.owner(), Some(owner));
    assert!(world.owner().is_some());
    assert_eq!(world.running(), 6);
}

#[test]
fn cut_off_owner_and_new_owner_never_run_a_task_twice() {
    let mut world = busy(3, 3, 6);
    let owner = world.owner().unwrap();

    world.entries[owner].has_store = false;
    world.run(SECOND * 5);
    world.kill_companion(0);
    world.run(SECOND * 60);
    world.start_companion(0);
    world.run(GRACE + SECOND * 30);

    assert_eq!(world.running(), 6);
}

#[test]
fn owner_paused_at_any_time_runs_nothing_twice() {
    for pause in [1, 3, 5, 7, 30] {
        let mut world = busy(2, 2, 4);
        let owner = world.owner().unwrap();

        world.entries[owner].is_paused = true;
        world.run(SECOND * pause);
        world.entries[owner].is_paused = false;
        world.run(SECOND * 20);

        assert_eq!((world.running(), world.runs()), (4, 4), "pause {pause} s");
    }
}

#[test]
fn companion_paused_past_its_time_does_not_run_a_task_twice() {
    for pause in [2, 6, 8, 20] {
        let mut world = busy(2, 2, 4);

        world.vms[0].is_paused = true;
        world.run(SECOND * pause);
        world.vms[0].is_paused = false;
        world.run(SECOND * 20);

        assert_eq!(world.running(), 4, "pause {pause} s");
    }
}

#[test]
fn restarted_companion_takes_its_tasks_back() {
    let mut world = busy(2, 2, 4);

    world.kill_companion(0);
    world.run(SECOND);
    world.start_companion(0);
    world.run(SECOND * 10);

    assert_eq!((world.running(), world.runs()), (4, 4));
}

#[test]
fn partitioned_worker_reports_what_it_finished_meanwhile_or_runs_it_again_alone() {
    let mut world = World::new(2, 2);
    world.run(SECOND * 4);
    world.submit(0, spec("a", SECOND * 5));
    let holder = usize::from(world.vms[1].worker.record().runs.len() == 1);

    world.vms[holder].has_network = false;
    world.run(SECOND * 5);
    world.vms[holder].has_network = true;
    world.run(SECOND * 10);

    let status = world.status(0, "a").map(|s| s.phase);
    assert_eq!(status, Some(JobPhase::Finished));
    assert_eq!(world.effects().into_values().collect::<Vec<_>>(), [1]);
}

#[test]
fn replaced_worker_under_the_same_name_gives_its_tasks_up_at_once() {
    let mut world = busy(2, 1, 2);
    let now = world.now();

    world.vms[0].worker.lose_all(now);
    world.run(SECOND * 3);

    assert_eq!((world.running(), world.runs()), (2, 4));
}

#[test]
fn start_whose_answer_is_lost_runs_once() {
    let mut world = World::new(1, 1);
    world.run(SECOND * 4);
    world.vms[0].worker.switches_mut().lose_next_starts = 3;

    world.submit(0, spec("a", SECOND * 2));
    world.run(SECOND * 5);

    assert_eq!(world.runs(), 1);
    assert_eq!(world.effects().into_values().collect::<Vec<_>>(), [1]);
}

#[test]
fn start_that_never_arrives_is_made_again() {
    let mut world = World::new(1, 1);
    world.run(SECOND * 4);
    world.vms[0].worker.switches_mut().unreachable = true;

    world.submit(0, spec("a", SECOND * 2));
    world.run(SECOND);
    world.vms[0].worker.switches_mut().unreachable = false;
    world.run(SECOND * 8);

    assert_eq!(world.effects().into_values().collect::<Vec<_>>(), [1]);
}

#[test]
fn cancel_wave_stops_everything_and_nothing_starts_again() {
    let mut world = busy(2, 2, 8);
    let jobs = (0..8)
        .map(|job| world::key(&format!("job-{job}")))
        .collect();

    let statuses = world.cancel(1, jobs).unwrap_or_default();
    world.run(SECOND * 4);

    assert_eq!(statuses.len(), 8);
    assert!(statuses.iter().all(|s| s.phase == JobPhase::Cancelled));
    assert_eq!((world.running(), world.runs()), (0, 8));
}

#[test]
fn same_key_is_the_same_job_through_another_owner() {
    let mut world = busy(3, 1, 1);
    let owner = world.owner().unwrap();
    world.kill_entry(owner);
    world.run(SECOND * 10);

    let again = world.submit((owner + 1) % 3, spec("job-0", HOUR));

    assert!(
        matches!(again, Some(SubmitReply::Accepted { known: true, .. })),
        "{again:?}"
    );
}

#[test]
fn job_whose_cancellation_is_being_committed_is_not_assigned() {
    let mut world = World::new(1, 2);
    world.kill_companion(1);
    world.run(SECOND * 8);
    let most_of_a_worker = |name| JobSpec {
        resources: Resources::new(40, 1_024, 0),
        ..spec(name, HOUR)
    };
    world.submit(0, most_of_a_worker("runs"));
    world.submit(0, most_of_a_worker("waits"));

    // The cancellation cannot be committed yet when a worker with room appears.
    world.set_store(false);
    world.start_companion(1);
    world.cancel(0, vec![world::key("waits")]);
    world.run(SECOND);
    world.set_store(true);
    world.run(SECOND * 5);

    // An assignment of the cancelled job would have broken a promise, which panics.
    let status = world.status(0, "waits").map(|s| s.phase);
    assert_eq!(status, Some(JobPhase::Cancelled));
    assert_eq!(world.runs(), 1);
}

#[test]
fn job_waits_for_the_one_before_it() {
    let mut world = World::new(2, 1);
    world.run(SECOND * 4);
    let second = JobSpec {
        after: Some("first".into()),
        ..spec("second", SECOND)
    };

    world.submit(0, second);
    let waiting = world.status(1, "second").map(|s| s.phase);
    world.submit(0, spec("first", SECOND * 3));
    world.run(SECOND);
    let still = world.runs();
    world.run(SECOND * 8);

    let reason = "waits for job first".into();
    assert_eq!(waiting, Some(JobPhase::Queued { reason }));
    assert_eq!(still, 1);
    assert_eq!(
        world.status(0, "second").map(|s| s.phase),
        Some(JobPhase::Finished)
    );
}

#[test]
fn job_after_a_cancelled_one_fails_with_the_reason() {
    let mut world = busy(2, 1, 1);
    let next = JobSpec {
        after: Some("job-0".into()),
        ..spec("next", SECOND)
    };
    world.submit(0, next);

    world.cancel(1, vec![world::key("job-0")]);
    world.run(SECOND * 3);

    let phase = world.status(0, "next").map(|s| s.phase);
    assert!(matches!(phase, Some(JobPhase::Failed { .. })), "{phase:?}");
    assert_eq!(world.runs(), 1);
}

#[test]
fn cancel_that_races_the_finish_leaves_one_end() {
    for wait in 0..8 {
        let mut world = World::new(1, 1);
        world.run(SECOND * 4);
        world.submit(0, spec("a", SECOND + SECOND * wait / 8));

        let statuses = world.cancel(0, vec![world::key("a")]).unwrap_or_default();
        world.run(SECOND * 3);

        let phase = world.status(0, "a").map(|s| s.phase);
        let ended = [JobPhase::Finished, JobPhase::Cancelled].map(Some);
        assert!(ended.contains(&phase), "{phase:?}");
        assert_eq!(statuses.first().map(|s| s.phase.clone()), phase);
        assert_eq!((world.running(), world.runs()), (0, 1));
    }
}

#[test]
fn unknown_status_is_told_apart_from_no_such_job() {
    let mut world = busy(1, 1, 1);
    let known = world.ask_status(0, "none");

    world.set_store(false);
    world.run(SECOND * 10);
    let unknown = world.ask_status(0, "job-0");

    assert_eq!(known, Some(None));
    assert_eq!(unknown, None);
}

#[test]
fn standing_task_is_started_again_whenever_it_ends() {
    let mut world = World::new(2, 2);
    world.run(SECOND * 4);
    let watcher = JobSpec {
        run_time: None,
        ..spec("watch", SECOND)
    };
    world.submit(0, watcher);

    for _ in 0..5 {
        let at = usize::from(world.vms[0].worker.granted() == Resources::ZERO);
        let now = world.now();
        world.vms[at].worker.lose_all(now);
        world.run(SECOND * 3);
    }

    assert_eq!((world.running(), world.runs()), (1, 6));
}

/// Cuts the owner off from the store, and the first worker off from all other entries.
fn split(world: &mut World) -> usize {
    let owner = world.owner().unwrap();
    world.entries[owner].has_store = false;
    world.vms[0].reaches_only = Some(owner);
    owner
}

#[test]
fn worker_kept_by_a_cut_off_owner_is_not_given_up_before_the_grace() {
    let mut world = busy(3, 2, 8);
    split(&mut world);

    world.run(GRACE - SECOND * 5);
    let during = (world.running(), world.runs());
    world.run(KEEP_FOR * 3);

    assert_eq!(during, (8, 8));
    assert_eq!(world.running(), 8);
    assert!(world.runs() > 8);
}

#[test]
fn next_owners_wait_as_well_for_what_a_cut_off_owner_keeps() {
    let mut world = busy(4, 2, 8);
    split(&mut world);
    world.run(SECOND * 10);
    let second = world.owner().unwrap();

    world.stop_entry(second);
    world.run(GRACE / 2);

    assert_ne!(world.owner(), Some(second));
    assert_eq!((world.running(), world.runs()), (8, 8));
}

#[test]
fn cut_off_owner_keeps_nothing_for_a_companion_that_may_have_known_a_newer_owner() {
    let mut world = busy(3, 2, 8);
    let owner = world.owner().unwrap();
    world.entries[owner].has_store = false;
    world.run(SECOND * 10);

    world.kill_companion(0);
    world.vms[0].reaches_only = Some(owner);
    world.start_companion(0);
    world.run(KEEP_FOR * 3);

    assert_eq!(world.running(), 8);
    assert!(world.runs() > 8);
}

#[test]
fn companion_that_heard_a_newer_owner_ignores_the_older_one() {
    let mut world = busy(3, 2, 8);
    let owner = world.owner().unwrap();
    world.entries[owner].has_store = false;
    world.run(SECOND * 10);

    world.vms[0].reaches_only = Some(owner);
    world.run(KEEP_FOR * 3);

    assert_eq!(world.running(), 8);
    assert!(world.runs() > 8);
}

#[test]
fn evicted_tasks_resume_once_from_their_checkpoint() {
    let mut world = World::new(2, 2);
    world.run(SECOND * 4);
    for job in 0..4 {
        world.submit(0, spec(&format!("job-{job}"), SECOND * 40));
    }
    world.run(SECOND * 10);
    let leaving = usize::from(world.vms[0].worker.granted() == Resources::ZERO);

    world.drain(leaving);
    world.run(SECOND * 40);

    let statuses: Vec<_> = (0..4)
        .filter_map(|job| world.status(0, &format!("job-{job}")))
        .collect();
    assert!(statuses.iter().any(|s| s.evictions == 1));
    // A task that began anew would still run.
    assert!(statuses.iter().all(|s| s.phase == JobPhase::Finished));
    assert!(statuses.iter().all(|s| s.attempts.0 == 1 + s.evictions));
    assert!(world.effects().into_values().all(|count| count == 1));
}

#[test]
fn eviction_that_races_the_finish_leaves_one_end() {
    for wait in 0..10 {
        let mut world = World::new(1, 2);
        world.run(SECOND * 4);
        world.submit(0, spec("a", SECOND * 2));
        world.run(SECOND / 10 * wait);
        let at = usize::from(world.vms[0].worker.granted() == Resources::ZERO);

        world.drain(at);
        world.run(SECOND * 8);

        let phase = world.status(0, "a").map(|s| s.phase);
        assert_eq!(phase, Some(JobPhase::Finished), "after {wait} tenths");
        assert_eq!(world.effects().into_values().collect::<Vec<_>>(), [1]);
    }
}

#[test]
fn job_too_large_for_a_record_is_refused_each_time() {
    let mut world = World::new(1, 1);
    world.run(SECOND * 4);
    let huge = JobSpec {
        payload: "x".repeat(300_000).into(),
        ..spec("huge", SECOND)
    };

    let first = world.submit(0, huge.clone());
    let second = world.submit(0, huge);
    let small = world.submit(0, spec("huge", SECOND));

    assert!(
        matches!(first, Some(SubmitReply::Refused { .. })),
        "{first:?}"
    );
    assert!(
        matches!(second, Some(SubmitReply::Refused { .. })),
        "{second:?}"
    );
    assert!(matches!(
        small,
        Some(SubmitReply::Accepted { known: false, .. })
    ));
}
