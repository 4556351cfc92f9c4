//! A worker in memory; the caller passes the current time.

use std::collections::VecDeque;

use base::prelude::*;
use ports::worker::{TaskStart, TaskState, UsageSample, WorkerCall, WorkerReply};

use super::interference::Workload;
use super::record::{Effect, WorkerRecord};
use super::settings::{WorkerFaults, WorkerSettings};
use super::task::Task;

/// The name of the worker in errors.
const NAME: &str = "worker";

/// A worker that starts every task it is given, even beyond its capacity.
#[derive(Debug)]
pub struct MemWorker {
    settings: WorkerSettings,
    faults: WorkerFaults,
    now: Instant,
    tasks: IndexMap<TaskKey, Task>,
    forgotten: IndexSet<TaskKey>,
    record: WorkerRecord,
    samples: VecDeque<(Instant, Vec<UsageSample>)>,
    next_sample: Instant,
}

impl MemWorker {
    /// Creates an idle worker.
    pub fn new(settings: WorkerSettings, now: Instant) -> Self {
        Self {
            settings,
            faults: WorkerFaults::default(),
            now,
            tasks: IndexMap::new(),
            forgotten: IndexSet::new(),
            record: WorkerRecord::default(),
            samples: VecDeque::new(),
            next_sample: now,
        }
    }

    /// Returns the settings, which can be changed at any time.
    pub fn settings_mut(&mut self) -> &mut WorkerSettings {
        &mut self.settings
    }

    /// Returns the faults, which can be changed at any time.
    pub fn faults_mut(&mut self) -> &mut WorkerFaults {
        &mut self.faults
    }

    /// Returns what the worker did so far.
    pub fn record(&self) -> &WorkerRecord {
        &self.record
    }

    /// Returns the sum of what the running tasks were granted.
    pub fn granted(&self) -> Resources {
        self.live()
            .fold(Resources::ZERO, |sum, task| sum + task.start.granted)
    }

    /// Executes one call at `now`.
    ///
    /// # Errors
    ///
    /// Fails if the faults say so: without an effect if the worker is unreachable, after the effect
    /// if the reply to a start is lost.
    pub fn call(&mut self, now: Instant, call: &WorkerCall) -> Result<WorkerReply> {
        self.advance(now);
        if self.faults.unreachable {
            let message = "the worker is unreachable";
            return Err(Error::new(
                ErrorKind::Unreachable,
                call.kind(),
                NAME,
                message,
            ));
        }
        let reply = self.execute(call);
        if matches!(call, WorkerCall::Start(_)) && self.faults.lose_next_starts > 0 {
            self.faults.lose_next_starts -= 1;
            let message = "the reply was lost";
            return Err(Error::new(ErrorKind::Timeout, call.kind(), NAME, message));
        }
        Ok(reply)
    }

    /// Advances the time to `now`.
    pub fn advance(&mut self, now: Instant) {
        while self.now < now {
            let speeds = self.speeds();
            let until = self.next_event(&speeds).clamp(self.now, now);
            self.run_until(until, &speeds);
            self.apply_due();
            if until == now {
                break;
            }
        }
    }

    /// Ends every task at `now` and forgets all tasks and samples, as the loss of the VM does.
    ///
    /// The record stays.
    pub fn lose_all(&mut self, now: Instant) {
        self.advance(now);
        for (key, task) in &self.tasks {
            if task.is_live() {
                self.record.end(key, now);
            }
        }
        self.tasks.clear();
        self.forgotten.clear();
        self.samples.clear();
    }

    fn execute(&mut self, call: &WorkerCall) -> WorkerReply {
        match call {
            WorkerCall::Start(start) => self.start(start),
            WorkerCall::Stop { key } => self.stop(key),
            WorkerCall::Checkpoint { key } => self.checkpoint(key),
            WorkerCall::Throttle { key, share } => self.throttle(key, *share),
            WorkerCall::Forget { key } => self.forget(key),
            WorkerCall::Renew { keys, ttl } => self.renew(keys, *ttl),
            WorkerCall::List => WorkerReply::Tasks {
                capacity: self.settings.capacity,
                tasks: self.tasks.values().map(Task::report).collect(),
            },
            WorkerCall::Usage => WorkerReply::Usage(self.usage()),
        }
    }

