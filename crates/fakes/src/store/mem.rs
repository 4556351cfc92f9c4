//! The store in memory; the caller passes the current time.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use base::prelude::*;
use ports::store::{
    Expect, KeyValue, KeyWrite, LeaseId, MAX_TXN_ROWS, MAX_VALUE_BYTES, Revision, StoreCall,
    StoreReply, WatchEvent,
};

/// The default number of changes that are kept for watches.
const DEFAULT_HISTORY: usize = 10_000;

/// A key-value store with compare-and-swap, leases and watches.
#[derive(Clone, Debug)]
pub struct MemStore {
    revision: Revision,
    // Lists and ranges need the keys in order.
    keys: BTreeMap<Name, Entry>,
    leases: IndexMap<LeaseId, Lease>,
    next_lease: LeaseId,
    history: VecDeque<WatchEvent>,
    history_limit: usize,
    compacted: Revision,
}

#[derive(Clone, Debug)]
struct Entry {
    value: Arc<[u8]>,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

impl MemStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            revision: 0,
            keys: BTreeMap::new(),
            leases: IndexMap::new(),
            next_lease: 1,
            history: VecDeque::new(),
            history_limit: DEFAULT_HISTORY,
            compacted: 0,
        }
    }

    /// Sets how many changes are kept for watches.
    pub fn set_history_limit(&mut self, limit: usize) {
        self.history_limit = limit;
        self.compact();
    }

    /// Executes one call at `now`; a watch returns at once with the changes there are.
    ///
    /// # Errors
    ///
    /// Refuses values over [`MAX_VALUE_BYTES`] and transactions over [`MAX_TXN_ROWS`] rows.
    pub fn call(&mut self, now: Instant, call: &StoreCall) -> Result<StoreReply> {
        self.expire(now);
        match call {
            StoreCall::Get { key } => Ok(StoreReply::Got(self.get(key))),
            StoreCall::Observe { key } => Ok(StoreReply::Observed {
                found: self.get(key),
                at: self.revision,
            }),
            StoreCall::List {
                prefix,
                after,
                limit,
            } => Ok(StoreReply::Listed(self.list(
                prefix,
                after.as_ref(),
                *limit,
            ))),
            StoreCall::Put {
                key,
                value,
                expect,
                lease,
            } => self.put(key, value, *expect, *lease),
            StoreCall::Delete { key, expect } => Ok(self.delete(key, *expect)),
            StoreCall::DeleteRange { from, to } => Ok(self.delete_range(from, to)),
            StoreCall::Txn {
                expected,
                writes,
                deletes,
            } => self.transact(expected, writes, deletes),
            StoreCall::LeaseGrant { ttl } => Ok(self.grant(now, *ttl)),
            StoreCall::LeaseRenew { lease } => Ok(self.renew(now, *lease)),
            StoreCall::LeaseRevoke { lease } => Ok(self.revoke(*lease)),
            StoreCall::Watch { prefix, after, .. } => Ok(self.changes(prefix, *after)),
        }
    }

    /// Ends the leases that expired by `now` and deletes their keys.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Returns when the next lease expires, if there is a lease.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns true if a watch would return changes, or that its revision was compacted.
    pub fn has_changes(&self, prefix: &str, after: Revision) -> bool {
        after < self.compacted
            || self
                .history
                .iter()
                .rev()
                .take_while(|event| event.revision > after)
                .any(|event| event.key.starts_with(prefix))
    }

    fn get(&self, key: &Name) -> Option<KeyValue> {
        self.keys.get(key).map(|entry| entry.key_value(key))
    }

    fn list(&self, prefix: &str, after: Option<&Name>, limit: usize) -> Vec<KeyValue> {
        let start = match after {
            Some(after) if &**after >= prefix => Bound::Excluded(&**after),
            _ => Bound::Included(prefix),
        };
        self.keys
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, entry)| entry.key_value(key))
            .collect()
    }

    fn put(
        &mut self,
        key: &Name,
        value: &Arc<[u8]>,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<StoreReply> {
        if value.len() > MAX_VALUE_BYTES {
            let message = format!("a value of {} bytes is too large", value.len());
            return Err(Error::new(ErrorKind::Refused, "put", "store", message));
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Ok(StoreReply::LeaseGone);
        }
        if !self.meets(key, expect) {
            return Ok(self.conflict(key));
        }
        let revision = self.record(key, Some(value));
        let entry = Entry {
            value: Arc::clone(value),
            revision,
            lease,
        };
        self.keys.insert(Arc::clone(key), entry);
        Ok(StoreReply::Done { revision })
    }

    fn delete(&mut self, key: &Name, expect: Expect) -> StoreReply {
        if !self.meets(key, expect) {
            return self.conflict(key);
        }
        self.remove(key);
        self.done()
    }

    fn delete_range(&mut self, from: &Name, to: &Name) -> StoreReply {
        if from < to {
            let keys: Vec<Name> = self
                .keys
                .range(Arc::clone(from)..Arc::clone(to))
                .map(|(key, _)| Arc::clone(key))
                .collect();
            for key in keys {
                self.remove(&key);
            }
        }
        self.done()
    }

    fn transact(
        &mut self,
        expected: &[(Name, Expect)],
        writes: &[KeyWrite],
        deletes: &[Name],
    ) -> Result<StoreReply> {
        let rows = expected.len() + writes.len() + deletes.len();
        let is_large = |w: &KeyWrite| w.value.len() > MAX_VALUE_BYTES;
        if rows > MAX_TXN_ROWS || writes.iter().any(is_large) {
            let message = format!("a transaction of {rows} rows is too large");
            return Err(Error::new(ErrorKind::Refused, "txn", "store", message));
        }
        let leases = writes.iter().filter_map(|w| w.lease);
        if leases.into_iter().any(|id| !self.leases.contains_key(&id)) {
            return Ok(StoreReply::LeaseGone);
        }
        if !expected.iter().all(|(key, e)| self.meets(key, *e)) {
            let current = expected.iter().filter_map(|(key, _)| self.get(key));
            return Ok(StoreReply::Conflicts {
                current: current.collect(),
            });
        }
        // All keys of a transaction get the same revision.
        let revision = self.revision + 1;
        for write in writes {
            self.revision = revision - 1;
            self.record(&write.key, Some(&write.value));
            let entry = Entry {
                value: Arc::clone(&write.value),
                revision,
                lease: write.lease,
            };
            self.keys.insert(Arc::clone(&write.key), entry);
        }
        for key in deletes {
            if self.keys.remove(key).is_some() {
                self.revision = revision - 1;
                self.record(key, None);
            }
        }
        Ok(StoreReply::Done {
            revision: self.revision,
        })
    }

    fn grant(&mut self, now: Instant, ttl: Duration) -> StoreReply {
        let lease = self.next_lease;
        self.next_lease += 1;
        let expires_at = now + ttl;
        self.leases.insert(lease, Lease { ttl, expires_at });
        StoreReply::Leased { lease, ttl }
    }

    fn renew(&mut self, now: Instant, id: LeaseId) -> StoreReply {
        let Some(lease) = self.leases.get_mut(&id) else {
            return StoreReply::LeaseGone;
        };
        lease.expires_at = now + lease.ttl;
        StoreReply::Leased {
            lease: id,
            ttl: lease.ttl,
        }
    }

    fn revoke(&mut self, id: LeaseId) -> StoreReply {
        if !self.leases.contains_key(&id) {
            return StoreReply::LeaseGone;
        }
        self.end_lease(id);
        self.done()
    }

    fn changes(&self, prefix: &str, after: Revision) -> StoreReply {
        let compacted = after < self.compacted;
        let events = if compacted {
            Vec::new()
        } else {
            self.history
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .cloned()
                .collect()
        };
        StoreReply::Watched {
            events,
            revision: self.revision,
            compacted,
        }
    }

    fn meets(&self, key: &Name, expect: Expect) -> bool {
        match expect {
            Expect::Any => true,
            Expect::Absent => !self.keys.contains_key(key),
            Expect::Revision(revision) => self
                .keys
                .get(key)
                .is_some_and(|entry| entry.revision == revision),
        }
    }

    fn conflict(&self, key: &Name) -> StoreReply {
        StoreReply::Conflict {
            current: self.get(key),
        }
    }

    fn done(&self) -> StoreReply {
        StoreReply::Done {
            revision: self.revision,
        }
    }

    fn end_lease(&mut self, id: LeaseId) {
        self.leases.shift_remove(&id);
        let keys: Vec<Name> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease == Some(id))
            .map(|(key, _)| Arc::clone(key))
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &Name) {
        if self.keys.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &Name, value: Option<&Arc<[u8]>>) -> Revision {
        self.revision += 1;
        self.history.push_back(WatchEvent {
            key: Arc::clone(key),
            value: value.cloned(),
            revision: self.revision,
        });
        self.compact();
        self.revision
    }

    fn compact(&mut self) {
        while self.history.len() > self.history_limit {
            if let Some(event) = self.history.pop_front() {
                self.compacted = event.revision;
            }
        }
    }
}

impl Default for MemStore {
    fn default() -> Self {
        Self::new()
    }
}

impl Entry {
    fn key_value(&self, key: &Name) -> KeyValue {
        KeyValue {
            key: Arc::clone(key),
            value: Arc::clone(&self.value),
            revision: self.revision,
        }
    }
}
