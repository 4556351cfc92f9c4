//! Reading the snapshot and the log after it.

use base::prelude::*;
use ports::store::{KeyValue, LeaseId, StoreCall, StoreReply};

use super::{LossReason, Owner, Phase};
use crate::snapshot::{Pointer, decode_chunk};
use crate::{Record, RecordBody};

/// The maximum number of records in one page of the log.
const READ_PAGE: usize = 32;

/// The progress of reading a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Reading {
    /// The snapshot's pointer is being read.
    Pointer,
    /// A chunk of the snapshot is being read.
    Chunk(u32),
    /// The log is being read.
    Log,
}

impl Owner {
    pub(super) fn read(
        &mut self,
        now: Instant,
        lease: LeaseId,
        reading: Reading,
        reply: StoreReply,
    ) {
        match (reading, reply) {
            (Reading::Pointer, StoreReply::Got(found)) => self.on_pointer_read(now, lease, found),
            (Reading::Chunk(at), StoreReply::Got(Some(kv))) => {
                self.on_chunk_read(now, lease, at, &kv)
            }
            // A newer snapshot has replaced this one in the meantime.
            (Reading::Chunk(_), StoreReply::Got(None)) => self.start_reading(now, lease),
            (Reading::Log, StoreReply::Listed(page)) => self.on_page_read(now, lease, &page),
            _ => self.lose_ownership(now, LossReason::Another),
        }
    }

    /// Continues recovery with the snapshot pointer read from the store.
    fn on_pointer_read(&mut self, now: Instant, lease: LeaseId, found: Option<KeyValue>) {
        self.pointer_revision = found.as_ref().map(|kv| kv.revision);
        self.pointer = match found.map(|kv| Pointer::decode(&kv.value)).transpose() {
            Ok(pointer) => pointer,
            Err(e) => return self.mark_stuck(now, e),
        };
        if let Some(pointer) = &self.pointer {
            self.last_seq = pointer.seq;
            self.last_epoch = pointer.epoch;
        }
        self.read_chunk(now, lease, 0);
    }

    fn read_chunk(&mut self, now: Instant, lease: LeaseId, at: u32) {
        let Some(pointer) = self.pointer.as_ref().filter(|p| at < p.chunks) else {
            return self.read_log(now, lease);
        };
        let key = self.keys.chunk(pointer.seq, pointer.written_in, at);
        self.phase = Phase::Reading {
            lease,
            reading: Reading::Chunk(at),
        };
        self.call_step(now, StoreCall::Get { key });
    }

    /// Restores a chunk of the snapshot and requests the next one.
    fn on_chunk_read(&mut self, now: Instant, lease: LeaseId, at: u32, kv: &KeyValue) {
        match decode_chunk(&kv.value) {
            Ok(items) => {
                self.state.restore(items);
                self.read_chunk(now, lease, at + 1);
            }
            Err(e) => self.mark_stuck(now, e),
        }
    }

    pub(super) fn read_log(&mut self, now: Instant, lease: LeaseId) {
        self.phase = Phase::Reading {
            lease,
            reading: Reading::Log,
        };
        let after = (self.last_seq > Seq(0)).then(|| self.keys.log(self.last_seq));
        let prefix = self.keys.log_prefix();
        let limit = READ_PAGE;
        self.call_step(
            now,
            StoreCall::List {
                prefix,
                after,
                limit,
            },
        );
    }

    /// Applies a page of log records; after the last page, writes the barrier.
    fn on_page_read(&mut self, now: Instant, lease: LeaseId, page: &[KeyValue]) {
        for kv in page {
            let record = match Record::decode(&kv.value) {
                Ok(record) => record,
                Err(e) => return self.mark_stuck(now, e),
            };
            if kv.key != self.keys.log(record.seq) {
                let message = format!("{} holds record {}", kv.key, record.seq);
                let e = Error::new(ErrorKind::Malformed, "read log", "store", message);
                return self.mark_stuck(now, e);
            }
            if record.seq != self.last_seq.next() {
                return self.gap_found(now, lease, &record);
            }
            self.apply_record(&record, kv.value.len());
        }
        if page.len() < READ_PAGE {
            self.gaps = 0;
            self.write_barrier(now, lease);
        } else {
            self.read_log(now, lease);
        }
    }

    /// Starts again from the snapshot, since the missing records may have been trimmed for a newer
    /// one; reports the shard as stuck if the gap remains.
    fn gap_found(&mut self, now: Instant, lease: LeaseId, record: &Record) {
        if self.gaps < MAX_GAPS {
            self.gaps += 1;
            return self.start_reading(now, lease);
        }
        self.gaps = 0;
        let message = format!("record {} follows {}", record.seq, self.last_seq);
        let e = Error::new(ErrorKind::Malformed, "read log", "store", message);
        self.mark_stuck(now, e);
    }

    /// Applies a record from the log, unless a barrier before it made it void.
    fn apply_record(&mut self, record: &Record, bytes: usize) {
        self.last_seq = record.seq;
        self.log_bytes += bytes as u64;
        if record.epoch < self.last_epoch {
            return;
        }
        self.last_epoch = record.epoch;
        match &record.body {
            RecordBody::Barrier => self.state.barrier(),
            RecordBody::Changes(changes) => {
                changes.iter().for_each(|change| self.state.apply(change));
            }
        }
    }
}

/// How many times in a row a gap in the log is taken for a concurrent trim.
const MAX_GAPS: u32 = 3;
