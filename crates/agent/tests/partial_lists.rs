//! Lists of the worker that may lack runs.

mod harness;

use agent::StartReply;
use harness::{Harness, run_of};

#[test]
fn accepted_run_missing_from_partial_lists_is_not_released() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    let clock_ms = harness.clock_ms;
    harness.started(&run_of(0), Ok(StartReply::Started { clock_ms }));

    harness.advance(2000);
    harness.complete_partially(&[]);

    let report = harness.next_report();
    assert!(report.rejected.is_empty());
    assert_eq!(report.open, [run_of(0)]);
}

#[test]
fn stopped_run_missing_from_partial_lists_is_not_released() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[run_of(0)], &[]);
    harness.reply_to_report(|reply| reply.stops = vec![run_of(0)]);
    harness.stopped(&run_of(0));

    harness.advance(2000);
    harness.complete_partially(&[]);

    let report = harness.next_report();
    assert!(report.rejected.is_empty());
    assert!(!report.status.expect("a status").is_settled);
}
