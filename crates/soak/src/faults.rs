//! Starts and ends the planned faults.

use std::time::Duration;

use rand::Rng;

use crate::fault_plan::{Fault, FaultKind};
use crate::fleet::ENTRIES;
use crate::ports::ProcId;
use crate::process::Arrival;
use crate::simulation::{CallerAction, SimEvent, Simulation};

/// The time from the request for a planned stop to the end of the process.
const STOP_GRACE: Duration = Duration::from_millis(500);

/// The longest random delay before a process is started or a VM is replaced.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(10);

/// How many jobs a bulk cancellation covers.
const BULK_CANCEL_JOBS: usize = 30;

/// How many jobs a burst of noisy jobs submits.
const NOISY_JOBS: usize = 20;

impl Simulation {
    pub(crate) fn fault_begins(&mut self, fault: Fault) {
        self.note(format_args!("fault {fault:?}"));
        self.count_fault(fault.kind);
        match fault.kind {
            FaultKind::EntryKilled => self.kill_for(self.pick_entry(fault), fault.lasts),
            FaultKind::CompanionKilled => self.kill_for(self.pick_companion(fault), fault.lasts),
            FaultKind::EntryStopped => self.stop_entry(fault),
            FaultKind::EntryPaused => self.pause_entry(fault),
            FaultKind::CompanionPaused => self.pause(self.pick_companion(fault), fault.lasts),
            FaultKind::WorkerLost | FaultKind::RackLost | FaultKind::ZoneLost => {
                self.lose_vms(fault);
            }
            FaultKind::WorkerUnreachable
            | FaultKind::WorkerFails
            | FaultKind::WorkerSlow
            | FaultKind::StoreDown
            | FaultKind::StoreSlow
            | FaultKind::StoreLosesAnswers
            | FaultKind::BadLinks
            | FaultKind::CutOff => {
                self.set_fault(fault, true);
                self.after(fault.lasts, SimEvent::FaultEnds(fault));
            }
            FaultKind::TablesEdited => self.race_operators(),
            FaultKind::CancelWave => self.cancel_many(BULK_CANCEL_JOBS),
            FaultKind::NoisyWave => {
                for _ in 0..NOISY_JOBS {
                    self.new_job(true);
                }
            }
        }
    }

    pub(crate) fn fault_ends(&mut self, fault: Fault) {
        self.note(format_args!("fault ends {:?}", fault.kind));
        self.set_fault(fault, false);
    }

    fn pick_entry(&self, fault: Fault) -> ProcId {
        fault.pick as usize % ENTRIES
    }

    fn pick_vm(&self, fault: Fault) -> usize {
        fault.pick as usize % self.vms.len()
    }

    fn pick_companion(&self, fault: Fault) -> ProcId {
        self.vms[self.pick_vm(fault)].companion
    }

    fn kill_for(&mut self, proc: ProcId, lasts: Duration) {
        self.note(format_args!("kill {proc}"));
        self.procs[proc].kill();
        self.after(lasts, SimEvent::Restart(proc));
    }

    fn stop_entry(&mut self, fault: Fault) {
        let proc = self.pick_entry(fault);
        let incarnation = self.procs[proc].incarnation();
        self.arrive(incarnation, Arrival::Stop);
        let back = STOP_GRACE + self.draw_up_to(MAX_RESTART_DELAY);
        self.after(STOP_GRACE, SimEvent::Kill(incarnation));
        self.after(back, SimEvent::Restart(proc));
    }

    /// Pauses an entry at once, or after it decides its next grant but before it sends it.
    fn pause_entry(&mut self, fault: Fault) {
        let proc = self.pick_entry(fault);
        if self.rng.random_bool(0.5) {
            self.procs[proc].pause_at_grant = Some(fault.lasts);
        } else {
            self.pause(proc, fault.lasts);
        }
    }

    fn lose_vms(&mut self, fault: Fault) {
        let chosen = self.pick_vm(fault);
        let (rack, zone) = (self.vms[chosen].rack.clone(), self.vms[chosen].zone.clone());
        let lost: Vec<usize> = (0..self.vms.len())
            .filter(|&n| match fault.kind {
                FaultKind::RackLost => self.vms[n].rack == rack,
                FaultKind::ZoneLost => self.vms[n].zone == zone,
                _ => n == chosen,
            })
            .collect();
        for vm in lost {
            self.lose_vm(vm, fault.lasts);
        }
        if fault.kind == FaultKind::ZoneLost {
            for proc in 0..ENTRIES {
                if *self.procs[proc].zone() == zone {
                    self.kill_for(proc, fault.lasts);
                }
            }
        }
    }

    fn lose_vm(&mut self, vm: usize, lasts: Duration) {
        if self.vms[vm].is_lost {
            return;
        }
        self.note(format_args!("lose vm {vm}"));
        let now = self.now();
        self.vms[vm].lose(now, &mut self.audit);
        self.procs[self.vms[vm].companion].kill();
        let back = lasts + self.draw_up_to(MAX_RESTART_DELAY);
        self.after(back, SimEvent::ReplaceVm(vm));
    }

    pub(crate) fn replace_vm(&mut self, vm: usize) {
        self.note(format_args!("replace vm {vm}"));
        let now = self.now();
        self.vms[vm].replace(now);
        let companion = self.vms[vm].companion;
        self.start(companion);
    }

    /// Starts or ends a lasting fault; the store and link faults are counted, as they may overlap.
    fn set_fault(&mut self, fault: Fault, on: bool) {
        let vm = self.pick_vm(fault);
        let step = |count: &mut u32| {
            *count = if on {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
        };
        match fault.kind {
            FaultKind::StoreDown => step(&mut self.store.faults.down),
            FaultKind::StoreSlow => step(&mut self.store.faults.slow),
            FaultKind::StoreLosesAnswers => step(&mut self.store.faults.losing_replies),
            FaultKind::BadLinks => step(&mut self.faulty_links),
            FaultKind::CutOff => {
                let proc = fault.pick as usize % self.procs.len();
                self.procs[proc].is_cut_off = on;
            }
            FaultKind::WorkerUnreachable => self.vms[vm].worker.faults_mut().unreachable = on,
            FaultKind::WorkerFails => self.vms[vm].worker.faults_mut().fail_all = on,
            FaultKind::WorkerSlow => {
                let factor = if on { 10.0 } else { 1.0 };
                self.vms[vm].worker.faults_mut().slow_factor = factor;
            }
            _ => {}
        }
    }

    fn race_operators(&mut self) {
        let based_on = self.generation_in_store();
        for operator in 0..2 {
            let delay = self.draw_up_to(Duration::from_millis(50));
            let action = CallerAction::Apply { operator, based_on };
            self.after(delay, SimEvent::Caller(action));
        }
    }

    /// Ends all lasting faults.
    pub(crate) fn clear_faults(&mut self) {
        self.note(format_args!("heal"));
        self.store.faults = Default::default();
        self.faulty_links = 0;
        for vm in &mut self.vms {
            *vm.worker.faults_mut() = Default::default();
        }
        for proc in 0..self.procs.len() {
            self.procs[proc].is_cut_off = false;
            self.procs[proc].pause_at_grant = None;
        }
    }
}
