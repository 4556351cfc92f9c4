//! Real processes that are killed, paused and replaced, checked against the records of the fakes.

mod balancer;
mod harness;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use balancer::Balancer;
use base::prelude::*;
use fakes::store::Outage;
use harness::{CallerOutcome, Cluster, WAIT_TIMEOUT, wait_until};

/// Service time of targets in tests that need a request in progress.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(400);

/// Longer than an entry's lease and every timeout derived from it.
const LONG_PAUSE: Duration = Duration::from_secs(20);

#[test]
fn entry_killed_with_requests_in_progress_runs_none_twice() {
    let mut cluster = Cluster::start(2, 2, SLOW_SERVICE_TIME);
    cluster.wait_until_serving();
    let killed_addr = cluster.entries[0].http;
    wait_until("keys can be claimed", || {
        cluster.send(0, "/settle", Some("first")).0 == CallerOutcome::Answered
    });

    let callers: Vec<_> = (0..6)
        .map(|n| {
            thread::spawn(move || harness::send(killed_addr, "/settle", Some(&format!("key-{n}"))))
        })
        .collect();
    wait_until("a settlement is in progress", || {
        cluster
            .runners
            .iter()
            .any(|r| r.target.counts().running > 0)
    });
    cluster.entries[0].process.kill();
    let outcomes: Vec<CallerOutcome> = callers.into_iter().map(|c| c.join().unwrap().0).collect();
    let after = cluster.send(1, "/style-check", None).0;

    assert!(
        outcomes
            .iter()
            .any(|outcome| *outcome != CallerOutcome::Answered),
        "{outcomes:?}"
    );
    assert_eq!(after, CallerOutcome::Answered);
    assert_eq!(cluster.max_runs_per_request(), 1);
}

#[test]
fn companion_killed_with_a_task_in_progress_runs_it_exactly_once() {
    let mut cluster = Cluster::start(1, 1, Duration::ZERO);
    cluster.submit("job");
    wait_until("the job runs", || cluster.running() == 1);

    cluster.runners[0].companion.kill();
    cluster.restart_companion(0);
    cluster.wait_until_finished("job");

    let record = cluster.runners[0].worker.record();
    assert_eq!((record.runs.len(), record.effects.len()), (1, 1));
    assert_eq!(cluster.breaches(), []);
}

#[test]
fn owner_paused_past_its_lease_starts_nothing_after_it_resumes() {
    let mut cluster = Cluster::start(2, 2, Duration::ZERO);
    let owner = cluster.wait_for_owner();
    for n in 0..8 {
        cluster.submit(&format!("job-{n}"));
    }

    // At this point some grants are in flight, inside the paused process or already sent.
    cluster.entries[owner].process.pause();
    wait_until("another entry owns the shard", || {
        cluster.owner().is_some_and(|now| now != owner)
    });
    thread::sleep(LONG_PAUSE);
    cluster.entries[owner].process.resume();
    let resumed = cluster.entries.remove(owner);
    for n in 0..8 {
        cluster.wait_until_finished(&format!("job-{n}"));
    }

    assert_eq!(cluster.breaches(), []);
    assert_eq!(cluster.effects(), 8);
    assert!(!resumed.process.output().contains("promise: broken"));
}

#[test]
fn replacing_every_entry_under_load_interrupts_no_request() {
    let mut cluster = Cluster::start(3, 2, Duration::from_millis(30));
    cluster.wait_until_serving();
    let balancer = Arc::new(Balancer::new(&cluster));
    let stopping = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|n| {
            let (balancer, stopping) = (Arc::clone(&balancer), Arc::clone(&stopping));
            thread::spawn(move || balancer.call_until(&stopping, n))
        })
        .collect();

    let checker = {
        let (balancer, stopping) = (Arc::clone(&balancer), Arc::clone(&stopping));
        thread::spawn(move || balancer.watch_until(&stopping))
    };
    for old in 0..3 {
        let new = cluster.start_entry();
        wait_until("the new entry serves", || {
            cluster.send(new, "/style-check", None).0 == CallerOutcome::Answered
        });
        balancer.add(cluster.entries[new].http);
        cluster.entries[old].process.terminate();
        let ended = cluster.entries[old].process.wait(WAIT_TIMEOUT);
        assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    }
    stopping.store(true, Ordering::SeqCst);
    let outcomes: Vec<CallerOutcome> = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect();
    checker.join().unwrap();

    let bad: Vec<_> = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, CallerOutcome::CutOff | CallerOutcome::Unknown))
        .collect();
    assert!(outcomes.contains(&CallerOutcome::Answered));
    assert!(
        bad.is_empty(),
        "{} of {}: {bad:?}",
        bad.len(),
        outcomes.len()
    );
    assert_eq!(cluster.max_runs_per_request(), 1);
}

#[test]
fn long_store_outage_stops_neither_tasks_nor_requests() {
    let cluster = Cluster::start(2, 1, Duration::ZERO);
    cluster.wait_until_serving();
    cluster.submit("job");
    wait_until("the job runs", || cluster.running() == 1);

    cluster.store.faults().set_outage(Some(Outage::Refused));
    thread::sleep(LONG_PAUSE);
    let during = cluster.send(0, "/style-check", None).0;
    let expired_leases = cluster.runners[0].worker.record().expired;
    cluster.store.faults().set_outage(None);
    cluster.wait_until_finished("job");

    assert_eq!((during, expired_leases), (CallerOutcome::Answered, 0));
    assert_eq!(cluster.effects(), 1);
    assert_eq!(cluster.breaches(), []);
}
