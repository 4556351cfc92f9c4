//! One shard: its ownership, its placer, and the polls of its workers.

mod calls;
mod dependencies;
mod effects;
mod grace_period;
mod polls;

use base::prelude::*;
use journal::{Change, Job, JobState, Owner, OwnerCfg, Ticket};
use place::{Decision, PlacedTask, PlacementRequest, Placer, PlacerCfg};
use ports::store::{StoreCall, StoreReply};
use slog::{Logger, info};
use tables::Pool;
use wire::{ClaimReply, DoneAck, JobRef, JobStatus, Responder, SubmitReply};

use self::grace_period::{GracePeriod, Term};
use self::polls::PendingPoll;
use super::view::EndedJobs;
use crate::ports::StorePriority;

/// Maximum number of placement decisions applied per tick.
const DECISIONS_PER_TICK: usize = 256;

/// A store call of a shard, under the shard's own id.
#[derive(Debug)]
pub(super) struct ShardStoreCall {
    pub(super) id: u64,
    pub(super) priority: StorePriority,
    pub(super) call: StoreCall,
}

/// A caller that waits for a proposed change to be committed.
#[derive(Debug)]
enum Waiter {
    Submit {
        job: JobId,
        known: bool,
        reply: Responder<SubmitReply>,
    },
    Done(u64),
    Cancel(u64),
    Claim(Responder<ClaimReply>),
}

/// A call that waits for several proposed changes to be committed.
#[derive(Debug)]
struct ProposalGroup<K, R> {
    /// How many of the changes are not committed yet.
    pending: usize,
    keys: Vec<K>,
    reply: Responder<R>,
}

/// The state of a worker, as this owner knows it.
#[derive(Debug)]
struct WorkerState {
    /// When it last polled, or when this owner took over.
    last_seen: Instant,
    /// The incarnation of the companion that polled last.
    incarnation: Option<Incarnation>,
    /// Whether it has polled since this owner took over.
    has_polled: bool,
    pending_poll: Option<PendingPoll>,
    /// The tasks assigned to it.
    tasks: IndexSet<TaskKey>,
    is_gone: bool,
    /// The tasks whose loss is proposed because the worker was unresponsive.
    losses_proposed: IndexSet<TaskKey>,
}

