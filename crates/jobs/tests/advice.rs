//! Routes whose policy allows only some workers, which an advisor knows.

mod rig;

use base::prelude::*;
use jobs::owner::{Question, Ticket};
use jobs::report::{EndKind, RejectKind, Rejected};
use jobs::{AdviceTerms, RouteTerms};

use rig::{Rig, job, stage, terms};

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

/// Three workers of eight cores, and a job of `tasks` tasks of four on an advised route.
fn rig_with_job(tasks: u32) -> Rig {
    let mut rig = Rig::new();
    for name in ["a", "b", "c"] {
        rig.add_vm(name, 8);
    }
    rig.sync_all();
    rig.submit_under("job", job(vec![stage(tasks, 4)]), advised_terms());
    rig.sync_all();
    rig
}

fn ticket_for(worker: &str) -> Ticket {
    Ticket {
        worker: WorkerId::new(worker),
        ticket: format!("ticket-{worker}").into(),
    }
}

fn answer(rig: &mut Rig, question: &Question, reply: Result<Vec<Ticket>>) {
    rig.owner.advised(rig.now, &question.stage, reply);
    rig.settle();
    rig.sync_all();
}

fn places(rig: &Rig) -> Vec<Name> {
    rig.running().into_iter().map(|(vm, _)| vm).collect()
}

#[test]
fn nothing_starts_before_the_advisor_has_answered() {
    let rig = rig_with_job(2);

    assert!(rig.running().is_empty());
    assert_eq!(rig.questions.len(), 1, "one call at a time");
    let question = &rig.questions[0];
    assert_eq!(question.workers.len(), 3);
    assert_eq!(question.answer_time, Duration::from_millis(35));
}

#[test]
fn tasks_start_only_where_allowed_and_carry_the_ticket() {
    let mut rig = rig_with_job(6);
    let question = rig.questions[0].clone();

    answer(&mut rig, &question, Ok(vec![ticket_for("b")]));

    assert_eq!(places(&rig), vec![Name::from("b"), Name::from("b")]);
    let tickets: Vec<Name> = rig.vm("b").tickets.values().cloned().collect();
    assert_eq!(tickets, vec![Name::from("ticket-b"); 2]);
    assert_eq!(rig.questions.len(), 1, "a refusal does not change");
}

#[test]
fn a_failed_call_is_made_again() {
    let mut rig = rig_with_job(1);
    let question = rig.questions[0].clone();
    let busy = Error::new(ErrorKind::Overloaded, "advise", "advisor", "status 429");

    answer(&mut rig, &question, Err(busy));
    assert_eq!(rig.questions.len(), 1, "not at once");
    rig.pass(Duration::from_secs(1), &["a", "b", "c"]);

    assert_eq!(rig.questions.len(), 2);
}

#[test]
fn a_ticket_that_ran_out_is_not_used() {
    let mut rig = rig_with_job(3);
    let question = rig.questions[0].clone();
    answer(&mut rig, &question, Ok(vec![ticket_for("b")]));
    assert_eq!(rig.running().len(), 2);

    rig.pass(VALID, &["a", "b", "c"]);
    rig.end_all(EndKind::Done);

    assert!(rig.running().is_empty());
    assert_eq!(rig.questions.len(), 2);
    assert_eq!(rig.questions[1].workers, vec![WorkerId::new("b")]);
}

#[test]
fn a_rejected_ticket_is_asked_for_anew() {
    let mut rig = rig_with_job(1);
    let question = rig.questions[0].clone();
    answer(&mut rig, &question, Ok(vec![ticket_for("b")]));
    let run = rig.running()[0].1.clone();

    let vm = rig.vm("b");
    vm.running.clear();
    vm.rejected.push(Rejected {
        run,
        why: RejectKind::Ticket,
    });
    rig.sync_all();

    assert!(rig.running().is_empty());
    assert_eq!(rig.questions.len(), 2);
}

#[test]
fn a_new_life_of_a_worker_needs_a_new_ticket() {
    let mut rig = rig_with_job(2);
    let question = rig.questions[0].clone();
    answer(&mut rig, &question, Ok(vec![ticket_for("b")]));

    rig.vm("b").restart();
    rig.sync_all();

    assert!(rig.running().is_empty());
    assert_eq!(rig.questions.len(), 2);
}
