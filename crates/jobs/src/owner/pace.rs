//! Throttling of best-effort tasks on workers with latency-critical tasks.
//!
//! [`super::colocation`] plans where best-effort tasks run and how fast, from the predicted
//! interference of pairs of classes. If a tail latency exceeds its target nevertheless, the
//! best-effort tasks on that worker are throttled step by step, classes with known interference
//! first, and moved if that lasts.

use base::prelude::*;
use slog::info;

use super::Owner;
use super::neighbours::class_of;
use super::worker::{Phase, Worker};
use crate::TaskRun;

/// The speed of best-effort tasks at each throttle level, in percent.
const PACES: [u32; 5] = [100, 60, 30, 10, 0];

/// The share of the latency target from which the throttle level rises by one.
const SLOW_FROM: f64 = 0.95;

/// The share of the latency target from which the throttle level rises by two at once.
const SLOW_MUCH_FROM: f64 = 2.0;

/// The share of the latency target below which the throttle level falls by one.
const SPEED_BELOW: f64 = 0.8;

/// How long a throttle takes to show in the measurements, which average half a second.
const SLOW_EVERY: Duration = Duration::from_millis(700);

/// How long after a change of the throttle level it may fall.
const SPEED_EVERY: Duration = Duration::from_millis(500);

/// The granularity of planned speeds, in percent; each change of the speed is an order.
const PLAN_STEP: f64 = 10.0;

/// How long a task runs at a low speed before it is moved to a worker where it may run faster.
const MOVE_AFTER: Duration = Duration::from_millis(500);

/// The progress from which a task is not moved any more, in percent.
const NEARLY_DONE: f64 = 80.0;

/// The throttle level from which all best-effort tasks are throttled, whatever their predicted
/// interference.
const SLOW_ALL_LEVEL: usize = 3;

impl Owner {
    /// Sets the speeds of best-effort tasks by the tail latencies on their workers.
    pub(super) fn pace_fillers(&mut self, now: Instant) {
        let mut stuck = Vec::new();
        for (vm, worker) in &mut self.workers {
            let stamp = (worker.number, worker.version);
            if std::mem::replace(&mut worker.paced_for, stamp) == stamp {
                continue;
            }
            self.neighbours.get_mut().learn(now, worker);
            let Some(worst) = worst_tail(worker) else {
                worker.paced_at = None;
                worker.pace_level = 0;
                set(now, worker, |_| PACES[0]);
                continue;
            };
            if let Some(next) = next_level(now, worker.paced_at, worker.pace_level, worst) {
                info!(self.log, "owner: fillers paced";
                    "vm" => %vm, "percent" => PACES[next], "tail_over_target" => worst,
                    "filled" => worker.filled());
                worker.paced_at = Some(now);
                worker.pace_level = next;
            }
            let level = worker.pace_level;
            let harmful = if level > 0 {
                self.neighbours.get_mut().harmful_to_worst(now, worker)
            } else {
                IndexSet::new()
            };
            let speeds = self.neighbours.get_mut().speeds(now, worker, None);
            set(now, worker, |class| {
                let step = if level >= SLOW_ALL_LEVEL || class.is_none_or(|c| harmful.contains(c)) {
                    PACES[level]
                } else {
                    PACES[0]
                };
                let planned = speeds.get(&class_of(class)).copied().unwrap_or(1.0);
                step.min(planned_pace(planned))
            });
            stuck.extend(stuck_filler(now, worker).map(|run| (Arc::clone(vm), run)));
        }
        for (vm, run) in stuck {
            self.move_filler(now, &vm, &run);
        }
    }

    /// Stops a throttled task that saves checkpoints if another worker can run it at full
    /// speed.
    fn move_filler(&mut self, now: Instant, vm: &Name, run: &TaskRun) {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return;
        };
        let Some((part, position)) = job.find(&run.task) else {
            return;
        };
        if !job.stage_of(&run.task).checkpoints {
            return;
        }
        let elsewhere = self.choose(now, job, &job.parts[part], position);
        if elsewhere.is_none_or(|other| other == *vm) {
            return;
        }
        info!(self.log, "owner: throttled best-effort task moved"; "run" => %run, "vm" => %vm);
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.stop_run(run);
        }
        self.avoid(vm, run);
    }
}

/// Returns the task that has been throttled for longest, if for at least [`MOVE_AFTER`].
fn stuck_filler(now: Instant, worker: &Worker) -> Option<TaskRun> {
    let runs = worker.runs.iter().filter(|(_, r)| {
        r.is_filler && r.phase == Phase::Running && r.pace <= PACES[1] && r.percent < NEARLY_DONE
    });
    let (id, run) = runs.min_by_key(|(_, r)| r.slow_since)?;
    let is_long = |at: Instant| now.duration_since(at) >= MOVE_AFTER;
    run.slow_since.is_some_and(is_long).then(|| id.clone())
}

/// Returns the highest ratio of tail latency to target, or `None` without latency-critical tasks.
pub(super) fn worst_tail(worker: &Worker) -> Option<f64> {
    let runs = worker.runs.values().filter(|r| r.phase == Phase::Running);
    runs.filter_map(|r| Some(r.gauge / r.tail_target_ms? as f64))
        .max_by(f64::total_cmp)
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

/// Returns a planned speed in percent, rounded down to a multiple of [`PLAN_STEP`].
fn planned_pace(speed: f64) -> u32 {
    ((speed * 100.0 / PLAN_STEP).floor() * PLAN_STEP) as u32
}

/// Sets the speeds of the best-effort tasks by their class.
fn set(now: Instant, worker: &mut Worker, pace: impl Fn(Option<&Name>) -> u32) {
    for run in worker.runs.values_mut().filter(|r| r.is_filler) {
        run.pace = pace(run.class.as_ref());
        run.slow_since = if run.pace <= PACES[1] {
            run.slow_since.or(Some(now))
        } else {
            None
        };
    }
}
