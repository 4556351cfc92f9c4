//! Remembers cancelled jobs that were not known, so that late submissions are not accepted.
//!
//! A caller cancels a job whose submission got no answer: an entry may still hold the submission and
//! pass it on later, so the cancellation must outlive the reply to it, and the process that sent it. Each
//! such job gets a tombstone. Tombstones are kept in segments, each a key of the store, so that a
//! flood of cancellations costs few writes and few keys.
//!
//! The number of tombstones is bounded. A route may hold as many as there is room left besides, so a
//! flood on one route leaves room for the others: a route's share shrinks as the space fills.

mod segment;

use base::prelude::*;
use ports::store::Revision;

use self::segment::Segment;
pub use self::segment::{SegmentRecord, SegmentWrite};

/// The maximum number of tombstones.
pub const MAX_TOMBSTONES: usize = 32_768;

/// A tombstone's position among all of its segment, which are stored in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// The segment.
    pub segment: u64,
    position: usize,
}

/// There is no room for a tombstone of the route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full {
    /// When the oldest tombstones expire.
    pub retry_after: Duration,
}

/// The tombstones of all routes.
#[derive(Debug)]
pub struct Tombstones {
    key_prefix: Name,
    retention_ms: u64,
    /// By number, oldest first.
    segments: IndexMap<u64, Segment>,
    /// The latest tombstone of each job.
    marks: IndexMap<RouteAddress, IndexMap<JobId, Mark>>,
    /// How many there are in `marks`.
    count: usize,
    next: u64,
}

impl Tombstones {
    /// Creates a set without tombstones, each kept for `retention` at least; new segments get keys that
    /// begin with `key_prefix`, which no other process uses.
    pub fn new(key_prefix: Name, retention: Duration) -> Self {
        Self {
            key_prefix,
            retention_ms: base::whole_ms(retention),
            segments: IndexMap::new(),
            marks: IndexMap::new(),
            count: 0,
            next: 0,
        }
    }

    /// Adds a segment of an earlier process.
    pub fn load(&mut self, key: &Name, revision: Revision, record: SegmentRecord) {
        let number = self.next;
        self.next += 1;
        let segment = Segment::loaded(Arc::clone(key), revision, record);
        for (position, (address, id)) in segment.jobs.iter().enumerate() {
            let mark = Mark {
                segment: number,
                position,
            };
            let of_route = self.marks.entry(address.clone()).or_default();
            self.count += usize::from(of_route.insert(id.clone(), mark).is_none());
        }
        self.segments.insert(number, segment);
    }

    /// Returns the number of jobs with a tombstone.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns how long a job's tombstone is kept yet; `None` if the job has none.
    pub fn remaining(&self, unix_ms: u64, address: &RouteAddress, id: &JobId) -> Option<Duration> {
        let mark = self.marks.get(address)?.get(id)?;
        Some(self.remaining_of(unix_ms, self.segments.get(&mark.segment)?))
    }

    fn remaining_of(&self, unix_ms: u64, segment: &Segment) -> Duration {
        let until = segment.newest_unix_ms.saturating_add(self.retention_ms);
        Duration::from_millis(until.saturating_sub(unix_ms))
    }

    /// Adds the tombstone of a job. One that stays for half of the retention yet is used again.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if the route has used up its share of the space.
    pub fn add(
        &mut self,
        unix_ms: u64,
        address: &RouteAddress,
        id: &JobId,
    ) -> std::result::Result<Mark, Full> {
        let of_route = self.marks.get(address);
        let known = of_route.and_then(|marks| marks.get(id)).copied();
        if let Some(mark) = known
            && let Some(remaining) = self.remaining(unix_ms, address, id)
            && base::whole_ms(remaining) >= self.retention_ms / 2
        {
            return Ok(mark);
        }
        let held = of_route.map_or(0, IndexMap::len);
        if known.is_none() && held >= MAX_TOMBSTONES - self.count {
            return Err(self.full(unix_ms));
        }
        let number = self.open_segment(unix_ms);
        let segment = &mut self.segments[&number];
        let mark = Mark {
            segment: number,
            position: segment.push(unix_ms, address, id),
        };
        let marks = self.marks.entry(address.clone()).or_default();
        self.count += usize::from(marks.insert(id.clone(), mark).is_none());
        Ok(mark)
    }

    fn full(&self, unix_ms: u64) -> Full {
        let oldest = self.segments.values().next();
        let retry_after = oldest.map(|segment| self.remaining_of(unix_ms, segment));
        Full {
            retry_after: retry_after.unwrap_or_default(),
        }
    }

    /// Returns the segment that takes new tombstones.
    fn open_segment(&mut self, unix_ms: u64) -> u64 {
        let newest = self.segments.iter().next_back();
        if let Some((number, segment)) = newest
            && segment.is_open(unix_ms)
        {
            return *number;
        }
        let number = self.next;
        self.next += 1;
        let key = format!("{}{number}", self.key_prefix);
        let segment = Segment::new(key.into(), unix_ms);
        self.segments.insert(number, segment);
        number
    }

    /// Returns true if a tombstone is in the store.
    pub fn is_stored(&self, mark: Mark) -> bool {
        let segment = self.segments.get(&mark.segment);
        segment.is_none_or(|segment| mark.position < segment.stored_len)
    }

    /// Returns the segments whose tombstones have all expired; the next write of each deletes it.
    pub fn expire(&mut self, unix_ms: u64) -> Vec<u64> {
        let retention_ms = self.retention_ms;
        let mut expired = Vec::new();
        for (number, segment) in &mut self.segments {
            let is_old = segment.newest_unix_ms.saturating_add(retention_ms) < unix_ms;
            if is_old && segment.begin_expiry() {
                expired.push(*number);
            }
        }
        expired
    }

    /// Begins a write of a segment, or its deletion once it has expired; `None` while one is in progress.
    pub fn begin_write(&mut self, number: u64) -> Option<SegmentWrite> {
        self.segments.get_mut(&number)?.begin_write()
    }

    /// Records that a write of the first `len` tombstones of a segment was stored, or its deletion.
    pub fn end_write(&mut self, number: u64, len: usize, revision: Revision) {
        let Some(segment) = self.segments.get_mut(&number) else {
            return;
        };
        segment.end_write(len, revision);
        if !segment.is_deleted() {
            return;
        }
        for (address, id) in self
            .segments
            .shift_remove(&number)
            .into_iter()
            .flat_map(|s| s.jobs)
        {
            self.forget(number, &address, &id);
        }
    }

    fn forget(&mut self, number: u64, address: &RouteAddress, id: &JobId) {
        let Some(marks) = self.marks.get_mut(address) else {
            return;
        };
        if marks.get(id).is_some_and(|mark| mark.segment == number) {
            marks.swap_remove(id);
            self.count -= 1;
        }
        if marks.is_empty() {
            self.marks.swap_remove(address);
        }
    }

    /// Records that a write of a segment was not stored; `revision` is the one in the store, if that is
    /// known.
    pub fn abort_write(&mut self, number: u64, revision: Option<Revision>) {
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.abort_write(revision);
        }
    }
}
