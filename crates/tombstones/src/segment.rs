//! A number of tombstones that are stored under one key.

use base::prelude::*;
use ports::store::Revision;
use serde::{Deserialize, Serialize};

/// The maximum number of tombstones in a segment: each write of it contains all of them.
const MAX_LEN: usize = 512;

/// How long a segment takes new tombstones, in milliseconds; bounds how many keys there are.
const OPEN_MS: u64 = 2000;

/// A segment as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SegmentRecord {
    /// When its newest tombstone was added, in milliseconds since the Unix epoch.
    pub newest_unix_ms: u64,
    /// The jobs, by the address of their route.
    pub jobs: IndexMap<RouteAddress, Vec<JobId>>,
}

/// A write of a segment to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentWrite {
    /// The segment's key.
    pub key: Name,
    /// The revision that the key has in the store; 0 if there is none.
    pub expected: Revision,
    /// What to write; `None` to delete the key.
    pub record: Option<SegmentRecord>,
    /// How many tombstones it contains.
    pub len: usize,
}

/// Whether a segment still takes tombstones or is being deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Open,
    Sealed,
    Expired,
}

#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) jobs: Vec<(RouteAddress, JobId)>,
    pub(crate) newest_unix_ms: u64,
    /// How many of its tombstones are in the store.
    pub(crate) stored_len: usize,
    key: Name,
    opened_unix_ms: u64,
    revision: Revision,
    is_in_flight: bool,
    life: Life,
}

impl Segment {
    pub(crate) fn new(key: Name, unix_ms: u64) -> Self {
        Self {
            jobs: Vec::new(),
            newest_unix_ms: unix_ms,
            stored_len: 0,
            key,
            opened_unix_ms: unix_ms,
            revision: 0,
            is_in_flight: false,
            life: Life::Open,
        }
    }

    /// Creates a segment that an earlier process stored.
    pub(crate) fn loaded(key: Name, revision: Revision, record: SegmentRecord) -> Self {
        let of_route = |(address, ids): (RouteAddress, Vec<JobId>)| {
            ids.into_iter().map(move |id| (address.clone(), id))
        };
        let jobs: Vec<_> = record.jobs.into_iter().flat_map(of_route).collect();
        Self {
            stored_len: jobs.len(),
            jobs,
            revision,
            life: Life::Sealed,
            ..Self::new(key, record.newest_unix_ms)
        }
    }

    /// Returns true if it takes further tombstones.
    pub(crate) fn is_open(&self, unix_ms: u64) -> bool {
        let is_young = unix_ms.saturating_sub(self.opened_unix_ms) < OPEN_MS;
        self.life == Life::Open && is_young && self.jobs.len() < MAX_LEN
    }

    /// Adds a tombstone and returns its position.
    pub(crate) fn push(&mut self, unix_ms: u64, address: &RouteAddress, id: &JobId) -> usize {
        self.newest_unix_ms = self.newest_unix_ms.max(unix_ms);
        self.jobs.push((address.clone(), id.clone()));
        self.jobs.len() - 1
    }

    /// Marks it as expired if it is stored; returns true if it was not expired before.
    pub(crate) fn begin_expiry(&mut self) -> bool {
        let is_stored = !self.is_in_flight && self.stored_len == self.jobs.len();
        let begins = is_stored && self.life != Life::Expired;
        if begins {
            self.life = Life::Expired;
        }
        begins
    }

    /// Returns true if it has expired and its key is deleted.
    pub(crate) fn is_deleted(&self) -> bool {
        self.life == Life::Expired && self.revision == 0
    }

    pub(crate) fn begin_write(&mut self) -> Option<SegmentWrite> {
        if std::mem::replace(&mut self.is_in_flight, true) {
            return None;
        }
        let is_deletion = self.life == Life::Expired;
        Some(SegmentWrite {
            key: Arc::clone(&self.key),
            expected: self.revision,
            record: (!is_deletion).then(|| self.record()),
            len: self.jobs.len(),
        })
    }

    fn record(&self) -> SegmentRecord {
        let mut jobs: IndexMap<RouteAddress, Vec<JobId>> = IndexMap::new();
        for (address, id) in &self.jobs {
            jobs.entry(address.clone()).or_default().push(id.clone());
        }
        SegmentRecord {
            newest_unix_ms: self.newest_unix_ms,
            jobs,
        }
    }

    pub(crate) fn end_write(&mut self, len: usize, revision: Revision) {
        self.is_in_flight = false;
        self.stored_len = len;
        self.revision = if self.life == Life::Expired {
            0
        } else {
            revision
        };
    }

    pub(crate) fn abort_write(&mut self, revision: Option<Revision>) {
        self.is_in_flight = false;
        self.revision = revision.unwrap_or(self.revision);
    }
}
