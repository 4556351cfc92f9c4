//! Keeping tasks through an outage of the store, after the lease has ended.
//!
//! An owner that cannot reach the store can commit nothing and starts nothing, but
//! what runs may run on: a new owner waits out the committed grace before it gives
//! a task up whose worker it has not heard itself.

use base::prelude::*;
use journal::{Change, OwnerValue};
use slog::{info, warn};
use wire::timing::{DRIFT, KEEP_FOR, POLL_WAIT};
use wire::{Keep, Poll, PollAnswer, PollReply, Reply};

use super::Shard;
use super::polls::HeldPoll;

/// Over a grace, clocks drift apart by at most this share of it.
const GRACE_PER_DRIFT: u32 = 1_000;

/// The time after the end of a lease in which an owner still keeps tasks.
#[derive(Debug)]
pub(super) struct GracePeriod {
    epoch: Epoch,
    until: Instant,
    /// The companions that this owner answered while its lease held.
    ///
    /// A companion remembers the highest term that it heard of, but only for its own
    /// life. A later life may have polled a newer owner and forgotten it.
    companions: IndexMap<WorkerId, Incarnation>,
}

/// A term of this owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Term {
    epoch: Epoch,
    /// When its lease ends at the earliest.
    until: Instant,
    grace: Duration,
}

impl Shard {
    /// Tells whether polls may be answered, be it only to keep tasks.
    pub(in crate::shard) fn may_keep(&self, now: Instant) -> bool {
        self.may_act(now) || self.grace_period.as_ref().is_some_and(|r| now < r.until)
    }

    /// Returns how long a new owner waits before it gives up on a worker it never heard.
    pub(super) fn takeover_wait(&self) -> Duration {
        let state = self.owner.state();
        let grace = if state.is_handed_over() {
            Duration::ZERO
        } else {
            state.grace()
        };
        grace + grace / GRACE_PER_DRIFT + KEEP_FOR + DRIFT
    }

    /// Commits the pool's grace before anyone may rely on it.
    ///
    /// A shorter one waits until the owners before have stopped keeping tasks: an
    /// owner that comes next waits for what the log says last.
    pub(super) fn commit_grace(&mut self, now: Instant) {
        let Some(pool) = self.pool.as_ref().filter(|_| self.may_act(now)) else {
            return;
        };
        let grace = pool.outage_grace;
        let committed = self.owner.state().grace();
        let is_early = grace < committed && now < self.takeover_until;
        let is_proposed = self.proposed_graces().next().is_some();
        if grace != committed && !is_early && !is_proposed {
            self.owner.propose(now, Change::Grace { grace });
        }
    }

    fn proposed_graces(&self) -> impl Iterator<Item = Duration> {
        self.owner.proposed().filter_map(|change| match change {
            Change::Grace { grace } => Some(*grace),
            _ => None,
        })
    }

    /// Notes the term, and the grace that holds whatever becomes of what is proposed.
    pub(super) fn note_term(&mut self) {
        let (Some(epoch), Some(until)) = (self.owner.epoch(), self.owner.lease_until()) else {
            return;
        };
        let committed = self.owner.state().grace();
        let grace = self.proposed_graces().fold(committed, Duration::min);
        self.term = Some(Term {
            epoch,
            until,
            grace,
        });
    }

    pub(super) fn begin_grace_period(&mut self, now: Instant) {
        let Some(term) = self.term.take() else { return };
        let companions = self.workers.iter().filter_map(|(name, worker)| {
            let incarnation = worker.incarnation.filter(|_| worker.losing.is_empty())?;
            Some((name.clone(), incarnation))
        });
        let until = term.until + term.grace;
        if now >= until {
            return self.release_polls(None);
        }
        warn!(
            self.log,
            "shard: keeps the tasks of {} without the store for {:?}",
            self.shard,
            until - now
        );
        self.grace_period = Some(GracePeriod {
            epoch: term.epoch,
            until,
            companions: companions.collect(),
        });
    }

    /// Stops keeping tasks: another entry owns the shard.
    pub(super) fn end_grace_period(&mut self, owner: &OwnerValue) {
        if self.grace_period.take().is_some() {
            info!(
                self.log,
                "shard: {} is owned by {}", self.shard, owner.entry
            );
            self.release_polls(Some(owner.rpc_addr));
        }
    }

    /// Holds a poll, whose answer will keep what runs and start nothing.
    pub(super) fn poll_in_grace_period(
        &mut self,
        now: Instant,
        poll: Box<Poll>,
        reply: Reply<PollReply>,
    ) {
        let is_known = self
            .grace_period
            .as_ref()
            .is_some_and(|r| r.companions.get(&poll.worker) == Some(&poll.incarnation));
        if !is_known {
            let nonce = poll.nonce;
            let answer = PollAnswer::NotOwner { owner: None };
            return reply.send(PollReply { nonce, answer });
        }
        let until = now + poll.wait.min(POLL_WAIT);
        let name = poll.worker.clone();
        let held = HeldPoll { poll, reply, until };
        let replaced = self.worker(now, &name).held.replace(held);
        if let Some(old) = replaced {
            let nonce = old.poll.nonce;
            old.reply.send(self.answer(nonce, Keep::None, Vec::new()));
        }
    }

    /// Answers the polls whose wait is over, and stops once the grace is over.
    pub(super) fn tick_grace_period(&mut self, now: Instant) {
        let Some(grace_period) = &self.grace_period else {
            return;
        };
        let epoch = grace_period.epoch;
        if now >= grace_period.until {
            warn!(
                self.log,
                "shard: no longer keeps the tasks of {}", self.shard
            );
            self.grace_period = None;
            return self.release_polls(None);
        }
        for worker in self.workers.values_mut() {
            let Some(held) = worker.held.take_if(|held| now >= held.until) else {
                continue;
            };
            held.reply.send(PollReply {
                nonce: held.poll.nonce,
                answer: PollAnswer::Owner {
                    epoch,
                    keep: Keep::All,
                    keep_for: KEEP_FOR,
                    orders: Vec::new(),
                },
            });
        }
    }
}
