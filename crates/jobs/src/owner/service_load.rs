//! The load of a service, estimated from its tail latency.
//!
//! Tail latency grows like that of a queue: without bound as the load approaches one. So it is
//! converted into a measured load, which is the sum of the service's baseline load, which changes
//! within seconds, and of what co-located tasks add. All tasks of one stage of a job serve the same
//! users, so they share one baseline load; another job of the same class has other users and a
//! baseline load of its own.

use base::prelude::*;

use crate::TaskId;

/// The initial ratio of idle tail latency to target, until a lower one is measured: targets are 4.5
/// times the idle tail latency.
const IDLE_LATENCY_RATIO: f64 = 0.22;

/// The margin below the load at which the tail latency meets its target: the spread of
/// measurements at constant load.
const LOAD_MARGIN: f64 = 0.05;

/// The assumed load of a service before its first measurement: about the mean of services.
const INITIAL_LOAD: f64 = 0.45;

/// The upper bound of the baseline load.
const MAX_BASELINE: f64 = 0.95;

/// The time constant of the smoothed load; the measurements already average half a second.
const SMOOTHING_TIME: Duration = Duration::from_millis(100);

/// The variance of a service's baseline load, weighed against that of the predicted
/// interference.
const LOAD_VARIANCE: f64 = 0.02;

/// The measured load from which requests queue up; from there, tail latency reflects the backlog
/// and not the load.
const BACKLOG_FROM_LOAD: f64 = 0.86;

/// How long a backlog takes to drain.
const BACKLOG_DRAIN_TIME: Duration = Duration::from_millis(1500);

/// Identifies a service: a stage of a job whose tasks are latency-critical.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Service {
    job: JobId,
    stage: u32,
}

impl Service {
    /// Returns the service that a task belongs to.
    pub(super) fn of(task: &TaskId) -> Self {
        Self {
            job: task.job.clone(),
            stage: task.stage,
        }
    }

    /// Returns true if the service belongs to the job.
    pub(super) fn is_of(&self, job: &JobId) -> bool {
        self.job == *job
    }
}

/// The tail latency of a service on one worker.
#[derive(Clone, Debug)]
pub(super) struct TailLatency {
    pub(super) service: Service,
    /// The class of its tasks.
    pub(super) class: Name,
    /// The average ratio of its tasks' tail latency here to the target.
    pub(super) over_target: f64,
}

/// The load of one service, tracked over all its workers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// The lowest measured ratio of tail latency to target.
    idle_ratio: f64,
    /// The current load without co-located tasks.
    baseline: f64,
    at: Option<Instant>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            idle_ratio: IDLE_LATENCY_RATIO,
            baseline: INITIAL_LOAD,
            at: None,
        }
    }
}

impl Load {
    /// Returns the load of the service without co-located tasks.
    pub(super) fn baseline(&self) -> f64 {
        self.baseline
    }

    /// Returns the load measured at a ratio of tail latency to target.
    pub(super) fn measured(&mut self, latency_ratio: f64) -> f64 {
        self.idle_ratio = self.idle_ratio.min(latency_ratio);
        1.0 - self.idle_ratio / latency_ratio.max(self.idle_ratio)
    }

    /// Returns the load that best-effort tasks may add.
    pub(super) fn headroom(&self) -> f64 {
        (1.0 - self.idle_ratio - LOAD_MARGIN - self.baseline).max(0.0)
    }

    /// Updates the baseline with a measurement; `uncertainty` is the standard deviation of the
    /// interference that was subtracted from it.
    pub(super) fn update_baseline(&mut self, now: Instant, load: f64, uncertainty: f64) {
        let share = LOAD_VARIANCE / (LOAD_VARIANCE + uncertainty * uncertainty);
        let Some(at) = self.at.replace(now) else {
            self.baseline += (load - self.baseline) * share;
            return;
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let gain = 1.0 - (-passed / SMOOTHING_TIME.as_secs_f64()).exp();
        self.baseline =
            (self.baseline + (load - self.baseline) * gain * share).clamp(0.0, MAX_BASELINE);
    }
}

/// The services of a worker that have a backlog of requests, with the time of its last detection.
#[derive(Debug, Default)]
pub(super) struct Backlogged(IndexMap<Service, Instant>);

impl Backlogged {
    /// Records a measured load of a service; returns true if its tail latency reflects a backlog.
    pub(super) fn update(&mut self, now: Instant, service: &Service, measured: f64) -> bool {
        self.0
            .retain(|_, at| now.saturating_duration_since(*at) < BACKLOG_DRAIN_TIME);
        if measured >= BACKLOG_FROM_LOAD {
            self.0.insert(service.clone(), now);
        }
        self.0.contains_key(service)
    }
}
