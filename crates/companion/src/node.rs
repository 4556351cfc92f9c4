//! The actors of a companion in one deterministic runtime; the caller passes in the time.

use base::prelude::*;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use wire::Component;

use crate::CompanionCfg;
use crate::admit::AdmitActor;
use crate::announce::AnnounceActor;
use crate::event::Event;
use crate::ports::Ports;
use crate::tasks::TaskActor;

/// The runtime with the actors of one companion.
pub struct Node {
    stakker: Stakker,
    admit: ActorOwn<AdmitActor>,
    announce: ActorOwn<AnnounceActor>,
    tasks: ActorOwn<TaskActor>,
}

impl Node {
    /// Creates the actors; they start at the first [`Node::run`].
    ///
    /// The same `seed` and the same events at the same times lead to the same decisions.
    pub fn new(cfg: &Arc<CompanionCfg>, ports: &Ports, now: Instant, seed: u64) -> Self {
        let mut stakker = Stakker::new(now);
        let s = &mut stakker;
        let admit = actor!(s, AdmitActor::init(Arc::clone(cfg)), ret_nop!());
        let tasks = actor!(
            s,
            TaskActor::init(Arc::clone(cfg), ports.clone(), seed),
            ret_nop!()
        );
        let announce = actor!(
            s,
            AnnounceActor::init(Arc::clone(cfg), ports.clone(), tasks.clone()),
            ret_nop!()
        );
        Self {
            stakker,
            admit,
            announce,
            tasks,
        }
    }

    /// Queues an event for the actor that handles it.
    pub fn deliver(&mut self, event: Event) {
        match event {
            Event::Admit(event) => call!([self.admit], event(event)),
            Event::Revoke(id, incarnation, uptime, reply) => {
                call!([self.admit], revoke(id, incarnation, uptime, reply));
            }
            Event::Worker(id, reply) => call!([self.tasks], worker_reply(id, reply)),
            Event::Call(token, answer) => match token.component {
                Component::Member => call!([self.announce], answer(token.id, answer)),
                Component::Batch => call!([self.tasks], answer(token.id, answer)),
                Component::Request | Component::Config => {}
            },
            Event::Tables(reply) => call!([self.announce], tables(reply)),
            Event::Drain => {
                call!([self.admit], leave());
                call!([self.announce], leave());
                call!([self.tasks], leave());
            }
        }
    }

    /// Runs all queued events and the timers that are due at `now`.
    pub fn run(&mut self, now: Instant) {
        self.stakker.run(now, false);
    }

    /// Returns when the next timer is due, if any is set.
    pub fn next_due(&mut self) -> Option<Instant> {
        self.stakker.next_expiry()
    }

    /// Returns how many requests run or wait for a slot.
    pub fn in_flight(&mut self) -> u32 {
        stakker::query!([self.admit, &mut self.stakker], in_flight()).unwrap_or(0)
    }
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Node")
    }
}

impl host::Actors for Node {
    type Event = Event;

    fn deliver(&mut self, event: Event) {
        Self::deliver(self, event);
    }

    fn run(&mut self, now: Instant) {
        Self::run(self, now);
    }

    fn next_due(&mut self) -> Option<Instant> {
        Self::next_due(self)
    }
}
