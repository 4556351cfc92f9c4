//! The accounting sees what it must.

use base::prelude::*;
use fakes::worker::{Run, WorkerRecord};
use soak::{Account, Breach};

fn run(start: Instant, job: &str, attempt: u32, from: u64, to: Option<u64>) -> Run {
    Run {
        key: TaskKey {
            job: job.into(),
            attempt: Attempt(attempt),
        },
        start: start + Duration::from_secs(from),
        end: to.map(|to| start + Duration::from_secs(to)),
    }
}

fn account(records: Vec<Vec<Run>>) -> Account {
    let mut account = Account::default();
    for (n, runs) in records.into_iter().enumerate() {
        let worker = WorkerId::from(format!("w{n}"));
        let record = WorkerRecord {
            runs,
            ..WorkerRecord::default()
        };
        account.add(&worker, &record);
    }
    account
}

#[test]
fn sees_a_job_in_two_places() {
    let t = Instant::now();

    let account = account(vec![
        vec![run(t, "a", 1, 0, Some(10)), run(t, "b", 1, 0, Some(2))],
        vec![run(t, "a", 2, 9, Some(12)), run(t, "b", 2, 2, Some(4))],
    ]);

    assert_eq!(
        account.breaches(),
        [Breach::Overlap {
            job: "a".into(),
            first: (Attempt(1), "w0".into()),
            second: (Attempt(2), "w1".into()),
        }]
    );
}

#[test]
fn sees_an_overlap_with_a_run_that_never_ended_behind_a_short_one() {
    let t = Instant::now();

    let account = account(vec![
        vec![run(t, "a", 1, 0, None)],
        vec![run(t, "a", 2, 1, Some(2)), run(t, "a", 3, 5, Some(6))],
    ]);

    assert_eq!(account.breaches().len(), 2);
}

#[test]
fn sees_an_attempt_that_ran_twice() {
    let t = Instant::now();

    let account = account(vec![
        vec![run(t, "a", 1, 0, Some(1))],
        vec![run(t, "a", 1, 5, Some(6))],
    ]);

    let key = run(t, "a", 1, 0, None).key;
    assert_eq!(account.breaches(), [Breach::AttemptTwice { key }]);
}