    fn start(&mut self, start: &TaskStart) -> WorkerReply {
        if self.tasks.contains_key(&start.key) || self.forgotten.contains(&start.key) {
            self.record.repeated_starts += 1;
            return WorkerReply::Ok;
        }
        let task = self.new_task(start);
        self.record.start(&start.key, self.now);
        self.tasks.insert(start.key.clone(), task);
        if !self.granted().fits(&self.settings.capacity) {
            self.record.overcommits += 1;
        }
        WorkerReply::Ok
    }

    fn new_task(&self, start: &TaskStart) -> Task {
        let profile = self
            .settings
            .profiles
            .get(&start.class)
            .copied()
            .unwrap_or_default();
        let fails = self.faults.fail_all || self.faults.fail_classes.contains(&start.class);
        let done = start.checkpoint.as_ref().map_or(Duration::ZERO, |c| c.done);
        Task {
            start: start.clone(),
            state: TaskState::Running,
            throttle: 1.0,
            done: done.as_secs_f64(),
            work: start.work.map(|work| work.as_secs_f64() * profile.work),
            leased_until: self.now + start.ttl.unwrap_or(self.settings.first_ttl),
            checkpoint_at: None,
            fails_at: fails.then(|| self.now + self.settings.fail_after),
        }
    }

    fn stop(&mut self, key: &TaskKey) -> WorkerReply {
        let Some(task) = self.tasks.get_mut(key) else {
            return WorkerReply::NoSuchTask;
        };
        if task.is_live() {
            task.state = TaskState::Stopped { checkpoint: None };
            self.record.end(key, self.now);
        }
        WorkerReply::Ok
    }

    fn checkpoint(&mut self, key: &TaskKey) -> WorkerReply {
        let Some(task) = self.tasks.get_mut(key) else {
            return WorkerReply::NoSuchTask;
        };
        if task.state == TaskState::Running {
            task.state = TaskState::Checkpointing;
            task.checkpoint_at = Some(self.now + self.settings.checkpoint_time);
        }
        WorkerReply::Ok
    }

    fn throttle(&mut self, key: &TaskKey, share: f64) -> WorkerReply {
        let Some(task) = self.tasks.get_mut(key) else {
            return WorkerReply::NoSuchTask;
        };
        task.throttle = share.clamp(0.0, 1.0);
        WorkerReply::Ok
    }

    fn forget(&mut self, key: &TaskKey) -> WorkerReply {
        match self.tasks.get(key) {
            None => WorkerReply::NoSuchTask,
            // Only ended tasks are forgotten; a live one keeps running.
            Some(task) if task.is_live() => WorkerReply::Ok,
            Some(_) => {
                self.tasks.shift_remove(key);
                self.remember(key);
                WorkerReply::Ok
            }
        }
    }

    fn remember(&mut self, key: &TaskKey) {
        if self.forgotten.len() >= self.settings.remembered_keys {
            self.forgotten.shift_remove_index(0);
        }
        self.forgotten.insert(key.clone());
    }

    fn renew(&mut self, keys: &[TaskKey], ttl: Duration) -> WorkerReply {
        for key in keys {
            if let Some(task) = self.tasks.get_mut(key) {
                task.leased_until = self.now + ttl;
            }
        }
        WorkerReply::Ok
    }

    fn live(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().filter(|task| task.is_live())
    }

    /// Returns the speed of the service, if any, and of each live task.
    fn speeds(&self) -> Vec<f64> {
        let workloads: Vec<Workload> = self
            .settings
            .service
            .iter()
            .cloned()
            .chain(self.live().map(Task::workload))
            .collect();
        (0..workloads.len())
            .map(|i| self.speed_of(i, &workloads))
            .collect()
    }

    fn speed_of(&self, index: usize, workloads: &[Workload]) -> f64 {
        let mut others = workloads.to_vec();
        let workload = others.remove(index);
        let slow = self.faults.slow_factor.max(1.0);
        self.settings.interference.speed(&workload, &others) / slow
    }

