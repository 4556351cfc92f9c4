//! What callers are told, and what is stored by then.

mod rig;

use base::prelude::*;
use jobs::owner::{JOB_PREFIX, PROGRESS_PREFIX};
use jobs::report::EndKind;
use jobs::{JobState, Told};

use rig::{Rig, StoreMode, job, stage, write_owner_key};

#[test]
fn a_job_is_accepted_once_its_record_is_stored() {
    let mut rig = Rig::new();

    let token = rig.submit("a", job(vec![stage(1, 1)]));

    assert_eq!(rig.told.get(&token), Some(&Told::Accepted));
    assert_eq!(rig.stored(JOB_PREFIX), 1);
}

#[test]
fn the_same_id_again_is_the_same_job() {
    let mut rig = Rig::new();
    rig.submit("a", job(vec![stage(1, 1)]));

    let again = rig.submit("a", job(vec![stage(5, 1)]));

    assert_eq!(rig.told.get(&again), Some(&Told::Accepted));
    rig.add_vm("vm", 16);
    rig.sync_all();
    assert_eq!(rig.running().len(), 1);
}

#[test]
fn a_lost_answer_of_the_store_is_resolved_and_not_refused() {
    let mut rig = Rig::new();
    rig.mode = StoreMode::LosesAnswers;
    let token = rig.submit("a", job(vec![stage(1, 1)]));
    assert_eq!(rig.told.get(&token), None, "the outcome is not known");

    rig.mode = StoreMode::Up;
    rig.advance(Duration::from_secs(1));
    rig.settle();

    assert_eq!(rig.told.get(&token), Some(&Told::Accepted));
    assert_eq!(rig.stored(JOB_PREFIX), 1);
}

#[test]
fn a_job_refused_while_the_store_is_away_is_never_stored() {
    let mut rig = Rig::new();
    rig.mode = StoreMode::Away;
    let sent = rig.submit("sent", job(vec![stage(1, 1)]));
    rig.advance(Duration::from_millis(500));
    rig.settle();

    let refused = rig.submit("refused", job(vec![stage(1, 1)]));

    assert!(
        matches!(rig.told.get(&refused), Some(Told::Refused { retry_after_ms, .. }) if *retry_after_ms > 0)
    );
    assert_eq!(rig.told.get(&sent), None, "it may have been carried out");
    rig.mode = StoreMode::Up;
    rig.advance(Duration::from_secs(1));
    rig.settle();
    assert_eq!(rig.told.get(&sent), Some(&Told::Accepted));
    assert_eq!(rig.stored(JOB_PREFIX), 1, "only the one that was sent");
}

#[test]
fn a_deposed_owner_accepts_nothing() {
    let mut rig = Rig::new();
    write_owner_key(&mut rig);

    let token = rig.submit("a", job(vec![stage(1, 1)]));

    assert!(rig.deposed.is_some());
    assert_eq!(rig.told.get(&token), None);
    assert_eq!(rig.stored(JOB_PREFIX), 0);
}

#[test]
fn a_job_is_shown_completed_only_once_its_last_end_is_stored() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 16);
    rig.submit("a", job(vec![stage(2, 1)]));
    rig.sync_all();
    rig.mode = StoreMode::Away;
    rig.end_all(EndKind::Done);
    assert_eq!(rig.status("a"), Some(Told::Status(JobState::Running)));
    assert_eq!(rig.vm("vm").stored_ends, 0, "ends are not acknowledged yet");

    rig.mode = StoreMode::Up;
    rig.advance(Duration::from_secs(1));
    rig.settle();
    rig.sync_all();

    assert_eq!(rig.status("a"), Some(Told::Status(JobState::Completed)));
    assert_eq!(rig.vm("vm").stored_ends, 2);
    assert_eq!(rig.stored(PROGRESS_PREFIX), 1);
}

#[test]
fn an_unknown_job_is_looked_for_in_the_store_before_it_is_called_gone() {
    let mut rig = Rig::new();

    let told = rig.status("nobody");

    assert_eq!(told, None);
    assert_eq!(rig.looked, [JobId::from("nobody")]);
}

#[test]
fn a_cancellation_is_told_once_stored_and_stops_all_runs() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 16);
    rig.submit("a", job(vec![stage(3, 1)]));
    rig.sync_all();
    assert_eq!(rig.running().len(), 3);

    let token = rig.cancel("a");
    rig.sync_all();

    assert_eq!(rig.told.get(&token), Some(&Told::Cancelled));
    assert!(rig.running().is_empty());
    rig.take_over();
    rig.sync_all();
    assert!(rig.running().is_empty(), "the next owner knows it too");
    assert_eq!(rig.status("a"), Some(Told::Status(JobState::Cancelled)));
}

#[test]
fn a_cancellation_is_refused_while_the_store_is_away() {
    let mut rig = Rig::new();
    rig.submit("a", job(vec![stage(1, 1)]));
    rig.owner.store_reached(rig.now, false);
    rig.advance(Duration::from_secs(1));

    let token = rig.cancel("a");

    assert!(matches!(rig.told.get(&token), Some(Told::Refused { .. })));
    assert_eq!(rig.status("a"), Some(Told::Status(JobState::Queued)));
}

#[test]
fn jobs_that_can_never_run_are_invalid() {
    let mut rig = Rig::new();
    let mut late = stage(1, 1);
    late.after = vec![1];

    for spec in [job(vec![]), job(vec![stage(0, 1)]), job(vec![late])] {
        let token = rig.submit("a", spec);
        assert!(matches!(rig.told.get(&token), Some(Told::Invalid { .. })));
    }
    assert_eq!(rig.stored(JOB_PREFIX), 0);
}

#[test]
fn ended_jobs_are_forgotten_with_record_and_progress() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 16);
    rig.submit("a", job(vec![stage(1, 1)]));
    rig.sync_all();
    rig.end_all(EndKind::Done);
    assert_eq!(rig.status("a"), Some(Told::Status(JobState::Completed)));

    rig.advance(Duration::from_secs(121));
    rig.settle();

    assert_eq!(rig.stored(JOB_PREFIX), 0);
    assert_eq!(rig.stored(PROGRESS_PREFIX), 0);
}
