//! What follows a commit, a change of ownership, and a proposal that came to nothing.

use base::prelude::*;
use journal::{Change, DeposedBy, Effect, Job, JobState, Ticket, Urgency};
use place::Ended;
use slog::{error, warn};
use wire::{ClaimReply, DoneAck, SubmitReply, TaskEnd};

use super::{Shard, ShardStoreCall, Waiter};
use crate::ports::StorePriority;

impl Shard {
    /// Carries out what the owner asks for.
    pub(super) fn carry_out(&mut self, now: Instant) {
        for effect in self.owner.take_effects() {
            match effect {
                Effect::Store { id, urgency, call } => {
                    let priority = match urgency {
                        Urgency::Lease => StorePriority::Lease,
                        Urgency::Commit => StorePriority::Commit,
                        Urgency::Snapshot => StorePriority::Snapshot,
                    };
                    self.store_calls.push(ShardStoreCall { id, priority, call });
                }
                Effect::Activated(epoch) => self.activated(now, epoch),
                Effect::Committed(ticket, change) => self.committed(now, ticket, &change),
                Effect::Unknown(ticket) => self.unknown(ticket),
                Effect::Dropped(ticket) => self.dropped(ticket),
                Effect::Deposed(by) => self.deposed(now, by),
                Effect::Elsewhere(owner) => self.end_grace_period(&owner),
                Effect::Stuck(e) => error!(self.log, "shard: {} is stuck: {}", self.shard, e),
            }
        }
    }

    fn committed(&mut self, now: Instant, ticket: Ticket, change: &Change) {
        self.note_end(change);
        match change {
            Change::Submitted { job, spec, .. } => {
                self.submitting.swap_remove(&spec.key);
                if let Some(job) = self.owner.state().job(job).cloned() {
                    self.queue(now, &job);
                }
            }
            Change::Assigned {
                key,
                worker,
                granted,
            } => {
                self.assigned(now, key, worker, *granted);
            }
            Change::Ended { key, end } => {
                self.ending.swap_remove(key);
                self.task_over(now, key, ended_of(end));
            }
            Change::Lost { key } => {
                self.ending.swap_remove(key);
                self.task_over(now, key, Ended::Lost);
            }
            Change::Cancelled { job } => self.job_cancelled(now, job),
            Change::Claimed { claim, .. } => {
                let at = (claim.route.clone(), Arc::clone(&claim.key));
                self.claiming.swap_remove(&at);
            }
            Change::Abandoned { job, .. } => self.job_cancelled(now, job),
            Change::Clock { .. } | Change::Grace { .. } | Change::HandedOver => {}
        }
        self.tell_waiters(ticket);
    }

    fn assigned(&mut self, now: Instant, key: &TaskKey, worker: &WorkerId, granted: Resources) {
        let Some(job) = self.owner.state().job(&key.job).cloned() else {
            return;
        };
        let is_current = job.task_key() == *key && self.owner.state().is_current(key);
        if !is_current {
            self.placer.placement_dropped(&key.job);
            return;
        }
        self.adopt(now, &job, worker, granted);
    }

    /// Drops an ended task and queues its job again where it has not come to its end.
    fn task_over(&mut self, now: Instant, key: &TaskKey, ended: Ended) {
        self.placer.task_ended(now, key, ended);
        self.evicting.swap_remove(key);
        self.throttles.swap_remove(key);
        self.ordered.swap_remove(key);
        self.mark_changed(key);
        for worker in self.workers.values_mut() {
            worker.tasks.swap_remove(key);
            worker.losing.swap_remove(key);
        }
        let job = self
            .owner
            .state()
            .job(&key.job)
            .filter(|job| job.state == JobState::Queued);
        if let Some(job) = job.cloned() {
            self.queue(now, &job);
        }
        self.release_after(now, &key.job);
    }

    fn job_cancelled(&mut self, now: Instant, job: &JobId) {
        self.placer.job_removed(job);
        let Some(key) = self.owner.state().job(job).map(Job::task_key) else {
            return;
        };
        self.task_over(now, &key, Ended::Cancelled);
    }

    fn unknown(&mut self, ticket: Ticket) {
        for waiter in self.waiters.swap_remove(&ticket).unwrap_or_default() {
            match waiter {
                Waiter::Submit { reply, .. } => reply.send(SubmitReply::Unknown),
                Waiter::Claim(reply) => reply.send(ClaimReply::Unknown),
                Waiter::Done(_) | Waiter::Cancel(_) => {}
            }
        }
    }

    /// Answers those who waited for a change that will never be committed.
    fn dropped(&mut self, ticket: Ticket) {
        let reason = || Name::from("not-committed");
        if self.owner.epoch().is_some() {
            // The change alone was refused: its key is free for another try.
            self.submitting.retain(|_, of| *of != ticket);
            self.claiming.retain(|_, of| *of != ticket);
        }
        for waiter in self.waiters.swap_remove(&ticket).unwrap_or_default() {
            match waiter {
                Waiter::Submit { reply, .. } => {
                    reply.send(SubmitReply::Refused { reason: reason() });
                }
                Waiter::Claim(reply) => reply.send(ClaimReply::Refused { reason: reason() }),
                Waiter::Done(_) | Waiter::Cancel(_) => {}
            }
        }
    }

    fn deposed(&mut self, now: Instant, by: DeposedBy) {
        warn!(self.log, "shard: no longer owns {}: {:?}", self.shard, by);
        for (_, group) in self.done_groups.drain(..) {
            group.reply.send(DoneAck::default());
        }
        // What became of the cancellations is not known: no answer says so.
        self.cancel_groups.clear();
        match by {
            DeposedBy::LeaseEnd => self.begin_grace_period(now),
            DeposedBy::Another | DeposedBy::Resignation => self.release_polls(None),
        }
    }
}

/// Returns the placer's word for how a task ended.
fn ended_of(end: &TaskEnd) -> Ended {
    match end {
        TaskEnd::Finished => Ended::Finished,
        TaskEnd::Failed { .. } => Ended::Failed,
        TaskEnd::Stopped { .. } => Ended::Evicted,
        TaskEnd::Lost => Ended::Lost,
    }
}
