//! What orders, leases and conclusions rest on, for the log.

use base::prelude::*;
use jobs::TaskRun;
use slog::{Logger, info};

use crate::incarnation::WorkerIncarnation;

/// The owner's reply that an order or a lease came with.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    pub(crate) owner: Name,
    pub(crate) epoch: Epoch,
    /// The report that was replied to.
    pub(crate) report: u64,
    /// When that report was sent; the owner decided later.
    pub(crate) sent_at: Instant,
}

impl WorkerIncarnation {
    /// Logs the first call to start a run: who ordered it, and until when it may run.
    pub(crate) fn log_start(&self, now: Instant, run: &TaskRun, source: &Source, log: &Logger) {
        let lease = self.leased_by.as_ref();
        info!(log, "companion: start sent"; "run" => %run,
            "owner" => %source.owner, "epoch" => source.epoch.0,
            "report" => source.report, "report_age_ms" => age_ms(now, source.sent_at),
            "born" => self.heartbeat.incarnation.0, "fence" => self.fence,
            "clock_ms" => self.clock.map(|clock| clock.at_least(now)),
            "deadline_ms" => self.deadline_ms,
            "lease_epoch" => lease.map(|l| l.epoch.0), "lease_report" => lease.map(|l| l.report),
            "lease_age_ms" => lease.map(|l| age_ms(now, l.sent_at)));
    }
}

/// Returns how long ago `at` was, in milliseconds.
pub(crate) fn age_ms(now: Instant, at: Instant) -> u64 {
    base::whole_ms(now.saturating_duration_since(at))
}
