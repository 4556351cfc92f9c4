//! Orders that arrive again, since the owner resends them until a report shows them.

mod harness;

use agent::StartReply;
use harness::{Harness, run_of};
use jobs::report::{EndKind, FinishedRun};

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
