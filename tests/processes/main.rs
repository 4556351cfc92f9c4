//! Real processes under real signals; the stand-ins' own records are the judges.

mod balancer;
mod rig;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use balancer::Balancer;
use base::prelude::*;
use fakes::store::Outage;
use rig::{Desk, PATIENCE, Told, wait_until};

/// How long a target takes where a request has to be met in progress.
const SLOW: Duration = Duration::from_millis(400);

/// How long an entry stands still: past its lease and all that rests on it.
const LONG_PAUSE: Duration = Duration::from_secs(20);

#[test]
fn an_entry_killed_with_requests_in_progress_doubles_none() {
    let mut desk = Desk::start(2, 2, SLOW);
    desk.wait_until_serving();
    let doomed = desk.entries[0].http;
    wait_until("keys can be claimed", || {
        desk.send(0, "/settle", Some("first")).0 == Told::Answered
    });

    let callers: Vec<_> = (0..6)
        .map(|n| thread::spawn(move || rig::send(doomed, "/settle", Some(&format!("key-{n}")))))
        .collect();
    wait_until("a settlement is in progress", || {
        desk.runners.iter().any(|r| r.target.counts().running > 0)
    });
    desk.entries[0].process.kill();
    let told: Vec<Told> = callers.into_iter().map(|c| c.join().unwrap().0).collect();
    let after = desk.send(1, "/style-check", None).0;

    assert!(told.iter().any(|told| *told != Told::Answered), "{told:?}");
    assert_eq!(after, Told::Answered);
    assert_eq!(desk.most_runs_of_a_request(), 1);
}

#[test]
fn a_companion_killed_with_a_task_in_progress_loses_and_doubles_nothing() {
    let mut desk = Desk::start(1, 1, Duration::ZERO);
    desk.submit("job");
    wait_until("the job runs", || desk.running() == 1);

    desk.runners[0].companion.kill();
    desk.restart_companion(0);
    desk.wait_until_finished("job");

    let record = desk.runners[0].worker.record();
    assert_eq!((record.runs.len(), record.effects.len()), (1, 1));
    assert_eq!(desk.breaches(), []);
}

#[test]
fn an_owner_paused_past_its_lease_starts_nothing_when_it_goes_on() {
    let mut desk = Desk::start(2, 2, Duration::ZERO);
    let owner = desk.wait_for_owner();
    for n in 0..8 {
        desk.submit(&format!("job-{n}"));
    }

    // Some grants are on their way now, in the paused process or beyond it.
    desk.entries[owner].process.pause();
    wait_until("another entry owns the shard", || {
        desk.owner().is_some_and(|now| now != owner)
    });
    thread::sleep(LONG_PAUSE);
    desk.entries[owner].process.resume();
    let resumed = desk.entries.remove(owner);
    for n in 0..8 {
        desk.wait_until_finished(&format!("job-{n}"));
    }

    assert_eq!(desk.breaches(), []);
    assert_eq!(desk.effects(), 8);
    assert!(!resumed.process.output().contains("promise: broken"));
}

#[test]
fn every_entry_is_replaced_under_load_and_no_request_is_cut_off() {
    let mut desk = Desk::start(3, 2, Duration::from_millis(30));
    desk.wait_until_serving();
    let balancer = Arc::new(Balancer::new(&desk));
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
        let new = desk.start_entry();
        wait_until("the new entry serves", || {
            desk.send(new, "/style-check", None).0 == Told::Answered
        });
        balancer.add(desk.entries[new].http);
        desk.entries[old].process.terminate();
        let ended = desk.entries[old].process.wait(PATIENCE);
        assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    }
    stopping.store(true, Ordering::SeqCst);
    let told: Vec<Told> = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect();
    checker.join().unwrap();

    let bad: Vec<_> = told
        .iter()
        .filter(|told| matches!(told, Told::CutOff | Told::Unknown))
        .collect();
    assert!(told.contains(&Told::Answered));
    assert!(bad.is_empty(), "{} of {}: {bad:?}", bad.len(), told.len());
    assert_eq!(desk.most_runs_of_a_request(), 1);
}

#[test]
fn a_long_outage_of_the_store_stops_neither_tasks_nor_requests() {
    let desk = Desk::start(2, 1, Duration::ZERO);
    desk.wait_until_serving();
    desk.submit("job");
    wait_until("the job runs", || desk.running() == 1);

    desk.store.switches().set_outage(Some(Outage::Refused));
    thread::sleep(LONG_PAUSE);
    let during = desk.send(0, "/style-check", None).0;
    let lapsed = desk.runners[0].worker.record().lapsed;
    desk.store.switches().set_outage(None);
    desk.wait_until_finished("job");

    assert_eq!((during, lapsed), (Told::Answered, 0));
    assert_eq!(desk.effects(), 1);
    assert_eq!(desk.breaches(), []);
}
