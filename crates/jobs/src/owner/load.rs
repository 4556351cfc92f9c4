//! The load that a service feels, as its tail latency tells.
//!
//! A tail latency grows like that of a queue: without bound as the load nears one. So a tail is
//! turned into the load felt: the service's own, which comes and goes within seconds, and what its
//! neighbours add. All tasks of one stage of a job serve the same users, so they share their own
//! load; another job of the same class has other users, and a load of its own.

use base::prelude::*;

use crate::TaskId;

/// The share of its target that a tail takes at no load, until a lower one was seen: targets are
/// four and a half times as long.
const QUIET_SHARE: f64 = 0.22;

/// What is kept free below the load at which the tail meets its target: as much as figures of one
/// load differ.
const MARGIN: f64 = 0.05;

/// The load that a service feels before its first figures: about the mean of services.
const FIRST_LOAD: f64 = 0.45;

/// The most load of its own that a service is taken to have.
const MAX_LOAD: f64 = 0.95;

/// How fast the tracked load follows its figures; these look back half a second themselves.
const MEMORY: Duration = Duration::from_millis(100);

/// The variance of a service's own load beside which that of its neighbours' harm is weighed.
const LOAD_VARIANCE: f64 = 0.02;

/// The load felt from which on requests queue up: the tail tells of the backlog, not of the load.
const CHOKED_FROM: f64 = 0.86;

/// How long a backlog takes to be worked off.
const BACKLOG: Duration = Duration::from_millis(1500);

/// Names a service: a stage of a job whose tasks have a tail target.
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

    /// Tells whether the service is of a job.
    pub(super) fn is_of(&self, job: &JobId) -> bool {
        self.job == *job
    }
}

/// The tail latency of a service on one worker.
#[derive(Clone, Debug)]
pub(super) struct Tail {
    pub(super) service: Service,
    /// What the service runs.
    pub(super) class: Name,
    /// The average tail of its tasks here, over its target.
    pub(super) over_target: f64,
}

/// The load felt by one service, followed over all its workers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// The least tail over its target.
    quiet: f64,
    /// The load without neighbours by now.
    own: f64,
    at: Option<Instant>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            quiet: QUIET_SHARE,
            own: FIRST_LOAD,
            at: None,
        }
    }
}

impl Load {
    /// Returns the load that the service has without neighbours.
    pub(super) fn own(&self) -> f64 {
        self.own
    }

    /// Returns the load felt at a tail over its target.
    pub(super) fn felt(&mut self, tail: f64) -> f64 {
        self.quiet = self.quiet.min(tail);
        1.0 - self.quiet / tail.max(self.quiet)
    }

    /// Returns the load that fillers may add.
    pub(super) fn budget(&self) -> f64 {
        (1.0 - self.quiet - MARGIN - self.own).max(0.0)
    }

    /// Follows a figure of the load without neighbours; `doubt` is the standard deviation of what
    /// was taken off for these.
    pub(super) fn follow(&mut self, now: Instant, load: f64, doubt: f64) {
        let share = LOAD_VARIANCE / (LOAD_VARIANCE + doubt * doubt);
        let Some(at) = self.at.replace(now) else {
            self.own += (load - self.own) * share;
            return;
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let gain = 1.0 - (-passed / MEMORY.as_secs_f64()).exp();
        self.own = (self.own + (load - self.own) * gain * share).clamp(0.0, MAX_LOAD);
    }
}

/// The services of a worker whose requests queue up, with when that was last seen.
#[derive(Debug, Default)]
pub(super) struct Choked(IndexMap<Service, Instant>);

impl Choked {
    /// Tells whether a service's tail tells of a backlog, after a figure of the load it feels.
    pub(super) fn note(&mut self, now: Instant, service: &Service, felt: f64) -> bool {
        self.0
            .retain(|_, at| now.saturating_duration_since(*at) < BACKLOG);
        if felt >= CHOKED_FROM {
            self.0.insert(service.clone(), now);
        }
        self.0.contains_key(service)
    }
}
