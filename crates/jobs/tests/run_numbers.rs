//! The numbers of runs: none is used twice, however many runs and owners there are.

mod harness;

use base::prelude::*;
use jobs::report::{EndKind, RejectKind, Rejected};
use jobs::{Faults, JobReply, JobSpec, JobState, StageSpec, TaskProgress, TaskRun};

use harness::{Harness, StoreMode, job, overwrite, stage};

/// More runs than an epoch has numbers of its own.
const MANY: usize = 1300;

/// Longer than the owner waits between starts that are rejected.
const PAUSE: Duration = Duration::from_secs(1);

const LAPSED: Duration = Duration::from_secs(12);

struct Play {
    harness: Harness,
    /// All runs that were ordered.
    used: IndexSet<TaskRun>,
}

impl Play {
    fn new(spec: JobSpec) -> Self {
        let mut harness = Harness::new();
        for name in ["one", "two"] {
            harness.add_vm(name, 16);
        }
        harness.sync_all();
        harness.submit("job", spec);
        Self {
            harness,
            used: IndexSet::new(),
        }
    }

    /// Lets the workers begin what is ordered and takes the runs; panics if one was used before.
    fn take_orders(&mut self) -> Vec<(Name, TaskRun)> {
        self.harness.advance(PAUSE);
        self.harness.sync_all();
        let running = self.harness.running();
        for (_, run) in &running {
            assert!(self.used.insert(run.clone()), "{run} was ordered before");
        }
        running
    }

    /// Turns all starts away until at least `runs` were ordered.
    fn reject(&mut self, runs: usize) {
        let before = self.used.len();
        while self.used.len() < before + runs {
            let running = self.take_orders();
            assert!(!running.is_empty(), "a run is ordered");
            for (vm, run) in running {
                let vm = self.harness.vm(&vm);
                vm.running.retain(|row| row.run != run);
                vm.rejected.push(Rejected {
                    run,
                    why: RejectKind::Room,
                });
            }
            self.harness.sync_all();
        }
    }

    /// Ends all runs until at least `runs` were ordered.
    fn end(&mut self, runs: usize, how: EndKind) {
        let before = self.used.len();
        while self.used.len() < before + runs {
            let running = self.take_orders();
            assert!(!running.is_empty(), "a run is ordered");
            for (vm, run) in running {
                self.harness.vm(&vm).end(&run, how);
            }
            self.harness.sync_all();
        }
    }

    /// Replaces the owner; the workers turn the last orders of the previous one away.
    fn take_over(&mut self) {
        self.turn_away();
        self.harness.take_over();
        self.harness.sync_all();
    }

    fn turn_away(&mut self) {
        for (vm, run) in self.harness.running() {
            self.harness.vm(&vm).running.clear();
            self.used.insert(run);
        }
    }

    /// Asserts that what waits starts under numbers that were not used before.
    fn assert_starts(&mut self) {
        let running = self.take_orders();
        assert!(!running.is_empty(), "a run is ordered");
    }
}

fn standing() -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        ..stage(1, 1)
    }])
}

// Guards against a successor that orders runs under numbers that its predecessor used.
#[test]
fn successor_continues_after_many_rejected_runs() {
    let mut play = Play::new(standing());
    play.reject(MANY);

    play.take_over();

    play.assert_starts();
}

#[test]
fn each_of_several_owners_continues_after_many_runs() {
    let mut play = Play::new(standing());

    for _ in 0..4 {
        play.reject(MANY);
        play.take_over();
    }

    play.assert_starts();
}

#[test]
fn successors_of_an_owner_with_many_runs_use_new_numbers_though_they_order_few() {
    let mut play = Play::new(standing());
    play.reject(3 * MANY);

    for _ in 0..6 {
        play.take_over();
        play.reject(2);
    }
}

#[test]
fn successor_of_an_owner_that_stepped_down_continues_after_many_runs() {
    let mut play = Play::new(standing());
    play.reject(MANY);

    play.turn_away();
    play.harness.step_down();
    play.harness.sync_all();

    play.assert_starts();
}

#[test]
fn successor_continues_after_many_runs_of_a_batch_task() {
    let mut play = Play::new(job(vec![stage(1, 1)]));
    play.reject(MANY);
    play.take_over();

    play.end(1, EndKind::Done);

    let completed = Some(JobReply::Status(JobState::Completed));
    assert_eq!(play.harness.status("job"), completed);
}

#[test]
fn successor_continues_after_many_runs_of_a_gang() {
    let gang = StageSpec {
        gang: true,
        ..stage(4, 1)
    };
    let mut play = Play::new(job(vec![gang]));
    play.end(4 * MANY, EndKind::Alone);

    play.take_over();

    play.assert_starts();
}

#[test]
fn successor_continues_after_many_failed_runs() {
    let mut play = Play::new(standing());
    play.end(MANY, EndKind::Failed);

    play.take_over();

    play.assert_starts();
}

#[test]
fn successor_continues_while_the_predecessors_worker_is_silent() {
    let mut play = Play::new(standing());
    play.reject(MANY);
    let running = play.take_orders();
    let silent = Arc::clone(&running[0].0);
    let other = if &*silent == "one" { "two" } else { "one" };

    play.harness.take_over();
    play.harness.pass(LAPSED, &[other]);
    let runs = play.harness.running();
    let started = runs.iter().find(|(vm, _)| &**vm == other);

    let run = &started.expect("the task runs on the other worker").1;
    assert!(!play.used.contains(run), "{run} was ordered before");
}

#[test]
fn run_beyond_the_reserved_numbers_waits_for_the_store() {
    let mut play = Play::new(standing());
    play.reject(700);
    play.harness.mode = StoreMode::Unavailable;
    let before = play.used.len();
    for _ in 0..MANY {
        let running = play.take_orders();
        for (vm, run) in running {
            let vm = play.harness.vm(&vm);
            vm.running.clear();
            vm.rejected.push(Rejected {
                run,
                why: RejectKind::Room,
            });
        }
    }
    assert!(play.used.len() - before < 400, "{} runs", play.used.len());
    let used = play.used.len();

    play.harness.mode = StoreMode::Up;
    play.harness.advance(PAUSE);
    play.reject(MANY);
    play.take_over();

    assert!(play.used.len() > used);
    play.assert_starts();
}

#[test]
fn progress_of_an_earlier_version_is_read() {
    let mut play = Play::new(standing());
    play.reject(2);
    let tasks: Vec<(u32, TaskProgress)> = Vec::new();
    let earlier = (JobState::Running, tasks, None::<u64>, Faults::default());
    let earlier = postcard::to_stdvec(&earlier).expect("encodable");
    overwrite(&mut play.harness, "mt/progress/job", &earlier);

    play.take_over();

    play.assert_starts();
}

// Guards against numbers that stop rising once there were millions of owners.
#[test]
fn owners_of_late_epochs_use_different_numbers() {
    let mut play = Play::new(standing());
    for epoch in [5_000_000, 5_000_001, 1 << 40] {
        play.harness.take_over_as(epoch);
        play.harness.sync_all();

        play.reject(2);
    }
}
