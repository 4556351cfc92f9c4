//! Cancellations of jobs that this owner does not know: their submissions may still be on their way.

use base::prelude::*;
use ports::store::{KeyValue, Revision};
use slog::{info, warn};
use tombstones::{Full, Mark, Tombstones};

use super::callers::{STORE_UNAVAILABLE, STORE_UNAVAILABLE_RETRY};
use super::commit::{Change, Dirty, expect_revision};
use super::{Owner, OwnerCfg, Token};
use crate::JobReply;
use crate::progress::{decode, encode};

/// The key prefix of the tombstones.
pub const TOMBSTONE_PREFIX: &str = "mt/cancelled/";

/// The shortest time between two writes, so that a flood of cancellations costs an eighth of the
/// store's rate at most.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// A caller whose cancellation is being stored.
#[derive(Debug)]
struct Waiting {
    token: Token,
    mark: Mark,
    reply: JobReply,
}

/// The cancellations of unknown jobs.
#[derive(Debug)]
pub(super) struct Cancellations {
    tombstones: Tombstones,
    waiting: Vec<Waiting>,
    /// The last transaction with segments, and when it was sent.
    last_write: Option<(u64, Instant)>,
}

impl Cancellations {
    pub(super) fn new(cfg: &OwnerCfg) -> Self {
        // No earlier owner has had the epoch, so no segment of theirs has such a key.
        let prefix = format!("{TOMBSTONE_PREFIX}{}-", cfg.epoch.0);
        Self {
            tombstones: Tombstones::new(prefix.into(), cfg.retention),
            waiting: Vec::new(),
            last_write: None,
        }
    }

    /// Returns the callers that wait, who will not learn the outcome.
    pub(super) fn drain_waiting(&mut self) -> impl Iterator<Item = Token> {
        self.waiting.drain(..).map(|waiting| waiting.token)
    }
}

impl Owner {
    /// Returns the number of jobs whose late submissions are refused.
    pub fn tombstones(&self) -> usize {
        self.cancellations.tombstones.count()
    }

    /// Loads the tombstones that earlier owners stored; skips those that can't be decoded.
    pub(super) fn load_tombstones(&mut self, items: &[KeyValue]) {
        for item in items {
            let tombstones = &mut self.cancellations.tombstones;
            match decode(&item.key, &item.value) {
                Ok(record) => tombstones.load(&item.key, item.revision, record),
                Err(e) => warn!(self.log, "owner: tombstones unreadable"; "error" => %e),
            }
        }
    }

    /// Sends `reply` to the caller of a cancellation once it is stored that no later submission of the
    /// job is accepted.
    pub(super) fn reply_after_tombstone(
        &mut self,
        now: Instant,
        unix_ms: u64,
        token: Token,
        id: &JobId,
        address: &RouteAddress,
        reply: JobReply,
    ) {
        if self.commits.is_store_unavailable(now) {
            self.refuse(token, id, STORE_UNAVAILABLE, STORE_UNAVAILABLE_RETRY);
            return;
        }
        let unix_ms = self.retention_clock(now, unix_ms);
        match self.cancellations.tombstones.add(unix_ms, address, id) {
            Ok(mark) if self.cancellations.tombstones.is_stored(mark) => self.reply(token, reply),
            Ok(mark) => {
                self.commits.mark_tombstones(mark.segment);
                let waiting = Waiting { token, mark, reply };
                self.cancellations.waiting.push(waiting);
            }
            Err(Full { retry_after }) => {
                self.refuse(
                    token,
                    id,
                    "too many unknown jobs are cancelled",
                    retry_after,
                );
            }
        }
    }

    /// Returns how long submissions of a job are refused yet because it was cancelled before.
    pub(super) fn cancelled_before(
        &mut self,
        now: Instant,
        unix_ms: u64,
        address: &RouteAddress,
        id: &JobId,
    ) -> Option<Duration> {
        let unix_ms = self.retention_clock(now, unix_ms);
        self.cancellations
            .tombstones
            .remaining(unix_ms, address, id)
    }

    /// Deletes the tombstones that are past the retention.
    pub(super) fn forget_tombstones(&mut self, unix_ms: u64) {
        for segment in self.cancellations.tombstones.expire(unix_ms) {
            self.commits.mark_tombstones(segment);
        }
    }

    /// Returns the change for a segment, or `None` while its write has to wait.
    pub(super) fn tombstones_change(
        &mut self,
        now: Instant,
        dirty: &Dirty,
        segment: u64,
    ) -> Result<Option<Change>> {
        let transaction = self.commits.next_transaction();
        if let Some((last, sent)) = self.cancellations.last_write
            && last != transaction
            && now < sent + WRITE_INTERVAL
        {
            self.commits.wait_until(sent + WRITE_INTERVAL);
            return Ok(None);
        }
        let Some(write) = self.cancellations.tombstones.begin_write(segment) else {
            return Ok(None);
        };
        self.cancellations.last_write = Some((transaction, now));
        let value = write.record.as_ref().map(encode).transpose()?;
        let expect = expect_revision(write.expected);
        let mut change = Change::new(dirty, write.key.to_string(), expect, value);
        change.version = write.len as u64;
        Ok(Some(change))
    }

    /// Records a write of a segment, and replies to the callers whose cancellation it contains.
    pub(super) fn on_tombstones_stored(
        &mut self,
        segment: u64,
        change: &Change,
        revision: Revision,
    ) {
        let Cancellations {
            tombstones,
            waiting,
            ..
        } = &mut self.cancellations;
        tombstones.end_write(segment, change.version as usize, revision);
        let stored: Vec<Waiting> = waiting
            .extract_if(.., |waiting| tombstones.is_stored(waiting.mark))
            .collect();
        if change.value.is_some() {
            info!(self.log, "owner: cancellations of unknown jobs stored";
                "segment" => segment, "tombstones" => change.version, "replies" => stored.len(),
                "in_all" => self.cancellations.tombstones.count());
            self.stats.events.push(("tombstones", "stored"));
        }
        for Waiting { token, reply, .. } in stored {
            self.reply(token, reply);
        }
    }

    /// Records that a write of a segment did not take effect.
    pub(super) fn on_tombstones_not_stored(&mut self, segment: u64, revision: Option<Revision>) {
        self.cancellations.tombstones.abort_write(segment, revision);
    }
}
