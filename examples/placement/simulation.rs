//! Simulates ten workers under one placer in fixed time steps.
//!
//! The placer gets only what the worker interface reports: delayed, noisy samples and the ends of
//! tasks. The true interference of the model is used only for the results.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use base::{Attempt, ClassName, Resources, TaskKey, WorkerId};
use fakes::interference::{InterferenceModel, Victim, normal};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use place::{Decision, Ended, EvictReason, PlacedTask, PlacementRequest, Placer, WorkerView};
use ports::worker::UsageSample;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tables::Priority;

use crate::workload::{CLASSES, Job, Load, SERVICES, WorkloadProfile};

const WORKERS: usize = 10;
const CAPACITY: Resources = Resources::new(64, 250 * 1024, 0);
const SAMPLE_EVERY: Duration = Duration::from_secs(5);
/// Requests drawn per worker and second to measure the services' latency.
const REQUESTS_PER_SECOND: f64 = 10.0;
/// Standard deviation of the logarithm of undisturbed latency.
const LATENCY_LOG_STD_DEV: f64 = 0.3;
/// Work that a task repeats after it resumes, in seconds of an undisturbed run.
const REPEATED_WORK: Duration = Duration::from_secs(10);
/// Delay from a decision to its effect on the worker: one group commit and one poll.
const DECISION_DELAY: Duration = Duration::from_millis(250);

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Latency of services, as a multiple of the undisturbed median.
    pub p50: f64,
    pub p99: f64,
    pub finished_per_hour: f64,
    /// Core-hours of undisturbed work done per hour, by declared cores.
    pub work_per_hour: f64,
    pub evictions: f64,
    /// Evictions that protect services from interference.
    pub interference_evictions: f64,
    /// Evictions that give teams their quota.
    pub quota_evictions: f64,
    /// Seconds of task time lost to checkpoints and repeated work.
    pub work_lost: f64,
    /// 99th percentile of the time from queueing to start, in seconds.
    pub urgent_start_p99: f64,
    pub urgent_starts: u64,
    /// Mean share of the workers' processors allocated to tasks.
    pub allocated: f64,
    /// Mean share of processor time that throttling takes from tasks.
    pub throttled: f64,
    /// Mean extra time of tasks, as a share of their undisturbed time.
    pub batch_extra: f64,
    /// Mean extra time of services, as a share of their undisturbed time.
    pub service_extra: f64,
}

/// The actual load of each task class on a worker, as a share of its processors.
type Mix = [f64; CLASSES];

/// The true interference by each aggressor class in one phase of the day, at full load of the
/// services.
#[derive(Debug)]
struct TrueInterference {
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
pub struct Simulation<'a> {
    start: Instant,
    now: Instant,
    step: Duration,
    model: &'a InterferenceModel,
    placer: Placer,
    workers: Vec<Worker>,
    jobs: Vec<Job>,
    /// The work done and the attempts so far, by job.
    done: Vec<Duration>,
    attempts: Vec<u64>,
    by_id: IndexMap<base::JobId, usize>,
    arrived: usize,
    true_interference: Vec<TrueInterference>,
    rng: ChaCha8Rng,
    latency: Histogram<u64>,
    urgent: Histogram<u64>,
    outcome: Outcome,
    finished: u64,
    work_done: f64,
    task_steps: f64,
}

