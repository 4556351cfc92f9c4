//! Calls without a reply, which the worker may carry out after later ones.

mod harness;

use agent::{Action, StartReply, StopCall};
use base::prelude::*;
use harness::{Harness, no_reply, run_of};
use jobs::TaskRun;
use jobs::report::{EndKind, FinishedRun, RejectKind};

/// Returns a companion whose first call to start a run had no reply, and whose retry is on its way.
fn retrying() -> Harness {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    harness.started(&run_of(0), Err(no_reply()));
    harness.advance(100);
    harness.run();
    assert_eq!(harness.starts().len(), 2);
    harness
}

fn stops(harness: &Harness) -> Vec<StopCall> {
    let stops = harness.actions.iter().filter_map(|action| match action {
        Action::Stop(_, call) => Some(call.clone()),
        _ => None,
    });
    stops.collect()
}

fn overloaded() -> Error {
    Error::new(ErrorKind::Overloaded, "start", "worker", "status 503")
}

fn rejection(why: RejectKind) -> StartReply {
    StartReply::Rejected {
        why,
        clock_ms: Some(10_000),
    }
}

#[test]
fn rejected_retry_does_not_release_a_start_that_may_be_carried_out_late() {
    let replies = [
        Err(overloaded()),
        Ok(rejection(RejectKind::Room)),
        Ok(rejection(RejectKind::Late)),
        Ok(rejection(RejectKind::Ticket)),
        Ok(rejection(RejectKind::Fence)),
        Ok(rejection(RejectKind::Invalid)),
    ];
    for reply in replies {
        let mut harness = retrying();

        harness.started(&run_of(0), reply);

        let report = harness.next_report();
        assert!(report.rejected.is_empty(), "{:?}", report.rejected);
        assert_eq!(report.open, [run_of(0)]);
        assert_eq!(stops(&harness).len(), 1, "the run is stopped");
    }
}

#[test]
fn start_that_may_be_carried_out_late_is_rejected_once_its_stop_is_confirmed() {
    let mut harness = retrying();
    harness.started(&run_of(0), Err(overloaded()));
    assert!(harness.next_report().rejected.is_empty());

    harness.stopped(&run_of(0));
    harness.advance(400);
    harness.complete_long_poll(&[], &[]);

    let report = harness.next_report();
    let rejected: Vec<_> = report.rejected.iter().map(|r| (&r.run, r.why)).collect();
    assert_eq!(rejected, [(&run_of(0), RejectKind::Room)]);
    assert!(report.open.is_empty());
}

#[test]
fn start_carried_out_late_before_its_stop_is_reported_as_running() {
    let mut harness = retrying();
    harness.started(&run_of(0), Err(overloaded()));

    harness.advance(50);
    harness.complete_long_poll(&[run_of(0)], &[]);

    let report = harness.next_report();
    let running = &report.status.expect("a status is reported").running;
    assert_eq!(running.len(), 1);
    assert!(report.rejected.is_empty());
}

#[test]
fn rejected_start_without_an_earlier_call_is_released_at_once() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));

    harness.started(&run_of(0), Err(overloaded()));

    let report = harness.next_report();
    assert_eq!(report.rejected.len(), 1);
    assert!(stops(&harness).is_empty());
}

#[test]
fn rejected_start_whose_earlier_call_found_the_port_closed_is_released_at_once() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    let closed = Error::new(ErrorKind::NotListening, "start", "worker", "refused");
    harness.started(&run_of(0), Err(closed));
    harness.advance(100);
    harness.run();

    harness.started(&run_of(0), Err(overloaded()));

    assert_eq!(harness.next_report().rejected.len(), 1);
}

#[test]
fn status_is_not_settled_while_a_stop_may_be_carried_out_late() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[run_of(0), run_of(1)], &[]);
    harness.reply_to_report(|reply| reply.stops = vec![run_of(0)]);
    harness.fail_stop(&run_of(0));

    // The worker carries out the call now: the run is in neither list.
    harness.advance(2500);
    harness.complete_long_poll(&[run_of(1)], &[]);

    let status = harness.next_report().status.expect("a status");
    assert!(!status.is_settled);
}

