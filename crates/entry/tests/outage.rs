//! Owners, companions and workers through outages of the store, losses and pauses.

mod simulation;

use base::prelude::*;
use journal::Keys;
use ports::store::{Expect, StoreCall};
use wire::timing::{DRIFT, TASK_LEASE};
use wire::{JobPhase, JobSpec, SubmitReply, shard_of_pool};

use simulation::{GRACE, SECOND, Simulation, spec};

const HOUR: Duration = Duration::from_secs(3_600);

/// Returns a simulation in which `jobs` long jobs run.
fn with_running_jobs(entries: usize, vms: usize, jobs: usize) -> Simulation {
    let mut sim = Simulation::new(entries, vms);
    sim.run(SECOND * 4);
    for job in 0..jobs {
        let reply = sim.submit(0, spec(&format!("job-{job}"), HOUR));
        assert!(
            matches!(reply, Some(SubmitReply::Accepted { .. })),
            "{reply:?}"
        );
    }
    sim.run(SECOND * 2);
    assert_eq!(sim.running(), jobs);
    sim
}

#[test]
fn shard_with_an_unreadable_record_is_shown_as_stuck() {
    let mut sim = Simulation::new(1, 1);
    let now = sim.now();
    let garbage = StoreCall::Put {
        key: Keys::new(shard_of_pool(&"proofs".into())).log(Seq(1)),
        value: b"no record".as_slice().into(),
        expect: Expect::Absent,
        lease: None,
    };
    sim.store.call(now, &garbage).unwrap();

    sim.run(SECOND * 4);

    let shards = sim.shards(0);
    let reason = shards.first().and_then(|shard| shard.stuck.clone());
    assert!(reason.is_some_and(|reason| reason.contains("decode record")));
}

#[test]
fn short_job_finishes_and_takes_effect_once() {
    let mut sim = Simulation::new(3, 2);
    sim.run(SECOND * 4);

    sim.submit(1, spec("a", SECOND));
    sim.run(SECOND * 4);

    let status = sim.status(2, "a").map(|s| s.phase);
    assert_eq!(status, Some(JobPhase::Finished));
    assert_eq!(sim.effects().into_values().collect::<Vec<_>>(), [1]);
}

#[test]
fn tasks_keep_running_through_five_minute_store_outage() {
    let mut sim = with_running_jobs(3, 3, 6);

    sim.set_store(false);
    sim.run(SECOND * 300);
    let during = (sim.running(), sim.runs());
    sim.set_store(true);
    sim.run(SECOND * 20);

    assert_eq!(during, (6, 6));
    assert_eq!((sim.running(), sim.runs()), (6, 6));
}

#[test]
fn nothing_starts_and_nothing_is_accepted_while_the_store_is_down() {
    let mut sim = with_running_jobs(1, 1, 1);
    sim.set_store(false);
    sim.run(SECOND * 10);

    let reply = sim.submit(0, spec("late", SECOND));
    sim.run(SECOND * 20);

    assert!(
        matches!(reply, Some(SubmitReply::Refused { .. })),
        "{reply:?}"
    );
    assert_eq!(sim.runs(), 1);
}

#[test]
fn tasks_stop_after_grace_period() {
    let mut sim = with_running_jobs(1, 2, 2);

    sim.set_store(false);
    sim.run(GRACE + TASK_LEASE + SECOND * 6);

    assert_eq!(sim.running(), 0);
}

#[test]
fn tasks_of_lost_vm_restart_elsewhere_after_keep_for() {
    let mut sim = with_running_jobs(3, 2, 1);
    let held = usize::from(sim.vms[1].worker.record().runs.len() == 1);

    sim.lose_vm(held);
    sim.run(TASK_LEASE / 2);
    let early = sim.runs();
    sim.run(TASK_LEASE / 2 + DRIFT + SECOND * 2);

    assert_eq!(early, 1);
    assert_eq!(sim.runs(), 2);
}

#[test]
fn killed_owner_is_replaced_and_running_tasks_go_on() {
    let mut sim = with_running_jobs(3, 3, 6);
    let owner = sim.owner().unwrap();

    sim.kill_entry(owner);
    sim.run(SECOND * 10);
    let other = (owner + 1) % 3;
    let reply = sim.submit(other, spec("next", HOUR));
    sim.run(SECOND);

    assert!(
        matches!(reply, Some(SubmitReply::Accepted { .. })),
        "{reply:?}"
    );
    assert_eq!((sim.running(), sim.runs()), (7, 7));
}

