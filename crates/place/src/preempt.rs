//! Pre-emption for urgent jobs and for teams below their quota, and reservations for large jobs.

use base::prelude::*;
use tables::Priority;

use crate::choose::Candidate;
use crate::placer::Placer;
use crate::reservation::Reservation;
use crate::rows::TaskRow;
use crate::types::{Decision, EvictReason};

/// The evictions that would free enough capacity on one worker.
#[derive(Debug)]
struct Plan {
    worker: WorkerId,
    victims: Vec<TaskKey>,
    cost: f64,
}

/// The cost of evicting a standing task, in seconds.
const STANDING_COST: f64 = 100.0;
/// The extra cost of evicting a task of normal priority rather than a low one, or a task near its
/// end, in seconds.
const NORMAL_COST: f64 = 1.0;
/// The extra cost of each victim of a plan, in seconds.
const VICTIM_COST: f64 = 0.25;

impl Placer {
    /// Evicts tasks to free capacity for a job and reserves that capacity for it; returns false if
    /// no worker has enough tasks that may be evicted.
    pub(crate) fn preempt_for(
        &mut self,
        now: Instant,
        job: &Candidate,
        team: &TeamName,
        why: EvictReason,
        out: &mut Vec<Decision>,
    ) -> bool {
        let drawn = self
            .ledger
            .free_index
            .draw_any(self.cfg.candidates, &mut self.rng);
        let plan = drawn
            .iter()
            .filter(|worker| !self.health.is_quarantined(worker))
            .filter(|worker| !self.health.has_failed_on(&job.job, worker))
            .filter_map(|worker| self.plan(now, worker, job, why))
            .min_by(|a, b| a.cost.total_cmp(&b.cost));
        let Some(plan) = plan else {
            return false;
        };
        for key in &plan.victims {
            self.evict(now, key, why, out);
        }
        let reservation = Reservation {
            worker: plan.worker.clone(),
            need: job.granted,
            exclusive: true,
            quota_of: (why == EvictReason::Quota).then(|| team.clone()),
            starts: now,
            until: now + self.cfg.queue.earmark_for,
        };
        self.reservations
            .add(job.job.clone(), reservation, &mut self.ledger);
        self.reindex(now, &plan.worker);
        true
    }

    /// Returns the cheapest victims on a worker that free enough capacity for a job, or `None` if
    /// there are none.
    fn plan(
        &self,
        now: Instant,
        worker: &WorkerId,
        job: &Candidate,
        why: EvictReason,
    ) -> Option<Plan> {
        let row = self.ledger.workers.get(worker)?;
        let allocatable = self.ledger.allocatable(row);
        if !job.granted.fits(&allocatable) {
            return None;
        }
        let mut being_freed = Resources::ZERO;
        let mut movable = Vec::new();
        for task in self.tasks_on(worker) {
            if task.evicting.is_some() {
                being_freed += task.counted;
            } else if self.may_preempt(task, why) {
                movable.push((self.victim_cost(now, task, row.lag), task));
            }
        }
        movable.sort_by(|a, b| a.0.total_cmp(&b.0));
        let taken = row.allocated + row.earmarked;
        let mut free = (allocatable + being_freed).saturating_sub(taken);
        let mut plan = Plan {
            worker: worker.clone(),
            victims: Vec::new(),
            cost: 0.0,
        };
        let mut freed = Resources::ZERO;
        let mut chosen: Vec<(f64, &TaskRow)> = Vec::new();
        for (cost, task) in movable {
            if job.granted.fits(&free) {
                break;
            }
            freed += task.counted;
            free = (allocatable + being_freed + freed).saturating_sub(taken);
            chosen.push((cost, task));
        }
        if !job.granted.fits(&free) {
            return None;
        }
        self.drop_unneeded(job, allocatable + being_freed, taken, freed, &mut chosen);
        for (cost, task) in chosen {
            plan.cost = plan.cost.max(cost) + VICTIM_COST;
            plan.victims.push(task.task.key.clone());
        }
        Some(plan)
    }

