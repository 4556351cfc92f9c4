//! A load balancer in front of the entries, like the platform's.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::harness::{self, CallerOutcome, Cluster};

/// How often the readiness of the entries is checked.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// Distributes requests over the entries that are ready.
pub struct Balancer {
    entries: Mutex<Vec<(SocketAddr, bool)>>,
}

impl Balancer {
    pub fn new(cluster: &Cluster) -> Self {
        let entries = cluster.entries.iter().map(|entry| (entry.http, true));
        Self {
            entries: Mutex::new(entries.collect()),
        }
    }

    pub fn add(&self, entry: SocketAddr) {
        self.entries.lock().unwrap().push((entry, true));
    }

    /// Checks the readiness of the entries periodically until `stopping` is set.
    pub fn watch_until(&self, stopping: &AtomicBool) {
        while !stopping.load(Ordering::SeqCst) {
            let entries = self.entries.lock().unwrap().clone();
            for (entry, _) in entries {
                let is_ready = harness::is_ready(entry);
                let mut entries = self.entries.lock().unwrap();
                if let Some(known) = entries.iter_mut().find(|known| known.0 == entry) {
                    known.1 = is_ready;
                }
            }
            thread::sleep(CHECK_EVERY);
        }
    }

    /// Sends requests one after another until `stopping` is set and returns their outcomes.
    pub fn call_until(&self, stopping: &AtomicBool, caller: usize) -> Vec<CallerOutcome> {
        let mut outcomes = Vec::new();
        while !stopping.load(Ordering::SeqCst) {
            match self.pick(outcomes.len() + caller) {
                Some(entry) => outcomes.push(harness::send(entry, "/settle", None).0),
                None => thread::sleep(CHECK_EVERY),
            }
        }
        outcomes
    }

    fn pick(&self, turn: usize) -> Option<SocketAddr> {
        let entries = self.entries.lock().unwrap();
        let ready: Vec<SocketAddr> = entries
            .iter()
            .filter_map(|(entry, is_ready)| is_ready.then_some(*entry))
            .collect();
        (!ready.is_empty()).then(|| ready[turn % ready.len()])
    }
}
