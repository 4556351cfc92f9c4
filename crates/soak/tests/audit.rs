//! The audit detects overlapping runs and attempts that ran on two workers.

use base::prelude::*;
use fakes::worker::{Run, WorkerRecord};
use soak::{RunAudit, Violation};

fn run(start: Instant, job: &str, attempt: u64, from: u64, to: Option<u64>) -> Run {
    Run {
        key: TaskKey {
            job: job.into(),
            attempt: Attempt(attempt),
        },
        start: start + Duration::from_secs(from),
        end: to.map(|to| start + Duration::from_secs(to)),
    }
}

fn audit(records: Vec<Vec<Run>>) -> RunAudit {
    let mut audit = RunAudit::default();
    for (n, runs) in records.into_iter().enumerate() {
        let worker = WorkerId::from(format!("w{n}"));
        let record = WorkerRecord {
            runs,
            ..WorkerRecord::default()
        };
        audit.add(&worker, &record);
    }
    audit
}

#[test]
fn detects_two_attempts_of_a_job_at_once() {
    let t = Instant::now();

    let audit = audit(vec![
        vec![run(t, "a", 1, 0, Some(10)), run(t, "b", 1, 0, Some(2))],
        vec![run(t, "a", 2, 9, Some(12)), run(t, "b", 2, 2, Some(4))],
    ]);

    assert_eq!(
        audit.violations(),
        [Violation::Overlap {
            job: "a".into(),
            first: (Attempt(1), "w0".into()),
            second: (Attempt(2), "w1".into()),
        }]
    );
}

#[test]
fn detects_overlap_with_an_unended_run_after_a_shorter_one() {
    let t = Instant::now();

    let audit = audit(vec![
        vec![run(t, "a", 1, 0, None)],
        vec![run(t, "a", 2, 1, Some(2)), run(t, "a", 3, 5, Some(6))],
    ]);

    assert_eq!(audit.violations().len(), 2);
}

#[test]
fn detects_an_attempt_on_two_workers() {
    let t = Instant::now();

    let audit = audit(vec![
        vec![run(t, "a", 1, 0, Some(1))],
        vec![run(t, "a", 1, 5, Some(6))],
    ]);

    let key = run(t, "a", 1, 0, None).key;
    assert_eq!(audit.violations(), [Violation::AttemptTwice { key }]);
}
