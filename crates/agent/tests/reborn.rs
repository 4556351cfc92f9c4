//! A worker that restarts under the same id: calls meant for the earlier incarnation reach it.

mod harness;

use agent::{Action, StartReply};
use base::prelude::*;
use harness::{Harness, run_of};

fn lost_connection() -> Error {
    Error::new(ErrorKind::Interrupted, "start", "worker", "reset")
}

#[test]
fn deadline_and_cursor_of_an_incarnation_are_not_sent_after_a_lost_connection() {
    let mut harness = Harness::fenced();
    harness.reply_to_report(|reply| reply.stored_ends = 57);
    harness.complete_long_poll(&[], &[]);
    let last = harness.long_polls().pop().expect("a poll");
    assert_eq!(last.stored_ends, 57);

    harness.fail_long_poll(ErrorKind::Interrupted);
    harness.advance(150);
    harness.run();

    let last = harness.long_polls().pop().expect("a poll");
    assert_eq!((last.deadline_ms, last.stored_ends), (None, 0));
}

#[test]
fn start_is_not_repeated_after_a_lost_connection_before_the_incarnation_is_heard() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[], &[]);
    harness.order(&run_of(0));

    harness.started(&run_of(0), Err(lost_connection()));
    harness.advance(100);
    harness.run();
    let before = harness.starts().len();
    harness.complete_long_poll(&[], &[]);

    assert_eq!(before, 1);
    assert_eq!(harness.starts().len(), 2);
}

#[test]
fn stop_is_not_repeated_after_a_lost_connection_before_the_incarnation_is_heard() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[run_of(0)], &[]);
    harness.reply_to_report(|reply| reply.stops = vec![run_of(0)]);
    let count = |harness: &Harness| {
        let is_stop = |action: &&Action| matches!(action, Action::Stop(..));
        harness.actions.iter().filter(is_stop).count()
    };

    let reply = Err(lost_connection());
    harness
        .state
        .stopped(harness.now, Incarnation(1), &run_of(0), reply);
    harness.advance(100);
    harness.run();
    let before = count(&harness);
    harness.complete_long_poll(&[run_of(0)], &[]);

    assert_eq!(before, 1);
    assert_eq!(count(&harness), 2);
}

#[test]
fn answered_start_does_not_confirm_the_incarnation() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[], &[]);
    harness.order(&run_of(0));
    harness.fail_long_poll(ErrorKind::Interrupted);
    let clock_ms = harness.clock_ms;
    harness.started(&run_of(0), Ok(StartReply::Started { clock_ms }));

    harness.order(&run_of(1));

    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn late_leave_of_an_earlier_incarnation_does_not_end_the_next_one() {
    let mut harness = Harness::fenced();
    harness.send_heartbeat(2, 1);

    harness.send_leave(Some(Incarnation(1)));
    let after_late = harness.next_report();
    harness.leave(Some(Incarnation(2)));
    let after_own = harness.next_report();

    assert!(!after_late.is_gone);
    assert!(after_own.is_gone);
}
