//! Decides which calls a companion makes to its worker and what it reports to the owner.

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::{SyncReport, WorkerReport};
use slog::{Logger, info, warn};

use crate::candidates::Candidates;
use crate::crashes::Crashes;
use crate::event::LongPollDone;
use crate::incarnation::{WorkerIncarnation, record_status};
use crate::orders::CallSlots;
use crate::ports::{IdentityCall, LongPollCall, StartCall, StopCall, ThrottleCall, WorkerMessage};
use crate::sync::Syncs;

/// How long a long poll waits for a run to end, and so how old the figures of a status get.
///
/// The worker computes the figures over the last 500 ms, so polling more often gains little.
const LONG_POLL_WAIT: Duration = Duration::from_millis(250);

/// Delay before the next long poll after a failed one.
const LONG_POLL_RETRY: Duration = Duration::from_millis(100);

/// Shortest interval between status polls, which are long polls that do not wait.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Allowance for a stop call to reach the worker, added to the time that the worker takes to stop a
/// run.
const STOP_MARGIN: Duration = Duration::from_millis(100);

/// A call that a companion is to make.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the worker whether it is this incarnation.
    Identify(Incarnation, IdentityCall),
    /// Make a long poll to the worker.
    LongPoll(Incarnation, LongPollCall),
    /// Start a run.
    Start(Incarnation, StartCall),
    /// Stop a run.
    Stop(Incarnation, StopCall),
    /// Throttle a run.
    Throttle(ThrottleCall),
    /// Send the report with this number to the owner.
    Sync(u64, Box<SyncReport>),
}

/// The state of the agent: its worker, the owner and the orders in progress.
#[derive(Debug)]
pub struct AgentState {
    pub(crate) vm: Name,
    pub(crate) boot: u64,
    pub(crate) log: Logger,
    pub(crate) epoch: Epoch,
    pub(crate) worker: Option<WorkerIncarnation>,
    pub(crate) candidates: Candidates,
    pub(crate) crashes: Crashes,
    pub(crate) syncs: Syncs,
    pub(crate) calls: CallSlots,
    /// Runs to throttle, with their share of speed in percent.
    pub(crate) throttles: IndexMap<TaskRun, u32>,
    /// The longest time that a stop takes, [`STOP_MARGIN`] included.
    pub(crate) stop_time: Duration,
}

impl AgentState {
    /// Creates the state of an agent that has received no heartbeat yet.
    ///
    /// `boot` must differ from that of any earlier process on the VM; `stop_time` is the longest
    /// time that the worker takes to stop a run.
    pub fn new(vm: Name, boot: u64, stop_time: Duration, log: Logger) -> Self {
        Self {
            stop_time: stop_time + STOP_MARGIN,
            vm,
            boot,
            log,
            epoch: Epoch(0),
            worker: None,
            candidates: Candidates::default(),
            crashes: Crashes::default(),
            syncs: Syncs::default(),
            calls: CallSlots::default(),
            throttles: IndexMap::new(),
        }
    }

    /// Handles a message of the worker.
    pub fn worker_message(&mut self, now: Instant, message: WorkerMessage) {
        match message {
            WorkerMessage::Heartbeat(heartbeat) => self.heartbeat(now, heartbeat),
            WorkerMessage::Leave(id, incarnation) => self.leave(now, &id, incarnation),
        }
    }

    /// Handles the outcome of a long poll.
    pub fn long_polled(&mut self, now: Instant, done: LongPollDone) {
        if !done.is_waiting {
            self.calls.release();
        }
        let Some(worker) = self
            .worker
            .as_mut()
            .filter(|w| w.heartbeat.incarnation == done.incarnation)
        else {
            return;
        };
        if done.is_waiting {
            worker.is_long_polling = false;
        } else {
            worker.is_status_polling = false;
        }
        match done.reply {
            Ok(reply)
                if reply
                    .incarnation
                    .is_none_or(|incarnation| incarnation == done.incarnation) =>
            {
                // A long poll returns at once while the worker lists any finished run, even if
                // it is acknowledged.
                let has_ends = reply.ends.iter().any(|e| e.number > worker.stored_ends);
                worker.poll_answered(now);
                worker.poll_after = has_ends.then(|| now + STATUS_POLL_INTERVAL);
                let has_changes = record_status(worker, now, done.fence, reply, &self.log);
                // Every long poll that waited is reported, since its figures age quickly.
                self.syncs.has_changes |= has_changes || done.is_waiting;
            }
            Ok(_) => {
                info!(
                    self.log,
                    "companion: another incarnation of the worker replied"
                );
                worker.is_confirmed = false;
                worker.poll_after = Some(now + LONG_POLL_RETRY);
            }
            Err(e) => {
                warn!(self.log, "companion: hold failed"; "error" => %e);
                worker.poll_after = Some(now + LONG_POLL_RETRY);
                if worker.poll_failed(now, e.kind()) {
                    warn!(self.log, "companion: worker refuses connections";
                        "worker" => %worker.heartbeat.id);
                    self.syncs.has_changes = true;
                }
            }
        }
    }

