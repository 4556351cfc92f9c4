//! Slowdowns common to all workers, which no co-located task causes.

use base::prelude::*;

use crate::cfg::InterferenceCfg;
use crate::ledger::Ledger;

/// The common slowdown of the services of a shard.
#[derive(Debug)]
pub(crate) struct CommonSlowdown {
    floor: f64,
    extra: f64,
    since: Option<Instant>,
    samples: u64,
}

/// The fewest services for which a common slowdown is computed.
const MIN_SERVICES: usize = 4;
/// How many samples the estimates need before their residuals are meaningful.
const MIN_SAMPLES: u64 = 500;
/// How long a slowdown counts as common; after that it is learnt by the estimates.
const MAX_DURATION: Duration = Duration::from_secs(300);

impl CommonSlowdown {
    pub(crate) fn new(cfg: &InterferenceCfg) -> Self {
        Self {
            floor: cfg.common_floor,
            extra: 0.0,
            since: None,
            samples: 0,
        }
    }

    pub(crate) fn note_sample(&mut self) {
        self.samples += 1;
    }

    /// Returns the extra time of services that is not attributed to co-located tasks.
    pub(crate) fn extra(&self, now: Instant) -> f64 {
        match self.since {
            Some(since) if now.saturating_duration_since(since) < MAX_DURATION => self.extra,
            _ => 0.0,
        }
    }

    /// Recomputes the common slowdown from the residuals of the estimates.
    pub(crate) fn update(&mut self, now: Instant, ledger: &Ledger, fresh_for: Duration) {
        if self.samples < MIN_SAMPLES {
            return;
        }
        let mut residuals: Vec<f64> = ledger
            .workers
            .values()
            .flat_map(|row| row.services.values())
            .filter(|service| now.saturating_duration_since(service.sampled) < fresh_for)
            .map(|service| service.residual)
            .collect();
        residuals.sort_by(f64::total_cmp);
        // Two thirds of the services must show it: an interfering pair on half of the workers is
        // not common.
        let seen = residuals.get(residuals.len() / 3).copied();
        let enough = residuals.len() >= MIN_SERVICES;
        let clear = seen.filter(|seen| enough && *seen > self.floor);
        self.extra = clear.unwrap_or(0.0);
        self.since = (self.extra > 0.0).then(|| self.since.unwrap_or(now));
    }
}
