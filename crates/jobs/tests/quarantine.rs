//! Workers that fail what they start.

mod rig;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobSpec, StageSpec};

use rig::{Rig, job, stage};

/// Longer than a worker gets no task after it failed several.
const QUARANTINE: Duration = Duration::from_secs(3);

fn standing() -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        ..stage(1, 4)
    }])
}

/// One worker with a standing task, on which tasks of two jobs have failed.
fn rig_with_suspect() -> Rig {
    let mut rig = Rig::new();
    rig.add_vm("vm", 16);
    rig.sync_all();
    rig.submit("standing", standing());
    rig.sync_all();
    rig.submit("job-1", job(vec![stage(1, 4)]));
    rig.submit("job-2", job(vec![stage(1, 4)]));
    rig.sync_all();
    let runs = rig.running();
    for (_, run) in runs
        .iter()
        .filter(|(_, r)| r.task.job.as_str() != "standing")
    {
        rig.vm("vm").end(run, EndKind::Failed);
    }
    rig.sync_all();
    assert_eq!(rig.running().len(), 1, "the worker is suspect");
    rig
}

#[test]
fn a_suspect_with_a_standing_task_is_probed_with_one_task() {
    let mut rig = rig_with_suspect();

    rig.pass(QUARANTINE, &["vm"]);

    assert_eq!(rig.running().len(), 2, "the standing task and a probe");
}

#[test]
fn a_probe_that_goes_on_clears_the_worker() {
    let mut rig = rig_with_suspect();
    rig.pass(QUARANTINE, &["vm"]);

    rig.pass(QUARANTINE, &["vm"]);

    assert_eq!(rig.running().len(), 3);
}

#[test]
fn a_probe_that_fails_keeps_the_worker_out() {
    let mut rig = rig_with_suspect();
    rig.pass(QUARANTINE, &["vm"]);
    let runs = rig.running();
    let probe = runs.iter().find(|(_, r)| r.task.job.as_str() != "standing");
    let probe = probe.expect("a probe runs").1.clone();

    rig.vm("vm").end(&probe, EndKind::Failed);
    rig.sync_all();

    assert_eq!(rig.running().len(), 1);
}
