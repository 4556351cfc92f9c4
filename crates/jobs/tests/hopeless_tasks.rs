//! Tasks that fail wherever they run, beside others that do not.

mod harness;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobReply, JobSpec, JobState, StageSpec, TaskRun};

use harness::{Harness, job, stage, terms};

const VMS: usize = 11;
const CORES: u64 = 64;
const STEP: Duration = Duration::from_millis(50);

/// How long a job may have no run while workers have room for it.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// How long a standing task may have no run after its last one, before that time counts.
const MAX_RESTART: Duration = Duration::from_secs(6);

/// A deployment whose runs end by themselves.
struct Play {
    harness: Harness,
    /// The runs in progress with their VMs and when they started.
    started: IndexMap<(Name, TaskRun), Instant>,
    /// Jobs whose tasks fail, and after what time.
    hopeless: IndexMap<Name, Duration>,
    /// VMs on which all tasks fail at once.
    sick: IndexSet<Name>,
    /// When jobs were last seen with a run, or accepted.
    last_run: IndexMap<Name, Instant>,
    /// The longest time that each job was without a run before it ended.
    longest_idle: IndexMap<Name, Duration>,
    /// All starts by job, with their times.
    starts: IndexMap<Name, Vec<Instant>>,
    /// Starts on sick VMs.
    sick_starts: usize,
}

impl Play {
    fn new() -> Self {
        let mut harness = Harness::new();
        for n in 0..VMS {
            harness.add_vm(&format!("vm-{n}"), CORES);
            let label = if n + 1 == VMS { "last" } else { "other" };
            harness.vm(&format!("vm-{n}")).labels.push(label.into());
        }
        harness.sync_all();
        Self {
            harness,
            started: IndexMap::new(),
            hopeless: IndexMap::new(),
            sick: IndexSet::new(),
            last_run: IndexMap::new(),
            longest_idle: IndexMap::new(),
            starts: IndexMap::new(),
            sick_starts: 0,
        }
    }

    fn submit(&mut self, id: &str, spec: JobSpec) {
        self.harness.submit(id, spec);
        self.last_run.insert(id.into(), self.harness.now);
    }

    fn submit_hopeless(&mut self, id: &str, spec: JobSpec, fails_after: Duration) {
        self.hopeless.insert(id.into(), fails_after);
        self.submit(id, spec);
    }

    fn state(&mut self, id: &str) -> JobState {
        match self.harness.status(id) {
            Some(JobReply::Status(state)) => state,
            Some(JobReply::Failed { .. }) => JobState::Failed,
            other => panic!("expected the state of {id}, got {other:?}"),
        }
    }

    fn play(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.step();
        }
    }

    fn step(&mut self) {
        self.harness.advance(STEP);
        let now = self.harness.now;
        for ((vm, run), since) in &self.started {
            let ran = now.duration_since(*since);
            let job: Name = run.task.job.as_str().into();
            let how = match self.hopeless.get(&job) {
                _ if self.sick.contains(vm) => EndKind::Failed,
                Some(fails_after) if ran >= *fails_after => EndKind::Failed,
                None if job.starts_with("job") && ran >= Duration::from_secs(1) => EndKind::Done,
                _ => continue,
            };
            self.harness.vm(vm).end(run, how);
        }
        self.harness.settle();
        let names: Vec<Name> = self.harness.vms.keys().cloned().collect();
        for name in names {
            self.harness.sync(&name);
        }
        self.observe();
    }

    fn observe(&mut self) {
        let now = self.harness.now;
        let running = self.harness.running();
        self.started.retain(|key, _| running.contains(key));
        for (vm, run) in running {
            let job: Name = run.task.job.as_str().into();
            self.note_idle(&job);
            if !self.started.contains_key(&(Arc::clone(&vm), run.clone())) {
                self.sick_starts += usize::from(self.sick.contains(&vm));
                self.starts.entry(job).or_default().push(now);
                self.started.insert((vm, run), now);
            }
        }
    }

    /// Records that a job has a run now.
    fn note_idle(&mut self, job: &Name) {
        let now = self.harness.now;
        let last = self.last_run.insert(Arc::clone(job), now).unwrap_or(now);
        let longest = self.longest_idle.entry(Arc::clone(job)).or_default();
        *longest = (*longest).max(now.duration_since(last));
    }

    /// Submits an ordinary job each second; asserts that none is without a run for long.
    fn play_ordinary(&mut self, prefix: &str, seconds: u32) {
        for n in 0..seconds {
            self.submit(&format!("job-{prefix}-{n}"), job(vec![stage(6, 1)]));
            self.play(Duration::from_secs(1));
        }
        self.play(MAX_IDLE);
        for n in 0..seconds {
            let id = format!("job-{prefix}-{n}");
            let idle = self.longest_idle.get(id.as_str()).copied();
            assert!(
                idle.is_some_and(|t| t < MAX_IDLE),
                "{id} waited for {idle:?}"
            );
            assert_eq!(self.state(&id), JobState::Completed, "{id}");
        }
    }
}

