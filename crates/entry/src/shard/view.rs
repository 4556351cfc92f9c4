//! What operators see of the shards owned here.

use std::collections::VecDeque;

use base::prelude::*;
use journal::{Change, Job, JobState};
use stakker::CX;
use wire::Reply;
use wire::operator::ShardStatus;

use super::ShardActor;
use super::owned::Shard;

/// How many ends of jobs are kept until they are counted; older ones are dropped.
const MAX_ENDS: usize = 10_000;

/// A job that came to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct JobEnd {
    /// The route.
    pub route: RouteName,
    /// The class of its tasks.
    pub class: ClassName,
    /// How long after its submission it ended.
    pub took: Duration,
    /// Whether it finished, rather than failed.
    pub is_finished: bool,
}

/// The shards owned by an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardsView {
    /// The shards.
    pub shards: Vec<ShardStatus>,
    /// The jobs that ended since the last question.
    pub ends: Vec<JobEnd>,
}

/// Ends of jobs that were not counted yet.
#[derive(Debug, Default)]
pub(super) struct Ends(VecDeque<JobEnd>);

impl Ends {
    fn push(&mut self, end: JobEnd) {
        if self.0.len() >= MAX_ENDS {
            self.0.pop_front();
        }
        self.0.push_back(end);
    }
}

impl ShardActor {
    /// Tells what the shards owned here hold, which could not be taken over, and hands over the ends of jobs.
    pub(crate) fn view(&mut self, cx: CX![], reply: Reply<ShardsView>) {
        let now = cx.now();
        let mut view = ShardsView::default();
        for shard in self.shards.values_mut() {
            view.ends.extend(shard.ends.0.drain(..));
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

    /// Notes the end of a job, where a committed change brought it.
    pub(super) fn note_end(&mut self, change: &Change) {
        let Change::Ended { key, .. } = change else {
            return;
        };
        let Some(job) = self.owner.state().job(&key.job) else {
            return;
        };
        let is_finished = job.state == JobState::Finished;
        if is_finished || job.state == JobState::Failed {
            let end = self.end_of(job, is_finished);
            self.ends.push(end);
        }
    }

    fn end_of(&self, job: &Job, is_finished: bool) -> JobEnd {
        let took_ms = self.wall_ms().saturating_sub(job.submitted_at_ms);
        JobEnd {
            route: job.spec.route.clone(),
            class: job.spec.class.clone(),
            took: Duration::from_millis(took_ms),
            is_finished,
        }
    }
}
