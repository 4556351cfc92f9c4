//! Short runs of the long randomised run, from fixed seeds.

use std::time::Duration;

use soak::{Report, SoakCfg, World};

/// How long faults come.
const SPAN: Duration = Duration::from_secs(240);

/// How long the system gets to come to rest: the longest task, after the grace of the pool.
const QUIET: Duration = Duration::from_secs(900);

fn run(seed: u64) -> Report {
    let cfg = SoakCfg {
        quiet: QUIET,
        fault_every: Duration::from_secs(12),
        ..SoakCfg::new(seed, SPAN)
    };
    World::new(cfg).run()
}

fn assert_holds(seed: u64) {
    let report = run(seed);

    assert!(report.violations.is_empty(), "{report}");
    assert!(report.operations["jobs finished"] > 0, "{report}");
    assert!(report.operations["requests answered"] > 0, "{report}");
}

#[test]
fn seed_11_breaks_no_promise() {
    assert_holds(11);
}

#[test]
fn seed_12_breaks_no_promise() {
    assert_holds(12);
}

#[test]
fn seed_13_breaks_no_promise() {
    assert_holds(13);
}

#[test]
fn the_same_seed_makes_the_same_run() {
    let (first, second) = (run(14), run(14));

    assert_eq!(first.trace_hash, second.trace_hash);
    assert_eq!(first.trace_lines, second.trace_lines);
}
