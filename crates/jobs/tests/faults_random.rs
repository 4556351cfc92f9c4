//! Random mixes of hopeless jobs, sick workers and takeovers.
//!
//! `FAULT_SEEDS=200 cargo test -p jobs --test faults_random` plays more seeds, from `FAULT_FIRST` on.

mod harness;

use base::prelude::*;
use jobs::report::{EndKind, RejectKind};
use jobs::{JobReply, JobSpec, JobState, StageSpec, TaskRun};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use harness::{Harness, job, stage};

const CORES: u64 = 64;
const STEP: Duration = Duration::from_millis(50);
const TRAFFIC: Duration = Duration::from_secs(40);

/// How long a job may have no run while workers have room for it, once all has been calm for `CALM`.
const MAX_IDLE: Duration = Duration::from_secs(3);
const CALM: Duration = Duration::from_secs(4);

/// How long after the last trouble everything is done.
const FINISH: Duration = Duration::from_secs(14);

/// How a worker is sick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sickness {
    Fails,
    Sheds,
    StandsStill,
}

/// What the tasks of a job do.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    DoneAfter(Duration),
    FailsAfter(Duration),
    Lasts,
}

struct Play {
    rng: ChaCha8Rng,
    harness: Harness,
    jobs: IndexMap<Name, Behaviour>,
    gangs: IndexSet<Name>,
    started: IndexMap<(Name, TaskRun), Instant>,
    /// The VM that each run was ordered on.
    ordered: IndexMap<TaskRun, Name>,
    sick: IndexMap<Name, (Sickness, Instant)>,
    /// Since when each job that can be done has had no run.
    idle_since: IndexMap<Name, Instant>,
    last_trouble: Instant,
    log: Vec<String>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::new();
        for n in 0..rng.random_range(6..12) {
            harness.add_vm(&format!("vm-{n}"), CORES);
        }
        harness.sync_all();
        Self {
            last_trouble: harness.now,
            rng,
            harness,
            jobs: IndexMap::new(),
            gangs: IndexSet::new(),
            started: IndexMap::new(),
            ordered: IndexMap::new(),
            sick: IndexMap::new(),
            idle_since: IndexMap::new(),
            log: Vec::new(),
        }
    }

    fn note(&mut self, text: String) {
        self.log.push(format!("{} {text}", self.harness.unix_ms));
    }

    fn submit(&mut self, spec: JobSpec, behaviour: Behaviour) {
        let id = format!("job-{}", self.jobs.len());
        self.note(format!(
            "{id}: {behaviour:?}, {} tasks",
            spec.stages[0].tasks
        ));
        if spec.stages[0].gang {
            self.gangs.insert(id.as_str().into());
        }
        self.harness.submit(&id, spec);
        if !matches!(behaviour, Behaviour::FailsAfter(_)) {
            self.idle_since.insert(id.as_str().into(), self.harness.now);
        }
        self.jobs.insert(id.as_str().into(), behaviour);
    }

    fn submit_ordinary(&mut self) {
        let tasks = self.rng.random_range(1..7);
        let ms = self.rng.random_range(300..1500);
        let done_after = Behaviour::DoneAfter(Duration::from_millis(ms));
        self.submit(job(vec![stage(tasks, 1)]), done_after);
    }

    fn submit_hopeless(&mut self) {
        let spec = StageSpec {
            standing: self.rng.random_ratio(2, 3),
            gang: self.rng.random_ratio(1, 8),
            ..stage(self.rng.random_range(1..13), 1)
        };
        let ms = *[50, 100, 400, 1000, 2500, 4000]
            .get(self.rng.random_range(0..6))
            .expect("one of six");
        let fails_after = Behaviour::FailsAfter(Duration::from_millis(ms));
        self.submit(job(vec![spec]), fails_after);
    }

    fn submit_standing(&mut self) {
        let spec = StageSpec {
            standing: true,
            ..stage(self.rng.random_range(1..7), 1)
        };
        self.submit(job(vec![spec]), Behaviour::Lasts);
    }

    /// Makes a worker sick for a while, at most one in five at a time.
    fn make_sick(&mut self) {
        let vms = self.harness.vms.len();
        if self.sick.len() >= vms.div_ceil(5) {
            return;
        }
        let vm: Name = format!("vm-{}", self.rng.random_range(0..vms)).into();
        let kinds = [Sickness::Fails, Sickness::Sheds, Sickness::StandsStill];
        let sickness = kinds[self.rng.random_range(0..3)];
        let until = self.harness.now + Duration::from_millis(self.rng.random_range(1000..6500));
        self.note(format!("{vm} is sick: {sickness:?}"));
        self.sick.insert(vm, (sickness, until));
    }

    fn trouble(&mut self) {
        match self.rng.random_range(0..400) {
            0..20 => self.submit_ordinary(),
            20..24 => self.submit_hopeless(),
            24..26 => self.submit_standing(),
            26..30 => self.make_sick(),
            30 => {
                self.note("takeover".into());
                self.last_trouble = self.harness.now;
                self.harness.take_over();
            }
            _ => {}
        }
    }

    fn play(&mut self, time: Duration, has_trouble: bool) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.harness.advance(STEP);
            if has_trouble {
                self.trouble();
            }
            self.heal();
            self.end_runs();
            self.harness.settle();
            let names: Vec<Name> = self.harness.vms.keys().cloned().collect();
            for name in names {
                self.harness.sync(&name);
            }
            self.observe();
        }
    }

    fn heal(&mut self) {
        let now = self.harness.now;
        self.sick.retain(|_, (_, until)| *until > now);
        if !self.sick.is_empty() {
            self.last_trouble = now;
        }
        for (name, vm) in &mut self.harness.vms {
            let sheds = self.sick.get(name).is_some_and(|s| s.0 == Sickness::Sheds);
            vm.is_shedding = sheds;
            vm.rejects = sheds.then_some(RejectKind::Room);
        }
    }

    fn end_runs(&mut self) {
        let now = self.harness.now;
        for ((name, run), since) in &self.started {
            let ran = now.duration_since(*since);
            let sickness = self.sick.get(name).map(|(sickness, _)| *sickness);
            let vm = self.harness.vm(name);
            let how = match (sickness, self.jobs[run.task.job.as_str()]) {
                (Some(Sickness::Fails), _) => EndKind::Failed,
                (Some(Sickness::StandsStill), Behaviour::DoneAfter(_)) => {
                    let row = vm.running.iter_mut().find(|row| row.run == *run);
                    if let Some(row) = row {
                        row.percent = 0.0;
                    }
                    continue;
                }
                (_, Behaviour::FailsAfter(after)) if ran >= after => EndKind::Failed,
                (_, Behaviour::DoneAfter(after)) if ran >= after => EndKind::Done,
                _ => continue,
            };
            vm.end(run, how);
            if how == EndKind::Failed && self.gangs.contains(run.task.job.as_str()) {
                self.harness.break_gang(run.task.job.as_str());
            }
        }
    }

    fn observe(&mut self) {
        let now = self.harness.now;
        let running = self.harness.running();
        self.started.retain(|key, _| running.contains(key));
        for (name, vm) in &self.harness.vms {
            for run in &vm.ordered {
                let on = self.ordered.entry(run.clone());
                let on = on.or_insert_with(|| Arc::clone(name));
                assert_eq!(on, name, "{run} was ordered on two workers");
            }
        }
        let mut with_run: IndexSet<Name> = IndexSet::new();
        for (vm, run) in running {
            with_run.insert(run.task.job.as_str().into());
            self.started.entry((vm, run)).or_insert(now);
        }
        let mut ended = Vec::new();
        for (id, since) in &mut self.idle_since {
            if with_run.contains(id) {
                *since = now;
            } else if now.duration_since(*since) >= STEP * 2 {
                ended.push(Arc::clone(id));
            }
        }
        for id in ended {
            match self.harness.status(&id) {
                Some(JobReply::Status(JobState::Completed) | JobReply::Failed { .. }) => {
                    self.idle_since.swap_remove(&id);
                }
                _ => {
                    let since = self.idle_since[&id].max(self.last_trouble + CALM);
                    let idle = now.saturating_duration_since(since);
                    assert!(
                        idle < MAX_IDLE,
                        "{id} is idle for {idle:?} though all is calm"
                    );
                }
            }
        }
    }

    /// Asserts that all is done that can be, and that what lasts runs.
    fn finish(&mut self) {
        self.play(FINISH, false);
        let jobs: Vec<(Name, Behaviour)> = self
            .jobs
            .iter()
            .map(|(id, b)| (Arc::clone(id), *b))
            .collect();
        for (id, behaviour) in jobs {
            let reply = self.harness.status(&id);
            match behaviour {
                Behaviour::DoneAfter(_) => assert!(
                    matches!(
                        reply,
                        Some(JobReply::Status(JobState::Completed) | JobReply::Failed { .. })
                    ),
                    "{id}: {reply:?}"
                ),
                Behaviour::Lasts => assert_eq!(reply, Some(JobReply::Status(JobState::Running))),
                Behaviour::FailsAfter(_) => {}
            }
        }
    }
}

fn from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

#[test]
fn hopeless_jobs_and_sick_workers_hold_back_no_other() {
    let first = from_env("FAULT_FIRST", 0);
    for seed in first..first + from_env("FAULT_SEEDS", 10) {
        let mut play = Play::new(seed);
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            play.play(TRAFFIC, true);
            play.finish();
        }));
        if outcome.is_err() {
            panic!("seed {seed}:\n{}", play.log.join("\n"));
        }
    }
}
