//! Decides which calls the worker gets, from the owner's responses and the worker's own list.

use base::prelude::*;
use ports::worker::{TaskReport, TaskStart, TaskState, WorkerCall};
use wire::timing::{GRANT_WINDOW, TASK_LEASE};
use wire::{Order, PollOutcome, PollReply, Renewal, RunningTask, TaskEnd};

/// Settings of a [`TaskTable`].
#[derive(Clone, Debug)]
pub struct TaskTableCfg {
    /// The worker's total resources.
    pub capacity: Resources,
}

/// A call to the worker that must not be made at or after `until`.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedCall {
    /// The call.
    pub call: WorkerCall,
    /// When the call is no longer valid; `None` for calls that are valid at any time.
    pub until: Option<Instant>,
}

/// A task on the worker, or one whose start was ordered.
#[derive(Clone, Debug)]
struct TrackedTask {
    task: RunningTask,
    /// When the task's lease expires; `None` for a task that an earlier companion started, until an
    /// owner's response extends its lease.
    lease_until: Option<Instant>,
    /// Whether a list of the worker has contained it.
    is_listed: bool,
    /// The number of the last list that was requested before the task was started.
    started_after: u64,
    end: Option<TaskEnd>,
}

/// A poll in flight.
#[derive(Clone, Debug)]
struct IssuedPoll {
    nonce: Nonce,
    at: Instant,
    /// The tasks that it named as running.
    named: IndexSet<TaskKey>,
}

/// The tasks of one worker, with their leases.
#[derive(Debug)]
pub struct TaskTable {
    cfg: TaskTableCfg,
    tasks: IndexMap<TaskKey, TrackedTask>,
    issued: Option<IssuedPoll>,
    /// The highest epoch of an owner that has responded.
    epoch: Epoch,
    /// How many lists were requested.
    lists: u64,
    has_list: bool,
    /// Recently forgotten tasks, with the time until which start orders for them are ignored: the
    /// owner may have made such an order before it recorded the end.
    forgotten: IndexMap<TaskKey, Instant>,
}

impl TaskTable {
    /// Creates a table that has not received the worker's list yet.
    pub fn new(cfg: TaskTableCfg) -> Self {
        Self {
            cfg,
            tasks: IndexMap::new(),
            issued: None,
            epoch: Epoch(0),
            lists: 0,
            has_list: false,
            forgotten: IndexMap::new(),
        }
    }

    /// Returns true if a poll may be issued: the worker's list is known and no poll is in flight.
    pub fn may_poll(&self) -> bool {
        self.has_list && self.issued.is_none()
    }

    /// Records that a poll that names [`TaskTable::running`] is issued at `now`.
    pub fn issue(&mut self, now: Instant, nonce: Nonce) {
        let named = self.running().into_iter().map(|task| task.key).collect();
        self.issued = Some(IssuedPoll {
            nonce,
            at: now,
            named,
        });
    }

    /// Abandons the poll with this nonce; a later response to it is ignored.
    pub fn abandon(&mut self, nonce: Nonce) {
        self.issued.take_if(|issued| issued.nonce == nonce);
    }

    /// Abandons any poll in flight.
    pub fn abandon_all(&mut self) {
        self.issued = None;
    }

    /// Returns the running tasks that a list of the worker has contained, for a poll.
    ///
    /// A started task that no list has contained yet is left out, so that the owner
    /// repeats the order if the start was lost.
    pub fn running(&self) -> Vec<RunningTask> {
        self.tasks
            .values()
            .filter(|tracked| tracked.is_listed && tracked.end.is_none())
            .map(|tracked| tracked.task.clone())
            .collect()
    }

    /// Returns the ended tasks that the owner has not acknowledged.
    pub fn ends(&self) -> Vec<(TaskKey, TaskEnd)> {
        self.tasks
            .iter()
            .filter_map(|(key, task)| Some((key.clone(), task.end.clone()?)))
            .collect()
    }

