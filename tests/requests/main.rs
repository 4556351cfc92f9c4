//! Requests through real processes, under the faults that they have to bear.

mod rig;

use std::sync::atomic::{AtomicBool, Ordering};

use base::prelude::*;
use fakes::relay::Direction;
use fakes::store::Outage;
use fakes::target::TargetFault;
use rig::{Desk, Told, send, settings, wait_until};
use wire::Outcome;

const QUICK: Duration = Duration::from_millis(1);

#[test]
fn large_and_empty_bodies_pass_whole() {
    const LARGE: usize = 12 * 1024 * 1024;
    let desk = Desk::start(1, 1, &settings(QUICK, LARGE));

    let large = desk.send(0, "/check", None, &vec![b'x'; LARGE]);
    let empty = desk.send(0, "/check", None, b"");

    assert_eq!(large.outcome, Outcome::Answered, "{}", large.reason);
    assert_eq!(large.body.len(), LARGE);
    assert_eq!(empty.outcome, Outcome::Answered, "{}", empty.reason);
}

#[test]
fn empty_answer_passes_whole() {
    let desk = Desk::start(1, 1, &settings(QUICK, 0));

    let told = desk.send(0, "/check", None, b"x");

    assert_eq!(told.outcome, Outcome::Answered, "{}", told.reason);
    assert!(told.body.is_empty());
}

#[test]
fn body_beyond_the_limit_of_the_route_is_not_run() {
    let desk = Desk::start(1, 1, &settings(QUICK, 64));

    let told = desk.send(0, "/settle", None, &vec![b'x'; 2 * 1024 * 1024]);

    assert_eq!(told.outcome, Outcome::RefusedNotRun);
    assert_eq!(told.reason, "body-too-large");
    assert!(desk.runs().is_empty());
}

#[test]
fn short_answer_is_never_passed_on() {
    let desk = Desk::start(1, 2, &settings(QUICK, 4_096));
    for vm in &desk.vms {
        vm.target.set_fault(TargetFault::ShortAnswers);
    }

    let told = desk.send(0, "/settle", None, b"x");

    assert_eq!(told.outcome, Outcome::Unknown);
    assert_eq!(desk.runs(), [1]);
}

#[test]
fn requests_survive_open_connections_that_go_silent() {
    for direction in [Direction::ToServer, Direction::ToClient, Direction::Both] {
        let desk = Desk::start(1, 2, &settings(QUICK, 64));
        for _ in 0..8 {
            desk.send(0, "/settle", None, b"x");
        }
        for vm in &desk.vms {
            vm.relay.swallow_open(direction);
        }

        let told: Vec<Told> = (0..4)
            .map(|_| desk.send(0, "/settle", None, b"x"))
            .collect();

        assert!(
            told.iter().all(|told| told.outcome == Outcome::Answered),
            "{direction:?}: {told:?}"
        );
        assert!(desk.runs().iter().all(|runs| *runs == 1));
    }
}

#[test]
fn companion_killed_while_a_request_runs_leaves_its_outcome_unknown() {
    let mut desk = Desk::start(1, 1, &settings(QUICK, 64));
    desk.vms[0].target.set_fault(TargetFault::NeverAnswers);
    let entry = desk.entries[0].http_addr();
    let caller = std::thread::spawn(move || send(entry, "/settle", None, b"x"));
    wait_until(|| desk.vms[0].target.counts().running == 1);

    desk.vms[0].companion.take().expect("running").kill();
    desk.vms[0].relay.set_refusing(true);
    let told = caller.join().expect("the caller ends");

    assert_eq!(told.outcome, Outcome::Unknown);
    assert_eq!(desk.runs(), [1]);
}

#[test]
fn same_key_through_two_entries_runs_once() {
    let desk = Desk::start(2, 2, &settings(QUICK, 64));
    wait_for_claims(&desk);

    let first = desk.send(0, "/settle", Some("lot-7"), b"x");
    let retry = desk.send(1, "/settle", Some("lot-7"), b"x");

    assert_eq!(first.outcome, Outcome::Answered, "{}", first.reason);
    assert_eq!(retry.outcome, Outcome::Answered, "{}", retry.reason);
    // One run of the key that the rig waited with, one of this.
    assert_eq!(desk.runs(), [1, 1]);
}

