//! The entry that owns the jobs: accepts them, places their tasks and records finished runs.
//!
//! An owner is fenced in three ways: its writes expect its own key in the store, its orders carry
//! a fencing token that workers compare, and its leases expire by the workers' clocks. So an owner
//! that lost ownership without noticing it can't change any state that its successor knows. It must not
//! conclude anything from silence either: a worker that it can't hear may report to the successor.

mod adopt;
mod advice;
mod callers;
mod capacity;
mod colocation;
mod commit;
mod cordons;
mod crashes;
mod doubts;
mod faults;
mod finished;
mod gang;
mod health;
mod look_ahead;
mod orders;
mod owner_record;
mod placement;
mod processes;
mod proof;
mod ranking;
mod recent_usage;
mod run;
mod run_times;
mod service_load;
mod stall;
mod sync;
mod takeover;
mod throttle;
mod tombstones;
mod totals;
mod trials;
mod worker;

use std::cell::RefCell;

use base::prelude::*;
use cordon::Cordons;
use inherit::Inherited;
use ports::store::{Revision, StoreCall};
use runtimes::RunTimes;
use slog::{Logger, info, warn};

use self::advice::Advice;
use self::callers::OWNERSHIP_ENDED;
use self::colocation::ColocationModel;
use self::commit::Commits;
use self::faults::Faults;
use self::look_ahead::LookAhead;
use self::ranking::Throughput;
use self::tombstones::Cancellations;
use self::totals::StageKey;
use self::worker::Worker;
use crate::report::SyncReply;
use crate::{Job, JobReply, JobState, TaskId};

pub use self::advice::{AdviceRequest, StageId, Ticket};
pub use self::callers::STORE_UNAVAILABLE;
pub use self::owner_record::{EPOCH_KEY, OWNER_KEY, OwnerRecord, Replacement};
pub use self::ranking::{DeadlineClass, Urgency};
pub use self::takeover::{JOB_PREFIX, PROGRESS_PREFIX, VM_PREFIX};
pub use self::tombstones::TOMBSTONE_PREFIX;

/// Matches a reply to the pending call that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// Configuration of an owner.
#[derive(Clone, Debug)]
pub struct OwnerCfg {
    /// The epoch, higher than that of every earlier owner.
    pub epoch: Epoch,
    /// The store key that names the owner.
    pub owner_key: Name,
    /// The revision at which this owner wrote `owner_key`.
    pub owner_revision: Revision,
    /// How long workers run tasks after a report that the owner replied to.
    pub worker_lease: Duration,
    /// How long a previous owner may keep giving orders after the start of this one.
    pub predecessor_grace: Duration,
    /// How long the states of ended jobs can be queried.
    pub retention: Duration,
    /// How long after operators cordon an availability zone tasks may still start there; `None` if
    /// they can't cordon zones.
    pub cordon_bound: Option<Duration>,
}

