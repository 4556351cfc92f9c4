//! Throttling and eviction of the tasks that slow a worker's services.

use base::prelude::*;

use crate::cfg::Choice;
use crate::escalation::{Level, Transition};
use crate::interference::ClassId;
use crate::placer::Placer;
use crate::rows::TaskRow;
use crate::types::{Decision, EvictReason};

/// The share of a service's extra time that must be attributed to tasks before the worker
/// escalates.
const MIN_ATTRIBUTED_SHARE: f64 = 0.3;
/// The share of the excess that must be attributed to unthrottled tasks to throttle them before any
/// eviction.
const MIN_UNTHROTTLED_SHARE: f64 = 0.5;
/// The share of the excess that must be attributed to a task to evict it.
const MIN_OFFENDER_SHARE: f64 = 0.1;

/// A task, and how much of a service's extra time is attributed to it.
#[derive(Clone, Debug)]
struct Offender {
    key: TaskKey,
    /// The attributed extra time, as a multiple of the service's undisturbed time.
    extra: f64,
    /// The work that its eviction would waste, in seconds.
    cost: f64,
    standing: bool,
    throttled: bool,
    ending: bool,
}

impl Placer {
    /// Escalates or de-escalates the workers with new samples, and de-escalates those without.
    pub(crate) fn update_escalations(&mut self, now: Instant, out: &mut Vec<Decision>) {
        if !self.cfg.features.escalation {
            return;
        }
        for worker in self.escalation.without_samples(now) {
            self.deescalate(now, &worker, out);
        }
        for worker in self.escalation.take_touched() {
            self.update_escalation(now, &worker, out);
        }
    }

    fn update_escalation(&mut self, now: Instant, worker: &WorkerId, out: &mut Vec<Decision>) {
        let Some(row) = self.ledger.workers.get(worker) else {
            return;
        };
        let lag = row.lag;
        let Some((victim, extra)) = self.escalation.worst_service(worker) else {
            return;
        };
        let limit = self.extra_limit();
        let due = self
            .escalation
            .due_transition(now, worker, lag, extra, limit);
        match (due, self.cfg.choice) {
            (Transition::Hold, _) => self.evict_longest_throttled(now, worker, out),
            (Transition::Deescalate, _) => self.deescalate(now, worker, out),
            (Transition::Escalate, Choice::InterferenceAware) => {
                self.escalate(now, worker, victim, extra, out)
            }
            (Transition::Escalate, _) => self.evict_newest(now, worker, out),
        }
    }

    fn escalate(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        victim: ClassId,
        extra: f64,
        out: &mut Vec<Decision>,
    ) {
        let offenders = self.offenders(now, worker, victim);
        let attributed: f64 = offenders.iter().map(|offender| offender.extra).sum();
        if attributed < extra * MIN_ATTRIBUTED_SHARE {
            return;
        }
        match self.escalation.level(worker) {
            Level::Normal => self
                .escalation
                .set_level(now, worker, Level::PlacementHalted),
            Level::PlacementHalted if self.cfg.features.throttle => {
                self.throttle_worst(now, worker, &offenders, extra, out);
                self.escalation.set_level(now, worker, Level::Throttled);
            }
            Level::Throttled if self.evict_worst(now, worker, &offenders, extra, true, out) => {}
            Level::Throttled => {
                self.throttle_worst(now, worker, &offenders, extra, out);
                self.escalation
                    .set_level(now, worker, Level::ThrottledFurther);
            }
            Level::ThrottledFurther if self.has_unthrottled_offenders(&offenders, extra) => {
                self.throttle_worst(now, worker, &offenders, extra, out);
                self.escalation
                    .set_level(now, worker, Level::ThrottledFurther);
            }
            Level::PlacementHalted | Level::ThrottledFurther => {
                self.evict_worst(now, worker, &offenders, extra, false, out);
            }
        }
    }

    /// Returns true if much of the excess is attributed to tasks that are not throttled.
    fn has_unthrottled_offenders(&self, offenders: &[Offender], extra: f64) -> bool {
        let free = offenders
            .iter()
            .filter(|offender| !offender.throttled && !offender.standing);
        let attributed: f64 = free.map(|offender| offender.extra).sum();
        self.cfg.features.throttle
            && attributed >= (extra - self.extra_limit()) * MIN_UNTHROTTLED_SHARE
    }

