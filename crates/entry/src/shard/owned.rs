//! One shard: its ownership, its placer, and the polls of its workers.

mod after;
mod calls;
mod polls;
mod riding;

use std::time::UNIX_EPOCH;

use base::prelude::*;
use journal::{Change, DeposedBy, Effect, Job, JobState, Owner, OwnerCfg, Ticket, Urgency};
use place::{Decision, Ended, JobAsk, PlacedTask, Placer, PlacerCfg};
use platform::store::{StoreCall, StoreReply};
use slog::{Logger, error, info, warn};
use tables::Pool;
use wire::{ClaimReply, DoneAck, JobRef, JobStatus, Reply, SubmitReply, TaskEnd};

use self::polls::HeldPoll;
use self::riding::{Riding, Term};
use super::view::Ends;
use crate::ports::StorePriority;

/// How many decisions one tick carries out at most.
const DECISIONS_PER_TICK: usize = 256;

/// A store call of a shard, under the shard's own id.
#[derive(Debug)]
pub(super) struct ShardStoreCall {
    pub(super) id: u64,
    pub(super) priority: StorePriority,
    pub(super) call: StoreCall,
}

/// Who waits for a proposal.
#[derive(Debug)]
enum Waiter {
    Submit {
        job: JobId,
        known: bool,
        reply: Reply<SubmitReply>,
    },
    Done(u64),
    Cancel(u64),
    Claim(Reply<ClaimReply>),
}

/// A call that waits for several proposals.
#[derive(Debug)]
struct Group<K, R> {
    open: usize,
    keys: Vec<K>,
    reply: Reply<R>,
}

/// What is known of a worker.
#[derive(Debug)]
struct WorkerState {
    /// When it last polled, or when this owner took over.
    heard: Instant,
    /// The life of the companion that polled last.
    incarnation: Option<Incarnation>,
    /// Whether it polled this owner.
    has_polled: bool,
    held: Option<HeldPoll>,
    /// The tasks that belong to it.
    tasks: IndexSet<TaskKey>,
    is_gone: bool,
    /// The tasks that are being given up because of its silence.
    losing: IndexSet<TaskKey>,
}

/// One shard, owned or stood by for.
pub(super) struct Shard {
    pub(super) owner: Owner,
    pub(super) placer: Placer,
    placer_seed: u64,
    pub(super) pool: Option<Arc<Pool>>,
    pub(super) shard: ShardId,
    clock: Arc<dyn Clock>,
    log: Logger,
    workers: IndexMap<WorkerId, WorkerState>,
    waiters: IndexMap<Ticket, Vec<Waiter>>,
    done_groups: IndexMap<u64, Group<TaskKey, DoneAck>>,
    cancel_groups: IndexMap<u64, Group<JobId, Vec<JobStatus>>>,
    submitting: IndexMap<JobKey, Ticket>,
    ending: IndexSet<TaskKey>,
    claiming: IndexMap<(RouteName, Name), Ticket>,
    /// Jobs that wait, by the key of the job that they wait for.
    blocked: IndexMap<JobKey, IndexSet<JobId>>,
    evicting: IndexSet<TaskKey>,
    throttles: IndexMap<TaskKey, f64>,
    /// Workers that may have something to learn.
    changed: IndexSet<WorkerId>,
    /// When an order for a task was last sent.
    ordered: IndexMap<TaskKey, Instant>,
    next_job: u64,
    next_group: u64,
    takeover_until: Instant,
    riding: Option<Riding>,
    term: Option<Term>,
    store_calls: Vec<ShardStoreCall>,
    pub(super) ends: Ends,
}

impl Shard {
    pub(super) fn new(
        cfg: OwnerCfg,
        clock: Arc<dyn Clock>,
        log: &Logger,
        now: Instant,
        seed: u64,
    ) -> Self {
        Self {
            shard: cfg.shard,
            owner: Owner::new(cfg, now, seed),
            placer: Placer::new(PlacerCfg::default(), seed),
            placer_seed: seed,
            pool: None,
            clock,
            log: log.clone(),
            workers: IndexMap::new(),
            waiters: IndexMap::new(),
            done_groups: IndexMap::new(),
            cancel_groups: IndexMap::new(),
            submitting: IndexMap::new(),
            ending: IndexSet::new(),
            claiming: IndexMap::new(),
            blocked: IndexMap::new(),
            evicting: IndexSet::new(),
            throttles: IndexMap::new(),
            changed: IndexSet::new(),
            ordered: IndexMap::new(),
            next_job: 0,
            next_group: 0,
            takeover_until: now,
            riding: None,
            term: None,
            store_calls: Vec::new(),
            ends: Ends::default(),
        }
    }