    /// Handles the owner's response to the poll in flight; returns the calls for the worker.
    ///
    /// A response is ignored if it arrives later than the grant window after its poll, or if its
    /// epoch is lower than that of an earlier response. Leases are counted from the time at which
    /// the poll was *issued*, so that an owner that has received no poll of a worker for `keep_for`
    /// knows that its tasks have stopped.
    pub fn answered(&mut self, now: Instant, reply: &PollReply) -> Vec<TimedCall> {
        let Some(issued) = self.issued.take_if(|issued| issued.nonce == reply.nonce) else {
            return Vec::new();
        };
        let granted_until = issued.at + GRANT_WINDOW;
        let PollOutcome::Owner {
            epoch,
            keep,
            keep_for,
            orders,
        } = &reply.answer
        else {
            return Vec::new();
        };
        if now >= granted_until || *epoch < self.epoch {
            return Vec::new();
        }
        self.epoch = *epoch;
        let lease_until = issued.at + (*keep_for).min(TASK_LEASE);
        if *keep == Renewal::All {
            self.extend_leases(&issued.named, lease_until, orders);
        }
        orders
            .iter()
            .filter_map(|order| self.carry_out(now, order, lease_until, granted_until))
            .collect()
    }

    /// Extends the leases of the tasks that the poll named and that no order stops.
    fn extend_leases(&mut self, named: &IndexSet<TaskKey>, until: Instant, orders: &[Order]) {
        let stopped: IndexSet<&TaskKey> = orders
            .iter()
            .filter_map(|order| match order {
                Order::Stop { key } => Some(key),
                _ => None,
            })
            .collect();
        for key in named.iter().filter(|key| !stopped.contains(*key)) {
            if let Some(tracked) = self.tasks.get_mut(key) {
                tracked.lease_until = tracked.lease_until.max(Some(until));
            }
        }
    }

    /// Returns the worker call for an order, if one is needed.
    fn carry_out(
        &mut self,
        now: Instant,
        order: &Order,
        lease_until: Instant,
        granted_until: Instant,
    ) -> Option<TimedCall> {
        let call = match order {
            Order::Start(start) => return self.start(now, start, lease_until, granted_until),
            Order::Stop { key } => WorkerCall::Stop { key: key.clone() },
            Order::Evict { key } => WorkerCall::Checkpoint { key: key.clone() },
            Order::Throttle { key, share } => WorkerCall::Throttle {
                key: key.clone(),
                share: *share,
            },
        };
        Some(TimedCall { call, until: None })
    }

    /// Starts a task if the worker has enough free capacity; if not, the owner repeats the order.
    fn start(
        &mut self,
        now: Instant,
        start: &TaskStart,
        lease_until: Instant,
        granted_until: Instant,
    ) -> Option<TimedCall> {
        if self.forgotten.contains_key(&start.key) {
            return None;
        }
        match self.tasks.get_mut(&start.key) {
            Some(tracked) if tracked.is_listed || tracked.end.is_some() => return None,
            // The first call may be lost. Starting the task again is a no-op if it was not.
            Some(tracked) => tracked.lease_until = tracked.lease_until.max(Some(lease_until)),
            None => self.reserve(start, lease_until)?,
        }
        let start = TaskStart {
            ttl: Some(granted_until.saturating_duration_since(now)),
            ..start.clone()
        };
        Some(TimedCall {
            call: WorkerCall::Start(start),
            until: Some(granted_until.min(lease_until)),
        })
    }

    /// Reserves capacity for a task; returns `None` if not enough is free.
    fn reserve(&mut self, start: &TaskStart, lease_until: Instant) -> Option<()> {
        let free = self.cfg.capacity.saturating_sub(self.granted());
        if !start.granted.fits(&free) {
            return None;
        }
        let tracked = TrackedTask {
            task: RunningTask {
                key: start.key.clone(),
                granted: start.granted,
                class: start.class.clone(),
            },
            lease_until: Some(lease_until),
            is_listed: false,
            started_after: self.lists,
            end: None,
        };
        self.tasks.insert(start.key.clone(), tracked);
        let total = self.granted();
        Promise::Capacity.check(total.fits(&self.cfg.capacity), || {
            format!(
                "granted {total} of {} with {}",
                self.cfg.capacity, start.key
            )
        });
        Some(())
    }

