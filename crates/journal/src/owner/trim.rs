//! Writing snapshots, swapping the pointer to them, and trimming what they replace.

use std::collections::VecDeque;

use base::prelude::*;
use ports::store::{Expect, StoreCall, StoreReply};

use super::{Owner, Phase, Purpose};
use crate::snapshot::{Pointer, encode_chunks};

/// A snapshot that is being written.
#[derive(Clone, Debug)]
pub(super) struct Snapshotting {
    pointer: Pointer,
    bytes: u64,
    /// The remaining calls, in order.
    calls: VecDeque<StoreCall>,
    is_call_outstanding: bool,
    retry_at: Option<Instant>,
}

impl Owner {
    /// Starts a snapshot once the log is larger than the last one, or makes its next call.
    pub(super) fn snapshot_if_due(&mut self, now: Instant) {
        let Phase::Active { epoch, .. } = self.phase else {
            return;
        };
        if self.snapshotting.is_some() {
            return self.snapshot_next(now);
        }
        let last = self.pointer.as_ref().map_or(0, |p| p.bytes);
        if self.log_bytes < self.cfg.snapshot_bytes.max(last) {
            return;
        }
        self.start_snapshot(now, epoch);
    }

    fn start_snapshot(&mut self, now: Instant, epoch: Epoch) {
        let Ok(chunks) = encode_chunks(self.state.items()) else {
            // The log is still complete. Resetting the size delays the next attempt until the log
            // has grown as much again.
            self.log_bytes = 0;
            return;
        };
        let bytes = chunks.iter().map(|chunk| chunk.len() as u64).sum();
        let pointer = Pointer {
            seq: self.last_seq,
            epoch: self.last_epoch,
            written_in: epoch,
            chunks: chunks.len() as u32,
            bytes,
        };
        let mut calls: VecDeque<StoreCall> = (0..)
            .zip(chunks)
            .map(|(at, value)| StoreCall::Put {
                key: self.keys.chunk(pointer.seq, epoch, at),
                value,
                expect: Expect::Any,
                lease: None,
            })
            .collect();
        calls.push_back(self.swap_pointer(&pointer));
        let (from, to) = self.keys.log_up_to(pointer.seq);
        calls.push_back(StoreCall::DeleteRange { from, to });
        let (from, to) = self.keys.chunks_before(pointer.seq, epoch);
        calls.push_back(StoreCall::DeleteRange { from, to });
        self.log_bytes = 0;
        self.snapshotting = Some(Snapshotting {
            pointer,
            bytes,
            calls,
            is_call_outstanding: false,
            retry_at: None,
        });
        self.snapshot_next(now);
    }

    fn swap_pointer(&self, pointer: &Pointer) -> StoreCall {
        let expect = self
            .pointer_revision
            .map_or(Expect::Absent, Expect::Revision);
        StoreCall::Put {
            key: self.keys.pointer(),
            value: pointer.encode(),
            expect,
            lease: None,
        }
    }

    fn snapshot_next(&mut self, now: Instant) {
        let Some(snapshot) = &mut self.snapshotting else {
            return;
        };
        let is_waiting =
            snapshot.is_call_outstanding || snapshot.retry_at.is_some_and(|at| now < at);
        if is_waiting {
            return;
        }
        match snapshot.calls.front().cloned() {
            Some(call) => {
                snapshot.is_call_outstanding = true;
                snapshot.retry_at = None;
                self.call(now, Purpose::Snapshot, call);
            }
            None => self.snapshotting = None,
        }
    }

    pub(super) fn snapshot_done(&mut self, now: Instant, reply: Result<StoreReply>) {
        let Some(mut snapshot) = self.snapshotting.take() else {
            return;
        };
        snapshot.is_call_outstanding = false;
        let is_swap = matches!(snapshot.calls.front(), Some(StoreCall::Put { key, .. }) if *key == self.keys.pointer());
        match reply {
            Ok(StoreReply::Done { revision }) if is_swap => self.swapped(&snapshot, revision),
            Ok(StoreReply::Done { .. }) => {}
            Ok(StoreReply::Conflict { current: Some(kv) }) if is_swap => {
                if kv.value == snapshot.pointer.encode() {
                    self.swapped(&snapshot, kv.revision);
                } else {
                    // A previous owner's swap took effect late. Its snapshot covers a prefix of
                    // the same log, so this one may replace it.
                    self.pointer_revision = Some(kv.revision);
                    snapshot.calls[0] = self.swap_pointer(&snapshot.pointer);
                    self.snapshotting = Some(snapshot);
                    return self.snapshot_next(now);
                }
            }
            _ => {
                snapshot.retry_at = Some(now + self.cfg.retry_after);
                self.snapshotting = Some(snapshot);
                return;
            }
        }
        snapshot.calls.pop_front();
        self.snapshotting = Some(snapshot);
        self.snapshot_next(now);
    }

    fn swapped(&mut self, snapshot: &Snapshotting, revision: u64) {
        self.pointer_revision = Some(revision);
        self.pointer = Some(Pointer {
            bytes: snapshot.bytes,
            ..snapshot.pointer.clone()
        });
    }
}
