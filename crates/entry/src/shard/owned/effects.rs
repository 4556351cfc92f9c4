//! Effects of the owner: committed and dropped changes, store calls and changes of ownership.

use base::prelude::*;
use journal::{Change, Effect, Job, JobState, LossReason, Ticket, Urgency};
use place::Ended;
use slog::{error, warn};
use wire::{ClaimReply, DoneAck, SubmitReply, TaskEnd};

use super::{Shard, ShardStoreCall, Waiter};
use crate::ports::StorePriority;

impl Shard {
    /// Applies the effects that the owner has queued.
    pub(super) fn apply_effects(&mut self, now: Instant) {
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
                Effect::OwnershipLost(by) => self.ownership_lost(now, by),
                Effect::OwnedElsewhere(owner) => self.end_grace_period(&owner),
                Effect::Stuck(e) => error!(self.log, "shard: {} is stuck: {}", self.shard, e),
            }
        }
    }

    fn committed(&mut self, now: Instant, ticket: Ticket, change: &Change) {
        self.record_job_end(change);
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
                self.remove_task(now, key, placement_end(end));
            }
            Change::Lost { key } => {
                self.ending.swap_remove(key);
                self.remove_task(now, key, Ended::Lost);
            }
            Change::Cancelled { job } => self.job_cancelled(now, job),
            Change::Claimed { claim, .. } => {
                let at = (claim.route.clone(), Arc::clone(&claim.key));
                self.claiming.swap_remove(&at);
            }
            Change::Abandoned { job, .. } => self.job_cancelled(now, job),
            Change::Clock { .. } | Change::Grace { .. } | Change::HandedOver => {}
        }
        self.notify_waiters(ticket);
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

    /// Removes a task that has ended, and queues its job again if the job is not over.
    fn remove_task(&mut self, now: Instant, key: &TaskKey, ended: Ended) {
        self.placer.task_ended(now, key, ended);
        self.evicting.swap_remove(key);
        self.throttles.swap_remove(key);
        self.last_ordered.swap_remove(key);
        self.mark_changed(key);
        for worker in self.workers.values_mut() {
            worker.tasks.swap_remove(key);
            worker.losses_proposed.swap_remove(key);
        }
        let job = self
            .owner
            .state()
            .job(&key.job)
            .filter(|job| job.state == JobState::Queued);
        if let Some(job) = job.cloned() {
            self.queue(now, &job);
        }
        self.release_dependents(now, &key.job);
    }

    fn job_cancelled(&mut self, now: Instant, job: &JobId) {
        self.placer.job_removed(job);
        let Some(key) = self.owner.state().job(job).map(Job::task_key) else {
            return;
        };
        self.remove_task(now, &key, Ended::Cancelled);
    }

    /// Replies to the submissions and claims that waited for a change whose outcome is unknown.
    fn unknown(&mut self, ticket: Ticket) {
        for waiter in self.waiters.swap_remove(&ticket).unwrap_or_default() {
            match waiter {
                Waiter::Submit { reply, .. } => reply.send(SubmitReply::Unknown),
                Waiter::Claim(reply) => reply.send(ClaimReply::Unknown),
                Waiter::Done(_) | Waiter::Cancel(_) => {}
            }
        }
    }

    /// Replies to the callers that waited for a change that will never be committed.
    fn dropped(&mut self, ticket: Ticket) {
        let reason = || Name::from("not-committed");
        if self.owner.epoch().is_some() {
            // Only this change was refused, so its key may be submitted or claimed again.
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

    fn ownership_lost(&mut self, now: Instant, by: LossReason) {
        warn!(self.log, "shard: no longer owns {}: {:?}", self.shard, by);
        for (_, group) in self.done_groups.drain(..) {
            group.reply.send(DoneAck::default());
        }
        // Whether the cancellations were committed is unknown, so their reply channels are dropped,
        // which makes the calls fail.
        self.cancel_groups.clear();
        match by {
            LossReason::LeaseEnd => self.begin_grace_period(now),
            LossReason::Another | LossReason::Resignation => self.release_polls(None),
        }
    }
}

/// Converts the end of a task to the placer's type.
fn placement_end(end: &TaskEnd) -> Ended {
    match end {
        TaskEnd::Finished => Ended::Finished,
        TaskEnd::Failed { .. } => Ended::Failed,
        TaskEnd::Stopped { .. } => Ended::Evicted,
        TaskEnd::Lost => Ended::Lost,
    }
}
