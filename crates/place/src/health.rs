//! Detection of workers whose tasks fail although the same tasks succeed elsewhere.
//!
//! A failure is evidence against a worker to the degree that it is unlikely elsewhere: a job that
//! also failed on another worker, or a class that fails everywhere, adds little.

use base::prelude::*;

use crate::cfg::HealthCfg;
use crate::interference::ClassId;
use crate::types::QuarantineView;

/// Counts of the ended tasks of a class, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    ended: f64,
    failed: f64,
}

/// The failures on one worker, and the evidence against it that they add up to, in nats.
#[derive(Debug, Default)]
struct WorkerHealth {
    evidence: f64,
    failed_jobs: IndexSet<JobId>,
    classes: IndexMap<ClassId, Outcomes>,
    quarantine: Option<Quarantine>,
}

/// An active quarantine.
#[derive(Clone, Debug)]
struct Quarantine {
    probe_at: Instant,
    wait: Duration,
    probe: Option<JobId>,
}

/// Which tasks a worker may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    /// Anything.
    Allowed,
    /// One task, as a probe.
    Probe,
    /// Nothing.
    Denied,
}

/// The health of all workers.
#[derive(Debug)]
pub(crate) struct Health {
    cfg: HealthCfg,
    workers: IndexMap<WorkerId, WorkerHealth>,
    classes: IndexMap<ClassId, Outcomes>,
    failed_on: IndexMap<JobId, IndexSet<WorkerId>>,
    quarantined: IndexSet<WorkerId>,
}

/// The least failure rate assumed for a job that has failed on another worker.
const REPEAT_FAILURE_RATE: f64 = 0.8;
/// How many failed jobs are remembered; the oldest is dropped first.
const MAX_FAILED_JOBS: usize = 10_000;
/// The weight of the prior failure rate, in ended tasks.
const PRIOR_WEIGHT: f64 = 4.0;
/// The factor by which older outcomes of a class are multiplied at each new one.
const OUTCOME_DECAY: f64 = 0.995;
/// The factor by which a finished task reduces the evidence against its worker.
const EVIDENCE_DECAY: f64 = 0.25;

impl Outcomes {
    fn add(&mut self, failed: bool) {
        self.ended = self.ended * OUTCOME_DECAY + 1.0;
        self.failed = self.failed * OUTCOME_DECAY + f64::from(u8::from(failed));
    }
}

impl Health {
    pub(crate) fn new(cfg: HealthCfg) -> Self {
        Self {
            cfg,
            workers: IndexMap::new(),
            classes: IndexMap::new(),
            failed_on: IndexMap::new(),
            quarantined: IndexSet::new(),
        }
    }

    /// Records that a task finished.
    pub(crate) fn record_success(&mut self, worker: &WorkerId, job: &JobId, class: ClassId) {
        self.classes.entry(class).or_default().add(false);
        self.failed_on.swap_remove(job);
        let row = self.workers.entry(worker.clone()).or_default();
        row.classes.entry(class).or_default().add(false);
        row.evidence *= EVIDENCE_DECAY;
        row.failed_jobs.clear();
        let was_probe = row
            .quarantine
            .as_ref()
            .is_some_and(|quarantine| quarantine.probe.as_ref() == Some(job));
        if was_probe {
            row.quarantine = None;
            row.evidence = 0.0;
            self.quarantined.swap_remove(worker);
        }
    }

    /// Records that a task failed; `workers` is the number of known workers.
    pub(crate) fn record_failure(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        job: &JobId,
        class: ClassId,
        workers: usize,
    ) {
        let rate = self.rate_elsewhere(worker, job, class);
        self.note_failed_on(job, worker);
        let allowed = self.may_quarantine(workers);
        let row = self.workers.entry(worker.clone()).or_default();
        row.classes.entry(class).or_default().add(true);
        row.evidence -= rate.ln();
        row.failed_jobs.insert(job.clone());
        if let Some(quarantine) = &mut row.quarantine {
            // Failures of tasks that were placed before the quarantine are no new evidence.
            if quarantine.probe.as_ref() == Some(job) {
                quarantine.wait = (quarantine.wait * 2).min(self.cfg.longest_probe);
                quarantine.probe_at = now + quarantine.wait;
                quarantine.probe = None;
            }
            return;
        }
        let sufficient =
            row.evidence >= self.cfg.evidence && row.failed_jobs.len() >= self.cfg.distinct_jobs;
        if sufficient && allowed {
            row.quarantine = Some(Quarantine {
                probe_at: now + self.cfg.first_probe,
                wait: self.cfg.first_probe,
                probe: None,
            });
            self.quarantined.insert(worker.clone());
            self.discount(worker);
            return;
        }
        self.classes.entry(class).or_default().add(true);
    }

