//! Who is at fault for a crash, and when that is proved.

use base::prelude::*;
use blame::{Candidate, Evidence, Strength, Verdict, assess, attribute, trial};

fn evidence(vm: &str, ran_ms: u64, strength: Strength) -> Evidence {
    Evidence {
        vm: vm.into(),
        incarnation: Incarnation(1),
        ran_ms,
        strength,
        is_certain: true,
        has_other_causes: false,
    }
}

fn candidate(evidence: &[Evidence], ran_ms: u64) -> Candidate<'_> {
    Candidate { evidence, ran_ms }
}

fn uncertain(vm: &str) -> Evidence {
    Evidence {
        is_certain: false,
        ..evidence(vm, 10, Strength::Alone)
    }
}

#[test]
fn runs_that_have_just_started_are_suspected_before_others() {
    let runs = [candidate(&[], 14), candidate(&[], 26), candidate(&[], 817)];

    let (strengths, _) = attribute(&runs);

    let expected = [Strength::Shared, Strength::Shared, Strength::Distant];
    assert_eq!(strengths, expected);
}

#[test]
fn run_on_trial_is_suspected_alone_beside_runs_that_have_lasted() {
    let before = [evidence("a", 14, Strength::Shared)];
    let runs = [candidate(&before, 20), candidate(&[], 5000)];

    let (strengths, _) = attribute(&runs);

    assert_eq!(strengths, [Strength::Alone, Strength::Distant]);
}

#[test]
fn run_that_has_outlasted_its_trial_is_not_suspected_before_others() {
    let before = [evidence("a", 14, Strength::Shared)];
    let runs = [candidate(&before, 2000), candidate(&[], 5)];

    let (strengths, _) = attribute(&runs);

    assert_eq!(strengths, [Strength::Distant, Strength::Alone]);
}

#[test]
fn run_on_trial_shares_the_suspicion_with_one_that_has_just_started() {
    let before = [evidence("a", 14, Strength::Shared)];
    let runs = [candidate(&before, 20), candidate(&[], 5)];

    let (strengths, _) = attribute(&runs);

    assert_eq!(strengths, [Strength::Shared, Strength::Shared]);
}

#[test]
fn one_crash_is_no_proof() {
    let verdict = assess(&[evidence("a", 10, Strength::Alone)]);

    assert_eq!(verdict, Verdict::Suspect);
}

#[test]
fn second_prompt_crash_alone_is_a_proof() {
    let crashes = [
        evidence("a", 14, Strength::Shared),
        evidence("b", 19, Strength::Alone),
    ];

    assert_eq!(assess(&crashes), Verdict::Guilty);
}

#[test]
fn two_prompt_crashes_among_others_are_no_proof() {
    let crashes = [
        evidence("a", 14, Strength::Shared),
        Evidence {
            has_other_causes: true,
            ..evidence("b", 19, Strength::Alone)
        },
    ];

    assert_eq!(assess(&crashes), Verdict::PrimeSuspect);
}

#[test]
fn crash_under_runs_that_have_all_lasted_has_another_cause() {
    let (_, is_explained) = attribute(&[candidate(&[], 5000), candidate(&[], 817)]);

    assert!(!is_explained);
}

#[test]
fn two_crashes_of_one_vm_are_no_proof() {
    let crashes = [
        evidence("a", 14, Strength::Alone),
        evidence("a", 19, Strength::Alone),
    ];

    assert_eq!(assess(&crashes), Verdict::PrimeSuspect);
}

#[test]
fn four_crashes_of_the_only_vm_are_a_proof() {
    let crashes = vec![evidence("a", 14, Strength::Alone); 4];

    assert_eq!(assess(&crashes), Verdict::Guilty);
}

#[test]
fn unrelated_crashes_at_any_time_are_no_proof() {
    let crashes = [
        evidence("a", 900, Strength::Distant),
        evidence("b", 15_000, Strength::Distant),
        evidence("c", 4000, Strength::Distant),
        evidence("d", 30_000, Strength::Distant),
        evidence("e", 200, Strength::Shared),
    ];

    assert!(assess(&crashes) < Verdict::Guilty);
}

#[test]
fn crashes_at_the_same_point_of_the_work_are_a_proof() {
    let crashes = [
        evidence("a", 5000, Strength::Distant),
        evidence("b", 5100, Strength::Distant),
        evidence("c", 4900, Strength::Distant),
        evidence("d", 5050, Strength::Alone),
        evidence("e", 5050, Strength::Alone),
    ];

    assert_eq!(assess(&crashes[..2]), Verdict::Clear);
    assert_eq!(assess(&crashes[..3]), Verdict::Suspect);
    assert_eq!(assess(&crashes[..4]), Verdict::PrimeSuspect);
    assert_eq!(assess(&crashes), Verdict::Guilty);
}

#[test]
fn crash_long_after_a_start_does_not_excuse_later_ones() {
    let crashes = [
        evidence("a", 477, Strength::Distant),
        evidence("b", 16, Strength::Shared),
        evidence("c", 12, Strength::Alone),
        evidence("d", 11, Strength::Alone),
    ];

    assert_eq!(assess(&crashes), Verdict::Guilty);
}

#[test]
fn crashes_alone_at_different_points_of_the_work_are_no_proof() {
    let crashes = [
        evidence("a", 200, Strength::Shared),
        evidence("b", 4000, Strength::Alone),
        evidence("c", 900, Strength::Alone),
        evidence("d", 12_000, Strength::Alone),
    ];

    assert!(assess(&crashes) < Verdict::Guilty);
}

#[test]
fn fifth_crash_is_a_proof_whatever_the_times() {
    let crashes = [
        evidence("a", 200, Strength::Shared),
        evidence("b", 4000, Strength::Alone),
        evidence("c", 900, Strength::Alone),
        evidence("d", 12_000, Strength::Shared),
        evidence("e", 2000, Strength::Alone),
    ];

    assert_eq!(assess(&crashes), Verdict::Guilty);
}

#[test]
fn losses_without_a_certain_crash_are_no_proof() {
    let losses = ["a", "b", "c", "d", "e"].map(uncertain);

    assert_eq!(assess(&losses), Verdict::Suspect);
}

#[test]
fn trial_lasts_longer_than_the_task_had_run_at_any_crash() {
    let crashes = [
        evidence("a", 14, Strength::Shared),
        evidence("b", 2000, Strength::Alone),
    ];

    assert!(trial(&crashes) > Duration::from_secs(2));
}

#[test]
fn trial_need_not_outlast_crashes_that_others_explain_better() {
    let crashes = [
        evidence("a", 60_000, Strength::Distant),
        evidence("b", 14, Strength::Shared),
    ];

    assert!(trial(&crashes) < Duration::from_secs(1));
}
