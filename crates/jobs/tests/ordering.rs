//! The placement order of waiting jobs under overload, seen by their completion times.

mod harness;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobReply, JobSpec, RouteTerms, StageSpec, TaskRun};

use harness::{Harness, job, stage, terms};

/// The run time of each task, which equals its estimate.
const RUN_TIME: Duration = Duration::from_secs(2);

/// A job that occupies the whole worker for `count` times [`RUN_TIME`].
fn job_of_rounds(count: u32) -> JobSpec {
    let stage = StageSpec {
        estimate_ms: 2000,
        ..stage(2 * count, 4)
    };
    job(vec![stage])
}

/// Terms with an objective of `seconds` after submission.
fn due_in(seconds: u64) -> RouteTerms {
    RouteTerms {
        stretch: 0.0,
        slack_ms: seconds * 1000,
        ..terms(1)
    }
}

/// Runs the jobs on one worker of eight cores; returns when each was completed, in seconds.
fn run_jobs(
    jobs: &[(&'static str, JobSpec, RouteTerms)],
    seconds: u64,
) -> IndexMap<&'static str, f64> {
    let mut harness = Harness::new();
    harness.add_vm("vm", 8);
    harness.sync_all();
    // The throughput of the worker is unknown until the first task runs.
    harness.submit_under("first", job_of_rounds(1), due_in(100));
    harness.sync_all();
    for (id, spec, terms) in jobs {
        harness.submit_under(id, spec.clone(), terms.clone());
    }
    let began = harness.now;
    let mut since: IndexMap<TaskRun, Instant> = IndexMap::new();
    let mut done = IndexMap::new();
    while harness.now < began + Duration::from_secs(seconds) {
        harness.pass(Duration::from_millis(250), &["vm"]);
        for (_, run) in harness.running() {
            let from = *since.entry(run.clone()).or_insert(harness.now);
            if harness.now >= from + RUN_TIME {
                harness.vm("vm").end(&run, EndKind::Done);
            }
        }
        harness.sync("vm");
        for (id, _, _) in jobs {
            let state = harness.status(id);
            if matches!(state, Some(JobReply::Status(jobs::JobState::Completed))) {
                let after = harness.now - began;
                done.entry(*id).or_insert(after.as_secs_f64());
            }
        }
    }
    done
}

#[test]
fn large_urgent_job_is_placed_before_small_later_ones() {
    let jobs = [
        ("large", job_of_rounds(2), due_in(8)),
        ("small-1", job_of_rounds(1), due_in(30)),
        ("small-2", job_of_rounds(1), due_in(30)),
        ("small-3", job_of_rounds(1), due_in(30)),
    ];

    let done = run_jobs(&jobs, 16);

    assert!(done["large"] <= 8.0, "{done:?}");
    assert_eq!(done.len(), 4, "{done:?}");
}

#[test]
fn overload_delays_the_largest_job_only() {
    let jobs = [
        ("large", job_of_rounds(5), due_in(12)),
        ("small-1", job_of_rounds(1), due_in(14)),
        ("small-2", job_of_rounds(1), due_in(14)),
        ("small-3", job_of_rounds(1), due_in(14)),
        ("small-4", job_of_rounds(1), due_in(14)),
    ];

    let done = run_jobs(&jobs, 30);

    let in_time = done
        .iter()
        .filter(|(id, at)| id.starts_with("small") && **at <= 14.0);
    assert_eq!(in_time.count(), 4, "{done:?}");
    assert!(
        done.contains_key("large"),
        "late, and not forgotten: {done:?}"
    );
}

#[test]
fn late_job_takes_no_capacity_from_job_on_time() {
    let jobs = [
        ("hopeless", job_of_rounds(2), due_in(5)),
        ("hopeful", job_of_rounds(2), due_in(9)),
    ];

    let done = run_jobs(&jobs, 20);

    assert!(done["hopeful"] <= 9.0, "{done:?}");
}
