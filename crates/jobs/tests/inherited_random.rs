//! Random drains, silences, replacements, outages of the store and takeovers: no task runs twice.

mod harness;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobReply, JobState, StageSpec, TaskId, TaskRun};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use harness::{Harness, StoreMode, WORKER_LEASE, job, stage};

const SEEDS: u64 = 100;
const STEPS: usize = 80;
const STEP: Duration = Duration::from_millis(250);
const CORES: u64 = 3;
const VMS: [&str; 4] = ["a", "b", "c", "d"];

struct Play {
    rng: ChaCha8Rng,
    harness: Harness,
    jobs: Vec<String>,
    /// When each VM's worker last reported.
    heard_at: IndexMap<&'static str, Instant>,
    silent: IndexSet<&'static str>,
    lives: u64,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut harness = Harness::new();
        let now = harness.now;
        VMS.iter().for_each(|vm| harness.add_vm(vm, CORES));
        harness.sync_all();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            harness,
            jobs: Vec::new(),
            heard_at: VMS.iter().map(|vm| (*vm, now)).collect(),
            silent: IndexSet::new(),
            lives: 0,
        }
    }

    fn submit(&mut self) {
        let id = format!("job-{}", self.jobs.len());
        let spec = StageSpec {
            gang: self.rng.random_bool(0.2),
            ..stage(self.rng.random_range(1..6), 1)
        };
        self.harness.submit(&id, job(vec![spec]));
        self.jobs.push(id);
    }

    fn disturb(&mut self) {
        let vm = VMS[self.rng.random_range(0..VMS.len())];
        match self.rng.random_range(0..12) {
            0 | 1 => self.submit(),
            2 | 3 => self.harness.vm(vm).draining ^= true,
            4 | 5 => {
                if !self.silent.swap_remove(vm) {
                    self.silent.insert(vm);
                }
            }
            6 => self.replace(vm),
            7 => {
                let modes = [
                    StoreMode::Up,
                    StoreMode::Up,
                    StoreMode::Unavailable,
                    StoreMode::Rejects,
                    StoreMode::LosesResponses,
                ];
                self.harness.mode = modes[self.rng.random_range(0..modes.len())];
            }
            8 => self.harness.take_over(),
            _ => self.end_some(vm),
        }
    }

    /// Begins another life of a worker, under the same id or another.
    fn replace(&mut self, vm: &'static str) {
        self.lives += 1;
        let worker = self.harness.vm(vm);
        worker.restart();
        worker.draining = false;
        if self.rng.random_bool(0.5) {
            worker.worker = format!("{vm}, life {}", self.lives).as_str().into();
        }
    }

    fn end_some(&mut self, vm: &str) {
        let runs: Vec<TaskRun> = self
            .harness
            .vm(vm)
            .running
            .iter()
            .map(|r| r.run.clone())
            .collect();
        for run in runs {
            if self.rng.random_bool(0.7) {
                self.harness.vm(vm).end(&run, EndKind::Done);
            }
        }
    }

    fn step(&mut self) {
        self.harness.advance(STEP);
        self.harness.settle();
        for vm in VMS {
            let silent_for = self.harness.now - self.heard_at[vm];
            if silent_for >= WORKER_LEASE {
                let runs: Vec<TaskRun> = self
                    .harness
                    .vm(vm)
                    .running
                    .iter()
                    .map(|r| r.run.clone())
                    .collect();
                for run in runs {
                    self.harness.vm(vm).end(&run, EndKind::Lapsed);
                }
            }
            if !self.silent.contains(vm) {
                self.heard_at.insert(vm, self.harness.now);
                self.harness.sync(vm);
            }
            self.check();
        }
    }

    fn check(&self) {
        let mut tasks: IndexSet<TaskId> = IndexSet::new();
        for (vm, run) in self.harness.running() {
            assert!(tasks.insert(run.task.clone()), "{run} on {vm} runs twice");
        }
        for (name, vm) in &self.harness.vms {
            assert!(
                vm.running.len() as u64 <= CORES,
                "{name} is over its capacity"
            );
        }
    }

    /// Ends all disturbances; every job has to be completed then.
    fn heal(&mut self) {
        self.silent.clear();
        self.harness.mode = StoreMode::Up;
        for vm in VMS {
            self.harness.vm(vm).draining = false;
        }
        for _ in 0..120 {
            self.step();
            VMS.iter().for_each(|vm| self.end_some(vm));
        }
        for id in self.jobs.clone() {
            // A job whose record was never stored is not known.
            let reply = self.harness.status(&id);
            let is_unknown =
                reply.is_none() || self.harness.lookups.iter().any(|j| j.as_str() == id);
            let completed = Some(JobReply::Status(JobState::Completed));
            assert!(is_unknown || reply == completed, "{id}: {reply:?}");
        }
    }
}

#[test]
fn no_task_runs_twice_beside_workers_that_drain_and_owners_that_change() {
    for seed in 0..SEEDS {
        let mut play = Play::new(seed);
        (0..3).for_each(|_| play.submit());
        for _ in 0..STEPS {
            play.disturb();
            play.step();
        }
        play.heal();
    }
}
