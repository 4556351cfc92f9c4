//! The two desks: their services, their jobs and what they weigh.

use std::time::Duration;

use base::{ClassName, JobId, PoolName, Resources, TeamName};
use fakes::harm::HarmModel;
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tables::{Pool, Priority, Quota, Weights};

/// How many classes of services and of tasks a desk has.
pub const SERVICES: usize = 3;
pub const CLASSES: usize = 6;

/// A desk of today's size.
#[derive(Clone, Copy, Debug)]
pub struct Desk {
    pub name: &'static str,
    pub weights: Weights,
    pub services: [&'static str; SERVICES],
    pub classes: [&'static str; CLASSES],
    pub teams: [&'static str; 5],
}

pub const MANUSCRIPT: Desk = Desk {
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

pub const TRADING: Desk = Desk {
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

/// A job with what it declares and what it really needs.
#[derive(Clone, Debug)]
pub struct Job {
    pub at: Duration,
    pub id: JobId,
    pub team: TeamName,
    pub class: ClassName,
    /// The class by its place in the desk's list.
    pub class_at: usize,
    pub priority: Priority,
    pub declared: Resources,
    pub declared_time: Duration,
    pub needed: Resources,
    pub work: Duration,
}

/// What of the load can be varied.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub length: Duration,
    /// Jobs an hour.
    pub rate: f64,
    /// Jobs that wait at the start.
    pub backlog: usize,
    /// The share of urgent jobs.
    pub urgent: f64,
}

/// How often noisy tasks arrive in a wave, and how many.
const WAVE_EVERY_SECS: u64 = 2400;
const WAVE_JOBS: usize = 25;
/// The part of each worker kept for its service.
pub const RESERVED: Resources = Resources::new(16, 32 * 1024, 0);
const CORES: [u64; 5] = [2, 4, 6, 8, 12];
const MIB_PER_CORE: u64 = 1536;
const RUN_SECS: (u64, u64) = (120, 600);

impl Desk {
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
    pub fn jobs(&self, load: &Load, model: &HarmModel, seed: u64) -> Vec<Job> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = vec![(Duration::ZERO, None); load.backlog];
        let mut at = Duration::ZERO;
        while at < load.length {
            arrivals.push((at, None));
            let gap = -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * 3600.0 / load.rate;
            at += Duration::from_secs_f64(gap);
        }
        let noisy = rng.random_range(0..CLASSES);
        for start in (WAVE_EVERY_SECS..load.length.as_secs()).step_by(WAVE_EVERY_SECS as usize) {
            arrivals.extend(vec![(Duration::from_secs(start), Some(noisy)); WAVE_JOBS]);
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
        model: &HarmModel,
        rng: &mut ChaCha8Rng,
    ) -> Job {
        let drawn = rng.random_range(0..CLASSES);
        let class_at = class.unwrap_or(drawn);
        let class = ClassName::from(self.classes[class_at]);
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
            class_at,
        }
    }
}
