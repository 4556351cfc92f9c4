//! Requests through real entries and companions under faults of the network, targets and store.

mod harness;

use std::sync::atomic::{AtomicBool, Ordering};

use base::prelude::*;
use fakes::relay::Direction;
use fakes::store::Outage;
use fakes::target::TargetFault;
use harness::{CallerResponse, Cluster, send, settings, wait_until};
use wire::Outcome;

const QUICK: Duration = Duration::from_millis(1);

#[test]
fn large_and_empty_bodies_are_forwarded_whole() {
    const LARGE: usize = 12 * 1024 * 1024;
    let cluster = Cluster::start(1, 1, &settings(QUICK, LARGE));

    let large = cluster.send(0, "/check", None, &vec![b'x'; LARGE]);
    let empty = cluster.send(0, "/check", None, b"");

    assert_eq!(large.outcome, Outcome::Answered, "{}", large.reason);
    assert_eq!(large.body.len(), LARGE);
    assert_eq!(empty.outcome, Outcome::Answered, "{}", empty.reason);
}

#[test]
fn empty_response_is_forwarded() {
    let cluster = Cluster::start(1, 1, &settings(QUICK, 0));

    let response = cluster.send(0, "/check", None, b"x");

    assert_eq!(response.outcome, Outcome::Answered, "{}", response.reason);
    assert!(response.body.is_empty());
}

#[test]
fn body_over_the_limit_of_the_route_is_refused() {
    let cluster = Cluster::start(1, 1, &settings(QUICK, 64));

    let response = cluster.send(0, "/settle", None, &vec![b'x'; 2 * 1024 * 1024]);

    assert_eq!(response.outcome, Outcome::RefusedNotRun);
    assert_eq!(response.reason, "body-too-large");
    assert!(cluster.runs().is_empty());
}

#[test]
fn truncated_response_is_never_forwarded() {
    let cluster = Cluster::start(1, 2, &settings(QUICK, 4_096));
    for vm in &cluster.vms {
        vm.target.set_fault(TargetFault::TruncatedResponses);
    }

    let response = cluster.send(0, "/settle", None, b"x");

    assert_eq!(response.outcome, Outcome::Unknown);
    assert_eq!(cluster.runs(), [1]);
}

#[test]
fn requests_survive_open_connections_that_stop_responding() {
    for direction in [Direction::ToServer, Direction::ToClient, Direction::Both] {
        let cluster = Cluster::start(1, 2, &settings(QUICK, 64));
        for _ in 0..8 {
            cluster.send(0, "/settle", None, b"x");
        }
        for vm in &cluster.vms {
            vm.relay.discard_on_open_connections(direction);
        }

        let responses: Vec<CallerResponse> = (0..4)
            .map(|_| cluster.send(0, "/settle", None, b"x"))
            .collect();

        assert!(
            responses
                .iter()
                .all(|response| response.outcome == Outcome::Answered),
            "{direction:?}: {responses:?}"
        );
        assert!(cluster.runs().iter().all(|runs| *runs == 1));
    }
}

#[test]
fn companion_killed_while_a_request_runs_leaves_its_outcome_unknown() {
    let mut cluster = Cluster::start(1, 1, &settings(QUICK, 64));
    cluster.vms[0].target.set_fault(TargetFault::NeverResponds);
    let entry = cluster.entries[0].http_addr();
    let caller = std::thread::spawn(move || send(entry, "/settle", None, b"x"));
    wait_until(|| cluster.runs() == [1]);

    cluster.vms[0].companion.take().expect("running").kill();
    cluster.vms[0].relay.set_refusing(true);
    let response = caller.join().expect("the caller ends");

    assert_eq!(response.outcome, Outcome::Unknown);
    assert_eq!(cluster.runs(), [1]);
}

#[test]
fn same_key_through_two_entries_runs_once() {
    let cluster = Cluster::start(2, 2, &settings(QUICK, 64));
    wait_for_claims(&cluster);

    let first = cluster.send(0, "/settle", Some("lot-7"), b"x");
    let retry = cluster.send(1, "/settle", Some("lot-7"), b"x");

    assert_eq!(first.outcome, Outcome::Answered, "{}", first.reason);
    assert_eq!(retry.outcome, Outcome::Answered, "{}", retry.reason);
    // One run of the key used in `wait_for_claims`, one of `lot-7`.
    assert_eq!(cluster.runs(), [1, 1]);
}

