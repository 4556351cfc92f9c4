//! Reports to the owner, and what it answers.

use std::net::SocketAddr;

use base::prelude::*;
use jobs::owner::OwnerRecord;
use jobs::report::{SyncReply, SyncReport};
use slog::{info, warn};

use crate::keeper::{Act, Keeper};

/// How many reports may be without an answer: one that is held, and one with news.
const MAX_OPEN: usize = 2;

/// How long after a failed report the next is sent.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A report that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Sent {
    /// The worker's clock when it was sent, at least; in milliseconds.
    clock_ms: Option<u64>,
    born: Incarnation,
}

/// The reports on their way, and where they go.
#[derive(Debug, Default)]
pub(crate) struct Syncs {
    pub(crate) owner: Option<(SocketAddr, Epoch)>,
    /// Whether something is known that no report on its way tells.
    pub(crate) has_news: bool,
    next: u64,
    open: IndexMap<u64, Sent>,
    not_before: Option<Instant>,
}

impl Syncs {
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.owner.and(self.not_before)
    }
}

impl Keeper {
    /// Takes in who owns the jobs.
    pub fn owner_seen(&mut self, record: &OwnerRecord) {
        let owner = (record.addr, record.epoch);
        if self
            .syncs
            .owner
            .is_some_and(|(_, epoch)| epoch >= record.epoch)
        {
            return;
        }
        info!(self.log, "companion: owner seen";
            "owner" => %record.name, "epoch" => record.epoch.0);
        self.syncs.owner = Some(owner);
        self.syncs.open.clear();
        self.syncs.not_before = None;
    }

    /// Returns where reports go.
    pub fn owner_addr(&self) -> Option<SocketAddr> {
        self.syncs.owner.map(|(addr, _)| addr)
    }

    pub(crate) fn sync_due(&mut self, now: Instant, acts: &mut Vec<Act>) {
        if self.syncs.owner.is_none() || self.syncs.not_before.is_some_and(|at| at > now) {
            return;
        }
        let is_due =
            self.syncs.open.is_empty() || (self.syncs.has_news && self.syncs.open.len() < MAX_OPEN);
        if !is_due {
            return;
        }
        self.syncs.has_news = false;
        self.syncs.not_before = None;
        self.syncs.next += 1;
        let number = self.syncs.next;
        let life = self.life.as_ref();
        let sent = Sent {
            // A silent worker's lease is not renewed: it may be gone, and its tasks move.
            clock_ms: life
                .filter(|l| !l.is_silent(now))
                .and_then(|l| l.clock)
                .map(|c| c.at_least(now)),
            born: life.map(|l| l.beat.born).unwrap_or_default(),
        };
        self.syncs.open.insert(number, sent);
        let report = SyncReport {
            vm: Arc::clone(&self.vm),
            boot: self.boot,
            number,
            epoch: self.epoch,
            worker: self.worker_report(now),
        };
        acts.push(Act::Sync(number, Box::new(report)));
    }

    /// Takes the answer to a report.
    pub fn synced(&mut self, now: Instant, number: u64, reply: Result<SyncReply>) {
        let Some(sent) = self.syncs.open.swap_remove(&number) else {
            return;
        };
        let reply = match reply {
            Ok(reply) => reply,
            Err(e) => {
                warn!(self.log, "companion: report failed"; "error" => %e);
                self.syncs.not_before = Some(now + RETRY_AFTER);
                return;
            }
        };
        if !reply.is_owner {
            // Overtaken by a later report, or the entry is no owner now.
            if self.syncs.open.is_empty() {
                self.syncs.not_before = Some(now + RETRY_AFTER);
            }
            return;
        }
        if reply.epoch < self.epoch {
            return;
        }
        self.epoch = reply.epoch;
        if self.life.is_none() {
            self.syncs.not_before = Some(now + RETRY_AFTER);
        }
        self.take_reply(now, sent, reply);
    }

    fn take_reply(&mut self, now: Instant, sent: Sent, reply: SyncReply) {
        let paces = {
            let Some(life) = self.life.as_mut() else {
                return;
            };
            if reply.born != life.beat.born || sent.born != life.beat.born {
                return;
            }
            if reply.fence < life.fence {
                return;
            }
            if reply.fence > life.fence {
                life.starts.drop_unanswered();
            }
            life.fence = reply.fence;
            life.stored_ends = life.stored_ends.max(reply.stored_ends);
            if let (Some(clock_ms), Some(lease_ms)) = (sent.clock_ms, reply.lease_ms) {
                let deadline = clock_ms + lease_ms;
                life.deadline_ms = Some(life.deadline_ms.map_or(deadline, |d| d.max(deadline)));
            }
            life.starts.noted(&reply.noted_rejects);
            for order in reply.starts {
                life.starts.order(now, order);
            }
            for run in reply.stops {
                life.starts.order_stop(now, run);
            }
            reply.paces
        };
        self.take_paces(paces);
    }
}
