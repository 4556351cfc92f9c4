//! Ownership and commits, with each answer lost and each step interrupted.

mod rig;

use base::prelude::*;
use journal::{Change, DeposedBy, Keys, OwnerCfg, Record, RecordBody};
use ports::store::{Expect, StoreCall};

use rig::{Fate, Rig, submitted};

const SECOND: Duration = Duration::from_secs(1);

fn owned(count: usize) -> Rig {
    let mut rig = Rig::new(count);
    rig.run_one(0, SECOND);
    assert_eq!(rig.owners(), [0]);
    rig
}

#[test]
fn each_lost_answer_of_a_write_loses_and_doubles_nothing() {
    for fate in [Fate::AnswerLost, Fate::CallLost] {
        for failing in 0..12 {
            let mut rig = Rig::new(2);
            let mut once = |number: usize, call: &StoreCall| {
                let fails = call.is_write() && number == failing;
                if fails { fate } else { Fate::Answered }
            };

            rig.run(SECOND * 2, &mut once);
            let at = rig.owners()[0];
            let tickets = ["a", "b", "c"].map(|job| {
                let ticket = rig.submit(at, job);
                rig.run(SECOND, &mut once);
                ticket
            });
            rig.run(SECOND * 2, &mut once);

            assert_eq!(rig.owners(), [at], "write {failing} {fate:?}");
            assert!(tickets.iter().all(|t| rig.nodes[at].has_committed(*t)));
            assert_eq!(rig.nodes[at].committed.len(), 3);
            assert_eq!(rig.nodes[at].deposed, []);
        }
    }
}

#[test]
fn take_over_goes_on_after_a_lost_answer_to_the_claim() {
    let mut rig = Rig::new(1);

    rig.run(SECOND, |number, _| {
        if number == 1 {
            Fate::AnswerLost
        } else {
            Fate::Answered
        }
    });

    assert_eq!(rig.owners(), [0]);
    assert_eq!(rig.nodes[0].activations, 1);
}

#[test]
fn paused_owner_learns_at_its_wake_and_its_record_does_not_count() {
    let mut rig = owned(2);
    let ticket = rig.submit(0, "late");
    rig.tick(0);
    let stale = rig.nodes[0].waiting.remove(0);

    rig.run_one(1, SECOND * 8);
    let took_over = rig.owners();
    rig.make(0, &stale, Fate::Answered);

    assert_eq!(took_over, [1]);
    assert_eq!(rig.owners(), [1]);
    assert!(!rig.nodes[0].has_committed(ticket));
    assert_eq!(rig.nodes[0].unknown, [ticket]);
    assert_eq!(rig.nodes[0].deposed, [DeposedBy::LeaseEnd]);
    assert!(!rig.nodes[1].has_job("late"));
}

#[test]
fn record_that_landed_before_the_barrier_counts_for_the_next_owner() {
    let mut rig = owned(2);
    let ticket = rig.submit(0, "landed");
    rig.tick(0);
    let sent = rig.nodes[0].waiting.remove(0);
    rig.make(0, &sent, Fate::AnswerLost);

    rig.run_one(1, SECOND * 8);
    rig.tick(0);

    assert!(rig.nodes[1].has_job("landed"));
    assert_eq!(rig.nodes[0].unknown, [ticket]);
}

#[test]
fn create_behind_a_trimmed_barrier_is_not_acted_on() {
    let mut rig = Rig::with(2, 1);
    rig.run_one(0, SECOND);
    let ticket = rig.submit(0, "stale");
    rig.tick(0);
    let at = rig.nodes[0]
        .waiting
        .iter()
        .position(|w| matches!(w.call, StoreCall::Put { lease: None, .. }));
    let stale = rig.nodes[0].waiting.remove(at.unwrap());

    rig.run_one(1, SECOND * 8);
    for job in ["x", "y", "z"] {
        rig.submit(1, job);
        rig.run_one(1, SECOND);
    }
    rig.make(0, &stale, Fate::Answered);
    rig.run_one(1, SECOND * 3);
    let mut next = Rig::with(1, 1);
    std::mem::swap(&mut next.store, &mut rig.store);
    next.now = rig.now + SECOND * 10;
    next.run_well(SECOND * 8);

    assert!(!rig.nodes[0].has_committed(ticket));
    assert_eq!(next.owners(), [0]);
    assert!(!next.nodes[0].has_job("stale"));
    assert!(["x", "y", "z"].iter().all(|job| next.nodes[0].has_job(job)));
}

#[test]
fn two_owners_never_act_at_once() {
    for pause in 0..16 {
        let mut rig = owned(2);
        rig.submit(0, "a");
        let time = SECOND * pause / 2;

        rig.run_one(1, time);
        let awake = rig.owners();
        rig.run_well(SECOND * 10);

        assert!(awake.len() <= 1, "pause {time:?}");
        assert_eq!(rig.owners().len(), 1);
    }
}

