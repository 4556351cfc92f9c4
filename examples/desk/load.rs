//! The clients of a desk, which send quick requests and submit batch jobs and standing tasks.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread::Scope;
use std::time::{Duration, Instant};

use base::{JobId, JobKey, PoolName};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ureq::http::Response;
use ureq::{Agent, Body};
use wire::{JobPhase, JobRef, JobStatus, Outcome, header};

use crate::flags::{Desk, Flags};
use crate::fleet::lock;

/// How many clients send quick requests.
const REQUEST_CLIENTS: u64 = 16;

/// How long a client waits between two quick requests on average.
const THINK_TIME: Duration = Duration::from_millis(20);

/// How many clients submit batch jobs.
const BATCH_CLIENTS: u64 = 4;

/// How long a client waits between two submissions on average.
const SUBMIT_EVERY: Duration = Duration::from_millis(100);

/// Run time of a batch job, in milliseconds.
const JOB_RUN_TIME_MS: std::ops::Range<u64> = 300..2_000;

/// Number of standing tasks.
const STANDING_JOBS: usize = 10;

/// How long a client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of attempts to submit a job, all with the same key.
const SUBMIT_ATTEMPTS: u32 = 100;

/// Counts of quick requests by outcome.
#[derive(Debug)]
pub(crate) struct Requests {
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    pub(crate) refused_not_run: u64,
    pub(crate) unknown: u64,
    /// Latencies of answered requests, in microseconds.
    pub(crate) latency_us: Histogram<u64>,
    /// Number of requests that were not answered, by reason.
    pub(crate) reasons: IndexMap<String, u64>,
}

/// The clients of a run, with the requests and jobs that they have sent.
pub(crate) struct Load {
    desk: Desk,
    seed: u64,
    entries: Vec<SocketAddr>,
    agent: Agent,
    next_entry: AtomicUsize,
    answered: AtomicU64,
    pub(crate) requests: Mutex<Requests>,
    pub(crate) jobs: Mutex<IndexMap<JobKey, JobId>>,
    pub(crate) standing: Mutex<IndexMap<JobKey, JobId>>,
    pub(crate) submit_failures: AtomicU64,
}