#[test]
fn request_whose_key_cannot_be_claimed_is_refused() {
    let cluster = Cluster::start(1, 1, &settings(QUICK, 64));
    wait_for_claims(&cluster);
    cluster.store.faults().set_outage(Some(Outage::Refused));

    let response = cluster.send(0, "/settle", Some("lot-8"), b"x");

    assert_eq!(
        response.outcome,
        Outcome::RefusedNotRun,
        "{}",
        response.reason
    );
    assert_eq!(cluster.runs(), [1]);
}

#[test]
fn store_outage_does_not_affect_requests_without_a_key() {
    let cluster = Cluster::start(1, 1, &settings(QUICK, 64));
    cluster.store.faults().set_outage(Some(Outage::Refused));

    let response = cluster.send(0, "/settle", None, b"x");

    assert_eq!(response.outcome, Outcome::Answered, "{}", response.reason);
}

#[test]
fn draining_target_gets_no_new_requests_and_finishes_the_open_ones() {
    let cluster = Cluster::start(2, 2, &settings(Duration::from_millis(20), 64));
    let load = Load::start(&cluster, 8);
    wait_until(|| cluster.vms[0].target.counts().answered > 20);

    cluster.vms[0].companion.as_ref().expect("running").drain();
    wait_until(|| (0..2).all(|entry| cluster.targets_of(entry) == ["runner-1"]));
    wait_until(|| cluster.vms[0].target.counts().running == 0);
    let runs_when_drained = cluster.vms[0].target.counts().runs.len();
    let answered_by_other = cluster.vms[1].target.counts().answered;
    wait_until(|| cluster.vms[1].target.counts().answered > answered_by_other + 20);
    let responses = load.stop();

    assert_eq!(cluster.vms[0].target.counts().runs.len(), runs_when_drained);
    assert!(
        responses
            .iter()
            .all(|response| response.outcome == Outcome::Answered),
        "{responses:?}"
    );
}

#[test]
fn graceful_stop_of_an_entry_interrupts_no_request() {
    let mut cluster = Cluster::start(2, 2, &settings(Duration::from_millis(200), 64));
    let stopping = cluster.entries.remove(0);
    let addr = stopping.http_addr();
    let callers: Vec<_> = (0..8)
        .map(|_| std::thread::spawn(move || send(addr, "/settle", None, b"x")))
        .collect();
    wait_until(|| {
        cluster
            .vms
            .iter()
            .map(|vm| vm.target.counts().running)
            .sum::<usize>()
            > 0
    });

    stopping.stop();

    for caller in callers {
        let response = caller.join().expect("a response");
        assert_eq!(response.outcome, Outcome::Answered, "{}", response.reason);
    }
    assert_eq!(broken(Promise::GracefulStop), 0);
}

#[test]
fn new_entry_is_ready_once_it_has_the_view_of_its_peers() {
    let mut cluster = Cluster::start(1, 2, &settings(QUICK, 64));
    cluster.store.faults().set_outage(Some(Outage::Refused));

    cluster.add_entry();
    wait_until(|| cluster.is_ready(1));
    let response = cluster.send(1, "/check", None, b"x");

    assert_eq!(response.outcome, Outcome::Answered, "{}", response.reason);
}

/// Callers that send requests one after another until they are stopped.
struct Load {
    is_stopping: Arc<AtomicBool>,
    callers: Vec<std::thread::JoinHandle<Vec<CallerResponse>>>,
}

impl Load {
    fn start(cluster: &Cluster, callers: usize) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let callers = (0..callers)
            .map(|at| {
                let entry = cluster.entries[at % cluster.entries.len()].http_addr();
                let is_stopping = Arc::clone(&is_stopping);
                std::thread::spawn(move || {
                    let mut responses = Vec::new();
                    while !is_stopping.load(Ordering::Acquire) {
                        responses.push(send(entry, "/settle", None, b"x"));
                    }
                    responses
                })
            })
            .collect();
        Self {
            is_stopping,
            callers,
        }
    }

    fn stop(self) -> Vec<CallerResponse> {
        self.is_stopping.store(true, Ordering::Release);
        let callers = self.callers.into_iter();
        callers
            .flat_map(|caller| caller.join().expect("a caller ends"))
            .collect()
    }
}

/// Waits until keys can be claimed through every entry.
fn wait_for_claims(cluster: &Cluster) {
    for entry in 0..cluster.entries.len() {
        wait_until(|| {
            cluster.send(entry, "/settle", Some("first"), b"x").outcome == Outcome::Answered
        });
    }
}

fn broken(promise: Promise) -> u64 {
    Promise::counts()[promise as usize].broken
}
