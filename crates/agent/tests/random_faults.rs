//! Random faults between a companion, an exact worker and two owners: what is reported is true.

mod model;

use std::panic::{AssertUnwindSafe, catch_unwind};

use model::Play;

const SEEDS: u64 = 60;

/// Guards against conclusions that a late call, an earlier owner, a restart or a suspension undoes.
#[test]
fn reports_are_true_under_random_faults() {
    let (mut starts, mut settled, mut rejected) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut play = Play::new(seed);
        let outcome = catch_unwind(AssertUnwindSafe(|| play.play()));
        let last = play.trace.len().saturating_sub(80);
        assert!(
            outcome.is_ok(),
            "seed {seed}:\n{}",
            play.trace[last..].join("\n")
        );
        starts += play.worker.presence.len();
        settled += play.settled;
        rejected += play.rejected.len();
    }
    println!("starts {starts}, settled reports {settled}, rejections {rejected}");
    assert!(starts > 1000 && settled > 1000 && rejected > 200);
}
