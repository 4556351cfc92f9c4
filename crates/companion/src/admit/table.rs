//! The table of request ids: each id runs at most once in one incarnation of the companion.

use std::collections::VecDeque;

use base::prelude::*;
use wire::{Responder, RevokeReply};

use super::queue::Queue;
use super::{AdmitStep, StoredResponse};
use crate::event::AdmitMeta;

/// How long an id is remembered after it has ended or was revoked.
const ID_RETENTION: Duration = Duration::from_secs(30);

/// How long after the uptime that a request carries it may still start.
///
/// This must be shorter than [`ID_RETENTION`], so that no copy of a forgotten id can start.
const START_WINDOW: Duration = Duration::from_secs(20);

/// The bounds of a [`RequestTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// How many requests run at once.
    pub slots: u32,
    /// How many requests run or wait for a slot.
    pub connections: u32,
    /// How many ids are remembered; beyond that, new requests are refused.
    pub ids: usize,
    /// How many bytes of responses are stored; beyond that, the oldest are dropped.
    pub response_bytes: usize,
}

impl TableLimits {
    /// Returns the limits of a target with these slots and connections.
    pub const fn new(slots: u32, connections: u32) -> Self {
        Self {
            slots,
            connections,
            ids: 200_000,
            response_bytes: 64 * 1024 * 1024,
        }
    }
}

/// A request that waits for the run of its id.
#[derive(Debug)]
struct Waiter {
    until: Instant,
    reply: Responder<AdmitStep>,
}

/// The state of an id.
#[derive(Debug)]
enum Entry {
    /// Waiting for a slot; the first waiter will run it.
    Queued { waiters: Vec<Waiter> },
    /// Running; the waiters get the response when it ends.
    Running { waiters: Vec<Waiter> },
    /// Has run.
    Done {
        response: Option<Arc<StoredResponse>>,
        at: Instant,
    },
    /// Will never run.
    Revoked { at: Instant },
}

/// Admits requests by slots and remembers the outcome of each id.
#[derive(Debug)]
pub struct RequestTable {
    incarnation: Incarnation,
    /// When this incarnation started; uptimes are counted from here.
    started_at: Instant,
    limits: TableLimits,
    is_leaving: bool,
    ids: IndexMap<RequestId, Entry>,
    running: IndexSet<RequestId>,
    queue: Queue,
    /// Ids whose responses are stored, oldest first.
    stored: VecDeque<RequestId>,
    stored_bytes: usize,
}

impl RequestTable {
    /// Creates an empty table.
    pub fn new(incarnation: Incarnation, limits: TableLimits, started_at: Instant) -> Self {
        let queue_capacity = limits.connections.saturating_sub(limits.slots) as usize;
        Self {
            incarnation,
            started_at,
            limits,
            is_leaving: false,
            ids: IndexMap::new(),
            running: IndexSet::new(),
            queue: Queue::new(queue_capacity),
            stored: VecDeque::new(),
            stored_bytes: 0,
        }
    }

