//! Submitting, querying and cancelling jobs through the operators' API.

use base::prelude::*;
use ops::EntryPort;
use wire::operator::{JobSelection, JobSubmission};
use wire::{JobPhase, JobRef, SubmitReply};

use crate::harness::{Cluster, client, companion, wait_for_generation, wait_until};

fn request(key: &str, run_time: Duration) -> JobSubmission {
    JobSubmission {
        route: RouteName::from("proof"),
        key: JobKey::from(key),
        team: None,
        after: None,
        resources: None,
        run_time: Some(run_time),
        payload: "".into(),
    }
}

fn selection(key: &str) -> JobSelection {
    let pool = PoolName::from("manuscript-desk");
    JobSelection {
        jobs: vec![JobRef::Key(pool.clone(), JobKey::from(key))],
        pool,
    }
}

#[test]
fn submitted_jobs_finish_or_are_cancelled_and_count_towards_the_objective() {
    let cluster = Cluster::start();
    let app = cluster.entry("first", &[]);
    let applied = cluster.apply(3);
    let (target, worker) = (crate::target(), crate::worker());
    let companion = companion(target.addr(), worker.addr(), &[app.cfg().rpc_addr]);
    wait_for_generation(app.http_addr(), applied);
    let entry = client(app.http_addr());
    let phase = |key: &str| {
        let found = entry.job_statuses(&selection(key)).expect("find");
        found.first().map(|status| status.phase.clone())
    };
    let submit = |key: &str, run_time| {
        let submitted = entry.submit(&request(key, run_time));
        matches!(submitted, Ok(SubmitReply::Accepted { .. }))
    };

    wait_until(|| submit("quick", Duration::from_millis(10)));
    wait_until(|| submit("long", Duration::from_secs(3600)));
    wait_until(|| phase("quick") == Some(JobPhase::Finished));
    wait_until(|| matches!(phase("long"), Some(JobPhase::Running { .. })));
    let running = entry.status().expect("status").shards[0].running;
    wait_until(|| {
        entry.cancel(&selection("long")).is_ok() && phase("long") == Some(JobPhase::Cancelled)
    });
    let burn = entry.burn().expect("burn");

    assert_eq!(running, 1);
    assert_eq!(phase("unknown"), None);
    let proof = burn
        .routes
        .iter()
        .find(|route| route.route.as_str() == "proof");
    let week = proof.expect("route with an objective").week;
    assert_eq!((week.total, week.bad), (1, 0));
    companion.kill();
    app.kill();
}
