//! The order of waiting jobs under overload: what callers get of it.

mod rig;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobSpec, RouteTerms, StageSpec, TaskRun, Told};

use rig::{Rig, job, stage, terms};

/// How long each task runs, as estimated.
const RUN_TIME: Duration = Duration::from_secs(2);

/// The whole worker, for so many times [`RUN_TIME`].
fn rounds(count: u32) -> JobSpec {
    let stage = StageSpec {
        estimate_ms: 2000,
        ..stage(2 * count, 4)
    };
    job(vec![stage])
}

/// Terms by which a job should be done so many seconds after it came.
fn due_in(seconds: u64) -> RouteTerms {
    RouteTerms {
        stretch: 0.0,
        slack_ms: seconds * 1000,
        ..terms(1)
    }
}

/// Plays the jobs on one worker of eight cores; returns when each was completed, in seconds.
fn play(jobs: &[(&'static str, JobSpec, RouteTerms)], seconds: u64) -> IndexMap<&'static str, f64> {
    let mut rig = Rig::new();
    rig.add_vm("vm", 8);
    rig.sync_all();
    // Until the first task runs, it is not known how much the worker can do.
    rig.submit_under("first", rounds(1), due_in(100));
    rig.sync_all();
    for (id, spec, terms) in jobs {
        rig.submit_under(id, spec.clone(), terms.clone());
    }
    let began = rig.now;
    let mut since: IndexMap<TaskRun, Instant> = IndexMap::new();
    let mut done = IndexMap::new();
    while rig.now < began + Duration::from_secs(seconds) {
        rig.pass(Duration::from_millis(250), &["vm"]);
        for (_, run) in rig.running() {
            let from = *since.entry(run.clone()).or_insert(rig.now);
            if rig.now >= from + RUN_TIME {
                rig.vm("vm").end(&run, EndKind::Done);
            }
        }
        rig.sync("vm");
        for (id, _, _) in jobs {
            let state = rig.status(id);
            if matches!(state, Some(Told::Status(jobs::JobState::Completed))) {
                let after = rig.now - began;
                done.entry(*id).or_insert(after.as_secs_f64());
            }
        }
    }
    done
}

#[test]
fn a_large_job_that_is_due_soon_goes_before_small_ones_that_have_time() {
    let jobs = [
        ("large", rounds(2), due_in(8)),
        ("small-1", rounds(1), due_in(30)),
        ("small-2", rounds(1), due_in(30)),
        ("small-3", rounds(1), due_in(30)),
    ];

    let done = play(&jobs, 16);

    assert!(done["large"] <= 8.0, "{done:?}");
    assert_eq!(done.len(), 4, "{done:?}");
}

#[test]
fn under_overload_the_largest_job_is_late_and_the_others_are_in_time() {
    let jobs = [
        ("large", rounds(5), due_in(12)),
        ("small-1", rounds(1), due_in(14)),
        ("small-2", rounds(1), due_in(14)),
        ("small-3", rounds(1), due_in(14)),
        ("small-4", rounds(1), due_in(14)),
    ];

    let done = play(&jobs, 30);

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
fn a_job_that_cannot_be_in_time_takes_no_room_from_one_that_can() {
    let jobs = [
        ("hopeless", rounds(2), due_in(5)),
        ("hopeful", rounds(2), due_in(9)),
    ];

    let done = play(&jobs, 20);

    assert!(done["hopeful"] <= 9.0, "{done:?}");
}
