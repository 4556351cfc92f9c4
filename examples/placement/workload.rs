//! Workload profiles of the two desks: services, job classes, teams and placement weights.

use std::time::Duration;

use base::{ClassName, JobId, PoolName, Resources, TeamName};
use fakes::interference::InterferenceModel;
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tables::{Pool, Priority, Quota, Weights};

/// Number of services and of task classes in a profile.
pub const SERVICES: usize = 3;
pub const CLASSES: usize = 6;

/// The workload of one desk at its current size.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadProfile {
    pub name: &'static str,
    pub weights: Weights,
    pub services: [&'static str; SERVICES],
    pub classes: [&'static str; CLASSES],
    pub teams: [&'static str; 5],
}

pub const MANUSCRIPT: WorkloadProfile = WorkloadProfile {
    name: "manuscript",
    weights: Weights::MANUSCRIPT,
    services: ["reference-check", "proof-preview", "style-lookup"],
    classes: [
        "typeset",
        "figures",
        "math",
        "index",
        "cross-reference",
        "archive",
    ],
    teams: ["suva", "labasa", "nadi", "press", "journals"],
};

pub const TRADING: WorkloadProfile = WorkloadProfile {
    name: "trading",
    weights: Weights::TRADING,
    services: ["price-check", "lot-search", "cover-scan"],
    classes: [
        "settlement",
        "valuation",
        "grading",
        "catalogue",
        "fraud-scan",
        "report",
    ],
    teams: ["perth", "kalgoorlie", "fremantle", "bunbury", "albany"],
};

/// A job with its declared and its actual demand.
#[derive(Clone, Debug)]
pub struct Job {
    /// Arrival time since the start of the run.
    pub at: Duration,
    pub id: JobId,
    pub team: TeamName,
    pub class: ClassName,
    /// Index of the class in the profile's list.
    pub class_index: usize,
    pub priority: Priority,
    pub declared: Resources,
    pub declared_time: Duration,
    pub needed: Resources,
    pub work: Duration,
}

/// Parameters of the load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub length: Duration,
    /// Jobs per hour.
    pub rate: f64,
    /// Jobs queued at the start.
    pub backlog: usize,
    /// Share of urgent jobs, from 0 to 1.
    pub urgent: f64,
}

/// Interval between bursts of jobs of one class, and the number of jobs in a burst.
const BURST_EVERY_SECS: u64 = 2400;
const BURST_JOBS: usize = 25;
/// Part of each worker reserved for its service.
pub const RESERVED: Resources = Resources::new(16, 32 * 1024, 0);
const CORES: [u64; 5] = [2, 4, 6, 8, 12];
const MIB_PER_CORE: u64 = 1536;
const RUN_SECS: (u64, u64) = (120, 600);

impl WorkloadProfile {
    pub fn pool(&self) -> Pool {
        let quota = Quota {
            share: 1.0 / self.teams.len() as f64,
            borrow: true,
        };
        let teams: IndexMap<_, _> = self
            .teams
            .iter()
            .map(|team| (TeamName::from(*team), quota))
            .collect();
        Pool {
            name: PoolName::from(self.name),
            workers: vec!["w*".into()],
            zones: Vec::new(),
            weights: self.weights,
            outage_grace: Duration::from_secs(3600),
            evictions_per_hour: 120,
            teams,
            reserved: RESERVED,
        }
    }

    /// Returns every job of a run in the order of arrival; the same seed gives the same jobs.
    pub fn jobs(&self, load: &Load, model: &InterferenceModel, seed: u64) -> Vec<Job> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = vec![(Duration::ZERO, None); load.backlog];
        let mut at = Duration::ZERO;
        while at < load.length {
            arrivals.push((at, None));
            let gap = -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * 3600.0 / load.rate;
            at += Duration::from_secs_f64(gap);
        }
        let burst_class = rng.random_range(0..CLASSES);
        for start in (BURST_EVERY_SECS..load.length.as_secs()).step_by(BURST_EVERY_SECS as usize) {
            arrivals.extend(vec![
                (Duration::from_secs(start), Some(burst_class));
                BURST_JOBS
            ]);
        }
        arrivals.sort_by_key(|(at, _)| *at);
        let numbered = arrivals.into_iter().enumerate();
        numbered
            .map(|(n, (at, class))| self.job(n, at, class, load, model, &mut rng))
            .collect()
    }

    fn job(
        &self,
        n: usize,
        at: Duration,
        class: Option<usize>,
        load: &Load,
        model: &InterferenceModel,
        rng: &mut ChaCha8Rng,
    ) -> Job {
        let drawn = rng.random_range(0..CLASSES);
        let class_index = class.unwrap_or(drawn);
        let class = ClassName::from(self.classes[class_index]);
        let cores = *CORES.choose(rng).unwrap_or(&CORES[0]);
        let declared = Resources::new(cores, cores * MIB_PER_CORE, 0);
        let secs = rng.random_range(RUN_SECS.0..=RUN_SECS.1);
        let id = format!("job-{n}");
        let error = |what: &str| model.declared_error(what, &class, &id);
        let needed = Resources {
            cpu_milli: (declared.cpu_milli as f64 * error("cpu")) as u64,
            memory_mib: (declared.memory_mib as f64 * error("memory")) as u64,
            accelerators: 0,
        };
        let urgent = rng.random::<f64>() < load.urgent;
        let low = rng.random::<f64>() < 0.5;
        let priority = match (urgent, low) {
            (true, _) => Priority::Urgent,
            (false, true) => Priority::Low,
            (false, false) => Priority::Normal,
        };
        Job {
            at,
            team: TeamName::from(*self.teams.choose(rng).unwrap_or(&self.teams[0])),
            priority,
            declared,
            declared_time: Duration::from_secs(secs),
            needed,
            work: Duration::from_secs_f64(secs as f64 * error("time")),
            id: id.into(),
            class,
            class_index,
        }
    }
}
