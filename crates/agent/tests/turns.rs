//! Whose turn it is when more orders wait than calls may be in progress.

mod harness;

use agent::Action;
use base::prelude::*;
use harness::{Harness, no_reply, run_of};
use jobs::TaskRun;
use jobs::report::StartOrder;

const RUNS: u32 = 8;
const ROUNDS: usize = 20;

fn stops(harness: &Harness) -> Vec<TaskRun> {
    let stops = harness.actions.iter().filter_map(|action| match action {
        Action::Stop(_, call) => Some(call.run.clone()),
        _ => None,
    });
    stops.collect()
}

fn starts(harness: &Harness) -> Vec<TaskRun> {
    let calls = harness.starts().into_iter();
    calls.map(|call| call.run).collect()
}

/// Lets calls time out, round by round, and returns the runs that were called for.
fn time_out(
    harness: &mut Harness,
    sent: impl Fn(&Harness) -> Vec<TaskRun>,
    fail: impl Fn(&mut Harness, &TaskRun),
) -> IndexSet<TaskRun> {
    let mut handled = 0;
    for _ in 0..ROUNDS {
        harness.advance(400);
        let calls = sent(harness);
        for run in &calls[handled..] {
            fail(harness, run);
        }
        handled = calls.len();
        harness.run();
    }
    sent(harness).into_iter().collect()
}

fn runs() -> Vec<TaskRun> {
    (0..RUNS).map(run_of).collect()
}

fn start_order(run: TaskRun) -> StartOrder {
    StartOrder {
        run,
        payload: "payload".into(),
        checkpoint: None,
        ticket: None,
    }
}

/// Returns a companion that has received these orders.
fn ordered(stops: Vec<TaskRun>, starts: Vec<TaskRun>) -> Harness {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&stops, &[]);
    harness.reply_to_report(|reply| {
        reply.stops = stops;
        reply.starts = starts.into_iter().map(start_order).collect();
    });
    harness
}

#[test]
fn stop_is_not_held_up_by_retries_of_others() {
    let mut harness = ordered(runs(), Vec::new());

    let called = time_out(&mut harness, stops, Harness::fail_stop);

    assert_eq!(called.len(), RUNS as usize);
}

#[test]
fn start_is_not_held_up_by_retries_of_others() {
    let mut harness = ordered(Vec::new(), runs());

    let called = time_out(&mut harness, starts, |harness, run| {
        harness.started(run, Err(no_reply()));
    });

    assert_eq!(called.len(), RUNS as usize);
}

#[test]
fn start_is_not_held_up_by_stops_without_a_reply() {
    let mut harness = ordered(runs(), vec![run_of(100)]);

    time_out(&mut harness, stops, Harness::fail_stop);

    assert_eq!(starts(&harness), [run_of(100)]);
}
