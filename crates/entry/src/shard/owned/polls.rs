//! Long polls of workers, answered when an order is due or when their wait is over.

use std::net::SocketAddr;

use base::prelude::*;
use journal::{Change, Job, JobState};
use place::WorkerView;
use ports::worker::TaskStart;
use slog::warn;
use wire::timing::{DRIFT, POLL_WAIT, TASK_LEASE};
use wire::{Order, Poll, PollOutcome, PollReply, Renewal, Responder};

use super::Shard;

/// How long to wait before an order for the same task is sent again.
const REPEAT_ORDER_AFTER: Duration = Duration::from_secs(1);

/// A long poll that has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingPoll {
    pub(super) poll: Box<Poll>,
    pub(super) reply: Responder<PollReply>,
    pub(super) until: Instant,
}

impl Shard {
    pub(in crate::shard) fn poll(
        &mut self,
        now: Instant,
        poll: Box<Poll>,
        reply: Responder<PollReply>,
    ) {
        if !self.may_act(now) {
            return self.poll_in_grace_period(now, poll, reply);
        }
        self.placer.worker_seen(
            now,
            WorkerView {
                worker: poll.worker.clone(),
                zone: poll.zone.clone(),
                rack: poll.rack.clone(),
                capacity: poll.capacity,
                leaving: poll.leaving,
            },
        );
        for sample in &poll.samples {
            self.placer.sample(now, &poll.worker, sample);
        }
        let until = now + poll.wait.min(POLL_WAIT);
        let name = poll.worker.clone();
        let worker = self.worker_mut(now, &name);
        worker.has_polled = true;
        worker.is_gone = false;
        worker.last_seen = now;
        worker.incarnation = Some(poll.incarnation);
        let replaced = worker
            .pending_poll
            .replace(PendingPoll { poll, reply, until });
        if let Some(old) = replaced {
            old.reply
                .send(self.answer(old.poll.nonce, Renewal::None, Vec::new()));
        }
        self.answer_poll(now, &name);
    }

    /// Answers the polls for which an order is due or whose wait is over.
    pub(super) fn answer_polls(&mut self, now: Instant) {
        let names: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.pending_poll.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.answer_poll(now, &name);
        }
    }

    /// Answers the polls of workers whose orders have changed.
    pub(super) fn answer_changed(&mut self, now: Instant) {
        for name in std::mem::take(&mut self.changed) {
            self.answer_poll(now, &name);
        }
    }

    fn answer_poll(&mut self, now: Instant, name: &WorkerId) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let Some(pending) = &worker.pending_poll else {
            return;
        };
        let orders = self.orders(name, &pending.poll);
        let is_due = orders
            .iter()
            .any(|order| self.is_order_due(now, order_task(order)));
        if !is_due && now < pending.until {
            return;
        }
        let nonce = pending.poll.nonce;
        // Tasks whose loss is proposed must not be kept alive.
        let keep = if worker.losses_proposed.is_empty() {
            Renewal::All
        } else {
            Renewal::None
        };
        for order in &orders {
            self.last_ordered.insert(order_task(order).clone(), now);
        }
        let reply = self.answer(nonce, keep, orders);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(pending) = worker.pending_poll.take() {
            pending.reply.send(reply);
        }
    }

    pub(super) fn answer(&self, nonce: Nonce, keep: Renewal, orders: Vec<Order>) -> PollReply {
        let epoch = self.owner.epoch().unwrap_or_default();
        PollReply {
            nonce,
            answer: PollOutcome::Owner {
                epoch,
                keep,
                keep_for: TASK_LEASE,
                orders,
            },
        }
    }

    /// Returns the orders for a worker, given the tasks that its poll reports as running.
    ///
    /// Every response repeats all orders that still apply: one that keeps tasks alive and omits a
    /// stop would keep the stopped task alive too.
    fn orders(&self, name: &WorkerId, poll: &Poll) -> Vec<Order> {
        let Some(worker) = self.workers.get(name) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for key in worker
            .tasks
            .iter()
            .filter(|key| !self.ending.contains(*key))
        {
            let runs = poll.running.iter().any(|task| task.key == *key);
            match self.owner.state().job(&key.job) {
                Some(job) if !runs => orders.extend(start_order(job)),
                Some(_) if self.evicting.contains(key) => {
                    orders.push(Order::Evict { key: key.clone() });
                }
                Some(_) => orders.extend(self.throttle_order(key)),
                None => {}
            }
        }
        for task in &poll.running {
            if !worker.tasks.contains(&task.key) && !self.ending.contains(&task.key) {
                orders.push(Order::Stop {
                    key: task.key.clone(),
                });
            }
        }
        orders
    }

    /// Returns true if an order for a task should be sent now, rather than when the wait is over.
    fn is_order_due(&self, now: Instant, key: &TaskKey) -> bool {
        self.last_ordered
            .get(key)
            .is_none_or(|at| now >= *at + REPEAT_ORDER_AFTER)
    }

    fn throttle_order(&self, key: &TaskKey) -> Option<Order> {
        let share = *self.throttles.get(key)?;
        Some(Order::Throttle {
            key: key.clone(),
            share,
        })
    }

    /// Gives up on workers that were unresponsive for so long that their tasks must have stopped.
    pub(super) fn expire_workers(&mut self, now: Instant) {
        let mut lost = Vec::new();
        let takeover_until = self.takeover_until;
        for (name, worker) in &mut self.workers {
            // The companion keeps tasks for `TASK_LEASE` from when it issued the poll, which is
            // before the poll arrived here.
            let kept_until = worker.last_seen + TASK_LEASE + DRIFT;
            let until = if worker.has_polled {
                kept_until
            } else {
                kept_until.max(takeover_until)
            };
            if now < until || worker.is_gone {
                continue;
            }
            worker.is_gone = true;
            worker.pending_poll = None;
            warn!(
                self.log,
                "shard: worker {} is unresponsive; {} tasks lost",
                name,
                worker.tasks.len()
            );
            worker.losses_proposed.extend(worker.tasks.iter().cloned());
            lost.extend(worker.tasks.iter().cloned());
            self.placer.worker_gone(now, name);
        }
        for key in lost {
            self.ending.insert(key.clone());
            self.owner.propose(now, Change::Lost { key });
        }
    }

    /// Answers every pending poll with `NotOwner`, which keeps no task running.
    pub(super) fn release_polls(&mut self, owner: Option<SocketAddr>) {
        for worker in self.workers.values_mut() {
            if let Some(pending) = worker.pending_poll.take() {
                let nonce = pending.poll.nonce;
                let answer = PollOutcome::NotOwner { owner };
                pending.reply.send(PollReply { nonce, answer });
            }
        }
    }
}

/// Returns the task that an order is about.
fn order_task(order: &Order) -> &TaskKey {
    match order {
        Order::Start(start) => &start.key,
        Order::Stop { key } | Order::Evict { key } | Order::Throttle { key, .. } => key,
    }
}

/// Returns the order that starts a job's current attempt, if the job is assigned.
fn start_order(job: &Job) -> Option<Order> {
    let JobState::Assigned { granted, .. } = job.state else {
        return None;
    };
    let start = TaskStart {
        key: job.task_key(),
        class: job.spec.class.clone(),
        granted,
        work: job.spec.run_time,
        checkpoint: job.checkpoint.clone(),
        payload: Arc::clone(&job.spec.payload),
        ttl: None,
    };
    Some(Order::Start(start))
}
