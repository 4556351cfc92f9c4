//! The placer of one shard.

use base::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tables::{Pool, Weights};

use crate::cfg::PlacerCfg;
use crate::choose::EligibilityThresholds;
use crate::common_slowdown::CommonSlowdown;
use crate::escalation::Escalation;
use crate::health::{Access, Health};
use crate::interference::{ClassId, Interference, InterferenceOracle};
use crate::ledger::Ledger;
use crate::queue::{Queue, WaitState};
use crate::quota::Quotas;
use crate::reservation::Reservations;
use crate::rounds::Cursors;
use crate::rows::TaskRow;
use crate::sample::ServiceSample;
use crate::types::{
    Decision, Ended, EvictReason, Feasibility, PlacedTask, PlacementRequest, QuarantineView,
    Summary, WorkerView,
};
use crate::usage::Usage;

/// Decides which jobs run on which workers of one shard.
#[derive(Debug)]
pub struct Placer {
    pub(crate) cfg: PlacerCfg,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) weights: Weights,
    pub(crate) evictions_per_hour: u32,
    /// The names of the pool's workers; `None` if any of them is a pattern with `*`.
    named_workers: Option<Vec<Name>>,
    pub(crate) ledger: Ledger,
    pub(crate) queue: Queue,
    pub(crate) reservations: Reservations,
    pub(crate) quotas: Quotas,
    pub(crate) interference: Interference,
    pub(crate) common_slowdown: CommonSlowdown,
    pub(crate) usage: Usage,
    pub(crate) health: Health,
    pub(crate) escalation: Escalation,
    /// Evictions that were decided and have not yet happened, with the time of the last decision.
    pub(crate) evicting: IndexMap<TaskKey, (EvictReason, Instant)>,
    /// Workers whose tasks may use more memory than is allocatable.
    pub(crate) overcommitted: IndexSet<WorkerId>,
    /// The memory use of jobs that outgrew their grant, in mebibytes.
    pub(crate) outgrown_memory: IndexMap<JobId, u64>,
    /// Since when a team below its quota has had no placement.
    pub(crate) below_quota_since: IndexMap<TeamName, Instant>,
    pub(crate) leaving: IndexSet<WorkerId>,
    /// Unresponsive workers, until they have no tasks left.
    unresponsive: IndexSet<WorkerId>,
    /// Whether something changed that may allow a waiting job to start.
    pub(crate) dirty: bool,
    /// Samples of services since the last tick.
    pub(crate) service_samples: Vec<ServiceSample>,
    pub(crate) cursors: Cursors,
    /// The scores at which a worker is eligible for each waiting class.
    pub(crate) eligibility_thresholds: IndexMap<ClassId, EligibilityThresholds>,
    /// For how many more jobs this call pre-empts tasks or reserves a worker.
    pub(crate) preemptions_left: usize,
    pub(crate) last_tick: Option<Instant>,
    pub(crate) last_retry: Option<Instant>,
    /// Decisions beyond the limit of the last call.
    pub(crate) backlog: Vec<Decision>,
    first_seen: Option<Instant>,
    discovered: bool,
}

