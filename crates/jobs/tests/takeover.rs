//! What a new owner may do, and when.

mod rig;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobState, RouteTerms, Told};

use rig::{GRACE, Rig, StoreMode, WORKER_LEASE, job, stage, terms};

fn busy_rig() -> Rig {
    let mut rig = Rig::new();
    rig.add_vm("one", 16);
    rig.add_vm("two", 16);
    rig.submit("a", job(vec![stage(4, 1)]));
    rig.sync_all();
    assert_eq!(rig.running().len(), 4);
    rig
}

#[test]
fn a_new_owner_takes_over_what_runs() {
    let mut rig = busy_rig();
    let before = rig.running();

    rig.take_over();
    rig.sync_all();

    assert_eq!(rig.running(), before, "nothing is started twice or stopped");
    rig.end_all(EndKind::Done);
    assert_eq!(rig.status("a"), Some(Told::Status(JobState::Completed)));
}

#[test]
fn a_new_owner_starts_nothing_that_a_silent_worker_may_run() {
    let mut rig = busy_rig();
    rig.take_over();
    for _ in 0..20 {
        rig.sync("one");
    }
    let on_two = rig.vm("two").running.len();
    assert_eq!(rig.running().len(), 4, "tasks of the silent worker wait");

    rig.advance(GRACE + WORKER_LEASE.mul_f64(1.02) + Duration::from_millis(200));
    rig.sync("one");
    rig.sync("one");

    assert_eq!(
        rig.vm("one").running.len(),
        4,
        "its lease has lapsed by now"
    );
    assert_eq!(rig.vm("two").running.len(), on_two);
}

#[test]
fn jobs_accepted_by_the_new_owner_need_not_wait() {
    let mut rig = busy_rig();
    rig.take_over();

    rig.submit("b", job(vec![stage(1, 1)]));
    for _ in 0..4 {
        rig.sync("one");
    }

    let runs = rig.running();
    assert!(
        runs.iter()
            .any(|(vm, run)| &**vm == "one" && run.task.job.as_str() == "b")
    );
}

#[test]
fn a_listing_made_during_a_stop_does_not_show_what_is_free() {
    let mut rig = busy_rig();
    // A run that is being stopped is in neither list for a while.
    let hidden = rig.vm("one").running.remove(0);
    rig.vm("one").is_settled = false;

    rig.take_over();
    rig.sync_all();
    let is_doubled = rig
        .running()
        .iter()
        .any(|(_, run)| run.task == hidden.run.task);
    assert!(!is_doubled, "the stopped run may still go on");

    rig.vm("one").is_settled = true;
    rig.sync_all();
    assert!(
        rig.running()
            .iter()
            .any(|(_, run)| run.task == hidden.run.task)
    );
}

#[test]
fn ends_that_the_old_owner_did_not_store_count_for_the_new_one() {
    let mut rig = busy_rig();
    let run = rig.vm("one").running[0].run.clone();
    rig.vm("one").end(&run, EndKind::Done);

    rig.take_over();
    rig.sync_all();

    assert!(!rig.running().iter().any(|(_, r)| r.task == run.task));
    rig.end_all(EndKind::Done);
    assert_eq!(rig.status("a"), Some(Told::Status(JobState::Completed)));
}

#[test]
fn run_numbers_rise_across_owners() {
    let mut rig = busy_rig();
    let before = rig.running();
    rig.take_over();
    rig.sync_all();

    rig.end_all(EndKind::Lapsed);

    for (_, run) in rig.running() {
        let old = before
            .iter()
            .find(|(_, r)| r.task == run.task)
            .expect("it ran before");
        assert!(run.attempt > old.1.attempt);
    }
}

#[test]
fn a_worker_that_restarts_under_its_id_loses_its_runs_only_once_fenced() {
    let mut rig = busy_rig();
    let lost = rig.vm("one").running.len();
    let fence = rig.vm("one").fence;
    rig.vm("one").restart();

    rig.sync("one");
    assert_eq!(
        rig.running().len(),
        4 - lost,
        "the new life has not listed yet"
    );
    rig.sync_all();

    assert!(
        rig.vm("one").fence > fence,
        "orders to the old life have no effect"
    );
    assert_eq!(rig.running().len(), 4);
}

#[test]
fn a_silent_worker_is_given_up_only_after_its_lease() {
    let mut rig = busy_rig();
    let on_one = rig.vm("one").running.len();
    rig.pass(WORKER_LEASE, &["one"]);
    assert_eq!(rig.vm("one").running.len(), on_one);

    rig.pass(Duration::from_millis(500), &["one"]);

    assert_eq!(rig.vm("one").running.len(), 4);
}

#[test]
fn a_companion_that_knows_a_later_owner_deposes() {
    let mut rig = busy_rig();
    rig.vm("one").epoch = Epoch(9);

    rig.sync("one");

    assert!(rig.deposed.is_some());
}

