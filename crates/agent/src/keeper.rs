//! Decides what a companion asks of its worker and tells the owner.

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::{RejectKind, SyncReport, WorkerReport};
use slog::{Logger, info, warn};

use crate::event::HoldDone;
use crate::life::{Life, take_listing};
use crate::ports::{Heartbeat, HoldCall, PaceCall, StartCall, StartReply, StopCall, WorkerSays};
use crate::sync::Syncs;
use crate::worker_clock::WorkerClock;

/// How long a hold waits for an end; also how old the figures of a listing get. They look back
/// half a second, so asking more often tells little more.
const HOLD_WAIT: Duration = Duration::from_millis(250);

/// How long after a hold that failed the next is made.
const HOLD_RETRY: Duration = Duration::from_millis(100);

/// How soon a start or stop is looked for in the worker's list.
const LOOK_AFTER: Duration = Duration::from_millis(60);

/// What is added to the time of a stop, for its call to arrive.
const STOP_MARGIN: Duration = Duration::from_millis(100);

/// What a companion does.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Hold the worker; whether it is a hold that waits.
    Hold(Incarnation, HoldCall),
    /// Start a run.
    Start(Incarnation, StartCall),
    /// Stop a run.
    Stop(Incarnation, StopCall),
    /// Pace a run.
    Pace(PaceCall),
    /// Report to the owner.
    Sync(u64, Box<SyncReport>),
}

/// The state of a companion.
#[derive(Debug)]
pub struct Keeper {
    pub(crate) vm: Name,
    pub(crate) boot: u64,
    pub(crate) log: Logger,
    pub(crate) epoch: Epoch,
    pub(crate) life: Option<Life>,
    pub(crate) syncs: Syncs,
    paces: Vec<(TaskRun, u32)>,
    /// How long a stop takes at most.
    stop_time: Duration,
}

impl Keeper {
    /// Creates a companion that knows no worker yet; `boot` rises with each process on the VM.
    ///
    /// `stop_time` is how long the worker takes at most to stop a run.
    pub fn new(vm: Name, boot: u64, stop_time: Duration, log: Logger) -> Self {
        Self {
            stop_time: stop_time + STOP_MARGIN,
            vm,
            boot,
            log,
            epoch: Epoch(0),
            life: None,
            syncs: Syncs::default(),
            paces: Vec::new(),
        }
    }

    /// Takes what the worker sent.
    pub fn worker_says(&mut self, now: Instant, says: WorkerSays) {
        match says {
            WorkerSays::Heartbeat(beat) => self.heartbeat(now, beat),
            WorkerSays::Leave(id) => {
                if let Some(life) = self.life.as_mut().filter(|l| l.beat.id == id) {
                    info!(self.log, "companion: worker left"; "worker" => %id);
                    life.is_gone = true;
                    self.syncs.has_news = true;
                }
            }
        }
    }

    fn heartbeat(&mut self, now: Instant, beat: Heartbeat) {
        let known = self.life.as_ref().map(|l| (l.beat.born, l.beat.number));
        let is_same = self
            .life
            .as_ref()
            .is_some_and(|l| l.beat.born == beat.born && l.beat.id == beat.id);
        if let Some((born, number)) = known
            && (beat.born < born || (is_same && beat.number <= number))
        {
            info!(self.log, "companion: old heartbeat ignored";
                "worker" => %beat.id, "born" => beat.born.0, "number" => beat.number);
            return;
        }
        if !is_same {
            info!(self.log, "companion: worker heard";
                "worker" => %beat.id, "born" => beat.born.0, "pool" => %beat.pool);
            self.life = Some(Life::new(beat.clone(), now, self.stop_time));
            self.syncs.has_news = true;
        }
        let Some(life) = self.life.as_mut() else {
            return;
        };
        if beat.draining.is_some() && life.beat.draining.is_none() {
            info!(self.log, "companion: worker drains"; "worker" => %beat.id);
            life.starts.reject_unsent();
            self.syncs.has_news = true;
        }
        if life.is_gone {
            info!(self.log, "companion: worker heard again"; "worker" => %beat.id);
            life.is_gone = false;
            self.syncs.has_news = true;
        }
        if let Some(clock_ms) = beat.clock_ms {
            life.clock = Some(WorkerClock::new(clock_ms, now));
        }
        life.beat = beat;
    }

    /// Takes the answer to a hold.
    pub fn held(&mut self, now: Instant, done: HoldDone) {
        let Some(life) = self.life.as_mut().filter(|l| l.beat.born == done.born) else {
            return;
        };
        if done.is_waiting {
            life.is_holding = false;
        } else {
            life.is_looking = false;
        }
        match done.reply {
            Ok(reply) if reply.born.is_none_or(|born| born == done.born) => {
                // A hold does not wait while the worker has ends to tell, acknowledged or not.
                let has_ends = reply.ends.iter().any(|e| e.number > life.stored_ends);
                life.answered_at = now;
                life.refused_since = None;
                life.hold_after = has_ends.then(|| now + LOOK_AFTER);
                let is_settled = now.duration_since(life.stopped_at) > self.stop_time;
                let has_news = take_listing(life, now, done.fence, is_settled, reply);
                // The figures of a listing are worth little once they are old.
                self.syncs.has_news |= has_news || done.is_waiting;
            }
            Ok(_) => {
                info!(self.log, "companion: another life of the worker answered");
                life.hold_after = Some(now + HOLD_RETRY);
            }
            Err(e) => {
                warn!(self.log, "companion: hold failed"; "error" => %e);
                life.hold_after = Some(now + HOLD_RETRY);
                if life.refused(now, e.kind()) {
                    warn!(self.log, "companion: worker ended"; "worker" => %life.beat.id);
                    life.is_gone = true;
                    self.syncs.has_news = true;
                }
            }
        }
    }