fn standing(tasks: u32) -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        ..stage(tasks, 1)
    }])
}

fn play_with_hopeless_standing(fails_after_ms: u64) -> Play {
    let mut play = Play::new();
    for n in 0..VMS {
        play.submit(&format!("watch-{n}"), standing(1));
    }
    let fails_after = Duration::from_millis(fails_after_ms);
    play.submit_hopeless("hopeless", standing(12), fails_after);
    play.play(Duration::from_secs(6));
    play
}

// Guards against a standing job that fails everywhere and keeps all workers in quarantine.
#[test]
fn hopeless_standing_job_holds_back_no_other() {
    for fails_after_ms in [50, 100, 400, 1000, 2400, 3000, 8000] {
        let mut play = play_with_hopeless_standing(fails_after_ms);

        play.play_ordinary("a", 10);
    }
}

// Guards against a successor that quarantines workers anew for a job that fails everywhere.
#[test]
fn hopeless_standing_job_holds_back_no_other_under_the_next_owner() {
    for fails_after_ms in [100, 400, 1000] {
        let mut play = play_with_hopeless_standing(fails_after_ms);

        play.harness.take_over();
        play.play(Duration::from_secs(1));

        play.play_ordinary("a", 5);
    }
}

#[test]
fn many_hopeless_jobs_of_one_task_hold_back_no_other() {
    let mut play = Play::new();
    for n in 0..6 {
        play.submit_hopeless(
            &format!("hopeless-{n}"),
            standing(1),
            Duration::from_millis(100),
        );
    }
    play.play(Duration::from_secs(6));

    play.play_ordinary("a", 10);
}

#[test]
fn hopeless_standing_task_restarts_at_growing_intervals() {
    let mut play = Play::new();
    play.submit_hopeless("hopeless", standing(1), Duration::from_millis(100));

    play.play(Duration::from_secs(30));

    let starts = &play.starts["hopeless"];
    let gaps: Vec<Duration> = starts.windows(2).map(|w| w[1] - w[0]).collect();
    let early: Duration = gaps[..4].iter().sum();
    let late: Duration = gaps[gaps.len() - 4..].iter().sum();
    assert!(late > 2 * early, "{gaps:?}");
    assert!(gaps.iter().all(|gap| *gap < MAX_RESTART), "{gaps:?}");
}

#[test]
fn standing_task_that_fails_after_long_runs_restarts_at_once() {
    let mut play = Play::new();
    play.submit_hopeless("hopeless", standing(1), Duration::from_secs(5));

    play.play(Duration::from_secs(31));

    assert_eq!(play.starts["hopeless"].len(), 7);
    assert!(play.longest_idle["hopeless"] <= 2 * STEP);
}

#[test]
fn wide_hopeless_batch_job_fails_and_holds_back_no_other() {
    let mut play = Play::new();
    play.submit_hopeless(
        "hopeless",
        job(vec![stage(200, 1)]),
        Duration::from_millis(100),
    );

    play.play_ordinary("a", 5);

    assert_eq!(play.state("hopeless"), JobState::Failed);
}

