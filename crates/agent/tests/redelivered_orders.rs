//! Orders that arrive again, since the owner resends them until a report shows them.

mod harness;

use agent::StartReply;
use harness::{Harness, run_of};
use jobs::TaskRun;
use jobs::report::{EndKind, FinishedRun, RejectKind};

/// Returns a companion whose worker has accepted a run.
fn accepted() -> Harness {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    let clock_ms = harness.clock_ms;
    harness.started(&run_of(0), Ok(StartReply::Started { clock_ms }));
    harness.advance(20);
    harness
}

fn end_of(index: u32) -> FinishedRun {
    FinishedRun {
        number: 1,
        run: run_of(index),
        how: EndKind::Done,
        checkpoint: None,
    }
}

#[test]
fn redelivered_order_of_a_listed_run_does_not_start_it_again() {
    let mut harness = accepted();
    harness.complete_long_poll(&[run_of(0)], &[]);

    harness.order(&run_of(0));

    assert_eq!(harness.starts().len(), 1);
    assert!(harness.next_report().open.is_empty());
}

#[test]
fn redelivered_order_of_a_finished_run_does_not_start_it_again() {
    let mut harness = accepted();
    harness.complete_long_poll(&[], &[end_of(0)]);
    harness.advance(20);
    harness.complete_long_poll(&[], &[]);

    harness.order(&run_of(0));

    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn redelivered_order_of_a_stopped_run_does_not_start_it_again() {
    let mut harness = accepted();
    harness.complete_long_poll(&[run_of(0)], &[]);
    harness.reply_to_report(|reply| reply.stops = vec![run_of(0)]);
    harness.stopped(&run_of(0));
    harness.advance(20);
    harness.complete_long_poll(&[], &[end_of(0)]);

    harness.order(&run_of(0));

    assert_eq!(harness.starts().len(), 1);
}

fn room() -> StartReply {
    StartReply::Rejected {
        why: RejectKind::Room,
        clock_ms: None,
    }
}

/// Returns a companion whose worker has rejected a run; the owner has recorded that.
fn rejected() -> Harness {
    let mut harness = Harness::fenced();
    reject(&mut harness, &run_of(0));
    harness
}

fn reject(harness: &mut Harness, run: &TaskRun) {
    harness.order(run);
    harness.started(run, Ok(room()));
    harness.reply_to_report(|reply| reply.noted_rejects = vec![run.clone()]);
    // An order is delivered only in reply to a report that has none yet.
    harness.reply_to_reports();
}

fn reasons(harness: &mut Harness) -> Vec<RejectKind> {
    let rejected = harness.next_report().rejected;
    rejected.iter().map(|r| r.why).collect()
}

// Guards against an owner that waits without an end for the answer to a dropped order.
#[test]
fn redelivered_order_of_a_rejected_run_is_rejected_again() {
    let mut harness = rejected();

    harness.order(&run_of(0));

    assert_eq!(reasons(&mut harness), [RejectKind::Room]);
    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn redelivered_order_of_an_ended_run_is_rejected_as_old() {
    let mut harness = accepted();
    harness.complete_long_poll(&[], &[end_of(0)]);
    harness.advance(20);
    harness.complete_long_poll(&[], &[]);

    harness.order(&run_of(0));
    harness.advance(20);
    harness.complete_long_poll(&[], &[]);
    assert!(reasons(&mut harness).is_empty(), "it may be stopping");
    harness.advance(1100);
    harness.complete_long_poll(&[], &[]);

    assert_eq!(reasons(&mut harness), [RejectKind::Old]);
    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn redelivered_order_of_a_running_run_is_not_rejected() {
    let mut harness = accepted();
    harness.complete_long_poll(&[run_of(0)], &[]);

    harness.order(&run_of(0));
    harness.advance(20);
    harness.complete_long_poll(&[run_of(0)], &[]);

    assert!(reasons(&mut harness).is_empty());
}

#[test]
fn redelivered_order_is_not_rejected_for_a_partial_status() {
    let mut harness = accepted();
    harness.complete_long_poll(&[run_of(0)], &[]);

    harness.order(&run_of(0));
    harness.advance(20);
    harness.complete_partially(&[]);

    assert!(reasons(&mut harness).is_empty());
}

#[test]
fn redelivered_order_of_a_rejected_run_is_dropped_after_many_others() {
    let mut harness = rejected();
    for index in 1..2000 {
        reject(&mut harness, &run_of(index));
    }
    let starts = harness.starts().len();

    harness.order(&run_of(0));

    assert_eq!(harness.starts().len(), starts);
}
