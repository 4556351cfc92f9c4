//! Replies to callers, and what is stored before they are sent.

mod harness;

use base::prelude::*;
use jobs::owner::{JOB_PREFIX, PROGRESS_PREFIX};
use jobs::report::EndKind;
use jobs::{JobReply, JobState};

use harness::{
    Harness, StoreMode, delete_owner_key, job, stage, write_new_owner_key, write_owner_key,
};

#[test]
fn job_is_accepted_once_its_record_is_stored() {
    let mut harness = Harness::new();

    let token = harness.submit("a", job(vec![stage(1, 1)]));

    assert_eq!(harness.replies.get(&token), Some(&JobReply::Accepted));
    assert_eq!(harness.stored(JOB_PREFIX), 1);
}

#[test]
fn repeated_submission_refers_to_the_same_job() {
    let mut harness = Harness::new();
    harness.submit("a", job(vec![stage(1, 1)]));

    let again = harness.submit("a", job(vec![stage(5, 1)]));

    assert_eq!(harness.replies.get(&again), Some(&JobReply::Accepted));
    harness.add_vm("vm", 16);
    harness.sync_all();
    assert_eq!(harness.running().len(), 1);
}

#[test]
fn lost_store_response_is_resolved_by_retry() {
    let mut harness = Harness::new();
    harness.mode = StoreMode::LosesResponses;
    let token = harness.submit("a", job(vec![stage(1, 1)]));
    assert_eq!(
        harness.replies.get(&token),
        None,
        "the outcome is not known"
    );

    harness.mode = StoreMode::Up;
    harness.advance(Duration::from_secs(1));
    harness.settle();

    assert_eq!(harness.replies.get(&token), Some(&JobReply::Accepted));
    assert_eq!(harness.stored(JOB_PREFIX), 1);
}

#[test]
fn job_refused_while_store_is_unavailable_is_never_stored() {
    let mut harness = Harness::new();
    harness.mode = StoreMode::Unavailable;
    let sent = harness.submit("sent", job(vec![stage(1, 1)]));
    harness.advance(Duration::from_millis(500));
    harness.settle();

    let refused = harness.submit("refused", job(vec![stage(1, 1)]));

    assert!(
        matches!(harness.replies.get(&refused), Some(JobReply::Refused { retry_after_ms, .. }) if *retry_after_ms > 0)
    );
    assert_eq!(
        harness.replies.get(&sent),
        None,
        "it may have been committed"
    );
    harness.mode = StoreMode::Up;
    harness.advance(Duration::from_secs(1));
    harness.settle();
    assert_eq!(harness.replies.get(&sent), Some(&JobReply::Accepted));
    assert_eq!(harness.stored(JOB_PREFIX), 1, "only the one that was sent");
}

#[test]
fn owner_that_lost_its_key_accepts_nothing() {
    let mut harness = Harness::new();
    write_owner_key(&mut harness);

    let token = harness.submit("a", job(vec![stage(1, 1)]));

    assert!(harness.step_down.is_some());
    assert_eq!(harness.replies.get(&token), None);
    assert_eq!(harness.stored(JOB_PREFIX), 0);
}

/// The load: a store that rejects all calls for some seconds while callers go on submitting.
#[test]
fn job_whose_record_the_store_rejected_is_refused_at_once_and_never_stored() {
    let mut harness = Harness::new();
    harness.mode = StoreMode::Rejects;
    let token = harness.submit("a", job(vec![stage(1, 1)]));

    harness.pass(Duration::from_millis(750), &[]);

    let reply = harness.replies.get(&token);
    assert!(matches!(reply, Some(JobReply::Refused { .. })), "{reply:?}");
    harness.mode = StoreMode::Up;
    harness.pass(Duration::from_secs(3), &[]);
    assert_eq!(harness.stored(JOB_PREFIX), 0);
}