#[test]
fn hopeless_gang_holds_back_no_other() {
    let mut play = Play::new();
    let gang = StageSpec {
        gang: true,
        ..stage(12, 1)
    };
    for n in 0..4 {
        let id = format!("hopeless-{n}");
        play.submit_hopeless(&id, job(vec![gang.clone()]), Duration::from_millis(100));
    }

    play.play_ordinary("a", 5);
}

#[test]
fn hopeless_best_effort_job_holds_back_no_other() {
    let mut play = Play::new();
    let filler = StageSpec {
        best_effort: true,
        ..stage(12, 1)
    };
    let spec = job(vec![StageSpec {
        standing: true,
        ..filler
    }]);
    play.submit_hopeless("hopeless", spec, Duration::from_millis(100));
    play.play(Duration::from_secs(3));

    play.play_ordinary("a", 5);
}

// Guards against a hopeless job that takes each probe of the only worker that others can use.
#[test]
fn hopeless_job_on_one_worker_leaves_its_probes_to_others() {
    let mut play = Play::new();
    let labelled = |spec: JobSpec| JobSpec {
        stages: spec
            .stages
            .into_iter()
            .map(|s| StageSpec {
                label: Some("last".into()),
                ..s
            })
            .collect(),
        ..spec
    };
    play.submit_hopeless(
        "hopeless",
        labelled(standing(6)),
        Duration::from_millis(100),
    );
    play.play(Duration::from_secs(6));

    for n in 0..6 {
        play.submit(&format!("job-{n}"), labelled(job(vec![stage(2, 1)])));
        play.play(Duration::from_secs(1));
    }
    play.play(MAX_IDLE);

    for n in 0..6 {
        let id = format!("job-{n}");
        assert!(play.longest_idle[id.as_str()] < MAX_IDLE, "{id}");
        assert_eq!(play.state(&id), JobState::Completed, "{id}");
    }
}

// Guards against failures of a hopeless job that hide a sick worker.
#[test]
fn sick_worker_is_quarantined_beside_a_hopeless_job() {
    let mut play = play_with_hopeless_standing(100);
    play.play_ordinary("a", 2);
    play.sick.insert("vm-3".into());

    for n in 0..20 {
        play.submit(&format!("job-b-{n}"), job(vec![stage(6, 1)]));
    }
    play.play(Duration::from_secs(2));

    let by_hopeless = play.starts["hopeless"].len();
    assert!(
        play.sick_starts <= 4 + by_hopeless / VMS,
        "{} starts",
        play.sick_starts
    );
}

// Guards against two sick workers that pass for a job that fails everywhere.
#[test]
fn two_sick_workers_are_quarantined() {
    let mut play = Play::new();
    for n in 0..VMS {
        play.submit(&format!("watch-{n}"), standing(11));
    }
    play.play(Duration::from_secs(5));
    play.sick.extend(["vm-3".into(), "vm-4".into()]);
    play.play(STEP);
    let before = play.sick_starts;

    for n in 0..10 {
        play.submit(&format!("job-{n}"), job(vec![stage(8, 1)]));
    }
    play.play(Duration::from_secs(2));

    assert!(
        play.sick_starts - before <= 8,
        "{} starts",
        play.sick_starts - before
    );
}

#[test]
fn task_that_stands_still_everywhere_holds_back_no_other() {
    let mut play = Play::new();
    play.submit("still", job(vec![stage(24, 1)]));
    for _ in 0..400 {
        play.step();
        for vm in play.harness.vms.values_mut() {
            for row in &mut vm.running {
                if row.run.task.job.as_str() == "still" {
                    row.percent = 0.0;
                }
            }
        }
    }

    play.play_ordinary("a", 5);
}

#[test]
fn attempts_of_a_hopeless_batch_task_are_limited() {
    let mut play = Play::new();
    play.harness
        .submit_under("hopeless", job(vec![stage(1, 1)]), terms(0));
    play.hopeless
        .insert("hopeless".into(), Duration::from_millis(100));

    play.play(Duration::from_secs(5));

    assert_eq!(play.starts["hopeless"].len(), 3);
    assert_eq!(play.state("hopeless"), JobState::Failed);
}