    /// Throttles the worst offenders, as many as account for the excess.
    fn throttle_worst(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        offenders: &[Offender],
        extra: f64,
        out: &mut Vec<Decision>,
    ) {
        let further = self.escalation.level(worker) >= Level::Throttled;
        let share = self.cfg.escalation.shares[usize::from(further)];
        let mut excess = extra - self.extra_limit();
        for offender in offenders.iter().filter(|offender| !offender.standing) {
            if excess <= 0.0 {
                break;
            }
            excess -= offender.extra * (1.0 - share);
            self.throttle(now, worker, &offender.key, share, out);
        }
    }

    fn throttle(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        key: &TaskKey,
        share: f64,
        out: &mut Vec<Decision>,
    ) {
        self.ledger.throttle(now, key, share);
        if let Some(row) = self.escalation.row_mut(worker) {
            if share < 1.0 {
                row.throttled.insert(key.clone());
            } else {
                row.throttled.swap_remove(key);
            }
        }
        let key = key.clone();
        out.push(Decision::Throttle { key, share });
    }

    /// De-escalates by one level and relaxes the throttles accordingly.
    fn deescalate(&mut self, now: Instant, worker: &WorkerId, out: &mut Vec<Decision>) {
        let level = self.escalation.level(worker).lowered();
        let share = match level {
            Level::Normal | Level::PlacementHalted => 1.0,
            Level::Throttled | Level::ThrottledFurther => self.cfg.escalation.shares[0],
        };
        let throttled = self
            .escalation
            .row_mut(worker)
            .map(|row| row.throttled.clone())
            .unwrap_or_default();
        for key in throttled {
            let known = self.ledger.tasks.get(&key).map(|row| row.throttle);
            match known {
                Some(now_share) if now_share < share => {
                    self.throttle(now, worker, &key, share, out);
                }
                Some(_) => {}
                None => {
                    if let Some(row) = self.escalation.row_mut(worker) {
                        row.throttled.swap_remove(&key);
                    }
                }
            }
        }
        self.escalation.set_level(now, worker, level);
    }

    /// Evicts the offender with the most attributed extra time per second of wasted work, standing
    /// tasks last, if `extra` is high enough and the eviction budget allows; returns true if one
    /// was evicted.
    fn evict_worst(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        offenders: &[Offender],
        extra: f64,
        early: bool,
        out: &mut Vec<Decision>,
    ) -> bool {
        let limit = self.extra_limit();
        let restraint = 1.0 + self.cfg.escalation.eviction_weight_factor * self.weights.evictions;
        if extra <= limit * self.cfg.escalation.escalate_above * restraint
            || !self.may_evict(now, early)
        {
            return false;
        }
        let least = (extra - limit) * MIN_OFFENDER_SHARE;
        let worst = offenders
            .iter()
            .filter(|offender| offender.extra >= least && !offender.ending)
            .max_by(|a, b| {
                let value = |s: &Offender| s.extra / s.cost;
                let last = b.standing.cmp(&a.standing);
                last.then(value(a).total_cmp(&value(b)))
            });
        let Some(worst) = worst else {
            return false;
        };
        let key = worst.key.clone();
        self.escalation.note_eviction(now);
        let level = self.escalation.level(worker);
        self.escalation.set_level(now, worker, level);
        self.evict(now, &key, EvictReason::Interference, out);
        true
    }

    /// Evicts the task that would stay throttled longest, since it holds resources that it may not
    /// use.
    fn evict_longest_throttled(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        out: &mut Vec<Decision>,
    ) {
        let long = self
            .escalation
            .is_throttled_for(now, worker, self.cfg.escalation.throttled_for);
        if !long || !self.may_evict(now, true) {
            return;
        }
        let lag = self
            .ledger
            .workers
            .get(worker)
            .map_or(Duration::ZERO, |row| row.lag);
        let longest = self
            .tasks_on(worker)
            .filter(|task| task.throttle < 1.0 && task.is_movable() && !task.is_standing())
            .filter(|task| !self.is_ending(now, task, lag))
            .max_by_key(|task| self.time_left(now, task))
            .map(|task| task.task.key.clone());
        if let Some(key) = longest {
            let level = self.escalation.level(worker);
            self.escalation.note_eviction(now);
            self.escalation.set_level(now, worker, level);
            self.evict(now, &key, EvictReason::Interference, out);
        }
    }

