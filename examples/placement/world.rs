//! Ten workers under one placer, stepped through time.
//!
//! The placer is told what the workers' interface tells: lagging, noisy samples and
//! the ends of tasks. The model's truth goes into the verdict alone.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use base::{Attempt, ClassName, Resources, TaskKey, WorkerId};
use fakes::harm::{HarmModel, Victim, normal};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use place::{Decision, Ended, EvictReason, PlacedTask, PlacementRequest, Placer, WorkerView};
use ports::worker::UsageSample;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tables::Priority;

use crate::desk::{CLASSES, Desk, Job, Load, SERVICES};

const WORKERS: usize = 10;
const CAPACITY: Resources = Resources::new(64, 250 * 1024, 0);
const SAMPLE_EVERY: Duration = Duration::from_secs(5);
/// Requests drawn per worker and second to measure the services' latency.
const REQUESTS_PER_SECOND: f64 = 10.0;
/// The spread of undisturbed latency, as a standard deviation of its logarithm.
const REQUEST_SPREAD: f64 = 0.3;
/// Work done twice after a resume, in seconds of an undisturbed run.
const REDONE: Duration = Duration::from_secs(10);
/// From a decision to its effect on the worker: one group commit and one poll.
const COMMIT: Duration = Duration::from_millis(250);

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Latency of services, as a multiple of the undisturbed median.
    pub p50: f64,
    pub p99: f64,
    pub finished_per_hour: f64,
    /// Core-hours of undisturbed work done an hour, by declared cores.
    pub work_per_hour: f64,
    pub evictions: f64,
    /// Those for the sake of services.
    pub harm_evictions: f64,
    /// Those for teams that were owed their quota.
    pub quota_evictions: f64,
    /// Seconds of task time lost to checkpoints and work done twice.
    pub work_lost: f64,
    /// From queueing to start, in seconds.
    pub urgent_start_p99: f64,
    pub urgent_starts: u64,
    /// The mean share of the workers' room that tasks hold.
    pub held: f64,
    /// The mean share of their processors that throttles take from tasks.
    pub throttled: f64,
    /// The mean extra time of tasks.
    pub batch_extra: f64,
    /// The mean extra time of services.
    pub service_extra: f64,
}

/// The real load of each class on a worker.
type Mix = [f64; CLASSES];

/// The harm of each aggressor's class in one phase of the day, at full load of the services.
#[derive(Debug)]
struct Truth {
    services: [Mix; SERVICES],
    batch: [Mix; CLASSES],
}

/// A task on a worker.
#[derive(Debug)]
struct Task {
    job: usize,
    key: TaskKey,
    starts: Instant,
    done: Duration,
    throttle: f64,
    checkpointed_at: Option<Instant>,
}

#[derive(Debug)]
struct Worker {
    id: WorkerId,
    service: ClassName,
    tasks: Vec<Task>,
    samples: VecDeque<(Instant, Vec<UsageSample>)>,
}

/// The state of one run.
#[derive(Debug)]
pub struct World<'a> {
    start: Instant,
    now: Instant,
    step: Duration,
    model: &'a HarmModel,
    placer: Placer,
    workers: Vec<Worker>,
    jobs: Vec<Job>,
    /// The work done and the attempts so far, by job.
    done: Vec<Duration>,
    attempts: Vec<u32>,
    by_id: IndexMap<base::JobId, usize>,
    arrived: usize,
    truth: Vec<Truth>,
    rng: ChaCha8Rng,
    latency: Histogram<u64>,
    urgent: Histogram<u64>,
    outcome: Outcome,
    finished: u64,
    work_done: f64,
    task_steps: f64,
}

