//! What a new owner reads of the store before it owns the jobs.

use base::prelude::*;
use jobs::owner::{JOB_PREFIX, PROGRESS_PREFIX, VM_PREFIX};
use ports::store::{KeyValue, Revision, StoreCall, StoreReply};

/// What is read, one after the other, so that the lists do not crowd a slow link.
const PREFIXES: [&str; 3] = [JOB_PREFIX, PROGRESS_PREFIX, VM_PREFIX];

/// How many calls in a row may fail before ownership is left to an entry that may do better.
const MAX_FAILURES: u32 = 3;

/// A load that goes on.
#[derive(Debug)]
pub struct Load {
    /// The epoch that is to own.
    pub epoch: Epoch,
    /// The revision of the owner's key.
    pub revision: Revision,
    parts: Vec<Vec<KeyValue>>,
    failures: u32,
}

/// What comes next in a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadStep {
    /// The next call, at once.
    Next,
    /// The same call again, after a pause.
    Again,
    /// All is read.
    Done,
    /// This entry does not reach what it should own.
    GiveUp,
}

/// All that was read: jobs, their progress, VMs.
pub type Loaded = [Vec<KeyValue>; 3];

impl Load {
    /// Creates a load of which nothing is read.
    pub fn new(epoch: Epoch, revision: Revision) -> Self {
        Self {
            epoch,
            revision,
            parts: Vec::new(),
            failures: 0,
        }
    }

    /// Returns the call to make now.
    pub fn call(&self) -> StoreCall {
        let part = self.parts.len().min(PREFIXES.len() - 1);
        StoreCall::List {
            prefix: PREFIXES[part].into(),
            after: None,
            limit: usize::MAX,
        }
    }

    /// Takes the reply to the latest call.
    pub fn take(&mut self, reply: Result<StoreReply>) -> LoadStep {
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

    /// Returns what was read.
    pub fn into_parts(self) -> Loaded {
        let mut parts = self.parts.into_iter();
        std::array::from_fn(|_| parts.next().unwrap_or_default())
    }
}
