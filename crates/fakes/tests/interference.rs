//! The interference model: its values depend only on the seed, and throttling reduces them.

use std::sync::Arc;
use std::time::Duration;

use base::{ClassName, ManualClock, Resources};
use fakes::interference::{InterferenceModel, InterferenceModelCfg, Victim, WorkerInterference};
use fakes::worker::{Interference, Workload};

const CAPACITY: Resources = Resources::new(64, 250 * 1024, 0);

fn class(n: usize) -> ClassName {
    format!("class-{n}").into()
}

fn service() -> Workload {
    Workload {
        class: "price-check".into(),
        granted: Resources::ZERO,
        throttle: 1.0,
        load: 1.0,
    }
}

fn task(class: ClassName, throttle: f64) -> Workload {
    Workload {
        class,
        granted: Resources::new(32, 1_000, 0),
        throttle,
        load: 1.0,
    }
}

/// Returns the class that slows the service most, of twenty.
fn worst(model: &InterferenceModel) -> ClassName {
    let victim = service().class;
    let slowdown =
        |class: &ClassName| model.slowdown(Victim::Service, &victim, class, Duration::ZERO);
    (0..20)
        .map(class)
        .max_by(|a, b| slowdown(a).total_cmp(&slowdown(b)))
        .expect("there are twenty")
}

#[test]
fn same_seed_gives_same_values_in_any_query_order() {
    let one = InterferenceModel::new(InterferenceModelCfg::default(), 5);
    let two = InterferenceModel::new(InterferenceModelCfg::default(), 5);
    let at = Duration::from_secs(3 * 3600);

    let forwards: Vec<f64> = (0..20)
        .map(|n| one.slowdown(Victim::Batch, &class(n), &class(n + 1), at))
        .collect();
    let mut backwards: Vec<f64> = (0..20)
        .rev()
        .map(|n| two.slowdown(Victim::Batch, &class(n), &class(n + 1), at))
        .collect();
    backwards.reverse();

    assert_eq!(forwards, backwards);
}

#[test]
fn some_but_not_most_pairs_change_between_phases() {
    let model = InterferenceModel::new(InterferenceModelCfg::default(), 5);
    let changed = (0..200)
        .filter(|&n| {
            let pair = |phase| model.pair(Victim::Batch, &class(n), &class(n + 1), phase);
            pair(0) != pair(1)
        })
        .count();

    assert!((1..100).contains(&changed), "{changed} of 200 changed");
}

#[test]
fn throttled_neighbour_slows_a_service_less() {
    let model = Arc::new(InterferenceModel::new(InterferenceModelCfg::default(), 5));
    let worst = worst(&model);
    let interference = WorkerInterference::new(model, Arc::new(ManualClock::new()), CAPACITY);

    let alone = interference.speed(&service(), &[]);
    let full = interference.speed(&service(), &[task(worst.clone(), 1.0)]);
    let throttled = interference.speed(&service(), &[task(worst, 0.25)]);

    assert!(
        full < throttled && throttled < alone,
        "{full} {throttled} {alone}"
    );
}
