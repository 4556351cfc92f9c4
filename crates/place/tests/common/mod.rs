//! A test harness: a placer whose decisions are carried out at once.

#![allow(dead_code, reason = "not every test file uses every helper")]

use std::time::{Duration, Instant};

use base::{Attempt, Promise, Resources, TaskKey, WorkerId};
use indexmap::IndexMap;
use place::{
    Decision, Ended, EvictReason, PlacedTask, PlacementRequest, Placer, PlacerCfg, WorkerView,
};
use ports::worker::UsageSample;
use tables::{Pool, Priority, Quota, Weights};

pub const CORES: u64 = 16;

pub struct Harness {
    pub now: Instant,
    pub placer: Placer,
    /// The running tasks.
    pub running: IndexMap<TaskKey, PlacedTask>,
    /// The requests of all queued jobs, by job.
    pub requests: IndexMap<String, PlacementRequest>,
    pub evicted: Vec<(TaskKey, EvictReason)>,
    pub throttled: Vec<(TaskKey, f64)>,
    attempts: u64,
}

impl Harness {
    pub fn new(workers: usize) -> Self {
        Self::with_pool(workers, &pool())
    }

    pub fn with_pool(workers: usize, pool: &Pool) -> Self {
        Promise::panic_on_breach();
        let now = Instant::now();
        let mut placer = Placer::new(PlacerCfg::default(), 7);
        placer.set_pool(now, pool);
        for n in 0..workers {
            placer.worker_seen(now, worker(n));
        }
        Self {
            now,
            placer,
            running: IndexMap::new(),
            requests: IndexMap::new(),
            evicted: Vec::new(),
            throttled: Vec::new(),
            attempts: 0,
        }
    }

    pub fn queue(&mut self, request: PlacementRequest) {
        self.requests
            .insert(request.job.to_string(), request.clone());
        self.placer.job_queued(self.now, request);
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    /// Calls the placer once and carries out its decisions; returns the tasks that started.
    pub fn decide(&mut self) -> Vec<PlacedTask> {
        let mut started = Vec::new();
        for decision in self.placer.decide(self.now, 1000) {
            match decision {
                Decision::Place {
                    job,
                    worker,
                    granted,
                } => started.push(self.start(job.as_str(), worker, granted)),
                Decision::Throttle { key, share } => self.throttled.push((key, share)),
                Decision::Evict { key, why } => self.evicted.push((key, why)),
            }
        }
        started
    }

    fn start(&mut self, job: &str, worker: WorkerId, granted: Resources) -> PlacedTask {
        self.attempts += 1;
        let request = &self.requests[job];
        let task = PlacedTask {
            key: TaskKey {
                job: request.job.clone(),
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
        self.running.insert(task.key.clone(), task.clone());
        task
    }

    /// Ends a task and queues its job again, unless it finished or was cancelled.
    pub fn end(&mut self, key: &TaskKey, ended: Ended) {
        self.running.swap_remove(key);
        self.placer.task_ended(self.now, key, ended);
        if !matches!(ended, Ended::Finished | Ended::Cancelled) {
            let mut request = self.requests[key.job.as_str()].clone();
            request.failures += u32::from(ended == Ended::Failed);
            self.queue(request);
        }
    }

    /// Ends the evicted tasks that still run; returns how many evictions were decided.
    pub fn finish_evictions(&mut self) -> usize {
        let evicted = std::mem::take(&mut self.evicted);
        let done = evicted.len();
        for (key, _) in evicted {
            if self.running.contains_key(&key) {
                self.end(&key, Ended::Evicted);
            }
        }
        done
    }

    /// Reports a service's speed on a worker, measured `age` ago.
    pub fn report_service_speed(&mut self, worker: usize, class: &str, speed: f64, age: Duration) {
        let sample = UsageSample {
            task: None,
            class: class.into(),
            age,
            cpu_milli: 0,
            memory_mib: 0,
            speed,
            progress: None,
        };
        self.placer
            .sample(self.now, &format!("w{worker}").into(), &sample);
    }

    pub fn running_on(&self, worker: usize) -> usize {
        let id = WorkerId::from(format!("w{worker}"));
        self.running.values().filter(|t| t.worker == id).count()
    }
}

pub fn pool() -> Pool {
    Pool {
        name: "heavy".into(),
        workers: vec!["w*".into()],
        zones: Vec::new(),
        weights: Weights::TRADING,
        outage_grace: Duration::from_secs(3600),
        evictions_per_hour: 100,
        teams: IndexMap::new(),
        reserved: Resources::ZERO,
    }
}

pub fn pool_of_teams(teams: &[(&str, f64)]) -> Pool {
    let quota = |share| Quota {
        share,
        borrow: true,
    };
    Pool {
        teams: teams
            .iter()
            .map(|(team, share)| ((*team).into(), quota(*share)))
            .collect(),
        ..pool()
    }
}

pub fn worker(n: usize) -> WorkerView {
    WorkerView {
        worker: format!("w{n}").into(),
        zone: format!("zone-{}", n % 3).into(),
        rack: format!("rack-{}", n / 3).into(),
        capacity: Resources::new(CORES, 64_000, 0),
        leaving: false,
    }
}

pub fn request(job: &str, class: &str, cores: u64) -> PlacementRequest {
    PlacementRequest {
        job: job.into(),
        team: "press".into(),
        class: class.into(),
        priority: Priority::Normal,
        resources: Resources::new(cores, 1_000, 0),
        run_time: Some(Duration::from_secs(600)),
        finish_by: None,
        work_done: Duration::ZERO,
        failures: 0,
    }
}
