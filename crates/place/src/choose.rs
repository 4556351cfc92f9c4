//! The choice of a worker for one job.

use base::prelude::*;
use rand::Rng;
use tables::Priority;

use crate::cfg::Choice;
use crate::health::Access;
use crate::interference::ClassId;
use crate::placer::Placer;
use crate::queue::Waiting;
use crate::rows::WorkerRow;

/// How good a worker's score must be for it to be eligible for a job's class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Eligibility {
    /// Among the best, by the first of the eligible shares.
    Best,
    /// Among the good ones, by the second of the eligible shares.
    Good,
    /// Any score.
    Any,
}

/// The highest interference scores at which a worker is eligible for a class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EligibilityThresholds {
    best: f64,
    good: f64,
}

/// Why a job cannot be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blocked {
    /// No worker has enough free capacity.
    NoCapacity,
    /// It would slow services on every worker with enough free capacity.
    Interference,
    /// Its team is at its quota.
    Quota,
}

/// A job as the choice of a worker sees it.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) job: JobId,
    pub(crate) class: ClassId,
    pub(crate) granted: Resources,
    pub(crate) urgent: bool,
    pub(crate) standing: bool,
    pub(crate) large: bool,
    /// Whether it may be held back to protect services.
    pub(crate) deferrable: bool,
    /// Whether it may serve as a probe of a quarantined worker.
    pub(crate) probe: bool,
    /// Whether it may wait for a worker with a good score for its class.
    pub(crate) selective: bool,
    /// How long it is expected to run; `None` for standing work.
    pub(crate) run_time: Option<Duration>,
    /// How many workers it has failed on.
    pub(crate) failed_on: usize,
}

/// The weight of a worker's free share, which decides between near-equal scores.
const PACKING_WEIGHT: f64 = 0.01;
/// By how much a worker's score may exceed the threshold and still be eligible.
const ELIGIBILITY_MARGIN: f64 = 0.02;
/// The load, as a share of a worker, at which workers are ranked for a class.
const NOMINAL_LOAD: f64 = 0.1;
/// The weight of the random tie-breaker.
const TIE_BREAK_WEIGHT: f64 = 1e-6;
/// The score bonus of a quarantined worker that is due for a probe.
const PROBE_BONUS: f64 = 0.5;
/// The share of the accepted extra time that a task may always add to a service.
const NEGLIGIBLE_SHARE: f64 = 0.1;

impl Placer {
    /// Returns the properties of a waiting job that decide its placement.
    pub(crate) fn candidate(&self, now: Instant, waiting: &Waiting) -> Candidate {
        let request = &waiting.request;
        let granted = self.grant(waiting);
        let held_back = waiting
            .held_back
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let hold_back = self.cfg.queue.hold_back.mul_f64(self.weights.tail);
        let urgent = waiting.priority == Priority::Urgent;
        let standing = request.run_time.is_none();
        let run_time = self.remaining_work(waiting.class, request.run_time, request.work_done);
        let due = waiting.due.0.saturating_duration_since(now);
        let deadline_near = run_time.is_some_and(|run_time| due <= run_time * 2);
        Candidate {
            job: request.job.clone(),
            class: waiting.class,
            granted,
            urgent,
            standing,
            large: self.is_large(&granted),
            deferrable: !urgent && !standing && held_back < hold_back,
            probe: !urgent && !standing && request.failures == 0,
            selective: !urgent && !standing && !deadline_near,
            run_time,
            failed_on: self.health.failed_on_count(&request.job),
        }
    }

    /// Returns the resources to grant a job: its declared size, corrected by the use of its class.
    fn grant(&self, waiting: &Waiting) -> Resources {
        let declared = waiting.request.resources;
        let (floor, ceiling) = (self.cfg.grant_floor, self.cfg.grant_ceiling);
        let mut granted = self.usage.grant(waiting.class, declared, floor, ceiling);
        if let Some(&memory) = self.outgrown_memory.get(&waiting.request.job) {
            granted.memory_mib = granted.memory_mib.max(memory);
        }
        // A correction never makes a job too large for every worker.
        let largest = self.ledger.largest;
        granted.cpu_milli = granted
            .cpu_milli
            .min(largest.cpu_milli.max(declared.cpu_milli));
        granted.memory_mib = granted
            .memory_mib
            .min(largest.memory_mib.max(declared.memory_mib));
        granted
    }

