//! Escalation on a worker whose services are slowed: stop placing, throttle, evict.
//!
//! A level change uses only samples taken after the previous one and waits for the measurement lag,
//! so that it does not react to interference that the previous change has already removed.

use std::collections::VecDeque;

use base::prelude::*;

use crate::cfg::EscalationCfg;
use crate::interference::ClassId;

/// The transition that the evidence of a worker calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Transition {
    /// Keep the level.
    Hold,
    /// Go one level up.
    Escalate,
    /// Go one level down.
    Deescalate,
}

/// The escalation levels, in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Level {
    /// No service is slowed beyond the limit.
    #[default]
    Normal,
    /// Jobs that would slow its services are not placed.
    PlacementHalted,
    /// The worst offenders are throttled.
    Throttled,
    /// They are throttled further; the next escalation evicts one.
    ThrottledFurther,
}

/// The escalation state of one worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerEscalation {
    pub(crate) level: Level,
    /// The tasks that are throttled on this worker.
    pub(crate) throttled: IndexSet<TaskKey>,
    changed: Option<Instant>,
    /// The latest extra times of each service, oldest first.
    evidence: IndexMap<ClassId, VecDeque<f64>>,
    last_sample: Option<Instant>,
}

/// The escalation states of all workers.
#[derive(Debug)]
pub(crate) struct Escalation {
    pub(crate) cfg: EscalationCfg,
    rows: IndexMap<WorkerId, WorkerEscalation>,
    touched: IndexSet<WorkerId>,
    evictions: VecDeque<Instant>,
}

/// How many samples are kept for each service.
const EVIDENCE_LEN: usize = 6;
/// The window of the eviction budget.
const EVICTION_WINDOW: Duration = Duration::from_secs(3600);
/// The upper bound of the measurement lag that a level change waits for.
const MAX_LAG: Duration = Duration::from_secs(120);

impl Escalation {
    pub(crate) fn new(cfg: EscalationCfg) -> Self {
        Self {
            cfg,
            rows: IndexMap::new(),
            touched: IndexSet::new(),
            evictions: VecDeque::new(),
        }
    }

    /// Returns true if the worker gets no jobs that would slow its services.
    pub(crate) fn is_placement_halted(&self, worker: &WorkerId) -> bool {
        self.rows
            .get(worker)
            .is_some_and(|row| row.level != Level::Normal)
    }

    /// Records the extra time of a service, measured at `taken`; a sample taken too soon after the
    /// last level change is ignored.
    pub(crate) fn note(&mut self, worker: &WorkerId, service: ClassId, extra: f64, taken: Instant) {
        let row = self.rows.entry(worker.clone()).or_default();
        let stale = row
            .changed
            .is_some_and(|changed| taken < changed + self.cfg.settling_time / 2);
        if stale {
            return;
        }
        let evidence = row.evidence.entry(service).or_default();
        evidence.push_back(extra);
        if evidence.len() > EVIDENCE_LEN {
            evidence.pop_front();
        }
        row.last_sample = Some(taken);
        self.touched.insert(worker.clone());
    }

    /// Returns the workers with new samples since the last call.
    pub(crate) fn take_touched(&mut self) -> IndexSet<WorkerId> {
        std::mem::take(&mut self.touched)
    }

    pub(crate) fn row_mut(&mut self, worker: &WorkerId) -> Option<&mut WorkerEscalation> {
        self.rows.get_mut(worker)
    }

    pub(crate) fn level(&self, worker: &WorkerId) -> Level {
        self.rows.get(worker).map_or(Level::Normal, |row| row.level)
    }

    /// Returns the worker's most slowed service with its mean extra time, or `None` while every
    /// service has too few samples.
    pub(crate) fn worst_service(&self, worker: &WorkerId) -> Option<(ClassId, f64)> {
        let row = self.rows.get(worker)?;
        let required = self.cfg.samples as usize;
        row.evidence
            .iter()
            .filter(|(_, extras)| extras.len() >= required)
            .map(|(&class, extras)| (class, extras.iter().sum::<f64>() / extras.len() as f64))
            .max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the transition that the evidence calls for; `Hold` until the last level change has
    /// had time to take effect.
    pub(crate) fn due_transition(
        &self,
        now: Instant,
        worker: &WorkerId,
        lag: Duration,
        extra: f64,
        limit: f64,
    ) -> Transition {
        let Some(row) = self.rows.get(worker) else {
            return Transition::Hold;
        };
        let wait = lag.min(MAX_LAG) + self.cfg.settling_time;
        if row.changed.is_some_and(|changed| now < changed + wait) {
            return Transition::Hold;
        }
        if extra > limit * self.cfg.escalate_above {
            Transition::Escalate
        } else if extra < limit * self.cfg.deescalate_below && row.level != Level::Normal {
            Transition::Deescalate
        } else {
            Transition::Hold
        }
    }

    /// Sets a worker's level and discards its earlier samples.
    pub(crate) fn set_level(&mut self, now: Instant, worker: &WorkerId, level: Level) {
        let row = self.rows.entry(worker.clone()).or_default();
        row.level = level;
        row.changed = Some(now);
        row.evidence.clear();
    }

    /// Returns true if the worker has been at a throttling level, unchanged, for at least `time`.
    pub(crate) fn is_throttled_for(&self, now: Instant, worker: &WorkerId, time: Duration) -> bool {
        self.rows.get(worker).is_some_and(|row| {
            let since = row.changed.unwrap_or(now);
            row.level >= Level::Throttled && now.saturating_duration_since(since) >= time
        })
    }

    /// Returns the workers above `Normal` whose samples have stopped for longer than the timeout.
    pub(crate) fn without_samples(&self, now: Instant) -> Vec<WorkerId> {
        let timeout = self.cfg.sample_timeout;
        let overdue = self.rows.iter().filter(|(_, row)| {
            let last = row.last_sample.max(row.changed);
            row.level != Level::Normal
                && last.is_some_and(|last| now.saturating_duration_since(last) > timeout)
        });
        overdue.map(|(worker, _)| worker.clone()).collect()
    }

    pub(crate) fn forget_worker(&mut self, worker: &WorkerId) {
        self.rows.swap_remove(worker);
        self.touched.swap_remove(worker);
    }

    /// Returns how many evictions because of interference were decided in the last hour.
    pub(crate) fn evictions_last_hour(&self, now: Instant) -> u32 {
        let recent = self
            .evictions
            .iter()
            .filter(|at| now.saturating_duration_since(**at) < EVICTION_WINDOW)
            .count();
        u32::try_from(recent).unwrap_or(u32::MAX)
    }

    pub(crate) fn note_eviction(&mut self, now: Instant) {
        self.evictions.push_back(now);
        while let Some(first) = self.evictions.front()
            && now.saturating_duration_since(*first) >= EVICTION_WINDOW
        {
            self.evictions.pop_front();
        }
    }
}

impl Level {
    pub(crate) fn lowered(self) -> Self {
        match self {
            Self::Normal | Self::PlacementHalted => Self::Normal,
            Self::Throttled => Self::PlacementHalted,
            Self::ThrottledFurther => Self::Throttled,
        }
    }
}
