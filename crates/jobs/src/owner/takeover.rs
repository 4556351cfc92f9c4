//! Takeover: loads the stored state and expires the leases of inherited workers.

use base::prelude::*;
use inherit::{Holding, Knowledge, record_of};
use ports::store::KeyValue;
use slog::{info, warn};

use super::Owner;
use super::callers::validate;
use super::worker::{Worker, lease_bound};
use crate::job::StageInstance;
use crate::progress::{decode_progress, decode_worker};
use crate::{Job, JobRecord, JobState, Progress, TaskId, WorkerRecord};

/// The key prefix of job records.
pub const JOB_PREFIX: &str = "mt/job/";

/// The key prefix of jobs' progress.
pub const PROGRESS_PREFIX: &str = "mt/progress/";

/// The key prefix of the workers that may run tasks.
pub const VM_PREFIX: &str = "mt/vm/";

impl Owner {
    /// Loads what the store held when this owner's epoch began; skips records of jobs that can't be
    /// decoded.
    pub fn load(
        &mut self,
        now: Instant,
        jobs: &[KeyValue],
        progress: &[KeyValue],
        vms: &[KeyValue],
        tombstones: &[KeyValue],
    ) {
        self.load_tombstones(tombstones);
        for item in jobs {
            match JobRecord::decode(&item.key, &item.value)
                .and_then(|record| valid(&item.key, record))
            {
                Ok(record) => self.load_job(now, item, record),
                Err(e) => {
                    warn!(self.log, "owner: record ignored"; "error" => %e);
                    self.unreadable.insert(job_id(&item.key, JOB_PREFIX));
                }
            }
        }
        for item in progress {
            match decode_progress(&item.key, &item.value) {
                Ok(progress) => self.load_progress(item, progress),
                Err(e) => {
                    // What has run is not known, so nothing of the job may start again.
                    warn!(self.log, "owner: progress unreadable"; "error" => %e);
                    self.active.swap_remove(&job_id(&item.key, PROGRESS_PREFIX));
                }
            }
        }
        let until = now + self.cfg.predecessor_grace + lease_bound(self.cfg.worker_lease);
        for item in vms {
            // The key alone says that tasks may run there, whatever the record contains.
            let record = decode_worker(&item.key, &item.value)
                .inspect_err(|e| warn!(self.log, "owner: record unreadable"; "error" => %e));
            self.load_vm(until, item, record.ok());
        }
        info!(self.log, "owner: took over";
            "epoch" => self.cfg.epoch.0, "jobs" => self.jobs.len(),
            "active" => self.active.len(), "workers" => self.workers.len(),
            "tombstones" => self.tombstones());
    }

    fn load_job(&mut self, now: Instant, item: &KeyValue, record: JobRecord) {
        let id = job_id(&item.key, JOB_PREFIX);
        let mut job = Job::new(id.clone(), record, now);
        job.is_inherited = true;
        job.stored.record = Some(item.revision);
        self.active.insert(id.clone());
        self.jobs.insert(id, job);
    }

    fn load_progress(&mut self, item: &KeyValue, progress: Progress) {
        let id = job_id(&item.key, PROGRESS_PREFIX);
        let Some(job) = self.jobs.get_mut(&id) else {
            warn!(self.log, "owner: progress without a job ignored"; "job" => %id);
            return;
        };
        job.restore(progress, item.revision);
        if job.state.has_ended() {
            self.active.swap_remove(&id);
        } else if job.state == JobState::Queued && job.tasks.iter().any(|t| t.is_done) {
            job.state = JobState::Running;
        }
    }

    fn load_vm(&mut self, until: Instant, item: &KeyValue, record: Option<WorkerRecord>) {
        let vm: Name = item.key.strip_prefix(VM_PREFIX).unwrap_or(&item.key).into();
        let holding = record.as_ref().map(|r| r.holding.clone());
        self.inherited
            .add(Arc::clone(&vm), holding.unwrap_or_default());
        let mut worker = Worker::new();
        worker.inherited_until = Some(until);
        worker.stored_record.record = record;
        worker.stored_record.revision = item.revision;
        self.workers.insert(vm, worker);
    }

    /// Records that the runs of a worker are known, or have certainly ended.
    pub(super) fn settle_inherited(&mut self, vm: &Name) {
        let held_all = self.inherited.holds_all();
        if self.inherited.settle(vm) {
            self.is_round_due = true;
        }
        if held_all && !self.inherited.holds_all() {
            info!(
                self.log,
                "owner: all workers of the predecessor are heard or lapsed"
            );
        }
    }