#[test]
fn status_is_not_settled_while_a_stop_answered_late_is_in_progress() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[run_of(0)], &[]);
    harness.advance(1000);
    harness.reply_to_report(|reply| reply.stops = vec![run_of(0)]);
    harness.advance(350);
    harness.stopped(&run_of(0));

    harness.advance(10);
    harness.complete_long_poll(&[], &[]);

    let status = harness.next_report().status.expect("a status");
    assert!(!status.is_settled);
}

#[test]
fn status_is_not_settled_while_a_stop_of_an_earlier_process_may_be_in_progress() {
    let mut harness = Harness::fenced();
    harness.advance(3000);

    harness.complete_long_poll(&[], &[]);
    let first = harness.next_report().status.expect("a status");
    harness.advance(400);
    harness.complete_long_poll(&[], &[]);
    let second = harness.next_report().status.expect("a status");

    assert!(!first.is_settled);
    assert!(second.is_settled);
}

#[test]
fn stop_without_a_reply_is_not_repeated_once_its_run_has_ended() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[run_of(0)], &[]);
    harness.reply_to_report(|reply| reply.stops = vec![run_of(0)]);
    harness.fail_stop(&run_of(0));
    let end = FinishedRun {
        number: 1,
        run: run_of(0),
        how: EndKind::Stopped,
        checkpoint: None,
    };

    harness.advance(400);
    harness.complete_long_poll(&[], &[end]);
    harness.advance(400);
    harness.run();

    let status = harness.next_report().status.expect("a status");
    assert!(status.is_settled);
    assert_eq!(stops(&harness).len(), 1);
}

/// Returns a companion whose worker leaves the first orders unanswered, with one more start waiting.
fn with_waiting_start() -> (Harness, TaskRun) {
    let mut harness = Harness::fenced();
    for index in 0..5 {
        harness.order(&run_of(index));
    }
    let sent: Vec<TaskRun> = harness.starts().into_iter().map(|call| call.run).collect();
    let waiting = (0..5).map(run_of).find(|run| !sent.contains(run));
    (harness, waiting.expect("not every start is sent at once"))
}

fn count_starts(harness: &Harness, run: &TaskRun) -> usize {
    harness.starts().iter().filter(|c| c.run == *run).count()
}

#[test]
fn start_that_waits_for_calls_in_progress_is_not_sent_after_its_stop_is_ordered() {
    let (mut harness, waiting) = with_waiting_start();

    harness.reply_to_report(|reply| reply.stops = vec![waiting.clone()]);
    harness.started(&run_of(0), Err(no_reply()));
    harness.advance(20);
    harness.run();

    assert_eq!(count_starts(&harness, &waiting), 0);
    assert_eq!(stops(&harness).len(), 1, "the stop goes before other calls");
}

#[test]
fn start_that_waits_for_calls_in_progress_is_not_sent_after_the_fence_rises() {
    let (mut harness, waiting) = with_waiting_start();

    harness.reply_to_report(|reply| reply.fence = 9);
    for index in 0..5 {
        harness.started(&run_of(index), Err(no_reply()));
    }

    assert_eq!(count_starts(&harness, &waiting), 0);
}

#[test]
fn start_that_waits_for_calls_in_progress_is_sent_when_one_ends() {
    let (mut harness, waiting) = with_waiting_start();

    harness.started(&run_of(0), Err(no_reply()));

    assert_eq!(count_starts(&harness, &waiting), 1);
}

#[test]
fn accepted_run_is_not_released_while_its_stop_is_in_progress() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    let clock_ms = harness.clock_ms;
    harness.started(&run_of(0), Ok(StartReply::Started { clock_ms }));
    harness.advance(990);
    harness.reply_to_report(|reply| reply.stops = vec![run_of(0)]);
    harness.stopped(&run_of(0));

    harness.advance(20);
    harness.complete_long_poll(&[], &[]);

    assert!(harness.next_report().rejected.is_empty());
}
