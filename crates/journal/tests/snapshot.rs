//! Snapshots, trimming and retention, interrupted at each write.

mod rig;

use base::prelude::*;
use journal::{Change, JOB_RETENTION, Keys, MAX_ENDED, MIN_ENDED, ShardState};
use ports::store::{StoreCall, StoreReply};
use wire::{JobRef, TaskEnd};

use rig::{Fate, Rig, submitted};

const SECOND: Duration = Duration::from_secs(1);

/// Submits jobs one record each, so that the log outgrows the limit often.
fn submit_all(rig: &mut Rig, fate: &mut impl FnMut(usize, &StoreCall) -> Fate) -> Vec<String> {
    let mut kept = Vec::new();
    for number in 0..12 {
        let Some(&at) = rig.owners().first() else {
            break;
        };
        let job = format!("job-{number}");
        let ticket = rig.submit(at, &job);
        rig.run(SECOND / 2, &mut *fate);
        if rig.nodes[at].has_committed(ticket) {
            kept.push(job);
        }
    }
    kept
}

/// Recovers the shard from the store in a fresh process.
fn recovered(mut rig: Rig) -> Rig {
    let mut next = Rig::with(1, 1);
    std::mem::swap(&mut next.store, &mut rig.store);
    next.now = rig.now + SECOND * 10;
    next.run_well(SECOND * 3);
    next
}

/// Returns the sizes of the values under a prefix.
fn sizes(rig: &mut Rig, prefix: Name) -> Vec<usize> {
    let call = StoreCall::List {
        prefix,
        after: None,
        limit: 1_000,
    };
    match rig.store.call(rig.now, &call) {
        Ok(StoreReply::Listed(found)) => found.iter().map(|kv| kv.value.len()).collect(),
        _ => Vec::new(),
    }
}

#[test]
fn log_and_chunks_are_trimmed_behind_the_snapshot() {
    let mut rig = Rig::with(1, 1);
    rig.run_well(SECOND);

    submit_all(&mut rig, &mut |_, _| Fate::Answered);
    rig.run_well(SECOND * 2);

    let shard = Keys::new(ShardId(7));
    let log = sizes(&mut rig, shard.log_prefix());
    let chunks = sizes(&mut rig, "shard/7/chunk/".into());
    assert_eq!(chunks.len(), 1);
    // The log grows as large as the snapshot before the next one.
    let newest = log.last().copied().unwrap_or_default();
    assert!(log.iter().sum::<usize>() <= chunks[0] + newest);
}

#[test]
fn crash_at_each_write_of_snapshots_and_trims_loses_nothing() {
    for crash_at in 4..60 {
        for fate in [Fate::CallLost, Fate::AnswerLost] {
            let mut rig = Rig::with(1, 1);
            let mut crash = |number: usize, _: &StoreCall| match number {
                n if n < crash_at => Fate::Answered,
                n if n == crash_at => fate,
                _ => Fate::CallLost,
            };
            rig.run(SECOND, &mut crash);

            let kept = submit_all(&mut rig, &mut crash);
            let next = recovered(rig);

            assert_eq!(next.owners(), [0], "crash at write {crash_at}");
            let lost: Vec<_> = kept.iter().filter(|j| !next.nodes[0].has_job(j)).collect();
            assert!(lost.is_empty(), "write {crash_at} {fate:?}: lost {lost:?}");
        }
    }
}

#[test]
fn snapshot_in_many_chunks_recovers_the_same_state() {
    let mut rig = Rig::with(1, 1);
    rig.run_well(SECOND);
    for number in 0..4_000 {
        rig.submit(0, &format!("job-{number}"));
    }
    let big = submitted("one-more");
    let now = rig.now;
    rig.nodes[0].owner.propose(now, big);
    rig.run_well(SECOND * 5);
    let before = rig.nodes[0].owner.state().clone();

    let next = recovered(rig);

    assert_eq!(next.nodes[0].owner.state(), &before);
}

#[test]
fn ended_job_is_recognised_until_its_retention_is_over() {
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
fn ended_jobs_are_bounded_in_number() {
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
