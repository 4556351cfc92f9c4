//! Tasks that make no progress: on a sick worker, or because they report it rarely.

mod harness;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobReply, JobState, StageSpec, TaskRun};

use harness::{Harness, job, stage};

const VMS: usize = 8;
const STEP: Duration = Duration::from_millis(100);

struct Play {
    harness: Harness,
    started: IndexMap<(Name, TaskRun), Instant>,
    /// How long each task works, and after what time its percentage rises.
    work: Duration,
    reports_every: Duration,
    /// VMs on which nothing makes progress.
    sick: IndexSet<Name>,
    starts: usize,
    sick_starts: usize,
}

impl Play {
    fn new(work: Duration, reports_every: Duration) -> Self {
        let mut harness = Harness::new();
        for n in 0..VMS {
            harness.add_vm(&format!("vm-{n}"), 16);
        }
        harness.sync_all();
        Self {
            harness,
            started: IndexMap::new(),
            work,
            reports_every,
            sick: IndexSet::new(),
            starts: 0,
            sick_starts: 0,
        }
    }

    fn play(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.harness.advance(STEP);
            self.work();
            self.harness.settle();
            let names: Vec<Name> = self.harness.vms.keys().cloned().collect();
            for name in names {
                self.harness.sync(&name);
            }
            self.observe();
        }
    }

    fn work(&mut self) {
        let now = self.harness.now;
        let (work, every) = (self.work, self.reports_every);
        for ((name, run), since) in &self.started {
            let is_sick = self.sick.contains(name);
            let vm = self.harness.vm(name);
            let ran = if is_sick {
                Duration::ZERO
            } else {
                now - *since
            };
            if ran >= work {
                vm.end(run, EndKind::Done);
            } else if let Some(row) = vm.running.iter_mut().find(|row| row.run == *run) {
                let reported =
                    every * u32::try_from(ran.as_millis() / every.as_millis()).expect("few");
                row.percent = 100.0 * reported.as_secs_f64() / work.as_secs_f64();
            }
        }
    }

    fn observe(&mut self) {
        let running = self.harness.running();
        self.started.retain(|key, _| running.contains(key));
        for (vm, run) in running {
            if !self.started.contains_key(&(Arc::clone(&vm), run.clone())) {
                self.starts += 1;
                self.sick_starts += usize::from(self.sick.contains(&vm));
                self.started.insert((vm, run), self.harness.now);
            }
        }
    }

    /// Plays a gang, of which all members end with the first one.
    fn play_gang(&mut self, members: usize, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.play(STEP);
            if (1..members).contains(&self.harness.running().len()) {
                self.harness.break_gang("job");
            }
        }
    }

    fn is_completed(&mut self, id: &str) -> bool {
        self.harness.status(id) == Some(JobReply::Status(JobState::Completed))
    }
}

// Guards against a task that reports its progress rarely and is stopped again and again.
#[test]
fn task_that_reports_progress_rarely_is_done() {
    for every_s in [3, 7, 15] {
        let work = Duration::from_secs(60);
        let mut play = Play::new(work, Duration::from_secs(every_s));
        play.harness.submit("job", job(vec![stage(3, 1)]));

        play.play(2 * work + Duration::from_secs(60));

        assert!(play.is_completed("job"), "each {every_s} s");
    }
}

#[test]
fn gang_that_reports_progress_rarely_is_done() {
    let work = Duration::from_secs(30);
    let mut play = Play::new(work, Duration::from_secs(5));
    let gang = StageSpec {
        gang: true,
        ..stage(3, 1)
    };
    play.harness.submit("job", job(vec![gang]));

    play.play_gang(3, 2 * work + Duration::from_secs(60));

    assert!(play.is_completed("job"));
}

#[test]
fn worker_on_which_tasks_stand_still_is_quarantined() {
    let mut play = Play::new(Duration::from_secs(1), STEP);
    play.sick.insert("vm-3".into());
    for n in 0..3 {
        play.harness
            .submit(&format!("job-{n}"), job(vec![stage(16, 1)]));
    }
    play.play(Duration::from_secs(3));
    let before = play.sick_starts;

    for n in 3..6 {
        play.harness
            .submit(&format!("job-{n}"), job(vec![stage(16, 1)]));
    }
    play.play(Duration::from_secs(2));

    assert!(before > 0, "the worker was used");
    assert_eq!(play.sick_starts, before);
}

#[test]
fn task_on_two_sick_workers_in_turn_is_done() {
    let mut play = Play::new(Duration::from_secs(1), STEP);
    play.sick.extend(["vm-0".into(), "vm-1".into()]);
    play.harness.submit("job", job(vec![stage(1, 1)]));

    play.play(Duration::from_secs(10));

    assert!(play.is_completed("job"));
}
