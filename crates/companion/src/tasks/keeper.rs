//! Decides what the worker runs, given the owner's answers and the worker's own list.

use base::prelude::*;
use ports::worker::{TaskReport, TaskStart, TaskState, WorkerCall};
use wire::timing::{GRANT_WINDOW, KEEP_FOR};
use wire::{Keep, Order, PollAnswer, PollReply, RunningTask, TaskEnd};

/// What a keeper needs to know.
#[derive(Clone, Debug)]
pub struct KeeperCfg {
    /// What the worker has.
    pub capacity: Resources,
}

/// A call for the worker that must not be made after `until`.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedCall {
    /// The call.
    pub call: WorkerCall,
    /// When the call loses its ground; `None` for calls that are always safe.
    pub until: Option<Instant>,
}

/// A task that this companion holds.
#[derive(Clone, Debug)]
struct Held {
    task: RunningTask,
    /// `None` until an owner's answer keeps it: an earlier companion started it.
    keep_until: Option<Instant>,
    /// Whether a list of the worker has named it.
    is_seen: bool,
    /// The last list that was asked for before the task was started.
    started_after: u64,
    end: Option<TaskEnd>,
}

/// A poll that awaits its answer.
#[derive(Clone, Debug)]
struct Issued {
    nonce: Nonce,
    at: Instant,
    /// The tasks that it named.
    named: IndexSet<TaskKey>,
}

/// The tasks of one worker.
#[derive(Debug)]
pub struct TaskKeeper {
    cfg: KeeperCfg,
    tasks: IndexMap<TaskKey, Held>,
    issued: Option<Issued>,
    /// The highest term whose owner answered.
    epoch: Epoch,
    /// How many lists were asked for.
    lists: u64,
    has_listed: bool,
    /// Tasks that were forgotten lately, against orders decided before.
    forgotten: IndexMap<TaskKey, Instant>,
}

impl TaskKeeper {
    /// Creates a keeper that has not seen the worker's list yet.
    pub fn new(cfg: KeeperCfg) -> Self {
        Self {
            cfg,
            tasks: IndexMap::new(),
            issued: None,
            epoch: Epoch(0),
            lists: 0,
            has_listed: false,
            forgotten: IndexMap::new(),
        }
    }

    /// Tells whether a poll may be issued: the worker's list is known and none is on its way.
    pub fn may_poll(&self) -> bool {
        self.has_listed && self.issued.is_none()
    }

    /// Notes that a poll that names [`TaskKeeper::running`] is issued.
    pub fn issue(&mut self, now: Instant, nonce: Nonce) {
        let named = self.running().into_iter().map(|task| task.key).collect();
        self.issued = Some(Issued {
            nonce,
            at: now,
            named,
        });
    }

    /// Gives up on a poll on its way; its answer will not be taken.
    pub fn abandon(&mut self, nonce: Nonce) {
        self.issued.take_if(|issued| issued.nonce == nonce);
    }

    /// Gives up on whatever poll is on its way.
    pub fn abandon_all(&mut self) {
        self.issued = None;
    }