impl Placer {
    /// Creates a placer without workers; `seed` seeds the random generator that breaks ties.
    pub fn new(cfg: PlacerCfg, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            weights: Weights {
                tail: 0.34,
                throughput: 0.33,
                evictions: 0.33,
            },
            evictions_per_hour: cfg.escalation.evictions_per_hour,
            named_workers: None,
            ledger: Ledger::new(cfg.interference.history),
            queue: Queue::new(cfg.queue.clone()),
            reservations: Reservations::default(),
            quotas: Quotas::new(&IndexMap::new()),
            interference: Interference::new(cfg.interference.clone(), cfg.features.forget),
            common_slowdown: CommonSlowdown::new(&cfg.interference),
            usage: Usage::default(),
            health: Health::new(cfg.health.clone()),
            escalation: Escalation::new(cfg.escalation.clone()),
            evicting: IndexMap::new(),
            overcommitted: IndexSet::new(),
            outgrown_memory: IndexMap::new(),
            below_quota_since: IndexMap::new(),
            leaving: IndexSet::new(),
            unresponsive: IndexSet::new(),
            dirty: true,
            service_samples: Vec::new(),
            cursors: Cursors::default(),
            eligibility_thresholds: IndexMap::new(),
            preemptions_left: 0,
            last_tick: None,
            last_retry: None,
            backlog: Vec::new(),
            first_seen: None,
            discovered: false,
            cfg,
        }
    }

    /// Uses the oracle's interference instead of measurements, for experiments.
    #[must_use]
    pub fn with_oracle(mut self, oracle: Box<dyn InterferenceOracle>) -> Self {
        self.interference.set_oracle(oracle);
        self
    }

    /// Sets the row of the pools table that the shard belongs to.
    pub fn set_pool(&mut self, now: Instant, pool: &Pool) {
        let open = pool.workers.iter().any(|name| name.contains('*'));
        self.named_workers = (!open).then(|| pool.workers.clone());
        self.weights = pool.weights;
        self.evictions_per_hour = pool.evictions_per_hour;
        self.quotas = Quotas::new(&pool.teams);
        self.ledger.set_reserved(pool.reserved);
        let workers: Vec<_> = self.ledger.workers.keys().cloned().collect();
        for worker in workers {
            self.reindex(now, &worker);
        }
        self.unpark();
        self.dirty = true;
    }

    /// Records a worker's report; cheap if nothing changed.
    pub fn worker_seen(&mut self, now: Instant, worker: WorkerView) {
        self.first_seen.get_or_insert(now);
        let id = worker.worker.clone();
        let leaving = worker.leaving;
        if !self.ledger.worker_seen(worker) {
            return;
        }
        self.unresponsive.swap_remove(&id);
        if leaving {
            self.leaving.insert(id.clone());
        } else {
            self.leaving.swap_remove(&id);
        }
        self.reindex(now, &id);
        self.unpark();
        self.dirty = true;
    }

    /// Records that a worker is unresponsive: it gets no tasks, and its tasks count until they end.
    pub fn worker_gone(&mut self, now: Instant, worker: &WorkerId) {
        if !self.ledger.worker_gone(worker) {
            return;
        }
        self.leaving.swap_remove(worker);
        self.unresponsive.insert(worker.clone());
        self.reindex(now, worker);
        self.forget_if_empty(worker);
        self.dirty = true;
    }

    /// Forgets an unresponsive worker, with the evidence about it, once it has no tasks; a
    /// quarantined one is kept.
    fn forget_if_empty(&mut self, worker: &WorkerId) {
        let quarantined = self.health.is_quarantined(worker);
        if quarantined
            || !self.unresponsive.contains(worker)
            || !self.ledger.forget_if_empty(worker)
        {
            return;
        }
        self.unresponsive.swap_remove(worker);
        self.escalation.forget_worker(worker);
        self.health.forget_worker(worker);
        self.overcommitted.swap_remove(worker);
    }

    /// Returns whether a job can run in the pool at all, which is checked at its submission.
    pub fn check(&self, request: &PlacementRequest) -> Feasibility {
        if let Some(share) =
            self.quotas
                .exceeded_quota(&self.ledger, &request.team, request.resources)
            && self.discovered
        {
            let (team, need) = (&request.team, request.resources);
            let reason = format!("team {team} may hold {share} of the pool; the job asks {need}");
            return Feasibility::Infeasible {
                reason: reason.into(),
            };
        }
        if self.fits_some_worker(&request.resources) {
            return Feasibility::Feasible;
        }
        let largest = self.ledger.largest;
        let reason = format!(
            "no worker offers {}; the largest {largest}",
            request.resources
        );
        let reason = Name::from(reason);
        if self.discovered && self.all_present() {
            Feasibility::Infeasible { reason }
        } else {
            Feasibility::FeasibleLater { reason }
        }
    }

    fn fits_some_worker(&self, need: &Resources) -> bool {
        self.ledger
            .workers
            .values()
            .filter(|row| row.present && !row.view.leaving)
            .any(|row| need.fits(&self.ledger.allocatable(row)))
    }

    /// Returns true if the pool lists all its workers by name and every one is present.
    fn all_present(&self) -> bool {
        self.named_workers.as_ref().is_some_and(|names| {
            names.iter().all(|name| {
                let row = self.ledger.workers.get(&WorkerId::new(Name::clone(name)));
                row.is_some_and(|row| row.present)
            })
        })
    }

    /// Queues a job, or replaces the queued job with the same id.
    pub fn job_queued(&mut self, now: Instant, job: PlacementRequest) {
        self.withdraw(&job.job);
        let class = self.interference.class(&job.class);
        let feasibility = self.check(&job);
        let id = job.job.clone();
        self.queue
            .add(now, job, class, feasibility != Feasibility::Feasible);
        if let Feasibility::FeasibleLater { reason } | Feasibility::Infeasible { reason } =
            feasibility
        {
            self.queue.set_reason(&id, reason);
        }
        self.dirty = true;
    }

    /// Removes a waiting job, including a pending placement of it.
    pub fn job_removed(&mut self, job: &JobId) {
        self.withdraw(job);
        self.forget_job(job);
    }

    /// Forgets a job that will not run again.
    fn forget_job(&mut self, job: &JobId) {
        self.queue.forget(job);
        self.outgrown_memory.swap_remove(job);
        self.health.forget_job(job);
    }

    fn withdraw(&mut self, job: &JobId) {
        self.queue.remove(job);
        self.release(job);
        self.drop_placement(job);
    }

    /// Records a task that was committed, or found running during a recovery.
    pub fn task_placed(&mut self, now: Instant, task: PlacedTask) {
        self.queue.remove(&task.key.job);
        self.release(&task.key.job);
        let class = self.interference.class(&task.class);
        let worker = task.worker.clone();
        self.ledger.place(now, task, class);
        self.reindex(now, &worker);
    }

    /// Reverts a placement that could not be committed; the job returns to the queue.
    pub fn placement_dropped(&mut self, job: &JobId) {
        self.drop_placement(job);
        let pending = self
            .queue
            .jobs
            .get(job)
            .is_some_and(|waiting| waiting.state == WaitState::Pending);
        if pending {
            self.queue.make_ready(job);
        }
    }

    fn drop_placement(&mut self, job: &JobId) {
        let Some(now) = self.last_tick else {
            return;
        };
        if let Some(worker) = self.ledger.drop_pending(now, job) {
            self.health.clear_probe(&worker, job);
            self.reindex(now, &worker);
            self.dirty = true;
        }
    }

    /// Frees the resources of a task that ended and records its outcome.
    pub fn task_ended(&mut self, now: Instant, key: &TaskKey, ended: Ended) {
        let asked = self.evicting.swap_remove(key);
        let Some(row) = self.ledger.end(now, key) else {
            return;
        };
        let worker = row.task.worker.clone();
        match ended {
            Ended::Finished => {
                self.record_run_time(now, &row);
                self.health.record_success(&worker, &key.job, row.class);
            }
            Ended::Failed => {
                // A failed job may not be queued again, so the time it was first queued is dropped.
                self.queue.forget(&key.job);
                let workers = self.ledger.workers.len();
                self.health
                    .record_failure(now, &worker, &key.job, row.class, workers);
            }
            Ended::Evicted => {
                if let Some((_, at)) = asked {
                    let took = now.saturating_duration_since(at);
                    self.usage.record_checkpoint(row.class, took);
                }
                self.health.clear_probe(&worker, &key.job);
            }
            Ended::Lost | Ended::Cancelled => self.health.clear_probe(&worker, &key.job),
        }
        if matches!(ended, Ended::Finished | Ended::Cancelled) {
            self.forget_job(&key.job);
        }
        self.reindex(now, &worker);
        self.forget_if_empty(&worker);
        self.dirty = true;
    }

    /// Records the measured run time of a finished task.
    fn record_run_time(&mut self, now: Instant, row: &TaskRow) {
        let Some(declared) = row.task.run_time else {
            return;
        };
        if row.throttle < 1.0 {
            return;
        }
        let ran = now.saturating_duration_since(row.placed_at);
        let measured = row.task.work_done + ran.mul_f64(row.speed.clamp(0.05, 1.0));
        self.usage.record_run(row.class, declared, measured);
    }

    /// Releases the reservation of a job.
    pub(crate) fn release(&mut self, job: &JobId) {
        if let Some(worker) = self.reservations.remove(job, &mut self.ledger)
            && let Some(now) = self.last_tick
        {
            self.reindex(now, &worker);
        }
    }

    /// Updates a worker's free resources in the index, or removes a worker that may get no tasks.
    pub(crate) fn reindex(&mut self, now: Instant, worker: &WorkerId) {
        let Some(row) = self.ledger.workers.get(worker) else {
            self.ledger.free_index.remove(worker);
            return;
        };
        let open = self.health.access(now, worker) != Access::Denied;
        if row.present && !row.view.leaving && open {
            let free = self.ledger.free_for_any(row);
            self.ledger.free_index.set(worker, free);
        } else {
            self.ledger.free_index.remove(worker);
        }
    }

    /// Moves parked jobs that now fit some worker to their lanes.
    pub(crate) fn unpark(&mut self) {
        let parked: Vec<_> = self.queue.parked().iter().cloned().collect();
        for job in parked {
            let feasibility = self.queue.jobs.get(&job).map(|w| self.check(&w.request));
            if feasibility == Some(Feasibility::Feasible) {
                self.queue.make_ready(&job);
            }
        }
    }

    /// Updates whether the pool's workers have had time to report.
    pub(crate) fn update_discovered(&mut self, now: Instant) {
        if let Some(first) = self.first_seen {
            self.discovered = now.saturating_duration_since(first) >= self.cfg.discovery_time;
        }
    }

    /// Returns true if a worker is quarantined, so that a job's failure there should not count
    /// against the job.
    pub fn is_worker_suspected(&self, worker: &WorkerId) -> bool {
        self.health.is_quarantined(worker)
    }

    /// Returns a human-readable reason why a job waits.
    pub fn why_waiting(&self, job: &JobId) -> Option<Name> {
        self.queue.reason(job)
    }

    /// Returns the workers that get no work because their tasks fail.
    pub fn quarantined(&self) -> Vec<QuarantineView> {
        self.health.views()
    }

    /// Returns counts and totals of the placer's state.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            quarantined: self.health.quarantined().len(),
            queued: self.queue.jobs.len(),
            parked: self.queue.parked().len(),
            placed: self.ledger.tasks.len() + self.ledger.pending.len(),
            throttled: self.ledger.throttled,
            ..Summary::default()
        };
        if let Some(now) = self.last_tick {
            summary.evictions_last_hour = self.escalation.evictions_last_hour(now);
        }
        for row in self.ledger.workers.values() {
            summary.allocated += row.allocated;
            if row.present && !row.view.leaving {
                summary.workers += 1;
                summary.capacity += self.ledger.allocatable(row);
            } else {
                summary.workers_unavailable += 1;
            }
        }
        summary
    }
}
