//! Compares interference-aware placement with baselines and an oracle on the same load.
//!
//! ```text
//! cargo run --release --example placement -- [--seeds N] [--desk DESK] [--only POLICY]... [policies|parts|urgent]
//! ```

mod simulation;
mod stats;
mod workload;

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::ClassName;
use bpaf::Bpaf;
use fakes::interference::{InterferenceModel, InterferenceModelCfg, Victim};
use place::{Choice, Features, InterferenceOracle, Placer, PlacerCfg};

use crate::simulation::{Outcome, Simulation};
use crate::workload::{Load, MANUSCRIPT, TRADING, WorkloadProfile};

/// The experiment to run.
#[derive(Clone, Copy, Debug)]
enum Experiment {
    Policies,
    /// Interference-aware placement with one feature switched off or changed at a time.
    Ablations,
    /// The start delay of urgent jobs.
    Urgent,
}

/// The command line.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Args {
    /// How many seeds, from 1.
    #[bpaf(argument("N"), fallback(20))]
    seeds: u64,
    /// How many runs at once.
    #[bpaf(argument("N"), fallback(3))]
    threads: usize,
    /// The desk, where one alone is wanted.
    #[bpaf(argument("DESK"), optional)]
    desk: Option<String>,
    /// A policy to run, where not all are wanted; may be repeated.
    #[bpaf(argument("POLICY"), many)]
    only: Vec<String>,
    /// What is compared: policies, parts or urgent.
    #[bpaf(positional("PART"), fallback("policies".to_owned()))]
    part: String,
}

/// A placement policy: a name and the configuration of the placer.
#[derive(Clone, Debug)]
struct Policy {
    name: &'static str,
    cfg: PlacerCfg,
    oracle: bool,
}

/// Load of the comparisons, somewhat above the capacity of the pool.
const LOAD: Load = Load {
    length: Duration::from_secs(4 * 3600),
    rate: 1000.0,
    backlog: 150,
    urgent: 0.01,
};
const STEP: Duration = Duration::from_secs(1);
/// Load and time step of the measurement of urgent starts.
const URGENT_LOAD: Load = Load {
    length: Duration::from_secs(1800),
    rate: 1000.0,
    backlog: 300,
    urgent: 0.05,
};
const URGENT_STEP: Duration = Duration::from_millis(50);

/// Gives the placer the true interference, an upper bound of what it could learn from samples.
#[derive(Debug)]
struct Oracle {
    model: Arc<InterferenceModel>,
    services: [&'static str; workload::SERVICES],
    start: Instant,
}

impl InterferenceOracle for Oracle {
    fn interference(&self, victim: &ClassName, aggressor: &ClassName, now: Instant) -> f64 {
        let service = self.services.contains(&victim.as_str());
        let kind = if service {
            Victim::Service
        } else {
            Victim::Batch
        };
        let at = now.saturating_duration_since(self.start);
        self.model.slowdown(kind, victim, aggressor, at)
    }
}

fn main() {
    let args = args().run();
    let experiment = match args.part.as_str() {
        "parts" => Experiment::Ablations,
        "urgent" => Experiment::Urgent,
        _ => Experiment::Policies,
    };
    for profile in [MANUSCRIPT, TRADING] {
        if args.desk.as_ref().is_some_and(|name| name != profile.name) {
            continue;
        }
        let (policies, load, step) = match experiment {
            Experiment::Policies => (policies(), LOAD, STEP),
            Experiment::Ablations => (ablations(), LOAD, STEP),
            Experiment::Urgent => (vec![policy("harm-aware", |_| {})], URGENT_LOAD, URGENT_STEP),
        };
        println!("\n{} desk, seeds 1-{}", profile.name, args.seeds);
        let rows: Vec<_> = policies
            .iter()
            .filter(|policy| args.only.is_empty() || args.only.iter().any(|n| n == policy.name))
            .map(|policy| (policy.name, run_seeds(policy, &profile, &load, step, &args)))
            .collect();
        stats::print(&rows);
    }
}

fn run_seeds(
    policy: &Policy,
    profile: &WorkloadProfile,
    load: &Load,
    step: Duration,
    args: &Args,
) -> Vec<Outcome> {
    let seeds: Vec<u64> = (1..=args.seeds).collect();
    let chunk_len = seeds.len().div_ceil(args.threads.max(1)).max(1);
    std::thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .chunks(chunk_len)
            .map(|seeds| {
                scope.spawn(|| -> Vec<Outcome> {
                    seeds
                        .iter()
                        .map(|&seed| run(policy, profile, load, step, seed))
                        .collect()
                })
            })
            .collect();
        runs.into_iter()
            .flat_map(|run| run.join().expect("a run does not panic"))
            .collect()
    })
}

fn run(
    policy: &Policy,
    profile: &WorkloadProfile,
    load: &Load,
    step: Duration,
    seed: u64,
) -> Outcome {
    let model = Arc::new(InterferenceModel::new(
        InterferenceModelCfg::default(),
        seed,
    ));
    let start = Instant::now();
    let mut placer = Placer::new(policy.cfg.clone(), seed);
    if policy.oracle {
        placer = placer.with_oracle(Box::new(Oracle {
            model: Arc::clone(&model),
            services: profile.services,
            start,
        }));
    }
    Simulation::new(profile, load, step, &model, placer, start, seed).run(load)
}

fn policy(name: &'static str, change: impl FnOnce(&mut PlacerCfg)) -> Policy {
    let mut cfg = PlacerCfg::default();
    change(&mut cfg);
    Policy {
        name,
        cfg,
        oracle: false,
    }
}

fn policies() -> Vec<Policy> {
    let mut oracle = policy("oracle", |_| {});
    oracle.oracle = true;
    vec![
        policy("least-loaded", |cfg| cfg.choice = Choice::LeastLoaded),
        policy("least-loaded, no evictions", |cfg| {
            cfg.choice = Choice::LeastLoaded;
            cfg.features.escalation = false;
        }),
        policy("best-fit", |cfg| cfg.choice = Choice::BestFit),
        policy("random", |cfg| cfg.choice = Choice::Random),
        policy("harm-aware", |_| {}),
        oracle,
    ]
}

fn ablations() -> Vec<Policy> {
    let without = |name, change: fn(&mut Features)| policy(name, |cfg| change(&mut cfg.features));
    vec![
        policy("harm-aware", |_| {}),
        without("without the ladder", |f| f.escalation = false),
        without("without throttling", |f| f.throttle = false),
        without("without common slowdowns", |f| f.common_slowdown = false),
        without("without forgetting", |f| f.forget = false),
        without("without batch victims", |f| f.batch_victims = false),
        without("without holding back", |f| f.hold_back = false),
        without("without suiting", |f| f.eligibility_levels = false),
        without("without matching the lag", |f| f.match_lag = false),
        without("without reservations", |f| f.reserve = false),
        policy("without size correction", |cfg| cfg.grant_ceiling = 1.0),
        policy("with grants down to half", |cfg| cfg.grant_floor = 0.5),
    ]
}
