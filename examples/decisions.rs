//! Measures the cost of placement decisions at the intended size: 1,200 workers and 14,200 running
//! tasks.
//!
//! ```text
//! cargo run --release --example decisions
//! ```

use std::time::{Duration, Instant};

use base::{Attempt, Resources, TaskKey};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use place::{Decision, Ended, PlacedTask, PlacementRequest, Placer, PlacerCfg, WorkerView};
use ports::worker::UsageSample;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tables::{Pool, Priority, Quota, Weights};

const WORKERS: usize = 1_200;
const TASKS: usize = 14_200;
const TEAMS: usize = 54;
const CLASSES: usize = 24;
const CAPACITY: Resources = Resources::new(64, 250 * 1024, 2);
/// How many decisions are measured.
const DECISIONS: usize = 50_000;
/// Number of tasks that end, and of jobs that arrive, between two calls.
const BATCH: usize = 25;
/// Time between two calls: 25 jobs every 10 ms are ten times the peak of 250 starts per second.
const CALL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of calls to fill the pool before the measurement.
const MAX_FILL_CALLS: usize = 2_000;
/// Number of jobs too large for any worker, which stay queued throughout.
const PARKED: usize = 2_000;

/// A placer with its queued jobs and running tasks.
struct Bench {
    now: Instant,
    placer: Placer,
    rng: ChaCha8Rng,
    requests: IndexMap<base::JobId, PlacementRequest>,
    running: IndexMap<TaskKey, PlacedTask>,
    jobs: usize,
    attempts: u64,
}

fn main() {
    let mut bench = Bench::new();
    bench.fill();
    println!(
        "{} workers, {} running tasks, {} parked jobs, {} teams",
        WORKERS,
        bench.running.len(),
        PARKED,
        TEAMS
    );

    let mut calls: Histogram<u64> =
        Histogram::new_with_max(10_000_000_000, 3).expect("the bounds are valid");
    let mut spent = Duration::ZERO;
    let mut decided = 0;
    while decided < DECISIONS {
        bench.replace_tasks();
        bench.now += CALL_INTERVAL;
        let from = cpu_time();
        let decisions = bench.placer.decide(bench.now, 1_000);
        let took = cpu_time() - from;
        spent += took;
        calls.saturating_record(u64::try_from(took.as_nanos()).unwrap_or(u64::MAX));
        decided += decisions.len();
        bench.apply(decisions);
    }

    let per_second = decided as f64 / spent.as_secs_f64();
    println!("{} jobs wait", bench.placer.summary().queued - PARKED);
    println!("{decided} decisions, {per_second:.0} a second of one core");
    println!(
        "time per decision {:.1} us; per call p50 {:.0} us, p99 {:.0} us, max {:.0} us",
        spent.as_secs_f64() * 1e6 / decided as f64,
        calls.value_at_quantile(0.5) as f64 / 1e3,
        calls.value_at_quantile(0.99) as f64 / 1e3,
        calls.max() as f64 / 1e3
    );
}

impl Bench {
    fn new() -> Self {
        let now = Instant::now();
        let mut placer = Placer::new(PlacerCfg::default(), 1);
        placer.set_pool(now, &pool());
        for n in 0..WORKERS {
            placer.worker_seen(now, worker(n));
        }
        Self {
            now,
            placer,
            rng: ChaCha8Rng::seed_from_u64(1),
            requests: IndexMap::new(),
            running: IndexMap::new(),
            jobs: 0,
            attempts: 0,
        }
    }

