//! Heartbeats that the worker did not send: none may displace it or change what it may do.

mod harness;

use agent::{Heartbeat, WorkerMessage};
use base::prelude::*;
use harness::{CAPACITY, Harness, LEASE_MS, run_of};

/// Returns a heartbeat of another writer, later than any of the worker's.
fn foreign(harness: &Harness) -> Heartbeat {
    Heartbeat {
        id: "other".into(),
        pool: "other-desk".into(),
        capacity: Resources::new(4, 100, 0),
        ..harness.heartbeat(9, 1)
    }
}

/// Sends the worker's next heartbeats, 1.1 s apart, for as long as contradictions may last;
/// the owner replies to its reports.
fn go_on(harness: &mut Harness, first: u64) {
    for number in first..first + 5 {
        harness.advance(1100);
        harness.send_heartbeat(1, number);
        harness.complete_long_poll(&[], &[]);
        harness.reply_to_reports();
    }
}

/// Asserts that the worker that is up is known and gets starts.
fn assert_in_use(harness: &mut Harness) {
    harness.reply_to_reports();
    let report = harness.last_report();
    assert_eq!(report.id.as_str(), "worker");
    assert_eq!(report.incarnation, Incarnation(1));
    assert_eq!((report.pool.as_str(), report.capacity), ("desk", CAPACITY));
    assert!(!report.is_unresponsive && report.draining_ms.is_none());
    let before = harness.starts().len();
    harness.order(&run_of(7));
    assert_eq!(harness.starts().len(), before + 1, "it gets starts");
}

/// Guards against a single heartbeat of another writer, with a later birth, that made the companion
/// ignore its worker for good.
#[test]
fn heartbeat_of_another_writer_does_not_displace_the_worker() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[], &[]);

    harness.send_stray_heartbeat(foreign(&harness));
    harness.advance(1100);
    harness.send_heartbeat(1, 2);
    harness.complete_long_poll(&[], &[]);

    assert_in_use(&mut harness);
}

/// Guards against the worker's own id in another writer's heartbeat, with any birth.
#[test]
fn the_workers_own_id_with_another_birth_does_not_displace_it() {
    for incarnation in [0, 2, u64::MAX] {
        let mut harness = Harness::fenced();
        harness.complete_long_poll(&[], &[]);

        harness.send_stray_heartbeat(Heartbeat {
            id: "worker".into(),
            incarnation: Incarnation(incarnation),
            ..foreign(&harness)
        });
        harness.complete_long_poll(&[], &[]);

        assert_in_use(&mut harness);
    }
}

/// Guards against the worker's own id and birth with what is not the worker's.
#[test]
fn the_workers_own_identity_with_other_contents_does_not_change_it() {
    let harness = Harness::fenced();
    let own = harness.heartbeat(1, 1000);
    let other_pool = Heartbeat {
        pool: "other-desk".into(),
        ..own.clone()
    };
    let other_labels = Heartbeat {
        labels: vec!["b".into()],
        draining: Some(Duration::ZERO),
        ..own.clone()
    };
    let other_clock = Heartbeat {
        clock_ms: Some(u64::MAX),
        capacity: Resources::ZERO,
        ..own.clone()
    };
    for stray in [other_pool, other_labels, other_clock] {
        let mut harness = Harness::fenced();
        harness.complete_long_poll(&[], &[]);

        harness.send_stray_heartbeat(stray);
        harness.complete_long_poll(&[], &[]);

        assert_in_use(&mut harness);
    }
}

/// Guards against a number so large that all later heartbeats of the worker count as outdated.
#[test]
fn heartbeats_go_on_to_count_after_one_with_a_number_too_large() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[], &[]);

    harness.send_stray_heartbeat(harness.heartbeat(1, u64::MAX));
    go_on(&mut harness, 2);
    assert_in_use(&mut harness);
    harness.send_draining(8);

    assert!(harness.next_report().draining_ms.is_some());
}

/// Guards against another writer that is heard before the worker, by a companion that has just started.
#[test]
fn worker_is_known_though_another_writer_is_heard_first() {
    for id in ["other", "worker"] {
        let mut harness = Harness::fenced();
        harness.seen_fence = 7;
        harness.restart();

        harness.send_stray_heartbeat(Heartbeat {
            id: id.into(),
            ..foreign(&harness)
        });
        go_on(&mut harness, 2);
        harness.complete_long_poll(&[], &[]);

        assert_in_use(&mut harness);
    }
}

