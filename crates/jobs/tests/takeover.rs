//! Takeover: what a new owner may start, and when.

mod harness;

use base::prelude::*;
use jobs::owner::{PROGRESS_PREFIX, VM_PREFIX};
use jobs::report::EndKind;
use jobs::{JobReply, JobState, RouteTerms, TaskProgress};

use harness::{GRACE, Harness, StoreMode, WORKER_LEASE, job, overwrite, stage, terms};

fn harness_with_running_job() -> Harness {
    let mut harness = Harness::new();
    harness.add_vm("one", 16);
    harness.add_vm("two", 16);
    harness.sync_all();
    harness.submit("a", job(vec![stage(4, 1)]));
    harness.sync_all();
    assert_eq!(harness.vm("one").running.len(), 2);
    assert_eq!(harness.vm("two").running.len(), 2);
    harness
}

#[test]
fn takeover_adopts_running_tasks() {
    let mut harness = harness_with_running_job();
    let before = harness.running();

    harness.take_over();
    harness.sync_all();

    assert_eq!(
        harness.running(),
        before,
        "nothing is started twice or stopped"
    );
    harness.end_all(EndKind::Done);
    assert_eq!(
        harness.status("a"),
        Some(JobReply::Status(JobState::Completed))
    );
}

#[test]
fn takeover_waits_for_lease_of_unresponsive_worker() {
    let mut harness = harness_with_running_job();
    harness.take_over();
    for _ in 0..20 {
        harness.sync("one");
    }
    let on_two = harness.vm("two").running.len();
    assert_eq!(
        harness.running().len(),
        4,
        "tasks of the unresponsive worker wait"
    );

    harness.advance(GRACE + WORKER_LEASE.mul_f64(1.02) + Duration::from_millis(200));
    harness.sync("one");
    harness.sync("one");

    assert_eq!(harness.vm("one").running.len(), 4, "its lease has expired");
    assert_eq!(harness.vm("two").running.len(), on_two);
}

#[test]
fn job_accepted_after_takeover_starts_at_once() {
    let mut harness = harness_with_running_job();
    harness.take_over();

    harness.submit("b", job(vec![stage(1, 1)]));
    for _ in 0..4 {
        harness.sync("one");
    }

    let runs = harness.running();
    assert!(
        runs.iter()
            .any(|(vm, run)| &**vm == "one" && run.task.job.as_str() == "b")
    );
}

#[test]
fn unsettled_status_does_not_complete_adoption() {
    let mut harness = harness_with_running_job();
    // While a run is being stopped, it is reported neither as running nor as finished.
    let hidden = harness.vm("one").running.remove(0);
    harness.vm("one").is_settled = false;

    harness.take_over();
    harness.sync_all();
    let is_duplicated = harness
        .running()
        .iter()
        .any(|(_, run)| run.task == hidden.run.task);
    assert!(!is_duplicated, "the stopped run may still be active");

    harness.vm("one").is_settled = true;
    harness.sync_all();
    assert!(
        harness
            .running()
            .iter()
            .any(|(_, run)| run.task == hidden.run.task)
    );
}

#[test]
fn finished_run_unstored_by_previous_owner_is_applied() {
    let mut harness = harness_with_running_job();
    let run = harness.vm("one").running[0].run.clone();
    harness.vm("one").end(&run, EndKind::Done);

    harness.take_over();
    harness.sync_all();

    assert!(!harness.running().iter().any(|(_, r)| r.task == run.task));
    harness.end_all(EndKind::Done);
    assert_eq!(
        harness.status("a"),
        Some(JobReply::Status(JobState::Completed))
    );
}

#[test]
fn attempt_numbers_increase_across_owners() {
    let mut harness = harness_with_running_job();
    let before = harness.running();
    harness.take_over();
    harness.sync_all();

    harness.end_all(EndKind::Lapsed);

    for (_, run) in harness.running() {
        let old = before
            .iter()
            .find(|(_, r)| r.task == run.task)
            .expect("it ran before");
        assert!(run.attempt > old.1.attempt);
    }
}

