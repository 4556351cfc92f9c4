//! How long ended jobs and claims are remembered, so that late duplicates are recognised.

use std::collections::VecDeque;

use base::prelude::*;

/// How long an ended job is remembered, at the least while [`MAX_ENDED`] allows.
pub const JOB_RETENTION: Duration = Duration::from_secs(48 * 60 * 60);

/// How many ended jobs are remembered beyond [`JOB_RETENTION`], against a wrong clock.
pub const MIN_ENDED: usize = 1_000;

/// How many ended jobs a shard remembers at most.
pub const MAX_ENDED: usize = 50_000;

/// How long a claim on an idempotency key is remembered, at the least while [`MAX_CLAIMS`] allows.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// How many claims a shard remembers at most.
pub const MAX_CLAIMS: usize = 50_000;

/// A claim's route and key.
type ClaimAt = (RouteName, Name);

/// What is remembered, oldest first.
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

    /// Takes the oldest ended job if it is to be forgotten.
    pub(crate) fn next_job(&mut self, now_ms: u64) -> Option<JobId> {
        let (_, at_ms) = self.jobs.front()?;
        let is_old = is_past(*at_ms, JOB_RETENTION, now_ms) && self.jobs.len() > MIN_ENDED;
        let is_due = is_old || self.jobs.len() > MAX_ENDED;
        let (id, _) = self.jobs.pop_front_if(|_| is_due)?;
        Some(id)
    }

    /// Takes the oldest claim if it is to be forgotten, with when it was made.
    pub(crate) fn next_claim(&mut self, now_ms: u64) -> Option<(ClaimAt, u64)> {
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