impl<'a> Simulation<'a> {
    pub fn new(
        profile: &WorkloadProfile,
        load: &Load,
        step: Duration,
        model: &'a InterferenceModel,
        mut placer: Placer,
        start: Instant,
        seed: u64,
    ) -> Self {
        placer.set_pool(start, &profile.pool());
        let workers = (0..WORKERS).map(|n| worker(profile, n)).collect();
        for n in 0..WORKERS {
            placer.worker_seen(start, worker_view(n));
        }
        let jobs = profile.jobs(load, model, seed);
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
            true_interference: true_interference(profile, load, model),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            latency: histogram(),
            urgent: histogram(),
            outcome: Outcome::default(),
            finished: 0,
            work_done: 0.0,
            task_steps: 0.0,
        }
    }

    /// Runs to the end and returns the results.
    pub fn run(mut self, load: &Load) -> Outcome {
        while self.now < self.start + load.length {
            self.queue_arrivals();
            self.apply_decisions();
            let summary = self.placer.summary();
            self.outcome.allocated +=
                summary.allocated.cpu_milli as f64 / summary.capacity.cpu_milli as f64;
            self.now += self.step;
            self.advance_workers();
            self.deliver_samples();
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
        self.outcome.allocated /= steps;
        self.outcome.service_extra /= steps * WORKERS as f64;
        self.outcome
    }

    fn at(&self) -> Duration {
        self.now - self.start
    }

    fn queue_arrivals(&mut self) {
        while self.arrived < self.jobs.len() && self.jobs[self.arrived].at <= self.at() {
            self.queue(self.arrived);
            self.arrived += 1;
        }
    }

    fn queue(&mut self, n: usize) {
        let job = &self.jobs[n];
        let request = PlacementRequest {
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
        self.placer.job_queued(self.now, request);
    }

    fn apply_decisions(&mut self) {
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
                Decision::Evict { key, why } => self.start_checkpoint(&key, why),
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
        let starts = self.now + DECISION_DELAY;
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

    fn start_checkpoint(&mut self, key: &TaskKey, why: EvictReason) {
        let n = self.by_id[&key.job];
        let took = self.model.checkpoint_time(&self.jobs[n].class);
        let ends = self.now + DECISION_DELAY + took;
        let lost = took + REPEATED_WORK;
        let Some(task) = self.task_mut(key) else {
            return;
        };
        if task.checkpointed_at.is_none() {
            task.checkpointed_at = Some(ends);
            self.outcome.evictions += 1.0;
            match why {
                EvictReason::Interference => self.outcome.interference_evictions += 1.0,
                EvictReason::Quota => self.outcome.quota_evictions += 1.0,
                _ => {}
            }
            self.outcome.work_lost += lost.as_secs_f64();
        }
    }

    /// Advances every worker by one step.
    fn advance_workers(&mut self) {
        for n in 0..self.workers.len() {
            let extra = self.service_extra(n);
            self.outcome.service_extra += extra;
            self.record_latency(extra);
            let mut ended = Vec::new();
            for t in 0..self.workers[n].tasks.len() {
                if let Some(how) = self.advance_task(n, t) {
                    ended.push((t, how));
                }
            }
            for (t, how) in ended.into_iter().rev() {
                self.end_task(n, t, how);
            }
        }
    }

    fn advance_task(&mut self, n: usize, t: usize) -> Option<Ended> {
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

    /// Returns the speed of a task, given its neighbours and its own throttle.
    fn speed(&self, n: usize, t: usize) -> f64 {
        let task = &self.workers[n].tasks[t];
        let class = self.jobs[task.job].class_index;
        let interference = &self.true_interference[self.phase()].batch[class];
        let extra = self.extra(interference, 1.0, &self.mix(n, Some(t)));
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
            self.done[task.job] = task.done.saturating_sub(REPEATED_WORK);
            self.queue(task.job);
        }
    }

    /// Returns the actual load of each class on a worker, without one of its tasks.
    fn mix(&self, n: usize, without: Option<usize>) -> Mix {
        let mut mix = Mix::default();
        for (t, task) in self.workers[n].tasks.iter().enumerate() {
            if Some(t) == without || task.starts > self.now {
                continue;
            }
            let job = &self.jobs[task.job];
            let load = job.needed.cpu_milli as f64 * task.throttle / CAPACITY.cpu_milli as f64;
            mix[job.class_index] += load;
        }
        mix
    }

    /// Returns the extra time of a service or task, from interference and from overload.
    fn extra(&self, interference: &[f64; CLASSES], load: f64, mix: &Mix) -> f64 {
        let used: f64 = mix.iter().sum();
        let batch_share =
            1.0 - crate::workload::RESERVED.cpu_milli as f64 / CAPACITY.cpu_milli as f64;
        let overload = (used - batch_share).max(0.0);
        let interference: f64 = interference
            .iter()
            .zip(mix)
            .map(|(factor, x)| factor * x)
            .sum();
        interference * load + overload + self.model.burst(self.at())
    }

    fn service_extra(&self, n: usize) -> f64 {
        let interference = &self.true_interference[self.phase()].services[n % SERVICES];
        self.extra(interference, self.model.load(self.at()), &self.mix(n, None))
    }

    fn phase(&self) -> usize {
        let phase = self.model.shift_count(self.at()) as usize;
        phase.min(self.true_interference.len() - 1)
    }

    fn record_latency(&mut self, extra: f64) {
        let load = self.model.load(self.at());
        let requests = REQUESTS_PER_SECOND * self.step.as_secs_f64() * load;
        for _ in 0..requests.ceil() as u32 {
            let latency = (1.0 + extra) * (LATENCY_LOG_STD_DEV * normal(&mut self.rng)).exp();
            record(&mut self.latency, (latency * 1000.0) as u64);
        }
    }

    /// Samples the workers when due, and delivers samples to the placer once they are old enough.
    fn deliver_samples(&mut self) {
        let due = self.at().as_millis() % SAMPLE_EVERY.as_millis() < self.step.as_millis();
        for n in 0..self.workers.len() {
            if due {
                let samples = self.samples_of(n);
                self.workers[n].samples.push_back((self.now, samples));
            }
            while let Some((sampled_at, _)) = self.workers[n].samples.front()
                && *sampled_at + self.model.cfg().lag <= self.now
            {
                let Some((sampled_at, samples)) = self.workers[n].samples.pop_front() else {
                    break;
                };
                let id = self.workers[n].id.clone();
                for mut sample in samples {
                    sample.age = self.now - sampled_at;
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

fn true_interference(
    profile: &WorkloadProfile,
    load: &Load,
    model: &InterferenceModel,
) -> Vec<TrueInterference> {
    let row = |kind, victim: &str, phase| {
        let interference =
            |aggressor: &str| model.pair(kind, &victim.into(), &aggressor.into(), phase);
        profile.classes.map(interference)
    };
    let of_phase = |phase| TrueInterference {
        services: profile
            .services
            .map(|name| row(Victim::Service, name, phase)),
        batch: profile.classes.map(|name| row(Victim::Batch, name, phase)),
    };
    (0..=model.shift_count(load.length)).map(of_phase).collect()
}

fn worker(profile: &WorkloadProfile, n: usize) -> Worker {
    Worker {
        id: format!("w{n}").into(),
        service: profile.services[n % profile.services.len()].into(),
        tasks: Vec::new(),
        samples: VecDeque::new(),
    }
}

fn worker_view(n: usize) -> WorkerView {
    WorkerView {
        worker: format!("w{n}").into(),
        zone: format!("zone-{}", n % 3).into(),
        rack: format!("rack-{}", n / 3).into(),
        capacity: CAPACITY,
        leaving: false,
    }
}

/// Largest value that a histogram must be able to record, in thousandths of its unit; values
/// beyond its range are recorded as the largest in range.
const MAX_RECORDED: u64 = 10_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_RECORDED, 3).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.saturating_record(value);
}
