//! The placer of one shard.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use base::prelude::*;
use platform::worker::UsageSample;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tables::{Pool, Priority};

use crate::cfg::PlacerCfg;
use crate::ledger::Ledger;
use crate::types::{
    Decision, Ended, JobAsk, PlacedTask, QuarantineView, Summary, Verdict, WorkerView,
};

/// The order in which waiting jobs are looked at.
type Rank = (Reverse<Priority>, Option<Instant>, u64);

/// A waiting job.
#[derive(Debug)]
struct Waiting {
    ask: JobAsk,
    rank: Rank,
    why: Option<Name>,
}

/// Decides what runs where on the workers of one shard.
#[derive(Debug)]
pub struct Placer {
    cfg: PlacerCfg,
    _rng: ChaCha8Rng,
    pool: Option<Pool>,
    ledger: Ledger,
    waiting: IndexMap<JobId, Waiting>,
    order: BTreeSet<(Rank, JobId)>,
    arrivals: u64,
}

impl Placer {
    /// Creates a placer without workers; `seed` settles every tie.
    pub fn new(cfg: PlacerCfg, seed: u64) -> Self {
        Self {
            cfg,
            _rng: ChaCha8Rng::seed_from_u64(seed),
            pool: None,
            ledger: Ledger::default(),
            waiting: IndexMap::new(),
            order: BTreeSet::new(),
            arrivals: 0,
        }
    }

    /// Sets the row of the pools table that the shard belongs to.
    pub fn set_pool(&mut self, _now: Instant, pool: &Pool) {
        self.ledger.set_reserved(pool.reserved);
        self.pool = Some(pool.clone());
    }

    /// Notes a worker; cheap when nothing changed.
    pub fn worker_seen(&mut self, _now: Instant, worker: WorkerView) {
        self.ledger.worker_seen(worker);
    }

    /// Notes that a worker is silent: it gets nothing, and its tasks count until they end.
    pub fn worker_gone(&mut self, _now: Instant, worker: &WorkerId) {
        self.ledger.worker_gone(worker);
    }

    /// Tells whether a job can run at all, for its submission.
    pub fn check(&self, ask: &JobAsk) -> Verdict {
        let fits = self
            .ledger
            .workers()
            .any(|row| ask.resources.fits(&self.ledger.offer(row)));
        if fits {
            return Verdict::Fits;
        }
        Verdict::MayFitLater {
            reason: format!("no worker holds {}", ask.resources).into(),
        }
    }

    /// Queues a job, or replaces what was queued under its name.
    pub fn job_queued(&mut self, _now: Instant, job: JobAsk) {
        self.job_removed(&job.job);
        self.arrivals += 1;
        let rank = (Reverse(job.priority), job.finish_by, self.arrivals);
        self.order.insert((rank, job.job.clone()));
        let waiting = Waiting {
            rank,
            why: None,
            ask: job,
        };
        self.waiting.insert(waiting.ask.job.clone(), waiting);
    }

    /// Forgets a waiting job, whose placement may be under way.
    pub fn job_removed(&mut self, job: &JobId) {
        if let Some(old) = self.waiting.swap_remove(job) {
            self.order.remove(&(old.rank, job.clone()));
        }
        self.ledger.drop_hold(job);
    }

    /// Counts a task that was committed, or found running at a recovery.
    pub fn task_placed(&mut self, _now: Instant, task: PlacedTask) {
        if let Some(old) = self.waiting.swap_remove(&task.key.job) {
            self.order.remove(&(old.rank, task.key.job.clone()));
        }
        self.ledger.place(task);
    }

    /// Takes back a placement that could not be committed; the job waits on.
    pub fn placement_dropped(&mut self, job: &JobId) {
        if !self.ledger.drop_hold(job) {
            return;
        }
        if let Some(waiting) = self.waiting.get(job) {
            self.order.insert((waiting.rank, job.clone()));
        }
    }

    /// Gives back the room of a task that ended.
    pub fn task_ended(&mut self, _now: Instant, key: &TaskKey, _ended: Ended) {
        self.ledger.end(key);
    }

    /// Takes one lagging measurement of a worker.
    pub fn sample(&mut self, _now: Instant, _worker: &WorkerId, _sample: &UsageSample) {}

    /// Decides what to do now, at most `limit` decisions; placements count as held at once.
    pub fn decide(&mut self, _now: Instant, limit: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let ranked: Vec<_> = self
            .order
            .iter()
            .take(self.cfg.scan_limit)
            .cloned()
            .collect();
        for (rank, job) in ranked {
            if decisions.len() >= limit {
                break;
            }
            let Some(worker) = self.first_fit(&job) else {
                continue;
            };
            let granted = self.waiting[&job].ask.resources;
            self.ledger.hold(&job, &worker, granted);
            self.order.remove(&(rank, job.clone()));
            decisions.push(Decision::Place {
                job,
                worker,
                granted,
            });
        }
        decisions
    }

    /// Returns the first worker with room, or notes why there is none.
    fn first_fit(&mut self, job: &JobId) -> Option<WorkerId> {
        let waiting = self.waiting.get_mut(job)?;
        let need = waiting.ask.resources;
        let ledger = &self.ledger;
        let found = ledger
            .workers()
            .filter(|row| row.present && !row.view.leaving)
            .find(|row| need.fits(&ledger.free(row)))
            .map(|row| row.view.worker.clone());
        if found.is_none() {
            waiting.why = Some("no worker has room".into());
        }
        found
    }

    /// Returns why a job waits, for a person.
    pub fn why_waiting(&self, job: &JobId) -> Option<Name> {
        self.waiting.get(job)?.why.clone()
    }

    /// Returns the workers that get no work because their tasks fail.
    pub fn quarantined(&self) -> Vec<QuarantineView> {
        Vec::new()
    }

    /// Returns the state in numbers.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            queued: self.waiting.len(),
            placed: self.ledger.placed(),
            ..Summary::default()
        };
        for row in self.ledger.workers() {
            summary.held += row.held;
            if row.present && !row.view.leaving {
                summary.workers += 1;
                summary.capacity += self.ledger.offer(row);
            } else {
                summary.workers_away += 1;
            }
        }
        summary
    }
}
