//! Fillers beside services with a tail target, on whole desks.

mod hand_in;
#[path = "../rig/mod.rs"]
mod rig;
mod world;

use world::{GROWN, Outcome, SMALL, Size, World};

/// How long a service may be over its target beside fillers at work, in seconds.
const HARM_BOUND: f64 = 4.0;

/// The least share of the worth of the heaviest kind on a calm day: the highest that a desk asks.
const HEAVY_FLOOR: f64 = 0.41;

/// The least share of a service's time with its tail in order: a twentieth of the time over it
/// costs a fifth of the worth.
const SERVING_FLOOR: f64 = 0.8;

/// Returns the mean over some seeds, and the longest harm of all.
fn play(size: Size, seeds: std::ops::Range<u64>) -> Outcome {
    let count = (seeds.end - seeds.start) as f64;
    let mut mean = Outcome::default();
    for seed in seeds {
        let outcome = World::new(size, seed).play();
        println!("{seed}: {outcome:.3?}");
        mean.heavy += outcome.heavy / count;
        mean.serving += outcome.serving / count;
        mean.longest_over = mean.longest_over.max(outcome.longest_over);
    }
    println!("mean: {mean:.3?}");
    mean
}

fn assert_floors(outcome: Outcome) {
    assert!(outcome.longest_over < HARM_BOUND, "{outcome:?}");
    assert!(outcome.heavy >= HEAVY_FLOOR, "{outcome:?}");
    assert!(outcome.serving >= SERVING_FLOOR, "{outcome:?}");
}

#[test]
fn a_small_desk_serves_both_kinds() {
    let outcome = play(SMALL, 0..8);

    assert_floors(outcome);
}

#[test]
fn a_grown_desk_serves_both_kinds() {
    let outcome = play(GROWN, 0..2);

    assert_floors(outcome);
}

/// The load of the heaviest days: half as much again.
#[test]
fn an_overloaded_desk_keeps_its_services_and_still_does_heavy_work() {
    let size = Size {
        rate: 1.5 * SMALL.rate,
        ..SMALL
    };

    let outcome = play(size, 0..8);

    assert_floors(outcome);
}
