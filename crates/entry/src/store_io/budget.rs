//! Limits an entry's store calls: a rate limit, and a circuit breaker for an unreachable store.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use base::prelude::*;

use ports::store::StoreCall;

use crate::ports::StorePriority;

/// Average rate of an entry's writes.
const WRITES_PER_SECOND: f64 = 60.0;

/// Maximum number of writes in a burst after an idle period.
const WRITE_BURST: f64 = 60.0;

/// Average rate of an entry's reads.
const READS_PER_SECOND: f64 = 300.0;

/// Maximum number of reads in a burst after an idle period.
const READ_BURST: f64 = 300.0;

/// How many calls in a row fail before the store counts as unreachable.
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
    /// Do not make it: the store is unreachable.
    Refused,
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    burst: f64,
    per_second: f64,
    filled_at: Instant,
}

/// The state of the circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Circuit {
    /// Calls are made; the last `failures` of them failed.
    Closed { failures: u32 },
    /// No call is made before `until`.
    Open { until: Instant },
    /// One call is in flight to probe whether the store is reachable again.
    Probing,
}

/// Decides which calls to the store are made and when.
#[derive(Debug)]
pub struct StoreBudget {
    writes: Bucket,
    reads: Bucket,
    circuit: Circuit,
    backoff: ExponentialBackoff,
    seed: u64,
}

impl StoreBudget {
    /// Creates a budget; `seed` seeds the jitter of its probes.
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            writes: Bucket::new(now, WRITES_PER_SECOND, WRITE_BURST),
            reads: Bucket::new(now, READS_PER_SECOND, READ_BURST),
            circuit: Circuit::Closed { failures: 0 },
            backoff: backoff(seed),
            seed,
        }
    }

    /// Decides whether a call may be made, and counts it against its rate if so.
    ///
    /// The rate never delays calls for leases, since they are few and everything else depends on
    /// them. They still count against it.
    pub fn take(&mut self, now: Instant, priority: StorePriority, call: &StoreCall) -> Permit {
        let is_watch = matches!(call, StoreCall::Watch { .. });
        match self.circuit {
            Circuit::Probing => return Permit::Refused,
            // A watch may wait long for its response, so it is not used as a probe.
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

    /// Records the result of a call that was made.
    pub fn call_ended(&mut self, now: Instant, is_store_reachable: bool) {
        if is_store_reachable {
            self.circuit = Circuit::Closed { failures: 0 };
            self.backoff = backoff(self.seed);
            return;
        }
        let failures = match self.circuit {
            Circuit::Closed { failures } => failures + 1,
            Circuit::Probing => MAX_FAILURES,
            // Calls that were in flight when the circuit opened do not count again.
            Circuit::Open { .. } => return,
        };
        self.circuit = if failures < MAX_FAILURES {
            Circuit::Closed { failures }
        } else {
            self.seed = self.seed.wrapping_add(1);
            let wait = self.backoff.next().unwrap_or(MAX_OPEN);
            Circuit::Open { until: now + wait }
        };
    }

    /// Returns true if the store counts as unreachable.
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

    /// Takes a token, or returns the time at which one is available.
    ///
    /// With `may_overdraw`, a token is taken even if there is none; the balance goes negative.
    fn take(&mut self, now: Instant, may_overdraw: bool) -> Option<Instant> {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.burst);
        self.filled_at = self.filled_at.max(now);
        if self.tokens >= 1.0 || may_overdraw {
            self.tokens -= 1.0;
            return None;
        }
        let missing = (1.0 - self.tokens) / self.per_second;
        Some(now + Duration::from_secs_f64(missing))
    }
}

fn backoff(seed: u64) -> ExponentialBackoff {
    ExponentialBuilder::default()
        .with_min_delay(MIN_OPEN)
        .with_max_delay(MAX_OPEN)
        .without_max_times()
        .with_jitter()
        .with_jitter_seed(seed)
        .build()
}
