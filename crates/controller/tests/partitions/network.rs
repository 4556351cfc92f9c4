//! Messages between the store, the entries and the VMs: cut, late or lost.

use std::collections::BTreeMap;
use std::ops::Range;

use base::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

/// A machine: the store, an entry or a VM.
pub type Site = usize;

/// How long messages take, in milliseconds.
const LATENCY: Range<u64> = 1..25;

/// How long late ones take, in milliseconds.
const LATE: Range<u64> = 200..7000;

/// The share of the messages that are late on a link that is not cut.
const LATE_SHARE: f64 = 0.01;

/// The share of the messages that arrive late on a link that is cut; the others are lost.
const DELIVERED_SHARE: f64 = 0.3;

/// The messages on their way, by the time of their arrival.
#[derive(Debug)]
pub struct Network<M> {
    queue: BTreeMap<(Duration, u64), M>,
    sent: u64,
    /// The links that are cut, each in one direction.
    cuts: IndexSet<(Site, Site)>,
}

impl<M> Network<M> {
    pub fn new() -> Self {
        Self {
            queue: BTreeMap::new(),
            sent: 0,
            cuts: IndexSet::new(),
        }
    }

    /// Sends a message at `now`; it may get lost.
    pub fn send(&mut self, rng: &mut SmallRng, now: Duration, link: (Site, Site), message: M) {
        let is_cut = self.cuts.contains(&link);
        if is_cut && !rng.random_bool(DELIVERED_SHARE) {
            return;
        }
        let is_late = is_cut || rng.random_bool(LATE_SHARE);
        let millis = rng.random_range(if is_late { LATE } else { LATENCY });
        self.deliver_at(now + Duration::from_millis(millis), message);
    }

    /// Delivers a message at a time, whatever the links.
    pub fn deliver_at(&mut self, at: Duration, message: M) {
        self.sent += 1;
        self.queue.insert((at, self.sent), message);
    }

    /// Takes the next message that has arrived.
    pub fn take(&mut self, now: Duration) -> Option<M> {
        let first = self.queue.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Cuts a link in one direction.
    pub fn cut(&mut self, from: Site, to: Site) {
        self.cuts.insert((from, to));
    }
}