    /// Removes victims whose resources are not needed after all, the most expensive first.
    fn drop_unneeded(
        &self,
        job: &Candidate,
        allocatable: Resources,
        taken: Resources,
        mut freed: Resources,
        chosen: &mut Vec<(f64, &TaskRow)>,
    ) {
        for at in (0..chosen.len()).rev() {
            let without = freed - chosen[at].1.counted;
            let free = (allocatable + without).saturating_sub(taken);
            if job.granted.fits(&free) {
                freed = without;
                chosen.remove(at);
            }
        }
    }

    fn may_preempt(&self, task: &TaskRow, why: EvictReason) -> bool {
        if !task.is_movable() {
            return false;
        }
        why != EvictReason::Quota || self.quotas.borrows(&self.ledger, &task.task.team)
    }

    fn victim_cost(&self, now: Instant, task: &TaskRow, lag: Duration) -> f64 {
        let mut cost = self.eviction_cost(task);
        if task.is_standing() {
            cost += STANDING_COST;
        }
        if task.task.priority == Priority::Normal {
            cost += NORMAL_COST;
        }
        if self.is_ending(now, task, lag) {
            cost += NORMAL_COST;
        }
        cost
    }

    /// Reserves the worker on which a job can start soonest, unless the maximum number of workers
    /// is reserved already.
    pub(crate) fn reserve(&mut self, now: Instant, job: &Candidate) {
        let workers = self.ledger.workers.len() as f64;
        let most = (workers * self.cfg.queue.max_reserved_share).max(1.0) as usize;
        if self.reservations.get(&job.job).is_some() || self.reservations.reserved_workers() >= most
        {
            return;
        }
        let drawn = self
            .ledger
            .free_index
            .draw_any(self.cfg.candidates, &mut self.rng);
        let soonest = drawn
            .into_iter()
            .filter(|worker| !self.reservations.is_reserved(worker))
            .filter(|worker| !self.health.is_quarantined(worker))
            .filter_map(|worker| Some((self.starts_at(now, &worker, job)?, worker)))
            .min_by_key(|(starts, _)| *starts);
        let Some((starts, worker)) = soonest else {
            return;
        };
        let reservation = Reservation {
            worker,
            need: job.granted,
            exclusive: false,
            quota_of: None,
            starts,
            until: now + self.cfg.queue.reserve_for,
        };
        self.reservations
            .add(job.job.clone(), reservation, &mut self.ledger);
    }

    /// Returns when a worker is expected to have enough free capacity for a job, or `None` if it
    /// never will.
    fn starts_at(&self, now: Instant, worker: &WorkerId, job: &Candidate) -> Option<Instant> {
        let row = self.ledger.workers.get(worker)?;
        let allocatable = self.ledger.allocatable(row);
        if !job.granted.fits(&allocatable) {
            return None;
        }
        let mut ends: Vec<_> = self
            .tasks_on(worker)
            .filter_map(|task| Some((self.time_left(now, task)?, task.counted)))
            .collect();
        ends.sort_by_key(|(left, _)| *left);
        let taken = row.allocated + row.earmarked;
        let mut freed = Resources::ZERO;
        let mut starts = now;
        for (left, counted) in ends {
            if job
                .granted
                .fits(&(allocatable + freed).saturating_sub(taken))
            {
                break;
            }
            freed += counted;
            starts = now + left;
        }
        let fits = job
            .granted
            .fits(&(allocatable + freed).saturating_sub(taken));
        fits.then_some(starts)
    }

    /// Marks a task as being evicted and adds the decision to `out`.
    pub(crate) fn evict(
        &mut self,
        now: Instant,
        key: &TaskKey,
        why: EvictReason,
        out: &mut Vec<Decision>,
    ) {
        if let Some(row) = self.ledger.tasks.get_mut(key) {
            row.evicting = Some(now);
            self.evicting.insert(key.clone(), (why, now));
            let key = key.clone();
            out.push(Decision::Evict { key, why });
        }
    }
}