#[test]
fn planned_stop_hands_the_shard_over_at_once() {
    let mut sim = with_running_jobs(3, 3, 6);
    let owner = sim.owner().unwrap();

    sim.stop_entry(owner);
    sim.run(SECOND * 2);

    assert_ne!(sim.owner(), Some(owner));
    assert!(sim.owner().is_some());
    assert_eq!(sim.running(), 6);
}

#[test]
fn partitioned_owner_and_successor_never_run_task_twice() {
    let mut sim = with_running_jobs(3, 3, 6);
    let owner = sim.owner().unwrap();

    sim.entries[owner].has_store = false;
    sim.run(SECOND * 5);
    sim.kill_companion(0);
    sim.run(SECOND * 60);
    sim.start_companion(0);
    sim.run(GRACE + SECOND * 30);

    assert_eq!(sim.running(), 6);
}

#[test]
fn paused_owner_never_runs_task_twice() {
    for pause in [1, 3, 5, 7, 30] {
        let mut sim = with_running_jobs(2, 2, 4);
        let owner = sim.owner().unwrap();

        sim.entries[owner].is_paused = true;
        sim.run(SECOND * pause);
        sim.entries[owner].is_paused = false;
        sim.run(SECOND * 20);

        assert_eq!((sim.running(), sim.runs()), (4, 4), "pause {pause} s");
    }
}

#[test]
fn companion_paused_past_keep_for_never_runs_task_twice() {
    for pause in [2, 6, 8, 20] {
        let mut sim = with_running_jobs(2, 2, 4);

        sim.vms[0].is_paused = true;
        sim.run(SECOND * pause);
        sim.vms[0].is_paused = false;
        sim.run(SECOND * 20);

        assert_eq!(sim.running(), 4, "pause {pause} s");
    }
}

#[test]
fn restarted_companion_recovers_its_tasks() {
    let mut sim = with_running_jobs(2, 2, 4);

    sim.kill_companion(0);
    sim.run(SECOND);
    sim.start_companion(0);
    sim.run(SECOND * 10);

    assert_eq!((sim.running(), sim.runs()), (4, 4));
}

// The worker reports the job as finished after the partition, or the job runs again elsewhere.
#[test]
fn job_of_partitioned_worker_takes_effect_once() {
    let mut sim = Simulation::new(2, 2);
    sim.run(SECOND * 4);
    sim.submit(0, spec("a", SECOND * 5));
    let holder = usize::from(sim.vms[1].worker.record().runs.len() == 1);

    sim.vms[holder].has_network = false;
    sim.run(SECOND * 5);
    sim.vms[holder].has_network = true;
    sim.run(SECOND * 10);

    let status = sim.status(0, "a").map(|s| s.phase);
    assert_eq!(status, Some(JobPhase::Finished));
    assert_eq!(sim.effects().into_values().collect::<Vec<_>>(), [1]);
}

// The new worker has the same name as the old one but none of its tasks.
#[test]
fn tasks_of_replaced_worker_restart_at_once() {
    let mut sim = with_running_jobs(2, 1, 2);
    let now = sim.now();

    sim.vms[0].worker.lose_all(now);
    sim.run(SECOND * 3);

    assert_eq!((sim.running(), sim.runs()), (2, 4));
}

#[test]
fn start_with_lost_response_runs_once() {
    let mut sim = Simulation::new(1, 1);
    sim.run(SECOND * 4);
    sim.vms[0].worker.faults_mut().lose_next_starts = 3;

    sim.submit(0, spec("a", SECOND * 2));
    sim.run(SECOND * 5);

    assert_eq!(sim.runs(), 1);
    assert_eq!(sim.effects().into_values().collect::<Vec<_>>(), [1]);
}

#[test]
fn undelivered_start_is_retried() {
    let mut sim = Simulation::new(1, 1);
    sim.run(SECOND * 4);
    sim.vms[0].worker.faults_mut().unreachable = true;

    sim.submit(0, spec("a", SECOND * 2));
    sim.run(SECOND);
    sim.vms[0].worker.faults_mut().unreachable = false;
    sim.run(SECOND * 8);

    assert_eq!(sim.effects().into_values().collect::<Vec<_>>(), [1]);
}

#[test]
fn bulk_cancellation_stops_all_tasks_for_good() {
    let mut sim = with_running_jobs(2, 2, 8);
    let jobs = (0..8)
        .map(|job| simulation::key(&format!("job-{job}")))
        .collect();

    let statuses = sim.cancel(1, jobs).unwrap_or_default();
    sim.run(SECOND * 4);

    assert_eq!(statuses.len(), 8);
    assert!(statuses.iter().all(|s| s.phase == JobPhase::Cancelled));
    assert_eq!((sim.running(), sim.runs()), (0, 8));
}

