//! Submissions that arrive after their cancellation was acknowledged.

mod harness;

use base::prelude::*;
use jobs::JobReply;
use jobs::owner::{JOB_PREFIX, TOMBSTONE_PREFIX};
use jobs::report::EndKind;

use harness::StoreMode::{LosesResponses, Rejects, Unavailable, Up};
use harness::{Harness, ROUTE, route};

const OTHER: &str = "settlements";
const RETENTION: Duration = Duration::from_secs(120);

fn submit(harness: &mut Harness, id: &str) -> Option<JobReply> {
    harness.submit_on(id, ROUTE)
}

fn cancel(harness: &mut Harness, id: &str) -> Option<JobReply> {
    let token = harness.cancel(id);
    harness.replies.get(&token).cloned()
}

fn assert_refused(reply: Option<JobReply>) {
    assert!(matches!(reply, Some(JobReply::Refused { .. })), "{reply:?}");
}

/// Guards against a job that runs though its cancellation was acknowledged before it arrived, whoever
/// owns the jobs then.
#[test]
fn submission_after_its_cancellation_is_refused_under_the_next_owners_too() {
    let mut harness = Harness::with_vm();

    assert_eq!(cancel(&mut harness, "a"), Some(JobReply::Gone));
    for _ in 0..3 {
        assert_refused(submit(&mut harness, "a"));
        harness.pass(Duration::from_secs(2), &["vm"]);
        harness.take_over();
        harness.sync_all();
    }

    assert_eq!((harness.stored(JOB_PREFIX), harness.running()), (0, vec![]));
    assert_eq!(submit(&mut harness, "b"), Some(JobReply::Accepted));
}

/// Guards against a cancellation that is acknowledged by one process's memory.
#[test]
fn cancellation_of_an_unknown_job_is_acknowledged_once_it_is_stored() {
    for mode in [Unavailable, Rejects, LosesResponses] {
        let mut harness = Harness::with_vm();
        harness.mode = mode;
        let token = harness.cancel("a");
        assert_eq!(harness.replies.get(&token), None, "{mode:?}");
        assert_refused(submit(&mut harness, "a"));

        harness.mode = Up;
        harness.pass(Duration::from_secs(1), &["vm"]);

        let reply = harness.replies.get(&token);
        assert_eq!(reply, Some(&JobReply::Gone), "{mode:?}");
        assert_eq!(harness.stored(TOMBSTONE_PREFIX), 1);
    }
}

#[test]
fn cancellation_during_an_outage_is_refused_or_unsure() {
    let mut harness = Harness::with_vm();
    harness.mode = Unavailable;
    let early = harness.cancel("a");
    harness.pass(Duration::from_secs(1), &["vm"]);

    assert_refused(cancel(&mut harness, "b"));
    harness.step_down();

    assert_eq!(harness.replies.get(&early), Some(&JobReply::Unsure));
}

/// Guards against a cancellation, or a repetition, that is taken for one of another route's job of that id.
#[test]
fn job_of_the_same_id_on_another_route_is_neither_cancelled_nor_repeated() {
    let mut harness = Harness::with_vm();
    harness.cancel_on("a", route(OTHER));
    assert_eq!(submit(&mut harness, "a"), Some(JobReply::Accepted));
    submit(&mut harness, "b");

    harness.cancel_on("b", route(OTHER));
    harness.sync_all();
    harness.take_over();
    harness.sync_all();

    assert_eq!(harness.running().len(), 2);
    assert_refused(harness.submit_on("a", OTHER));
    submit(&mut harness, "c");
    assert_eq!(harness.submit_on("c", OTHER), Some(JobReply::id_taken()));
}

/// Guards against a flood that fills the store, or that other callers wait for: 3,000 callers cancel
/// jobs that never come, and 10 submit.
#[test]
fn flood_of_cancellations_takes_few_writes_and_keys_and_holds_up_no_submission() {
    let mut harness = Harness::with_vm();
    let before = harness.transactions;
    let ids: Vec<String> = (0..3000).map(|n| format!("no-{n}")).collect();
    let cancels: Vec<u64> = ids.iter().map(|id| harness.cancel(id)).collect();
    for n in 0..10 {
        let reply = submit(&mut harness, &format!("yes-{n}"));
        assert_eq!(reply, Some(JobReply::Accepted));
    }
    harness.pass(Duration::from_secs(1), &["vm"]);

    let is_gone = |token| harness.replies.get(token) == Some(&JobReply::Gone);
    assert!(cancels.iter().all(is_gone));
    assert!(harness.stored(TOMBSTONE_PREFIX) <= 8);
    assert!(harness.transactions - before < 100);
    assert_refused(submit(&mut harness, "no-2999"));
}

/// Guards against a late submission of a job that is forgotten just after its cancellation was
/// acknowledged.
#[test]
fn cancellation_of_an_ended_job_outlives_the_job_by_the_retention() {
    let mut harness = Harness::with_vm();
    submit(&mut harness, "a");
    harness.end_all(EndKind::Done);
    harness.pass(RETENTION - Duration::from_secs(5), &["vm"]);
    assert_eq!(cancel(&mut harness, "a"), Some(JobReply::Cancelled));

    harness.pass(Duration::from_secs(10), &["vm"]);

    assert_eq!(harness.stored(JOB_PREFIX), 0);
    assert_refused(submit(&mut harness, "a"));
    harness.pass(RETENTION, &["vm"]);
    assert_eq!(harness.stored(TOMBSTONE_PREFIX), 0);
    assert_eq!(submit(&mut harness, "a"), Some(JobReply::Accepted));
}
