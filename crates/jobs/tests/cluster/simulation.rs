//! A simulated cluster in virtual time: latency-critical tasks with periodic load, best-effort
//! tasks that interfere with them, and callers whose jobs have deadlines.
//!
//! The model follows the users' platform as its status reports show it: the tail latency of a
//! service is that of a queue, its baseline load oscillates with a phase of its own, and the
//! interference of a pair of classes is either low or high. The owner sees whole milliseconds,
//! averaged over half a second.

use std::f64::consts::TAU;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobReply, JobRequest, JobSpec, JobState, StageSpec, TaskId, TaskRun};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{Harness, ROUTE};
use crate::workload::BestEffortJob;

const STEP: Duration = Duration::from_millis(50);

/// The maximum age of measurements and status reports.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// The tail latency of an idle service, in milliseconds.
pub(crate) const IDLE_TAIL_MS: f64 = 4.0;

/// The ratio of the latency target to the idle tail latency.
pub(crate) const TARGET_FACTOR: f64 = 4.5;

/// The baseline load of a service: its mean, and the amplitude and period of its oscillation.
const MEAN_LOAD: f64 = 0.43;
const LOAD_AMPLITUDE: f64 = 0.22;
const LOAD_PERIOD_SECONDS: f64 = 10.0;

/// The load from which requests queue up.
const SATURATED: f64 = 0.95;

/// The tail latency that each second of queued work adds, in milliseconds.
const BACKLOG_MS: f64 = 1000.0;

/// How long a throttle takes to have effect, in seconds.
const THROTTLE_DELAY: f64 = 0.15;

/// The share of class pairs with high interference.
const HIGH_INTERFERENCE_SHARE: f64 = 0.65;

/// How long best-effort jobs are submitted, in seconds.
const TRAFFIC: f64 = 30.0;

/// The route of quick jobs.
pub(crate) const QUICK_ROUTE: &str = "quick";

/// The swing of the rate of quick jobs, and its period in seconds.
const WAVE: (f64, f64) = (0.55, 17.0);

/// How long before the traffic latency-critical jobs are submitted, in seconds.
const WARM_UP: f64 = 5.0;

/// The size of a cluster and its workload.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub workers: usize,
    pub latency_critical_jobs: usize,
    pub latency_critical_classes: usize,
    pub best_effort_classes: usize,
    /// The mean number of tasks of a latency-critical job, and of a best-effort stage.
    pub mean_tasks: (f64, f64),
    /// The number of best-effort jobs submitted per second.
    pub rate: f64,
    /// Other shapes, and tasks that are charged beside the latency-critical ones.
    pub mix: Option<Mix>,
}

/// A cluster of eleven workers with its normal rate of best-effort jobs.
pub const SMALL: Size = Size {
    workers: 11,
    latency_critical_jobs: 9,
    latency_critical_classes: 5,
    best_effort_classes: 9,
    mean_tasks: (6.0, 8.0),
    rate: 1.1,
    mix: None,
};

/// The same cluster grown to 53 workers.
pub const GROWN: Size = Size {
    workers: 53,
    latency_critical_jobs: 18,
    latency_critical_classes: 10,
    best_effort_classes: 18,
    mean_tasks: (14.0, 20.0),
    rate: 2.4,
    mix: None,
};

/// Shapes of workers and tasks where small and large tasks want the same room.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// The size of two thirds of the workers; the others are half as large again.
    pub worker: Resources,
    /// The mean size of the tasks of latency-critical, heavy and quick jobs.
    pub standing: Resources,
    pub heavy: Resources,
    pub quick: Resources,
    /// The number of quick and of further latency-critical jobs submitted per second.
    pub quick_rate: f64,
    pub standing_rate: f64,
    /// Whether heavy tasks are best-effort or charged.
    pub is_heavy_best_effort: bool,
    /// The share of tasks that take seven times as long.
    pub tail: f64,
    /// By how much the declared run times of quick and heavy tasks are off at most.
    pub declared_off: (f64, f64),
}

/// The results for the callers of jobs and the users of services.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The value of completed best-effort jobs, late ones at 15%, over that of all submitted ones.
    pub best_effort: f64,
    /// The share of time in which latency-critical tasks were within their target; time over it
    /// is subtracted three times.
    pub services: f64,
    /// The longest time a task was over its target next to running best-effort tasks, in seconds.
    pub longest_over: f64,
    /// The value of completed quick jobs, as for best-effort ones.
    pub quick: f64,
    /// The times from a submission to the start of each task of its first stage: median and 99%
    /// quantile, in seconds, of latency-critical, heavy and quick jobs.
    pub waits: [(f64, f64); 3],
    /// The share of tasks that did not start within the simulation, in the same order.
    pub unstarted: [f64; 3],
}