#[test]
fn resubmission_after_owner_change_returns_same_job() {
    let mut sim = with_running_jobs(3, 1, 1);
    let owner = sim.owner().unwrap();
    sim.kill_entry(owner);
    sim.run(SECOND * 10);

    let again = sim.submit((owner + 1) % 3, spec("job-0", HOUR));

    assert!(
        matches!(again, Some(SubmitReply::Accepted { known: true, .. })),
        "{again:?}"
    );
}

#[test]
fn job_whose_cancellation_is_being_committed_is_not_assigned() {
    let mut sim = Simulation::new(1, 2);
    sim.kill_companion(1);
    sim.run(SECOND * 8);
    let most_of_a_worker = |name| JobSpec {
        resources: Resources::new(40, 1_024, 0),
        ..spec(name, HOUR)
    };
    sim.submit(0, most_of_a_worker("runs"));
    sim.submit(0, most_of_a_worker("waits"));

    // The cancellation is not committed yet when a worker with free capacity appears.
    sim.set_store(false);
    sim.start_companion(1);
    sim.cancel(0, vec![simulation::key("waits")]);
    sim.run(SECOND);
    sim.set_store(true);
    sim.run(SECOND * 5);

    // An assignment of the cancelled job would have broken a promise, which panics.
    let status = sim.status(0, "waits").map(|s| s.phase);
    assert_eq!(status, Some(JobPhase::Cancelled));
    assert_eq!(sim.runs(), 1);
}

#[test]
fn job_waits_for_its_predecessor() {
    let mut sim = Simulation::new(2, 1);
    sim.run(SECOND * 4);
    let second = JobSpec {
        after: Some("first".into()),
        ..spec("second", SECOND)
    };

    sim.submit(0, second);
    let waiting = sim.status(1, "second").map(|s| s.phase);
    sim.submit(0, spec("first", SECOND * 3));
    sim.run(SECOND);
    let still = sim.runs();
    sim.run(SECOND * 8);

    let reason = "waits for job first".into();
    assert_eq!(waiting, Some(JobPhase::Queued { reason }));
    assert_eq!(still, 1);
    assert_eq!(
        sim.status(0, "second").map(|s| s.phase),
        Some(JobPhase::Finished)
    );
}

#[test]
fn job_fails_if_its_predecessor_is_cancelled() {
    let mut sim = with_running_jobs(2, 1, 1);
    let next = JobSpec {
        after: Some("job-0".into()),
        ..spec("next", SECOND)
    };
    sim.submit(0, next);

    sim.cancel(1, vec![simulation::key("job-0")]);
    sim.run(SECOND * 3);

    let phase = sim.status(0, "next").map(|s| s.phase);
    assert!(matches!(phase, Some(JobPhase::Failed { .. })), "{phase:?}");
    assert_eq!(sim.runs(), 1);
}

#[test]
fn cancel_racing_finish_yields_one_outcome() {
    for wait in 0..8 {
        let mut sim = Simulation::new(1, 1);
        sim.run(SECOND * 4);
        sim.submit(0, spec("a", SECOND + SECOND * wait / 8));

        let statuses = sim
            .cancel(0, vec![simulation::key("a")])
            .unwrap_or_default();
        sim.run(SECOND * 3);

        let phase = sim.status(0, "a").map(|s| s.phase);
        let ended = [JobPhase::Finished, JobPhase::Cancelled].map(Some);
        assert!(ended.contains(&phase), "{phase:?}");
        assert_eq!(statuses.first().map(|s| s.phase.clone()), phase);
        assert_eq!((sim.running(), sim.runs()), (0, 1));
    }
}

#[test]
fn unknown_status_differs_from_missing_job() {
    let mut sim = with_running_jobs(1, 1, 1);
    let known = sim.query_status(0, "none");

    sim.set_store(false);
    sim.run(SECOND * 10);
    let unknown = sim.query_status(0, "job-0");

    assert_eq!(known, Some(None));
    assert_eq!(unknown, None);
}

#[test]
fn standing_task_restarts_whenever_it_ends() {
    let mut sim = Simulation::new(2, 2);
    sim.run(SECOND * 4);
    let watcher = JobSpec {
        run_time: None,
        ..spec("watch", SECOND)
    };
    sim.submit(0, watcher);

    for _ in 0..5 {
        let at = usize::from(sim.vms[0].worker.granted() == Resources::ZERO);
        let now = sim.now();
        sim.vms[at].worker.lose_all(now);
        sim.run(SECOND * 3);
    }

    assert_eq!((sim.running(), sim.runs()), (1, 6));
}

