//! Companions' reports, whole or as changes, and the replies to them.

mod harness;

use base::prelude::*;
use harness::{Harness, job, stage};
use jobs::report::{
    EndKind, FinishedRun, RunningRow, SharedStatus, StatusChanges, WorkerReport, WorkerStatus,
};
use jobs::{StageSpec, TaskId, TaskRun, Token};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The slowest link of an entry, in bytes a second.
const SLOW_LINK: usize = 2_000_000 / 8;

fn run(index: u32) -> TaskRun {
    TaskRun {
        task: TaskId {
            job: "0123456789abcdef".into(),
            occurrence: 0,
            stage: 0,
            index,
        },
        attempt: Attempt(1),
    }
}

fn row(index: u32, gauge: f64) -> RunningRow {
    RunningRow {
        run: run(index),
        checkpoint: None,
        percent: 1.0,
        gauge,
    }
}

fn end(number: u64, index: u32) -> FinishedRun {
    FinishedRun {
        number,
        run: run(index),
        how: EndKind::Done,
        checkpoint: None,
    }
}

fn status(clock_ms: u64, running: Vec<RunningRow>, finished: Vec<FinishedRun>) -> WorkerStatus {
    WorkerStatus {
        fence: 7,
        clock_ms,
        is_settled: true,
        running,
        finished,
    }
}

fn report(status: WorkerStatus) -> WorkerReport {
    WorkerReport {
        id: WorkerId::new("worker"),
        incarnation: Incarnation(1),
        pool: "desk".into(),
        zone: "north".into(),
        labels: Vec::new(),
        capacity: Resources::new(64, 1000, 0),
        draining_ms: None,
        is_gone: false,
        is_unresponsive: false,
        is_shedding: false,
        status: Some(status),
        changes: None,
        open: Vec::new(),
        rejected: Vec::new(),
        crashes: Vec::new(),
    }
}

/// Sorts the rows, whose order has no meaning.
fn sorted(mut status: WorkerStatus) -> WorkerStatus {
    status.running.sort_by_key(|row| row.run.task.index);
    status.finished.sort_by_key(|end| end.number);
    status
}

fn random_status(rng: &mut SmallRng, clock_ms: u64) -> WorkerStatus {
    let mut running = Vec::new();
    let mut finished = Vec::new();
    for index in 0..12 {
        match rng.random_range(0..4) {
            0 => finished.push(end(u64::from(index) + 1, index)),
            1 => {}
            _ => running.push(RunningRow {
                checkpoint: rng.random_bool(0.5).then(|| "saved".into()),
                percent: f64::from(rng.random_range(0..3)),
                ..row(index, f64::from(rng.random_range(0..3)))
            }),
        }
    }
    status(clock_ms, running, finished)
}

#[test]
fn owner_rebuilds_each_status_from_changes() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut sender, mut receiver) = (SharedStatus::default(), SharedStatus::default());
    for number in 1..=500 {
        let sent = random_status(&mut rng, number);
        let mut received = report(sent.clone());

        let is_reduced = sender.reduce(number, &mut received);
        let json = serde_json::to_vec(&received).expect("serializable");
        let mut received: WorkerReport = serde_json::from_slice(&json).expect("the same type");
        receiver.restore(number, &mut received).expect("it fits");

        assert_eq!(is_reduced, number > 1);
        let rebuilt = received.status.expect("a status");
        assert_eq!(sorted(rebuilt), sorted(sent), "report {number}");
    }
}

#[test]
fn changes_to_a_status_that_the_owner_does_not_hold_are_refused() {
    let (mut sender, mut receiver) = (SharedStatus::default(), SharedStatus::default());
    let mut reports: Vec<WorkerReport> = (1..=3)
        .map(|clock| report(status(clock, vec![row(0, clock as f64)], Vec::new())))
        .collect();
    for (at, report) in reports.iter_mut().enumerate() {
        sender.reduce(at as u64 + 1, report);
    }
    receiver.restore(1, &mut reports[0]).expect("a whole one");

    let error = receiver.restore(3, &mut reports[2]).expect_err("lost one");

    assert_eq!(error.kind(), ErrorKind::Conflict);
    assert_eq!(reports[2].status, None);
}

#[test]
fn changes_to_rows_that_do_not_exist_are_malformed() {
    let base = status(1, vec![row(0, 1.0)], Vec::new());
    let changes = [
        StatusChanges {
            removed: vec![1],
            ..StatusChanges::default()
        },
        StatusChanges {
            gauges: vec![(usize::MAX, 1.0, 1.0)],
            ..StatusChanges::default()
        },
        StatusChanges {
            checkpoints: vec![(7, None)],
            ..StatusChanges::default()
        },
    ];

    for changes in changes {
        let error = changes.apply_to(base.clone()).expect_err("no such row");
        assert_eq!(error.kind(), ErrorKind::Malformed);
    }
}