#[test]
fn job_that_may_have_been_stored_before_the_store_rejected_it_is_not_refused() {
    let mut harness = Harness::new();
    harness.mode = StoreMode::LosesResponses;
    let token = harness.submit("a", job(vec![stage(1, 1)]));
    harness.mode = StoreMode::Rejects;

    harness.pass(Duration::from_secs(1), &[]);

    assert_eq!(harness.replies.get(&token), None);
    harness.mode = StoreMode::Up;
    harness.pass(Duration::from_secs(1), &[]);
    assert_eq!(harness.replies.get(&token), Some(&JobReply::Accepted));
}

#[test]
fn owner_whose_key_was_written_again_stores_what_it_has_not_stored() {
    let mut harness = Harness::new();
    delete_owner_key(&mut harness);
    let token = harness.submit("a", job(vec![stage(1, 1)]));
    assert!(harness.is_key_missing);
    assert_eq!(harness.step_down, None);
    assert_eq!(harness.replies.get(&token), None);

    let revision = write_new_owner_key(&mut harness);
    harness.owner.resume(revision);
    harness.pass(Duration::from_secs(1), &[]);

    assert_eq!(harness.replies.get(&token), Some(&JobReply::Accepted));
    assert_eq!(harness.stored(JOB_PREFIX), 1);
}

#[test]
fn job_is_completed_only_once_its_last_finished_run_is_stored() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 16);
    harness.submit("a", job(vec![stage(2, 1)]));
    harness.sync_all();
    harness.mode = StoreMode::Unavailable;
    harness.end_all(EndKind::Done);
    assert_eq!(
        harness.status("a"),
        Some(JobReply::Status(JobState::Running))
    );
    assert_eq!(
        harness.vm("vm").stored_ends,
        0,
        "ends are not acknowledged yet"
    );

    harness.mode = StoreMode::Up;
    harness.advance(Duration::from_secs(1));
    harness.settle();
    harness.sync_all();

    assert_eq!(
        harness.status("a"),
        Some(JobReply::Status(JobState::Completed))
    );
    assert_eq!(harness.vm("vm").stored_ends, 2);
    assert_eq!(harness.stored(PROGRESS_PREFIX), 1);
}

#[test]
fn unknown_job_is_looked_up_in_the_store() {
    let mut harness = Harness::new();

    let reply = harness.status("nobody");

    assert_eq!(reply, None);
    assert_eq!(harness.lookups, [JobId::from("nobody")]);
}

#[test]
fn cancellation_is_confirmed_once_stored_and_stops_all_runs() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 16);
    harness.submit("a", job(vec![stage(3, 1)]));
    harness.sync_all();
    assert_eq!(harness.running().len(), 3);

    let token = harness.cancel("a");
    harness.sync_all();

    assert_eq!(harness.replies.get(&token), Some(&JobReply::Cancelled));
    assert!(harness.running().is_empty());
    harness.take_over();
    harness.sync_all();
    assert!(harness.running().is_empty(), "the next owner knows it too");
    assert_eq!(
        harness.status("a"),
        Some(JobReply::Status(JobState::Cancelled))
    );
}

#[test]
fn cancellation_is_refused_while_store_is_unavailable() {
    let mut harness = Harness::new();
    harness.submit("a", job(vec![stage(1, 1)]));
    harness.owner.store_reached(harness.now, false);
    harness.advance(Duration::from_secs(1));

    let token = harness.cancel("a");

    assert!(matches!(
        harness.replies.get(&token),
        Some(JobReply::Refused { .. })
    ));
    assert_eq!(
        harness.status("a"),
        Some(JobReply::Status(JobState::Queued))
    );
}

#[test]
fn jobs_that_can_never_run_are_invalid() {
    let mut harness = Harness::new();
    let mut late = stage(1, 1);
    late.after = vec![1];

    for spec in [job(vec![]), job(vec![stage(0, 1)]), job(vec![late])] {
        let token = harness.submit("a", spec);
        assert!(matches!(
            harness.replies.get(&token),
            Some(JobReply::Invalid { .. })
        ));
    }
    assert_eq!(harness.stored(JOB_PREFIX), 0);
}

