//! The actor that announces this companion to the entries.

use std::net::SocketAddr;

use base::prelude::*;
use slog::{error, info, warn};
use stakker::{Actor, CX, after, call};
use tables::{InForce, Offer, TablesDoc};
use wire::timing::ANNOUNCE_EVERY;
use wire::{
    AnnounceReply, Announcement, Answer, Call, CallToken, Part, Reply, ShardOwner, TargetState,
    shard_of_pool,
};

use crate::CompanionCfg;
use crate::ports::Ports;
use crate::tasks::TaskActor;

/// How long an announcement may take.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a leaving target announces itself to entries that may not know.
const LEAVING_EVERY: Duration = Duration::from_millis(250);

/// How many announcements in a row may fail before an entry is no longer tried.
const MAX_FAILURES: u32 = 10;

/// An entry that this companion talks to.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    failures: u32,
    /// Whether it answered the last announcement that ended.
    answers: bool,
    is_waiting: bool,
    /// Whether the entry knows that the target leaves.
    knows_leaving: bool,
    /// Whether the settings name it, so that it is never given up.
    is_seed: bool,
}

/// An announcement on its way.
#[derive(Clone, Copy, Debug)]
struct Told {
    to: SocketAddr,
    state: TargetState,
}

/// Announces the target and learns of entries, owners and tables in return.
pub(crate) struct AnnounceActor {
    cfg: Arc<CompanionCfg>,
    ports: Ports,
    tasks: Actor<TaskActor>,
    /// When this life began.
    born: Instant,
    peers: IndexMap<SocketAddr, Peer>,
    /// Which peer a call on its way went to.
    calls: IndexMap<u64, Told>,
    next_call: u64,
    sequence: u64,
    state: TargetState,
    in_force: InForce,
    owners: IndexMap<ShardId, ShardOwner>,
}

impl AnnounceActor {
    pub(crate) fn init(
        cx: CX![],
        cfg: Arc<CompanionCfg>,
        ports: Ports,
        tasks: Actor<TaskActor>,
    ) -> Option<Self> {
        let seed = Peer {
            is_seed: true,
            ..Peer::default()
        };
        let peers = cfg.entries.iter().map(|addr| (*addr, seed)).collect();
        let mut this = Self {
            cfg,
            ports,
            tasks,
            born: cx.now(),
            peers,
            calls: IndexMap::new(),
            next_call: 0,
            sequence: 0,
            state: TargetState::Serving,
            in_force: InForce::default(),
            owners: IndexMap::new(),
        };
        this.announce_later(cx);
        this.announce();
        Some(this)
    }

    fn announce_later(&self, cx: CX![]) {
        after!(self.period(), [cx], |this, cx| {
            this.announce();
            this.announce_later(cx);
        });
    }

    /// Returns when to announce next: soon while an entry may not know that the target leaves.
    fn period(&self) -> Duration {
        let is_leaving = self.state == TargetState::Leaving;
        if is_leaving && self.peers.values().any(|peer| !peer.knows_leaving) {
            LEAVING_EVERY
        } else {
            ANNOUNCE_EVERY
        }
    }

    fn announce(&mut self) {
        self.sequence += 1;
        let announcement = self.announcement();
        let idle: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_waiting || self.state == TargetState::Leaving)
            .map(|(at, _)| *at)
            .collect();
        for to in idle {
            self.next_call += 1;
            let id = self.next_call;
            let state = self.state;
            self.calls.insert(id, Told { to, state });
            if let Some(peer) = self.peers.get_mut(&to) {
                peer.is_waiting = true;
            }
            let token = CallToken {
                part: Part::Member,
                id,
            };
            let call = Call::Announce(Box::new(announcement.clone()));
            self.ports.calls.submit(to, token, ANNOUNCE_TIMEOUT, call);
        }
    }

    fn announcement(&self) -> Announcement {
        let cfg = &self.cfg;
        Announcement {
            target: cfg.target.clone(),
            worker: cfg.worker.clone(),
            incarnation: cfg.incarnation,
            uptime: self.ports.clock.now().saturating_duration_since(self.born),
            sequence: self.sequence,
            zone: cfg.zone.clone(),
            rack: cfg.rack.clone(),
            http_addr: cfg.announce_http.unwrap_or(cfg.http_addr),
            rpc_addr: cfg.rpc_addr,
            slots: cfg.slots,
            connections: cfg.connections,
            capacity: cfg.capacity,
            state: self.state,
            in_flight: 0,
            generation: self.in_force.generation(),
        }
    }

    pub(crate) fn answer(&mut self, cx: CX![], id: u64, answer: Result<Answer>) {
        let Some(Told { to: from, state }) = self.calls.swap_remove(&id) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.is_waiting = false;
        match answer {
            Ok(Answer::Announce(reply)) => {
                peer.failures = 0;
                peer.answers = true;
                peer.knows_leaving |= state == TargetState::Leaving;
                self.learn(cx, *reply);
            }
            _ => {
                peer.failures += 1;
                peer.answers = false;
                let given_up = !peer.is_seed && peer.failures > MAX_FAILURES;
                if given_up {
                    self.peers.swap_remove(&from);
                }
            }
        }
    }

    fn learn(&mut self, cx: CX![], reply: AnnounceReply) {
        for entry in &reply.entries {
            self.peers.entry(entry.rpc_addr).or_default();
        }
        for owner in reply.owners {
            let is_newer = self
                .owners
                .get(&owner.shard)
                .is_none_or(|known| owner.epoch >= known.epoch);
            if is_newer {
                self.owners.insert(owner.shard, owner);
            }
        }
        if let Some(doc) = reply.tables {
            self.offer(doc);
        }
        self.tell_shard(cx);
    }

    /// Puts tables in force where their generation is higher than what is.
    fn offer(&mut self, doc: TablesDoc) {
        let generation = doc.generation;
        match self.in_force.offer(doc) {
            Offer::Taken(_) => {
                info!(
                    self.ports.log,
                    "config: generation {} is in force", generation
                );
            }
            Offer::Malformed(e) => {
                error!(
                    self.ports.log,
                    "config: generation {} is invalid: {}", generation, e
                );
            }
            Offer::Rival => {
                warn!(
                    self.ports.log,
                    "config: two tables are of generation {}", generation
                );
            }
            Offer::Same | Offer::Older => {}
        }
    }

    pub(crate) fn tables(&mut self, _cx: CX![], reply: Reply<Option<TablesDoc>>) {
        reply.send(self.in_force.doc().cloned());
    }

    /// Tells the tasks which shard the worker is in, and who owns it.
    fn tell_shard(&mut self, cx: CX![]) {
        let pool = self
            .in_force
            .tables()
            .pools_of_worker(&self.cfg.worker, &self.cfg.zone)
            .next();
        let Some(pool) = pool else { return };
        let shard = shard_of_pool(&pool.name);
        // A poll may count at a newer owner though its answer is lost, after which no
        // earlier owner can keep the tasks: only an owner that answers is worth the move.
        let owner = self.owners.get(&shard).map(|owner| owner.rpc_addr);
        let owner = owner.filter(|addr| self.peers.get(addr).is_some_and(|peer| peer.answers));
        call!([self.tasks, cx], set_shard(shard, owner));
    }

    pub(crate) fn leave(&mut self, _cx: CX![]) {
        self.state = TargetState::Leaving;
        self.announce();
    }
}