pub struct Simulation {
    pub(crate) harness: Harness,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) size: Size,
    pub(crate) specs: IndexMap<JobId, JobSpec>,
    /// The interference by latency-critical class and best-effort class.
    interference: Vec<Vec<f64>>,
    pub(crate) phases: Vec<f64>,
    pub(crate) best_effort_jobs: Vec<BestEffortJob>,
    /// The work that a task has done, in seconds.
    progress: IndexMap<TaskRun, f64>,
    queue: IndexMap<TaskRun, f64>,
    measurements: IndexMap<TaskRun, (f64, f64)>,
    over: IndexMap<TaskRun, f64>,
    /// The speed of a best-effort task, the one ordered, and since when.
    speeds: IndexMap<TaskRun, (u32, u32, f64)>,
    pub(crate) now: f64,
    outcome: Outcome,
    served: (f64, f64),
    /// The latency-critical jobs: when each was submitted.
    pub(crate) standing_since: Vec<f64>,
    /// How many of them were cancelled.
    pub(crate) cancelled: usize,
    /// When each task of a first stage was submitted, until it starts.
    pub(crate) unstarted: IndexMap<TaskId, f64>,
    /// The waits of the tasks that have started, by kind.
    waits: IndexMap<String, Vec<f64>>,
}

impl Simulation {
    pub fn new(size: Size, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::new();
        for i in 0..size.workers {
            let is_large = rng.random_bool(0.33);
            let cores = if is_large { 96 } else { 64 };
            harness.add_vm(&format!("vm-{i}"), cores);
            let vm = harness.vm(&format!("vm-{i}"));
            vm.capacity = Resources::new(cores, 250 * 1024, 0);
            if let Some(mix) = size.mix {
                let half = if is_large { 1 } else { 0 };
                let more = Resources {
                    cpu_milli: half * mix.worker.cpu_milli / 2,
                    memory_mib: half * mix.worker.memory_mib / 2,
                    accelerators: 0,
                };
                vm.capacity = mix.worker + more;
            }
            vm.labels = vec!["a".into(), format!("r-{}", i / 3).into()];
        }
        harness.sync_all();
        let pair = |rng: &mut ChaCha8Rng| {
            if rng.random_bool(HIGH_INTERFERENCE_SHARE) {
                rng.random_range(0.7..2.2)
            } else {
                rng.random_range(0.0..0.25)
            }
        };
        let interference = (0..size.latency_critical_classes)
            .map(|_| {
                (0..size.best_effort_classes)
                    .map(|_| pair(&mut rng))
                    .collect()
            })
            .collect();
        Self {
            harness,
            size,
            specs: IndexMap::new(),
            interference,
            phases: Vec::new(),
            best_effort_jobs: Vec::new(),
            progress: IndexMap::new(),
            queue: IndexMap::new(),
            measurements: IndexMap::new(),
            over: IndexMap::new(),
            speeds: IndexMap::new(),
            now: -WARM_UP,
            outcome: Outcome::default(),
            served: (0.0, 0.0),
            standing_since: Vec::new(),
            cancelled: 0,
            unstarted: IndexMap::new(),
            waits: IndexMap::new(),
            rng,
        }
    }

    /// Runs the simulation and returns its outcome.
    pub fn run_to_end(mut self) -> Outcome {
        let mut next = 0.0;
        let mut reported = vec![-WARM_UP; self.size.workers];
        while self.now < TRAFFIC + if self.size.mix.is_some() { 25.0 } else { 8.0 } {
            if self.phases.len() < self.size.latency_critical_jobs {
                self.submit_latency_critical_job();
            }
            if self.now >= next && self.now < TRAFFIC {
                self.submit_best_effort_job();
                next += -self.rng.random::<f64>().ln() / self.size.rate;
            }
            self.submit_mix();
            self.harness.advance(STEP);
            self.now += STEP.as_secs_f64();
            for (i, last) in reported.iter_mut().enumerate() {
                let has_ended = self.work(i);
                if has_ended || self.now - *last >= REPORT_EVERY.as_secs_f64() {
                    *last = self.now;
                    self.report(i);
                }
            }
            self.poll_jobs();
        }
        self.outcome_of()
    }

    /// Returns the baseline load of a latency-critical job.
    fn baseline_load(&self, job: usize) -> f64 {
        let turn = self.now / LOAD_PERIOD_SECONDS * TAU;
        MEAN_LOAD + LOAD_AMPLITUDE * (turn + self.phases[job]).sin()
    }

