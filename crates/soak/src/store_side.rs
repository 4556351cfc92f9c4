//! The store of a run: the stand-in in memory, down, slow or losing answers.

use base::prelude::*;
use entry::StoreToken;
use fakes::store::MemStore;
use ports::store::{StoreCall, StoreReply};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::ports::Life;

/// How long a process waits for the store.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The longest ordinary delay of each half of a call.
const MAX_HALF: Duration = Duration::from_millis(3);

/// The longest delay of each half of a call to a slow store.
const MAX_SLOW_HALF: Duration = Duration::from_millis(2_500);

/// The probability that a call into an outage takes effect after its end.
const LATE_EFFECT: f64 = 0.2;

/// The longest time that such an effect comes after the call.
const MAX_LATE: Duration = Duration::from_secs(60);

/// The probability that a bad store loses an answer.
const LOSE: f64 = 0.2;

/// How many faults of each kind last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreFaults {
    pub(crate) down: u32,
    pub(crate) slow: u32,
    pub(crate) losing: u32,
}

/// The store with its faults.
#[derive(Debug)]
pub(crate) struct StoreSide {
    pub(crate) mem: MemStore,
    pub(crate) faults: StoreFaults,
    pub(crate) watches: IndexMap<u64, WaitingWatch>,
    pub(crate) next_watch: u64,
}

/// A watch that waits for changes.
#[derive(Clone, Debug)]
pub(crate) struct WaitingWatch {
    pub(crate) life: Life,
    pub(crate) token: StoreToken,
    pub(crate) call: StoreCall,
}

/// What becomes of one call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreFate {
    /// When the call takes effect, if ever.
    pub(crate) effect: Option<Duration>,
    /// When the caller hears of it.
    pub(crate) reply: Duration,
    /// The error that the caller hears instead of the reply.
    pub(crate) error: Option<ErrorKind>,
}

impl StoreSide {
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

    /// Draws what becomes of a call made now.
    pub(crate) fn draw(&self, rng: &mut ChaCha8Rng) -> StoreFate {
        if self.faults.down > 0 {
            return draw_down(rng);
        }
        let max = if self.faults.slow > 0 {
            MAX_SLOW_HALF
        } else {
            MAX_HALF
        };
        let there = rng.random_range(Duration::ZERO..=max);
        let back = rng.random_range(Duration::ZERO..=max);
        let lost = self.faults.losing > 0 && rng.random_bool(LOSE);
        let breaks = rng.random_bool(0.5);
        match there + back {
            reply if lost && breaks => StoreFate {
                effect: Some(there),
                reply,
                error: Some(ErrorKind::Interrupted),
            },
            reply if lost || reply >= TIMEOUT => StoreFate {
                effect: Some(there),
                reply: TIMEOUT,
                error: Some(ErrorKind::Timeout),
            },
            reply => StoreFate {
                effect: Some(there),
                reply,
                error: None,
            },
        }
    }
}

fn draw_down(rng: &mut ChaCha8Rng) -> StoreFate {
    if rng.random_bool(0.5) {
        return StoreFate {
            effect: None,
            reply: rng.random_range(Duration::ZERO..=MAX_HALF),
            error: Some(ErrorKind::Unreachable),
        };
    }
    let late = rng.random_range(Duration::ZERO..MAX_LATE);
    StoreFate {
        effect: rng.random_bool(LATE_EFFECT).then_some(late),
        reply: TIMEOUT,
        error: Some(ErrorKind::Timeout),
    }
}
