//! Ownership and commits, with replies lost and take-overs interrupted at each step.

mod harness;

use base::prelude::*;
use journal::{Change, Keys, LossReason, OwnerCfg, Record, RecordBody};
use ports::store::{Expect, StoreCall};

use harness::{CallOutcome, Harness, submitted};

const SECOND: Duration = Duration::from_secs(1);

fn owned(count: usize) -> Harness {
    let mut harness = Harness::new(count);
    harness.run_one(0, SECOND);
    assert_eq!(harness.owners(), [0]);
    harness
}

#[test]
fn lost_call_or_reply_of_a_write_neither_loses_nor_repeats_a_change() {
    for outcome in [CallOutcome::ReplyLost, CallOutcome::CallLost] {
        for failing in 0..12 {
            let mut harness = Harness::new(2);
            let mut once = |number: usize, call: &StoreCall| {
                let fails = call.is_write() && number == failing;
                if fails {
                    outcome
                } else {
                    CallOutcome::Answered
                }
            };

            harness.run(SECOND * 2, &mut once);
            let at = harness.owners()[0];
            let tickets = ["a", "b", "c"].map(|job| {
                let ticket = harness.submit(at, job);
                harness.run(SECOND, &mut once);
                ticket
            });
            harness.run(SECOND * 2, &mut once);

            assert_eq!(harness.owners(), [at], "write {failing} {outcome:?}");
            assert!(tickets.iter().all(|t| harness.nodes[at].has_committed(*t)));
            assert_eq!(harness.nodes[at].committed.len(), 3);
            assert_eq!(harness.nodes[at].losses, []);
        }
    }
}

#[test]
fn take_over_continues_after_a_lost_reply_to_the_claim() {
    let mut harness = Harness::new(1);

    harness.run(SECOND, |number, _| {
        if number == 1 {
            CallOutcome::ReplyLost
        } else {
            CallOutcome::Answered
        }
    });

    assert_eq!(harness.owners(), [0]);
    assert_eq!(harness.nodes[0].activations, 1);
}

#[test]
fn late_record_of_a_paused_owner_is_void() {
    let mut harness = owned(2);
    let ticket = harness.submit(0, "late");
    harness.tick(0);
    let stale = harness.nodes[0].waiting.remove(0);

    harness.run_one(1, SECOND * 8);
    let took_over = harness.owners();
    harness.make_call(0, &stale, CallOutcome::Answered);

    assert_eq!(took_over, [1]);
    assert_eq!(harness.owners(), [1]);
    assert!(!harness.nodes[0].has_committed(ticket));
    assert_eq!(harness.nodes[0].unknown, [ticket]);
    assert_eq!(harness.nodes[0].losses, [LossReason::LeaseEnd]);
    assert!(!harness.nodes[1].has_job("late"));
}

#[test]
fn record_written_before_the_barrier_is_applied_by_the_next_owner() {
    let mut harness = owned(2);
    let ticket = harness.submit(0, "landed");
    harness.tick(0);
    let sent = harness.nodes[0].waiting.remove(0);
    harness.make_call(0, &sent, CallOutcome::ReplyLost);

    harness.run_one(1, SECOND * 8);
    harness.tick(0);

    assert!(harness.nodes[1].has_job("landed"));
    assert_eq!(harness.nodes[0].unknown, [ticket]);
}

#[test]
fn late_record_of_a_paused_owner_is_void_after_the_barrier_was_trimmed() {
    let mut harness = Harness::with(2, 1);
    harness.run_one(0, SECOND);
    let ticket = harness.submit(0, "stale");
    harness.tick(0);
    let at = harness.nodes[0]
        .waiting
        .iter()
        .position(|w| matches!(w.call, StoreCall::Put { lease: None, .. }));
    let stale = harness.nodes[0].waiting.remove(at.unwrap());

    harness.run_one(1, SECOND * 8);
    for job in ["x", "y", "z"] {
        harness.submit(1, job);
        harness.run_one(1, SECOND);
    }
    harness.make_call(0, &stale, CallOutcome::Answered);
    harness.run_one(1, SECOND * 3);
    let mut next = Harness::with(1, 1);
    std::mem::swap(&mut next.store, &mut harness.store);
    next.now = harness.now + SECOND * 10;
    next.run_without_faults(SECOND * 8);

    assert!(!harness.nodes[0].has_committed(ticket));
    assert_eq!(next.owners(), [0]);
    assert!(!next.nodes[0].has_job("stale"));
    assert!(["x", "y", "z"].iter().all(|job| next.nodes[0].has_job(job)));
}

#[test]
fn two_owners_never_act_at_the_same_time() {
    for pause in 0..16 {
        let mut harness = owned(2);
        harness.submit(0, "a");
        let time = SECOND * pause / 2;

        harness.run_one(1, time);
        let awake = harness.owners();
        harness.run_without_faults(SECOND * 10);

        assert!(awake.len() <= 1, "pause {time:?}");
        assert_eq!(harness.owners().len(), 1);
    }
}

#[test]
fn superseded_owner_drops_the_change() {
    let mut harness = owned(1);
    let foreign = StoreCall::Put {
        key: Keys::new(ShardId(7)).log(Seq(2)),
        value: vec![1, 0, 9].into(),
        expect: Expect::Absent,
        lease: None,
    };
    harness.store.call(harness.now, &foreign).unwrap();

    let ticket = harness.submit(0, "a");
    harness.run_without_faults(SECOND / 2);

    assert_eq!(harness.nodes[0].dropped, [ticket]);
    assert_eq!(harness.nodes[0].losses, [LossReason::Another]);
}

