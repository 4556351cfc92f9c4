//! Escalation on a worker whose services are slowed: stop placing, throttle, evict.
//!
//! A level change uses only samples taken after the previous one and waits for the measurement lag,
//! so that it does not react to interference that the previous change has already removed.

use std::collections::VecDeque;

use base::prelude::*;

use crate::cfg::LadderCfg;
use crate::harm::ClassId;

/// The transition that the evidence of a worker calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Move {
    /// Keep the level.
    Stay,
    /// Go one level up.
    Up,
    /// Go one level down.
    Down,
}

/// The escalation levels, in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    /// No service is slowed beyond the limit.
    #[default]
    Calm,
    /// Jobs that would slow its services are not placed.
    Halted,
    /// The worst offenders are throttled.
    Throttled,
    /// They are throttled further; the next escalation evicts one.
    Squeezed,
}

/// The escalation state of one worker.
#[derive(Debug, Default)]
pub(crate) struct LadderRow {
    pub(crate) step: Step,
    /// The tasks that are throttled on this worker.
    pub(crate) throttled: IndexSet<TaskKey>,
    changed: Option<Instant>,
    /// The latest extra times of each service, oldest first.
    evidence: IndexMap<ClassId, VecDeque<f64>>,
    last_sample: Option<Instant>,
}

/// The escalation states of all workers.
#[derive(Debug)]
pub(crate) struct Ladder {
    pub(crate) cfg: LadderCfg,
    rows: IndexMap<WorkerId, LadderRow>,
    touched: IndexSet<WorkerId>,
    evictions: VecDeque<Instant>,
}

/// How many samples are kept for each service.
const EVIDENCE_LEN: usize = 6;
/// The window of the eviction budget.
const HOUR: Duration = Duration::from_secs(3600);
/// The upper bound of the measurement lag that a level change waits for.
const LONGEST_LAG: Duration = Duration::from_secs(120);

impl Ladder {
    pub(crate) fn new(cfg: LadderCfg) -> Self {
        Self {
            cfg,
            rows: IndexMap::new(),
            touched: IndexSet::new(),
            evictions: VecDeque::new(),
        }
    }

    /// Returns true if the worker gets no jobs that would slow its services.
    pub(crate) fn is_halted(&self, worker: &WorkerId) -> bool {
        self.rows
            .get(worker)
            .is_some_and(|row| row.step != Step::Calm)
    }

    /// Records the extra time of a service, measured at `taken`.
    pub(crate) fn note(&mut self, worker: &WorkerId, service: ClassId, extra: f64, taken: Instant) {
        let row = self.rows.entry(worker.clone()).or_default();
        let stale = row
            .changed
            .is_some_and(|changed| taken < changed + self.cfg.settle / 2);
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

    pub(crate) fn row_mut(&mut self, worker: &WorkerId) -> Option<&mut LadderRow> {
        self.rows.get_mut(worker)
    }

    pub(crate) fn step(&self, worker: &WorkerId) -> Step {
        self.rows.get(worker).map_or(Step::Calm, |row| row.step)
    }

    /// Returns the worker's most slowed service with its mean extra time, or `None` while every
    /// service has too few samples.
    pub(crate) fn worst(&self, worker: &WorkerId) -> Option<(ClassId, f64)> {
        let row = self.rows.get(worker)?;
        let enough = self.cfg.samples as usize;
        row.evidence
            .iter()
            .filter(|(_, extras)| extras.len() >= enough)
            .map(|(&class, extras)| (class, extras.iter().sum::<f64>() / extras.len() as f64))
            .max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the transition that the evidence calls for; `Hold` until the last level change has
    /// had time to take effect.
    pub(crate) fn due_move(
        &self,
        now: Instant,
        worker: &WorkerId,
        lag: Duration,
        extra: f64,
        limit: f64,
    ) -> Move {
        let Some(row) = self.rows.get(worker) else {
            return Move::Stay;
        };
        let wait = lag.min(LONGEST_LAG) + self.cfg.settle;
        if row.changed.is_some_and(|changed| now < changed + wait) {
            return Move::Stay;
        }
        if extra > limit * self.cfg.rise {
            Move::Up
        } else if extra < limit * self.cfg.fall && row.step != Step::Calm {
            Move::Down
        } else {
            Move::Stay
        }
    }

    /// Sets a worker's level and discards its earlier samples.
    pub(crate) fn moved(&mut self, now: Instant, worker: &WorkerId, step: Step) {
        let row = self.rows.entry(worker.clone()).or_default();
        row.step = step;
        row.changed = Some(now);
        row.evidence.clear();
    }

    /// Returns true if the worker has been at a throttling level, unchanged, for at least `time`.
    pub(crate) fn is_throttled_for(&self, now: Instant, worker: &WorkerId, time: Duration) -> bool {
        self.rows.get(worker).is_some_and(|row| {
            let since = row.changed.unwrap_or(now);
            row.step >= Step::Throttled && now.saturating_duration_since(since) >= time
        })
    }

    /// Returns the workers above `Normal` whose samples have stopped for longer than the timeout.
    pub(crate) fn blind(&self, now: Instant) -> Vec<WorkerId> {
        let long = self.cfg.blind_after;
        let blind = self.rows.iter().filter(|(_, row)| {
            let last = row.last_sample.max(row.changed);
            row.step != Step::Calm
                && last.is_some_and(|last| now.saturating_duration_since(last) > long)
        });
        blind.map(|(worker, _)| worker.clone()).collect()
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
            .filter(|at| now.saturating_duration_since(**at) < HOUR)
            .count();
        u32::try_from(recent).unwrap_or(u32::MAX)
    }

    pub(crate) fn note_eviction(&mut self, now: Instant) {
        self.evictions.push_back(now);
        while let Some(first) = self.evictions.front()
            && now.saturating_duration_since(*first) >= HOUR
        {
            self.evictions.pop_front();
        }
    }
}

impl Step {
    pub(crate) fn down(self) -> Self {
        match self {
            Self::Calm | Self::Halted => Self::Calm,
            Self::Throttled => Self::Halted,
            Self::Squeezed => Self::Throttled,
        }
    }
}