/// Guards against a lease by a clock that is not the worker's: it never falls again.
#[test]
fn lease_does_not_count_on_the_clock_of_a_heartbeat() {
    let mut harness = Harness::fenced();

    harness.send_stray_heartbeat(Heartbeat {
        clock_ms: Some(1 << 60),
        ..harness.heartbeat(1, 2)
    });
    harness.complete_long_poll(&[], &[]);
    harness.reply_to_report(|_| ());
    harness.complete_long_poll(&[], &[]);

    let calls = harness.long_polls();
    let latest = calls.iter().filter_map(|call| call.deadline_ms).max();
    assert!(latest.is_some_and(|ms| ms <= harness.clock_ms + LEASE_MS));
}

/// Guards against many other writers, among whom a restart of the worker is not found.
#[test]
fn restart_is_found_among_many_other_writers() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[], &[]);
    harness.live = Some(("worker".into(), Incarnation(2)));
    for other in 0..100 {
        harness.state.worker_message(
            harness.now,
            WorkerMessage::Heartbeat(Heartbeat {
                id: format!("other-{other}").as_str().into(),
                ..foreign(&harness)
            }),
        );
    }
    harness.run();

    harness.advance(1100);
    harness.send_heartbeat(2, 1);

    assert_eq!(harness.next_report().incarnation, Incarnation(2));
}

/// Guards against a worker that is ignored for good since the time of day was set back before its
/// restart, so that it was born before its earlier incarnation.
#[test]
fn restart_with_an_earlier_birth_replaces_the_incarnation() {
    let mut harness = Harness::fenced();
    harness.send_heartbeat(5, 1);

    harness.send_heartbeat(3, 1);

    assert_eq!(harness.next_report().incarnation, Incarnation(3));
}

/// Guards against a restart that is lost because the worker does not answer at once.
#[test]
fn worker_that_does_not_answer_is_asked_again() {
    let mut harness = Harness::fenced();
    harness.live = None;
    harness.send_stray_heartbeat(harness.heartbeat(2, 1));
    let before = harness.next_report().incarnation;

    harness.live = Some(("worker".into(), Incarnation(2)));
    harness.advance(100);
    harness.run();

    assert_eq!(before, Incarnation(1));
    assert_eq!(harness.next_report().incarnation, Incarnation(2));
}

/// Guards against a leave of another writer, on which the owner gives up all runs though they go on.
#[test]
fn leave_of_a_worker_that_has_not_drained_and_goes_on_is_ignored() {
    for incarnation in [None, Some(Incarnation(1))] {
        let mut harness = Harness::fenced();
        harness.complete_long_poll(&[], &[]);

        harness.send_leave(incarnation);

        assert!(!harness.next_report().is_gone);
        assert_in_use(&mut harness);
    }
}

#[test]
fn leave_of_a_worker_that_has_drained_or_ended_counts_at_once() {
    let mut drained = Harness::fenced();
    drained.send_draining(2);
    let mut ended = Harness::fenced();

    drained.send_leave(None);
    ended.leave(None);

    assert!(drained.next_report().is_gone);
    assert!(ended.next_report().is_gone);
}

/// Guards against a stray leave whose check is reset although the worker goes on.
#[test]
fn leave_counts_only_once_the_worker_has_answered_or_refuses() {
    for kind in [ErrorKind::Interrupted, ErrorKind::Unreachable] {
        let mut harness = Harness::fenced();
        harness.complete_long_poll(&[], &[]);

        harness.send_leave_with_reply_lost(kind);
        harness.advance(100);
        harness.run();

        assert!(!harness.next_report().is_gone);
        assert_in_use(&mut harness);
    }
}

#[test]
fn leave_of_a_worker_that_refuses_after_a_lost_connection_counts() {
    let mut harness = Harness::fenced();
    harness.live = None;

    harness.send_leave_with_reply_lost(ErrorKind::Interrupted);
    harness.advance(100);
    harness.run();

    assert!(harness.next_report().is_gone);
}
