//! The table of request ids: each id runs at most once in one life of the companion.

use base::prelude::*;
use wire::{Reply, RevokeReply};

use super::{AdmitStep, StoredAnswer};
use crate::event::AdmitMeta;

/// How long an ended or revoked id is remembered.
const REMEMBER: Duration = Duration::from_secs(60);

/// How many ids are remembered at most; beyond it, new requests are refused.
const MAX_IDS: usize = 100_000;

/// Where an id stands.
#[derive(Debug)]
enum Entry {
    Running {
        waiting: Vec<Reply<AdmitStep>>,
    },
    Done {
        answer: Option<Arc<StoredAnswer>>,
        at: Instant,
    },
    Revoked {
        at: Instant,
    },
}

/// Admits requests by slots and remembers what became of each id.
#[derive(Debug)]
pub struct RequestTable {
    incarnation: Incarnation,
    slots: u32,
    running: u32,
    is_leaving: bool,
    ids: IndexMap<RequestId, Entry>,
}

impl RequestTable {
    /// Creates an empty table.
    pub fn new(incarnation: Incarnation, slots: u32) -> Self {
        Self {
            incarnation,
            slots,
            running: 0,
            is_leaving: false,
            ids: IndexMap::new(),
        }
    }

    /// Returns how many requests run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Refuses new requests from now on.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Tells whether new requests are refused.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Takes a request; the reply may come later, when the run it joins ends.
    pub fn begin(&mut self, now: Instant, meta: &AdmitMeta, reply: Reply<AdmitStep>) {
        if meta.incarnation != self.incarnation {
            // Another life may have run it: this one can prove nothing.
            return reply.send(AdmitStep::Lost {
                reason: "other-incarnation",
            });
        }
        let load = self.running;
        match self.ids.get_mut(&meta.id) {
            Some(Entry::Running { waiting }) => waiting.push(reply),
            Some(Entry::Done {
                answer: Some(answer),
                ..
            }) => {
                reply.send(AdmitStep::Answer {
                    answer: Arc::clone(answer),
                    load,
                });
            }
            Some(Entry::Done { answer: None, .. }) => {
                reply.send(AdmitStep::Lost {
                    reason: "no-answer",
                });
            }
            Some(Entry::Revoked { .. }) => reply.send(AdmitStep::NotRun { reason: "revoked" }),
            None => reply.send(self.admit(now, meta)),
        }
    }

    fn admit(&mut self, now: Instant, meta: &AdmitMeta) -> AdmitStep {
        let refusal = if self.is_leaving {
            Some("leaving")
        } else if now >= meta.deadline {
            Some("expired")
        } else if self.running >= self.slots {
            Some("no-slot")
        } else if self.ids.len() >= MAX_IDS {
            Some("table-full")
        } else {
            None
        };
        if let Some(reason) = refusal {
            return AdmitStep::NotRun { reason };
        }
        self.running += 1;
        self.ids.insert(
            meta.id.clone(),
            Entry::Running {
                waiting: Vec::new(),
            },
        );
        AdmitStep::Run
    }

    /// Takes the end of a run and answers those who wait for it.
    pub fn finished(&mut self, now: Instant, id: &RequestId, answer: Option<Arc<StoredAnswer>>) {
        let Some(entry) = self.ids.get_mut(id) else {
            return;
        };
        let done = Entry::Done {
            answer: answer.clone(),
            at: now,
        };
        let Entry::Running { waiting } = std::mem::replace(entry, done) else {
            return;
        };
        self.running -= 1;
        let load = self.running;
        let step = match answer {
            Some(answer) => AdmitStep::Answer { answer, load },
            None => AdmitStep::Lost {
                reason: "no-answer",
            },
        };
        waiting
            .into_iter()
            .for_each(|reply| reply.send(step.clone()));
    }

    /// Makes sure that an id never runs here, unless it has.
    pub fn revoke(
        &mut self,
        now: Instant,
        id: &RequestId,
        incarnation: Incarnation,
    ) -> RevokeReply {
        if incarnation != self.incarnation {
            return RevokeReply::WrongIncarnation;
        }
        match self.ids.get(id) {
            Some(Entry::Running { .. }) => RevokeReply::Running,
            Some(Entry::Done { .. }) => RevokeReply::Done,
            Some(Entry::Revoked { .. }) => RevokeReply::NeverStarted,
            None => {
                self.ids.insert(id.clone(), Entry::Revoked { at: now });
                RevokeReply::NeverStarted
            }
        }
    }

    /// Forgets ids that ended long ago.
    pub fn sweep(&mut self, now: Instant) {
        self.ids.retain(|_, entry| match entry {
            Entry::Running { .. } => true,
            Entry::Done { at, .. } | Entry::Revoked { at } => now < *at + REMEMBER,
        });
    }
}
