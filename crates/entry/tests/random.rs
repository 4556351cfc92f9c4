//! Random faults, alone and overlapping, with the promises asserted at every step.

mod simulation;

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wire::{JobPhase, SubmitReply};

use simulation::{GRACE, SECOND, Simulation, spec};

const ENTRIES: usize = 3;
const VMS: usize = 3;
const JOBS: usize = 12;
const FAULTS: usize = 10;

/// A fault that lasts until it is healed.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillEntry(usize),
    PauseEntry(usize),
    CutEntryFromStore(usize),
    StoreDown,
    KillCompanion(usize),
    PauseCompanion(usize),
    CutCompanion(usize),
    LoseVm(usize),
    LoseStarts(usize),
}

impl Fault {
    fn draw(rng: &mut StdRng) -> Self {
        let entry = rng.random_range(0..ENTRIES);
        let vm = rng.random_range(0..VMS);
        match rng.random_range(0..9) {
            0 => Self::KillEntry(entry),
            1 => Self::PauseEntry(entry),
            2 => Self::CutEntryFromStore(entry),
            3 => Self::StoreDown,
            4 => Self::KillCompanion(vm),
            5 => Self::PauseCompanion(vm),
            6 => Self::CutCompanion(vm),
            7 => Self::LoseVm(vm),
            _ => Self::LoseStarts(vm),
        }
    }

    fn begin(self, sim: &mut Simulation) {
        match self {
            Self::KillEntry(at) => sim.kill_entry(at),
            Self::PauseEntry(at) => sim.entries[at].is_paused = true,
            Self::CutEntryFromStore(at) => sim.entries[at].has_store = false,
            Self::StoreDown => sim.set_store(false),
            Self::KillCompanion(at) => sim.kill_companion(at),
            Self::PauseCompanion(at) => sim.vms[at].is_paused = true,
            Self::CutCompanion(at) => sim.vms[at].has_network = false,
            Self::LoseVm(at) => sim.lose_vm(at),
            Self::LoseStarts(at) => sim.vms[at].worker.faults_mut().lose_next_starts = 2,
        }
    }

    fn heal(self, sim: &mut Simulation) {
        match self {
            Self::KillEntry(at) => sim.start_entry(at),
            Self::PauseEntry(at) => sim.entries[at].is_paused = false,
            Self::CutEntryFromStore(at) => sim.entries[at].has_store = true,
            Self::StoreDown => sim.set_store(true),
            Self::KillCompanion(at) | Self::LoseVm(at) => sim.start_companion(at),
            Self::PauseCompanion(at) => sim.vms[at].is_paused = false,
            Self::CutCompanion(at) => sim.vms[at].has_network = true,
            Self::LoseStarts(at) => sim.vms[at].worker.faults_mut().lose_next_starts = 0,
        }
    }
}

/// Submits a job until an entry accepts it.
fn submit(sim: &mut Simulation, number: usize, run_time: Duration) {
    for attempt in 0..60 {
        let at = (number + attempt) % ENTRIES;
        if !sim.entries[at].is_paused {
            let reply = sim.submit(at, spec(&format!("job-{number}"), run_time));
            if matches!(reply, Some(SubmitReply::Accepted { .. })) {
                return;
            }
        }
        sim.run(SECOND);
    }
}

fn all_finished(sim: &mut Simulation) -> bool {
    let finished = Some(JobPhase::Finished);
    (0..JOBS).all(|n| sim.current_phase(&format!("job-{n}")) == finished)
}

fn run(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sim = Simulation::new(ENTRIES, VMS);
    sim.run(SECOND * 4);
    for number in 0..JOBS {
        let run_time = SECOND * rng.random_range(2..60);
        submit(&mut sim, number, run_time);
    }

    let mut active_faults: Vec<Fault> = Vec::new();
    for _ in 0..FAULTS {
        if active_faults.len() >= 2 {
            let at = rng.random_range(0..active_faults.len());
            active_faults.remove(at).heal(&mut sim);
        }
        let fault = Fault::draw(&mut rng);
        fault.begin(&mut sim);
        active_faults.push(fault);
        sim.run(SECOND / 10 * rng.random_range(1..150));
    }
    for fault in active_faults {
        fault.heal(&mut sim);
    }
    sim.set_store(true);
    let mut remaining = GRACE + SECOND * 180;
    while !remaining.is_zero() && !all_finished(&mut sim) {
        sim.run(SECOND * 20);
        remaining = remaining.saturating_sub(SECOND * 20);
    }

    for number in 0..JOBS {
        let job = format!("job-{number}");
        let phase = sim.status(0, &job).map(|status| status.phase);
        assert_eq!(phase, Some(JobPhase::Finished), "seed {seed}: {job}");
    }
    assert_eq!(sim.running(), 0, "seed {seed}");
}

#[test]
fn jobs_finish_and_never_run_in_two_places() {
    for seed in 0..6 {
        run(seed);
    }
}