    /// Simulates the tasks on a worker for one step; returns true if a run has ended.
    fn work(&mut self, i: usize) -> bool {
        let seconds = STEP.as_secs_f64();
        let name = format!("vm-{i}");
        let vm = self.harness.vm(&name).clone();
        let cores = vm.capacity.cpu_milli as f64 / 1000.0;
        let mut latency_critical = Vec::new();
        let mut best_effort = Vec::new();
        let mut charged = Vec::new();
        for row in &vm.running {
            let (kind, at) = split(&row.run);
            if let Some(since) = self.unstarted.swap_remove(&row.run.task) {
                let waits = self.waits.entry(kind.to_string()).or_default();
                waits.push(self.now - since);
            }
            match kind {
                "serving" => latency_critical.push((row.run.clone(), at)),
                _ if !self.spec(&row.run).best_effort => charged.push((row.run.clone(), at)),
                _ => best_effort.push((row.run.clone(), at)),
            }
        }
        let wanted: Vec<f64> = best_effort
            .iter()
            .map(|(run, _)| {
                let ordered = vm.throttles.get(run).copied().unwrap_or(100);
                self.cores_of(run) * self.effective_speed(run, ordered)
            })
            .collect();
        let taken: f64 = latency_critical
            .iter()
            .map(|(run, at)| self.cores_of(run) * self.baseline_load(*at))
            .sum::<f64>()
            + charged
                .iter()
                .map(|(run, _)| self.cores_of(run))
                .sum::<f64>();
        let total: f64 = wanted.iter().sum();
        let share = if total > 0.0 {
            ((cores - taken) / total).clamp(0.0, 1.0)
        } else {
            1.0
        };
        let mut used: IndexMap<usize, f64> = IndexMap::new();
        let mut ended = Vec::new();
        for ((run, at), wanted) in best_effort.iter().zip(&wanted) {
            let using = wanted * share;
            *used.entry(self.class_of(run)).or_default() += using / cores;
            self.record_measurement(run, using * 1000.0);
            let task = TaskRun {
                attempt: Attempt(0),
                ..run.clone()
            };
            let speed = using / self.cores_of(run);
            let done = self.progress.entry(task).or_default();
            *done += speed * seconds;
            let work =
                self.best_effort_jobs[*at].work[run.task.stage as usize][run.task.index as usize];
            let percent = (*done / work * 100.0).min(99.0);
            let is_done = *done >= work;
            if let Some(row) = self.row(&name, run) {
                row.percent = percent;
            }
            if is_done {
                ended.push(run.clone());
            }
        }
        for (run, at) in &charged {
            let task = TaskRun {
                attempt: Attempt(0),
                ..run.clone()
            };
            let done = self.progress.entry(task).or_default();
            *done += seconds;
            let work =
                self.best_effort_jobs[*at].work[run.task.stage as usize][run.task.index as usize];
            let is_done = *done >= work;
            let percent = (*done / work * 100.0).min(99.0);
            if let Some(row) = self.row(&name, run) {
                row.percent = percent;
            }
            if is_done {
                ended.push(run.clone());
            }
        }
        for (run, at) in &latency_critical {
            let interference: f64 = used
                .iter()
                .map(|(class, used)| self.interference[self.class_of(run)][*class] * used)
                .sum();
            let noise = self.rng.random_range(-0.03..0.03);
            let load = self.baseline_load(*at) + interference + noise;
            let queue = self.queue.entry(run.clone()).or_default();
            *queue = (*queue + (load - SATURATED) * seconds).max(0.0);
            let tail = IDLE_TAIL_MS / (1.0 - load.min(SATURATED)) + *queue * BACKLOG_MS;
            self.score_step(run, tail, interference > 0.05);
            self.record_measurement(run, tail);
        }
        for run in &ended {
            self.harness.vm(&name).end(run, EndKind::Done);
        }
        !ended.is_empty()
    }

    /// Returns the current speed of a best-effort task, as a share.
    fn effective_speed(&mut self, run: &TaskRun, ordered: u32) -> f64 {
        let ordered_speed = self
            .speeds
            .entry(run.clone())
            .or_insert((100, ordered, self.now));
        if ordered_speed.1 != ordered {
            *ordered_speed = (ordered_speed.0, ordered, self.now);
        }
        if self.now - ordered_speed.2 >= THROTTLE_DELAY {
            ordered_speed.0 = ordered_speed.1;
        }
        f64::from(ordered_speed.0) / 100.0
    }

    /// Scores one step of a latency-critical task.
    fn score_step(&mut self, run: &TaskRun, tail: f64, is_disturbed: bool) {
        let seconds = STEP.as_secs_f64();
        self.served.1 += seconds;
        let over = self.over.entry(run.clone()).or_default();
        if tail <= IDLE_TAIL_MS * TARGET_FACTOR {
            self.served.0 += seconds;
            *over = 0.0;
        } else {
            self.served.0 -= 3.0 * seconds;
            if is_disturbed {
                *over += seconds;
                self.outcome.longest_over = self.outcome.longest_over.max(*over);
            }
        }
    }

