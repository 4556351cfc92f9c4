//! Dependencies: jobs that wait for another job to finish.

use base::prelude::*;
use journal::{Change, Job, JobState};

use super::Shard;

/// Whether a queued job may be placed.
enum Readiness {
    Ready,
    Waits,
    Never(Name),
}

impl Shard {
    /// Hands a queued job to the placer, unless its predecessor has not finished.
    ///
    /// The job then waits, or is abandoned if the predecessor failed or was cancelled.
    pub(super) fn queue(&mut self, now: Instant, job: &Job) {
        match self.readiness(job) {
            Readiness::Ready => {
                let ask = self.placement_request(job, now);
                self.placer.job_queued(now, ask);
            }
            Readiness::Waits => {
                let key = job.spec.after.iter().cloned();
                for key in key {
                    self.blocked.entry(key).or_default().insert(job.id.clone());
                }
            }
            Readiness::Never(reason) => {
                let job = job.id.clone();
                self.owner.propose(now, Change::Abandoned { job, reason });
            }
        }
    }

    fn readiness(&self, job: &Job) -> Readiness {
        let Some(key) = &job.spec.after else {
            return Readiness::Ready;
        };
        let predecessor = self.owner.state().predecessor(job).map(|job| &job.state);
        match predecessor {
            // An earlier attempt has run, so the predecessor had finished by then.
            _ if job.attempt > Attempt(0) => Readiness::Ready,
            Some(JobState::Finished) => Readiness::Ready,
            Some(JobState::Failed | JobState::Cancelled) => {
                Readiness::Never(format!("job {key} before it did not finish").into())
            }
            // A job that is not known yet may still be submitted.
            Some(JobState::Queued | JobState::Assigned { .. }) | None => Readiness::Waits,
        }
    }

    /// Checks the jobs that waited for a job again, now that it has ended.
    pub(super) fn release_dependents(&mut self, now: Instant, ended: &JobId) {
        let state = self.owner.state();
        let Some(job) = state.job(ended).filter(|job| job.is_ended()) else {
            return;
        };
        let key = job.spec.key.clone();
        for dependent in self.blocked.swap_remove(&key).unwrap_or_default() {
            let job = self.owner.state().job(&dependent);
            if let Some(job) = job.filter(|j| j.state == JobState::Queued).cloned() {
                self.queue(now, &job);
            }
        }
    }

    /// Returns why a queued job waits for its predecessor, or `None` if it does not.
    pub(super) fn unmet_dependency(&self, job: &Job) -> Option<Name> {
        let key = job.spec.after.as_ref()?;
        let is_blocked = self.blocked.get(key)?.contains(&job.id);
        is_blocked.then(|| format!("waits for job {key}").into())
    }
}