    fn is_large(&self, granted: &Resources) -> bool {
        let share = self.cfg.large_share;
        let largest = self.ledger.largest;
        granted.cpu_milli as f64 >= largest.cpu_milli as f64 * share
            || granted.memory_mib as f64 >= largest.memory_mib as f64 * share
    }

    /// Chooses an eligible worker with enough free capacity for a job.
    pub(crate) fn choose(
        &mut self,
        now: Instant,
        job: &Candidate,
        eligibility: Eligibility,
    ) -> Result<WorkerId, Blocked> {
        let drawn = self
            .ledger
            .free_index
            .draw(&job.granted, self.cfg.candidates, &mut self.rng);
        let mut best: Option<(f64, WorkerId)> = None;
        let mut interferes = false;
        for worker in drawn {
            let Some(row) = self.ledger.workers.get(&worker) else {
                continue;
            };
            if !self.has_capacity(now, row, job) || !self.may_run(now, &worker, row, job) {
                continue;
            }
            if self.would_slow_services(now, row, job)
                || !self.is_eligible(now, row, job, eligibility)
            {
                interferes = true;
                continue;
            }
            let tie = self.rng.random::<f64>() * TIE_BREAK_WEIGHT;
            let score = self.score(now, row, job, tie);
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, worker));
            }
        }
        match best {
            Some((_, worker)) => Ok(worker),
            None if interferes => Err(Blocked::Interference),
            None => Err(Blocked::NoCapacity),
        }
    }

    fn has_capacity(&self, now: Instant, row: &WorkerRow, job: &Candidate) -> bool {
        let free = self.ledger.free_for_any(row);
        job.granted.fits(&free) && self.reservations.allows(now, row, &free, job)
    }

    /// Returns true if the worker's health allows it to run the job.
    fn may_run(&self, now: Instant, worker: &WorkerId, row: &WorkerRow, job: &Candidate) -> bool {
        let few_left = job.failed_on * 2 >= self.ledger.workers.len();
        if job.failed_on > 0 && !few_left && self.health.has_failed_on(&job.job, worker) {
            return false;
        }
        match self.health.access(now, worker) {
            Access::Allowed => true,
            Access::Probe => job.probe && row.pending.is_empty(),
            Access::Denied => false,
        }
    }

    /// Returns true if a job should wait rather than slow services on a worker.
    fn would_slow_services(&self, now: Instant, row: &WorkerRow, job: &Candidate) -> bool {
        let aware = self.cfg.choice == Choice::InterferenceAware;
        if !aware || !self.cfg.features.hold_back || !job.deferrable {
            return false;
        }
        let limit = self.extra_limit();
        let load = load_of(row, job);
        let halted =
            self.cfg.features.escalation && self.escalation.is_placement_halted(&row.view.worker);
        row.services.keys().any(|&victim| {
            let added = self.interference.estimate(victim, job.class, now).mean * load;
            if added <= limit * NEGLIGIBLE_SHARE {
                return false;
            }
            let before = self.interference.predict_upper(victim, &row.mix, now);
            halted || before + added > limit
        })
    }

    /// Returns true if the worker's score for the job's class is within the threshold.
    fn is_eligible(
        &self,
        now: Instant,
        row: &WorkerRow,
        job: &Candidate,
        eligibility: Eligibility,
    ) -> bool {
        let Some(thresholds) = self.eligibility_thresholds.get(&job.class) else {
            return true;
        };
        let most = match eligibility {
            Eligibility::Best => thresholds.best,
            Eligibility::Good => thresholds.good,
            Eligibility::Any => return true,
        };
        self.interference_score(now, row, job.class, load_of(row, job)) <= most + ELIGIBILITY_MARGIN
    }

    /// Recomputes the eligibility thresholds of each waiting class.
    pub(crate) fn update_eligibility_thresholds(&mut self, now: Instant) {
        if self.cfg.choice != Choice::InterferenceAware || !self.cfg.features.eligibility_levels {
            return;
        }
        let classes: IndexSet<_> = self.queue.classes().collect();
        let drawn = self
            .ledger
            .free_index
            .draw_any(self.cfg.candidates, &mut self.rng);
        self.eligibility_thresholds.clear();
        for class in classes {
            let mut scores: Vec<f64> = drawn
                .iter()
                .filter_map(|worker| self.ledger.workers.get(worker))
                .map(|row| self.interference_score(now, row, class, NOMINAL_LOAD))
                .collect();
            scores.sort_by(f64::total_cmp);
            let at = |share: f64| scores.get((scores.len() as f64 * share) as usize).copied();
            let [best, good] = self.cfg.eligible_shares;
            if let (Some(best), Some(good)) = (at(best), at(good)) {
                self.eligibility_thresholds
                    .insert(class, EligibilityThresholds { best, good });
            }
        }
    }

    /// Returns the score of a worker for a job; lower is better.
    fn score(&self, now: Instant, row: &WorkerRow, job: &Candidate, tie: f64) -> f64 {
        let allocatable = self.ledger.allocatable(row).cpu_milli.max(1) as f64;
        let free = self.ledger.free(row).cpu_milli as f64 / allocatable;
        let probe = if self.health.is_quarantined(&row.view.worker) {
            PROBE_BONUS
        } else {
            0.0
        };
        let base = match self.cfg.choice {
            Choice::LeastLoaded => -free,
            Choice::BestFit => free,
            Choice::Random => tie / TIE_BREAK_WEIGHT,
            Choice::InterferenceAware => {
                self.interference_score(now, row, job.class, load_of(row, job))
                    + PACKING_WEIGHT * free
            }
        };
        base + self.spread_score(row, job) + tie - probe
    }

    /// Returns the interference that a job would cause and suffer, by the pool's weights.
    fn interference_score(&self, now: Instant, row: &WorkerRow, class: ClassId, load: f64) -> f64 {
        let accepted = self.extra_limit() * self.cfg.escalation.escalate_above;
        let mut tail = 0.0;
        let mut evictions = 0.0;
        for &victim in row.services.keys() {
            let before = self.interference.predict_upper(victim, &row.mix, now);
            let after = before + self.interference.estimate(victim, class, now).mean * load;
            tail += self.tail_cost(after) - self.tail_cost(before);
            evictions += (after - accepted).max(0.0);
        }
        let mut throughput = 0.0;
        if self.cfg.features.batch_victims {
            throughput += load * self.interference.predict(class, &row.mix, now);
            for &(other, other_load) in &row.mix {
                throughput +=
                    other_load * self.interference.estimate(other, class, now).mean * load;
            }
        }
        // Per unit of load, since the scores of small jobs would otherwise be nearly equal
        // everywhere.
        let cost = self.weights.tail * tail
            + self.weights.throughput * throughput
            + self.weights.evictions * evictions;
        cost / load.max(f64::EPSILON)
    }

    /// Returns the penalty for standing tasks of the same class in the same rack and availability
    /// zone.
    fn spread_score(&self, row: &WorkerRow, job: &Candidate) -> f64 {
        if !job.standing && !job.large {
            return 0.0;
        }
        let (rack, zone) = self.ledger.standing_counts(row, job.class);
        f64::from(rack) * self.cfg.spread_rack + f64::from(zone) * self.cfg.spread_zone
    }

    /// Returns the cost of extra time; extra time within the pool's limit has a lower weight.
    fn tail_cost(&self, extra: f64) -> f64 {
        let beyond = (extra - self.extra_limit()).max(0.0);
        self.cfg.accepted_weight * extra + beyond * (1.0 + beyond)
    }

    /// Returns the extra time of services that the pool accepts.
    pub(crate) fn extra_limit(&self) -> f64 {
        self.cfg.escalation.extra_time_limit * (1.0 - self.weights.tail / 2.0)
    }
}

fn load_of(row: &WorkerRow, job: &Candidate) -> f64 {
    job.granted.cpu_milli as f64 / row.view.capacity.cpu_milli.max(1) as f64
}
