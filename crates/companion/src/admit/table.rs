//! The table of request ids: each id runs at most once in one life of the companion.

use std::collections::VecDeque;

use base::prelude::*;
use wire::{Reply, RevokeReply};

use super::queue::Queue;
use super::{AdmitStep, StoredAnswer};
use crate::event::AdmitMeta;

/// How long an ended or revoked id is remembered.
const REMEMBER: Duration = Duration::from_secs(30);

/// How long after the uptime that a request names it may still start.
///
/// It is shorter than [`REMEMBER`]: once an id is forgotten, no copy of it can start.
const START_WINDOW: Duration = Duration::from_secs(20);

/// The bounds of a [`RequestTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// How many requests run at once.
    pub slots: u32,
    /// How many requests run or wait for a slot.
    pub connections: u32,
    /// How many ids are remembered; beyond it, new requests are refused.
    pub ids: usize,
    /// How many bytes of answers are kept; beyond it, the oldest are dropped.
    pub answer_bytes: usize,
}

impl TableLimits {
    /// Returns the limits of a target with these slots and connections.
    pub const fn new(slots: u32, connections: u32) -> Self {
        Self {
            slots,
            connections,
            ids: 200_000,
            answer_bytes: 64 * 1024 * 1024,
        }
    }
}

/// A thread that waits for a run of its id.
#[derive(Debug)]
struct Joined {
    until: Instant,
    reply: Reply<AdmitStep>,
}

/// Where an id stands.
#[derive(Debug)]
enum Entry {
    /// It waits for a slot; the first that joined will run it.
    Queued { joined: Vec<Joined> },
    /// It runs.
    Running { joined: Vec<Joined> },
    /// It has run.
    Done {
        answer: Option<Arc<StoredAnswer>>,
        at: Instant,
    },
    /// It will never run.
    Revoked { at: Instant },
}

/// Admits requests by slots and remembers what became of each id.
#[derive(Debug)]
pub struct RequestTable {
    incarnation: Incarnation,
    /// When this life began; uptimes count from here.
    born: Instant,
    limits: TableLimits,
    is_leaving: bool,
    ids: IndexMap<RequestId, Entry>,
    running: IndexSet<RequestId>,
    queue: Queue,
    /// Ids whose answers are kept, oldest first.
    kept: VecDeque<RequestId>,
    kept_bytes: usize,
}

impl RequestTable {
    /// Creates an empty table.
    pub fn new(incarnation: Incarnation, limits: TableLimits, born: Instant) -> Self {
        let room = limits.connections.saturating_sub(limits.slots) as usize;
        Self {
            incarnation,
            born,
            limits,
            is_leaving: false,
            ids: IndexMap::new(),
            running: IndexSet::new(),
            queue: Queue::new(room),
            kept: VecDeque::new(),
            kept_bytes: 0,
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

    /// Returns how many bytes of answers are kept.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Refuses new requests, and those that wait for a slot, from now on.
    pub fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        for id in self.queue.take_all() {
            self.drop_queued(now, &id, "leaving");
        }
    }

    /// Tells whether new requests are refused.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Takes a request; the reply may come later, when a slot is free or the run it joins ends.
    pub fn begin(&mut self, now: Instant, meta: &AdmitMeta, reply: Reply<AdmitStep>) {
        if meta.incarnation != self.incarnation {
            return reply.send(not_here(meta, "other-incarnation"));
        }
        let joined = Joined {
            until: meta.deadline,
            reply,
        };
        let load = self.load();
        match self.ids.get_mut(&meta.id) {
            Some(Entry::Running { joined: others } | Entry::Queued { joined: others }) => {
                others.push(joined);
            }
            Some(Entry::Done { answer, .. }) => joined.reply.send(done(answer.as_ref(), load)),
            Some(Entry::Revoked { .. }) => {
                joined.reply.send(AdmitStep::NotRun { reason: "revoked" });
            }
            None => self.admit(now, meta, joined),
        }
    }

    /// Starts, queues or refuses a request that is new here.
    fn admit(&mut self, now: Instant, meta: &AdmitMeta, joined: Joined) {
        let is_full = self.ids.len() >= self.limits.ids;
        if is_full {
            return joined.reply.send(not_here(meta, "table-full"));
        }
        if self.may_be_forgotten(now, meta.uptime) {
            return joined.reply.send(not_here(meta, "too-old"));
        }
        if self.is_leaving {
            return self.refuse(now, meta, joined, "leaving");
        }
        if now >= meta.deadline {
            return self.refuse(now, meta, joined, "expired");
        }
        if self.running() < self.limits.slots {
            self.ids.insert(
                meta.id.clone(),
                Entry::Queued {
                    joined: vec![joined],
                },
            );
            return self.start(&meta.id);
        }
        match self.queue.push(meta) {
            Ok(shed) => {
                self.ids.insert(
                    meta.id.clone(),
                    Entry::Queued {
                        joined: vec![joined],
                    },
                );
                if let Some(shed) = shed {
                    self.drop_queued(now, &shed, "no-slot");
                }
            }
            Err(_full) => self.refuse(now, meta, joined, "no-slot"),
        }
    }

    /// Refuses a request; where copies may follow, the refusal lasts.
    fn refuse(&mut self, now: Instant, meta: &AdmitMeta, joined: Joined, reason: &'static str) {
        if meta.is_repeat {
            self.ids.insert(meta.id.clone(), Entry::Revoked { at: now });
        }
        joined.reply.send(AdmitStep::NotRun { reason });
    }

    /// Refuses a request that left the queue; the refusal lasts.
    fn drop_queued(&mut self, now: Instant, id: &RequestId, reason: &'static str) {
        let revoked = Entry::Revoked { at: now };
        if let Some(Entry::Queued { joined }) = self.ids.insert(id.clone(), revoked) {
            for waiting in joined {
                waiting.reply.send(AdmitStep::NotRun { reason });
            }
        }
    }

    /// Gives a queued request a slot.
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
        let running = Entry::Running { joined: Vec::new() };
        let Entry::Queued { mut joined } = std::mem::replace(entry, running) else {
            return;
        };
        let runner = joined.remove(0);
        *entry = Entry::Running { joined };
        self.running.insert(id.clone());
        let (running, slots) = (self.running(), self.limits.slots);
        Promise::Capacity.check(running <= slots, || {
            format!("{running} requests run in {slots} slots")
        });
        runner.reply.send(AdmitStep::Run);
    }

