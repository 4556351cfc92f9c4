//! Reservations of capacity for certain jobs.
//!
//! Capacity freed by pre-emption is reserved exclusively: no other job gets it. A worker reserved
//! for a large job may still take jobs that end before the large one can start.

use base::prelude::*;

use crate::choose::Candidate;
use crate::ledger::Ledger;
use crate::rows::WorkerRow;

/// A reservation on one worker for one job.
#[derive(Clone, Debug)]
pub(crate) struct Keep {
    pub(crate) worker: WorkerId,
    pub(crate) need: Resources,
    pub(crate) strict: bool,
    /// The team whose quota the capacity was reclaimed for.
    pub(crate) quota_of: Option<TeamName>,
    /// When the job is expected to start.
    pub(crate) starts: Instant,
    pub(crate) until: Instant,
}

/// All reservations.
#[derive(Debug, Default)]
pub(crate) struct Keeps {
    by_job: IndexMap<JobId, Keep>,
    reserved: IndexMap<WorkerId, JobId>,
}

impl Keeps {
    pub(crate) fn get(&self, job: &JobId) -> Option<&Keep> {
        self.by_job.get(job)
    }

    /// Returns the jobs with a reservation.
    pub(crate) fn jobs(&self) -> Vec<JobId> {
        self.by_job.keys().cloned().collect()
    }

    /// Returns how many workers are reserved for large jobs.
    pub(crate) fn reserved(&self) -> usize {
        self.reserved.len()
    }

    pub(crate) fn is_reserved(&self, worker: &WorkerId) -> bool {
        self.reserved.contains_key(worker)
    }

    /// Returns true if capacity is being reclaimed for a team's quota.
    pub(crate) fn has_quota_keep(&self, team: &TeamName) -> bool {
        self.by_job
            .values()
            .any(|keep| keep.quota_of.as_ref() == Some(team))
    }

    pub(crate) fn add(&mut self, job: JobId, keep: Keep, ledger: &mut Ledger) {
        self.remove(&job, ledger);
        if keep.strict {
            if let Some(row) = ledger.workers.get_mut(&keep.worker) {
                row.kept += keep.need;
            }
        } else {
            self.reserved.insert(keep.worker.clone(), job.clone());
        }
        self.by_job.insert(job, keep);
    }

    pub(crate) fn remove(&mut self, job: &JobId, ledger: &mut Ledger) -> Option<WorkerId> {
        let keep = self.by_job.swap_remove(job)?;
        if keep.strict {
            if let Some(row) = ledger.workers.get_mut(&keep.worker) {
                row.kept = row.kept.saturating_sub(keep.need);
            }
        } else if self.reserved.get(&keep.worker) == Some(job) {
            self.reserved.swap_remove(&keep.worker);
        }
        Some(keep.worker)
    }

    /// Returns the jobs whose reservations have expired.
    pub(crate) fn expired(&self, now: Instant) -> Vec<JobId> {
        let expired = self.by_job.iter().filter(|(_, keep)| keep.until <= now);
        expired.map(|(job, _)| job.clone()).collect()
    }

    /// Returns true if a job may use a worker's free capacity despite a reservation for another
    /// job.
    pub(crate) fn allows(
        &self,
        now: Instant,
        row: &WorkerRow,
        free: &Resources,
        job: &Candidate,
    ) -> bool {
        let Some(owner) = self.reserved.get(&row.view.worker) else {
            return true;
        };
        let Some(keep) = self.by_job.get(owner) else {
            return true;
        };
        if *owner == job.job || job.urgent {
            return true;
        }
        let ends_before = job
            .run_time
            .is_some_and(|run_time| now + run_time <= keep.starts);
        ends_before || (job.granted + keep.need).fits(free)
    }
}
