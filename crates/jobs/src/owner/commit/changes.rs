//! The changes that are written for jobs and workers.

use base::prelude::*;
use inherit::Holding;
use ports::store::Expect;

use super::{Change, Dirty, expect_revision};
use crate::WorkerRecord;
use crate::owner::Owner;
use crate::owner::takeover::{JOB_PREFIX, PROGRESS_PREFIX, VM_PREFIX};
use crate::progress::encode;

/// The shortest time between two writes of a job's progress, for each of its bytes: a wide job's ends
/// would else keep the owner busy with writing all of them again and again.
const WRITE_INTERVAL: Duration = Duration::from_micros(1);

impl Owner {
    /// Returns the change for a dirty key, or `None` while its write has to wait.
    pub(super) fn change(&mut self, now: Instant, dirty: &Dirty) -> Result<Option<Change>> {
        match dirty {
            Dirty::Record(id) => self.record_change(dirty, id),
            Dirty::Progress(id) => self.progress_change(now, dirty, id),
            Dirty::Vm(vm) => self.vm_change(dirty, vm),
            Dirty::Forget(id) => Ok(self.forget_change(dirty, id)),
            Dirty::Tombstones(segment) => self.tombstones_change(now, dirty, *segment),
        }
    }

    fn record_change(&mut self, dirty: &Dirty, id: &JobId) -> Result<Option<Change>> {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.stored.in_flight) else {
            return Ok(None);
        };
        job.stored.in_flight = true;
        let key = format!("{JOB_PREFIX}{id}");
        let value = Some(encode(&job.record)?);
        Ok(Some(Change::new(dirty, key, Expect::Absent, value)))
    }

    fn progress_change(
        &mut self,
        now: Instant,
        dirty: &Dirty,
        id: &JobId,
    ) -> Result<Option<Change>> {
        let is_free = |j: &&mut crate::Job| !j.stored.in_flight && j.stored.record.is_some();
        let Some(job) = self.jobs.get_mut(id).filter(is_free) else {
            return Ok(None);
        };
        if let Some(at) = job.write_waits_until(now) {
            self.commits.wait_until(at);
            return Ok(None);
        }
        job.stored.in_flight = true;
        let key = format!("{PROGRESS_PREFIX}{id}");
        let expect = expect_revision(job.stored.progress);
        let value = encode(&job.progress())?;
        let bytes = u32::try_from(value.len()).unwrap_or(u32::MAX);
        job.stored.next_write = Some(now + WRITE_INTERVAL * bytes);
        Ok(Some(Change {
            version: job.stored.version,
            ..Change::new(dirty, key, expect, Some(value))
        }))
    }

    fn vm_change(&mut self, dirty: &Dirty, vm: &Name) -> Result<Option<Change>> {
        let record = self.vm_record(vm);
        let is_free = |w: &&mut crate::owner::Worker| !w.stored_record.in_flight;
        let Some(worker) = self.workers.get_mut(vm).filter(is_free) else {
            return Ok(None);
        };
        worker.stored_record.in_flight = true;
        let key = format!("{VM_PREFIX}{vm}");
        let expect = expect_revision(worker.stored_record.revision);
        let value = record.as_ref().map(encode).transpose()?;
        Ok(Some(Change {
            vm_record: record,
            ..Change::new(dirty, key, expect, value)
        }))
    }

    /// Returns the record that a VM should have in the store: the incarnation of the worker that
    /// may run tasks there, or the tasks that may still run there.
    fn vm_record(&self, vm: &Name) -> Option<WorkerRecord> {
        let worker = self.workers.get(vm)?;
        if worker.inherited_until.is_some() && !worker.is_adopted {
            return worker.stored_record.record.clone();
        }
        let last_report = worker.last_report.as_ref().filter(|l| !l.is_gone)?;
        worker.lease_from?;
        let holding = self.holding(worker)?;
        let incarnation = match holding {
            Holding::Any => last_report.incarnation,
            Holding::Only(_) => Incarnation::default(),
        };
        Some(WorkerRecord {
            id: last_report.id.clone(),
            incarnation,
            holding,
        })
    }

    /// Returns true if the stored record of a VM is up to date.
    pub(super) fn is_vm_stored(&self, vm: &Name) -> bool {
        let Some(worker) = self.workers.get(vm) else {
            return true;
        };
        !worker.stored_record.in_flight && worker.stored_record.record == self.vm_record(vm)
    }

    /// Deletes a job's record and progress together: a record without progress would run again.
    fn forget_change(&mut self, dirty: &Dirty, id: &JobId) -> Option<Change> {
        let job = self.jobs.get_mut(id).filter(|j| !j.stored.in_flight)?;
        job.stored.in_flight = true;
        let progress = (job.stored.progress != 0).then(|| {
            let key = format!("{PROGRESS_PREFIX}{id}").into();
            (key, Expect::Revision(job.stored.progress))
        });
        let key = format!("{JOB_PREFIX}{id}");
        let expect = expect_revision(job.stored.record.unwrap_or(0));
        Some(Change {
            also_delete: progress,
            ..Change::new(dirty, key, expect, None)
        })
    }
}
