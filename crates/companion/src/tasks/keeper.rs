//! Decides what the worker runs, given the owner's answers and the worker's own list.

use base::prelude::*;
use platform::worker::{TaskReport, TaskStart, TaskState, WorkerCall};
use wire::timing::{GRANT_WINDOW, KEEP_FOR};
use wire::{Keep, Order, Poll, PollAnswer, PollReply, RunningTask, TaskEnd};

/// What a keeper needs to know.
#[derive(Clone, Debug)]
pub struct KeeperCfg {
    /// What the worker has.
    pub capacity: Resources,
}

/// A task that this companion holds.
#[derive(Clone, Debug)]
struct Held {
    start: RunningTask,
    keep_until: Instant,
    end: Option<TaskEnd>,
}

/// A poll that awaits its answer.
#[derive(Clone, Copy, Debug)]
struct Issued {
    nonce: Nonce,
    at: Instant,
}

/// The tasks of one worker.
#[derive(Debug)]
pub struct TaskKeeper {
    cfg: KeeperCfg,
    tasks: IndexMap<TaskKey, Held>,
    issued: Option<Issued>,
    has_listed: bool,
}

impl TaskKeeper {
    /// Creates a keeper that has not seen the worker's list yet.
    pub fn new(cfg: KeeperCfg) -> Self {
        Self {
            cfg,
            tasks: IndexMap::new(),
            issued: None,
            has_listed: false,
        }
    }

    /// Tells whether a poll may be issued: the worker's list is known and none is on its way.
    pub fn may_poll(&self) -> bool {
        self.has_listed && self.issued.is_none()
    }

    /// Notes that a poll is issued.
    pub fn issue(&mut self, now: Instant, nonce: Nonce) {
        self.issued = Some(Issued { nonce, at: now });
    }

    /// Gives up on the poll on its way; its answer will not be taken.
    pub fn abandon(&mut self) {
        self.issued = None;
    }

    /// Returns the running tasks, for a poll.
    pub fn running(&self) -> Vec<RunningTask> {
        self.tasks
            .values()
            .filter(|t| t.end.is_none())
            .map(|t| t.start.clone())
            .collect()
    }

    /// Returns the ends that are not acknowledged yet.
    pub fn ends(&self) -> Vec<(TaskKey, TaskEnd)> {
        self.tasks
            .iter()
            .filter_map(|(key, task)| Some((key.clone(), task.end.clone()?)))
            .collect()
    }

    /// Takes the owner's answer to the poll on its way; returns what the worker is to do.
    ///
    /// An answer that comes later than the grant window after its poll is void:
    /// the owner may have moved everything meanwhile.
    pub fn answered(&mut self, now: Instant, reply: &PollReply) -> Vec<WorkerCall> {
        let Some(issued) = self.issued.filter(|issued| issued.nonce == reply.nonce) else {
            return Vec::new();
        };
        self.issued = None;
        if now >= issued.at + GRANT_WINDOW {
            return Vec::new();
        }
        let PollAnswer::Owner {
            keep,
            keep_for,
            orders,
            ..
        } = &reply.answer
        else {
            return Vec::new();
        };
        let keep_until = now + (*keep_for).min(KEEP_FOR);
        if *keep == Keep::All {
            self.keep_all(keep_until, orders);
        }
        orders
            .iter()
            .filter_map(|order| self.carry_out(order, keep_until))
            .collect()
    }

    fn keep_all(&mut self, until: Instant, orders: &[Order]) {
        let stopped: IndexSet<&TaskKey> = orders
            .iter()
            .filter_map(|order| match order {
                Order::Stop { key } => Some(key),
                _ => None,
            })
            .collect();
        for (key, task) in &mut self.tasks {
            if !stopped.contains(key) {
                task.keep_until = until;
            }
        }
    }

    fn carry_out(&mut self, order: &Order, keep_until: Instant) -> Option<WorkerCall> {
        match order {
            Order::Start(start) => self.start(start, keep_until),
            Order::Stop { key } => Some(WorkerCall::Stop { key: key.clone() }),
            Order::Evict { key } => Some(WorkerCall::Checkpoint { key: key.clone() }),
            Order::Throttle { key, share } => Some(WorkerCall::Throttle {
                key: key.clone(),
                share: *share,
            }),
        }
    }

    /// Starts a task if the worker has room; the owner repeats the order if not.
    fn start(&mut self, start: &TaskStart, keep_until: Instant) -> Option<WorkerCall> {
        if self.tasks.contains_key(&start.key) {
            return None;
        }
        let room = self.cfg.capacity.saturating_sub(self.granted());
        if !start.granted.fits(&room) {
            return None;
        }
        let task = RunningTask {
            key: start.key.clone(),
            granted: start.granted,
            class: start.class.clone(),
        };
        self.tasks.insert(
            start.key.clone(),
            Held {
                start: task,
                keep_until,
                end: None,
            },
        );
        let total = self.granted();
        Promise::Capacity.check(total.fits(&self.cfg.capacity), || {
            format!(
                "granted {total} of {} with {}",
                self.cfg.capacity, start.key
            )
        });
        Some(WorkerCall::Start(start.clone()))
    }

    /// Returns what running tasks were granted.
    fn granted(&self) -> Resources {
        let running = self.tasks.values().filter(|task| task.end.is_none());
        running.fold(Resources::ZERO, |sum, task| sum + task.start.granted)
    }

    /// Takes the worker's own list, which says what runs.
    pub fn listed(&mut self, now: Instant, reports: &[TaskReport]) {
        self.has_listed = true;
        for report in reports {
            let held = self
                .tasks
                .entry(report.key.clone())
                .or_insert_with(|| Held {
                    start: RunningTask {
                        key: report.key.clone(),
                        granted: report.granted,
                        class: report.class.clone(),
                    },
                    // An earlier companion started it: its time is not known to be up.
                    keep_until: now + KEEP_FOR,
                    end: None,
                });
            if held.end.is_none() {
                held.end = end_of(&report.state);
            }
        }
    }

    /// Returns the calls that keep tasks running, and stop those whose time is up.
    pub fn renewals(&mut self, now: Instant) -> Vec<WorkerCall> {
        let mut calls = Vec::new();
        for (key, task) in self.tasks.iter().filter(|(_, task)| task.end.is_none()) {
            let ttl = task.keep_until.saturating_duration_since(now);
            if ttl.is_zero() {
                calls.push(WorkerCall::Stop { key: key.clone() });
            } else {
                calls.push(WorkerCall::Renew {
                    keys: vec![key.clone()],
                    ttl,
                });
            }
        }
        calls
    }

    /// Drops tasks whose ends are recorded; returns the calls that forget them.
    pub fn acknowledged(&mut self, keys: &[TaskKey]) -> Vec<WorkerCall> {
        let mut calls = Vec::new();
        for key in keys {
            if self.tasks.swap_remove(key).is_some() {
                calls.push(WorkerCall::Forget { key: key.clone() });
            }
        }
        calls
    }
}

/// Returns how a task ended, if it did.
fn end_of(state: &TaskState) -> Option<TaskEnd> {
    match state {
        TaskState::Running | TaskState::Checkpointing => None,
        TaskState::Finished => Some(TaskEnd::Finished),
        TaskState::Failed { error } => Some(TaskEnd::Failed {
            error: Arc::clone(error),
        }),
        TaskState::Stopped { checkpoint } => Some(TaskEnd::Stopped {
            checkpoint: checkpoint.clone(),
        }),
    }
}

impl TaskKeeper {
    /// Fills in what a poll says of the tasks.
    pub fn fill(&self, poll: &mut Poll) {
        poll.running = self.running();
    }
}
