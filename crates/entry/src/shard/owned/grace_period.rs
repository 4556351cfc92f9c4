//! The grace period, in which tasks keep running through a store outage after lease expiry.
//!
//! An owner that cannot reach the store can commit nothing and start nothing, but running tasks
//! may continue: a new owner waits out the committed grace period before it gives up the tasks of
//! a worker that has not polled it.

use base::prelude::*;
use journal::{Change, OwnerValue};
use slog::{info, warn};
use wire::timing::{DRIFT, POLL_WAIT, TASK_LEASE};
use wire::{Poll, PollOutcome, PollReply, Renewal, Responder};

use super::Shard;
use super::polls::PendingPoll;

/// Over a grace period, clocks drift apart by at most the period divided by this.
const GRACE_DRIFT_DIVISOR: u32 = 1_000;

/// The period after lease expiry in which the previous owner still keeps tasks running.
#[derive(Debug)]
pub(super) struct GracePeriod {
    epoch: Epoch,
    until: Instant,
    /// The companions that this owner answered while its lease was valid.
    ///
    /// A companion remembers the highest epoch that it has seen, but only within one incarnation.
    /// A later incarnation may have polled a newer owner and lost that epoch.
    companions: IndexMap<WorkerId, Incarnation>,
}

/// A term of this owner: its epoch, lease and grace period.
#[derive(Clone, Copy, Debug)]
pub(super) struct Term {
    epoch: Epoch,
    /// The earliest time at which the lease may expire.
    until: Instant,
    grace: Duration,
}

impl Shard {
    /// Returns true if polls may be answered, even if only to keep tasks running.
    pub(in crate::shard) fn may_answer_polls(&self, now: Instant) -> bool {
        self.may_act(now) || self.grace_period.as_ref().is_some_and(|r| now < r.until)
    }

    /// Returns how long a new owner waits before it gives up on a worker that has not polled it.
    pub(super) fn takeover_wait(&self) -> Duration {
        let state = self.owner.state();
        let grace = if state.is_handed_over() {
            Duration::ZERO
        } else {
            state.grace()
        };
        grace + grace / GRACE_DRIFT_DIVISOR + TASK_LEASE + DRIFT
    }

    /// Proposes the pool's grace period, which takes effect once it is committed.
    ///
    /// A shorter grace period is proposed only after previous owners have stopped keeping tasks
    /// running, since the next owner waits for the last value in the log.
    pub(super) fn commit_grace(&mut self, now: Instant) {
        let Some(pool) = self.pool.as_ref().filter(|_| self.may_act(now)) else {
            return;
        };
        let grace = pool.outage_grace;
        let committed = self.owner.state().grace();
        let is_early = grace < committed && now < self.takeover_until;
        let is_proposed = self.proposed_grace_periods().next().is_some();
        if grace != committed && !is_early && !is_proposed {
            self.owner.propose(now, Change::Grace { grace });
        }
    }

    fn proposed_grace_periods(&self) -> impl Iterator<Item = Duration> {
        self.owner.proposed().filter_map(|change| match change {
            Change::Grace { grace } => Some(*grace),
            _ => None,
        })
    }

    /// Records the term, with a grace period that is valid whether or not a proposed one is
    /// committed.
    pub(super) fn record_term(&mut self) {
        let (Some(epoch), Some(until)) = (self.owner.epoch(), self.owner.lease_until()) else {
            return;
        };
        let committed = self.owner.state().grace();
        let grace = self.proposed_grace_periods().fold(committed, Duration::min);
        self.term = Some(Term {
            epoch,
            until,
            grace,
        });
    }

    pub(super) fn begin_grace_period(&mut self, now: Instant) {
        let Some(term) = self.term.take() else { return };
        let companions = self.workers.iter().filter_map(|(name, worker)| {
            let incarnation = worker
                .incarnation
                .filter(|_| worker.losses_proposed.is_empty())?;
            Some((name.clone(), incarnation))
        });
        let until = term.until + term.grace;
        if now >= until {
            return self.release_polls(None);
        }
        warn!(
            self.log,
            "shard: lease of {} expired; keeps its running tasks for {:?}",
            self.shard,
            until - now
        );
        self.grace_period = Some(GracePeriod {
            epoch: term.epoch,
            until,
            companions: companions.collect(),
        });
    }

    /// Stops keeping tasks running, since another entry owns the shard.
    pub(super) fn end_grace_period(&mut self, owner: &OwnerValue) {
        if self.grace_period.take().is_some() {
            info!(
                self.log,
                "shard: {} is owned by {}", self.shard, owner.entry
            );
            self.release_polls(Some(owner.rpc_addr));
        }
    }

    /// Queues a long poll, whose response keeps tasks running and starts none.
    pub(super) fn poll_in_grace_period(
        &mut self,
        now: Instant,
        poll: Box<Poll>,
        reply: Responder<PollReply>,
    ) {
        let is_known = self
            .grace_period
            .as_ref()
            .is_some_and(|r| r.companions.get(&poll.worker) == Some(&poll.incarnation));
        if !is_known {
            let nonce = poll.nonce;
            let answer = PollOutcome::NotOwner { owner: None };
            return reply.send(PollReply { nonce, answer });
        }
        let until = now + poll.wait.min(POLL_WAIT);
        let name = poll.worker.clone();
        let pending = PendingPoll { poll, reply, until };
        let replaced = self.worker_mut(now, &name).pending_poll.replace(pending);
        if let Some(old) = replaced {
            let nonce = old.poll.nonce;
            old.reply
                .send(self.answer(nonce, Renewal::None, Vec::new()));
        }
    }

    /// Answers the polls whose wait is over, and ends the grace period when it is over.
    pub(super) fn tick_grace_period(&mut self, now: Instant) {
        let Some(grace_period) = &self.grace_period else {
            return;
        };
        let epoch = grace_period.epoch;
        if now >= grace_period.until {
            warn!(
                self.log,
                "shard: grace period of {} is over; its running tasks are no longer kept",
                self.shard
            );
            self.grace_period = None;
            return self.release_polls(None);
        }
        for worker in self.workers.values_mut() {
            let Some(pending) = worker.pending_poll.take_if(|pending| now >= pending.until) else {
                continue;
            };
            pending.reply.send(PollReply {
                nonce: pending.poll.nonce,
                answer: PollOutcome::Owner {
                    epoch,
                    keep: Renewal::All,
                    keep_for: TASK_LEASE,
                    orders: Vec::new(),
                },
            });
        }
    }
}