    /// Returns the sum of the resources granted to tasks that have not ended.
    fn granted(&self) -> Resources {
        let running = self.tasks.values().filter(|tracked| tracked.end.is_none());
        running.fold(Resources::ZERO, |sum, tracked| sum + tracked.task.granted)
    }

    /// Records that a list is requested; returns its number for [`TaskTable::listed`].
    pub fn list_issued(&mut self) -> u64 {
        self.lists += 1;
        self.lists
    }

    /// Handles the list with this number, which is the authority on what runs.
    pub fn listed(&mut self, now: Instant, list: u64, reports: &[TaskReport]) {
        self.has_list = true;
        self.forgotten.retain(|_, until| now < *until);
        for report in reports {
            self.reported(report);
        }
        let reported: IndexSet<&TaskKey> = reports.iter().map(|report| &report.key).collect();
        self.tasks.retain(|key, tracked| {
            let is_missing =
                tracked.end.is_none() && tracked.started_after < list && !reported.contains(key);
            if is_missing && tracked.is_listed {
                // The list contained it before, so the worker was replaced or restarted since.
                tracked.end = Some(TaskEnd::Lost);
            }
            // A lost start keeps its capacity while the call could still arrive.
            !is_missing || tracked.is_listed || tracked.lease_until.is_some_and(|until| now < until)
        });
    }

    fn reported(&mut self, report: &TaskReport) {
        if self.forgotten.contains_key(&report.key) {
            return;
        }
        let tracked = self
            .tasks
            .entry(report.key.clone())
            .or_insert_with(|| TrackedTask {
                task: RunningTask {
                    key: report.key.clone(),
                    granted: report.granted,
                    class: report.class.clone(),
                },
                // An earlier companion started it. The lease that it got is not known here, so
                // it is not extended before the owner responds.
                lease_until: None,
                is_listed: true,
                started_after: 0,
                end: None,
            });
        tracked.is_listed = true;
        if tracked.end.is_none() {
            tracked.end = end_of(&report.state);
        }
    }

    /// Returns the calls that renew the leases of tasks and stop those whose lease has expired.
    pub fn renewals(&mut self, now: Instant) -> Vec<TimedCall> {
        let mut calls = Vec::new();
        let mut kept: IndexMap<Instant, Vec<TaskKey>> = IndexMap::new();
        for (key, tracked) in self
            .tasks
            .iter()
            .filter(|(_, tracked)| tracked.end.is_none())
        {
            match tracked.lease_until {
                Some(until) if until > now => kept.entry(until).or_default().push(key.clone()),
                Some(_) => calls.push(TimedCall {
                    call: WorkerCall::Stop { key: key.clone() },
                    until: None,
                }),
                // The worker stops it at the end of its lease unless an owner extends that first.
                None => {}
            }
        }
        calls.extend(kept.into_iter().map(|(until, keys)| TimedCall {
            call: WorkerCall::Renew {
                keys,
                ttl: until.saturating_duration_since(now),
            },
            until: Some(until),
        }));
        calls
    }

    /// Drops ended tasks that the owner has recorded; returns the calls that make the worker forget
    /// them.
    pub fn acknowledged(&mut self, now: Instant, keys: &[TaskKey]) -> Vec<TimedCall> {
        let mut calls = Vec::new();
        for key in keys {
            if self.tasks.swap_remove(key).is_none() {
                continue;
            }
            self.forgotten.insert(key.clone(), now + GRANT_WINDOW);
            calls.push(TimedCall {
                call: WorkerCall::Forget { key: key.clone() },
                until: None,
            });
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
