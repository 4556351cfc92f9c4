//! Orders to the worker: sends them and handles their outcomes.

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::RejectKind;
use slog::{info, warn};

use crate::ports::{StartCall, StartReply, StopCall, ThrottleCall};
use crate::state::{Action, AgentState};
use crate::worker_clock::WorkerClock;

/// How many calls to the worker are in progress at once, besides the long poll that waits.
///
/// Further orders wait in the state, where they can still be withdrawn.
pub(crate) const MAX_CALLS: usize = 4;

/// Counts the calls in progress.
#[derive(Debug, Default)]
pub(crate) struct CallSlots {
    used: usize,
}

impl CallSlots {
    pub(crate) fn is_free(&self) -> bool {
        self.used < MAX_CALLS
    }

    /// Takes a slot; returns false if all are in use.
    pub(crate) fn take(&mut self) -> bool {
        let is_free = self.is_free();
        self.used += usize::from(is_free);
        is_free
    }

    pub(crate) fn release(&mut self) {
        self.used = self.used.saturating_sub(1);
    }
}

impl AgentState {
    /// Handles the outcome of a start call.
    pub fn started(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        run: &TaskRun,
        reply: Result<StartReply>,
    ) {
        self.calls.release();
        let Some(worker) = self
            .worker
            .as_mut()
            .filter(|w| w.heartbeat.incarnation == incarnation)
        else {
            return;
        };
        match reply {
            Ok(StartReply::Started { clock_ms }) => {
                worker.clock = Some(WorkerClock::new(clock_ms, now));
                worker.is_shedding = false;
                worker.starts.accepted(run, clock_ms);
            }
            // An earlier call may have started the run although its reply was lost; the next
            // status shows it.
            Ok(StartReply::Rejected {
                why: RejectKind::Old,
                clock_ms: Some(clock_ms),
            }) => worker.starts.accepted(run, clock_ms),
            Ok(StartReply::Rejected { why, clock_ms }) => {
                info!(self.log, "companion: start rejected";
                    "run" => %run, "why" => ?why, "unanswered" => worker.starts.unanswered(run),
                    "born" => incarnation.0, "fence" => worker.fence, "clock_ms" => clock_ms);
                worker.starts.reject(now, run, why);
                self.syncs.has_changes = true;
            }
            Ok(StartReply::WrongIncarnation) => worker.starts.retry(now, run),
            Err(e) => {
                worker.call_failed(now, e.kind());
                if e.kind().is_outcome_unknown() {
                    worker.starts.count_unanswered(run);
                }
                warn!(self.log, "companion: start failed";
                    "run" => %run, "error" => %e, "unanswered" => worker.starts.unanswered(run));
                if e.kind() == ErrorKind::Overloaded {
                    worker.is_shedding = true;
                    worker.starts.reject(now, run, RejectKind::Room);
                    self.syncs.has_changes = true;
                } else {
                    worker.starts.retry(now, run);
                }
            }
        }
    }

    /// Handles the outcome of a stop call.
    pub fn stopped(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        run: &TaskRun,
        reply: Result<Option<u64>>,
    ) {
        self.calls.release();
        let Some(worker) = self
            .worker
            .as_mut()
            .filter(|w| w.heartbeat.incarnation == incarnation)
        else {
            return;
        };
        let clock_ms = reply.unwrap_or_else(|e| {
            warn!(self.log, "companion: stop failed"; "run" => %run, "error" => %e);
            worker.call_failed(now, e.kind());
            None
        });
        worker.starts.stop_answered(now, run, clock_ms);
    }

    /// Handles the end of a throttle call; its outcome does not matter, since the owner repeats the
    /// order while it is wanted.
    pub fn throttled(&mut self) {
        self.calls.release();
    }

    pub(crate) fn send_stops(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(worker) = self.worker.as_mut().filter(|w| w.is_confirmed) else {
            return;
        };
        // Stops go first, but must not hold up all starts while they have no reply.
        let has_start = worker.next_start_due().is_some_and(|at| at <= now);
        let max_stops = if has_start { MAX_CALLS / 2 } else { MAX_CALLS };
        while self.calls.is_free()
            && worker.starts.stops_in_progress() < max_stops
            && let Some(run) = worker.starts.take_due_stop(now)
        {
            self.calls.take();
            let call = StopCall {
                worker: worker.heartbeat.id.clone(),
                fence: worker.fence,
                run,
            };
            actions.push(Action::Stop(worker.heartbeat.incarnation, call));
        }
    }

    pub(crate) fn send_starts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(worker) = self.worker.as_mut() else {
            return;
        };
        if worker.heartbeat.draining.is_some() {
            self.syncs.has_changes |= worker.starts.reject_unsent(now, RejectKind::Draining);
        }
        if worker.is_past_starts(now) && worker.starts.reject_unsent(now, RejectKind::Late) {
            info!(self.log, "companion: starts rejected"; "worker" => %worker.heartbeat.id,
                "reason" => "the owner's permission has run out, or the zone is cordoned");
            self.syncs.has_changes = true;
        }
        let Some(deadline_ms) = worker.start_deadline_ms() else {
            return;
        };
        while self.calls.is_free()
            && let Some((order, source)) = worker.starts.take_due(now)
        {
            self.calls.take();
            if let Some(source) = source {
                worker.log_start(now, &order.run, &source, &self.log);
            }
            let call = StartCall {
                worker: worker.heartbeat.id.clone(),
                fence: worker.fence,
                deadline_ms,
                run: order.run,
                payload: order.payload,
                checkpoint: order.checkpoint,
                ticket: order.ticket,
            };
            actions.push(Action::Start(worker.heartbeat.incarnation, call));
        }
    }

    pub(crate) fn send_throttles(&mut self, actions: &mut Vec<Action>) {
        let Some(worker) = self.worker.as_ref().filter(|w| w.is_confirmed) else {
            return;
        };
        while self.calls.is_free()
            && let Some((run, percent)) = self.throttles.shift_remove_index(0)
        {
            self.calls.take();
            actions.push(Action::Throttle(ThrottleCall {
                worker: worker.heartbeat.id.clone(),
                fence: worker.fence,
                run,
                percent,
            }));
        }
    }
}