    fn note_failed_on(&mut self, job: &JobId, worker: &WorkerId) {
        if self.failed_on.len() >= MAX_FAILED_JOBS {
            self.failed_on.shift_remove_index(0);
        }
        let on = self.failed_on.entry(job.clone()).or_default();
        on.insert(worker.clone());
    }

    /// Subtracts a quarantined worker's outcomes from the totals of its classes.
    fn discount(&mut self, worker: &WorkerId) {
        let Some(row) = self.workers.get_mut(worker) else {
            return;
        };
        for (class, outcomes) in row.classes.drain(..) {
            if let Some(total) = self.classes.get_mut(&class) {
                total.ended = (total.ended - outcomes.ended).max(0.0);
                total.failed = (total.failed - outcomes.failed).max(0.0);
            }
        }
    }

    /// Returns the expected failure rate of the task on other workers.
    fn rate_elsewhere(&self, worker: &WorkerId, job: &JobId, class: ClassId) -> f64 {
        let failed_elsewhere = self
            .failed_on
            .get(job)
            .is_some_and(|on| on.iter().any(|other| self.is_healthy_other(other, worker)));
        let total = self.classes.get(&class).copied().unwrap_or_default();
        let own = self
            .workers
            .get(worker)
            .and_then(|row| row.classes.get(&class))
            .copied()
            .unwrap_or_default();
        let ended = (total.ended - own.ended).max(0.0) + PRIOR_WEIGHT;
        let failed =
            (total.failed - own.failed).max(0.0) + PRIOR_WEIGHT * self.cfg.prior_failure_rate;
        let rate = (failed / ended).clamp(0.01, 0.99);
        if failed_elsewhere {
            rate.max(REPEAT_FAILURE_RATE)
        } else {
            rate
        }
    }

    fn is_healthy_other(&self, other: &WorkerId, worker: &WorkerId) -> bool {
        other != worker && !self.quarantined.contains(other)
    }

    fn may_quarantine(&self, workers: usize) -> bool {
        let most = (workers as f64 * self.cfg.max_quarantined_share).floor() as usize;
        self.quarantined.len() < most.max(usize::from(workers > 1))
    }

    pub(crate) fn access(&self, now: Instant, worker: &WorkerId) -> Access {
        let quarantine = self
            .workers
            .get(worker)
            .and_then(|row| row.quarantine.as_ref());
        match quarantine {
            None => Access::Allowed,
            Some(quarantine) if quarantine.probe.is_some() => Access::Denied,
            Some(quarantine) if now < quarantine.probe_at => Access::Denied,
            Some(_) => Access::Probe,
        }
    }

    /// Records the job that probes a quarantined worker.
    pub(crate) fn probe_started(&mut self, worker: &WorkerId, job: &JobId) {
        if let Some(quarantine) = self.quarantine_mut(worker) {
            quarantine.probe = Some(job.clone());
        }
    }

    /// Clears a probe that ended without a result.
    pub(crate) fn clear_probe(&mut self, worker: &WorkerId, job: &JobId) {
        if let Some(quarantine) = self.quarantine_mut(worker)
            && quarantine.probe.as_ref() == Some(job)
        {
            quarantine.probe = None;
        }
    }

    fn quarantine_mut(&mut self, worker: &WorkerId) -> Option<&mut Quarantine> {
        self.workers.get_mut(worker)?.quarantine.as_mut()
    }

    pub(crate) fn has_failed_on(&self, job: &JobId, worker: &WorkerId) -> bool {
        self.failed_on
            .get(job)
            .is_some_and(|on| on.contains(worker))
    }

    pub(crate) fn failed_on_count(&self, job: &JobId) -> usize {
        self.failed_on.get(job).map_or(0, IndexSet::len)
    }

    pub(crate) fn is_quarantined(&self, worker: &WorkerId) -> bool {
        self.quarantined.contains(worker)
    }

    pub(crate) fn quarantined(&self) -> &IndexSet<WorkerId> {
        &self.quarantined
    }

    /// Forgets a job that will not run again.
    pub(crate) fn forget_job(&mut self, job: &JobId) {
        self.failed_on.swap_remove(job);
    }

    /// Forgets a worker that was replaced.
    pub(crate) fn forget_worker(&mut self, worker: &WorkerId) {
        self.workers.swap_remove(worker);
        self.quarantined.swap_remove(worker);
    }

    pub(crate) fn views(&self) -> Vec<QuarantineView> {
        self.quarantined
            .iter()
            .filter_map(|worker| {
                let quarantine = self.workers.get(worker)?.quarantine.as_ref()?;
                Some(QuarantineView {
                    worker: worker.clone(),
                    probe_at: quarantine.probe_at,
                    probing: quarantine.probe.is_some(),
                })
            })
            .collect()
    }
}
