//! Starts that wait at the companion when the worker's capacity changes.

mod harness;

use agent::Action;
use base::prelude::*;
use harness::{Harness, no_reply, run_of};
use jobs::report::{RejectKind, Rejected};

fn room(index: u32) -> Rejected {
    Rejected {
        run: run_of(index),
        why: RejectKind::Room,
    }
}

/// An agent with a start that waits to be repeated: its first call was refused.
fn harness_with_waiting_start() -> Harness {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[], &[]);
    harness.order(&run_of(0));
    let refused = Error::new(ErrorKind::NotListening, "start", "worker", "refused");
    harness.started(&run_of(0), Err(refused));
    harness
}

#[test]
fn change_of_capacity_is_reported_at_once() {
    let mut harness = Harness::fenced();
    let (before, _) = harness.last_sync();

    harness.send_capacity(2, Resources::new(8, 1000, 0));

    let (after, report) = harness.last_sync();
    let capacity = report.worker.map(|w| w.capacity);
    assert_eq!(capacity, Some(Resources::new(8, 1000, 0)));
    assert!(after > before);
}

#[test]
fn start_that_waits_is_rejected_when_the_capacity_shrinks() {
    let mut harness = harness_with_waiting_start();

    harness.send_capacity(2, Resources::new(8, 1000, 0));

    assert_eq!(harness.last_report().rejected, [room(0)]);
}

#[test]
fn start_that_waits_is_kept_when_the_capacity_grows() {
    let mut harness = harness_with_waiting_start();

    harness.send_capacity(2, Resources::new(32, 1000, 0));

    assert_eq!(harness.last_report().rejected, []);
}

#[test]
fn order_that_was_placed_by_a_larger_capacity_is_rejected() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[], &[]);
    let (number, _) = harness.last_sync();
    harness.send_capacity(2, Resources::new(8, 1000, 0));

    harness.order_in_reply_to(number, &run_of(0));

    assert_eq!(harness.starts().len(), 0);
    assert_eq!(harness.last_report().rejected, [room(0)]);
}

#[test]
fn start_without_a_reply_is_stopped_when_the_capacity_shrinks() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[], &[]);
    harness.order(&run_of(0));
    harness.started(&run_of(0), Err(no_reply()));

    harness.send_capacity(2, Resources::new(8, 1000, 0));

    let is_stop = |action: &&Action| matches!(action, Action::Stop(..));
    let stops = harness.actions.iter().filter(is_stop).count();
    assert_eq!(stops, 1);
}