#[test]
fn key_that_cannot_be_claimed_without_the_store_is_not_run() {
    let desk = Desk::start(1, 1, &settings(QUICK, 64));
    wait_for_claims(&desk);
    desk.store.switches().set_outage(Some(Outage::Refused));

    let told = desk.send(0, "/settle", Some("lot-8"), b"x");

    assert_eq!(told.outcome, Outcome::RefusedNotRun, "{}", told.reason);
    assert_eq!(desk.runs(), [1]);
}

#[test]
fn store_outage_does_not_touch_requests_without_a_key() {
    let desk = Desk::start(1, 1, &settings(QUICK, 64));
    desk.store.switches().set_outage(Some(Outage::Refused));

    let told = desk.send(0, "/settle", None, b"x");

    assert_eq!(told.outcome, Outcome::Answered, "{}", told.reason);
}

#[test]
fn leaving_target_gets_no_new_work_and_cuts_nothing_off() {
    let desk = Desk::start(2, 2, &settings(Duration::from_millis(20), 64));
    let load = Load::start(&desk, 8);
    wait_until(|| desk.vms[0].target.counts().answered > 20);

    desk.vms[0].companion.as_ref().expect("running").drain();
    wait_until(|| (0..2).all(|entry| desk.targets_of(entry) == ["runner-1"]));
    wait_until(|| desk.vms[0].target.counts().running == 0);
    let at_leave = desk.vms[0].target.counts().runs.len();
    let elsewhere = desk.vms[1].target.counts().answered;
    wait_until(|| desk.vms[1].target.counts().answered > elsewhere + 20);
    let told = load.stop();

    assert_eq!(desk.vms[0].target.counts().runs.len(), at_leave);
    assert!(
        told.iter().all(|t| t.outcome == Outcome::Answered),
        "{told:?}"
    );
}

#[test]
fn planned_stop_of_an_entry_cuts_no_request_off() {
    let mut desk = Desk::start(2, 2, &settings(Duration::from_millis(200), 64));
    let stopping = desk.entries.remove(0);
    let addr = stopping.http_addr();
    let callers: Vec<_> = (0..8)
        .map(|_| std::thread::spawn(move || send(addr, "/settle", None, b"x")))
        .collect();
    wait_until(|| {
        desk.vms
            .iter()
            .map(|vm| vm.target.counts().running)
            .sum::<usize>()
            > 0
    });

    stopping.stop();

    for caller in callers {
        let told = caller.join().expect("an answer");
        assert_eq!(told.outcome, Outcome::Answered, "{}", told.reason);
    }
    assert_eq!(broken(Promise::GracefulStop), 0);
}

#[test]
fn new_entry_is_ready_once_it_has_the_view_of_its_peers() {
    let mut desk = Desk::start(1, 2, &settings(QUICK, 64));
    desk.store.switches().set_outage(Some(Outage::Refused));

    desk.add_entry();
    wait_until(|| desk.is_ready(1));
    let told = desk.send(1, "/check", None, b"x");

    assert_eq!(told.outcome, Outcome::Answered, "{}", told.reason);
}

/// Callers that send one request after the other.
struct Load {
    is_over: Arc<AtomicBool>,
    callers: Vec<std::thread::JoinHandle<Vec<Told>>>,
}

impl Load {
    fn start(desk: &Desk, callers: usize) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let callers = (0..callers)
            .map(|at| {
                let entry = desk.entries[at % desk.entries.len()].http_addr();
                let is_over = Arc::clone(&is_over);
                std::thread::spawn(move || {
                    let mut told = Vec::new();
                    while !is_over.load(Ordering::Acquire) {
                        told.push(send(entry, "/settle", None, b"x"));
                    }
                    told
                })
            })
            .collect();
        Self { is_over, callers }
    }

    fn stop(self) -> Vec<Told> {
        self.is_over.store(true, Ordering::Release);
        let told = self.callers.into_iter();
        told.flat_map(|caller| caller.join().expect("a caller ends"))
            .collect()
    }
}

/// Waits until keys can be claimed through every entry.
fn wait_for_claims(desk: &Desk) {
    for entry in 0..desk.entries.len() {
        wait_until(|| {
            desk.send(entry, "/settle", Some("first"), b"x").outcome == Outcome::Answered
        });
    }
}

fn broken(promise: Promise) -> u64 {
    Promise::counts()[promise as usize].broken
}