#[test]
fn superseded_owner_says_that_nothing_was_committed() {
    let mut rig = owned(1);
    let foreign = StoreCall::Put {
        key: Keys::new(ShardId(7)).log(Seq(2)),
        value: vec![1, 0, 9].into(),
        expect: Expect::Absent,
        lease: None,
    };
    rig.store.call(rig.now, &foreign).unwrap();

    let ticket = rig.submit(0, "a");
    rig.run_well(SECOND / 2);

    assert_eq!(rig.nodes[0].dropped, [ticket]);
    assert_eq!(rig.nodes[0].deposed, [DeposedBy::Another]);
}

#[test]
fn unreadable_record_stops_the_shard_and_keeps_the_log() {
    let mut rig = owned(2);
    rig.submit(0, "a");
    rig.run_one(0, SECOND);
    let future = StoreCall::Put {
        key: Keys::new(ShardId(7)).log(Seq(3)),
        value: vec![9, 9, 1, 2, 3].into(),
        expect: Expect::Absent,
        lease: None,
    };
    rig.store.call(rig.now, &future).unwrap();
    let before = log_keys(&mut rig);

    rig.run_one(1, SECOND * 20);

    let stuck = rig.nodes[1].owner.stuck().map(Error::kind);
    assert_eq!(stuck, Some(ErrorKind::Malformed));
    assert_eq!(log_keys(&mut rig), before);
}

#[test]
fn resigned_owner_commits_first_and_leaves_at_once() {
    let mut rig = owned(2);
    let ticket = rig.submit(0, "a");
    let now = rig.now;
    rig.nodes[0].owner.resign(now, true);

    rig.run_well(SECOND);

    assert!(rig.nodes[0].has_committed(ticket));
    assert_eq!(rig.nodes[0].deposed, [DeposedBy::Resignation]);
    assert!(rig.nodes[0].owner.has_resigned());
    assert_eq!(rig.owners(), [1]);
    assert!(rig.nodes[1].has_job("a"));
}

#[test]
fn outage_longer_than_the_lease_deposes_and_the_shard_is_taken_again() {
    let mut rig = owned(1);
    rig.submit(0, "a");
    rig.run_well(SECOND);

    rig.run(SECOND * 300, |_, _| Fate::CallLost);
    let during = rig.owners();
    rig.run_well(SECOND * 8);

    assert_eq!(during, Vec::<usize>::new());
    assert_eq!(rig.owners(), [0]);
    assert!(rig.nodes[0].has_job("a"));
}

#[test]
fn record_stays_below_the_limit_of_the_store() {
    let mut rig = owned(1);
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
        let now = rig.now;
        rig.nodes[0]
            .owner
            .propose(now, Change::Submitted { job, spec, at_ms });
    }

    rig.run_well(SECOND * 3);

    assert_eq!(rig.nodes[0].committed.len(), 4_000);
}

#[test]
fn change_too_large_for_a_record_is_dropped() {
    let mut rig = owned(1);
    let Change::Submitted {
        job,
        mut spec,
        at_ms,
    } = submitted("huge")
    else {
        return;
    };
    spec.payload = "x".repeat(200_000).into();
    let now = rig.now;

    let ticket = rig.nodes[0]
        .owner
        .propose(now, Change::Submitted { job, spec, at_ms });
    rig.run_well(SECOND);

    assert_eq!(rig.nodes[0].dropped, [ticket]);
}

#[test]
fn standby_writes_nothing_while_another_owns() {
    let mut rig = owned(2);
    let before = rig.writes;

    rig.run_one(1, OwnerCfg::LEASE_TTL / 2);

    assert_eq!(rig.writes, before);
}

#[test]
fn free_shard_is_left_to_the_entry_that_owns_fewer() {
    let mut rig = Rig::new(2);
    rig.nodes[0].owner.set_claim_delay(SECOND);

    rig.run_well(SECOND * 4);

    assert_eq!(rig.owners(), [1]);
}

#[test]
fn free_shard_is_claimed_after_the_delay_by_an_entry_alone() {
    let mut rig = Rig::new(1);
    rig.nodes[0].owner.set_claim_delay(SECOND);

    rig.run_well(SECOND / 2);
    let early = rig.owners();
    rig.run_well(SECOND * 2);

    assert_eq!(early, Vec::<usize>::new());
    assert_eq!(rig.owners(), [0]);
}

fn log_keys(rig: &mut Rig) -> usize {
    let call = StoreCall::List {
        prefix: Keys::new(ShardId(7)).log_prefix(),
        after: None,
        limit: 100,
    };
    match rig.store.call(rig.now, &call) {
        Ok(ports::store::StoreReply::Listed(found)) => found.len(),
        _ => 0,
    }
}

#[test]
fn record_of_a_lower_term_behind_a_barrier_is_void() {
    let mut rig = owned(2);
    let record = |seq, epoch, body| Record {
        epoch: Epoch(epoch),
        seq: Seq(seq),
        writer: "entry-9".into(),
        nonce: Nonce(seq),
        body,
    };
    let last = log_keys(&mut rig) as u64;
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
        rig.store.call(rig.now, &put).unwrap();
    }

    rig.run_one(1, SECOND * 10);

    assert_eq!(rig.owners(), [1]);
    assert!(!rig.nodes[1].has_job("stale"));
}