#[test]
fn malformed_record_stops_recovery_and_leaves_the_log_unchanged() {
    let mut harness = owned(2);
    harness.submit(0, "a");
    harness.run_one(0, SECOND);
    let future = StoreCall::Put {
        key: Keys::new(ShardId(7)).log(Seq(3)),
        value: vec![9, 9, 1, 2, 3].into(),
        expect: Expect::Absent,
        lease: None,
    };
    harness.store.call(harness.now, &future).unwrap();
    let before = log_keys(&mut harness);

    harness.run_one(1, SECOND * 20);

    let stuck = harness.nodes[1].owner.stuck().map(Error::kind);
    assert_eq!(stuck, Some(ErrorKind::Malformed));
    assert_eq!(log_keys(&mut harness), before);
}

#[test]
fn resigning_owner_commits_pending_changes_and_frees_the_shard_at_once() {
    let mut harness = owned(2);
    let ticket = harness.submit(0, "a");
    let now = harness.now;
    harness.nodes[0].owner.resign(now, true);

    harness.run_without_faults(SECOND);

    assert!(harness.nodes[0].has_committed(ticket));
    assert_eq!(harness.nodes[0].losses, [LossReason::Resignation]);
    assert!(harness.nodes[0].owner.has_resigned());
    assert_eq!(harness.owners(), [1]);
    assert!(harness.nodes[1].has_job("a"));
}

#[test]
fn outage_longer_than_the_lease_ends_ownership_until_the_store_is_back() {
    let mut harness = owned(1);
    harness.submit(0, "a");
    harness.run_without_faults(SECOND);

    harness.run(SECOND * 300, |_, _| CallOutcome::CallLost);
    let during = harness.owners();
    harness.run_without_faults(SECOND * 8);

    assert_eq!(during, Vec::<usize>::new());
    assert_eq!(harness.owners(), [0]);
    assert!(harness.nodes[0].has_job("a"));
}

#[test]
fn many_changes_are_split_into_records_below_the_limit_of_the_store() {
    let mut harness = owned(1);
    for job in 0..4_000 {
        let Change::Submitted {
            job,
            mut spec,
            at_ms,
        } = submitted(&format!("job-{job}"))
        else {
            return;
        };
        spec.payload = "x".repeat(1_000).into();
        let now = harness.now;
        harness.nodes[0]
            .owner
            .propose(now, Change::Submitted { job, spec, at_ms });
    }

    harness.run_without_faults(SECOND * 3);

    assert_eq!(harness.nodes[0].committed.len(), 4_000);
}

#[test]
fn change_too_large_for_a_record_is_dropped() {
    let mut harness = owned(1);
    let Change::Submitted {
        job,
        mut spec,
        at_ms,
    } = submitted("huge")
    else {
        return;
    };
    spec.payload = "x".repeat(200_000).into();
    let now = harness.now;

    let ticket = harness.nodes[0]
        .owner
        .propose(now, Change::Submitted { job, spec, at_ms });
    harness.run_without_faults(SECOND);

    assert_eq!(harness.nodes[0].dropped, [ticket]);
}

#[test]
fn standby_writes_nothing_while_another_owns() {
    let mut harness = owned(2);
    let before = harness.writes;

    harness.run_one(1, OwnerCfg::LEASE_TTL / 2);

    assert_eq!(harness.writes, before);
}

#[test]
fn free_shard_goes_to_the_entry_without_a_claim_delay() {
    let mut harness = Harness::new(2);
    harness.nodes[0].owner.set_claim_delay(SECOND);

    harness.run_without_faults(SECOND * 4);

    assert_eq!(harness.owners(), [1]);
}

#[test]
fn only_entry_claims_a_free_shard_after_its_claim_delay() {
    let mut harness = Harness::new(1);
    harness.nodes[0].owner.set_claim_delay(SECOND);

    harness.run_without_faults(SECOND / 2);
    let early = harness.owners();
    harness.run_without_faults(SECOND * 2);

    assert_eq!(early, Vec::<usize>::new());
    assert_eq!(harness.owners(), [0]);
}

fn log_keys(harness: &mut Harness) -> usize {
    let call = StoreCall::List {
        prefix: Keys::new(ShardId(7)).log_prefix(),
        after: None,
        limit: 100,
    };
    match harness.store.call(harness.now, &call) {
        Ok(ports::store::StoreReply::Listed(found)) => found.len(),
        _ => 0,
    }
}

#[test]
fn record_of_a_lower_epoch_after_a_barrier_is_void() {
    let mut harness = owned(2);
    let record = |seq, epoch, body| Record {
        epoch: Epoch(epoch),
        seq: Seq(seq),
        writer: "entry-9".into(),
        nonce: Nonce(seq),
        body,
    };
    let last = log_keys(&mut harness) as u64;
    let stale = RecordBody::Changes(vec![submitted("stale")]);
    let records = [
        record(last + 1, 5, RecordBody::Barrier),
        record(last + 2, 1, stale),
    ];
    for record in records {
        let put = StoreCall::Put {
            key: Keys::new(ShardId(7)).log(record.seq),
            value: record.encode().unwrap(),
            expect: Expect::Absent,
            lease: None,
        };
        harness.store.call(harness.now, &put).unwrap();
    }

    harness.run_one(1, SECOND * 10);

    assert_eq!(harness.owners(), [1]);
    assert!(!harness.nodes[1].has_job("stale"));
}
