//! What an entry may ask of the store: a rate, and nothing while the store is out of reach.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use base::prelude::*;

use ports::store::StoreCall;

use crate::ports::StorePriority;

/// How many writes a second one entry makes on average.
const WRITES_PER_SECOND: f64 = 60.0;

/// How many writes may follow at once after a quiet time.
const WRITE_BURST: f64 = 60.0;

/// How many reads a second one entry makes on average.
const READS_PER_SECOND: f64 = 300.0;

/// How many reads may follow at once after a quiet time.
const READ_BURST: f64 = 300.0;

/// How many calls in a row fail before the store counts as out of reach.
const MAX_FAILURES: u32 = 5;

/// The shortest wait before the store is probed again.
const MIN_OPEN: Duration = Duration::from_millis(100);

/// The longest wait before the store is probed again, without its jitter.
const MAX_OPEN: Duration = Duration::from_secs(2);

/// Whether a call may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Make it now.
    Now,
    /// Make it at this time or later.
    At(Instant),
    /// Do not make it: the store is out of reach.
    Refused,
}

/// An allowance that refills at a rate.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    burst: f64,
    per_second: f64,
    filled_at: Instant,
}

/// Whether calls reach the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Circuit {
    /// Calls are made; so many failed in a row.
    Closed { failures: u32 },
    /// No call is made before the time given.
    Open { until: Instant },
    /// One call is on its way to learn whether the store is back.
    Probing,
}

/// Decides which calls to the store are made and when.
#[derive(Debug)]
pub struct StoreBudget {
    writes: Bucket,
    reads: Bucket,
    circuit: Circuit,
    waits: ExponentialBackoff,
    seed: u64,
}

impl StoreBudget {
    /// Creates a budget; `seed` draws the jitter of its probes.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            writes: Bucket::new(now, WRITES_PER_SECOND, WRITE_BURST),
            reads: Bucket::new(now, READS_PER_SECOND, READ_BURST),
            circuit: Circuit::Closed { failures: 0 },
            waits: waits(seed),
            seed,
        }
    }

    /// Tells whether a call may be made, and counts it if so.
    ///
    /// Calls for leases are never held back by the rate: they are few, and all else
    /// depends on them. They count all the same.
    pub fn take(&mut self, now: Instant, priority: StorePriority, call: &StoreCall) -> Permit {
        let is_watch = matches!(call, StoreCall::Watch { .. });
        match self.circuit {
            Circuit::Probing => return Permit::Refused,
            // A watch may wait long for its answer, which is no good probe.
            Circuit::Open { .. } if is_watch => return Permit::Refused,
            Circuit::Open { until } if now < until => return Permit::Refused,
            Circuit::Open { .. } | Circuit::Closed { .. } => {}
        }
        let bucket = if call.is_write() {
            &mut self.writes
        } else {
            &mut self.reads
        };
        if let Some(at) = bucket.take(now, priority == StorePriority::Lease) {
            return Permit::At(at);
        }
        if matches!(self.circuit, Circuit::Open { .. }) {
            self.circuit = Circuit::Probing;
        }
        Permit::Now
    }

    /// Notes how a call that was made ended.
    pub fn ended(&mut self, now: Instant, is_reached: bool) {
        if is_reached {
            self.circuit = Circuit::Closed { failures: 0 };
            self.waits = waits(self.seed);
            return;
        }
        let failures = match self.circuit {
            Circuit::Closed { failures } => failures + 1,
            Circuit::Probing => MAX_FAILURES,
            // Calls that were on their way when the circuit opened tell nothing new.
            Circuit::Open { .. } => return,
        };
        self.circuit = if failures < MAX_FAILURES {
            Circuit::Closed { failures }
        } else {
            self.seed = self.seed.wrapping_add(1);
            let wait = self.waits.next().unwrap_or(MAX_OPEN);
            Circuit::Open { until: now + wait }
        };
    }

    /// Tells whether the store counts as out of reach.
    pub fn is_open(&self) -> bool {
        !matches!(self.circuit, Circuit::Closed { .. })
    }
}

impl Bucket {
    fn new(now: Instant, per_second: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            burst,
            per_second,
            filled_at: now,
        }
    }

    /// Takes a token, or returns when there is one; `may_owe` takes it in advance.
    fn take(&mut self, now: Instant, may_owe: bool) -> Option<Instant> {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.burst);
        self.filled_at = self.filled_at.max(now);
        if self.tokens >= 1.0 || may_owe {
            self.tokens -= 1.0;
            return None;
        }
        let missing = (1.0 - self.tokens) / self.per_second;
        Some(now + Duration::from_secs_f64(missing))
    }
}

fn waits(seed: u64) -> ExponentialBackoff {
    ExponentialBuilder::default()
        .with_min_delay(MIN_OPEN)
        .with_max_delay(MAX_OPEN)
        .without_max_times()
        .with_jitter()
        .with_jitter_seed(seed)
        .build()
}