    /// Returns the tasks that the worker's list has named as running, for a poll.
    ///
    /// A started task that no list has named yet is left out, so that the owner
    /// repeats the order if the start was lost.
    pub fn running(&self) -> Vec<RunningTask> {
        self.tasks
            .values()
            .filter(|held| held.is_seen && held.end.is_none())
            .map(|held| held.task.clone())
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
    /// An answer is void that comes later than the grant window after its poll, or
    /// from a lower term than one that has answered before. Tasks are kept from the
    /// time at which the poll was *issued*, so that an owner that has not heard a
    /// worker for `keep_for` knows that its tasks have stopped.
    pub fn answered(&mut self, now: Instant, reply: &PollReply) -> Vec<TimedCall> {
        let Some(issued) = self.issued.take_if(|issued| issued.nonce == reply.nonce) else {
            return Vec::new();
        };
        let granted_until = issued.at + GRANT_WINDOW;
        let PollAnswer::Owner {
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
        let keep_until = issued.at + (*keep_for).min(KEEP_FOR);
        if *keep == Keep::All {
            self.keep_named(&issued.named, keep_until, orders);
        }
        orders
            .iter()
            .filter_map(|order| self.carry_out(now, order, keep_until, granted_until))
            .collect()
    }

    /// Keeps the tasks that the poll named and that no order stops.
    fn keep_named(&mut self, named: &IndexSet<TaskKey>, until: Instant, orders: &[Order]) {
        let stopped: IndexSet<&TaskKey> = orders
            .iter()
            .filter_map(|order| match order {
                Order::Stop { key } => Some(key),
                _ => None,
            })
            .collect();
        for key in named.iter().filter(|key| !stopped.contains(*key)) {
            if let Some(held) = self.tasks.get_mut(key) {
                held.keep_until = held.keep_until.max(Some(until));
            }
        }
    }

    fn carry_out(
        &mut self,
        now: Instant,
        order: &Order,
        keep_until: Instant,
        granted_until: Instant,
    ) -> Option<TimedCall> {
        let call = match order {
            Order::Start(start) => return self.start(now, start, keep_until, granted_until),
            Order::Stop { key } => WorkerCall::Stop { key: key.clone() },
            Order::Evict { key } => WorkerCall::Checkpoint { key: key.clone() },
            Order::Throttle { key, share } => WorkerCall::Throttle {
                key: key.clone(),
                share: *share,
            },
        };
        Some(TimedCall { call, until: None })
    }

    /// Starts a task if the worker has room; the owner repeats the order if not.
    fn start(
        &mut self,
        now: Instant,
        start: &TaskStart,
        keep_until: Instant,
        granted_until: Instant,
    ) -> Option<TimedCall> {
        if self.forgotten.contains_key(&start.key) {
            return None;
        }
        match self.tasks.get_mut(&start.key) {
            Some(held) if held.is_seen || held.end.is_some() => return None,
            // The worker may never have got it: starting it again is a no-op if it has.
            Some(held) => held.keep_until = held.keep_until.max(Some(keep_until)),
            None => self.hold(start, keep_until)?,
        }
        let start = TaskStart {
            ttl: Some(granted_until.saturating_duration_since(now)),
            ..start.clone()
        };
        Some(TimedCall {
            call: WorkerCall::Start(start),
            until: Some(granted_until.min(keep_until)),
        })
    }

    /// Takes room for a task; `None` where there is none.
    fn hold(&mut self, start: &TaskStart, keep_until: Instant) -> Option<()> {
        let room = self.cfg.capacity.saturating_sub(self.granted());
        if !start.granted.fits(&room) {
            return None;
        }
        let held = Held {
            task: RunningTask {
                key: start.key.clone(),
                granted: start.granted,
                class: start.class.clone(),
            },
            keep_until: Some(keep_until),
            is_seen: false,
            started_after: self.lists,
            end: None,
        };
        self.tasks.insert(start.key.clone(), held);
        let total = self.granted();
        Promise::Capacity.check(total.fits(&self.cfg.capacity), || {
            format!(
                "granted {total} of {} with {}",
                self.cfg.capacity, start.key
            )
        });
        Some(())
    }

    /// Returns what running tasks were granted.
    fn granted(&self) -> Resources {
        let running = self.tasks.values().filter(|held| held.end.is_none());
        running.fold(Resources::ZERO, |sum, held| sum + held.task.granted)
    }

    /// Counts a list that is asked for now; returns its number for [`TaskKeeper::listed`].
    pub fn list_issued(&mut self) -> u64 {
        self.lists += 1;
        self.lists
    }

    /// Takes the worker's own list, which says what runs.
    pub fn listed(&mut self, now: Instant, list: u64, reports: &[TaskReport]) {
        self.has_listed = true;
        self.forgotten.retain(|_, until| now < *until);
        for report in reports {
            self.reported(report);
        }
        let reported: IndexSet<&TaskKey> = reports.iter().map(|report| &report.key).collect();
        self.tasks.retain(|key, held| {
            let is_missing =
                held.end.is_none() && held.started_after < list && !reported.contains(key);
            if is_missing && held.is_seen {
                // The worker named it before: it was replaced or restarted since.
                held.end = Some(TaskEnd::Lost);
            }
            // A start that was lost keeps its room while it could still arrive.
            !is_missing || held.is_seen || held.keep_until.is_some_and(|until| now < until)
        });
    }

    fn reported(&mut self, report: &TaskReport) {
        if self.forgotten.contains_key(&report.key) {
            return;
        }
        let held = self
            .tasks
            .entry(report.key.clone())
            .or_insert_with(|| Held {
                task: RunningTask {
                    key: report.key.clone(),
                    granted: report.granted,
                    class: report.class.clone(),
                },
                // An earlier companion started it. What that one was told to keep is
                // not known here, so nothing is prolonged before the owner answers.
                keep_until: None,
                is_seen: true,
                started_after: 0,
                end: None,
            });
        held.is_seen = true;
        if held.end.is_none() {
            held.end = end_of(&report.state);
        }
    }

    /// Returns the calls that keep tasks running, and stop those whose time is up.
    pub fn renewals(&mut self, now: Instant) -> Vec<TimedCall> {
        let mut calls = Vec::new();
        let mut kept: IndexMap<Instant, Vec<TaskKey>> = IndexMap::new();
        for (key, held) in self.tasks.iter().filter(|(_, held)| held.end.is_none()) {
            match held.keep_until {
                Some(until) if until > now => kept.entry(until).or_default().push(key.clone()),
                Some(_) => calls.push(TimedCall {
                    call: WorkerCall::Stop { key: key.clone() },
                    until: None,
                }),
                // The worker's own lease stops it unless an owner keeps it first.
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

    /// Drops tasks whose ends are recorded; returns the calls that forget them.
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
