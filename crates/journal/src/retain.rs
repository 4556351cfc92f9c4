//! The retention of ended jobs and claims, by which late duplicates are recognised.

use std::collections::VecDeque;

use base::prelude::*;

/// The minimum time that an ended job is retained, unless there are more than [`MAX_ENDED`].
pub const JOB_RETENTION: Duration = Duration::from_secs(48 * 60 * 60);

/// The number of ended jobs retained beyond [`JOB_RETENTION`], in case the clock is wrong.
pub const MIN_ENDED: usize = 1_000;

/// The maximum number of ended jobs that a shard retains.
pub const MAX_ENDED: usize = 50_000;

/// The minimum time that a claim on an idempotency key is retained, unless there are more than
/// [`MAX_CLAIMS`].
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// The maximum number of claims that a shard retains.
pub const MAX_CLAIMS: usize = 50_000;

/// A claim's route and key.
type ClaimAt = (RouteAddress, Name);

/// The retained jobs and claims with their times, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Retained {
    jobs: VecDeque<(JobId, u64)>,
    claims: VecDeque<(ClaimAt, u64)>,
}

impl Retained {
    pub(crate) fn job_ended(&mut self, id: JobId, at_ms: u64) {
        self.jobs.push_back((id, at_ms));
    }

    pub(crate) fn claim_made(&mut self, at: ClaimAt, at_ms: u64) {
        self.claims.push_back((at, at_ms));
    }

    /// Removes and returns the oldest ended job if it is past its retention.
    pub(crate) fn pop_job(&mut self, now_ms: u64) -> Option<JobId> {
        let (_, at_ms) = self.jobs.front()?;
        let is_old = is_past(*at_ms, JOB_RETENTION, now_ms) && self.jobs.len() > MIN_ENDED;
        let is_due = is_old || self.jobs.len() > MAX_ENDED;
        let (id, _) = self.jobs.pop_front_if(|_| is_due)?;
        Some(id)
    }

    /// Removes and returns the oldest claim and its time if it is past its retention.
    pub(crate) fn pop_claim(&mut self, now_ms: u64) -> Option<(ClaimAt, u64)> {
        let (_, at_ms) = self.claims.front()?;
        let is_due = is_past(*at_ms, CLAIM_RETENTION, now_ms) || self.claims.len() > MAX_CLAIMS;
        self.claims.pop_front_if(|_| is_due)
    }

    pub(crate) fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.iter().map(|(id, _)| id)
    }

    pub(crate) fn claims(&self) -> impl Iterator<Item = &(ClaimAt, u64)> {
        self.claims.iter()
    }
}

fn is_past(at_ms: u64, retention: Duration, now_ms: u64) -> bool {
    u128::from(now_ms.saturating_sub(at_ms)) > retention.as_millis()
}
