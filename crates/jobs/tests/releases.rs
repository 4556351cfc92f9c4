//! What frees a worker's resources or lets a task start again.

mod harness;

use base::prelude::*;
use jobs::report::{EndKind, FinishedRun, RejectKind, Rejected, RunningRow};
use jobs::{JobReply, JobState, TaskId, TaskRun};

use harness::{Harness, MAX_LISTED_ENDS, job, stage};

fn unknown_run() -> TaskRun {
    let task = TaskId {
        job: "unknown".into(),
        occurrence: 0,
        stage: 0,
        index: 0,
    };
    let attempt = Attempt(1);
    TaskRun { task, attempt }
}

fn harness_with_run_of_unknown_job() -> Harness {
    let mut harness = Harness::new();
    harness.add_vm("vm", 4);
    harness.sync_all();
    harness.vm("vm").running.push(RunningRow {
        run: unknown_run(),
        checkpoint: None,
        percent: 1.0,
        gauge: 0.0,
    });
    harness
}

/// Reports the VM's run and hides the end of its stop, as while the stop is in progress.
fn begin_stop(harness: &mut Harness, name: &str) -> FinishedRun {
    harness.sync(name);
    harness.vm(name).is_settled = false;
    let end = harness.vm(name).finished.pop();
    end.expect("the run was ordered to stop")
}

#[test]
fn run_of_unknown_job_holds_its_worker_while_it_is_being_stopped() {
    let mut harness = harness_with_run_of_unknown_job();
    let end = begin_stop(&mut harness, "vm");
    harness.submit("job", job(vec![stage(1, 4)]));

    harness.pass(Duration::from_secs(1), &["vm"]);
    assert_eq!(harness.running(), [], "its resources are in use");

    harness.vm("vm").finished.push(end);
    harness.vm("vm").is_settled = true;
    harness.pass(Duration::from_secs(1), &["vm"]);
    assert_eq!(harness.running().len(), 1);
}

#[test]
fn worker_restarted_during_stop_of_unknown_run_gets_tasks() {
    let mut harness = harness_with_run_of_unknown_job();
    begin_stop(&mut harness, "vm");
    harness.submit("job", job(vec![stage(1, 4)]));
    harness.sync_all();

    harness.vm("vm").restart();
    harness.vm("vm").is_settled = true;
    harness.pass(Duration::from_secs(1), &["vm"]);

    assert_eq!(harness.running().len(), 1);
}

fn rejected(run: &TaskRun, why: RejectKind) -> Rejected {
    let run = run.clone();
    Rejected { run, why }
}

/// Starts another process of the companion, which knows nothing.
fn restart_companion(harness: &mut Harness, name: &str, boot: u64) {
    let vm = harness.vm(name);
    (vm.boot, vm.number, vm.epoch) = (boot, 0, Epoch(0));
    vm.open.clear();
    vm.rejected.clear();
    vm.shared_status.clear();
}

fn harness_with_companion_set_back() -> Harness {
    let mut harness = Harness::new();
    harness.add_vm("vm", 8);
    harness.vm("vm").boot = 1000;
    harness.sync_all();
    harness.submit("a", job(vec![stage(1, 4)]));
    harness.sync_all();
    restart_companion(&mut harness, "vm", 300);
    harness
}

#[test]
fn companion_whose_clock_was_set_back_is_heard() {
    let mut harness = harness_with_companion_set_back();
    let before = harness.running();
    let fence = harness.vm("vm").fence;

    harness.pass(Duration::from_secs(6), &["vm"]);
    assert_eq!(harness.running(), before, "its run goes on");
    assert!(harness.vm("vm").fence > fence, "orders of before are void");

    harness.submit("b", job(vec![stage(1, 4)]));
    harness.sync_all();
    assert_eq!(harness.running().len(), 2);
}

#[test]
fn late_report_of_ended_companion_is_ignored() {
    let mut harness = harness_with_companion_set_back();
    harness.pass(Duration::from_secs(1), &["vm"]);
    let fence = harness.vm("vm").fence;

    harness.sync_late("vm", 1000, 99);
    harness.pass(Duration::from_secs(1), &["vm"]);

    assert_eq!(harness.vm("vm").fence, fence);
}