    pub(super) fn set_pool(&mut self, now: Instant, pool: &Arc<Pool>) {
        self.pool = Some(Arc::clone(pool));
        self.placer.set_pool(now, pool);
        self.commit_grace(now);
    }

    pub(super) fn may_act(&self, now: Instant) -> bool {
        self.owner.may_act(now)
    }

    pub(super) fn take_store_calls(&mut self) -> Vec<ShardStoreCall> {
        std::mem::take(&mut self.store_calls)
    }

    pub(super) fn store_reply(&mut self, now: Instant, id: u64, reply: Result<StoreReply>) {
        self.note_term();
        self.owner.reply(now, id, reply);
        self.carry_out(now);
        // What was committed may start or end something: nobody waits for the next tick.
        if self.owner.may_act(now) {
            self.decide(now);
            self.answer_changed(now);
        }
        self.commit(now);
    }

    /// Commits what is proposed, if a record may be written now.
    pub(super) fn commit(&mut self, now: Instant) {
        self.note_term();
        self.owner.set_wall(self.wall_ms());
        self.owner.tick(now);
        self.carry_out(now);
    }

    /// Sets how long the shard is left to others while it has no owner.
    pub(super) fn set_claim_delay(&mut self, delay: Duration) {
        self.owner.set_claim_delay(delay);
    }

    /// Gives the shard up for good, what is proposed committed first.
    pub(super) fn resign(&mut self, now: Instant) {
        let is_sole = now >= self.takeover_until;
        self.owner.resign(now, is_sole);
        self.commit(now);
    }

    pub(super) fn tick(&mut self, now: Instant) {
        self.note_term();
        if self.owner.may_act(now) {
            self.commit_grace(now);
            self.expire_workers(now);
            self.decide(now);
            self.answer_polls(now);
        }
        self.ride(now);
        self.commit(now);
    }

    /// Returns a job's status.
    pub(super) fn status(&self, job: &JobRef) -> Option<JobStatus> {
        let job = self.owner.state().find(job)?;
        Some(self.status_of(job))
    }

    fn status_of(&self, job: &Job) -> JobStatus {
        job.status(|| {
            self.waits_for(job)
                .or_else(|| self.placer.why_waiting(&job.id))
                .unwrap_or_else(|| "queued".into())
        })
    }

    /// Carries out what the owner asks for.
    fn carry_out(&mut self, now: Instant) {
        for effect in self.owner.take_effects() {
            match effect {
                Effect::Store { id, urgency, call } => {
                    let priority = match urgency {
                        Urgency::Lease => StorePriority::Lease,
                        Urgency::Commit => StorePriority::Commit,
                        Urgency::Snapshot => StorePriority::Snapshot,
                    };
                    self.store_calls.push(ShardStoreCall { id, priority, call });
                }
                Effect::Activated(epoch) => self.activated(now, epoch),
                Effect::Committed(ticket, change) => self.committed(now, ticket, &change),
                Effect::Unknown(ticket) => self.unknown(ticket),
                Effect::Dropped(ticket) => self.dropped(ticket),
                Effect::Deposed(by) => self.deposed(now, by),
                Effect::Elsewhere(owner) => self.riding_ends(&owner),
                Effect::Stuck(e) => error!(self.log, "shard: {} is stuck: {}", self.shard, e),
            }
        }
    }

    /// Rebuilds the placer's view from the recovered state.
    fn activated(&mut self, now: Instant, epoch: Epoch) {
        info!(self.log, "shard: owns {} in epoch {}", self.shard, epoch);
        self.release_polls(None);
        self.forget_all(now);
        self.riding = None;
        self.takeover_until = now + self.takeover_wait();
        self.commit_grace(now);
        let state = self.owner.state();
        let open = state.jobs().values().filter(|job| !job.is_ended());
        let mut jobs: Vec<Job> = open.cloned().collect();
        jobs.sort_by_key(|job| job.submitted_at_ms);
        for job in jobs {
            match &job.state {
                JobState::Assigned { worker, granted } => {
                    self.adopt(now, &job, worker, *granted);
                }
                _ => self.queue(now, &job),
            }
        }
    }

