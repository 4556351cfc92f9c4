//! The actor that announces this companion to the entries.

use std::net::SocketAddr;

use base::prelude::*;
use slog::{error, info, warn};
use stakker::{Actor, CX, after, call};
use tables::{ActiveTables, TablesDoc, TablesUpdate};
use wire::timing::ANNOUNCE_EVERY;
use wire::{
    AnnounceReply, Announcement, Call, CallResponse, CallToken, Component, Responder, ShardOwner,
    TargetState, shard_of_pool,
};

use crate::CompanionCfg;
use crate::ports::Ports;
use crate::tasks::TaskActor;

/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between announcements while some entry may not know that the target leaves.
const LEAVING_INTERVAL: Duration = Duration::from_millis(250);

/// How many announcements in a row may fail before an entry is dropped.
const MAX_FAILURES: u32 = 10;

/// An entry that this companion announces itself to.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    failures: u32,
    /// Whether the last announcement that completed got a response.
    is_responsive: bool,
    /// Whether an announcement is in flight.
    is_waiting: bool,
    /// Whether the entry knows that the target leaves.
    knows_leaving: bool,
    /// Whether it is named in the settings, so that it is never dropped.
    is_seed: bool,
}

/// An announcement in flight.
#[derive(Clone, Copy, Debug)]
struct SentAnnouncement {
    to: SocketAddr,
    state: TargetState,
}

/// Announces the target to the entries; the responses name entries, owners and tables.
pub(crate) struct AnnounceActor {
    cfg: Arc<CompanionCfg>,
    ports: Ports,
    tasks: Actor<TaskActor>,
    /// When this incarnation started.
    started_at: Instant,
    peers: IndexMap<SocketAddr, Peer>,
    /// Announcements in flight, by the id of their call.
    calls: IndexMap<u64, SentAnnouncement>,
    next_call: u64,
    sequence: u64,
    state: TargetState,
    in_force: ActiveTables,
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
            started_at: cx.now(),
            peers,
            calls: IndexMap::new(),
            next_call: 0,
            sequence: 0,
            state: TargetState::Serving,
            in_force: ActiveTables::default(),
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

    /// Returns the time until the next announcement.
    fn period(&self) -> Duration {
        let is_leaving = self.state == TargetState::Leaving;
        if is_leaving && self.peers.values().any(|peer| !peer.knows_leaving) {
            LEAVING_INTERVAL
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
            self.calls.insert(id, SentAnnouncement { to, state });
            if let Some(peer) = self.peers.get_mut(&to) {
                peer.is_waiting = true;
            }
            let token = CallToken {
                component: Component::Member,
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
            uptime: self
                .ports
                .clock
                .now()
                .saturating_duration_since(self.started_at),
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

    pub(crate) fn answer(&mut self, cx: CX![], id: u64, answer: Result<CallResponse>) {
        let Some(SentAnnouncement { to: from, state }) = self.calls.swap_remove(&id) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.is_waiting = false;
        match answer {
            Ok(CallResponse::Announce(reply)) => {
                peer.failures = 0;
                peer.is_responsive = true;
                peer.knows_leaving |= state == TargetState::Leaving;
                self.apply_reply(cx, *reply);
            }
            _ => {
                peer.failures += 1;
                peer.is_responsive = false;
                let is_dropped = !peer.is_seed && peer.failures > MAX_FAILURES;
                if is_dropped {
                    self.peers.swap_remove(&from);
                }
            }
        }
    }

    fn apply_reply(&mut self, cx: CX![], reply: AnnounceReply) {
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
            self.offer_tables(doc);
        }
        self.update_shard(cx);
    }

    /// Puts tables in force if their generation is higher than the current one.
    fn offer_tables(&mut self, doc: TablesDoc) {
        let generation = doc.generation;
        match self.in_force.update(doc) {
            TablesUpdate::Applied(_) => {
                info!(
                    self.ports.log,
                    "config: generation {} is in force", generation
                );
            }
            TablesUpdate::Malformed(e) => {
                error!(
                    self.ports.log,
                    "config: generation {} is invalid: {}", generation, e
                );
            }
            TablesUpdate::Conflicting => {
                warn!(
                    self.ports.log,
                    "config: different tables have the same generation {}", generation
                );
            }
            TablesUpdate::Unchanged | TablesUpdate::Stale => {}
        }
    }

    pub(crate) fn tables(&mut self, _cx: CX![], reply: Responder<Option<TablesDoc>>) {
        reply.send(self.in_force.doc().cloned());
    }

    /// Sends the task actor the worker's shard and its owner.
    fn update_shard(&mut self, cx: CX![]) {
        let pool = self
            .in_force
            .tables()
            .pools_of_worker(&self.cfg.worker, &self.cfg.zone)
            .next();
        let Some(pool) = pool else { return };
        let shard = shard_of_pool(&pool.name);
        // Even if its response is lost, a poll may take effect at a newer owner, and the previous
        // owner can't extend the tasks after that. So move only to an owner that responds.
        let owner = self.owners.get(&shard).map(|owner| owner.rpc_addr);
        let owner =
            owner.filter(|addr| self.peers.get(addr).is_some_and(|peer| peer.is_responsive));
        call!([self.tasks, cx], set_shard(shard, owner));
    }

    pub(crate) fn leave(&mut self, _cx: CX![]) {
        self.state = TargetState::Leaving;
        self.announce();
    }
}
