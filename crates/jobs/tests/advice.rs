//! Routes whose placement advisor allows only some workers.

mod harness;

use base::prelude::*;
use jobs::owner::{AdviceRequest, Ticket};
use jobs::report::{EndKind, RejectKind, Rejected};
use jobs::{AdviceTerms, RouteTerms};

use harness::{Harness, job, stage, terms};

const VALID: Duration = Duration::from_secs(3);

fn advised_terms() -> RouteTerms {
    RouteTerms {
        advice: Some(AdviceTerms {
            base_ms: 20,
            per_worker_ms: 5,
            valid_ms: 3000,
        }),
        ..terms(0)
    }
}

/// Three workers of eight cores, and a job of `tasks` four-core tasks on an advised route.
fn harness_with_job(tasks: u32) -> Harness {
    let mut harness = Harness::new();
    for name in ["a", "b", "c"] {
        harness.add_vm(name, 8);
    }
    harness.sync_all();
    harness.submit_under("job", job(vec![stage(tasks, 4)]), advised_terms());
    harness.sync_all();
    harness
}

fn ticket_for(worker: &str) -> Ticket {
    Ticket {
        worker: WorkerId::new(worker),
        ticket: format!("ticket-{worker}").into(),
    }
}

fn respond(harness: &mut Harness, request: &AdviceRequest, reply: Result<Vec<Ticket>>) {
    harness
        .owner
        .handle_advice(harness.now, &request.stage, reply);
    harness.settle();
    harness.sync_all();
}

fn places(harness: &Harness) -> Vec<Name> {
    harness.running().into_iter().map(|(vm, _)| vm).collect()
}

#[test]
fn no_task_starts_before_the_advisor_responds() {
    let harness = harness_with_job(2);

    assert!(harness.running().is_empty());
    assert_eq!(harness.advice_requests.len(), 1, "one call at a time");
    let request = &harness.advice_requests[0];
    assert_eq!(request.workers.len(), 3);
    assert_eq!(request.response_time, Duration::from_millis(35));
}

#[test]
fn tasks_start_only_where_allowed_and_carry_the_ticket() {
    let mut harness = harness_with_job(6);
    let request = harness.advice_requests[0].clone();

    respond(&mut harness, &request, Ok(vec![ticket_for("b")]));

    assert_eq!(places(&harness), vec![Name::from("b"), Name::from("b")]);
    let tickets: Vec<Name> = harness.vm("b").tickets.values().cloned().collect();
    assert_eq!(tickets, vec![Name::from("ticket-b"); 2]);
    assert_eq!(
        harness.advice_requests.len(),
        1,
        "a refusal does not change"
    );
}

#[test]
fn failed_advisor_request_is_retried() {
    let mut harness = harness_with_job(1);
    let request = harness.advice_requests[0].clone();
    let busy = Error::new(ErrorKind::Overloaded, "advise", "advisor", "status 429");

    respond(&mut harness, &request, Err(busy));
    assert_eq!(harness.advice_requests.len(), 1, "not at once");
    harness.pass(Duration::from_secs(1), &["a", "b", "c"]);

    assert_eq!(harness.advice_requests.len(), 2);
}

#[test]
fn expired_ticket_is_not_used() {
    let mut harness = harness_with_job(3);
    let request = harness.advice_requests[0].clone();
    respond(&mut harness, &request, Ok(vec![ticket_for("b")]));
    assert_eq!(harness.running().len(), 2);

    harness.pass(VALID, &["a", "b", "c"]);
    harness.end_all(EndKind::Done);

    assert!(harness.running().is_empty());
    assert_eq!(harness.advice_requests.len(), 2);
    assert_eq!(harness.advice_requests[1].workers, vec![WorkerId::new("b")]);
}

#[test]
fn rejected_ticket_is_requested_again() {
    let mut harness = harness_with_job(1);
    let request = harness.advice_requests[0].clone();
    respond(&mut harness, &request, Ok(vec![ticket_for("b")]));
    let run = harness.running()[0].1.clone();

    let vm = harness.vm("b");
    vm.running.clear();
    vm.rejected.push(Rejected {
        run,
        why: RejectKind::Ticket,
    });
    harness.sync_all();

    assert!(harness.running().is_empty());
    assert_eq!(harness.advice_requests.len(), 2);
}

#[test]
fn new_incarnation_needs_a_new_ticket() {
    let mut harness = harness_with_job(2);
    let request = harness.advice_requests[0].clone();
    respond(&mut harness, &request, Ok(vec![ticket_for("b")]));

    harness.vm("b").restart();
    harness.sync_all();

    assert!(harness.running().is_empty());
    assert_eq!(harness.advice_requests.len(), 2);
}
