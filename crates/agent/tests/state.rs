//! Calls of a companion to its worker and reports to the owner.

mod harness;

use agent::StartReply;
use base::prelude::*;
use harness::{Harness, LEASE_MS, no_reply, run_of};
use jobs::report::{EndKind, FinishedRun, RejectKind, StartOrder};

#[test]
fn lease_counts_from_when_its_report_was_sent() {
    let mut harness = Harness::new();
    let sent_clock = harness.clock_ms;
    harness.advance(2000);

    harness.reply_to_report(|_| ());

    let deadlines: Vec<u64> = harness
        .long_polls()
        .iter()
        .filter_map(|call| call.deadline_ms)
        .collect();
    assert!(!deadlines.is_empty());
    assert!(deadlines.iter().all(|d| *d <= sent_clock + LEASE_MS));
}

#[test]
fn nothing_is_started_before_a_lease_is_known() {
    let mut harness = Harness::new();
    let order = StartOrder {
        run: run_of(0),
        payload: "payload".into(),
        checkpoint: None,
        ticket: None,
    };

    harness.reply_to_report(|reply| {
        reply.lease_ms = None;
        reply.starts = vec![order];
    });

    assert!(harness.starts().is_empty());
}

#[test]
fn start_without_a_reply_is_retried_and_stays_open() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));

    harness.started(&run_of(0), Err(no_reply()));
    harness.advance(100);
    harness.run();

    assert_eq!(harness.starts().len(), 2);
    let report = harness.next_report();
    assert_eq!(report.open, [run_of(0)]);
    assert!(report.rejected.is_empty());
}

#[test]
fn start_carried_out_without_a_reply_is_completed_by_the_status() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    harness.started(&run_of(0), Err(no_reply()));
    harness.advance(100);
    harness.run();
    let old = StartReply::Rejected {
        why: RejectKind::Old,
        clock_ms: Some(harness.clock_ms),
    };

    harness.started(&run_of(0), Ok(old));
    harness.advance(50);
    let end = FinishedRun {
        number: 1,
        run: run_of(0),
        how: EndKind::Failed,
        checkpoint: None,
    };
    harness.complete_long_poll(&[], &[end]);

    let report = harness.next_report();
    assert!(
        report.rejected.is_empty(),
        "the finished run is in the status"
    );
    assert!(report.open.is_empty());
}

#[test]
fn accepted_run_missing_from_the_next_status_stays_open() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    let clock_ms = harness.clock_ms;
    harness.started(&run_of(0), Ok(StartReply::Started { clock_ms }));

    harness.advance(20);
    harness.complete_long_poll(&[], &[]);

    let report = harness.next_report();
    assert_eq!(report.open, [run_of(0)]);
    assert!(report.rejected.is_empty());
}

#[test]
fn stopped_run_is_rejected_only_after_the_stop_time() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    harness.started(&run_of(0), Err(no_reply()));
    harness.reply_to_report(|reply| reply.stops = vec![run_of(0)]);
    harness.stopped(&run_of(0));

    harness.advance(50);
    harness.complete_long_poll(&[], &[]);
    assert!(
        harness.next_report().rejected.is_empty(),
        "the run may still be stopping"
    );

    harness.advance(300);
    harness.complete_long_poll(&[], &[]);
    let rejected = harness.next_report().rejected;
    assert_eq!(rejected.len(), 1);
    assert_eq!(rejected[0].why, RejectKind::Stopped);
}

#[test]
fn rejected_start_is_not_repeated_when_its_order_is_redelivered() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    let room = StartReply::Rejected {
        why: RejectKind::Room,
        clock_ms: None,
    };
    harness.started(&run_of(0), Ok(room));
    harness.reply_to_report(|reply| reply.noted_rejects = vec![run_of(0)]);

    harness.order(&run_of(0));

    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn heartbeat_of_an_older_incarnation_is_ignored() {
    let mut harness = Harness::fenced();
    harness.send_heartbeat(5, 1);
    harness.run();

    harness.send_stray_heartbeat(harness.heartbeat(1, 99));

    assert_eq!(harness.last_report().incarnation, Incarnation(5));
}

#[test]
fn new_incarnation_under_the_same_id_begins_without_status_and_starts() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));

    harness.send_heartbeat(2, 1);
    harness.run();

    let report = harness.last_report();
    assert_eq!(report.incarnation, Incarnation(2));
    assert!(report.status.is_none());
    assert!(report.open.is_empty());
}