#[test]
fn runs_of_restarted_worker_are_released_after_fencing() {
    let mut harness = harness_with_running_job();
    let lost = harness.vm("one").running.len();
    let fence = harness.vm("one").fence;
    harness.vm("one").restart();

    harness.sync("one");
    assert_eq!(
        harness.running().len(),
        4 - lost,
        "the new incarnation has not reported its runs yet"
    );
    harness.sync_all();

    assert!(
        harness.vm("one").fence > fence,
        "orders to the old incarnation have no effect"
    );
    assert_eq!(harness.running().len(), 4);
}

#[test]
fn runs_of_unresponsive_worker_are_released_after_lease_expiry() {
    let mut harness = harness_with_running_job();
    let on_one = harness.vm("one").running.len();
    harness.pass(WORKER_LEASE, &["one"]);
    assert_eq!(harness.vm("one").running.len(), on_one);

    harness.pass(Duration::from_millis(500), &["one"]);

    assert_eq!(harness.vm("one").running.len(), 4);
}

#[test]
fn companion_with_higher_epoch_makes_owner_step_down() {
    let mut harness = harness_with_running_job();
    harness.vm("one").epoch = Epoch(9);

    harness.sync("one");

    assert!(harness.step_down.is_some());
}

#[test]
fn lease_expires_if_worker_does_not_respond_to_companion() {
    let mut harness = harness_with_running_job();
    harness.vm("two").is_unresponsive = true;

    harness.pass(WORKER_LEASE + Duration::from_millis(500), &["one", "two"]);

    assert_eq!(harness.vm("one").running.len(), 4);
}

#[test]
fn unresponsive_worker_gets_no_tasks() {
    let mut harness = harness_with_running_job();
    harness.vm("two").is_unresponsive = true;
    harness.sync_all();
    let on_two = harness.vm("two").running.len();

    harness.submit("b", job(vec![stage(8, 1)]));
    harness.sync_all();

    assert_eq!(harness.vm("two").running.len(), on_two);
}

#[test]
fn starts_of_restarted_companion_are_fenced_before_retry() {
    let mut harness = harness_with_running_job();
    let fence = harness.vm("one").fence;
    let run = harness.vm("one").running.remove(0).run;
    // The previous process had sent the start, and its outcome is unknown.
    harness.vm("one").open = vec![run.clone()];
    harness.sync("one");
    harness.vm("one").open.clear();
    harness.vm("one").boot = 2;
    harness.vm("one").is_settled = false;

    harness.sync_all();
    let runs_again = |harness: &Harness| harness.running().iter().any(|(_, r)| r.task == run.task);
    assert!(harness.vm("one").fence > fence);
    assert!(!runs_again(&harness), "a stop may be in progress");
    harness.vm("one").is_settled = true;
    harness.sync_all();

    assert!(runs_again(&harness), "the task is not forgotten");
}

#[test]
fn unwanted_run_holds_resources_until_it_ends() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 4);
    harness.submit("cancelled", job(vec![stage(1, 4)]));
    harness.sync_all();
    harness.vm("vm").ignores_orders = true;
    harness.cancel("cancelled");
    harness.take_over();
    harness.submit("next", job(vec![stage(1, 4)]));
    // The worker accepts the new fencing token, but its run continues.
    harness.vm("vm").ignores_orders = false;
    let run = harness.running()[0].1.clone();
    harness.sync("vm");
    harness.vm("vm").ignores_orders = true;
    harness.sync_all();
    let starts = harness.vm("vm").last_reply.starts.len();
    assert_eq!(starts, 0, "no resources are free yet");

    harness.vm("vm").ignores_orders = false;
    harness.vm("vm").end(&run, EndKind::Stopped);
    harness.sync_all();

    assert!(
        harness
            .running()
            .iter()
            .all(|(_, r)| r.task.job.as_str() == "next")
    );
    assert_eq!(harness.running().len(), 1);
}

#[test]
fn worker_without_stored_record_gets_no_tasks() {
    let mut harness = Harness::new();
    harness.submit("job", job(vec![stage(2, 4)]));
    harness.settle();
    harness.mode = StoreMode::Unavailable;

    harness.add_vm("vm", 16);
    harness.sync_all();
    assert!(
        harness.running().is_empty(),
        "the next owner would not wait for it"
    );
    harness.mode = StoreMode::Up;
    harness.pass(Duration::from_secs(1), &["vm"]);

    assert_eq!(harness.running().len(), 2);
}