/// An action that the owner requests from its caller.
#[derive(Debug)]
pub enum Effect {
    /// Send a caller the outcome of its request.
    Reply(Token, JobReply),
    /// Reply to a companion's report.
    Sync(Token, Box<SyncReply>),
    /// Make a store call and pass its reply to [`Owner::store_reply`].
    Store(u64, StoreCall),
    /// Look up in the store a job that this owner doesn't know, and reply to the caller.
    Lookup(Token, JobId),
    /// Send a request to the placement advisor and pass its response to
    /// [`Owner::handle_advice`].
    Advise(AdviceRequest),
    /// The owner's key is missing in the store; this entry has to take it again or step down.
    KeyMissing,
    /// Read the owner's key and pass when that was sent to [`Owner::ownership_proved`].
    ProveOwnership,
    /// Another entry owns the jobs; this one has to step down for the given reason.
    StepDown(&'static str),
}

/// Counts and durations since the last call of [`Owner::take_stats`], for metrics.
#[derive(Debug, Default)]
pub struct Stats {
    /// Events: what happened, and its outcome.
    pub events: Vec<(&'static str, &'static str)>,
    /// Durations, by what was measured.
    pub times: Vec<(&'static str, Duration)>,
}

/// The state of the entry that owns the jobs.
#[derive(Debug)]
pub struct Owner {
    cfg: OwnerCfg,
    log: Logger,
    jobs: IndexMap<JobId, Job>,
    /// The jobs whose stored records could not be decoded.
    unreadable: IndexSet<JobId>,
    /// Ids of the jobs that have not ended.
    active: IndexSet<JobId>,
    workers: IndexMap<Name, Worker>,
    commits: Commits,
    /// In a cell, because predictions assign ids to classes seen for the first time.
    colocation: RefCell<ColocationModel>,
    throughput: Throughput,
    run_times: RunTimes,
    look_ahead: LookAhead,
    advice: Advice,
    /// Callers waiting until the record of a new job is stored.
    pending_accepts: IndexMap<JobId, Vec<Token>>,
    /// Callers waiting until a cancellation is stored.
    pending_cancels: IndexMap<JobId, Vec<Token>>,
    /// The cancellations of jobs that are not among `jobs`.
    cancellations: Cancellations,
    effects: Vec<Effect>,
    stats: Stats,
    /// Whether a change since the last placement round may let a task start.
    is_round_due: bool,
    /// When a placement round is due even without a change.
    repeat_round: Option<Instant>,
    /// The earliest time of the next placement round.
    next_round: Option<Instant>,
    /// The stages that rounds have placed since the last one that reached all.
    placed_stages: IndexSet<StageKey>,
    /// Who is at fault for failed runs.
    faults: Faults,
    /// When runs were last checked for stalls.
    last_stall_check: Option<Instant>,
    /// Whether there may be evidence against a task of which it is not known whether the worker crashed.
    has_doubts: bool,
    /// When a worker last crashed without a primary suspect among its runs.
    unexplained_crash: Option<Instant>,
    /// When this owner first ran, by both clocks: a later step of the wall clock does not age ended jobs.
    first_run: Option<(Instant, u64)>,
    /// The cordoned availability zones; `None` if operators can't cordon any.
    cordons: Option<Cordons>,
    /// What inherited tasks wait for.
    inherited: Inherited<TaskId>,
    /// Until when no other entry is known to have owned the jobs.
    proved: Option<Instant>,
    /// Whether a lease has expired for which ownership is not proved.
    awaits_proof: bool,
}

impl Owner {
    /// Creates an owner without jobs; see [`Owner::load`].
    pub fn new(cfg: OwnerCfg, log: Logger) -> Self {
        Self {
            cordons: cfg.cordon_bound.map(Cordons::new),
            cancellations: Cancellations::new(&cfg),
            cfg,
            log,
            jobs: IndexMap::new(),
            unreadable: IndexSet::new(),
            active: IndexSet::new(),
            workers: IndexMap::new(),
            commits: Commits::default(),
            colocation: RefCell::new(ColocationModel::new()),
            throughput: Throughput::default(),
            run_times: RunTimes::default(),
            look_ahead: LookAhead::default(),
            advice: Advice::default(),
            pending_accepts: IndexMap::new(),
            pending_cancels: IndexMap::new(),
            effects: Vec::new(),
            stats: Stats::default(),
            is_round_due: true,
            repeat_round: None,
            next_round: None,
            placed_stages: IndexSet::new(),
            faults: Faults::default(),
            last_stall_check: None,
            // A previous owner may have left some.
            has_doubts: true,
            unexplained_crash: None,
            first_run: None,
            inherited: Inherited::default(),
            proved: None,
            awaits_proof: false,
        }
    }

    /// Returns the owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.cfg.epoch
    }

    /// Continues after the owner's key has been written again, at `revision`.
    pub fn resume(&mut self, revision: Revision) {
        self.cfg.owner_revision = revision;
        self.is_round_due = true;
    }

    /// Performs all work that is due and returns the resulting effects.
    pub fn run(&mut self, now: Instant, unix_ms: u64) -> Vec<Effect> {
        self.expire_workers(now);
        self.find_stalled(now);
        self.recheck_faults(now);
        self.end_retry_delays(now);
        self.place_tasks(now, unix_ms);
        self.throttle_best_effort(now);
        self.reply_to_reports(now);
        self.forget_ended(now, unix_ms);
        self.commit(now);
        std::mem::take(&mut self.effects)
    }

    /// Suspends ownership: replies to parked reports without orders or lease renewals, and refuses the
    /// jobs that were not sent to the store.
    pub fn pause(&mut self) -> Vec<Effect> {
        self.release_parked_reports();
        self.refuse_unsent(STORE_UNAVAILABLE);
        std::mem::take(&mut self.effects)
    }

