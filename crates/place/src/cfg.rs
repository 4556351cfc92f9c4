//! The settings of the placer.

use base::prelude::*;

/// How a worker is chosen among those with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Choice {
    /// The least predicted harm, weighed as the pool asks.
    HarmAware,
    /// The most free processors.
    LeastLoaded,
    /// The fewest free processors.
    BestFit,
    /// Any.
    Random,
}

/// The parts of the placer that can be switched off, to measure what each contributes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Parts {
    /// Workers stop getting tasks, and tasks are throttled and evicted, for harmed services.
    pub ladder: bool,
    /// The ladder throttles before it evicts.
    pub throttle: bool,
    /// Slowdowns common to all workers are not blamed on neighbours.
    pub common: bool,
    /// Estimates are forgotten faster when measurements contradict them.
    pub forget: bool,
    /// Harm between batch tasks counts, and not to services alone.
    pub batch_victims: bool,
    /// Jobs may be held back from every worker where they would harm a service.
    pub hold_back: bool,
    /// While jobs queue for room, each goes to the workers that suit its class best.
    pub suit: bool,
    /// Samples are matched to what ran when they were taken, not to what runs now.
    pub match_lag: bool,
    /// Room is reserved for large jobs.
    pub reserve: bool,
}

impl Parts {
    /// Everything switched on.
    pub const ALL: Self = Self {
        ladder: true,
        throttle: true,
        common: true,
        forget: true,
        batch_victims: true,
        hold_back: true,
        suit: true,
        match_lag: true,
        reserve: true,
    };
}

/// The settings of a [`Placer`](crate::Placer).
#[derive(Clone, Debug)]
pub struct PlacerCfg {
    /// How a worker is chosen.
    pub choice: Choice,
    /// What is switched on.
    pub parts: Parts,
    /// How many workers with room are weighed for one job.
    pub candidates: usize,
    /// The shares of the workers that count as suiting a class best and well, 0 to 1.
    pub suiting_shares: [f64; 2],
    /// How many groups of like jobs without a place one call looks at.
    pub scan_limit: usize,
    /// The settings of harm estimates.
    pub harm: HarmCfg,
    /// The weight of services' extra time that is within what the pool accepts; beyond, it is 1.
    pub accepted_weight: f64,
    /// The settings of throttling and eviction for the sake of services.
    pub ladder: LadderCfg,
    /// The settings of quarantine.
    pub health: HealthCfg,
    /// The settings of the queue, pre-emption and reservations.
    pub queue: QueueCfg,
    /// The least share of its declared processors that a job is granted, however little its class uses.
    pub grant_floor: f64,
    /// The largest multiple of its declared size that a job is granted, however much its class uses.
    pub grant_ceiling: f64,
    /// How long after the first worker was seen a missing size counts as one that will not come.
    pub settle: Duration,
    /// The score added for each like task of a spread job in the same rack.
    pub spread_rack: f64,
    /// The score added for each like task of a spread job in the same availability zone.
    pub spread_zone: f64,
    /// The share of a worker from which on a job counts as large, and is spread.
    pub large_share: f64,
}

/// The settings of harm estimates. Harm is the extra time of a victim, as a multiple of its
/// undisturbed time, that a worker full of the aggressor would cause.
#[derive(Clone, Debug)]
pub struct HarmCfg {
    /// The expected harm of a pair that was never measured.
    pub prior_mean: f64,
    /// The standard deviation of that expectation.
    pub prior_deviation: f64,
    /// How long an unmeasured estimate takes to fall to 1/e of its distance from the prior.
    pub decay: Duration,
    /// The least standard deviation of a measurement, as extra time.
    pub noise_deviation: f64,
    /// How many standard deviations above its mean a pair is taken to be, where a service suffers.
    pub caution: f64,
    /// The mean normalised surprise from which on an estimate is forgotten.
    pub surprise: f64,
    /// How far back it is known what ran on a worker.
    pub history: Duration,
    /// The least common slowdown, as extra time, that is told apart from neighbours' harm.
    pub common_floor: f64,
}

/// The settings of the ladder.
#[derive(Clone, Debug)]
pub struct LadderCfg {
    /// The extra time of a service that a pool without weight on the tail accepts; half at full weight.
    pub limit: f64,
    /// The multiple of the accepted extra time from which on the ladder goes up.
    pub rise: f64,
    /// The multiple of the accepted extra time below which the ladder goes down.
    pub fall: f64,
    /// How much more extra time an eviction takes, for each unit of the pool's weight of evictions.
    pub eviction_restraint: f64,
    /// The share of the eviction budget that may be spent on moving tasks before throttling them further.
    pub pace: f64,
    /// How long a task may stay throttled before it is moved, while the pace allows.
    pub throttled_for: Duration,
    /// How long after a step its effect is waited for, on top of the measurement lag.
    pub settle: Duration,
    /// How many samples of a service a step rests on.
    pub samples: u32,
    /// The share of its processors that a task is left at each throttling step.
    pub shares: [f64; 2],
    /// The share of its run time under which a task's rest counts as its end.
    pub near_end: f64,
    /// How long a service may go unmeasured before the ladder lets go of its worker.
    pub blind_after: Duration,
    /// Evictions an hour where the pool sets none.
    pub evictions_per_hour: u32,
}

