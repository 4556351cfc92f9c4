//! Throttling of fillers beside tasks whose tail latency is over its target.

use base::prelude::*;
use slog::info;

use super::Owner;
use super::worker::{Phase, Worker};

/// The shares of speed at which fillers may go on, in percent.
const PACES: [u32; 5] = [100, 60, 30, 10, 0];

/// The share of a target from which fillers are slowed.
const SLOW_FROM: f64 = 0.95;

/// The share of a target below which fillers may go faster again.
const SPEED_BELOW: f64 = 0.6;

/// How long a slower pace takes to show in the figures, which look back half a second.
const SLOW_EVERY: Duration = Duration::from_millis(700);

/// How long the figures must be good before the pace rises.
const SPEED_EVERY: Duration = Duration::from_millis(1500);

impl Owner {
    /// Sets the pace of fillers by the tail latencies beside them.
    pub(super) fn pace_fillers(&mut self, now: Instant) {
        for (vm, worker) in &mut self.workers {
            let Some(worst) = worst_tail(worker) else {
                release(worker);
                continue;
            };
            let level = level(worker);
            let Some(next) = next_level(now, worker.paced_at, level, worst) else {
                set(worker, level);
                continue;
            };
            worker.paced_at = Some(now);
            info!(self.log, "owner: fillers paced";
                "vm" => %vm, "percent" => PACES[next], "tail_over_target" => worst);
            set(worker, next);
        }
    }
}

/// Returns the highest tail latency over its target, if anything here has a target.
fn worst_tail(worker: &Worker) -> Option<f64> {
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
    let since = |at: Instant| now.duration_since(at);
    if worst >= SLOW_FROM && level + 1 < PACES.len() {
        return paced_at
            .is_none_or(|at| since(at) >= SLOW_EVERY)
            .then_some(level + 1);
    }
    if worst < SPEED_BELOW && level > 0 {
        return paced_at
            .is_none_or(|at| since(at) >= SPEED_EVERY)
            .then(|| level - 1);
    }
    None
}

fn set(worker: &mut Worker, level: usize) {
    for run in worker.runs.values_mut().filter(|r| r.is_filler) {
        run.pace = PACES[level];
    }
}

fn release(worker: &mut Worker) {
    worker.paced_at = None;
    set(worker, 0);
}