/// One shard that this entry owns or stands by for.
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
    done_groups: IndexMap<u64, ProposalGroup<TaskKey, DoneAck>>,
    cancel_groups: IndexMap<u64, ProposalGroup<JobId, Vec<JobStatus>>>,
    /// Submissions that are proposed but not committed, by job key.
    submitting: IndexMap<JobKey, Ticket>,
    /// Tasks whose end or loss is proposed but not committed.
    ending: IndexSet<TaskKey>,
    /// Claims that are proposed but not committed.
    claiming: IndexMap<(RouteAddress, Name), Ticket>,
    /// Jobs that wait for a predecessor, by the predecessor's key.
    blocked: IndexMap<JobKey, IndexSet<JobId>>,
    evicting: IndexSet<TaskKey>,
    throttles: IndexMap<TaskKey, f64>,
    /// Workers whose orders may have changed since their last poll.
    changed: IndexSet<WorkerId>,
    /// When an order for a task was last sent.
    last_ordered: IndexMap<TaskKey, Instant>,
    next_job: u64,
    next_group: u64,
    /// Until then, tasks of workers that have not polled yet are not given up, since a previous
    /// owner may still keep them running.
    takeover_until: Instant,
    grace_period: Option<GracePeriod>,
    term: Option<Term>,
    store_calls: Vec<ShardStoreCall>,
    pub(super) ended_jobs: EndedJobs,
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
            last_ordered: IndexMap::new(),
            next_job: 0,
            next_group: 0,
            takeover_until: now,
            grace_period: None,
            term: None,
            store_calls: Vec::new(),
            ended_jobs: EndedJobs::default(),
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
        self.record_term();
        self.owner.reply(now, id, reply);
        self.apply_effects(now);
        // Commits may start or end tasks, which should not wait for the next tick.
        if self.owner.may_act(now) {
            self.apply_decisions(now);
            self.answer_changed(now);
        }
        self.commit(now);
    }

    /// Commits what is proposed, if a record may be written now.
    pub(super) fn commit(&mut self, now: Instant) {
        self.record_term();
        self.owner.set_wall(self.wall_ms());
        self.owner.tick(now);
        self.apply_effects(now);
    }

    /// Sets how long this entry waits before it claims the shard while there is no owner.
    pub(super) fn set_claim_delay(&mut self, delay: Duration) {
        self.owner.set_claim_delay(delay);
    }

    /// Steps down for good, committing the proposed changes first.
    pub(super) fn step_down(&mut self, now: Instant) {
        let is_sole = now >= self.takeover_until;
        self.owner.resign(now, is_sole);
        self.commit(now);
    }

    pub(super) fn tick(&mut self, now: Instant) {
        self.record_term();
        if self.owner.may_act(now) {
            self.commit_grace(now);
            self.expire_workers(now);
            self.apply_decisions(now);
            self.answer_polls(now);
        }
        self.tick_grace_period(now);
        self.commit(now);
    }

    /// Returns a job's status.
    pub(super) fn status(&self, job: &JobRef) -> Option<JobStatus> {
        let job = self.owner.state().find(job)?;
        Some(self.status_of(job))
    }

    fn status_of(&self, job: &Job) -> JobStatus {
        job.status(|| {
            self.unmet_dependency(job)
                .or_else(|| self.placer.why_waiting(&job.id))
                .unwrap_or_else(|| "queued".into())
        })
    }

    /// Rebuilds the placer's view from the recovered state.
    fn activated(&mut self, now: Instant, epoch: Epoch) {
        info!(self.log, "shard: owns {} in epoch {}", self.shard, epoch);
        self.release_polls(None);
        self.reset_volatile_state(now);
        self.grace_period = None;
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

    /// Drops all state that a takeover rebuilds from the log or from polls.
    fn reset_volatile_state(&mut self, now: Instant) {
        self.placer = Placer::new(PlacerCfg::default(), self.placer_seed);
        if let Some(pool) = &self.pool {
            self.placer.set_pool(now, pool);
        }
        self.workers.clear();
        self.changed.clear();
        self.blocked.clear();
        self.evicting.clear();
        self.throttles.clear();
        self.last_ordered.clear();
        self.ending.clear();
        self.submitting.clear();
        self.claiming.clear();
    }

    fn adopt(&mut self, now: Instant, job: &Job, worker: &WorkerId, granted: Resources) {
        let key = job.task_key();
        self.placer
            .task_placed(now, placed_task(job, worker, granted));
        self.worker_mut(now, worker).tasks.insert(key);
        self.changed.insert(worker.clone());
    }

    /// Returns the state of a worker, adding the worker if it is not known yet.
    fn worker_mut(&mut self, now: Instant, worker: &WorkerId) -> &mut WorkerState {
        self.workers
            .entry(worker.clone())
            .or_insert_with(|| WorkerState {
                last_seen: now,
                incarnation: None,
                has_polled: false,
                pending_poll: None,
                tasks: IndexSet::new(),
                is_gone: false,
                losses_proposed: IndexSet::new(),
            })
    }

    fn placement_request(&self, job: &Job, now: Instant) -> PlacementRequest {
        let spec = &job.spec;
        let age = self.wall_ms().saturating_sub(job.submitted_at_ms);
        let finish_by = spec
            .finish_within
            .map(|within| now + within.saturating_sub(Duration::from_millis(age)));
        PlacementRequest {
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
        base::unix_ms(self.clock.wall())
    }

    fn apply_decisions(&mut self, now: Instant) {
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

    /// Marks the worker of a task as one whose orders may have changed.
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

    /// Returns true if a cancellation of the job is proposed but not committed.
    fn is_being_cancelled(&self, job: &JobId) -> bool {
        self.owner
            .proposed()
            .any(|change| matches!(change, Change::Cancelled { job: other } if other == job))
    }
}

/// Converts a committed assignment to the placer's type.
fn placed_task(job: &Job, worker: &WorkerId, granted: Resources) -> PlacedTask {
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
