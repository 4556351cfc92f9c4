//! The owner's state of a run on a worker.

use base::prelude::*;

use super::trials::Trial;

/// The speed of a task that is not throttled, in percent.
pub(super) const FULL_SPEED: u32 = 100;

/// A speed that differs from every valid one, so that the next order is sent in any case.
pub(super) const SPEED_UNKNOWN: u32 = u32::MAX;

/// How often a throttle order is resent, in case it was lost.
const RESEND_THROTTLE_AFTER: Duration = Duration::from_secs(1);

/// The phase of a run, from the owner's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Ordered; `sent` is when the order was last sent, `is_acknowledged` whether the companion's
    /// report contained it.
    Ordered {
        sent: Option<Instant>,
        is_acknowledged: bool,
    },
    /// Reported as running.
    Running,
    /// To be stopped; may still run.
    Stopping { sent: Option<Instant> },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Rises with each run of a worker.
    pub(super) number: u64,
    /// Changed by [`super::worker::Worker`] only, which counts the starts.
    pub(super) phase: Phase,
    /// Whether a status has contained it, so that it has started.
    pub(super) was_listed: bool,
    /// The resources charged to the worker.
    pub(super) charged: Resources,
    /// The expected processor use, also of best-effort tasks, in thousandths of a core.
    pub(super) demand_milli: u64,
    pub(super) is_best_effort: bool,
    /// The class of the task.
    pub(super) class: Option<Name>,
    /// Since when it has run at a low speed.
    pub(super) throttled_since: Option<Instant>,
    pub(super) is_standing: bool,
    pub(super) latency_target_ms: Option<u64>,
    /// When it was ordered or adopted.
    pub(super) since: Instant,
    /// Whether it started from a checkpoint.
    pub(super) resumes: bool,
    /// When it was first listed, if it has run from its beginning and at full speed since.
    pub(super) measured_since: Option<Instant>,
    pub(super) percent: f64,
    /// When `percent` last rose.
    pub(super) last_progress: Instant,
    pub(super) gauge: f64,
    /// The speed at which it should run, in percent.
    pub(super) speed_percent: u32,
    /// The speed that was last sent to the companion, and when.
    pub(super) speed_sent: Option<(u32, Instant)>,
    /// The advisor's ticket.
    pub(super) ticket: Option<Name>,
    /// Set while it is suspected of crashing its workers.
    pub(super) trial: Option<Trial>,
}

impl Run {
    /// Marks the run as to be stopped, unless it is already.
    pub(super) fn stop(&mut self) {
        if !matches!(self.phase, Phase::Stopping { .. }) {
            self.phase = Phase::Stopping { sent: None };
        }
    }

    /// Returns true if the speed has to be sent to the companion.
    pub(super) fn is_speed_due(&self, now: Instant) -> bool {
        match self.speed_sent {
            None => self.speed_percent != FULL_SPEED,
            Some((speed_percent, at)) => {
                speed_percent != self.speed_percent
                    || (speed_percent != FULL_SPEED
                        && now.duration_since(at) >= RESEND_THROTTLE_AFTER)
            }
        }
    }
}
