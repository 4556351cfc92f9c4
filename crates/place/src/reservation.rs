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
pub(crate) struct Reservation {
    pub(crate) worker: WorkerId,
    pub(crate) need: Resources,
    pub(crate) exclusive: bool,
    /// The team whose quota the capacity was reclaimed for.
    pub(crate) quota_of: Option<TeamName>,
    /// When the job is expected to start.
    pub(crate) starts: Instant,
    pub(crate) until: Instant,
}

/// All reservations.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    by_job: IndexMap<JobId, Reservation>,
    reserved: IndexMap<WorkerId, JobId>,
}

impl Reservations {
    pub(crate) fn get(&self, job: &JobId) -> Option<&Reservation> {
        self.by_job.get(job)
    }

    /// Returns the jobs with a reservation.
    pub(crate) fn jobs(&self) -> Vec<JobId> {
        self.by_job.keys().cloned().collect()
    }

    /// Returns how many workers are reserved for large jobs.
    pub(crate) fn reserved_workers(&self) -> usize {
        self.reserved.len()
    }

    pub(crate) fn is_reserved(&self, worker: &WorkerId) -> bool {
        self.reserved.contains_key(worker)
    }

    /// Returns true if capacity is being reclaimed for a team's quota.
    pub(crate) fn has_quota_reservation(&self, team: &TeamName) -> bool {
        self.by_job
            .values()
            .any(|reservation| reservation.quota_of.as_ref() == Some(team))
    }

    pub(crate) fn add(&mut self, job: JobId, reservation: Reservation, ledger: &mut Ledger) {
        self.remove(&job, ledger);
        if reservation.exclusive {
            if let Some(row) = ledger.workers.get_mut(&reservation.worker) {
                row.earmarked += reservation.need;
            }
        } else {
            self.reserved
                .insert(reservation.worker.clone(), job.clone());
        }
        self.by_job.insert(job, reservation);
    }

    pub(crate) fn remove(&mut self, job: &JobId, ledger: &mut Ledger) -> Option<WorkerId> {
        let reservation = self.by_job.swap_remove(job)?;
        if reservation.exclusive {
            if let Some(row) = ledger.workers.get_mut(&reservation.worker) {
                row.earmarked = row.earmarked.saturating_sub(reservation.need);
            }
        } else if self.reserved.get(&reservation.worker) == Some(job) {
            self.reserved.swap_remove(&reservation.worker);
        }
        Some(reservation.worker)
    }

    /// Returns the jobs whose reservations have expired.
    pub(crate) fn expired(&self, now: Instant) -> Vec<JobId> {
        let expired = self
            .by_job
            .iter()
            .filter(|(_, reservation)| reservation.until <= now);
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
        let Some(reservation) = self.by_job.get(owner) else {
            return true;
        };
        if *owner == job.job || job.urgent {
            return true;
        }
        let ends_before = job
            .run_time
            .is_some_and(|run_time| now + run_time <= reservation.starts);
        ends_before || (job.granted + reservation.need).fits(free)
    }
}
