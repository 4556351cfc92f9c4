//! Orders of wide jobs: the companion's work for them must not hold up the worker's lease.

mod harness;

use base::prelude::*;
use fakes::timing::processor_time;
use harness::{Harness, run_of};
use jobs::TaskRun;
use jobs::report::StartOrder;

/// How many members of a gang start on the worker.
const MEMBERS: u32 = 15_000;

/// The longest that one status may take: polls follow each other after 60 ms. The build under test is not
/// optimised.
const MAX_CALL: Duration = Duration::from_millis(300);

/// Guards against a status whose rows are compared with each open start in turn.
#[test]
fn status_of_a_wide_gang_is_handled_in_little_time() {
    let mut harness = Harness::fenced();
    let runs: Vec<TaskRun> = (0..MEMBERS).map(run_of).collect();
    let order = |run: &TaskRun| StartOrder {
        run: run.clone(),
        payload: "payload".into(),
        checkpoint: None,
        ticket: None,
    };
    harness.reply_to_report(|reply| reply.starts = runs.iter().map(order).collect());

    let began = processor_time();
    harness.complete_long_poll(&runs, &[]);
    let took = processor_time() - began;

    harness.reply_to_reports();
    assert!(harness.last_report().open.is_empty());
    assert!(took < MAX_CALL, "{took:?}");
}