    /// Returns when [`Owner::run`] has to be called next if no event comes before.
    pub fn next_due(&self, now: Instant) -> Instant {
        let mut due = now + IDLE_PERIOD;
        due = due.min(self.repeat_round.unwrap_or(due));
        for worker in self.workers.values() {
            due = due.min(worker.next_due(now, self.cfg.worker_lease));
        }
        due = due.min(self.faults.next_retry().unwrap_or(due));
        due.min(self.commits.next_due().unwrap_or(due))
    }

    /// Returns the statistics since the last call and resets them.
    pub fn take_stats(&mut self) -> Stats {
        std::mem::take(&mut self.stats)
    }

    /// Returns the number of jobs that have not ended, of runs and of known workers.
    pub fn counts(&self) -> (usize, usize, usize) {
        let runs = self.workers.values().map(|w| w.runs.len()).sum();
        (self.active.len(), runs, self.workers.len())
    }

    /// Replies to all pending callers and reports, as the owner steps down.
    pub fn step_down(mut self) -> Vec<Effect> {
        self.refuse_unsent(OWNERSHIP_ENDED);
        let waiting = self
            .pending_accepts
            .drain(..)
            .chain(self.pending_cancels.drain(..));
        let waiting = waiting.flat_map(|(_, tokens)| tokens);
        for token in waiting.chain(self.cancellations.drain_waiting()) {
            self.effects.push(Effect::Reply(token, JobReply::Unsure));
        }
        self.release_parked_reports();
        self.effects
    }

    /// Replies to parked reports as a non-owner, so that companions look for the new owner.
    fn release_parked_reports(&mut self) {
        for worker in self.workers.values_mut() {
            if let Some(parked) = worker.parked.take() {
                self.effects
                    .push(Effect::Sync(parked.token, Box::default()));
            }
        }
    }

    /// Ends a job in memory; its progress is stored by a later commit.
    fn end_job(&mut self, id: &JobId, state: JobState, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        info!(self.log, "owner: job ended";
            "job" => %id, "state" => ?state, "route" => %job.record.terms.route,
            "after_ms" => unix_ms.saturating_sub(job.record.accepted_unix_ms),
            "cause" => job.cause.as_deref());
        self.stats.events.push(("job", state.name()));
        job.state = state;
        job.ended_unix_ms = Some(unix_ms);
        job.mark_changed();
        self.active.swap_remove(id);
        self.commits.mark_progress(id);
        self.stop_all(id);
        self.colocation.get_mut().forget(id);
        self.advice.forget_job(id);
        self.forget_faults(id);
        self.is_round_due = true;
    }

    /// Orders a stop of every run of a job.
    fn stop_all(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let vms: IndexSet<&Name> = job.instances.iter().flat_map(|i| i.vms()).collect();
        for vm in vms {
            if let Some(worker) = self.workers.get_mut(vm) {
                worker.stop_job(id);
            }
        }
    }

    /// Removes a run that certainly no longer runs; its task may start again.
    fn release(&mut self, vm: &Name, run: &crate::TaskRun) {
        if let Some(job) = self.jobs.get_mut(&run.task.job)
            && let Some((instance, position)) = job.find(&run.task)
        {
            job.remove_run(instance, position, vm, run.attempt);
        }
        self.is_round_due = true;
    }

    /// Removes all runs of a worker on which nothing runs any more.
    fn release_all(&mut self, vm: &Name, why: &'static str) {
        let Some(worker) = self.workers.get_mut(vm) else {
            return;
        };
        let runs: Vec<_> = worker.runs.drain(..).map(|(run, _)| run).collect();
        worker.recount();
        if !runs.is_empty() {
            warn!(self.log, "owner: runs lost"; "vm" => %vm, "why" => why, "runs" => runs.len());
        }
        for run in runs {
            self.stats.events.push(("run", "lost"));
            info!(self.log, "owner: run lost"; "run" => %run, "vm" => %vm, "why" => why);
            self.release(vm, &run);
        }
    }
}

/// How often [`Owner::run`] is due when no event comes.
const IDLE_PERIOD: Duration = Duration::from_millis(250);
