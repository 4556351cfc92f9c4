//! Fillers beside services with a tail target, on whole desks.

#[path = "../rig/mod.rs"]
mod rig;
mod world;

use world::{GROWN, Outcome, SMALL, Size, World};

/// The mean over some seeds.
fn play(size: Size, seeds: std::ops::Range<u64>) -> Outcome {
    let count = (seeds.end - seeds.start) as f64;
    let mut mean = Outcome::default();
    let mut worths: Vec<f64> = Vec::new();
    for seed in seeds {
        let outcome = World::new(size, seed).play();
        println!("{seed}: {outcome:.3?}");
        worths.push(0.46 * outcome.heavy + 0.49 * outcome.serving);
        mean.heavy += outcome.heavy / count;
        mean.serving += outcome.serving / count;
        mean.longest_over = mean.longest_over.max(outcome.longest_over);
    }
    let m = worths.iter().sum::<f64>() / count;
    let sd = (worths.iter().map(|w| (w - m).powi(2)).sum::<f64>() / count / count).sqrt();
    println!("mean: {mean:.3?} worth {m:.4} +- {sd:.4}");
    mean
}

#[test]
fn small_desk() {
    play(
        SMALL,
        0..std::env::var("N").map_or(8, |n| n.parse().unwrap()),
    );
}

#[test]
fn grown_desk() {
    play(
        GROWN,
        0..std::env::var("N").map_or(8, |n| n.parse::<u64>().unwrap() / 4),
    );
}
