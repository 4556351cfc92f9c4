//! Snapshots, trimming and retention, with a crash at each write.

mod harness;

use base::prelude::*;
use journal::{Change, JOB_RETENTION, Keys, MAX_ENDED, MIN_ENDED, ShardState};
use ports::store::{StoreCall, StoreReply};
use wire::{JobRef, TaskEnd};

use harness::{CallOutcome, Harness, submitted};

const SECOND: Duration = Duration::from_secs(1);

/// Submits jobs in one record each, so that the log often grows past the size for a snapshot.
fn submit_all(
    harness: &mut Harness,
    outcome: &mut impl FnMut(usize, &StoreCall) -> CallOutcome,
) -> Vec<String> {
    let mut committed = Vec::new();
    for number in 0..12 {
        let Some(&at) = harness.owners().first() else {
            break;
        };
        let job = format!("job-{number}");
        let ticket = harness.submit(at, &job);
        harness.run(SECOND / 2, &mut *outcome);
        if harness.nodes[at].has_committed(ticket) {
            committed.push(job);
        }
    }
    committed
}

/// Recovers the shard from the store in a new process.
fn recovered(mut harness: Harness) -> Harness {
    let mut next = Harness::with(1, 1);
    std::mem::swap(&mut next.store, &mut harness.store);
    next.now = harness.now + SECOND * 10;
    next.run_without_faults(SECOND * 3);
    next
}

/// Returns the sizes of the values under a prefix.
fn sizes(harness: &mut Harness, prefix: Name) -> Vec<usize> {
    let call = StoreCall::List {
        prefix,
        after: None,
        limit: 1_000,
    };
    match harness.store.call(harness.now, &call) {
        Ok(StoreReply::Listed(found)) => found.iter().map(|kv| kv.value.len()).collect(),
        _ => Vec::new(),
    }
}

#[test]
fn log_and_old_chunks_are_trimmed_after_a_snapshot() {
    let mut harness = Harness::with(1, 1);
    harness.run_without_faults(SECOND);

    submit_all(&mut harness, &mut |_, _| CallOutcome::Answered);
    harness.run_without_faults(SECOND * 2);

    let shard = Keys::new(ShardId(7));
    let log = sizes(&mut harness, shard.log_prefix());
    let chunks = sizes(&mut harness, "shard/7/chunk/".into());
    assert_eq!(chunks.len(), 1);
    // The next snapshot is written once the log is as large as the last one.
    let newest = log.last().copied().unwrap_or_default();
    assert!(log.iter().sum::<usize>() <= chunks[0] + newest);
}

#[test]
fn crash_at_each_write_of_snapshots_and_trims_loses_nothing() {
    for crash_at in 4..60 {
        for outcome in [CallOutcome::CallLost, CallOutcome::ReplyLost] {
            let mut harness = Harness::with(1, 1);
            let mut crash = |number: usize, _: &StoreCall| match number {
                n if n < crash_at => CallOutcome::Answered,
                n if n == crash_at => outcome,
                _ => CallOutcome::CallLost,
            };
            harness.run(SECOND, &mut crash);

            let committed = submit_all(&mut harness, &mut crash);
            let next = recovered(harness);

            assert_eq!(next.owners(), [0], "crash at write {crash_at}");
            let lost: Vec<_> = committed
                .iter()
                .filter(|j| !next.nodes[0].has_job(j))
                .collect();
            assert!(
                lost.is_empty(),
                "write {crash_at} {outcome:?}: lost {lost:?}"
            );
        }
    }
}

#[test]
fn snapshot_in_many_chunks_recovers_the_same_state() {
    let mut harness = Harness::with(1, 1);
    harness.run_without_faults(SECOND);
    for number in 0..4_000 {
        harness.submit(0, &format!("job-{number}"));
    }
    let big = submitted("one-more");
    let now = harness.now;
    harness.nodes[0].owner.propose(now, big);
    harness.run_without_faults(SECOND * 5);
    let before = harness.nodes[0].owner.state().clone();

    let next = recovered(harness);

    assert_eq!(next.nodes[0].owner.state(), &before);
}

#[test]
fn ended_job_is_recognised_until_its_retention_ends() {
    let mut state = ShardState::default();
    for number in 0..=MIN_ENDED {
        finish(&mut state, &format!("job-{number}"));
    }
    let at = |time: Duration| Change::Clock {
        at_ms: time.as_millis() as u64,
    };
    let first = JobRef::Key("proofs".into(), "job-0".into());

    state.apply(&at(JOB_RETENTION));
    let known = state.find(&first).is_some();
    state.apply(&at(JOB_RETENTION + SECOND));

    assert!(known);
    assert!(state.find(&first).is_none());
    assert_eq!(state.jobs().len(), MIN_ENDED);
}

#[test]
fn number_of_ended_jobs_is_bounded() {
    let mut state = ShardState::default();
    for number in 0..MAX_ENDED + 10 {
        finish(&mut state, &format!("job-{number}"));
    }

    state.apply(&Change::Clock { at_ms: 1 });

    assert_eq!(state.jobs().len(), MAX_ENDED);
}

fn finish(state: &mut ShardState, job: &str) {
    let key = TaskKey {
        job: job.into(),
        attempt: Attempt(1),
    };
    state.apply(&submitted(job));
    state.apply(&Change::Assigned {
        key: key.clone(),
        worker: "worker-1".into(),
        granted: Resources::new(4, 1_024, 0),
    });
    state.apply(&Change::Ended {
        key,
        end: TaskEnd::Finished,
    });
}