#[test]
fn a_worker_that_does_not_answer_its_companion_lapses_too() {
    let mut rig = busy_rig();
    rig.vm("two").is_silent = true;

    rig.pass(WORKER_LEASE + Duration::from_millis(500), &["one", "two"]);

    assert_eq!(rig.vm("one").running.len(), 4);
}

#[test]
fn a_silent_worker_gets_no_tasks() {
    let mut rig = busy_rig();
    rig.vm("two").is_silent = true;
    rig.sync_all();
    let on_two = rig.vm("two").running.len();

    rig.submit("b", job(vec![stage(8, 1)]));
    rig.sync_all();

    assert_eq!(rig.vm("two").running.len(), on_two);
}

#[test]
fn starts_of_a_companions_former_process_are_fenced_before_they_are_made_elsewhere() {
    let mut rig = busy_rig();
    let fence = rig.vm("one").fence;
    let run = rig.vm("one").running.remove(0).run;
    // The former process had sent the start; its outcome is open.
    rig.vm("one").open = vec![run.clone()];
    rig.sync("one");
    rig.vm("one").open.clear();
    rig.vm("one").boot = 2;
    rig.vm("one").is_settled = false;

    rig.sync_all();
    let runs_again = |rig: &Rig| rig.running().iter().any(|(_, r)| r.task == run.task);
    assert!(rig.vm("one").fence > fence);
    assert!(!runs_again(&rig), "a stop may be under way");
    rig.vm("one").is_settled = true;
    rig.sync_all();

    assert!(runs_again(&rig), "the task is not forgotten");
}

#[test]
fn a_run_that_a_new_owner_does_not_want_takes_its_room_until_it_has_ended() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 4);
    rig.submit("cancelled", job(vec![stage(1, 4)]));
    rig.sync_all();
    rig.vm("vm").is_deaf = true;
    rig.cancel("cancelled");
    rig.take_over();
    rig.submit("next", job(vec![stage(1, 4)]));
    // It takes the new fence, yet its run goes on.
    rig.vm("vm").is_deaf = false;
    let run = rig.running()[0].1.clone();
    rig.sync("vm");
    rig.vm("vm").is_deaf = true;
    rig.sync_all();
    let starts = rig.vm("vm").last.starts.len();
    assert_eq!(starts, 0, "there is no room yet");

    rig.vm("vm").is_deaf = false;
    rig.vm("vm").end(&run, EndKind::Stopped);
    rig.sync_all();

    assert!(
        rig.running()
            .iter()
            .all(|(_, r)| r.task.job.as_str() == "next")
    );
    assert_eq!(rig.running().len(), 1);
}

#[test]
fn a_worker_that_the_store_does_not_name_gets_no_task() {
    let mut rig = Rig::new();
    rig.submit("job", job(vec![stage(2, 4)]));
    rig.settle();
    rig.mode = StoreMode::Away;

    rig.add_vm("vm", 16);
    rig.sync_all();
    assert!(
        rig.running().is_empty(),
        "the next owner would not wait for it"
    );
    rig.mode = StoreMode::Up;
    rig.pass(Duration::from_secs(1), &["vm"]);

    assert_eq!(rig.running().len(), 2);
}

#[test]
fn a_worker_that_was_struck_off_gets_no_task_until_it_is_named_again() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 16);
    rig.sync_all();
    // Its lease lapses, and the store drops it.
    rig.pass(Duration::from_secs(8), &[]);
    rig.settle();
    rig.submit("job", job(vec![stage(2, 4)]));
    rig.settle();
    rig.mode = StoreMode::LosesAnswers;

    rig.sync_all();
    let before = rig.running().len();
    rig.mode = StoreMode::Up;
    rig.pass(Duration::from_secs(1), &["vm"]);

    assert_eq!(before, 0);
    assert_eq!(rig.running().len(), 2);
}

#[test]
fn a_failure_that_was_stored_and_not_acknowledged_counts_once() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 16);
    rig.sync_all();
    let two = RouteTerms {
        attempts: 2,
        ..terms(1)
    };
    rig.submit_under("job", job(vec![stage(1, 4)]), two);
    rig.sync_all();
    let run = rig.running()[0].1.clone();

    rig.vm("vm").end(&run, EndKind::Failed);
    rig.vm("vm").is_deaf = true;
    rig.sync_all();
    rig.vm("vm").is_deaf = false;
    rig.take_over();
    rig.pass(Duration::from_secs(1), &["vm"]);

    assert_eq!(rig.status("job"), Some(Told::Status(JobState::Running)));
    assert_eq!(rig.running().len(), 1, "its second attempt of two");
}

#[test]
fn a_report_that_a_later_one_replaces_is_answered_with_a_lease() {
    let mut rig = Rig::new();
    rig.add_vm("vm", 8);
    rig.sync_all();
    rig.submit("job", job(vec![stage(1, 4)]));
    rig.sync_all();

    let mut leases = 0;
    for _ in 0..8 {
        rig.pass(Duration::from_millis(250), &["vm"]);
        leases += u32::from(rig.vm("vm").last.lease_ms.is_some());
    }

    assert_eq!(leases, 8, "reports come more often than they are held");
}