#[test]
fn late_report_of_unknown_process_does_not_silence_its_companion() {
    for boot in [200, 5000] {
        let mut harness = harness_with_companion_set_back();
        harness.pass(Duration::from_secs(1), &["vm"]);
        let before = harness.running();

        harness.sync_late("vm", boot, 7);
        harness.pass(Duration::from_secs(6), &["vm"]);
        harness.submit("b", job(vec![stage(1, 4)]));
        harness.pass(Duration::from_secs(1), &["vm"]);

        let runs = harness.running();
        assert!(runs.starts_with(&before) && runs.len() == 2, "{runs:?}");
    }
}

#[test]
fn task_waits_while_a_run_of_it_that_started_late_is_being_stopped() {
    let mut harness = Harness::new();
    harness.add_vm("one", 4);
    harness.submit("job", job(vec![stage(1, 4)]));
    harness.sync_all();
    // The start counts as rejected, but the worker carries it out later.
    let late = harness.vm("one").running.remove(0);
    let run = late.run.clone();
    harness.vm("one").rejected = vec![rejected(&run, RejectKind::Room)];
    harness.vm("one").draining = true;
    harness.sync_all();
    harness.vm("one").running.push(late);
    harness.vm("one").ignores_orders = true;
    harness.sync("one");

    harness.add_vm("two", 4);
    harness.pass(Duration::from_secs(1), &["one", "two"]);
    assert_eq!(harness.vm("two").running, [], "the late run still runs");

    harness.vm("one").ignores_orders = false;
    harness.vm("one").end(&run, EndKind::Stopped);
    harness.pass(Duration::from_secs(1), &["one", "two"]);
    let again = harness.vm("two").running[0].run.clone();
    assert_eq!(again.task, run.task);
    assert!(again.attempt > run.attempt);
}

#[test]
fn run_listed_beside_its_rejection_is_kept() {
    let mut harness = Harness::new();
    harness.add_vm("one", 4);
    harness.sync_all();
    harness.submit("job", job(vec![stage(1, 4)]));
    let before = harness.running();
    let run = before[0].1.clone();

    // A start call was carried out; another one of the same run was refused.
    harness.vm("one").rejected = vec![rejected(&run, RejectKind::Room)];
    harness.add_vm("two", 4);
    harness.pass(Duration::from_secs(2), &["one", "two"]);

    assert_eq!(harness.running(), before);
}

#[test]
fn rejected_start_of_a_run_that_was_listed_before_frees_nothing() {
    let mut harness = Harness::new();
    harness.add_vm("one", 4);
    harness.submit("job", job(vec![stage(1, 4)]));
    harness.sync_all();
    let row = harness.vm("one").running.remove(0);
    let run = row.run.clone();

    // Its stop is in progress, so it is in neither list.
    harness.cancel("job");
    harness.vm("one").is_settled = false;
    harness.vm("one").rejected = vec![rejected(&run, RejectKind::Room)];
    harness.submit("next", job(vec![stage(1, 4)]));
    harness.pass(Duration::from_secs(1), &["one"]);
    assert_eq!(harness.running(), [], "its resources are in use");

    harness.vm("one").rejected = vec![rejected(&run, RejectKind::Stopped)];
    harness.vm("one").is_settled = true;
    harness.pass(Duration::from_secs(1), &["one"]);
    assert_eq!(harness.running().len(), 1, "it has ended");
}

#[test]
fn done_task_whose_end_a_full_list_leaves_out_is_not_started_again() {
    for is_inherited in [false, true] {
        let mut harness = Harness::new();
        harness.add_vm("vm", 4);
        harness.submit("job", job(vec![stage(1, 4)]));
        harness.sync_all();
        let run = harness.running()[0].1.clone();
        let earlier = (1..=MAX_LISTED_ENDS).map(|number| FinishedRun {
            number: number as u64,
            run: unknown_run(),
            how: EndKind::Done,
            checkpoint: None,
        });
        harness.vm("vm").finished = earlier.collect();
        harness.vm("vm").end(&run, EndKind::Done);

        if is_inherited {
            harness.take_over();
        }
        harness.pass(Duration::from_secs(2), &["vm"]);

        assert_eq!(harness.running(), []);
        let completed = JobReply::Status(JobState::Completed);
        assert_eq!(harness.status("job"), Some(completed));
        let runs = harness
            .vm("vm")
            .finished
            .iter()
            .filter(|end| end.run.task == run.task);
        assert_eq!(runs.count(), 1);
    }
}
