//! The status of the shards owned here, for operators and metrics.

use std::collections::VecDeque;

use base::prelude::*;
use journal::{Change, Job, JobState};
use stakker::CX;
use wire::Responder;
use wire::operator::ShardStatus;

use super::ShardActor;
use super::owned::Shard;

/// Maximum number of ended jobs kept until they are counted; the oldest are dropped.
const MAX_ENDED_JOBS: usize = 10_000;

/// A job that has finished or failed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedJob {
    /// The route.
    pub route: RouteName,
    /// The class of its tasks.
    pub class: ClassName,
    /// The time from its submission to its end.
    pub took: Duration,
    /// Whether it finished, rather than failed.
    pub is_finished: bool,
}

/// The shards owned by an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardsView {
    /// The shards.
    pub shards: Vec<ShardStatus>,
    /// The jobs that ended since the last view.
    pub ended_jobs: Vec<EndedJob>,
}

/// Ended jobs that have not been counted yet.
#[derive(Debug, Default)]
pub(super) struct EndedJobs(VecDeque<EndedJob>);

impl EndedJobs {
    fn push(&mut self, end: EndedJob) {
        if self.0.len() >= MAX_ENDED_JOBS {
            self.0.pop_front();
        }
        self.0.push_back(end);
    }
}

impl ShardActor {
    /// Replies with the shards owned here, those whose takeover is stuck, and the ended jobs.
    ///
    /// The ended jobs are removed, so that each is counted once.
    pub(crate) fn view(&mut self, cx: CX![], reply: Responder<ShardsView>) {
        let now = cx.now();
        let mut view = ShardsView::default();
        for shard in self.shards.values_mut() {
            view.ended_jobs.extend(shard.ended_jobs.0.drain(..));
            if shard.may_act(now) || shard.owner.stuck().is_some() {
                view.shards.push(shard.view());
            }
        }
        reply.send(view);
    }
}

impl Shard {
    fn view(&self) -> ShardStatus {
        let mut status = ShardStatus {
            shard: self.shard,
            pool: self
                .pool
                .as_ref()
                .map_or("".into(), |pool| pool.name.clone()),
            queued: 0,
            running: 0,
            quarantined: Vec::new(),
            stuck: self.owner.stuck().map(|e| e.to_string().into()),
        };
        for job in self.owner.state().jobs().values() {
            match job.state {
                JobState::Queued => status.queued += 1,
                JobState::Assigned { .. } => status.running += 1,
                _ => {}
            }
        }
        let quarantined = self.placer.quarantined().into_iter();
        let reasons = quarantined.map(|view| {
            let reason = if view.probing {
                "a probe runs"
            } else {
                "waits for its next probe"
            };
            (view.worker, reason.into())
        });
        status.quarantined = reasons.collect();
        status
    }

    /// Records the end of a job, if a committed change has ended it.
    pub(super) fn record_job_end(&mut self, change: &Change) {
        let Change::Ended { key, .. } = change else {
            return;
        };
        let Some(job) = self.owner.state().job(&key.job) else {
            return;
        };
        let is_finished = job.state == JobState::Finished;
        if is_finished || job.state == JobState::Failed {
            let end = self.ended_job(job, is_finished);
            self.ended_jobs.push(end);
        }
    }

    fn ended_job(&self, job: &Job, is_finished: bool) -> EndedJob {
        let took_ms = self.wall_ms().saturating_sub(job.submitted_at_ms);
        EndedJob {
            route: job.spec.route.clone(),
            class: job.spec.class.clone(),
            took: Duration::from_millis(took_ms),
            is_finished,
        }
    }
}