    /// Takes the end of a run, answers those who wait for it and starts the next.
    pub fn finished(&mut self, now: Instant, id: &RequestId, answer: Option<Arc<StoredAnswer>>) {
        if !self.running.swap_remove(id) {
            return;
        }
        let kept = Entry::Done {
            answer: answer.clone(),
            at: now,
        };
        let entry = self.ids.insert(id.clone(), kept);
        let step = done(answer.as_ref(), self.load());
        if let Some(Entry::Running { joined }) = entry {
            for waiting in joined {
                waiting.reply.send(step.clone());
            }
        }
        if let Some(answer) = answer {
            self.kept_bytes += answer.body.len();
            self.kept.push_back(id.clone());
            self.drop_oldest_answers();
        }
        self.start_next(now);
    }

    /// Drops answers beyond the limit; their ids stay known as having run.
    fn drop_oldest_answers(&mut self) {
        while self.kept_bytes > self.limits.answer_bytes {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            if let Some(Entry::Done { answer, .. }) = self.ids.get_mut(&oldest) {
                self.kept_bytes -= answer.take().map_or(0, |answer| answer.body.len());
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

    /// Answers those whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        for id in self.queue.take_expired(now) {
            self.drop_queued(now, &id, "expired");
        }
        for id in &self.running {
            if let Some(Entry::Running { joined }) = self.ids.get_mut(id) {
                for late in joined.extract_if(.., |waiting| waiting.until <= now) {
                    late.reply.send(AdmitStep::Lost {
                        reason: "still-running",
                    });
                }
            }
        }
    }

    /// Makes sure that an id never runs here, unless it has or does.
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

    /// Tells whether an unknown id may have run and been forgotten.
    ///
    /// An id is chosen for this target at or after the uptime it names, so that it
    /// cannot have ended before. Only this process's clock is read.
    fn may_be_forgotten(&self, now: Instant, uptime: Duration) -> bool {
        now.saturating_duration_since(self.born) >= uptime + START_WINDOW
    }

    /// Forgets ids that ended long ago.
    pub fn sweep(&mut self, now: Instant) {
        self.ids.retain(|_, entry| match entry {
            Entry::Queued { .. } | Entry::Running { .. } => true,
            Entry::Done { at, .. } | Entry::Revoked { at } => now < *at + REMEMBER,
        });
        let ids = &self.ids;
        self.kept.retain(|id| ids.contains_key(id));
        self.kept_bytes = self.kept.iter().map(|id| answer_bytes(ids, id)).sum();
    }
}

fn answer_bytes(ids: &IndexMap<RequestId, Entry>, id: &RequestId) -> usize {
    match ids.get(id) {
        Some(Entry::Done {
            answer: Some(answer),
            ..
        }) => answer.body.len(),
        _ => 0,
    }
}

/// Returns what those are told who ask for a run that has ended.
fn done(answer: Option<&Arc<StoredAnswer>>, load: u32) -> AdmitStep {
    match answer {
        Some(answer) => AdmitStep::Answer {
            answer: Arc::clone(answer),
            load,
        },
        None => AdmitStep::Lost {
            reason: "no-answer",
        },
    }
}

/// Answers a request that this life does not take and cannot remember.
///
/// The only copy was read here and has not run. Other copies may have run.
fn not_here(meta: &AdmitMeta, reason: &'static str) -> AdmitStep {
    if meta.is_repeat {
        AdmitStep::Lost { reason }
    } else {
        AdmitStep::NotRun { reason }
    }
}