    /// Smooths a measurement over about half a second.
    fn record_measurement(&mut self, run: &TaskRun, measurement: f64) {
        let entry = self
            .measurements
            .entry(run.clone())
            .or_insert((measurement, measurement));
        entry.0 += (measurement - entry.0) * STEP.as_secs_f64() / 0.25;
    }

    fn report(&mut self, i: usize) {
        let name = format!("vm-{i}");
        let measurements = std::mem::take(&mut self.measurements);
        for row in &mut self.harness.vm(&name).running {
            row.gauge = measurements.get(&row.run).map_or(0.0, |f| f.0.round());
        }
        self.measurements = measurements;
        self.harness.sync(&name);
    }

    fn poll_jobs(&mut self) {
        for at in 0..self.best_effort_jobs.len() {
            let job = &self.best_effort_jobs[at];
            if job.done.is_some() {
                continue;
            }
            let id = job.id.clone();
            let route = if id.starts_with("quick") {
                QUICK_ROUTE
            } else {
                ROUTE
            };
            let token = self.harness.request(JobRequest::Status {
                job: id.as_str().into(),
                route: crate::harness::route(route),
            });
            let state = self.harness.replies.swap_remove(&token);
            if matches!(state, Some(JobReply::Status(JobState::Completed))) {
                self.best_effort_jobs[at].done = Some(self.now);
            }
        }
    }

    fn outcome_of(mut self) -> Outcome {
        let earned = |f: &BestEffortJob| match f.done {
            Some(at) if at - f.submitted_at <= f.due => f.value,
            Some(at) if at - f.submitted_at <= 3.0 * f.due => 0.15 * f.value,
            _ => 0.0,
        };
        let share = |kind: &str| {
            let jobs = self.best_effort_jobs.iter();
            let jobs: Vec<_> = jobs.filter(|j| j.id.starts_with(kind)).collect();
            let submitted: f64 = jobs.iter().map(|f| f.value).sum();
            jobs.into_iter().map(earned).sum::<f64>() / submitted.max(f64::MIN_POSITIVE)
        };
        self.outcome.best_effort = share("fill");
        self.outcome.quick = share("quick");
        for (at, kind) in ["serving", "fill", "quick"].into_iter().enumerate() {
            let mut waits = self.waits.swap_remove(kind).unwrap_or_default();
            let left = self.unstarted.iter();
            let left = left.filter(|(task, _)| task.job.as_str().starts_with(kind));
            let left: Vec<f64> = left.map(|(_, since)| self.now - since).collect();
            self.outcome.unstarted[at] =
                left.len() as f64 / (left.len() + waits.len()).max(1) as f64;
            waits.extend(left);
            waits.sort_by(f64::total_cmp);
            let quantile = |share: f64| {
                let at = (waits.len() as f64 * share) as usize;
                waits
                    .get(at.min(waits.len().saturating_sub(1)))
                    .copied()
                    .unwrap_or(0.0)
            };
            self.outcome.waits[at] = (quantile(0.5), quantile(0.99));
        }
        self.outcome.services = self.served.0 / self.served.1;
        self.outcome
    }

    fn row(&mut self, vm: &str, run: &TaskRun) -> Option<&mut jobs::report::RunningRow> {
        let rows = &mut self.harness.vm(vm).running;
        rows.iter_mut().find(|r| r.run == *run)
    }

    fn spec(&self, run: &TaskRun) -> &StageSpec {
        let spec = self.specs.get(&run.task.job);
        &spec.expect("the job was submitted").stages[run.task.stage as usize]
    }

    /// Submits the quick and the further latency-critical jobs that are due.
    fn submit_mix(&mut self) {
        let Some(mix) = self.size.mix.filter(|_| (0.0..TRAFFIC).contains(&self.now)) else {
            return;
        };
        let seconds = STEP.as_secs_f64();
        let wave = 1.0 + WAVE.0 * (self.now / WAVE.1 * TAU).sin();
        if self.rng.random_bool(mix.quick_rate * wave * seconds) {
            self.submit_quick_job(mix);
        }
        if self.rng.random_bool(mix.standing_rate * seconds) {
            self.submit_latency_critical_job();
        }
        self.cancel_standing_jobs(mix);
    }

    fn cores_of(&self, run: &TaskRun) -> f64 {
        self.spec(run).resources.cpu_milli as f64 / 1000.0
    }

    fn class_of(&self, run: &TaskRun) -> usize {
        class_number(self.spec(run))
    }
}

/// Returns the number of a stage's class.
fn class_number(stage: &StageSpec) -> usize {
    let class = stage.class.as_ref().expect("all have a class");
    class[1..].parse().expect("classes are numbered")
}

/// Returns the kind and the number of a run's job.
fn split(run: &TaskRun) -> (&str, usize) {
    let (kind, at) = run.task.job.as_str().split_once('-').expect("kind-number");
    (kind, at.parse().expect("jobs are numbered"))
}