    /// Takes the answer to a start.
    pub fn started(
        &mut self,
        now: Instant,
        born: Incarnation,
        run: &TaskRun,
        reply: Result<StartReply>,
    ) {
        let Some(life) = self.life.as_mut().filter(|l| l.beat.born == born) else {
            return;
        };
        match reply {
            Ok(StartReply::Started { clock_ms }) => {
                life.clock = Some(WorkerClock::new(clock_ms, now));
                life.starts.taken(run, clock_ms);
            }
            // An earlier try may have been carried out without an answer; the list tells.
            Ok(StartReply::Rejected {
                why: RejectKind::Old,
                clock_ms: Some(clock_ms),
            }) => life.starts.taken(run, clock_ms),
            Ok(StartReply::Rejected { why, .. }) => {
                info!(self.log, "companion: start rejected"; "run" => %run, "why" => ?why);
                life.starts.reject(run, why);
                self.syncs.has_news = true;
            }
            Ok(StartReply::WrongLife) => life.starts.unanswered(now, run),
            Err(e) => {
                warn!(self.log, "companion: start failed"; "run" => %run, "error" => %e);
                if e.kind() == ErrorKind::Overloaded {
                    life.starts.reject(run, RejectKind::Room);
                    self.syncs.has_news = true;
                } else {
                    life.starts.unanswered(now, run);
                }
            }
        }
    }

    /// Takes the answer to a stop.
    pub fn stopped(
        &mut self,
        now: Instant,
        born: Incarnation,
        run: &TaskRun,
        reply: Result<Option<u64>>,
    ) {
        let Some(life) = self.life.as_mut().filter(|l| l.beat.born == born) else {
            return;
        };
        let clock_ms = reply.unwrap_or_else(|e| {
            warn!(self.log, "companion: stop failed"; "run" => %run, "error" => %e);
            None
        });
        life.starts.stop_answered(now, run, clock_ms);
    }

    /// Returns what to do now.
    pub fn run(&mut self, now: Instant) -> Vec<Act> {
        let mut acts = Vec::new();
        self.hold(now, &mut acts);
        self.send_orders(now, &mut acts);
        self.sync_due(now, &mut acts);
        acts
    }

    /// Returns when [`Keeper::run`] has something to do even if nothing happens.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let life = self.life.as_ref();
        let hold = life.and_then(|l| l.hold_after);
        let look = life
            .filter(|l| l.starts.awaits_listing() && !l.is_looking)
            .map(|l| l.looked_at.map_or(now, |at| at + LOOK_AFTER));
        let starts = life.and_then(|l| l.starts.next_due());
        let due = [hold, look, starts, self.syncs.next_due()];
        due.into_iter().flatten().min()
    }

    fn hold(&mut self, now: Instant, acts: &mut Vec<Act>) {
        let Some(life) = self.life.as_mut().filter(|l| !l.is_gone) else {
            return;
        };
        if life.hold_after.is_some_and(|at| at > now) {
            return;
        }
        let call = |life: &Life, wait: Duration| HoldCall {
            worker: life.beat.id.clone(),
            fence: life.fence,
            deadline_ms: life.deadline_ms,
            stored_ends: life.stored_ends,
            wait,
        };
        let is_look_due = life
            .looked_at
            .is_none_or(|at| now.duration_since(at) >= LOOK_AFTER);
        let wants_look = !life.is_listed() || life.starts.awaits_listing();
        if life.fence > 0 && wants_look && is_look_due && !life.is_looking {
            life.is_looking = true;
            life.looked_at = Some(now);
            acts.push(Act::Hold(life.beat.born, call(life, Duration::ZERO)));
        }
        if life.fence > 0 && !life.is_holding {
            life.is_holding = true;
            acts.push(Act::Hold(life.beat.born, call(life, HOLD_WAIT)));
        }
    }

    fn send_orders(&mut self, now: Instant, acts: &mut Vec<Act>) {
        let Some(life) = self.life.as_mut() else {
            return;
        };
        let (worker, fence, born) = (life.beat.id.clone(), life.fence, life.beat.born);
        for run in life.starts.take_due_stops(now) {
            life.stopped_at = now;
            let call = StopCall {
                worker: worker.clone(),
                fence,
                run,
            };
            acts.push(Act::Stop(born, call));
        }
        for (run, percent) in self.paces.drain(..) {
            acts.push(Act::Pace(PaceCall {
                worker: worker.clone(),
                fence,
                run,
                percent,
            }));
        }
        let Some(deadline_ms) = life.deadline_ms.filter(|_| !life.is_draining()) else {
            return;
        };
        for order in life.starts.take_due(now) {
            let call = StartCall {
                worker: worker.clone(),
                fence,
                deadline_ms,
                run: order.run,
                payload: order.payload,
                checkpoint: order.checkpoint,
                ticket: order.ticket,
            };
            acts.push(Act::Start(born, call));
        }
    }

    /// Returns what to tell the owner of the worker.
    pub(crate) fn worker_report(&self, now: Instant) -> Option<WorkerReport> {
        let life = self.life.as_ref()?;
        let beat = &life.beat;
        Some(WorkerReport {
            id: beat.id.clone(),
            born: beat.born,
            pool: beat.pool.clone(),
            zone: beat.zone.clone(),
            labels: beat.labels.clone(),
            capacity: beat.capacity,
            draining_ms: beat.draining.map(base::whole_ms),
            is_gone: life.is_gone,
            is_silent: life.is_silent(now),
            listing: life.listing.clone(),
            open: life.starts.open_runs(),
            rejected: life.starts.rejected(),
        })
    }

    pub(crate) fn take_paces(&mut self, paces: Vec<(TaskRun, u32)>) {
        self.paces.extend(paces);
    }
}
