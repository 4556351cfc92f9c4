//! Polls of workers: held until there is an order, or until their wait ends.

use std::net::SocketAddr;

use base::prelude::*;
use journal::{Change, Job, JobState};
use place::WorkerView;
use ports::worker::TaskStart;
use slog::warn;
use wire::timing::{DRIFT, KEEP_FOR, POLL_WAIT};
use wire::{Keep, Order, Poll, PollAnswer, PollReply, Reply};

use super::Shard;

/// How long to wait before an order for the same task is sent again.
const REPEAT_ORDER_AFTER: Duration = Duration::from_secs(1);

/// A poll that waits for an answer.
#[derive(Debug)]
pub(super) struct HeldPoll {
    pub(super) poll: Box<Poll>,
    pub(super) reply: Reply<PollReply>,
    pub(super) until: Instant,
}

impl Shard {
    pub(in crate::shard) fn poll(
        &mut self,
        now: Instant,
        poll: Box<Poll>,
        reply: Reply<PollReply>,
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
        let worker = self.worker(now, &name);
        worker.has_polled = true;
        worker.is_gone = false;
        worker.heard = now;
        worker.incarnation = Some(poll.incarnation);
        let replaced = worker.held.replace(HeldPoll { poll, reply, until });
        if let Some(old) = replaced {
            old.reply
                .send(self.answer(old.poll.nonce, Keep::None, Vec::new()));
        }
        self.answer_poll(now, &name);
    }

    /// Answers the polls that have something to learn or have waited long enough.
    pub(super) fn answer_polls(&mut self, now: Instant) {
        let names: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.held.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.answer_poll(now, &name);
        }
    }

    /// Answers the polls of workers that have something to learn.
    pub(super) fn answer_changed(&mut self, now: Instant) {
        for name in std::mem::take(&mut self.changed) {
            self.answer_poll(now, &name);
        }
    }

    fn answer_poll(&mut self, now: Instant, name: &WorkerId) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let Some(held) = &worker.held else { return };
        let orders = self.orders(name, &held.poll);
        let is_due = orders.iter().any(|order| self.is_due(now, key_of(order)));
        if !is_due && now < held.until {
            return;
        }
        let nonce = held.poll.nonce;
        // Tasks that are being given up must not be kept alive meanwhile.
        let keep = if worker.losing.is_empty() {
            Keep::All
        } else {
            Keep::None
        };
        for order in &orders {
            self.ordered.insert(key_of(order).clone(), now);
        }
        let reply = self.answer(nonce, keep, orders);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(held) = worker.held.take() {
            held.reply.send(reply);
        }
    }

    pub(super) fn answer(&self, nonce: Nonce, keep: Keep, orders: Vec<Order>) -> PollReply {
        let epoch = self.owner.epoch().unwrap_or_default();
        PollReply {
            nonce,
            answer: PollAnswer::Owner {
                epoch,
                keep,
                keep_for: KEEP_FOR,
                orders,
            },
        }
    }

    /// Returns what a worker should do, given what it says it runs.
    ///
    /// Every answer carries every order that still stands: an answer that keeps
    /// tasks alive and leaves out a stop would keep the stopped task alive too.
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
                Some(job) if !runs => orders.extend(start_of(job)),
                Some(_) if self.evicting.contains(key) => {
                    orders.push(Order::Evict { key: key.clone() });
                }
                Some(_) => orders.extend(self.throttle_of(key)),
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

    /// Tells whether an order for a task is worth an answer of its own.
    fn is_due(&self, now: Instant, key: &TaskKey) -> bool {
        self.ordered
            .get(key)
            .is_none_or(|at| now >= *at + REPEAT_ORDER_AFTER)
    }

    fn throttle_of(&self, key: &TaskKey) -> Option<Order> {
        let share = *self.throttles.get(key)?;
        Some(Order::Throttle {
            key: key.clone(),
            share,
        })
    }

    /// Gives up on workers that were silent until their tasks must have stopped.
    pub(super) fn expire_workers(&mut self, now: Instant) {
        let mut lost = Vec::new();
        let takeover_until = self.takeover_until;
        for (name, worker) in &mut self.workers {
            // A task is kept from the issue of a poll, which was before it was heard.
            let alone_until = worker.heard + KEEP_FOR + DRIFT;
            let until = if worker.has_polled {
                alone_until
            } else {
                alone_until.max(takeover_until)
            };
            if now < until || worker.is_gone {
                continue;
            }
            worker.is_gone = true;
            worker.held = None;
            warn!(
                self.log,
                "shard: worker {} is silent; {} tasks lost",
                name,
                worker.tasks.len()
            );
            worker.losing.extend(worker.tasks.iter().cloned());
            lost.extend(worker.tasks.iter().cloned());
            self.placer.worker_gone(now, name);
        }
        for key in lost {
            self.ending.insert(key.clone());
            self.owner.propose(now, Change::Lost { key });
        }
    }

    /// Answers every held poll without renewing anything.
    pub(super) fn release_polls(&mut self, owner: Option<SocketAddr>) {
        for worker in self.workers.values_mut() {
            if let Some(held) = worker.held.take() {
                let nonce = held.poll.nonce;
                let answer = PollAnswer::NotOwner { owner };
                held.reply.send(PollReply { nonce, answer });
            }
        }
    }
}

/// Returns the task that an order is about.
fn key_of(order: &Order) -> &TaskKey {
    match order {
        Order::Start(start) => &start.key,
        Order::Stop { key } | Order::Evict { key } | Order::Throttle { key, .. } => key,
    }
}

/// Returns the order that starts a job's current attempt.
fn start_of(job: &Job) -> Option<Order> {
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
