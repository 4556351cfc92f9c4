//! Short soak runs from fixed seeds.

use std::time::Duration;

use soak::{Report, Simulation, SoakCfg};

/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(240);

/// Time without faults in which all work must finish: the pool's grace period, then the longest
/// task.
const SETTLING_TIME: Duration = Duration::from_secs(900);

fn run(seed: u64) -> Report {
    let cfg = SoakCfg {
        quiet: SETTLING_TIME,
        fault_every: Duration::from_secs(12),
        ..SoakCfg::new(seed, FAULT_DURATION)
    };
    Simulation::new(cfg).run()
}

fn assert_no_violations(seed: u64) {
    let report = run(seed);

    assert!(report.violations.is_empty(), "{report}");
    assert!(report.operations["jobs finished"] > 0, "{report}");
    assert!(report.operations["requests answered"] > 0, "{report}");
}

#[test]
fn seed_11_breaks_no_promise() {
    assert_no_violations(11);
}

#[test]
fn seed_12_breaks_no_promise() {
    assert_no_violations(12);
}

#[test]
fn seed_13_breaks_no_promise() {
    assert_no_violations(13);
}

#[test]
fn same_seed_gives_the_same_trace() {
    let (first, second) = (run(14), run(14));

    assert_eq!(first.trace_hash, second.trace_hash);
    assert_eq!(first.trace_lines, second.trace_lines);
}