    /// Returns the calls to make now.
    pub fn run(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        // Stops come first: a start that waits may no longer be wanted.
        self.send_stops(now, &mut actions);
        self.check_candidates(now, &mut actions);
        self.long_poll(now, &mut actions);
        self.send_starts(now, &mut actions);
        self.send_throttles(&mut actions);
        self.sync_due(now, &mut actions);
        if let Some(worker) = &mut self.worker {
            worker.log_conclusions(now, &self.log);
        }
        actions
    }

    /// Returns when [`AgentState::run`] must be called next if no event arrives earlier.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let worker = self.worker.as_ref();
        let long_poll = worker.and_then(|w| w.poll_after);
        // The end of a call makes other calls due.
        let worker = worker.filter(|w| self.calls.is_free() && !w.is_gone);
        let status_poll = worker
            .filter(|w| w.needs_status_poll() && !w.is_status_polling)
            .map(|w| {
                w.status_polled_at
                    .map_or(now, |at| at + STATUS_POLL_INTERVAL)
            });
        let stops = worker
            .filter(|w| w.is_confirmed)
            .and_then(|w| w.starts.next_stop_due());
        let starts = worker.and_then(WorkerIncarnation::next_start_due);
        let check = self.candidates.next_due(now);
        let check = check.filter(|_| self.calls.is_free());
        let due = [
            long_poll,
            status_poll,
            stops,
            starts,
            check,
            self.syncs.next_due(),
        ];
        due.into_iter().flatten().min()
    }

    fn long_poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(worker) = self.worker.as_mut().filter(|w| !w.is_gone) else {
            return;
        };
        if worker.poll_after.is_some_and(|at| at > now) {
            return;
        }
        // Deadlines and numbers of ended runs mean nothing to another incarnation.
        let call = |worker: &WorkerIncarnation, wait: Duration| LongPollCall {
            worker: worker.heartbeat.id.clone(),
            fence: worker.fence,
            deadline_ms: worker.deadline_ms.filter(|_| worker.is_confirmed),
            stored_ends: if worker.is_confirmed {
                worker.stored_ends
            } else {
                0
            },
            wait,
        };
        let is_status_poll_due = worker
            .status_polled_at
            .is_none_or(|at| now.duration_since(at) >= STATUS_POLL_INTERVAL);
        let needs_status_poll = !worker.has_current_status() || worker.needs_status_poll();
        if worker.fence > 0
            && needs_status_poll
            && is_status_poll_due
            && !worker.is_status_polling
            && self.calls.take()
        {
            worker.is_status_polling = true;
            worker.status_polled_at = Some(now);
            actions.push(Action::LongPoll(
                worker.heartbeat.incarnation,
                call(worker, Duration::ZERO),
            ));
        }
        if worker.fence > 0 && !worker.is_long_polling {
            worker.is_long_polling = true;
            actions.push(Action::LongPoll(
                worker.heartbeat.incarnation,
                call(worker, LONG_POLL_WAIT),
            ));
        }
    }

    /// Returns the report about the worker; `None` before its first heartbeat.
    pub(crate) fn worker_report(&self, now: Instant) -> Option<WorkerReport> {
        let worker = self.worker.as_ref()?;
        let heartbeat = &worker.heartbeat;
        Some(WorkerReport {
            id: heartbeat.id.clone(),
            incarnation: heartbeat.incarnation,
            pool: heartbeat.pool.clone(),
            zone: heartbeat.zone.clone(),
            labels: heartbeat.labels.clone(),
            capacity: heartbeat.capacity,
            draining_ms: heartbeat.draining.map(base::whole_ms),
            is_gone: worker.is_gone,
            is_unresponsive: worker.is_unresponsive(now),
            is_shedding: worker.is_shedding,
            status: worker.status.clone(),
            changes: None,
            open: worker.starts.open_runs(),
            rejected: worker.starts.rejected(),
            crashes: self.crashes.unrecorded().to_vec(),
        })
    }
}
