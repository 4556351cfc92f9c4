//! Whether failed runs speak against what ran or against its workers.

use base::prelude::*;
use blame::Outcomes;

const RAN: Duration = Duration::from_millis(100);

fn failed_on(vms: &[&str]) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for vm in vms {
        outcomes.record_failure(&(*vm).into(), RAN);
    }
    outcomes
}

#[test]
fn failures_on_one_worker_prove_nothing() {
    let outcomes = failed_on(&["one", "one", "one"]);

    assert!(!outcomes.is_at_fault());
}

#[test]
fn failures_on_two_workers_without_a_success_prove_a_fault() {
    let outcomes = failed_on(&["one", "two"]);

    assert!(outcomes.is_at_fault());
}

#[test]
fn as_many_successes_elsewhere_clear_it() {
    let mut outcomes = failed_on(&["one", "two"]);

    outcomes.record_success(&"three".into());
    outcomes.record_success(&"four".into());

    assert!(!outcomes.is_at_fault());
}

#[test]
fn failure_after_others_succeeded_there_proves_a_fault() {
    let mut outcomes = failed_on(&["one"]);
    outcomes.record_success_of_others(&"one".into());
    assert!(!outcomes.is_at_fault());

    outcomes.record_failure(&"one".into(), RAN);

    assert!(outcomes.is_at_fault());
}

#[test]
fn earlier_successes_count() {
    let mut outcomes = Outcomes::with_successes(2);

    outcomes.record_failure(&"one".into(), RAN);
    outcomes.record_failure(&"two".into(), RAN);

    assert!(!outcomes.is_at_fault());
}

#[test]
fn replaced_worker_is_forgotten() {
    let mut outcomes = failed_on(&["one", "two"]);

    outcomes.forget(&"two".into());

    assert!(!outcomes.is_at_fault());
}