#[test]
fn ended_jobs_are_deleted_with_record_and_progress() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 16);
    harness.submit("a", job(vec![stage(1, 1)]));
    harness.sync_all();
    harness.end_all(EndKind::Done);
    assert_eq!(
        harness.status("a"),
        Some(JobReply::Status(JobState::Completed))
    );

    harness.advance(Duration::from_secs(121));
    harness.settle();

    assert_eq!(harness.stored(JOB_PREFIX), 0);
    assert_eq!(harness.stored(PROGRESS_PREFIX), 0);
}

#[test]
fn step_of_the_wall_clock_does_not_forget_an_ended_job() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 16);
    harness.submit("a", job(vec![stage(1, 1)]));
    harness.sync_all();
    harness.end_all(EndKind::Done);

    harness.unix_ms += 600_000;
    harness.settle();
    harness.submit("a", job(vec![stage(1, 1)]));
    harness.sync_all();

    assert_eq!(harness.running(), []);
    assert_eq!(
        harness.status("a"),
        Some(JobReply::Status(JobState::Completed))
    );
}

fn is_refused(harness: &Harness, token: u64) -> bool {
    let reply = harness.replies.get(&token);
    matches!(reply, Some(JobReply::Refused { retry_after_ms, .. }) if *retry_after_ms <= 1000)
}

/// Submits until all transactions that may be in flight at once are, and one more job.
fn submit_to_silent_store(harness: &mut Harness) -> (u64, u64) {
    harness.mode = StoreMode::Silent;
    let sent = harness.submit("sent", job(vec![stage(1, 1)]));
    for id in ["sent-2", "sent-3"] {
        harness.submit(id, job(vec![stage(1, 1)]));
    }
    (sent, harness.submit("unsent", job(vec![stage(1, 1)])))
}

/// The load: a store that holds all calls until they time out, while callers go on submitting.
#[test]
fn jobs_are_refused_as_soon_as_a_call_of_a_silent_store_times_out() {
    let mut harness = Harness::new();
    let (sent, unsent) = submit_to_silent_store(&mut harness);
    harness.advance(Duration::from_millis(700));

    harness.time_out();
    let new = harness.submit("new", job(vec![stage(1, 1)]));

    assert!(is_refused(&harness, unsent));
    assert!(is_refused(&harness, new));
    assert_eq!(harness.replies.get(&sent), None, "it may be stored");
    harness.mode = StoreMode::Up;
    harness.pass(Duration::from_secs(1), &[]);
    assert_eq!(harness.replies.get(&sent), Some(&JobReply::Accepted));
    assert_eq!(harness.stored(JOB_PREFIX), 3);
}

#[test]
fn lost_response_of_a_store_that_answers_other_calls_refuses_nothing() {
    let mut harness = Harness::new();
    submit_to_silent_store(&mut harness);
    harness.advance(Duration::from_millis(600));
    harness.owner.store_reached(harness.now, true);
    harness.advance(Duration::from_millis(100));

    harness.time_out();
    let new = harness.submit("new", job(vec![stage(1, 1)]));

    assert_eq!(harness.replies.get(&new), None);
}

#[test]
fn owner_that_steps_down_refuses_what_it_did_not_send_and_is_unsure_of_the_rest() {
    let mut harness = Harness::new();
    let (sent, unsent) = submit_to_silent_store(&mut harness);

    harness.step_down();

    assert!(is_refused(&harness, unsent));
    assert_eq!(harness.replies.get(&sent), Some(&JobReply::Unsure));
}

#[test]
fn owner_that_is_suspended_refuses_what_it_did_not_send() {
    let mut harness = Harness::new();
    let (sent, unsent) = submit_to_silent_store(&mut harness);

    harness.pause();

    assert!(is_refused(&harness, unsent));
    assert_eq!(harness.replies.get(&sent), None);
    harness.mode = StoreMode::Up;
    harness.time_out();
    harness.pass(Duration::from_secs(1), &[]);
    assert_eq!(harness.stored(JOB_PREFIX), 3);
}