    fn task_speeds<'a>(&self, speeds: &'a [f64]) -> &'a [f64] {
        &speeds[usize::from(self.settings.service.is_some())..]
    }

    fn next_event(&self, speeds: &[f64]) -> Instant {
        self.live()
            .zip(self.task_speeds(speeds))
            .filter_map(|(task, speed)| task.next_event(self.now, *speed))
            .fold(self.next_sample, Instant::min)
    }

    fn run_until(&mut self, until: Instant, speeds: &[f64]) {
        let elapsed = (until - self.now).as_secs_f64();
        let speeds = self.task_speeds(speeds).to_vec();
        let live = self.tasks.values_mut().filter(|task| task.is_live());
        for (task, speed) in live.zip(speeds) {
            if task.state == TaskState::Running {
                task.done += elapsed * speed;
            }
        }
        self.now = until;
    }

    /// Applies the state changes that are due at the current time.
    fn apply_due(&mut self) {
        let keys: Vec<TaskKey> = self.tasks.keys().cloned().collect();
        for key in keys {
            self.apply_due_to(&key);
        }
        if self.next_sample <= self.now {
            self.sample();
        }
    }

    fn apply_due_to(&mut self, key: &TaskKey) {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(key).filter(|task| task.is_live()) else {
            return;
        };
        let is_done = task.work.is_some_and(|work| task.done >= work);
        if task.state == TaskState::Running && is_done {
            task.state = TaskState::Finished;
            self.record.effects.push(Effect {
                key: key.clone(),
                at: now,
            });
        } else if task.checkpoint_at.is_some_and(|at| at <= now) {
            let checkpoint = Some(task.checkpoint());
            task.state = TaskState::Stopped { checkpoint };
        } else if task.fails_at.is_some_and(|at| at <= now) {
            let error = "the task was made to fail".into();
            task.state = TaskState::Failed { error };
        } else if task.leased_until <= now {
            task.state = TaskState::Stopped { checkpoint: None };
            self.record.expired += 1;
        } else {
            return;
        }
        self.record.end(key, now);
    }

    fn sample(&mut self) {
        let speeds = self.speeds();
        let mut samples: Vec<UsageSample> = Vec::new();
        if let Some(service) = &self.settings.service {
            samples.push(service_sample(service, speeds[0]));
        }
        for (task, speed) in self.live().zip(self.task_speeds(&speeds)) {
            samples.push(self.task_sample(task, *speed));
        }
        self.samples.push_back((self.now, samples));
        self.next_sample = self.now + self.settings.sample_every;
        self.drop_old_samples();
    }

    fn task_sample(&self, task: &Task, speed: f64) -> UsageSample {
        let class = &task.start.class;
        let profile = self.settings.profiles.get(class).copied();
        let profile = profile.unwrap_or_default();
        let granted = task.start.granted;
        UsageSample {
            task: Some(task.start.key.clone()),
            class: class.clone(),
            age: Duration::ZERO,
            cpu_milli: share(granted.cpu_milli, profile.cpu * task.throttle),
            memory_mib: share(granted.memory_mib, profile.memory),
            speed,
            progress: task.progress(),
        }
    }

    /// Drops all samples but the newest readable ones and those that are not readable yet.
    fn drop_old_samples(&mut self) {
        let lag = self.settings.usage_lag;
        while self
            .samples
            .get(1)
            .is_some_and(|(at, _)| *at + lag <= self.now)
        {
            self.samples.pop_front();
        }
    }

    fn usage(&mut self) -> Vec<UsageSample> {
        self.drop_old_samples();
        let Some((at, samples)) = self.samples.front() else {
            return Vec::new();
        };
        let age = self.now - *at;
        if age < self.settings.usage_lag {
            return Vec::new();
        }
        samples
            .iter()
            .cloned()
            .map(|sample| UsageSample { age, ..sample })
            .collect()
    }
}

fn service_sample(service: &Workload, speed: f64) -> UsageSample {
    UsageSample {
        task: None,
        class: service.class.clone(),
        age: Duration::ZERO,
        cpu_milli: share(service.granted.cpu_milli, service.load),
        memory_mib: service.granted.memory_mib,
        speed,
        progress: None,
    }
}

/// Returns a share of an amount, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "amounts are far below 2^52 and shares are not negative"
)]
fn share(amount: u64, share: f64) -> u64 {
    (amount as f64 * share) as u64
}