    fn forget_all(&mut self, now: Instant) {
        self.placer = Placer::new(PlacerCfg::default(), self.placer_seed);
        if let Some(pool) = &self.pool {
            self.placer.set_pool(now, pool);
        }
        self.workers.clear();
        self.changed.clear();
        self.blocked.clear();
        self.evicting.clear();
        self.throttles.clear();
        self.ordered.clear();
        self.ending.clear();
        self.submitting.clear();
        self.claiming.clear();
    }

    fn adopt(&mut self, now: Instant, job: &Job, worker: &WorkerId, granted: Resources) {
        let key = job.task_key();
        self.placer
            .task_placed(now, placed_of(job, worker, granted));
        self.worker(now, worker).tasks.insert(key);
        self.changed.insert(worker.clone());
    }

    fn worker(&mut self, now: Instant, worker: &WorkerId) -> &mut WorkerState {
        self.workers
            .entry(worker.clone())
            .or_insert_with(|| WorkerState {
                heard: now,
                incarnation: None,
                has_polled: false,
                held: None,
                tasks: IndexSet::new(),
                is_gone: false,
                losing: IndexSet::new(),
            })
    }

    fn ask_of(&self, job: &Job, now: Instant) -> JobAsk {
        let spec = &job.spec;
        let age = self.wall_ms().saturating_sub(job.submitted_at_ms);
        let finish_by = spec
            .finish_within
            .map(|within| now + within.saturating_sub(Duration::from_millis(age)));
        JobAsk {
            job: job.id.clone(),
            team: spec.team.clone(),
            class: spec.class.clone(),
            priority: spec.priority,
            resources: spec.resources,
            run_time: spec.run_time,
            finish_by,
            work_done: job.checkpoint.as_ref().map_or(Duration::ZERO, |c| c.done),
            failures: job.errors.len() as u32,
        }
    }

    pub(super) fn wall_ms(&self) -> u64 {
        let since = self
            .clock
            .wall()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        since.as_millis() as u64
    }

    fn decide(&mut self, now: Instant) {
        for decision in self.placer.decide(now, DECISIONS_PER_TICK) {
            match decision {
                Decision::Place {
                    job,
                    worker,
                    granted,
                } => {
                    self.assign(now, &job, worker, granted);
                }
                Decision::Throttle { key, share } => {
                    self.mark_changed(&key);
                    self.throttles.insert(key, share);
                }
                Decision::Evict { key, why } => {
                    info!(self.log, "shard: evicts {}: {}", key, why.as_str());
                    self.mark_changed(&key);
                    self.evicting.insert(key);
                }
            }
        }
    }

    /// Notes that the worker of a task may have something to learn.
    fn mark_changed(&mut self, key: &TaskKey) {
        let of = self.workers.iter().find(|(_, w)| w.tasks.contains(key));
        if let Some((name, _)) = of {
            self.changed.insert(name.clone());
        }
    }

    fn assign(&mut self, now: Instant, job: &JobId, worker: WorkerId, granted: Resources) {
        let Some(job) = self
            .owner
            .state()
            .job(job)
            .filter(|j| j.state == JobState::Queued && !self.is_being_cancelled(&j.id))
        else {
            self.placer.placement_dropped(job);
            return;
        };
        let key = TaskKey {
            job: job.id.clone(),
            attempt: job.attempt.next(),
        };
        self.owner.propose(
            now,
            Change::Assigned {
                key,
                worker,
                granted,
            },
        );
    }

    /// Tells whether a cancellation of the job is proposed and not committed yet.
    fn is_being_cancelled(&self, job: &JobId) -> bool {
        self.owner
            .proposed()
            .any(|change| matches!(change, Change::Cancelled { job: other } if other == job))
    }

    fn committed(&mut self, now: Instant, ticket: Ticket, change: &Change) {
        self.note_end(change);
        match change {
            Change::Submitted { job, spec, .. } => {
                self.submitting.swap_remove(&spec.key);
                if let Some(job) = self.owner.state().job(job).cloned() {
                    self.queue(now, &job);
                }
            }
            Change::Assigned {
                key,
                worker,
                granted,
            } => {
                self.assigned(now, key, worker, *granted);
            }
            Change::Ended { key, end } => {
                self.ending.swap_remove(key);
                self.task_over(now, key, ended_of(end));
            }
            Change::Lost { key } => {
                self.ending.swap_remove(key);
                self.task_over(now, key, Ended::Lost);
            }
            Change::Cancelled { job } => self.job_cancelled(now, job),
            Change::Claimed { claim, .. } => {
                let at = (claim.route.clone(), Arc::clone(&claim.key));
                self.claiming.swap_remove(&at);
            }
            Change::Abandoned { job, .. } => self.job_cancelled(now, job),
            Change::Clock { .. } | Change::Grace { .. } | Change::HandedOver => {}
        }
        self.tell_waiters(ticket);
    }