/// The settings of quarantine.
#[derive(Clone, Debug)]
pub struct HealthCfg {
    /// The evidence, in nats, at which a worker is quarantined.
    pub evidence: f64,
    /// How many different jobs must have failed there.
    pub distinct_jobs: usize,
    /// The failure rate of a class that was never seen, 0 to 1.
    pub prior_failure_rate: f64,
    /// The wait before the first probe; doubles with each failed one.
    pub first_probe: Duration,
    /// The longest wait before a probe.
    pub longest_probe: Duration,
    /// The share of the workers that may be quarantined at once, 0 to 1.
    pub most_quarantined: f64,
}

/// The settings of the queue, pre-emption and reservations.
#[derive(Clone, Debug)]
pub struct QueueCfg {
    /// How long a job without a deadline may wait before it goes ahead of later deadlines.
    pub patience: Duration,
    /// How long a low-priority job waits before it counts as normal.
    pub aging: Duration,
    /// How long a job is held back for the sake of services, for each unit of the tail's weight.
    pub hold_back: Duration,
    /// For how many jobs without room one call makes or reserves room.
    pub room_tries: usize,
    /// How long a team that is owed its quota waits before others' tasks are evicted.
    pub give_back_after: Duration,
    /// How long a large job has no room before a worker is reserved for it.
    pub reserve_after: Duration,
    /// How long a reservation lasts at most.
    pub reserve_for: Duration,
    /// The share of the workers that may be reserved at once, 0 to 1; at least one worker.
    pub most_reserved: f64,
    /// How long room freed by pre-emption is kept for the job it was freed for.
    pub earmark_for: Duration,
    /// How long an eviction may stay without effect before it is asked for again.
    pub evict_again: Duration,
}

impl Default for PlacerCfg {
    fn default() -> Self {
        Self {
            choice: Choice::HarmAware,
            parts: Parts::ALL,
            candidates: 32,
            suiting_shares: [0.1, 0.5],
            scan_limit: 256,
            harm: HarmCfg::default(),
            accepted_weight: 0.5,
            ladder: LadderCfg::default(),
            health: HealthCfg::default(),
            queue: QueueCfg::default(),
            grant_floor: 1.0,
            grant_ceiling: 4.0,
            settle: Duration::from_secs(60),
            spread_rack: 0.05,
            spread_zone: 0.01,
            large_share: 0.25,
        }
    }
}

impl Default for HarmCfg {
    fn default() -> Self {
        Self {
            prior_mean: 0.5,
            prior_deviation: 1.0,
            decay: Duration::from_secs(1800),
            noise_deviation: 0.1,
            caution: 0.5,
            surprise: 1.0,
            history: Duration::from_secs(300),
            common_floor: 0.1,
        }
    }
}

impl Default for LadderCfg {
    fn default() -> Self {
        Self {
            limit: 0.57,
            rise: 2.0,
            fall: 0.8,
            eviction_restraint: 2.0,
            pace: 0.35,
            throttled_for: Duration::from_secs(30),
            settle: Duration::from_secs(4),
            samples: 3,
            shares: [0.7, 0.5],
            near_end: 0.1,
            blind_after: Duration::from_secs(120),
            evictions_per_hour: 30,
        }
    }
}

impl Default for HealthCfg {
    fn default() -> Self {
        Self {
            evidence: 4.6,
            distinct_jobs: 2,
            prior_failure_rate: 0.05,
            first_probe: Duration::from_secs(60),
            longest_probe: Duration::from_secs(1800),
            most_quarantined: 0.3,
        }
    }
}

impl Default for QueueCfg {
    fn default() -> Self {
        Self {
            patience: Duration::from_secs(4 * 3600),
            aging: Duration::from_secs(1800),
            hold_back: Duration::from_secs(600),
            room_tries: 8,
            give_back_after: Duration::from_secs(30),
            reserve_after: Duration::from_secs(300),
            reserve_for: Duration::from_secs(3600),
            most_reserved: 0.1,
            earmark_for: Duration::from_secs(15),
            evict_again: Duration::from_secs(10),
        }
    }
}