impl Load {
    pub(crate) fn new(flags: &Flags, entries: Vec<SocketAddr>) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CLIENT_TIMEOUT))
            .max_idle_connections_per_host(64)
            .build()
            .new_agent();
        let latency_us = Histogram::new(3).expect("three digits are valid");
        Self {
            desk: flags.desk,
            seed: flags.seed,
            entries,
            agent,
            next_entry: AtomicUsize::new(0),
            answered: AtomicU64::new(0),
            requests: Mutex::new(Requests {
                sent: 0,
                answered: 0,
                refused_not_run: 0,
                unknown: 0,
                latency_us,
                reasons: IndexMap::new(),
            }),
            jobs: Mutex::default(),
            standing: Mutex::default(),
            submit_failures: AtomicU64::new(0),
        }
    }

    pub(crate) fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    pub(crate) fn submitted(&self) -> usize {
        lock(&self.jobs).len()
    }

    /// Starts the clients; they stop soon after `stop` is set.
    pub(crate) fn start<'scope>(
        &'scope self,
        scope: &'scope Scope<'scope, '_>,
        stop: &'scope AtomicBool,
    ) {
        for client in 0..REQUEST_CLIENTS {
            scope.spawn(move || self.send_requests(client, stop));
        }
        for client in 0..BATCH_CLIENTS {
            scope.spawn(move || self.submit_jobs(client, stop));
        }
        scope.spawn(move || self.submit_standing());
    }

    /// Returns the next entry in turn, as a load balancer would.
    fn entry(&self) -> SocketAddr {
        let at = self.next_entry.fetch_add(1, Ordering::Relaxed);
        self.entries[at % self.entries.len()]
    }

    fn send_requests(&self, client: u64, stop: &AtomicBool) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed << 8 | client);
        while !stop.load(Ordering::Acquire) {
            self.send_request();
            pause(&mut rng, THINK_TIME);
        }
    }

    fn send_request(&self) {
        let began = Instant::now();
        let result = self.post_balanced();
        let (outcome, reason) = match result {
            Ok(mut response) => {
                let outcome = text(&response, header::OUTCOME).and_then(|s| s.parse().ok());
                let reason = text(&response, header::REASON).unwrap_or_default();
                let read = response.body_mut().read_to_vec();
                match (outcome, read) {
                    (Some(outcome), Ok(_)) => (outcome, reason),
                    _ => (Outcome::Unknown, "no-outcome".to_owned()),
                }
            }
            Err(e) => (Outcome::Unknown, e.to_string()),
        };
        self.count_request(outcome, reason, began.elapsed());
    }

    /// Sends a quick request to the next entry that accepts connections, as a load balancer would.
    fn post_balanced(&self) -> Result<Response<Body>, ureq::Error> {
        let mut result = self.post_request();
        for _ in 1..self.entries.len() {
            match &result {
                Err(ureq::Error::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                    result = self.post_request();
                }
                _ => break,
            }
        }
        result
    }

    fn post_request(&self) -> Result<Response<Body>, ureq::Error> {
        let url = format!("http://{}{}", self.entry(), self.desk.request_path());
        self.agent
            .post(url)
            .send("reference 12 of the third chapter")
    }

    fn count_request(&self, outcome: Outcome, reason: String, took: Duration) {
        let mut requests = lock(&self.requests);
        requests.sent += 1;
        match outcome {
            Outcome::Answered => {
                requests.answered += 1;
                self.answered.fetch_add(1, Ordering::Relaxed);
                // The histogram grows as needed, so that recording cannot fail.
                let _ = requests.latency_us.record(took.as_micros() as u64);
                return;
            }
            Outcome::RefusedNotRun => requests.refused_not_run += 1,
            Outcome::Unknown => requests.unknown += 1,
        }
        *requests.reasons.entry(reason).or_default() += 1;
    }

    fn submit_jobs(&self, client: u64, stop: &AtomicBool) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed << 8 | 0x80 | client);
        let mut number = 0;
        while !stop.load(Ordering::Acquire) {
            number += 1;
            let key = JobKey::new(format!("job-{client}-{number}"));
            let body = format!("{{\"run-time-ms\": {}}}", rng.random_range(JOB_RUN_TIME_MS));
            match self.submit(self.desk.batch_path(), &key, &body) {
                Some(job) => drop(lock(&self.jobs).insert(key, job)),
                None => drop(self.submit_failures.fetch_add(1, Ordering::Relaxed)),
            }
            pause(&mut rng, SUBMIT_EVERY);
        }
    }

    fn submit_standing(&self) {
        for number in 0..STANDING_JOBS {
            let key = JobKey::new(format!("standing-{number}"));
            match self.submit(self.desk.standing_path(), &key, "") {
                Some(job) => drop(lock(&self.standing).insert(key, job)),
                None => drop(self.submit_failures.fetch_add(1, Ordering::Relaxed)),
            }
        }
    }

    /// Submits a job until it is accepted; the idempotency key makes every attempt the same job.
    fn submit(&self, path: &str, key: &JobKey, body: &str) -> Option<JobId> {
        for _ in 0..SUBMIT_ATTEMPTS {
            let url = format!("http://{}{path}", self.entry());
            let call = self
                .agent
                .post(url)
                .header(header::IDEMPOTENCY_KEY, key.as_str());
            let reply: Option<serde_json::Value> = call
                .send(body)
                .ok()
                .filter(|response| response.status().is_success())
                .and_then(|mut response| response.body_mut().read_json().ok());
            let job = reply
                .as_ref()
                .and_then(|reply| reply["job"].as_str())
                .map(JobId::from);
            if job.is_some() {
                return job;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Waits until all batch jobs have ended and all standing tasks run, or until the given time.
    pub(crate) fn wait_for_jobs(&self, until: Instant) {
        while Instant::now() < until {
            let unfinished = self
                .statuses(&lock(&self.jobs).clone())
                .iter()
                .filter(|status| status.as_ref().is_none_or(|status| !is_ended(status)))
                .count();
            let standing = self.statuses(&lock(&self.standing).clone());
            let not_running = standing
                .iter()
                .filter(|status| !is_running(status.as_ref()))
                .count();
            if unfinished == 0 && not_running == 0 {
                return;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Returns the status of jobs from the first entry that responds.
    pub(crate) fn statuses(&self, jobs: &IndexMap<JobKey, JobId>) -> Vec<Option<JobStatus>> {
        let refs: Vec<JobRef> = jobs.values().cloned().map(JobRef::Id).collect();
        let pool = PoolName::from(self.desk.pool());
        let body = serde_json::json!({ "pool": pool, "jobs": refs }).to_string();
        for _ in 0..self.entries.len() {
            let url = format!("http://{}/v1/jobs/query", self.entry());
            let statuses: Option<Vec<Option<JobStatus>>> = self
                .agent
                .post(url)
                .send(&body)
                .ok()
                .and_then(|mut response| response.body_mut().read_json().ok());
            if let Some(statuses) = statuses.filter(|found| found.len() == jobs.len()) {
                return statuses;
            }
        }
        vec![None; jobs.len()]
    }
}

/// Returns true if a job has ended.
fn is_ended(status: &JobStatus) -> bool {
    matches!(
        status.phase,
        JobPhase::Finished | JobPhase::Failed { .. } | JobPhase::Cancelled
    )
}

/// Returns true if a job is running.
pub(crate) fn is_running(status: Option<&JobStatus>) -> bool {
    status.is_some_and(|status| matches!(status.phase, JobPhase::Running { .. }))
}

fn text(response: &Response<Body>, name: &str) -> Option<String> {
    response
        .headers()
        .get(name)?
        .to_str()
        .ok()
        .map(str::to_owned)
}

/// Sleeps for a random time with the given mean.
fn pause(rng: &mut ChaCha8Rng, mean: Duration) {
    let share: f64 = rng.random_range(0.0..2.0);
    std::thread::sleep(mean.mul_f64(share));
}
