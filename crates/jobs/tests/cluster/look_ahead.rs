//! Small and large tasks that want the same room.

use base::prelude::*;

use crate::simulation::{Mix, Size};

/// Shapes as on the users' newer deployments.
const MIX: Mix = Mix {
    worker: Resources::new(16, 64_000, 0),
    standing: resources(3200, 6400),
    heavy: resources(1800, 3200),
    quick: resources(450, 900),
    quick_rate: 9.2,
    standing_rate: 0.13,
    is_heavy_best_effort: true,
    tail: 0.03,
    declared_off: (0.9, 0.2),
};

/// Workers of 16 or 24 cores, four fifths full of latency-critical tasks.
const FULL: Size = Size {
    workers: 77,
    latency_critical_jobs: 27,
    latency_critical_classes: 10,
    best_effort_classes: 18,
    mean_tasks: (14.0, 20.0),
    rate: 2.9,
    mix: Some(MIX),
};

const fn resources(cpu_milli: u64, memory_mib: u64) -> Resources {
    Resources {
        cpu_milli,
        memory_mib,
        accelerators: 0,
    }
}

/// The same workers with fewer latency-critical tasks, so that heavy tasks that are charged fill them.
const CHARGED: Size = Size {
    latency_critical_jobs: 20,
    mix: Some(Mix {
        is_heavy_best_effort: false,
        ..MIX
    }),
    ..FULL
};

#[test]
#[ignore = "a measurement of minutes, see docs/design/lookahead.md"]
fn measure_beside_best_effort_tasks() {
    crate::run_seeds(FULL, 0..4);
}

#[test]
#[ignore = "a measurement of minutes, see docs/design/lookahead.md"]
fn measure_among_charged_tasks() {
    crate::run_seeds(CHARGED, 0..2);
}
