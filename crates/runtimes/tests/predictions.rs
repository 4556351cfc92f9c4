//! What is predicted from runs with wrong declarations, heavy tails, and changes.

use base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runtimes::{RunTimes, StageKey};

const MEAN: f64 = 1.9;

fn key(stage: u32) -> StageKey {
    StageKey {
        route: "revaluation".into(),
        stage,
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Runs with declared times off by up to `off` and, as a share of `tail`, seven times as long.
fn runs(count: usize, off: f64, tail: f64) -> Vec<(Duration, Duration)> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let one = |_| {
        let length = MEAN * (rng.random_range(-0.8..0.8_f64)).exp();
        let declared = length * (1.0 + rng.random_range(-off..off));
        let tail = if rng.random_bool(tail) { 7.0 } else { 1.0 };
        (seconds(declared), seconds(length * tail))
    };
    (0..count).map(one).collect()
}

fn learned(now: Instant, runs: &[(Duration, Duration)]) -> RunTimes {
    let mut run_times = RunTimes::default();
    for (declared, actual) in runs {
        run_times.record(now, &key(0), *declared, *actual);
    }
    run_times
}

/// The mean error of predictions, as a factor.
fn mean_factor(runs: &[(Duration, Duration)], predict: impl Fn(Duration) -> Duration) -> f64 {
    let errors = runs.iter().map(|(declared, actual)| {
        (actual.as_secs_f64() / predict(*declared).as_secs_f64())
            .ln()
            .abs()
    });
    (errors.sum::<f64>() / runs.len() as f64).exp()
}

#[test]
fn unknown_stage_is_predicted_as_declared_with_a_wide_spread() {
    let prediction = RunTimes::default().predict(&key(0), seconds(2.0));

    assert_eq!(prediction.typical, seconds(2.0));
    assert!(prediction.likely_max >= seconds(10.0), "{prediction:?}");
}

#[test]
fn constant_ratio_is_learned_soon() {
    let now = Instant::now();
    let runs = vec![(seconds(1.0), seconds(3.0)); 12];

    let prediction = learned(now, &runs).predict(&key(0), seconds(2.0));

    assert!(
        (4.5..6.5).contains(&prediction.typical.as_secs_f64()),
        "{prediction:?}"
    );
}

#[test]
fn wrong_declarations_are_corrected_by_the_usual_run_time() {
    let all = runs(400, 0.9, 0.0);
    let (past, next) = all.split_at(200);

    let run_times = learned(Instant::now(), past);

    let declared = mean_factor(next, |declared| declared);
    let predicted = mean_factor(next, |declared| {
        run_times.predict(&key(0), declared).typical
    });
    assert!(predicted < 0.87 * declared, "{predicted} {declared}");
}

#[test]
fn accurate_declarations_are_kept() {
    let all = runs(400, 0.1, 0.0);
    let (past, next) = all.split_at(200);

    let run_times = learned(Instant::now(), past);

    let predicted = mean_factor(next, |declared| {
        run_times.predict(&key(0), declared).typical
    });
    assert!(predicted < 1.12, "{predicted}");
}

#[test]
fn heavy_tail_moves_neither_prediction() {
    let now = Instant::now();
    let predict = |tail| learned(now, &runs(128, 0.2, tail)).predict(&key(0), seconds(MEAN));

    let (with, without) = (predict(0.03), predict(0.0));

    let change = |with: Duration, without: Duration| with.as_secs_f64() / without.as_secs_f64();
    assert!(
        (0.9..1.1).contains(&change(with.typical, without.typical)),
        "{with:?} {without:?}"
    );
    assert!(
        (0.9..1.3).contains(&change(with.likely_max, without.likely_max)),
        "{with:?} {without:?}"
    );
}

/// Three in a hundred runs, all at one end of the line, must not turn the line.
#[test]
fn heavy_tail_does_not_hide_accurate_declarations() {
    let now = Instant::now();
    let mut run_times = learned(now, &runs(60, 0.1, 0.0));
    for _ in 0..2 {
        run_times.record(now, &key(0), seconds(0.8), seconds(5.6));
    }

    let prediction = run_times.predict(&key(0), seconds(4.0));

    assert!(
        (3.4..4.6).contains(&prediction.typical.as_secs_f64()),
        "{prediction:?}"
    );
}

#[test]
fn likely_maximum_covers_nine_in_ten() {
    let all = runs(600, 0.9, 0.03);
    let (past, next) = all.split_at(200);

    let run_times = learned(Instant::now(), past);

    let is_within =
        |run: &&(Duration, Duration)| run.1 <= run_times.predict(&key(0), run.0).likely_max;
    let share = next.iter().filter(is_within).count() as f64 / next.len() as f64;
    assert!((0.85..0.96).contains(&share), "{share}");
}

#[test]
fn old_runs_lose_their_weight() {
    let now = Instant::now();
    let mut run_times = learned(now, &[(seconds(1.0), seconds(1.0)); 100]);
    let later = now + Duration::from_secs(600);

    for _ in 0..10 {
        run_times.record(later, &key(0), seconds(1.0), seconds(4.0));
    }

    let prediction = run_times.predict(&key(0), seconds(1.0));
    assert!(prediction.typical >= seconds(3.0), "{prediction:?}");
}

#[test]
fn stages_are_bounded_and_those_in_use_are_kept() {
    let now = Instant::now();
    let mut run_times = RunTimes::default();

    for stage in 0..1000 {
        let now = now + Duration::from_millis(u64::from(stage));
        run_times.record(now, &key(0), seconds(1.0), seconds(5.0));
        run_times.record(now, &key(stage), seconds(1.0), seconds(1.0));
    }

    assert!(run_times.stages() <= 128);
    let prediction = run_times.predict(&key(0), seconds(1.0));
    assert!(prediction.typical >= seconds(4.0), "{prediction:?}");
}

/// Guards against a declared time that is too large for a prediction: it ended the process.
#[test]
fn longest_declared_time_is_predicted_too() {
    let now = Instant::now();
    let run_times = learned(now, &[(seconds(0.001), seconds(900.0)); 100]);

    let prediction = run_times.predict(&key(0), Duration::from_millis(u64::MAX));

    assert!(prediction.likely_max >= prediction.typical);
    assert!(now.checked_add(prediction.likely_max).is_some());
}