#[test]
fn orders_for_another_incarnation_are_ignored() {
    let mut harness = Harness::fenced();
    harness.send_heartbeat(2, 1);
    harness.run();

    harness.order(&run_of(0));

    assert!(harness.starts().is_empty());
}

fn latest_deadline(harness: &Harness) -> Option<u64> {
    let calls = harness.long_polls();
    calls.iter().filter_map(|call| call.deadline_ms).max()
}

#[test]
fn lease_of_an_unresponsive_worker_is_not_renewed() {
    let mut harness = Harness::fenced();
    harness.advance(1500);
    harness.fail_long_poll(ErrorKind::Timeout);
    let before = latest_deadline(&harness);
    let report = harness.next_report();
    assert!(report.is_unresponsive);

    harness.reply_to_report(|_| ());
    harness.advance(200);
    harness.run();

    assert_eq!(latest_deadline(&harness), before);
}

#[test]
fn worker_that_refuses_connections_is_reported_as_unresponsive_and_not_as_gone() {
    let mut harness = Harness::fenced();
    for _ in 0..4 {
        harness.fail_long_poll(ErrorKind::NotListening);
        harness.advance(100);
        harness.run();
    }

    let report = harness.next_report();

    assert!(report.is_unresponsive, "its lease is not renewed");
    assert!(!report.is_gone, "its runs may go on");
}

fn reported_gone() -> Harness {
    let mut harness = Harness::fenced();
    harness.leave(None);
    harness
}

#[test]
fn start_does_not_leave_under_the_fence_at_which_its_worker_was_reported_gone() {
    let mut harness = reported_gone();
    harness.order(&run_of(0));

    harness.send_heartbeat(1, 2);
    harness.run();
    harness.complete_long_poll(&[], &[]);

    assert!(harness.starts().is_empty(), "the owner has released it");
}

#[test]
fn worker_heard_again_before_the_owner_knew_it_gone_gets_starts() {
    let mut harness = reported_gone();
    harness.send_heartbeat(1, 2);
    harness.run();
    harness.complete_long_poll(&[], &[]);
    harness.next_report();

    harness.order(&run_of(0));

    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn reply_of_an_earlier_epoch_is_ignored() {
    let mut harness = Harness::fenced();
    harness.reply_to_report(|reply| reply.epoch = Epoch(3));

    let order = StartOrder {
        run: run_of(0),
        payload: "payload".into(),
        checkpoint: None,
        ticket: None,
    };
    harness.reply_to_report(|reply| {
        reply.epoch = Epoch(2);
        reply.starts = vec![order];
    });

    assert!(harness.starts().is_empty());
}

#[test]
fn of_two_statuses_with_the_same_clock_the_first_is_kept() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    harness.advance(20);
    harness.complete_long_poll(&[run_of(0)], &[]);
    harness.reply_to_report(|_| ());
    let finished = FinishedRun {
        number: 1,
        run: run_of(5),
        how: EndKind::Done,
        checkpoint: None,
    };

    harness.complete_long_poll(&[], &[finished]);

    let listing = harness.last_report().status.expect("a status");
    assert_eq!(listing.running.len(), 1);
}

#[test]
fn start_without_a_reply_is_not_retried_after_the_fence_rises() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    harness.started(&run_of(0), Err(no_reply()));

    // Another owner took over, or the same owner moved the worker's tasks to other workers.
    harness.reply_to_report(|reply| reply.fence = 9);
    harness.advance(100);
    harness.run();

    assert_eq!(
        harness.starts().len(),
        1,
        "only the start made before the fencing token rose"
    );
    assert!(harness.next_report().open.is_empty());
}

#[test]
fn start_in_flight_when_the_fence_rises_is_not_retried() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));

    harness.reply_to_report(|reply| reply.fence = 9);
    harness.started(&run_of(0), Err(no_reply()));
    harness.advance(100);
    harness.run();

    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn status_without_an_accepted_run_is_not_settled() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[], &[]);
    harness.advance(1000);
    harness.order(&run_of(0));
    let clock_ms = harness.clock_ms;
    harness.started(&run_of(0), Ok(StartReply::Started { clock_ms }));

    harness.advance(20);
    harness.complete_long_poll(&[], &[]);
    let before = harness.next_report().status.expect("a status");
    harness.advance(20);
    harness.complete_long_poll(&[run_of(0)], &[]);
    let after = harness.next_report().status.expect("a status");

    assert!(
        !before.is_settled,
        "a new owner would start the task a second time"
    );
    assert!(after.is_settled);
}
