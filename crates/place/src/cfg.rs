//! The settings of the placer.

use base::prelude::*;

/// How a worker is chosen among those with enough free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Choice {
    /// The least predicted interference, weighted by the pool's weights.
    InterferenceAware,
    /// The most free processors.
    LeastLoaded,
    /// The fewest free processors.
    BestFit,
    /// Any worker, drawn at random.
    Random,
}

/// Features of the placer that can be switched off, to measure what each contributes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Features {
    /// Workers with slowed services get no further tasks, and their tasks are throttled and
    /// evicted.
    pub escalation: bool,
    /// Tasks are throttled before they are evicted.
    pub throttle: bool,
    /// Slowdowns common to all workers are not attributed to co-located tasks.
    pub common_slowdown: bool,
    /// Estimates that measurements contradict are reset to the uncertainty of the prior.
    pub forget: bool,
    /// Interference between batch tasks counts as well as interference with services.
    pub batch_victims: bool,
    /// Jobs may be held back from every worker where they would slow a service.
    pub hold_back: bool,
    /// Queued jobs go first to the workers with the best interference scores for their class.
    pub eligibility_levels: bool,
    /// Samples are matched to the tasks that ran when they were taken, not to those that run now.
    pub match_lag: bool,
    /// Workers are reserved for large jobs.
    pub reserve: bool,
}

impl Features {
    /// Everything switched on.
    pub const ALL: Self = Self {
        escalation: true,
        throttle: true,
        common_slowdown: true,
        forget: true,
        batch_victims: true,
        hold_back: true,
        eligibility_levels: true,
        match_lag: true,
        reserve: true,
    };
}

/// The settings of a [`Placer`](crate::Placer).
#[derive(Clone, Debug)]
pub struct PlacerCfg {
    /// How a worker is chosen.
    pub choice: Choice,
    /// Which features are switched on.
    pub features: Features,
    /// How many workers are scored for one job.
    pub candidates: usize,
    /// The shares of the workers, 0 to 1, that are eligible for a class at the best and good
    /// levels.
    pub eligible_shares: [f64; 2],
    /// How many kinds of jobs without a feasible worker one pass of a call scores workers for.
    pub scan_limit: usize,
    /// How many groups of like jobs one pass skips because of a quota or because their kind is
    /// known to have no feasible worker.
    pub skip_limit: usize,
    /// The settings of interference estimates.
    pub interference: InterferenceCfg,
    /// The weight of services' extra time up to the pool's limit; extra time beyond it costs at
    /// least 1 more per unit.
    pub accepted_weight: f64,
    /// The settings of the escalation that protects services.
    pub escalation: EscalationCfg,
    /// The settings of quarantine.
    pub health: HealthCfg,
    /// The settings of the queue, pre-emption and reservations.
    pub queue: QueueCfg,
    /// The least multiple of its declared processors that a job is granted, however little its
    /// class uses; memory is never granted below the declared size.
    pub grant_floor: f64,
    /// The largest multiple of its declared processors and memory that a job is granted, however
    /// much its class uses.
    pub grant_ceiling: f64,
    /// How long after the first worker was seen the pool's workers are taken to be complete, so
    /// that a job too large for all of them is infeasible.
    pub discovery_time: Duration,
    /// The score added for each standing task of the same class in the same rack, for jobs that are
    /// spread.
    pub spread_rack: f64,
    /// The score added for each standing task of the same class in the same availability zone, for
    /// jobs that are spread.
    pub spread_zone: f64,
    /// The share of the largest worker at or above which a job counts as large, and is spread.
    pub large_share: f64,
}

/// The settings of interference estimates.
///
/// Interference is the extra time of a victim, as a multiple of its undisturbed time, that a worker
/// fully loaded with the aggressor's class would cause.
#[derive(Clone, Debug)]
pub struct InterferenceCfg {
    /// The expected interference of a pair that was never measured.
    pub prior_mean: f64,
    /// The standard deviation of that expectation.
    pub prior_deviation: f64,
    /// The time in which an estimate without measurements decays to 1/e of its distance from the
    /// prior.
    pub decay: Duration,
    /// The least standard deviation of a measurement, in units of extra time.
    pub noise_deviation: f64,
    /// The confidence margin, in standard deviations above the mean, for predictions about
    /// services.
    pub confidence_margin: f64,
    /// The mean normalised residual, in absolute value, above which an estimate is reset.
    pub max_mean_residual: f64,
    /// How long the history of each worker's load mix is kept.
    pub history: Duration,
    /// The least extra time common to all workers that is treated as a common slowdown.
    pub common_floor: f64,
}