impl<'a> World<'a> {
    pub fn new(
        desk: &Desk,
        load: &Load,
        step: Duration,
        model: &'a HarmModel,
        mut placer: Placer,
        start: Instant,
        seed: u64,
    ) -> Self {
        placer.set_pool(start, &desk.pool());
        let workers = (0..WORKERS).map(|n| worker(desk, n)).collect();
        for n in 0..WORKERS {
            placer.worker_seen(start, view(n));
        }
        let jobs = desk.jobs(load, model, seed);
        Self {
            start,
            now: start,
            step,
            model,
            placer,
            workers,
            done: vec![Duration::ZERO; jobs.len()],
            attempts: vec![0; jobs.len()],
            by_id: jobs
                .iter()
                .enumerate()
                .map(|(n, job)| (job.id.clone(), n))
                .collect(),
            jobs,
            arrived: 0,
            truth: truth(desk, load, model),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            latency: histogram(),
            urgent: histogram(),
            outcome: Outcome::default(),
            finished: 0,
            work_done: 0.0,
            task_steps: 0.0,
        }
    }

    /// Runs to the end and returns what came of it.
    pub fn run(mut self, load: &Load) -> Outcome {
        while self.now < self.start + load.length {
            self.arrive();
            self.decide();
            let summary = self.placer.summary();
            self.outcome.held +=
                summary.allocated.cpu_milli as f64 / summary.capacity.cpu_milli as f64;
            self.now += self.step;
            self.work();
            self.sample();
        }
        let hours = load.length.as_secs_f64() / 3600.0;
        self.outcome.p50 = self.latency.value_at_quantile(0.5) as f64 / 1000.0;
        self.outcome.p99 = self.latency.value_at_quantile(0.99) as f64 / 1000.0;
        self.outcome.finished_per_hour = self.finished as f64 / hours;
        self.outcome.work_per_hour = self.work_done / 3600.0 / hours;
        self.outcome.urgent_start_p99 = self.urgent.value_at_quantile(0.99) as f64 / 1000.0;
        self.outcome.urgent_starts = self.urgent.len();
        self.outcome.batch_extra /= self.task_steps;
        self.outcome.throttled /= self.task_steps;
        let steps = load.length.as_secs_f64() / self.step.as_secs_f64();
        self.outcome.held /= steps;
        self.outcome.service_extra /= steps * WORKERS as f64;
        self.outcome
    }

    fn at(&self) -> Duration {
        self.now - self.start
    }

    fn arrive(&mut self) {
        while self.arrived < self.jobs.len() && self.jobs[self.arrived].at <= self.at() {
            self.queue(self.arrived);
            self.arrived += 1;
        }
    }

    fn queue(&mut self, n: usize) {
        let job = &self.jobs[n];
        let ask = PlacementRequest {
            job: job.id.clone(),
            team: job.team.clone(),
            class: job.class.clone(),
            priority: job.priority,
            resources: job.declared,
            run_time: Some(job.declared_time),
            finish_by: None,
            work_done: self.done[n],
            failures: 0,
        };
        self.placer.job_queued(self.now, ask);
    }

    fn decide(&mut self) {
        for decision in self.placer.decide(self.now, usize::MAX) {
            match decision {
                Decision::Place {
                    job,
                    worker,
                    granted,
                } => self.start_task(self.by_id[&job], &worker, granted),
                Decision::Throttle { key, share } => {
                    if let Some(task) = self.task_mut(&key) {
                        task.throttle = share;
                    }
                }
                Decision::Evict { key, why } => self.checkpoint(&key, why),
            }
        }
    }

    fn start_task(&mut self, n: usize, worker: &WorkerId, granted: Resources) {
        self.attempts[n] += 1;
        let job = &self.jobs[n];
        let key = TaskKey {
            job: job.id.clone(),
            attempt: Attempt(self.attempts[n]),
        };
        let starts = self.now + COMMIT;
        if job.priority == Priority::Urgent && self.attempts[n] == 1 {
            let waited = starts - (self.start + job.at);
            let millis = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
            record(&mut self.urgent, millis);
        }
        let placed = PlacedTask {
            key: key.clone(),
            worker: worker.clone(),
            class: job.class.clone(),
            team: job.team.clone(),
            priority: job.priority,
            granted,
            run_time: Some(job.declared_time),
            work_done: self.done[n],
        };
        let task = Task {
            job: n,
            key,
            starts,
            done: self.done[n],
            throttle: 1.0,
            checkpointed_at: None,
        };
        self.placer.task_placed(self.now, placed);
        if let Some(row) = self.workers.iter_mut().find(|row| row.id == *worker) {
            row.tasks.push(task);
        }
    }

    fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        self.workers
            .iter_mut()
            .flat_map(|worker| worker.tasks.iter_mut())
            .find(|task| task.key == *key)
    }

    fn checkpoint(&mut self, key: &TaskKey, why: EvictReason) {
        let n = self.by_id[&key.job];
        let took = self.model.checkpoint_time(&self.jobs[n].class);
        let ends = self.now + COMMIT + took;
        let lost = took + REDONE;
        let Some(task) = self.task_mut(key) else {
            return;
        };
        if task.checkpointed_at.is_none() {
            task.checkpointed_at = Some(ends);
            self.outcome.evictions += 1.0;
            match why {
                EvictReason::Interference => self.outcome.harm_evictions += 1.0,
                EvictReason::Quota => self.outcome.quota_evictions += 1.0,
                _ => {}
            }
            self.outcome.work_lost += lost.as_secs_f64();
        }
    }

    /// Lets every worker work for one step.
    fn work(&mut self) {
        for n in 0..self.workers.len() {
            let extra = self.service_extra(n);
            self.outcome.service_extra += extra;
            self.record_latency(extra);
            let mut ended = Vec::new();
            for t in 0..self.workers[n].tasks.len() {
                if let Some(how) = self.work_task(n, t) {
                    ended.push((t, how));
                }
            }
            for (t, how) in ended.into_iter().rev() {
                self.end_task(n, t, how);
            }
        }
    }

    fn work_task(&mut self, n: usize, t: usize) -> Option<Ended> {
        let speed = self.speed(n, t);
        let throttle = self.workers[n].tasks[t].throttle;
        self.outcome.batch_extra += throttle / speed - 1.0;
        self.outcome.throttled += 1.0 - throttle;
        self.task_steps += 1.0;
        let task = &mut self.workers[n].tasks[t];
        if let Some(at) = task.checkpointed_at {
            return (at <= self.now).then_some(Ended::Evicted);
        }
        if task.starts > self.now {
            return None;
        }
        let work = self.jobs[task.job].work;
        task.done += self.step.mul_f64(speed);
        (task.done >= work).then_some(Ended::Finished)
    }

    /// Returns the speed of a task among its neighbours, its throttle included.
    fn speed(&self, n: usize, t: usize) -> f64 {
        let task = &self.workers[n].tasks[t];
        let class = self.jobs[task.job].class_at;
        let harm = &self.truth[self.phase()].batch[class];
        let extra = self.extra(harm, 1.0, &self.mix(n, Some(t)));
        task.throttle / (1.0 + extra)
    }

    fn end_task(&mut self, n: usize, t: usize, how: Ended) {
        let task = self.workers[n].tasks.swap_remove(t);
        let job = &self.jobs[task.job];
        self.placer.task_ended(self.now, &task.key, how);
        if how == Ended::Finished {
            self.finished += 1;
            self.work_done += job.work.as_secs_f64() * job.declared.cpu_milli as f64 / 1000.0;
        } else {
            self.done[task.job] = task.done.saturating_sub(REDONE);
            self.queue(task.job);
        }
    }

    /// Returns the real load of each class on a worker, without one of its tasks.
    fn mix(&self, n: usize, without: Option<usize>) -> Mix {
        let mut mix = Mix::default();
        for (t, task) in self.workers[n].tasks.iter().enumerate() {
            if Some(t) == without || task.starts > self.now {
                continue;
            }
            let job = &self.jobs[task.job];
            let load = job.needed.cpu_milli as f64 * task.throttle / CAPACITY.cpu_milli as f64;
            mix[job.class_at] += load;
        }
        mix
    }

    /// Returns the extra time of a service or task: harm, and what overload adds.
    fn extra(&self, harm: &[f64; CLASSES], load: f64, mix: &Mix) -> f64 {
        let used: f64 = mix.iter().sum();
        let room = 1.0 - crate::desk::RESERVED.cpu_milli as f64 / CAPACITY.cpu_milli as f64;
        let overload = (used - room).max(0.0);
        let harm: f64 = harm.iter().zip(mix).map(|(harm, x)| harm * x).sum();
        harm * load + overload + self.model.wave(self.at())
    }

    fn service_extra(&self, n: usize) -> f64 {
        let harm = &self.truth[self.phase()].services[n % SERVICES];
        self.extra(harm, self.model.load(self.at()), &self.mix(n, None))
    }

    fn phase(&self) -> usize {
        let phase = self.model.phase(self.at()) as usize;
        phase.min(self.truth.len() - 1)
    }

    fn record_latency(&mut self, extra: f64) {
        let load = self.model.load(self.at());
        let requests = REQUESTS_PER_SECOND * self.step.as_secs_f64() * load;
        for _ in 0..requests.ceil() as u32 {
            let latency = (1.0 + extra) * (REQUEST_SPREAD * normal(&mut self.rng)).exp();
            record(&mut self.latency, (latency * 1000.0) as u64);
        }
    }

    /// Takes samples where due, and hands on those that are old enough.
    fn sample(&mut self) {
        let due = self.at().as_millis() % SAMPLE_EVERY.as_millis() < self.step.as_millis();
        for n in 0..self.workers.len() {
            if due {
                let samples = self.samples_of(n);
                self.workers[n].samples.push_back((self.now, samples));
            }
            while let Some((taken, _)) = self.workers[n].samples.front()
                && *taken + self.model.cfg().lag <= self.now
            {
                let Some((taken, samples)) = self.workers[n].samples.pop_front() else {
                    break;
                };
                let id = self.workers[n].id.clone();
                for mut sample in samples {
                    sample.age = self.now - taken;
                    self.placer.sample(self.now, &id, &sample);
                }
            }
        }
    }

    fn samples_of(&mut self, n: usize) -> Vec<UsageSample> {
        let mut samples = Vec::new();
        let service = self.workers[n].service.clone();
        let extra = self.service_extra(n);
        samples.push(UsageSample {
            task: None,
            class: service,
            age: Duration::ZERO,
            cpu_milli: 0,
            memory_mib: 0,
            speed: 1.0 / self.model.measure(extra, &mut self.rng),
            progress: None,
        });
        for t in 0..self.workers[n].tasks.len() {
            let task = &self.workers[n].tasks[t];
            if task.starts > self.now || task.checkpointed_at.is_some() {
                continue;
            }
            let (job, throttle, key) = (task.job, task.throttle, task.key.clone());
            let done = task.done.as_secs_f64() / self.jobs[job].work.as_secs_f64();
            let extra = throttle / self.speed(n, t) - 1.0;
            let job = &self.jobs[job];
            samples.push(UsageSample {
                task: Some(key),
                class: job.class.clone(),
                age: Duration::ZERO,
                cpu_milli: (job.needed.cpu_milli as f64 * throttle) as u64,
                memory_mib: job.needed.memory_mib,
                speed: throttle / self.model.measure(extra, &mut self.rng),
                progress: Some(done.min(1.0)),
            });
        }
        samples
    }
}

fn truth(desk: &Desk, load: &Load, model: &HarmModel) -> Vec<Truth> {
    let row = |kind, victim: &str, phase| {
        let harm = |aggressor: &str| model.pair(kind, &victim.into(), &aggressor.into(), phase);
        desk.classes.map(harm)
    };
    let of_phase = |phase| Truth {
        services: desk.services.map(|name| row(Victim::Service, name, phase)),
        batch: desk.classes.map(|name| row(Victim::Batch, name, phase)),
    };
    (0..=model.phase(load.length)).map(of_phase).collect()
}

fn worker(desk: &Desk, n: usize) -> Worker {
    Worker {
        id: format!("w{n}").into(),
        service: desk.services[n % desk.services.len()].into(),
        tasks: Vec::new(),
        samples: VecDeque::new(),
    }
}

fn view(n: usize) -> WorkerView {
    WorkerView {
        worker: format!("w{n}").into(),
        zone: format!("zone-{}", n % 3).into(),
        rack: format!("rack-{}", n / 3).into(),
        capacity: CAPACITY,
        leaving: false,
    }
}

/// The most that a histogram tells apart, in thousandths.
const MOST: u64 = 10_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MOST, 3).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.saturating_record(value);
}