/// Partitions the owner from the store, and the first worker from all entries but the owner.
fn partition_owner(sim: &mut Simulation) -> usize {
    let owner = sim.owner().unwrap();
    sim.entries[owner].has_store = false;
    sim.vms[0].reaches_only = Some(owner);
    owner
}

#[test]
fn partitioned_owner_keeps_tasks_during_grace_period() {
    let mut sim = with_running_jobs(3, 2, 8);
    partition_owner(&mut sim);

    sim.run(GRACE - SECOND * 5);
    let during = (sim.running(), sim.runs());
    sim.run(TASK_LEASE * 3);

    assert_eq!(during, (8, 8));
    assert_eq!(sim.running(), 8);
    assert!(sim.runs() > 8);
}

#[test]
fn later_owners_also_wait_out_grace_period() {
    let mut sim = with_running_jobs(4, 2, 8);
    partition_owner(&mut sim);
    sim.run(SECOND * 10);
    let second = sim.owner().unwrap();

    sim.stop_entry(second);
    sim.run(GRACE / 2);

    assert_ne!(sim.owner(), Some(second));
    assert_eq!((sim.running(), sim.runs()), (8, 8));
}

// The restarted companion may have polled a newer owner before and lost that owner's epoch.
#[test]
fn partitioned_owner_keeps_no_tasks_of_restarted_companion() {
    let mut sim = with_running_jobs(3, 2, 8);
    let owner = sim.owner().unwrap();
    sim.entries[owner].has_store = false;
    sim.run(SECOND * 10);

    sim.kill_companion(0);
    sim.vms[0].reaches_only = Some(owner);
    sim.start_companion(0);
    sim.run(TASK_LEASE * 3);

    assert_eq!(sim.running(), 8);
    assert!(sim.runs() > 8);
}

#[test]
fn companion_ignores_owner_with_older_epoch() {
    let mut sim = with_running_jobs(3, 2, 8);
    let owner = sim.owner().unwrap();
    sim.entries[owner].has_store = false;
    sim.run(SECOND * 10);

    sim.vms[0].reaches_only = Some(owner);
    sim.run(TASK_LEASE * 3);

    assert_eq!(sim.running(), 8);
    assert!(sim.runs() > 8);
}

#[test]
fn evicted_tasks_resume_once_from_their_checkpoint() {
    let mut sim = Simulation::new(2, 2);
    sim.run(SECOND * 4);
    for job in 0..4 {
        sim.submit(0, spec(&format!("job-{job}"), SECOND * 40));
    }
    sim.run(SECOND * 10);
    let leaving = usize::from(sim.vms[0].worker.granted() == Resources::ZERO);

    sim.drain(leaving);
    sim.run(SECOND * 40);

    let statuses: Vec<_> = (0..4)
        .filter_map(|job| sim.status(0, &format!("job-{job}")))
        .collect();
    assert!(statuses.iter().any(|s| s.evictions == 1));
    // A task that restarted from scratch would still be running.
    assert!(statuses.iter().all(|s| s.phase == JobPhase::Finished));
    assert!(
        statuses
            .iter()
            .all(|s| s.attempts.0 == 1 + u64::from(s.evictions))
    );
    assert!(sim.effects().into_values().all(|count| count == 1));
}

#[test]
fn eviction_racing_finish_yields_one_outcome() {
    for wait in 0..10 {
        let mut sim = Simulation::new(1, 2);
        sim.run(SECOND * 4);
        sim.submit(0, spec("a", SECOND * 2));
        sim.run(SECOND / 10 * wait);
        let at = usize::from(sim.vms[0].worker.granted() == Resources::ZERO);

        sim.drain(at);
        sim.run(SECOND * 8);

        let phase = sim.status(0, "a").map(|s| s.phase);
        assert_eq!(phase, Some(JobPhase::Finished), "after {wait} tenths");
        assert_eq!(sim.effects().into_values().collect::<Vec<_>>(), [1]);
    }
}

#[test]
fn job_too_large_for_a_record_is_always_refused() {
    let mut sim = Simulation::new(1, 1);
    sim.run(SECOND * 4);
    let huge = JobSpec {
        payload: "x".repeat(300_000).into(),
        ..spec("huge", SECOND)
    };

    let first = sim.submit(0, huge.clone());
    let second = sim.submit(0, huge);
    let small = sim.submit(0, spec("huge", SECOND));

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