#[test]
fn worker_with_deleted_record_gets_no_tasks_until_stored_again() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 16);
    harness.sync_all();
    // Its lease expires, and its record is deleted from the store.
    harness.pass(Duration::from_secs(8), &[]);
    harness.settle();
    harness.submit("job", job(vec![stage(2, 4)]));
    harness.settle();
    harness.mode = StoreMode::LosesResponses;

    harness.sync_all();
    let before = harness.running().len();
    harness.mode = StoreMode::Up;
    harness.pass(Duration::from_secs(1), &["vm"]);

    assert_eq!(before, 0);
    assert_eq!(harness.running().len(), 2);
}

#[test]
fn redelivered_failure_counts_once() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 16);
    harness.sync_all();
    let two = RouteTerms {
        attempts: 2,
        ..terms(1)
    };
    harness.submit_under("job", job(vec![stage(1, 4)]), two);
    harness.sync_all();
    let run = harness.running()[0].1.clone();

    harness.vm("vm").end(&run, EndKind::Failed);
    harness.vm("vm").ignores_orders = true;
    harness.sync_all();
    harness.vm("vm").ignores_orders = false;
    harness.take_over();
    harness.pass(Duration::from_secs(1), &["vm"]);

    assert_eq!(
        harness.status("job"),
        Some(JobReply::Status(JobState::Running))
    );
    assert_eq!(harness.running().len(), 1, "its second attempt of two");
}

#[test]
fn superseded_report_renews_lease() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 8);
    harness.sync_all();
    harness.submit("job", job(vec![stage(1, 4)]));
    harness.sync_all();

    let mut leases = 0;
    for _ in 0..8 {
        harness.pass(Duration::from_millis(250), &["vm"]);
        leases += u32::from(harness.vm("vm").last_reply.lease_ms.is_some());
    }

    assert_eq!(
        leases, 8,
        "reports come more often than the long poll times out"
    );
}

#[test]
fn takeover_waits_for_worker_whose_record_cannot_be_read() {
    let mut harness = harness_with_running_job();
    let before = harness.running();
    overwrite(&mut harness, &format!("{VM_PREFIX}two"), b"");

    harness.take_over();
    harness.pass(GRACE + WORKER_LEASE, &["one"]);
    assert_eq!(harness.running(), before, "it may run tasks");
    harness.pass(Duration::from_secs(1), &["one"]);

    assert_eq!(harness.vm("one").running.len(), 4, "its lease has expired");
}

#[test]
fn worker_whose_record_cannot_be_read_gets_tasks() {
    let mut harness = harness_with_running_job();
    let before = harness.running();
    overwrite(&mut harness, &format!("{VM_PREFIX}two"), b"");

    harness.take_over();
    harness.sync_all();
    harness.submit("b", job(vec![stage(24, 1)]));
    harness.sync_all();

    let runs = harness.running();
    assert!(before.iter().all(|run| runs.contains(run)));
    assert_eq!(runs.len(), 28);
}

#[test]
fn job_whose_progress_cannot_be_read_does_not_run_again() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 16);
    harness.submit("a", job(vec![stage(1, 1)]));
    harness.sync_all();
    harness.end_all(EndKind::Done);
    overwrite(&mut harness, &format!("{PROGRESS_PREFIX}a"), b"");

    harness.take_over();
    harness.sync_all();
    harness.pass(GRACE + WORKER_LEASE, &["vm"]);

    assert_eq!(harness.running(), []);
    assert_eq!(harness.stored(PROGRESS_PREFIX), 1, "the record is kept");
}

#[test]
fn progress_that_an_earlier_version_stored_is_read() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 16);
    harness.submit("a", job(vec![stage(2, 1)]));
    harness.sync_all();
    let runs = harness.running();
    harness.vm("vm").end(&runs[0].1, EndKind::Done);
    harness.sync_all();
    let done = TaskProgress {
        is_done: true,
        ..TaskProgress::default()
    };
    let record = (JobState::Running, vec![(0_u32, done)], None::<u64>);
    let record = postcard::to_stdvec(&record).expect("encodable");
    overwrite(&mut harness, &format!("{PROGRESS_PREFIX}a"), &record);

    harness.take_over();
    harness.sync_all();
    harness.end_all(EndKind::Done);

    assert_eq!(harness.vm("vm").finished.len(), 2, "one run of each task");
    assert_eq!(
        harness.status("a"),
        Some(JobReply::Status(JobState::Completed))
    );
}
