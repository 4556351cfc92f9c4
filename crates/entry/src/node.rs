//! The actors of an entry in one deterministic runtime, to which the caller passes the time.

use base::prelude::*;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use wire::Component;

use crate::EntryCfg;
use crate::config::ConfigActor;
use crate::event::{AdminEvent, Event};
use crate::member::MemberActor;
use crate::ports::Ports;
use crate::request::RequestActor;
use crate::shard::ShardActor;
use crate::snapshot::TablesSnapshot;

/// The actors of one entry.
pub struct Node {
    stakker: Stakker,
    config: ActorOwn<ConfigActor>,
    member: ActorOwn<MemberActor>,
    request: ActorOwn<RequestActor>,
    shard: ActorOwn<ShardActor>,
}

impl Node {
    /// Creates the actors; they start to act at the first [`Node::run`].
    ///
    /// The same `seed` and the same events at the same times lead to the same decisions.
    pub fn new(cfg: &Arc<EntryCfg>, ports: &Ports, now: Instant, seed: u64) -> Self {
        let mut stakker = Stakker::new(now);
        let s = &mut stakker;
        let request = actor!(
            s,
            RequestActor::init(Arc::clone(cfg), ports.clone(), seed),
            ret_nop!()
        );
        let shard = actor!(
            s,
            ShardActor::init(Arc::clone(cfg), ports.clone(), seed),
            ret_nop!()
        );
        let member = actor!(
            s,
            MemberActor::init(
                Arc::clone(cfg),
                ports.clone(),
                seed,
                request.clone(),
                shard.clone()
            ),
            ret_nop!()
        );
        let config = actor!(
            s,
            ConfigActor::init(
                Arc::clone(cfg),
                ports.clone(),
                seed,
                request.clone(),
                shard.clone(),
                member.clone()
            ),
            ret_nop!()
        );
        call!([member], set_config(config.clone()));
        call!([request], set_member(member.clone()));
        Self {
            stakker,
            config,
            member,
            request,
            shard,
        }
    }

    /// Publishes the tables in force, now and later, to a snapshot that threads read.
    pub fn publish_to(&mut self, snapshot: Arc<TablesSnapshot>) {
        call!([self.config], set_snapshot(snapshot));
    }

    /// Hands an event to the actor that it concerns.
    pub fn deliver(&mut self, event: Event) {
        match event {
            Event::Announce(msg, reply) => call!([self.member], announce(*msg, reply)),
            Event::Gossip(msg, reply) => call!([self.member], gossip(msg, reply)),
            Event::Poll(msg, reply) => call!([self.shard], poll(msg, reply)),
            Event::Done(msg, reply) => call!([self.shard], done(msg, reply)),
            Event::Submit(shard, job, reply) => call!([self.shard], submit(shard, job, reply)),
            Event::Job(shard, job, reply) => call!([self.shard], job(shard, job, reply)),
            Event::Cancel(shard, jobs, reply) => call!([self.shard], cancel(shard, jobs, reply)),
            Event::Claim(shard, claim, replaces, reply) => {
                call!([self.shard], claim(shard, claim, replaces, reply));
            }
            Event::Request(event) => call!([self.request], event(event)),
            Event::Admin(event) => self.deliver_admin(event),
            Event::Store(token, reply) => match token.component {
                Component::Config => call!([self.config], store_reply(token.id, reply)),
                Component::Member => call!([self.member], store_reply(token.id, reply)),
                Component::Batch => call!([self.shard], store_reply(token.id, reply)),
                Component::Request => {}
            },
            Event::Call(token, response) => match token.component {
                Component::Config => call!([self.config], call_response(response)),
                Component::Member => call!([self.member], call_response(token.id, response)),
                Component::Batch => call!([self.shard], call_response(token.id, response)),
                Component::Request => call!([self.request], call_response(token.id, response)),
            },
            Event::Stop => {
                call!([self.member], stop());
                call!([self.shard], stop());
                call!([self.request], stop());
            }
        }
    }

    fn deliver_admin(&mut self, event: AdminEvent) {
        match event {
            AdminEvent::Submit(job, reply) => call!([self.shard], submit_or_forward(job, reply)),
            AdminEvent::Job(pool, job, reply) => {
                call!([self.shard], job_or_forward(pool, job, reply))
            }
            AdminEvent::Cancel(pool, jobs, reply) => {
                call!([self.shard], cancel_or_forward(pool, jobs, reply));
            }
            AdminEvent::Tables(reply) => call!([self.config], tables(reply)),
            AdminEvent::Shards(reply) => call!([self.shard], view(reply)),
            AdminEvent::Ready(reply) => call!([self.member], ready(reply)),
            AdminEvent::Drain(target, reply) => call!([self.member], drain(target, reply)),
            AdminEvent::StoreHealth(reply) => call!([self.config], store_health(reply)),
            AdminEvent::Status(reply) => call!([self.member], status(reply)),
        }
    }

    /// Runs all that is due at `now`.
    pub fn run(&mut self, now: Instant) {
        self.stakker.run(now, false);
    }

    /// Returns when the next timer is due, if any is set.
    pub fn next_due(&mut self) -> Option<Instant> {
        self.stakker.next_expiry()
    }

    /// Returns true if a planned stop is complete.
    pub fn is_stopped(&mut self) -> bool {
        !self.stakker.not_shutdown()
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
