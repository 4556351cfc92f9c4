//! Starts on a worker that drains.

mod harness;

use agent::Action;
use harness::{Harness, no_reply, run_of};
use jobs::report::RejectKind;

#[test]
fn start_without_a_reply_is_stopped_when_its_worker_drains_meanwhile() {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    harness.send_draining(2);

    harness.started(&run_of(0), Err(no_reply()));
    harness.advance(100);
    harness.run();

    let is_stop =
        |action: &Action| matches!(action, Action::Stop(_, call) if call.run == run_of(0));
    assert!(harness.actions.iter().any(is_stop));
    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn start_ordered_from_a_draining_worker_is_rejected_at_once() {
    let mut harness = Harness::fenced();
    harness.send_draining(2);

    harness.order(&run_of(0));

    let rejected = harness.last_report().rejected;
    assert_eq!(rejected.len(), 1);
    assert_eq!(rejected[0].why, RejectKind::Draining);
    assert!(harness.starts().is_empty());
}
