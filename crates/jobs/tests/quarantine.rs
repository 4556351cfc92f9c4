//! Quarantine of workers whose tasks fail.

mod harness;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobSpec, StageSpec};

use harness::{Harness, job, stage};

/// Longer than a quarantine lasts.
const QUARANTINE: Duration = Duration::from_secs(3);

fn standing() -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        ..stage(1, 4)
    }])
}

/// A quarantined worker that runs a standing task; tasks of two other jobs failed on it.
fn harness_with_quarantined_worker() -> Harness {
    let mut harness = Harness::new();
    harness.add_vm("vm", 16);
    harness.sync_all();
    harness.submit("standing", standing());
    harness.sync_all();
    harness.submit("job-1", job(vec![stage(1, 4)]));
    harness.submit("job-2", job(vec![stage(1, 4)]));
    harness.sync_all();
    let runs = harness.running();
    for (_, run) in runs
        .iter()
        .filter(|(_, r)| r.task.job.as_str() != "standing")
    {
        harness.vm("vm").end(run, EndKind::Failed);
    }
    harness.sync_all();
    assert_eq!(harness.running().len(), 1, "the worker is quarantined");
    harness
}

#[test]
fn quarantined_worker_gets_one_probe() {
    let mut harness = harness_with_quarantined_worker();

    harness.pass(QUARANTINE, &["vm"]);

    assert_eq!(harness.running().len(), 2, "the standing task and a probe");
}

#[test]
fn long_running_probe_ends_quarantine() {
    let mut harness = harness_with_quarantined_worker();
    harness.pass(QUARANTINE, &["vm"]);

    harness.pass(QUARANTINE, &["vm"]);

    assert_eq!(harness.running().len(), 3);
}

#[test]
fn failed_probe_extends_quarantine() {
    let mut harness = harness_with_quarantined_worker();
    harness.pass(QUARANTINE, &["vm"]);
    let runs = harness.running();
    let probe = runs.iter().find(|(_, r)| r.task.job.as_str() != "standing");
    let probe = probe.expect("a probe runs").1.clone();

    harness.vm("vm").end(&probe, EndKind::Failed);
    harness.sync_all();

    assert_eq!(harness.running().len(), 1);
}
