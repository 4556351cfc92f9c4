//! The simulated store: the in-memory fake, which can be down, slow or lose replies.

use base::prelude::*;
use entry::StoreToken;
use fakes::store::MemStore;
use ports::store::{StoreCall, StoreReply};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::ports::ProcIncarnation;

/// The timeout of a store call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The longest ordinary one-way delay of a call.
const MAX_ONE_WAY_DELAY: Duration = Duration::from_millis(3);

/// The longest one-way delay of a call to a slow store.
const MAX_SLOW_ONE_WAY_DELAY: Duration = Duration::from_millis(2_500);

/// The probability that a call that times out in an outage takes effect later.
const LATE_EFFECT_PROBABILITY: f64 = 0.2;

/// The longest time from a call in an outage to its late effect.
const MAX_EFFECT_DELAY: Duration = Duration::from_secs(60);

/// The probability that a reply is lost while the store loses replies.
const LOSS_PROBABILITY: f64 = 0.2;

/// The number of active faults of each kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreFaults {
    pub(crate) down: u32,
    pub(crate) slow: u32,
    pub(crate) losing_replies: u32,
}

/// The store with its active faults and pending watches.
#[derive(Debug)]
pub(crate) struct SimStore {
    pub(crate) mem: MemStore,
    pub(crate) faults: StoreFaults,
    pub(crate) watches: IndexMap<u64, PendingWatch>,
    pub(crate) next_watch: u64,
}

/// A watch that waits for changes, and who called it.
#[derive(Clone, Debug)]
pub(crate) struct PendingWatch {
    pub(crate) incarnation: ProcIncarnation,
    pub(crate) token: StoreToken,
    pub(crate) call: StoreCall,
}

/// The outcome of one call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreCallOutcome {
    /// The time from the call to its effect; `None` if it has no effect.
    pub(crate) effect: Option<Duration>,
    /// The time from the call to the reply.
    pub(crate) reply: Duration,
    /// The error that the caller receives instead of the reply.
    pub(crate) error: Option<ErrorKind>,
}

impl SimStore {
    pub(crate) fn new() -> Self {
        Self {
            mem: MemStore::new(),
            faults: StoreFaults::default(),
            watches: IndexMap::new(),
            next_watch: 0,
        }
    }

    pub(crate) fn apply(&mut self, now: Instant, call: &StoreCall) -> Result<StoreReply> {
        self.mem.call(now, call)
    }

    /// Draws the outcome of a call made now.
    pub(crate) fn draw_outcome(&self, rng: &mut ChaCha8Rng) -> StoreCallOutcome {
        if self.faults.down > 0 {
            return draw_outage_outcome(rng);
        }
        let max = if self.faults.slow > 0 {
            MAX_SLOW_ONE_WAY_DELAY
        } else {
            MAX_ONE_WAY_DELAY
        };
        let there = rng.random_range(Duration::ZERO..=max);
        let back = rng.random_range(Duration::ZERO..=max);
        let lost = self.faults.losing_replies > 0 && rng.random_bool(LOSS_PROBABILITY);
        let breaks = rng.random_bool(0.5);
        match there + back {
            reply if lost && breaks => StoreCallOutcome {
                effect: Some(there),
                reply,
                error: Some(ErrorKind::Interrupted),
            },
            reply if lost || reply >= TIMEOUT => StoreCallOutcome {
                effect: Some(there),
                reply: TIMEOUT,
                error: Some(ErrorKind::Timeout),
            },
            reply => StoreCallOutcome {
                effect: Some(there),
                reply,
                error: None,
            },
        }
    }
}

fn draw_outage_outcome(rng: &mut ChaCha8Rng) -> StoreCallOutcome {
    if rng.random_bool(0.5) {
        return StoreCallOutcome {
            effect: None,
            reply: rng.random_range(Duration::ZERO..=MAX_ONE_WAY_DELAY),
            error: Some(ErrorKind::Unreachable),
        };
    }
    let late = rng.random_range(Duration::ZERO..MAX_EFFECT_DELAY);
    StoreCallOutcome {
        effect: rng.random_bool(LATE_EFFECT_PROBABILITY).then_some(late),
        reply: TIMEOUT,
        error: Some(ErrorKind::Timeout),
    }
}
