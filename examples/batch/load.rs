//! Submits jobs at a steady rate from many threads.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::JoinHandle;

use base::prelude::*;
use hdrhistogram::Histogram;

/// Number of threads that submit jobs.
const THREADS: u64 = 90;

/// Timeout of a submission.
const TIMEOUT: Duration = Duration::from_secs(10);

/// State shared by the threads.
#[derive(Debug)]
struct Shared {
    entries: Vec<SocketAddr>,
    began: Instant,
    rate: f64,
    is_stopping: AtomicBool,
    next: AtomicU64,
    latencies: Mutex<Histogram<u64>>,
}

/// The running threads that submit jobs.
#[derive(Debug)]
pub(crate) struct Load {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    pub(crate) fn start(entries: Vec<SocketAddr>, rate: f64) -> Self {
        let shared = Arc::new(Shared {
            entries,
            began: Instant::now(),
            rate,
            is_stopping: AtomicBool::new(false),
            next: AtomicU64::new(0),
            latencies: Mutex::new(histogram()),
        });
        let threads = (0..THREADS)
            .map(|_| {
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || shared.submit_all())
            })
            .collect();
        Self { shared, threads }
    }

    /// Returns the latencies of submissions accepted since the last call, in microseconds.
    pub(crate) fn take_latencies(&self) -> Histogram<u64> {
        let mut latencies = self
            .shared
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *latencies, histogram())
    }

    pub(crate) fn stop(self) {
        self.shared.is_stopping.store(true, Ordering::Release);
        for thread in self.threads {
            drop(thread.join());
        }
    }
}

impl Shared {
    fn submit_all(&self) {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build()
            .into();
        while !self.is_stopping.load(Ordering::Acquire) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let due = self.began + Duration::from_secs_f64(number as f64 / self.rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            self.submit(&agent, number);
        }
    }

    fn submit(&self, agent: &ureq::Agent, number: u64) {
        let entry = self.entries[number as usize % self.entries.len()];
        let began = Instant::now();
        let response = agent
            .post(format!("http://{entry}/step"))
            .header("Idempotency-Key", format!("job-{number}"))
            .send_empty();
        if response.is_ok_and(|response| response.status() == 201) {
            let took = began.elapsed().as_micros() as u64;
            let mut latencies = self
                .latencies
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            latencies.saturating_record(took);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