    fn fill(&mut self) {
        for n in 0..WORKERS {
            let sample = UsageSample {
                task: None,
                class: format!("service-{}", n % 8).into(),
                age: Duration::from_secs(5),
                cpu_milli: 0,
                memory_mib: 0,
                speed: 0.9,
                progress: None,
            };
            self.placer
                .sample(self.now, &format!("w{n}").into(), &sample);
        }
        for n in 0..PARKED {
            let request = PlacementRequest {
                resources: Resources::new(200, 1_000, 0),
                ..self.request(format!("parked-{n}"))
            };
            self.placer.job_queued(self.now, request);
        }
        for _ in 0..TASKS {
            self.queue();
        }
        for _ in 0..MAX_FILL_CALLS {
            if self.running.len() >= TASKS {
                break;
            }
            self.now += Duration::from_secs(1);
            let decisions = self.placer.decide(self.now, 1_000);
            self.apply(decisions);
        }
    }

    fn queue(&mut self) {
        self.jobs += 1;
        let request = self.request(format!("job-{}", self.jobs));
        self.requests.insert(request.job.clone(), request.clone());
        self.placer.job_queued(self.now, request);
    }

    fn request(&mut self, job: String) -> PlacementRequest {
        let cores = self.rng.random_range(1..=8);
        let class = self.rng.random_range(0..CLASSES);
        let team = self.rng.random_range(0..TEAMS);
        let urgent = self.rng.random_bool(0.02);
        PlacementRequest {
            job: job.into(),
            team: format!("team-{team}").into(),
            class: format!("class-{class}").into(),
            priority: if urgent {
                Priority::Urgent
            } else {
                Priority::Normal
            },
            resources: Resources::new(cores, cores * 2_000, 0),
            run_time: Some(Duration::from_secs(self.rng.random_range(30..600))),
            finish_by: None,
            work_done: Duration::ZERO,
            failures: 0,
        }
    }

    /// Ends some tasks and queues as many jobs.
    fn replace_tasks(&mut self) {
        for _ in 0..BATCH.min(self.running.len()) {
            let at = self.rng.random_range(0..self.running.len());
            if let Some((key, _)) = self.running.swap_remove_index(at) {
                self.requests.swap_remove(&key.job);
                self.placer.task_ended(self.now, &key, Ended::Finished);
            }
            self.queue();
        }
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Place {
                    job,
                    worker,
                    granted,
                } => self.start(&job, worker, granted),
                Decision::Evict { key, .. } => {
                    if self.running.swap_remove(&key).is_some() {
                        self.placer.task_ended(self.now, &key, Ended::Evicted);
                        let request = self.requests[&key.job].clone();
                        self.placer.job_queued(self.now, request);
                    }
                }
                Decision::Throttle { .. } => {}
            }
        }
    }

    fn start(&mut self, job: &base::JobId, worker: base::WorkerId, granted: Resources) {
        self.attempts += 1;
        let request = &self.requests[job];
        let task = PlacedTask {
            key: TaskKey {
                job: job.clone(),
                attempt: Attempt(self.attempts),
            },
            worker,
            class: request.class.clone(),
            team: request.team.clone(),
            priority: request.priority,
            granted,
            run_time: request.run_time,
            work_done: request.work_done,
        };
        self.placer.task_placed(self.now, task.clone());
        self.running.insert(task.key.clone(), task);
    }
}

/// Returns the processor time of this thread, which other load on the machine does not distort.
fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = stat.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.expect("the kernel reports processor times"))
}

fn pool() -> Pool {
    let quota = Quota {
        share: 1.0 / TEAMS as f64,
        borrow: true,
    };
    Pool {
        name: "heavy".into(),
        workers: vec!["w*".into()],
        zones: Vec::new(),
        weights: Weights::MANUSCRIPT,
        outage_grace: Duration::from_secs(3600),
        evictions_per_hour: 1_000,
        teams: (0..TEAMS)
            .map(|team| (format!("team-{team}").into(), quota))
            .collect(),
        reserved: Resources::ZERO,
    }
}

fn worker(n: usize) -> WorkerView {
    WorkerView {
        worker: format!("w{n}").into(),
        zone: format!("zone-{}", n % 6).into(),
        rack: format!("rack-{}", n / 20).into(),
        capacity: CAPACITY,
        leaving: false,
    }
}