    /// Returns true if a task must not start yet, since a worker that has not been heard may run it.
    pub(super) fn is_awaited(&self, job: &Job, instance: &StageInstance, position: usize) -> bool {
        job.is_inherited
            && self.inherited.holds_some()
            && self.inherited.holds(&job.task_id(instance, position))
    }

    /// Returns the tasks that the record of a heard worker must name; `None` if none can run there.
    pub(super) fn holding(&self, worker: &Worker) -> Option<Holding<TaskId>> {
        let knowledge = Knowledge {
            takes_starts: !worker.is_draining(),
            is_complete: worker.is_adopted
                && !worker.has_unknown_runs
                && !worker.has_unknown_starts
                && worker.unknown_runs.is_empty(),
        };
        record_of(knowledge, worker.runs.keys().map(|run| run.task.clone()))
    }

    /// Marks the record of a draining worker if it holds back more than it must, or if it says too
    /// little of a worker that takes starts again.
    pub(super) fn update_holding(&mut self, vm: &Name) {
        let Some(worker) = self.workers.get(vm).filter(|w| w.is_adopted) else {
            return;
        };
        let stored = worker.stored_record.record.as_ref().map(|r| &r.holding);
        let is_open = matches!(stored, Some(Holding::Any)) && !worker.is_draining();
        if is_open || worker.stored_record.in_flight {
            return;
        }
        let is_dear = |task: &TaskId| {
            let job = self.jobs.get(&task.job);
            job.is_some_and(|j| j.stage_of(task).standing)
        };
        if inherit::is_outdated(stored, self.holding(worker).as_ref(), is_dear) {
            self.commits.mark_vm(vm);
        }
    }

    /// Removes the runs of workers whose leases have expired.
    ///
    /// Silence alone proves nothing: another owner may have been elected and may have renewed the lease.
    /// So the expiry counts only once ownership has been proved for a time after it.
    pub(super) fn expire_workers(&mut self, now: Instant) {
        let due: Vec<(Name, bool)> = self
            .workers
            .iter()
            .filter_map(|(vm, w)| {
                let at = w.lease_expires_at(self.cfg.worker_lease)?;
                (at <= now).then(|| (Arc::clone(vm), self.is_proved(at)))
            })
            .collect();
        let unproved = due.iter().filter(|(_, is_proved)| !is_proved).count();
        self.await_proof(now, unproved);
        for (vm, _) in due.iter().filter(|(_, is_proved)| *is_proved) {
            self.expire(now, vm);
        }
    }

    fn expire(&mut self, now: Instant, vm: &Name) {
        self.log_lapse(now, vm);
        self.suspect_lost_runs(now, vm);
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.lease_from = None;
            worker.inherited_until = None;
            worker.raise_fence();
            worker.unknown_runs.clear();
            self.commits.mark_vm(vm);
        }
        self.settle_inherited(vm);
        self.release_all(vm, "lease lapsed");
    }

    fn log_lapse(&self, now: Instant, vm: &Name) {
        let Some(worker) = self.workers.get(vm) else {
            return;
        };
        let heard_ms_ago = worker.lease_from.map(|at| base::whole_ms(now - at));
        let last_report = worker.last_report.as_ref();
        warn!(self.log, "owner: worker lease lapsed"; "vm" => %vm,
            "worker" => last_report.map(|l| l.id.to_string()),
            "born" => last_report.map(|l| l.incarnation.0),
            "heard_ms_ago" => heard_ms_ago, "is_inherited" => worker.inherited_until.is_some(),
            "fence" => self.fence(vm), "proved_ms_ago" => self.proved_ms_ago(now),
            "runs" => worker.runs.len());
    }
}

/// Returns the id of the job that a key below `prefix` belongs to.
fn job_id(key: &str, prefix: &str) -> JobId {
    JobId::from(key.strip_prefix(prefix).unwrap_or(key))
}

/// Returns the record if a caller can have submitted its job; another writer may have left it.
fn valid(key: &Name, record: JobRecord) -> Result<JobRecord> {
    let invalid = |reason| Error::new(ErrorKind::Malformed, "load job", Arc::clone(key), reason);
    validate(&record.spec).map_err(invalid)?;
    Ok(record)
}
