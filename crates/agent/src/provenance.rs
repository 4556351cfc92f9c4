//! What orders, leases and conclusions rest on, for the log.

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::{EndKind, RejectKind, WorkerStatus};
use slog::{Logger, info, warn};

use crate::incarnation::WorkerIncarnation;

/// How many conclusions wait to be logged; there are few between two events.
const MAX_CONCLUSIONS: usize = 1024;

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

/// What shows that a run does not start, or has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Proof {
    /// No call was made.
    Unsent,
    /// The worker accepted it at this time of its clock, and a later status lacks it.
    Missing(u64),
    /// The worker confirmed the stop at this time of its clock, and a later status lacks the run.
    Stopped(u64),
    /// The fencing token has risen; the calls made so far, if any, carry a lower one.
    Fenced,
}

/// A run that the companion has given up.
#[derive(Debug)]
struct Conclusion {
    run: TaskRun,
    /// The reason to report, if it is reported.
    why: Option<RejectKind>,
    proof: Proof,
    /// Calls without a reply.
    unanswered: u32,
}

/// The conclusions that have not been logged yet.
#[derive(Debug, Default)]
pub(crate) struct Conclusions(Vec<Conclusion>);

impl Conclusions {
    pub(crate) fn add(
        &mut self,
        run: &TaskRun,
        why: Option<RejectKind>,
        proof: Proof,
        unanswered: u32,
    ) {
        if self.0.len() < MAX_CONCLUSIONS {
            self.0.push(Conclusion {
                run: run.clone(),
                why,
                proof,
                unanswered,
            });
        }
    }
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

    /// Logs that runs have ended with the lease, if a status lists such ends beyond number `known`.
    pub(crate) fn log_lapses(&self, now: Instant, status: &WorkerStatus, known: u64, log: &Logger) {
        let is_new = |number: u64| number > known.max(self.stored_ends);
        let mut lapsed = status
            .finished
            .iter()
            .filter(|end| end.how == EndKind::Lapsed && is_new(end.number));
        if let Some(first) = lapsed.next() {
            let lease = self.leased_by.as_ref();
            warn!(log, "companion: lease lapsed"; "runs" => lapsed.count() + 1,
                "first" => %first.run, "born" => self.heartbeat.incarnation.0,
                "fence" => status.fence, "status_ms" => status.clock_ms,
                "deadline_ms" => self.deadline_ms,
                "lease_owner" => lease.map(|l| l.owner.to_string()),
                "lease_epoch" => lease.map(|l| l.epoch.0), "lease_report" => lease.map(|l| l.report),
                "lease_age_ms" => lease.map(|l| age_ms(now, l.sent_at)));
        }
    }

    /// Logs that the lease is no longer renewed, or is again.
    pub(crate) fn log_unresponsive(&mut self, now: Instant, log: &Logger) {
        let is_unresponsive = self.is_unresponsive(now);
        if std::mem::replace(&mut self.was_unresponsive, is_unresponsive) != is_unresponsive {
            info!(log, "companion: renewal of the lease";
                "ends" => is_unresponsive, "born" => self.heartbeat.incarnation.0,
                "silent_ms" => age_ms(now, self.answered_at), "refused" => self.is_refusing,
                "fence" => self.fence, "deadline_ms" => self.deadline_ms);
        }
    }

    /// Logs the runs that the companion has given up.
    pub(crate) fn log_conclusions(&mut self, now: Instant, log: &Logger) {
        for conclusion in std::mem::take(&mut self.starts.conclusions.0) {
            let (proof, proof_ms) = match conclusion.proof {
                Proof::Unsent => ("not sent", 0),
                Proof::Missing(at) => ("accepted, not listed", at),
                Proof::Stopped(at) => ("stopped, not listed", at),
                Proof::Fenced => ("fencing token raised", 0),
            };
            info!(log, "companion: run given up"; "run" => %conclusion.run,
                "why" => ?conclusion.why, "proof" => proof, "proof_ms" => proof_ms,
                "unanswered" => conclusion.unanswered,
                "born" => self.heartbeat.incarnation.0, "fence" => self.fence,
                "status_fence" => self.status.as_ref().map(|s| s.fence),
                "status_ms" => self.status_clock_ms,
                "clock_ms" => self.clock.map(|clock| clock.at_least(now)));
        }
    }
}

/// Returns how long ago `at` was, in milliseconds.
pub(crate) fn age_ms(now: Instant, at: Instant) -> u64 {
    base::whole_ms(now.saturating_duration_since(at))
}
