//! Fillers beside tasks with a tail target: how many a worker takes, and how fast they go.
//!
//! What a filler does to its neighbours differs by pair and shifts with load, and is seen only in
//! tail latencies that lag by half a second. So each worker has a limit on fillers that rises
//! while tails are well below their targets and falls when one nears its target; fillers that are
//! already there are slowed at once.

use base::prelude::*;
use slog::info;

use super::Owner;
use super::worker::{Phase, Worker};

/// The shares of speed at which fillers may go on, in percent.
const PACES: [u32; 5] = [100, 60, 30, 10, 0];

/// The share of a target from which fillers are slowed.
const SLOW_FROM: f64 = 0.95;

/// The share of a target from which fillers are slowed by two steps at once.
const SLOW_MUCH_FROM: f64 = 2.0;

/// The share of a target below which fillers may go faster, and more may come.
const SPEED_BELOW: f64 = 0.65;

/// How long a slower pace takes to show in the figures, which look back half a second.
const SLOW_EVERY: Duration = Duration::from_millis(700);

/// How long the figures must be good before the pace rises.
const SPEED_EVERY: Duration = Duration::from_millis(900);

/// How long the figures must be good before more fillers may come.
const WIDEN_EVERY: Duration = Duration::from_millis(500);

/// The fillers that a worker with tail targets takes at first, as a share of its processors.
const FIRST_LIMIT: f64 = 0.2;

/// The least that the limit falls to, as a share of the processors.
const LEAST_LIMIT: f64 = 0.06;

/// The step by which the limit rises, as a share of the processors.
const LIMIT_STEP: f64 = 0.05;

/// What the limit falls to when a tail nears its target, as a share of what it was.
const LIMIT_CUT: f64 = 0.6;

/// The share of the limit that must be in use before it rises.
const USED_TO_WIDEN: f64 = 0.6;

/// How many fillers a worker takes beside tasks with a tail target.
#[derive(Clone, Copy, Debug)]
pub(super) struct FillLimit {
    /// As a share of the processors.
    share: f64,
    changed: Option<Instant>,
}

impl Default for FillLimit {
    fn default() -> Self {
        Self {
            share: FIRST_LIMIT,
            changed: None,
        }
    }
}

impl FillLimit {
    /// Returns the limit as a share of the processors.
    pub(super) fn share(&self) -> f64 {
        self.share
    }

    /// Moves the limit by the worst tail over its target, and the fillers there now.
    pub(super) fn adapt(&mut self, now: Instant, worst: f64, filled: f64) {
        let is_settled = |every| {
            self.changed
                .is_none_or(|at| now.duration_since(at) >= every)
        };
        if worst >= SLOW_FROM && is_settled(SLOW_EVERY) {
            self.share = (self.share.min(filled) * LIMIT_CUT).max(LEAST_LIMIT);
            self.changed = Some(now);
        } else if worst < SPEED_BELOW
            && filled >= self.share * USED_TO_WIDEN
            && is_settled(WIDEN_EVERY)
        {
            self.share = (self.share + LIMIT_STEP).min(1.0);
            self.changed = Some(now);
        }
    }
}

impl Owner {
    /// Sets the pace and the limits of fillers by the tail latencies beside them.
    pub(super) fn pace_fillers(&mut self, now: Instant) {
        for (vm, worker) in &mut self.workers {
            let Some(worst) = worst_tail(worker) else {
                worker.paced_at = None;
                set(worker, 0);
                continue;
            };
            let filled = worker.filled();
            let before = worker.fill_limit.share();
            worker.fill_limit.adapt(now, worst, filled);
            self.is_round_due |= worker.fill_limit.share() > before;
            let level = level(worker);
            let Some(next) = next_level(now, worker.paced_at, level, worst) else {
                set(worker, level);
                continue;
            };
            worker.paced_at = Some(now);
            info!(self.log, "owner: fillers paced";
                "vm" => %vm, "percent" => PACES[next], "tail_over_target" => worst,
                "filled" => filled, "limit" => worker.fill_limit.share());
            set(worker, next);
        }
    }
}

/// Returns the highest tail latency over its target, if anything here has a target.
pub(super) fn worst_tail(worker: &Worker) -> Option<f64> {
    let runs = worker.runs.values().filter(|r| r.phase == Phase::Running);
    runs.filter_map(|r| Some(r.gauge / r.tail_target_ms? as f64))
        .max_by(f64::total_cmp)
}

fn level(worker: &Worker) -> usize {
    let fillers = worker.runs.values().filter(|r| r.is_filler);
    let slowest = fillers.map(|r| r.pace).min().unwrap_or(PACES[0]);
    PACES.iter().position(|p| *p == slowest).unwrap_or(0)
}

fn next_level(now: Instant, paced_at: Option<Instant>, level: usize, worst: f64) -> Option<usize> {
    let is_settled = |every| paced_at.is_none_or(|at| now.duration_since(at) >= every);
    let slowest = PACES.len() - 1;
    if worst >= SLOW_FROM && level < slowest {
        let steps = if worst >= SLOW_MUCH_FROM { 2 } else { 1 };
        return is_settled(SLOW_EVERY).then_some((level + steps).min(slowest));
    }
    if worst < SPEED_BELOW && level > 0 {
        return is_settled(SPEED_EVERY).then(|| level - 1);
    }
    None
}

fn set(worker: &mut Worker, level: usize) {
    for run in worker.runs.values_mut().filter(|r| r.is_filler) {
        run.pace = PACES[level];
    }
}