    fn assigned(&mut self, now: Instant, key: &TaskKey, worker: &WorkerId, granted: Resources) {
        let Some(job) = self.owner.state().job(&key.job).cloned() else {
            return;
        };
        let is_current = job.task_key() == *key && self.owner.state().is_current(key);
        if !is_current {
            self.placer.placement_dropped(&key.job);
            return;
        }
        self.adopt(now, &job, worker, granted);
    }

    /// Drops an ended task and queues its job again where it has not come to its end.
    fn task_over(&mut self, now: Instant, key: &TaskKey, ended: Ended) {
        self.placer.task_ended(now, key, ended);
        self.evicting.swap_remove(key);
        self.throttles.swap_remove(key);
        self.ordered.swap_remove(key);
        self.mark_changed(key);
        for worker in self.workers.values_mut() {
            worker.tasks.swap_remove(key);
            worker.losing.swap_remove(key);
        }
        let job = self
            .owner
            .state()
            .job(&key.job)
            .filter(|job| job.state == JobState::Queued);
        if let Some(job) = job.cloned() {
            self.queue(now, &job);
        }
        self.release_after(now, &key.job);
    }

    fn job_cancelled(&mut self, now: Instant, job: &JobId) {
        self.placer.job_removed(job);
        let Some(key) = self.owner.state().job(job).map(Job::task_key) else {
            return;
        };
        self.task_over(now, &key, Ended::Cancelled);
    }

    fn unknown(&mut self, ticket: Ticket) {
        for waiter in self.waiters.swap_remove(&ticket).unwrap_or_default() {
            match waiter {
                Waiter::Submit { reply, .. } => reply.send(SubmitReply::Unknown),
                Waiter::Claim(reply) => reply.send(ClaimReply::Unknown),
                Waiter::Done(_) | Waiter::Cancel(_) => {}
            }
        }
    }

    /// Answers those who waited for a change that will never be committed.
    fn dropped(&mut self, ticket: Ticket) {
        let reason = || Name::from("not-committed");
        if self.owner.epoch().is_some() {
            // The change alone was refused: its key is free for another try.
            self.submitting.retain(|_, of| *of != ticket);
            self.claiming.retain(|_, of| *of != ticket);
        }
        for waiter in self.waiters.swap_remove(&ticket).unwrap_or_default() {
            match waiter {
                Waiter::Submit { reply, .. } => {
                    reply.send(SubmitReply::Refused { reason: reason() });
                }
                Waiter::Claim(reply) => reply.send(ClaimReply::Refused { reason: reason() }),
                Waiter::Done(_) | Waiter::Cancel(_) => {}
            }
        }
    }

    fn deposed(&mut self, now: Instant, by: DeposedBy) {
        warn!(self.log, "shard: no longer owns {}: {:?}", self.shard, by);
        for (_, group) in self.done_groups.drain(..) {
            group.reply.send(DoneAck::default());
        }
        // What became of the cancellations is not known: no answer says so.
        self.cancel_groups.clear();
        match by {
            DeposedBy::LeaseEnd => self.riding_begins(now),
            DeposedBy::Another | DeposedBy::Resignation => self.release_polls(None),
        }
    }
}

/// Returns the placer's word for a committed assignment.
fn placed_of(job: &Job, worker: &WorkerId, granted: Resources) -> PlacedTask {
    PlacedTask {
        key: job.task_key(),
        worker: worker.clone(),
        class: job.spec.class.clone(),
        team: job.spec.team.clone(),
        priority: job.spec.priority,
        granted,
        run_time: job.spec.run_time,
        work_done: job.checkpoint.as_ref().map_or(Duration::ZERO, |c| c.done),
    }
}

/// Returns the placer's word for how a task ended.
fn ended_of(end: &TaskEnd) -> Ended {
    match end {
        TaskEnd::Finished => Ended::Finished,
        TaskEnd::Failed { .. } => Ended::Failed,
        TaskEnd::Stopped { .. } => Ended::Evicted,
        TaskEnd::Lost => Ended::Lost,
    }
}
