//! Which reports carry a whole status, and which its changes.

mod harness;

use base::prelude::*;
use harness::{Harness, no_reply, run_of};
use jobs::owner::OwnerRecord;
use jobs::report::WorkerReport;

/// Creates an agent whose owner takes changes, with one run in its first status.
fn running() -> Harness {
    let mut harness = Harness::new();
    harness.reply_to_report(|reply| reply.takes_changes = true);
    harness.complete_long_poll(&[run_of(0)], &[]);
    harness.reply_to_report(|reply| reply.takes_changes = true);
    harness
}

/// Completes a long poll with another run and returns the report of it.
fn report_of_another_run(harness: &mut Harness, index: u32) -> WorkerReport {
    harness.advance(250);
    harness.complete_long_poll(&[run_of(0), run_of(index)], &[]);
    harness.last_report()
}

#[test]
fn whole_status_is_followed_by_changes() {
    let mut harness = running();

    let report = report_of_another_run(&mut harness, 1);

    assert_eq!(report.status, None);
    let changes = report.changes.expect("changes");
    let added: Vec<_> = changes.added.iter().map(|row| row.run.clone()).collect();
    assert_eq!(added, [run_of(1)]);
}

#[test]
fn owner_that_takes_no_changes_gets_whole_statuses() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[run_of(0)], &[]);
    harness.reply_to_report(|_| ());

    let report = report_of_another_run(&mut harness, 1);

    assert_eq!(report.changes, None);
    assert_eq!(report.status.expect("a status").running.len(), 2);
}

#[test]
fn whole_status_is_sent_when_the_owner_asks_for_it() {
    let mut harness = running();
    report_of_another_run(&mut harness, 1);

    harness.reply_to_report(|reply| {
        reply.takes_changes = true;
        reply.needs_status = true;
    });

    let report = harness.last_report();
    assert_eq!(report.changes, None);
    assert_eq!(report.status.expect("a status").running.len(), 2);
}

#[test]
fn whole_status_is_sent_after_a_report_without_a_reply() {
    let mut harness = running();
    report_of_another_run(&mut harness, 1);
    let (number, _) = harness.last_sync();
    harness.state.synced(harness.now, number, Err(no_reply()));
    harness.advance(250);

    harness.run();

    let report = harness.last_report();
    assert_eq!(report.changes, None);
    assert_eq!(report.status.expect("a status").running.len(), 2);
}

#[test]
fn new_owner_gets_a_whole_status() {
    let mut harness = running();
    report_of_another_run(&mut harness, 1);
    let record = OwnerRecord {
        name: "another".into(),
        addr: "127.0.0.1:2".parse().expect("an address"),
        epoch: Epoch(2),
        nonce: Nonce(2),
    };

    harness.state.owner_seen(&record);
    harness.run();

    let report = harness.last_report();
    assert_eq!(report.changes, None);
    assert_eq!(report.status.expect("a status").running.len(), 2);
}

/// The load: an owner so slow that reports time out. Companions must not add to it.
#[test]
fn reports_without_a_reply_are_retried_ever_later() {
    let mut harness = running();
    report_of_another_run(&mut harness, 1);
    let mut sent = Vec::new();
    for _ in 0..400 {
        let (number, _) = harness.last_sync();
        if sent.last().is_none_or(|(last, _)| *last != number) {
            sent.push((number, harness.now));
            harness.state.synced(harness.now, number, Err(no_reply()));
        }
        harness.advance(10);
        harness.run();
    }

    let gaps: Vec<Duration> = sent.windows(2).map(|w| w[1].1 - w[0].1).collect();
    assert!(gaps.is_sorted(), "{gaps:?}");
    let longest = gaps.last().expect("several reports");
    assert_eq!(*longest, Duration::from_millis(800));
}

/// The load: all companions report to a new owner at once, each time their workers' statuses change.
#[test]
fn owner_that_has_not_replied_yet_gets_one_report() {
    let mut harness = running();
    let record = OwnerRecord {
        name: "another".into(),
        addr: "127.0.0.1:2".parse().expect("an address"),
        epoch: Epoch(2),
        nonce: Nonce(2),
    };
    harness.state.owner_seen(&record);
    harness.run();
    let (first, _) = harness.last_sync();

    report_of_another_run(&mut harness, 1);
    report_of_another_run(&mut harness, 2);

    assert_eq!(harness.last_sync().0, first);
}
