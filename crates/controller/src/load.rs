//! The initial load: what a new owner reads from the store before it serves requests.

use base::prelude::*;
use jobs::owner::{JOB_PREFIX, PROGRESS_PREFIX, TOMBSTONE_PREFIX, VM_PREFIX};
use ports::store::{KeyValue, Revision, StoreCall, StoreReply};

/// The prefixes to read, one at a time, so that the lists do not compete for a slow link.
const PREFIXES: [&str; 4] = [JOB_PREFIX, PROGRESS_PREFIX, VM_PREFIX, TOMBSTONE_PREFIX];

/// The number of consecutive failures after which this entry steps down, so that an entry with a
/// better connection can take over.
const MAX_FAILURES: u32 = 3;

/// An initial load in progress.
#[derive(Debug)]
pub struct Load {
    /// The epoch of the new owner.
    pub epoch: Epoch,
    /// The revision of the owner's key.
    pub revision: Revision,
    parts: Vec<Vec<KeyValue>>,
    failures: u32,
}

/// The next step of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadStep {
    /// Make the next call at once.
    Next,
    /// Repeat the same call after a pause.
    Again,
    /// Everything has been read.
    Done,
    /// Step down: too many calls in a row have failed.
    GiveUp,
}

/// The keys and values read: of jobs, of their progress, of VMs and of tombstones.
pub type Loaded = [Vec<KeyValue>; 4];

impl Load {
    /// Creates a load that has read nothing yet.
    pub fn new(epoch: Epoch, revision: Revision) -> Self {
        Self {
            epoch,
            revision,
            parts: Vec::new(),
            failures: 0,
        }
    }

    /// Returns the next call, or the latest again if it failed.
    pub fn call(&self) -> StoreCall {
        let part = self.parts.len().min(PREFIXES.len() - 1);
        StoreCall::List {
            prefix: PREFIXES[part].into(),
            after: None,
            limit: usize::MAX,
        }
    }

    /// Records the reply to the latest call and returns the next step.
    pub fn handle_reply(&mut self, reply: Result<StoreReply>) -> LoadStep {
        match reply {
            Ok(StoreReply::Listed(items)) => {
                self.failures = 0;
                self.parts.push(items);
                if self.parts.len() == PREFIXES.len() {
                    LoadStep::Done
                } else {
                    LoadStep::Next
                }
            }
            _ => {
                self.failures += 1;
                if self.failures < MAX_FAILURES {
                    LoadStep::Again
                } else {
                    LoadStep::GiveUp
                }
            }
        }
    }

    /// Returns the keys and values read, each kind in a list of its own.
    pub fn into_parts(self) -> Loaded {
        let mut parts = self.parts.into_iter();
        std::array::from_fn(|_| parts.next().unwrap_or_default())
    }
}