    /// Evicts the newest task, as a scheduler without interference estimates does.
    fn evict_newest(&mut self, now: Instant, worker: &WorkerId, out: &mut Vec<Decision>) {
        if !self.may_evict(now, false) {
            return;
        }
        let newest = self
            .tasks_on(worker)
            .filter(|row| row.is_movable() && !row.is_standing())
            .max_by_key(|row| row.placed_at)
            .map(|row| row.task.key.clone());
        if let Some(key) = newest {
            self.escalation.note_eviction(now);
            self.escalation
                .set_level(now, worker, Level::PlacementHalted);
            self.evict(now, &key, EvictReason::Interference, out);
        }
    }

    /// Returns true if the budget allows an eviction; an `early` one may use only a share of the
    /// budget.
    fn may_evict(&self, now: Instant, early: bool) -> bool {
        let share = if early {
            self.cfg.escalation.early_eviction_share
        } else {
            1.0
        };
        let most = f64::from(self.evictions_per_hour) * share;
        f64::from(self.escalation.evictions_last_hour(now)) < most
    }

    /// Returns the tasks that may be acted on, by the extra time of a service attributed to them,
    /// the most first.
    fn offenders(&self, now: Instant, worker: &WorkerId, victim: ClassId) -> Vec<Offender> {
        let Some(row) = self.ledger.workers.get(worker) else {
            return Vec::new();
        };
        let capacity = row.view.capacity.cpu_milli.max(1) as f64;
        let mut offenders: Vec<_> = self
            .tasks_on(worker)
            .filter(|task| task.is_movable())
            .map(|task| {
                let load = task.task.granted.cpu_milli as f64 * task.throttle / capacity;
                Offender {
                    key: task.task.key.clone(),
                    extra: self.interference.estimate(victim, task.class, now).mean * load,
                    cost: self.eviction_cost(task),
                    standing: task.is_standing(),
                    throttled: task.throttle < 1.0,
                    ending: self.is_ending(now, task, row.lag),
                }
            })
            .collect();
        offenders.sort_by(|a, b| b.extra.total_cmp(&a.extra));
        offenders
    }

    pub(crate) fn tasks_on(&self, worker: &WorkerId) -> impl Iterator<Item = &TaskRow> {
        let keys = self.ledger.workers.get(worker).map(|row| row.tasks.iter());
        keys.into_iter()
            .flatten()
            .filter_map(|key| self.ledger.tasks.get(key))
    }

    /// Returns the work that an eviction wastes, in seconds.
    pub(crate) fn eviction_cost(&self, task: &TaskRow) -> f64 {
        self.usage.checkpoint_secs(task.class).max(0.1)
    }

    /// Returns true if a task is so near its end that it is allowed to finish.
    pub(crate) fn is_ending(&self, now: Instant, task: &TaskRow, lag: Duration) -> bool {
        let Some(left) = self.time_left(now, task) else {
            return false;
        };
        let declared = task.task.run_time.unwrap_or_default();
        let near = declared.mul_f64(self.cfg.escalation.near_end);
        left <= near.max(lag + Duration::from_secs_f64(self.eviction_cost(task)))
    }

    /// Returns the expected remaining run time of a task; `None` for standing work.
    pub(crate) fn time_left(&self, now: Instant, task: &TaskRow) -> Option<Duration> {
        let declared = task.task.run_time?;
        let speed = (task.speed * task.throttle).clamp(0.05, 1.0);
        if let Some((done, at)) = task.progress
            && done > 0.0
        {
            let expected = self.usage.run_time(task.class, declared);
            let since = now.saturating_duration_since(at);
            let left = expected.mul_f64((1.0 - done).max(0.0) / speed);
            return Some(left.saturating_sub(since));
        }
        let ran = now.saturating_duration_since(task.placed_at);
        let rest = self.remaining_work(task.class, Some(declared), task.task.work_done)?;
        Some(rest.div_f64(speed).saturating_sub(ran))
    }

    /// Returns the remaining work of a job; `None` for standing work.
    pub(crate) fn remaining_work(
        &self,
        class: ClassId,
        run_time: Option<Duration>,
        work_done: Duration,
    ) -> Option<Duration> {
        let expected = self.usage.run_time(class, run_time?);
        Some(expected.saturating_sub(work_done))
    }
}
