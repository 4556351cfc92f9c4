//! Best-effort tasks next to latency-critical services, on simulated clusters.

#[path = "../harness/mod.rs"]
mod harness;
mod look_ahead;
mod simulation;
mod workload;

use simulation::{GROWN, Outcome, SMALL, Simulation, Size};

/// How long a service may exceed its target next to running best-effort tasks, in seconds.
const MAX_SECONDS_OVER_TARGET: f64 = 4.0;

/// The minimum share of the value of best-effort jobs at normal load: the highest requirement of
/// any cluster.
const BEST_EFFORT_FLOOR: f64 = 0.41;

/// The minimum score of services: the share of time within the latency target, where exceeding it
/// for a twentieth of the time costs a fifth of the value.
const SERVICES_FLOOR: f64 = 0.8;

/// Returns the mean over some seeds, and the longest time over a target of all.
fn run_seeds(size: Size, seeds: std::ops::Range<u64>) -> Outcome {
    let count = (seeds.end - seeds.start) as f64;
    let mut mean = Outcome::default();
    for seed in seeds {
        let outcome = Simulation::new(size, seed).run_to_end();
        println!("{seed}: {outcome:.3?}");
        mean.best_effort += outcome.best_effort / count;
        mean.services += outcome.services / count;
        mean.quick += outcome.quick / count;
        for kind in 0..3 {
            mean.waits[kind].0 += outcome.waits[kind].0 / count;
            mean.waits[kind].1 += outcome.waits[kind].1 / count;
            mean.unstarted[kind] += outcome.unstarted[kind] / count;
        }
        mean.longest_over = mean.longest_over.max(outcome.longest_over);
    }
    println!("mean: {mean:.3?}");
    mean
}

fn assert_floors(outcome: Outcome) {
    assert!(
        outcome.longest_over < MAX_SECONDS_OVER_TARGET,
        "{outcome:?}"
    );
    assert!(outcome.best_effort >= BEST_EFFORT_FLOOR, "{outcome:?}");
    assert!(outcome.services >= SERVICES_FLOOR, "{outcome:?}");
}

#[test]
fn small_cluster_meets_floors() {
    let outcome = run_seeds(SMALL, 0..8);

    assert_floors(outcome);
}

#[test]
fn grown_cluster_meets_floors() {
    let outcome = run_seeds(GROWN, 0..2);

    assert_floors(outcome);
}

/// On the busiest days the load is one and a half times the normal one; services and best-effort
/// jobs must still meet their floors.
#[test]
fn overloaded_cluster_meets_floors() {
    let size = Size {
        rate: 1.5 * SMALL.rate,
        ..SMALL
    };

    let outcome = run_seeds(size, 0..8);

    assert_floors(outcome);
}
