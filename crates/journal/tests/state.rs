//! Applying committed changes to a job, including stale and repeated ones.

mod harness;

use base::prelude::*;
use journal::{Change, JobState, ShardState};
use wire::{JobPhase, JobRef, TaskEnd};

use harness::submitted;

fn key(attempt: u64) -> TaskKey {
    TaskKey {
        job: "a".into(),
        attempt: Attempt(attempt),
    }
}

fn assigned(attempt: u64) -> Change {
    Change::Assigned {
        key: key(attempt),
        worker: format!("worker-{attempt}").into(),
        granted: Resources::new(4, 1_024, 0),
    }
}

fn finished(attempt: u64) -> Change {
    Change::Ended {
        key: key(attempt),
        end: TaskEnd::Finished,
    }
}

fn state(changes: &[Change]) -> ShardState {
    let mut state = ShardState::default();
    for change in changes {
        state.apply(change);
    }
    state
}

fn phase(state: &ShardState) -> JobPhase {
    let job = state.find(&JobRef::Id("a".into())).unwrap();
    job.status(|| "queued".into()).phase
}

#[test]
fn end_of_an_earlier_attempt_is_ignored() {
    let lost = Change::Lost { key: key(1) };

    let state = state(&[submitted("a"), assigned(1), lost, assigned(2), finished(1)]);

    let job = state.job(&"a".into()).unwrap();
    assert!(matches!(job.state, JobState::Assigned { .. }), "{job:?}");
    assert_eq!(job.attempt, Attempt(2));
}

#[test]
fn second_end_of_an_attempt_is_ignored() {
    let failed = Change::Ended {
        key: key(1),
        end: TaskEnd::Failed { error: "x".into() },
    };

    let state = state(&[submitted("a"), assigned(1), finished(1), failed]);

    assert_eq!(phase(&state), JobPhase::Finished);
}

#[test]
fn cancellation_after_the_end_changes_nothing() {
    let cancelled = Change::Cancelled { job: "a".into() };

    let state = state(&[submitted("a"), assigned(1), finished(1), cancelled]);

    assert_eq!(phase(&state), JobPhase::Finished);
}

#[test]
fn resubmission_under_the_same_key_creates_no_second_job() {
    let Change::Submitted { spec, at_ms, .. } = submitted("a") else {
        unreachable!("a submission");
    };
    let again = Change::Submitted {
        job: "b".into(),
        spec,
        at_ms,
    };

    let state = state(&[submitted("a"), again]);

    assert_eq!(state.jobs().len(), 1);
    assert!(state.job(&"b".into()).is_none());
}
