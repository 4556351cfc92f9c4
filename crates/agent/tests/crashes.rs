//! Which restarts of the worker are reported as crashes, and with which runs.

mod harness;

use base::prelude::*;
use harness::{Harness, no_reply, run_of};
use jobs::report::{Crash, SyncReply};

/// An agent whose worker has run a task since its last but one status, 250 ms ago.
fn running() -> Harness {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[run_of(0)], &[]);
    harness.advance(250);
    harness.complete_long_poll(&[run_of(0)], &[]);
    harness
}

/// Returns the crashes that are reported once another incarnation is heard.
fn crashes_after_restart(harness: &mut Harness) -> Vec<Crash> {
    harness.send_heartbeat(2, 1);
    let crashes = harness.next_report().crashes;
    // The report before is answered too, so that each further reply is followed by a report.
    let (number, _) = harness.last_sync();
    let ignored = Ok(SyncReply::default());
    harness.state.synced(harness.now, number - 2, ignored);
    crashes
}

#[test]
fn restart_without_a_leave_is_a_crash_under_listed_and_sent_runs() {
    let mut harness = running();
    harness.order(&run_of(1));
    harness.advance(10);
    harness.started(&run_of(1), Err(no_reply()));
    harness.fail_long_poll(ErrorKind::Interrupted);
    harness.advance(2000);

    let crashes = crashes_after_restart(&mut harness);

    let [crash] = crashes.as_slice() else {
        panic!("one crash, got {crashes:?}");
    };
    let runs: Vec<_> = crash
        .runs
        .iter()
        .map(|r| (r.run.clone(), r.ran_ms))
        .collect();
    assert_eq!(runs, [(run_of(0), 260), (run_of(1), 0)]);
    assert!(crash.is_within_lease);
}

#[test]
fn start_without_a_reply_may_have_been_carried_out_just_before_the_crash() {
    let mut harness = running();
    harness.order(&run_of(1));
    harness.started(&run_of(1), Err(no_reply()));
    harness.advance(400);
    harness.fail_long_poll(ErrorKind::Interrupted);

    let crashes = crashes_after_restart(&mut harness);

    let run = crashes[0].runs.iter().find(|r| r.run == run_of(1));
    assert_eq!(run.map(|r| r.ran_ms), Some(0));
}

#[test]
fn run_that_was_never_sent_is_no_suspect_of_a_crash() {
    let mut harness = running();
    harness.fail_long_poll(ErrorKind::NotListening);
    harness.order(&run_of(1));

    let crashes = crashes_after_restart(&mut harness);

    assert_eq!(crashes[0].runs.len(), 1);
}

#[test]
fn restart_after_a_silence_longer_than_the_lease_is_not_within_it() {
    let mut harness = running();
    harness.fail_long_poll(ErrorKind::Timeout);
    harness.advance(harness::LEASE_MS + 100);

    let crashes = crashes_after_restart(&mut harness);

    assert!(!crashes[0].is_within_lease);
}

#[test]
fn leave_and_drain_are_no_crashes() {
    let mut left = running();
    left.leave(Some(Incarnation(1)));
    let mut drained = running();
    drained.send_draining(2);

    let after_leave = crashes_after_restart(&mut left);
    let after_drain = crashes_after_restart(&mut drained);

    assert_eq!((after_leave, after_drain), (Vec::new(), Vec::new()));
}

#[test]
fn silence_of_an_incarnation_that_is_heard_again_is_no_crash() {
    let mut harness = running();
    harness.fail_long_poll(ErrorKind::Interrupted);
    harness.advance(harness::LEASE_MS + 100);

    harness.send_heartbeat(1, 2);
    harness.complete_long_poll(&[], &[]);

    assert!(harness.next_report().crashes.is_empty());
}

#[test]
fn crash_is_reported_until_the_owner_has_recorded_it() {
    let mut harness = running();
    let crashes = crashes_after_restart(&mut harness);
    let to_second = |reply: &mut SyncReply| reply.incarnation = Incarnation(2);

    harness.reply_to_report(to_second);
    let before = harness.last_report().crashes;
    harness.reply_to_report(|reply| {
        to_second(reply);
        reply.noted_crashes = vec![Incarnation(1)];
    });
    let after = harness.last_report().crashes;

    assert_eq!(before, crashes);
    assert_eq!(after, []);
}
