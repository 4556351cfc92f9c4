//! Jobs whose route has another name in later versions of the operators' tables.

mod harness;

use jobs::owner::JOB_PREFIX;
use jobs::report::EndKind;
use jobs::{JobReply, JobRequest, JobState, RouteRef};

use harness::{Harness, ROUTE, job, overwrite, route, stage, terms};

const OTHER: &str = "settlements";

/// Returns the route at the address of `route(at)` that has another name now.
fn renamed(at: &str, name: &str) -> RouteRef {
    RouteRef {
        name: name.into(),
        ..route(at)
    }
}

/// Returns a harness with a worker where the job of each route runs; its id is the route's first name.
fn at_work(names: &[&str]) -> Harness {
    let mut harness = Harness::with_vm();
    for name in names {
        harness.submit_on(name, name);
    }
    harness
}

/// Guards against jobs that are gone for their callers once their route has another name, and against a
/// comparison by name where two routes have swapped theirs.
#[test]
fn jobs_are_reached_at_their_address_only_under_any_name() {
    let mut harness = at_work(&[ROUTE, OTHER]);
    let running = Some(JobReply::Status(JobState::Running));

    for (id, elsewhere) in [(ROUTE, OTHER), (OTHER, ROUTE)] {
        for name in [elsewhere, "third", "fourth"] {
            assert_eq!(harness.status_on(id, renamed(id, name)), running);
            let reply = harness.status_on(id, renamed(elsewhere, name));
            assert_eq!(reply, Some(JobReply::Gone));
        }
        harness.cancel_on(id, renamed(elsewhere, id));
    }
    harness.sync_all();
    assert_eq!(harness.running().len(), 2);

    harness.cancel_on(ROUTE, renamed(ROUTE, OTHER));
    harness.sync_all();
    assert_eq!(harness.running().len(), 1);
    assert_eq!(harness.status_on(OTHER, renamed(OTHER, ROUTE)), running);
}

/// Guards against a new owner that knows a job by its route's old name, and a done job that is gone.
#[test]
fn done_job_is_completed_under_another_name_after_a_takeover() {
    let mut harness = at_work(&[ROUTE]);
    harness.end_all(EndKind::Done);

    harness.take_over();
    harness.sync_all();

    let status = harness.status_on(ROUTE, renamed(ROUTE, OTHER));
    assert_eq!(status, Some(JobReply::Status(JobState::Completed)));
}

/// Guards against a count of waiting jobs that starts anew with the route's name.
#[test]
fn waiting_jobs_are_counted_by_address() {
    let mut harness = Harness::new();
    harness.submit_on("a", ROUTE);

    for (at, name, count) in [(ROUTE, OTHER, 1), (OTHER, ROUTE, 0)] {
        let route = renamed(at, name);
        let token = harness.request(JobRequest::Waiting { route });
        assert_eq!(harness.replies.get(&token), Some(&JobReply::Waiting(count)));
    }
}

/// Guards against an upgrade after which the jobs of before can't be reached.
#[test]
fn job_of_an_earlier_version_is_known_by_its_routes_name() {
    let mut harness = Harness::new();
    let earlier = (job(vec![stage(1, 1)]), terms(0), harness.unix_ms);
    let record = postcard::to_stdvec(&earlier).expect("encodable");
    overwrite(&mut harness, &format!("{JOB_PREFIX}a"), &record);

    harness.take_over();

    let status = [renamed(OTHER, ROUTE), renamed(ROUTE, OTHER)].map(|r| harness.status_on("a", r));
    let queued = JobReply::Status(JobState::Queued);
    assert_eq!(status, [Some(queued), Some(JobReply::Gone)]);
}
