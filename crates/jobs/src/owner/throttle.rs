//! Throttling of best-effort tasks on workers with latency-critical tasks.
//!
//! [`super::colocation`] plans where best-effort tasks run and how fast, from the predicted
//! interference of pairs of classes. If a tail latency exceeds its target nevertheless, the
//! best-effort tasks on that worker are throttled step by step, classes with known interference
//! first, and moved if that lasts.

use base::prelude::*;
use slog::info;

use super::Owner;
use super::colocation::class_of;
use super::worker::{FULL_SPEED, Phase, Worker};
use crate::TaskRun;

/// The speed of best-effort tasks at each throttle level, in percent.
const LEVEL_SPEEDS: [u32; 5] = [100, 60, 30, 10, 0];

/// The share of the latency target from which the throttle level rises by one.
const THROTTLE_FROM: f64 = 0.95;

/// The share of the latency target from which the throttle level rises by two at once.
const THROTTLE_TWICE_FROM: f64 = 2.0;

/// The share of the latency target below which the throttle level falls by one.
const RELAX_BELOW: f64 = 0.8;

/// How long a throttle takes to show in the measurements, which average half a second.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(700);

/// How long the throttle level may not fall after it has changed.
const RELAX_INTERVAL: Duration = Duration::from_millis(500);

/// The granularity of planned speeds, in percent; each change of the speed is an order.
const SPEED_STEP: f64 = 10.0;

/// How long a task runs at a low speed before it is moved to a worker where it may run faster.
const MOVE_AFTER: Duration = Duration::from_millis(500);

/// The progress from which a task is not moved any more, in percent.
const MOVE_MAX_PERCENT: f64 = 80.0;

/// The throttle level from which all best-effort tasks are throttled, whatever their predicted
/// interference.
const THROTTLE_ALL_LEVEL: usize = 3;

impl Owner {
    /// Sets the speeds of best-effort tasks by the tail latencies on their workers.
    pub(super) fn throttle_best_effort(&mut self, now: Instant) {
        let mut throttled = Vec::new();
        for (vm, worker) in &mut self.workers {
            let stamp = (worker.processes.last_number, worker.version);
            if std::mem::replace(&mut worker.throttled_for, stamp) == stamp {
                continue;
            }
            self.colocation.get_mut().observe(now, worker);
            let Some(worst) = worst_tail_latency(worker) else {
                worker.throttled_at = None;
                worker.throttle_level = 0;
                set_speeds(now, worker, |_| LEVEL_SPEEDS[0]);
                continue;
            };
            if let Some(next) = next_level(now, worker.throttled_at, worker.throttle_level, worst) {
                info!(self.log, "owner: fillers paced";
                    "vm" => %vm, "percent" => LEVEL_SPEEDS[next], "tail_over_target" => worst,
                    "filled" => worker.best_effort_load());
                worker.throttled_at = Some(now);
                worker.throttle_level = next;
            }
            let level = worker.throttle_level;
            let offenders = if level > 0 {
                self.colocation.get_mut().offenders_of_worst(now, worker)
            } else {
                IndexSet::new()
            };
            let speeds = self.colocation.get_mut().speeds(now, worker, None);
            set_speeds(now, worker, |class| {
                let step =
                    if level >= THROTTLE_ALL_LEVEL || class.is_none_or(|c| offenders.contains(c)) {
                        LEVEL_SPEEDS[level]
                    } else {
                        LEVEL_SPEEDS[0]
                    };
                let planned = speeds.get(&class_of(class)).copied().unwrap_or(1.0);
                step.min(planned_speed_percent(planned))
            });
            throttled.extend(longest_throttled(now, worker).map(|run| (Arc::clone(vm), run)));
        }
        for (vm, run) in throttled {
            self.move_throttled(now, &vm, &run);
        }
    }

    /// Stops a throttled task that saves checkpoints if another worker can run it at full
    /// speed.
    fn move_throttled(&mut self, now: Instant, vm: &Name, run: &TaskRun) {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return;
        };
        let Some((instance, position)) = job.find(&run.task) else {
            return;
        };
        if !job.stage_of(&run.task).checkpoints {
            return;
        }
        let elsewhere = self.choose_worker(now, job, &job.instances[instance], position);
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
fn longest_throttled(now: Instant, worker: &Worker) -> Option<TaskRun> {
    let runs = worker.runs.iter().filter(|(_, r)| {
        r.is_best_effort
            && r.phase == Phase::Running
            && r.speed_percent <= LEVEL_SPEEDS[1]
            && r.percent < MOVE_MAX_PERCENT
    });
    let (id, run) = runs.min_by_key(|(_, r)| r.throttled_since)?;
    let is_long = |at: Instant| now.duration_since(at) >= MOVE_AFTER;
    run.throttled_since.is_some_and(is_long).then(|| id.clone())
}

/// Returns the highest ratio of tail latency to target, or `None` without latency-critical tasks.
pub(super) fn worst_tail_latency(worker: &Worker) -> Option<f64> {
    let runs = worker.runs.values().filter(|r| r.phase == Phase::Running);
    runs.filter_map(|r| Some(r.gauge / r.latency_target_ms? as f64))
        .max_by(f64::total_cmp)
}

fn next_level(
    now: Instant,
    throttled_at: Option<Instant>,
    level: usize,
    worst: f64,
) -> Option<usize> {
    let is_settled = |every| throttled_at.is_none_or(|at| now.duration_since(at) >= every);
    let slowest = LEVEL_SPEEDS.len() - 1;
    if worst >= THROTTLE_FROM && level < slowest {
        let steps = if worst >= THROTTLE_TWICE_FROM { 2 } else { 1 };
        return is_settled(THROTTLE_INTERVAL).then_some((level + steps).min(slowest));
    }
    if worst < RELAX_BELOW && level > 0 {
        return is_settled(RELAX_INTERVAL).then(|| level - 1);
    }
    None
}

/// Returns a planned speed in percent, rounded down to a multiple of [`SPEED_STEP`].
fn planned_speed_percent(speed: f64) -> u32 {
    ((speed * 100.0 / SPEED_STEP).floor() * SPEED_STEP) as u32
}

/// Sets the speeds of the best-effort tasks by their class.
fn set_speeds(now: Instant, worker: &mut Worker, speed_percent: impl Fn(Option<&Name>) -> u32) {
    worker.may_have_orders = true;
    for run in worker.runs.values_mut().filter(|r| r.is_best_effort) {
        run.speed_percent = speed_percent(run.class.as_ref());
        run.measured_since = run
            .measured_since
            .filter(|_| run.speed_percent == FULL_SPEED);
        run.throttled_since = if run.speed_percent <= LEVEL_SPEEDS[1] {
            run.throttled_since.or(Some(now))
        } else {
            None
        };
    }
}
