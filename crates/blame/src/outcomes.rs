//! Whether failed runs speak against what ran or against its workers.

use base::prelude::*;

/// How much longer than a failed run another has to last to count as a success, as a share and in
/// addition.
const LASTING_SHARE: f64 = 1.25;
const LASTING_MARGIN: Duration = Duration::from_millis(200);

/// The failures on a worker since the last success there.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    /// Whether something else has succeeded there since.
    is_contradicted: bool,
    /// Whether it has failed again after that.
    is_refuted: bool,
}

/// The outcomes of the runs of a task, or of all tasks of a stage, by worker.
///
/// It is at fault if it fails on more workers than it succeeds on and the workers are not to blame:
/// it has failed on several, or again where something else has succeeded.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    failed_on: IndexMap<Name, Failures>,
    succeeded_on: IndexSet<Name>,
    /// Successes from before the first failure, on workers that are not known.
    earlier_successes: usize,
    longest_failed: Duration,
}

impl Outcomes {
    /// Creates the outcomes of a stage of which some tasks have succeeded already.
    pub fn with_successes(tasks: usize) -> Self {
        Self {
            earlier_successes: tasks,
            ..Self::default()
        }
    }

    /// Records that a run failed on a VM after the time `ran`.
    pub fn record_failure(&mut self, vm: &Name, ran: Duration) {
        self.succeeded_on.swap_remove(vm);
        self.longest_failed = self.longest_failed.max(ran);
        let failures = self.failed_on.entry(Arc::clone(vm)).or_default();
        failures.is_refuted |= failures.is_contradicted;
    }

    /// Records that a run succeeded on a VM.
    pub fn record_success(&mut self, vm: &Name) {
        self.failed_on.swap_remove(vm);
        self.succeeded_on.insert(Arc::clone(vm));
    }

    /// Records that something else succeeded on a VM.
    pub fn record_success_of_others(&mut self, vm: &Name) {
        if let Some(failures) = self.failed_on.get_mut(vm) {
            failures.is_contradicted = true;
        }
    }

    /// Forgets the outcomes on a VM, whose worker has been replaced.
    pub fn forget(&mut self, vm: &Name) {
        self.failed_on.swap_remove(vm);
        self.succeeded_on.swap_remove(vm);
    }

    /// Returns how long a run has to last to count as a success although it has not ended.
    pub fn lasting(&self) -> Duration {
        self.longest_failed.mul_f64(LASTING_SHARE) + LASTING_MARGIN
    }

    /// Returns true if a success on the VM is known, and no failure since.
    pub fn has_succeeded_on(&self, vm: &Name) -> bool {
        self.succeeded_on.contains(vm)
    }

    /// Returns true if something of it has succeeded elsewhere, or runs on another of the VMs `runs_on`
    /// without a failure there.
    pub fn is_sound_elsewhere<'a>(
        &self,
        vm: &Name,
        mut runs_on: impl Iterator<Item = &'a Name>,
    ) -> bool {
        let is_sound = |other: &Name| other != vm && !self.failed_on.contains_key(other);
        self.earlier_successes > 0
            || self.succeeded_on.iter().any(is_sound)
            || runs_on.any(is_sound)
    }

    /// Returns the number of VMs on which it has failed since it last succeeded there.
    pub fn failed_workers(&self) -> usize {
        self.failed_on.len()
    }

    /// Returns true if the failures are its own fault.
    pub fn is_at_fault(&self) -> bool {
        let failed = self.failed_on.len();
        let succeeded = self.succeeded_on.len() + self.earlier_successes;
        let is_refuted = self.failed_on.values().any(|f| f.is_refuted);
        failed > succeeded && (failed > 1 || is_refuted)
    }
}
