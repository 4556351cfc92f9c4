//! Odd entries of another writer, and numbers too large: the owner goes on, and all others hold.

mod harness;

use base::prelude::*;
use harness::{Harness, job, overwrite, stage, terms};
use jobs::report::EndKind;
use jobs::{JobRecord, JobReply, JobSpec, JobState, Schedule, StageSpec};

/// Returns a harness with two workers and a job that runs.
fn at_work() -> Harness {
    let mut harness = Harness::new();
    for name in ["one", "two"] {
        harness.add_vm(name, 16);
    }
    harness.sync_all();
    harness.submit("ordinary", job(vec![stage(4, 1)]));
    harness.sync_all();
    harness
}

/// Asserts that the ordinary job runs to its end and that another one does too.
fn assert_goes_on(harness: &mut Harness) {
    for (id, spec) in [("ordinary", None), ("next", Some(job(vec![stage(3, 1)])))] {
        if let Some(spec) = spec {
            harness.submit(id, spec);
        }
        harness.pass(Duration::from_secs(1), &["one", "two"]);
        harness.end_all(EndKind::Done);
        harness.pass(Duration::from_secs(1), &["one", "two"]);
        let completed = Some(JobReply::Status(JobState::Completed));
        assert_eq!(harness.status(id), completed, "{id}");
    }
}

fn record(spec: JobSpec) -> Vec<u8> {
    let record = JobRecord {
        spec,
        terms: terms(0),
        accepted_unix_ms: u64::MAX,
        address: None,
    };
    postcard::to_stdvec(&record).expect("encodable")
}

/// Returns a stage whose numbers are as large as they can be, except for its tasks.
fn largest() -> StageSpec {
    StageSpec {
        resources: Resources {
            cpu_milli: u64::MAX,
            memory_mib: u64::MAX,
            accelerators: u32::MAX,
        },
        estimate_ms: u64::MAX,
        max_per_worker: Some(u32::MAX),
        latency_target_ms: Some(u64::MAX),
        max_unavailable: Some(u32::MAX),
        ..stage(2, 1)
    }
}

/// Guards against a record of a job that no caller can have submitted, which ends each owner as it loads
/// its jobs.
#[test]
fn owner_loads_its_jobs_beside_records_that_no_caller_can_have_submitted() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let too_wide = record(job(vec![StageSpec {
        tasks: u32::MAX,
        ..stage(1, 1)
    }]));
    let too_often = record(JobSpec {
        schedule: Some(Schedule {
            occurrences: u32::MAX,
            first_unix_ms: u64::MAX,
            interval_ms: u64::MAX,
        }),
        ..job(vec![stage(1, 1)])
    });
    let after_none = record(job(vec![StageSpec {
        after: vec![7, u32::MAX],
        ..stage(1, 1)
    }]));
    let values: [&[u8]; 7] = [
        b"",
        b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
        nested.as_bytes(),
        &too_wide,
        &too_often,
        &after_none,
        &record(job(Vec::new())),
    ];
    for value in values {
        let mut harness = at_work();
        overwrite(&mut harness, "mt/job/odd", value);

        harness.take_over();
        harness.sync_all();

        assert_goes_on(&mut harness);
    }
}

/// Guards against an odd entry among those of the workers that ends the owner that reads the list, or
/// keeps the others from being used.
#[test]
fn owner_uses_its_workers_beside_odd_entries_among_theirs() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let long_list = [
        2, b'i', b'd', 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 1, 255, 255,
    ];
    let values: [&[u8]; 5] = [
        b"",
        nested.as_bytes(),
        br#"{"addr":"10.0.0.1:99999","born":1e400}"#,
        &long_list,
        &[255; 40],
    ];
    for value in values {
        let mut harness = at_work();
        for key in ["mt/vm/odd", "mt/vm/", "mt/vm/one/odd"] {
            overwrite(&mut harness, key, value);
        }

        harness.take_over();
        harness.pass(Duration::from_secs(11), &["one", "two"]);

        assert_goes_on(&mut harness);
    }
}

/// Guards against numbers of a worker that overflow a sum over all workers.
#[test]
fn numbers_of_one_worker_that_are_too_large_leave_the_others_in_use() {
    let mut harness = at_work();
    harness.add_vm("odd", 1);
    let odd = harness.vm("odd");
    odd.incarnation = u64::MAX;
    odd.capacity = Resources {
        cpu_milli: u64::MAX,
        memory_mib: u64::MAX,
        accelerators: u32::MAX,
    };
    odd.ignores_orders = true;
    harness.sync_all();
    harness.submit("large", job(vec![stage(3, 15)]));
    harness.submit("wide", job(vec![stage(40, 2)]));
    harness.pass(Duration::from_secs(2), &["one", "two", "odd"]);

    harness.end_all(EndKind::Done);

    assert_eq!(
        harness.status("ordinary"),
        Some(JobReply::Status(JobState::Completed))
    );
}

/// Guards against numbers of a job that overflow a sum over its tasks, or over all jobs.
#[test]
fn numbers_of_one_job_that_are_too_large_leave_the_others_at_work() {
    let schedule = Schedule {
        occurrences: 3,
        first_unix_ms: 0,
        interval_ms: u64::MAX,
    };
    let chained = StageSpec {
        after: vec![0],
        ..largest()
    };
    let specs = [
        job(vec![largest(), chained]),
        job(vec![StageSpec {
            standing: true,
            class: Some("serving".into()),
            ..largest()
        }]),
        job(vec![StageSpec {
            best_effort: true,
            class: Some("filling".into()),
            ..largest()
        }]),
        job(vec![StageSpec {
            gang: true,
            same_rack: true,
            ..largest()
        }]),
        JobSpec {
            schedule: Some(schedule),
            ..job(vec![StageSpec {
                estimate_ms: u64::MAX,
                ..stage(1, 1)
            }])
        },
    ];
    let mut harness = at_work();
    let service = StageSpec {
        standing: true,
        class: Some("serving".into()),
        latency_target_ms: Some(18),
        ..stage(2, 1)
    };
    harness.submit("service", job(vec![service]));
    for (at, spec) in specs.into_iter().enumerate() {
        let mut terms = terms(0);
        (terms.slack_ms, terms.stretch) = (u64::MAX, f64::MAX);
        harness.submit_under(&format!("odd-{at}"), spec, terms);
    }

    harness.pass(Duration::from_secs(2), &["one", "two"]);
    harness.take_over();
    harness.sync_all();

    assert_goes_on(&mut harness);
}