/// The settings of escalation on workers with slowed services.
#[derive(Clone, Debug)]
pub struct EscalationCfg {
    /// The extra time of services that a pool with a tail-latency weight of 0 accepts; half of it
    /// at a weight of 1.
    pub extra_time_limit: f64,
    /// The multiple of the accepted extra time above which a worker escalates.
    pub escalate_above: f64,
    /// The multiple of the accepted extra time below which a worker de-escalates.
    pub deescalate_below: f64,
    /// How much the extra time that justifies an eviction grows for each unit of the pool's
    /// eviction weight.
    pub eviction_weight_factor: f64,
    /// The share of the eviction budget that may be spent on evicting tasks before they are
    /// throttled further.
    pub early_eviction_share: f64,
    /// How long tasks may stay throttled before one is evicted, while the share of the budget for
    /// early evictions lasts.
    pub throttled_for: Duration,
    /// How long to wait for the effect of a level change, on top of the measurement lag.
    pub settling_time: Duration,
    /// How many samples of a service a level change requires.
    pub samples: u32,
    /// The share of its processor grant that a task keeps at each throttling level.
    pub shares: [f64; 2],
    /// The share of its run time below which a task's remaining time counts as near its end.
    pub near_end: f64,
    /// How long a worker may send no samples before it de-escalates.
    pub sample_timeout: Duration,
    /// Evictions per hour before the pool's row of the table is known.
    pub evictions_per_hour: u32,
}

/// The settings of quarantine.
#[derive(Clone, Debug)]
pub struct HealthCfg {
    /// The evidence, in nats, at which a worker is quarantined.
    pub evidence: f64,
    /// How many different jobs must have failed there.
    pub distinct_jobs: usize,
    /// The assumed failure rate of a class that was never seen, 0 to 1.
    pub prior_failure_rate: f64,
    /// The wait before the first probe; doubles with each failed one.
    pub first_probe: Duration,
    /// The longest wait before a probe.
    pub longest_probe: Duration,
    /// The share of the workers that may be quarantined at once, 0 to 1.
    pub max_quarantined_share: f64,
}

/// The settings of the queue, pre-emption and reservations.
#[derive(Clone, Debug)]
pub struct QueueCfg {
    /// The implicit deadline, after the time it was first queued, of a job that has a run time but
    /// no deadline.
    pub implicit_deadline: Duration,
    /// How long a low-priority job waits before it is raised to normal priority.
    pub aging: Duration,
    /// How long a job may be held back to protect services, for each unit of the pool's
    /// tail-latency weight.
    pub hold_back: Duration,
    /// For how many jobs without capacity one call pre-empts tasks or reserves a worker.
    pub max_preemptions: usize,
    /// How long a team below its quota waits before the tasks of teams that borrow are evicted.
    pub reclaim_after: Duration,
    /// How long a large job goes without capacity before a worker is reserved for it.
    pub reserve_after: Duration,
    /// How long a reservation lasts at most.
    pub reserve_for: Duration,
    /// The share of the workers that may be reserved at once, 0 to 1; at least one worker.
    pub max_reserved_share: f64,
    /// How long capacity freed by pre-emption is reserved for the job it was freed for.
    pub earmark_for: Duration,
    /// How long an eviction may stay without effect before it is decided again.
    pub evict_retry: Duration,
}

impl Default for PlacerCfg {
    fn default() -> Self {
        Self {
            choice: Choice::InterferenceAware,
            features: Features::ALL,
            candidates: 16,
            eligible_shares: [0.1, 0.5],
            scan_limit: 64,
            skip_limit: 512,
            interference: InterferenceCfg::default(),
            accepted_weight: 0.5,
            escalation: EscalationCfg::default(),
            health: HealthCfg::default(),
            queue: QueueCfg::default(),
            grant_floor: 1.0,
            grant_ceiling: 4.0,
            discovery_time: Duration::from_secs(60),
            spread_rack: 0.05,
            spread_zone: 0.01,
            large_share: 0.25,
        }
    }
}

impl Default for InterferenceCfg {
    fn default() -> Self {
        Self {
            prior_mean: 0.5,
            prior_deviation: 1.0,
            decay: Duration::from_secs(1800),
            noise_deviation: 0.1,
            confidence_margin: 0.5,
            max_mean_residual: 1.0,
            history: Duration::from_secs(300),
            common_floor: 0.1,
        }
    }
}

impl Default for EscalationCfg {
    fn default() -> Self {
        Self {
            extra_time_limit: 0.57,
            escalate_above: 2.0,
            deescalate_below: 0.8,
            eviction_weight_factor: 2.0,
            early_eviction_share: 0.35,
            throttled_for: Duration::from_secs(30),
            settling_time: Duration::from_secs(4),
            samples: 3,
            shares: [0.7, 0.5],
            near_end: 0.1,
            sample_timeout: Duration::from_secs(120),
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
            max_quarantined_share: 0.3,
        }
    }
}

impl Default for QueueCfg {
    fn default() -> Self {
        Self {
            implicit_deadline: Duration::from_secs(4 * 3600),
            aging: Duration::from_secs(1800),
            hold_back: Duration::from_secs(600),
            max_preemptions: 8,
            reclaim_after: Duration::from_secs(30),
            reserve_after: Duration::from_secs(300),
            reserve_for: Duration::from_secs(3600),
            max_reserved_share: 0.1,
            earmark_for: Duration::from_secs(15),
            evict_retry: Duration::from_secs(10),
        }
    }
}
