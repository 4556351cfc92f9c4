//! A simulated worker VM.

use base::prelude::*;
use fakes::worker::{ClassProfile, MemWorker, WorkerSettings};
use ports::worker::{WorkerCall, WorkerReply};

use crate::audit::RunAudit;
use crate::ports::ProcId;

/// The capacity of each worker.
pub(crate) const CAPACITY: Resources = Resources::new(64, 250 * 1024, 0);

/// A worker VM with the companion on it.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) id: WorkerId,
    pub(crate) rack: RackName,
    pub(crate) zone: ZoneName,
    pub(crate) companion: ProcId,
    /// How many times the VM was replaced.
    pub(crate) number: u32,
    pub(crate) is_lost: bool,
    /// When the worker has executed all calls so far; it executes one at a time.
    pub(crate) busy_until: Instant,
    pub(crate) worker: MemWorker,
}

impl Vm {
    pub(crate) fn new(
        id: WorkerId,
        rack: RackName,
        zone: ZoneName,
        companion: ProcId,
        now: Instant,
    ) -> Self {
        Self {
            id,
            rack,
            zone,
            companion,
            number: 0,
            is_lost: false,
            busy_until: now,
            worker: new_worker(now),
        }
    }

    pub(crate) fn call(&mut self, now: Instant, call: &WorkerCall) -> Result<WorkerReply> {
        self.worker.call(now, call)
    }

    /// Loses the VM with all tasks on it.
    pub(crate) fn lose(&mut self, now: Instant, audit: &mut RunAudit) {
        self.worker.lose_all(now);
        audit.add(&self.id, self.worker.record());
        self.is_lost = true;
    }

    /// Replaces a lost VM by an empty one.
    pub(crate) fn replace(&mut self, now: Instant) {
        self.number += 1;
        self.is_lost = false;
        self.busy_until = now;
        self.worker = new_worker(now);
    }

    /// Adds the record up to `now`, the end of the run, unless the VM is lost.
    pub(crate) fn close(&mut self, now: Instant, audit: &mut RunAudit) {
        if !self.is_lost {
            self.worker.advance(now);
            audit.add(&self.id, self.worker.record());
        }
    }
}

/// Creates an idle worker whose tasks use far more or less than they declare.
fn new_worker(now: Instant) -> MemWorker {
    let profile = |cpu, memory, work| ClassProfile { cpu, memory, work };
    let profiles = [
        ("proof", profile(0.5, 0.7, 1.0)),
        ("settlement", profile(1.3, 1.2, 2.5)),
        ("index", profile(0.2, 0.3, 0.2)),
    ];
    let settings = WorkerSettings {
        capacity: CAPACITY,
        profiles: profiles
            .into_iter()
            .map(|(class, profile)| (class.into(), profile))
            .collect(),
        ..WorkerSettings::default()
    };
    MemWorker::new(settings, now)
}