#[test]
fn report_lost_on_the_way_costs_a_whole_status_and_no_run() {
    let mut harness = Harness::new();
    harness.add_vm("a", 16);
    harness.sync_all();
    harness.submit("job", job(vec![stage(4, 2)]));
    harness.sync_all();
    let before = harness.running();
    let lost = harness.vm("a");
    lost.number += 1;
    let mut worker = report(status(0, lost.running.clone(), Vec::new()));
    lost.shared_status.reduce(lost.number, &mut worker);

    harness.advance(Duration::from_millis(250));
    harness.sync("a");

    let asked = harness.vm("a").last_reply.clone();
    assert!(asked.needs_status, "{asked:?}");
    harness.pass(Duration::from_secs(6), &["a"]);
    assert_eq!(before.len(), 4);
    assert_eq!(harness.running(), before);
    assert!(!harness.vm("a").last_reply.needs_status);
}

#[test]
fn companion_that_never_sends_a_fitting_status_keeps_its_lease_and_its_runs() {
    let mut harness = Harness::new();
    harness.add_vm("a", 16);
    harness.sync_all();
    harness.submit("job", job(vec![stage(4, 2)]));
    harness.sync_all();
    let before = harness.running();

    for _ in 0..40 {
        harness.advance(Duration::from_millis(250));
        let vm = harness.vm("a");
        vm.number += 1;
        let mut worker = report(status(0, Vec::new(), Vec::new()));
        worker.id = WorkerId::new("a");
        worker.status = None;
        worker.changes = Some(StatusChanges {
            base: u64::MAX,
            ..StatusChanges::default()
        });
        let report = jobs::report::SyncReport {
            vm: "a".into(),
            boot: vm.boot,
            number: vm.number,
            epoch: vm.epoch,
            worker: Some(worker),
        };
        let token = 1_000_000 + report.number;
        harness.reporting.insert(token, "a".into());
        harness
            .owner
            .sync(harness.now, harness.unix_ms, Token(token), report);
        harness.settle();
    }

    let reply = &harness.vm("a").last_reply;
    assert!(reply.needs_status && reply.lease_ms.is_some(), "{reply:?}");
    assert_eq!(harness.running(), before);
}

/// The load: the workers of a small desk, each with forty serving tasks whose tail latencies change
/// all the time, report to an owner behind the slowest link.
#[test]
fn reports_leave_most_of_a_slow_link_to_renewals_and_commits() {
    let mut harness = Harness::new();
    let names: Vec<String> = (0..12).map(|i| format!("vm-{i}")).collect();
    for name in &names {
        harness.add_vm(name, 64);
    }
    harness.sync_all();
    for i in 0..24 {
        let serving = StageSpec {
            standing: true,
            class: Some("serving".into()),
            latency_target_ms: Some(18),
            ..stage(20, 1)
        };
        harness.submit(&format!("0123456789ab{i:04}"), job(vec![serving]));
    }
    harness.sync_all();
    let seconds = 10;
    let mut bytes = 0;

    for step in 0..seconds * 4 {
        harness.advance(Duration::from_millis(250));
        for name in &names {
            for (at, row) in harness.vm(name).running.iter_mut().enumerate() {
                row.gauge = f64::from(8 + (step + at as u32) % 5);
            }
            harness.sync(name);
            bytes += harness.vm(name).report_bytes;
        }
    }

    assert_eq!(harness.running().len(), 480);
    let per_second = bytes / seconds as usize;
    println!("{per_second} bytes a second");
    assert!(per_second < SLOW_LINK / 2, "{per_second} bytes a second");
}

/// The load: hundreds of runs end each second; a reply for each would double the messages.
#[test]
fn stored_end_is_acknowledged_by_the_reply_to_the_next_report() {
    let mut harness = Harness::new();
    harness.add_vm("a", 16);
    harness.sync_all();
    harness.submit("job", job(vec![stage(1, 2)]));
    harness.sync_all();
    let (_, run) = harness.running().remove(0);
    harness.vm("a").end(&run, EndKind::Done);

    harness.sync("a");
    let waiting = harness.reporting.len();
    let before = harness.vm("a").stored_ends;
    harness.advance(Duration::from_millis(60));
    harness.sync("a");

    assert_eq!((waiting, before), (1, 0), "the report waits for orders");
    assert_eq!(harness.vm("a").stored_ends, 1);
}
