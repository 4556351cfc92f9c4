//! An owner that orders runs at one worker, and drops all of them when it raises its fencing token.

use base::prelude::*;
use jobs::report::{StartOrder, SyncReply, SyncReport};
use jobs::{TaskId, TaskRun};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

pub const LEASE_MS: u64 = 4000;

/// The distance of the fencing tokens of two epochs.
const FENCES_PER_EPOCH: u64 = 1 << 20;

#[derive(Debug)]
pub struct Owner {
    pub epoch: u64,
    step: u64,
    boot: u64,
    last_number: u64,
    is_adopted: bool,
    /// When the last report arrived that renews the lease, in real time.
    pub lease_from: u64,
    ordered: IndexSet<TaskRun>,
    stopping: IndexSet<TaskRun>,
    stored_ends: u64,
    next_attempt: u64,
}

impl Owner {
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            step: 1,
            boot: 0,
            last_number: 0,
            is_adopted: false,
            lease_from: 0,
            ordered: IndexSet::new(),
            stopping: IndexSet::new(),
            stored_ends: 0,
            next_attempt: 0,
        }
    }

    pub fn raise_fence(&mut self) {
        self.step += 1;
        self.is_adopted = false;
        self.ordered.clear();
        self.stopping.clear();
    }

    pub fn fence(&self) -> u64 {
        self.epoch * FENCES_PER_EPOCH + self.step
    }

    pub fn reply(&mut self, at: u64, report: &SyncReport, rng: &mut ChaCha8Rng) -> SyncReply {
        if report.boot == self.boot && report.number <= self.last_number {
            return SyncReply::default();
        }
        if report.boot != self.boot && self.boot != 0 {
            self.raise_fence();
        }
        (self.boot, self.last_number) = (report.boot, report.number);
        let mut reply = SyncReply {
            epoch: Epoch(self.epoch),
            is_owner: true,
            fence: self.fence(),
            incarnation: Incarnation(1),
            ..SyncReply::default()
        };
        let Some(worker) = &report.worker else {
            return reply;
        };
        if !worker.is_unresponsive {
            self.lease_from = at;
        }
        reply.lease_ms = Some(LEASE_MS);
        for rejected in &worker.rejected {
            self.ordered.shift_remove(&rejected.run);
            self.stopping.shift_remove(&rejected.run);
            reply.noted_rejects.push(rejected.run.clone());
        }
        let status = worker.status.as_ref().filter(|s| s.fence == self.fence());
        for end in status.into_iter().flat_map(|s| &s.finished) {
            self.ordered.shift_remove(&end.run);
            self.stopping.shift_remove(&end.run);
            self.stored_ends = self.stored_ends.max(end.number);
        }
        reply.stored_ends = self.stored_ends;
        let Some(status) = status else {
            return reply;
        };
        self.is_adopted |= status.is_settled;
        if self.is_adopted {
            let running = status.running.iter().map(|row| &row.run);
            self.stopping
                .extend(running.filter(|_| rng.random_ratio(1, 8)).cloned());
            self.order(rng);
            let is_new = |run: &&TaskRun| !worker.open.contains(run) && rng.random_ratio(2, 3);
            reply.starts = self.ordered.iter().filter(is_new).map(order_of).collect();
            let withdrawn = self
                .ordered
                .iter()
                .filter(|_| rng.random_ratio(1, 15))
                .cloned();
            self.stopping.extend(withdrawn);
            reply.stops = self.stopping.iter().cloned().collect();
        }
        reply
    }

    fn order(&mut self, rng: &mut ChaCha8Rng) {
        while self.ordered.len() < 6 && rng.random_ratio(1, 2) {
            self.next_attempt += 1;
            self.ordered.insert(TaskRun {
                task: TaskId {
                    job: "0123456789abcdef".into(),
                    occurrence: 0,
                    stage: 0,
                    index: rng.random_range(0..8),
                },
                attempt: Attempt(10_000 * self.epoch + self.next_attempt),
            });
        }
    }
}

fn order_of(run: &TaskRun) -> StartOrder {
    StartOrder {
        run: run.clone(),
        payload: "payload".into(),
        checkpoint: None,
        ticket: None,
    }
}
