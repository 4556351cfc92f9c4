//! Heartbeats: which incarnation of the worker is known, and what it says of itself.

use base::prelude::*;
use jobs::report::RejectKind;
use slog::{info, warn};

use crate::candidates::Identity;
use crate::event::IdentityDone;
use crate::incarnation::WorkerIncarnation;
use crate::ports::{Heartbeat, IdentityCall, IdentityReply};
use crate::state::{Action, AgentState};
use crate::worker_clock::WorkerClock;

impl AgentState {
    pub(crate) fn heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) {
        match &mut self.worker {
            Some(worker) if worker.heartbeat.identity() == heartbeat.identity() => {
                if worker.accepts(now, &heartbeat) {
                    self.update_worker(now, heartbeat);
                } else {
                    info!(self.log, "companion: heartbeat ignored"; "worker" => %heartbeat.id,
                        "reason" => "it is outdated, or contradicts the worker",
                        "number" => heartbeat.number, "pool" => %heartbeat.pool);
                }
            }
            worker => {
                if let Some(worker) = worker.as_mut().filter(|w| w.heartbeat.id == heartbeat.id) {
                    // It may have restarted, and would receive the calls to its earlier incarnation.
                    worker.is_confirmed = false;
                }
                let (id, incarnation) = heartbeat.identity();
                if !self.candidates.add(now, heartbeat) {
                    info!(self.log, "companion: heartbeat ignored"; "worker" => %id,
                        "born" => incarnation.0, "reason" => "too many incarnations to check");
                }
            }
        }
    }

    /// Handles the answer of the worker to whether it is the incarnation that a heartbeat names.
    pub fn identified(&mut self, now: Instant, done: IdentityDone) {
        self.calls.release();
        let identity = (done.worker, done.incarnation);
        if self.is_current(&identity) {
            self.check_leave(now, &identity, &done.reply);
            return;
        }
        let reply = match done.reply {
            Ok(reply) => reply,
            Err(e) => {
                warn!(self.log, "companion: worker does not identify itself"; "error" => %e);
                self.candidates.retry(now, &identity);
                return;
            }
        };
        let (is_this, clock_ms) = match reply {
            IdentityReply::Other => (false, 0),
            IdentityReply::Expected {
                incarnation: Some(incarnation),
                clock_ms,
            } => (incarnation == identity.1, clock_ms),
            // The id alone does not tell an incarnation from the known one.
            IdentityReply::Expected { .. } if self.is_known(&identity.0) => {
                self.candidates.retry(now, &identity);
                return;
            }
            IdentityReply::Expected { clock_ms, .. } => (true, clock_ms),
        };
        let Some(heartbeat) = self.candidates.settle(&identity) else {
            return;
        };
        if is_this {
            self.replace_worker(now, heartbeat, clock_ms);
        } else {
            warn!(self.log, "companion: heartbeat ignored"; "worker" => %heartbeat.id,
                "born" => heartbeat.incarnation.0, "pool" => %heartbeat.pool,
                "reason" => "the worker is another incarnation");
        }
    }

    /// Handles a message that the worker leaves, of the given incarnation if it is known.
    ///
    /// A worker drains before it leaves. If it has not, it is asked: its runs would else be given up
    /// because of another writer.
    pub(crate) fn leave(&mut self, now: Instant, id: &WorkerId, incarnation: Option<Incarnation>) {
        let is_of = |w: &&mut WorkerIncarnation| {
            w.heartbeat.id == *id && incarnation.is_none_or(|i| i == w.heartbeat.incarnation)
        };
        let Some(worker) = self.worker.as_mut().filter(is_of) else {
            return;
        };
        if worker.heartbeat.draining.is_some() {
            info!(self.log, "companion: worker left"; "worker" => %id);
            worker.record_gone();
            self.syncs.has_changes = true;
        } else {
            self.candidates.add(now, worker.heartbeat.clone());
        }
    }

    /// Ends the check of whether the known incarnation, which did not drain, has left.
    fn check_leave(&mut self, now: Instant, identity: &Identity, reply: &Result<IdentityReply>) {
        if let Err(e) = reply
            && matches!(e.kind(), ErrorKind::Unreachable | ErrorKind::Interrupted)
        {
            // A worker that goes on may lose a connection too.
            self.candidates.retry(now, identity);
            return;
        }
        self.candidates.settle(identity);
        let Some(worker) = self.worker.as_mut() else {
            return;
        };
        let has_left = match reply {
            Ok(IdentityReply::Expected { incarnation, .. }) => {
                incarnation.is_some_and(|i| i != identity.1)
            }
            Ok(IdentityReply::Other) => true,
            Err(e) => e.kind() == ErrorKind::NotListening,
        };
        if has_left {
            info!(self.log, "companion: worker left"; "worker" => %identity.0);
            worker.record_gone();
            self.syncs.has_changes = true;
        } else {
            warn!(self.log, "companion: leave ignored"; "worker" => %identity.0,
                "reason" => "the worker has not drained and goes on");
        }
    }

    fn is_current(&self, identity: &Identity) -> bool {
        let worker = self.worker.as_ref();
        worker.is_some_and(|w| w.heartbeat.identity() == *identity)
    }

    fn is_known(&self, id: &WorkerId) -> bool {
        self.worker.as_ref().is_some_and(|w| w.heartbeat.id == *id)
    }

    /// Replaces the known incarnation by one that the worker has confirmed.
    fn replace_worker(&mut self, now: Instant, heartbeat: Heartbeat, clock_ms: u64) {
        info!(self.log, "companion: worker heard";
            "worker" => %heartbeat.id,
            "born" => heartbeat.incarnation.0, "pool" => %heartbeat.pool);
        self.record_crash(now);
        let mut worker = WorkerIncarnation::new(heartbeat, now, self.stop_time);
        worker.clock = Some(WorkerClock::new(clock_ms, now));
        if worker.is_draining() {
            info!(self.log, "companion: worker drains"; "worker" => %worker.heartbeat.id);
        }
        self.worker = Some(worker);
        self.throttles.clear();
        self.syncs.has_changes = true;
    }

    /// Applies a later heartbeat of the known incarnation.
    fn update_worker(&mut self, now: Instant, heartbeat: Heartbeat) {
        let Some(worker) = self.worker.as_mut() else {
            return;
        };
        if heartbeat.draining.is_some() && worker.heartbeat.draining.is_none() {
            info!(self.log, "companion: worker drains"; "worker" => %heartbeat.id);
            self.syncs.has_changes = true;
        }
        if worker.is_gone {
            info!(self.log, "companion: heartbeat from a worker that was gone";
                "worker" => %heartbeat.id);
            worker.is_gone = false;
            self.syncs.has_changes = true;
        }
        if heartbeat.capacity != worker.heartbeat.capacity {
            info!(self.log, "companion: capacity changed"; "worker" => %heartbeat.id,
                "from" => %worker.heartbeat.capacity, "to" => %heartbeat.capacity);
            self.syncs.has_changes = true;
            if !worker.heartbeat.capacity.fits(&heartbeat.capacity) {
                // The owner placed them by the larger capacity.
                worker.starts.reject_unsent(now, RejectKind::Room);
            }
        }
        worker.heard_at = now;
        worker.heartbeat = heartbeat;
    }

    /// Records that another incarnation replaces the known one, which may have crashed.
    fn record_crash(&mut self, now: Instant) {
        let Some(worker) = &self.worker else {
            return;
        };
        if let Some(crash) = self.crashes.add(worker, now) {
            warn!(self.log, "companion: worker crashed";
                "worker" => %worker.heartbeat.id, "born" => crash.incarnation.0,
                "runs" => crash.runs.len(), "within_lease" => crash.is_within_lease,
                "silent_ms" => now.duration_since(worker.answered_at).as_millis());
        }
    }

    pub(crate) fn check_candidates(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.calls.is_free() {
            return;
        }
        if let Some((worker, incarnation)) = self.candidates.begin_check(now) {
            self.calls.take();
            // Under a lower fencing token than it has seen, the worker would not say when it was born.
            let fence = self.worker.as_ref().map_or(0, |w| w.fence);
            let call = IdentityCall { worker, fence };
            actions.push(Action::Identify(incarnation, call));
        }
    }
}