    /// Returns how many requests run.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many requests run or wait for a slot.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    /// Returns how many bytes of responses are stored.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Refuses all requests that wait for a slot, and new requests from now on.
    pub fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        for id in self.queue.take_all() {
            self.drop_queued(now, &id, "leaving");
        }
    }

    /// Returns true if new requests are refused.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Handles a request.
    ///
    /// The reply is sent later if the request waits for a slot or for a run of the same id.
    pub fn begin(&mut self, now: Instant, meta: &AdmitMeta, reply: Responder<AdmitStep>) {
        if meta.incarnation != self.incarnation {
            return reply.send(unremembered_refusal(meta, "other-incarnation"));
        }
        let waiter = Waiter {
            until: meta.deadline,
            reply,
        };
        let load = self.load();
        match self.ids.get_mut(&meta.id) {
            Some(Entry::Running { waiters } | Entry::Queued { waiters }) => {
                waiters.push(waiter);
            }
            Some(Entry::Done { response, .. }) => {
                waiter.reply.send(step_after_end(response.as_ref(), load))
            }
            Some(Entry::Revoked { .. }) => {
                waiter.reply.send(AdmitStep::NotRun { reason: "revoked" });
            }
            None => self.admit(now, meta, waiter),
        }
    }

    /// Starts, queues or refuses a request whose id is not in the table.
    fn admit(&mut self, now: Instant, meta: &AdmitMeta, waiter: Waiter) {
        let is_full = self.ids.len() >= self.limits.ids;
        if is_full {
            return waiter.reply.send(unremembered_refusal(meta, "table-full"));
        }
        if self.may_be_forgotten(now, meta.uptime) {
            return waiter.reply.send(unremembered_refusal(meta, "too-old"));
        }
        if self.is_leaving {
            return self.refuse(now, meta, waiter, "leaving");
        }
        if now >= meta.deadline {
            return self.refuse(now, meta, waiter, "expired");
        }
        if self.running() < self.limits.slots {
            self.ids.insert(
                meta.id.clone(),
                Entry::Queued {
                    waiters: vec![waiter],
                },
            );
            return self.start(&meta.id);
        }
        match self.queue.push(meta) {
            Ok(shed) => {
                self.ids.insert(
                    meta.id.clone(),
                    Entry::Queued {
                        waiters: vec![waiter],
                    },
                );
                if let Some(shed) = shed {
                    self.drop_queued(now, &shed, "no-slot");
                }
            }
            Err(_full) => self.refuse(now, meta, waiter, "no-slot"),
        }
    }

    /// Refuses a request; if other copies of it may arrive, its id is revoked as well.
    fn refuse(&mut self, now: Instant, meta: &AdmitMeta, waiter: Waiter, reason: &'static str) {
        if meta.is_repeat {
            self.ids.insert(meta.id.clone(), Entry::Revoked { at: now });
        }
        waiter.reply.send(AdmitStep::NotRun { reason });
    }

    /// Refuses a request that was removed from the queue, and revokes its id.
    fn drop_queued(&mut self, now: Instant, id: &RequestId, reason: &'static str) {
        let revoked = Entry::Revoked { at: now };
        if let Some(Entry::Queued { waiters }) = self.ids.insert(id.clone(), revoked) {
            for waiter in waiters {
                waiter.reply.send(AdmitStep::NotRun { reason });
            }
        }
    }

    /// Starts a queued request in a free slot.
    fn start(&mut self, id: &RequestId) {
        let Some(entry) = self.ids.get_mut(id) else {
            return;
        };
        let is_new = matches!(entry, Entry::Queued { .. });
        let detail = || format!("{id} would start although it is {entry:?}");
        if !Promise::AtMostOnce.check(is_new, detail) {
            return;
        }
        let is_allowed = !self.is_leaving;
        Promise::LeavingIdle.check(is_allowed, || format!("{id} would start while leaving"));
        let running = Entry::Running {
            waiters: Vec::new(),
        };
        let Entry::Queued { mut waiters } = std::mem::replace(entry, running) else {
            return;
        };
        let first = waiters.remove(0);
        *entry = Entry::Running { waiters };
        self.running.insert(id.clone());
        let (running, slots) = (self.running(), self.limits.slots);
        Promise::Capacity.check(running <= slots, || {
            format!("{running} requests run in {slots} slots")
        });
        first.reply.send(AdmitStep::Run);
    }

    /// Records the end of a run, replies to its waiters and starts the next request.
    pub fn finished(
        &mut self,
        now: Instant,
        id: &RequestId,
        response: Option<Arc<StoredResponse>>,
    ) {
        if !self.running.swap_remove(id) {
            return;
        }
        let done_entry = Entry::Done {
            response: response.clone(),
            at: now,
        };
        let entry = self.ids.insert(id.clone(), done_entry);
        let step = step_after_end(response.as_ref(), self.load());
        if let Some(Entry::Running { waiters }) = entry {
            for waiter in waiters {
                waiter.reply.send(step.clone());
            }
        }
        if let Some(response) = response {
            self.stored_bytes += response.body.len();
            self.stored.push_back(id.clone());
            self.drop_oldest_responses();
        }
        self.start_next(now);
    }

    /// Drops the oldest responses beyond the limit; their ids are still remembered as done.
    fn drop_oldest_responses(&mut self) {
        while self.stored_bytes > self.limits.response_bytes {
            let Some(oldest) = self.stored.pop_front() else {
                return;
            };
            if let Some(Entry::Done { response, .. }) = self.ids.get_mut(&oldest) {
                self.stored_bytes -= response.take().map_or(0, |response| response.body.len());
            }
        }
    }

    fn start_next(&mut self, now: Instant) {
        self.expire(now);
        while self.running() < self.limits.slots {
            let Some(next) = self.queue.pop() else {
                return;
            };
            self.start(&next);
        }
    }

    /// Replies to all requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        for id in self.queue.take_expired(now) {
            self.drop_queued(now, &id, "expired");
        }
        for id in &self.running {
            if let Some(Entry::Running { waiters }) = self.ids.get_mut(id) {
                for late in waiters.extract_if(.., |waiter| waiter.until <= now) {
                    late.reply.send(AdmitStep::Lost {
                        reason: "still-running",
                    });
                }
            }
        }
    }

    /// Prevents an id from running here, unless it runs or has run.
    pub fn revoke(
        &mut self,
        now: Instant,
        id: &RequestId,
        incarnation: Incarnation,
        uptime: Duration,
    ) -> RevokeReply {
        if incarnation != self.incarnation {
            return RevokeReply::WrongIncarnation;
        }
        match self.ids.get(id) {
            Some(Entry::Running { .. }) => RevokeReply::Running,
            Some(Entry::Done { .. }) => RevokeReply::Done,
            Some(Entry::Revoked { .. }) => RevokeReply::NeverStarted,
            Some(Entry::Queued { .. }) => {
                self.queue.remove(id);
                self.drop_queued(now, id, "revoked");
                RevokeReply::NeverStarted
            }
            None if self.may_be_forgotten(now, uptime) => RevokeReply::Forgotten,
            None => {
                self.ids.insert(id.clone(), Entry::Revoked { at: now });
                RevokeReply::NeverStarted
            }
        }
    }

    /// Returns true if an unknown id may have run and been forgotten.
    ///
    /// An entry sends an id to this target at or after the uptime that the request carries, so
    /// the id cannot have ended before. Only this process's clock is read.
    fn may_be_forgotten(&self, now: Instant, uptime: Duration) -> bool {
        now.saturating_duration_since(self.started_at) >= uptime + START_WINDOW
    }

    /// Forgets ids that ended or were revoked long enough ago.
    pub fn sweep(&mut self, now: Instant) {
        self.ids.retain(|_, entry| match entry {
            Entry::Queued { .. } | Entry::Running { .. } => true,
            Entry::Done { at, .. } | Entry::Revoked { at } => now < *at + ID_RETENTION,
        });
        let ids = &self.ids;
        self.stored.retain(|id| ids.contains_key(id));
        self.stored_bytes = self.stored.iter().map(|id| response_bytes(ids, id)).sum();
    }
}

fn response_bytes(ids: &IndexMap<RequestId, Entry>, id: &RequestId) -> usize {
    match ids.get(id) {
        Some(Entry::Done {
            response: Some(response),
            ..
        }) => response.body.len(),
        _ => 0,
    }
}

/// Returns the step for requests with the id of a run that has ended.
fn step_after_end(response: Option<&Arc<StoredResponse>>, load: u32) -> AdmitStep {
    match response {
        Some(response) => AdmitStep::Answer {
            answer: Arc::clone(response),
            load,
        },
        None => AdmitStep::Lost {
            reason: "no-answer",
        },
    }
}

/// Returns the step for a request that is refused without being remembered.
///
/// If it is the only copy, it has certainly not run. If other copies exist, one may have run.
fn unremembered_refusal(meta: &AdmitMeta, reason: &'static str) -> AdmitStep {
    if meta.is_repeat {
        AdmitStep::Lost { reason }
    } else {
        AdmitStep::NotRun { reason }
    }
}
