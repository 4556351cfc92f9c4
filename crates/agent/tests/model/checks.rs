//! What must be true of the companion's reports.

use jobs::report::{SyncReport, WorkerReport};

use super::Play;

impl Play {
    pub(super) fn check_report(&mut self, number: u64, report: &SyncReport) {
        let (Some(owner), Some(worker)) = (self.followed, &report.worker) else {
            return;
        };
        self.reports.insert(number, owner);
        self.check_rejections(worker);
        let Some(status) = worker.status.as_ref().filter(|s| s.is_settled) else {
            return;
        };
        self.settled += 1;
        for (run, presence) in &self.worker.presence {
            let is_there = presence.from < status.clock_ms
                && presence.until.is_none_or(|until| until > status.clock_ms);
            let is_listed = status.running.iter().any(|row| row.run == *run);
            assert!(is_listed || !is_there, "{run} is missing from {status:?}");
        }
    }

    fn check_rejections(&mut self, worker: &WorkerReport) {
        for rejected in &worker.rejected {
            if self.rejected.insert(rejected.run.clone()) {
                self.note(|| format!("rejected: {rejected:?}"));
            }
            let presence = self.worker.presence.get(&rejected.run);
            assert!(
                presence.is_none_or(|p| p.until.is_some()),
                "{rejected:?} is running"
            );
        }
    }
}
