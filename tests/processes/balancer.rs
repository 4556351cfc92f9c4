//! The platform's balancer, as callers see it.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::rig::{self, Desk, Told};

/// How often entries are asked whether they are ready.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// Spreads callers over the entries that are ready.
pub struct Balancer {
    entries: Mutex<Vec<(SocketAddr, bool)>>,
}

impl Balancer {
    pub fn new(desk: &Desk) -> Self {
        let entries = desk.entries.iter().map(|entry| (entry.http, true));
        Self {
            entries: Mutex::new(entries.collect()),
        }
    }

    pub fn add(&self, entry: SocketAddr) {
        self.entries.lock().unwrap().push((entry, true));
    }

    /// Asks the entries again and again whether they are ready, as the platform does.
    pub fn watch_until(&self, stopping: &AtomicBool) {
        while !stopping.load(Ordering::SeqCst) {
            let entries = self.entries.lock().unwrap().clone();
            for (entry, _) in entries {
                let is_ready = rig::is_ready(entry);
                let mut entries = self.entries.lock().unwrap();
                if let Some(known) = entries.iter_mut().find(|known| known.0 == entry) {
                    known.1 = is_ready;
                }
            }
            thread::sleep(CHECK_EVERY);
        }
    }

    /// Sends one request after the other and returns what came of them.
    pub fn call_until(&self, stopping: &AtomicBool, caller: usize) -> Vec<Told> {
        let mut told = Vec::new();
        while !stopping.load(Ordering::SeqCst) {
            match self.pick(told.len() + caller) {
                Some(entry) => told.push(rig::send(entry, "/settle", None).0),
                None => thread::sleep(CHECK_EVERY),
            }
        }
        told
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
