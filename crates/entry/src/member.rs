//! Membership of the fleet: announced companions, other entries and the owners of shards.

use std::net::SocketAddr;

use base::prelude::*;
use journal::{Keys, OwnerValue};
use member::{Freshness, View};
use ports::store::{Expect, KeyValue, LeaseId, StoreCall, StoreReply};
use slog::info;
use stakker::{Actor, CX, after, call};
use tables::{Tables, TablesDoc};
use wire::operator::Status;
use wire::{
    AnnounceReply, Announcement, Call, CallResponse, CallToken, Component, EntryInfo, Gossip,
    Responder, ShardOwner,
};

use crate::EntryCfg;
use crate::config::ConfigActor;
use crate::event::StoreToken;
use crate::ports::{Ports, StorePriority};
use crate::request::RequestActor;
use crate::shard::ShardActor;

/// Interval at which this entry renews its presence and reads that of other entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How long an entry counts as present after its last renewal.
const PRESENCE_TTL: Duration = Duration::from_secs(5);

/// Timeout of the call that begins a target's planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a gossip call to another entry.
const GOSSIP_TIMEOUT: Duration = Duration::from_secs(2);

/// The prefix of the keys under which entries are present.
const PRESENCE_PREFIX: &str = "entry/";

/// How many keys one read returns at most.
const READ_LIMIT: usize = 1_000;

/// The purpose of a store call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Grant,
    Renew,
    Announce,
    ReadEntries,
    ReadOwners,
}

impl Purpose {
    const ALL: [Self; 5] = [
        Self::Grant,
        Self::Renew,
        Self::Announce,
        Self::ReadEntries,
        Self::ReadOwners,
    ];
}

/// Maintains this entry's view of the fleet.
pub(crate) struct MemberActor {
    cfg: Arc<EntryCfg>,
    ports: Ports,
    request: Actor<RequestActor>,
    shard: Actor<ShardActor>,
    config: Option<Actor<ConfigActor>>,
    generation: Generation,
    doc: Option<TablesDoc>,
    view: View,
    /// The entries to which the gossip calls in flight were sent, by call id.
    calls: IndexMap<u64, SocketAddr>,
    next_call: u64,
    demand: Vec<(Name, f64)>,
    lease: Option<LeaseId>,
    is_stopping: bool,
}

impl MemberActor {
    pub(crate) fn init(
        cx: CX![],
        cfg: Arc<EntryCfg>,
        ports: Ports,
        _seed: u64,
        request: Actor<RequestActor>,
        shard: Actor<ShardActor>,
    ) -> Option<Self> {
        let view = View::new(cx.now(), cfg.entry.clone(), cfg.peers.clone());
        let mut this = Self {
            cfg,
            ports,
            request,
            shard,
            config: None,
            generation: Generation(0),
            doc: None,
            view,
            calls: IndexMap::new(),
            next_call: 0,
            demand: Vec::new(),
            lease: None,
            is_stopping: false,
        };
        this.heartbeat(cx);
        Some(this)
    }

    pub(crate) fn set_config(&mut self, _cx: CX![], config: Actor<ConfigActor>) {
        self.config = Some(config);
    }

    pub(crate) fn set_demand(&mut self, _cx: CX![], demand: Vec<(Name, f64)>) {
        self.demand = demand;
    }

    pub(crate) fn set_tables(&mut self, _cx: CX![], tables: Arc<Tables>, doc: TablesDoc) {
        self.generation = tables.generation;
        self.doc = Some(doc);
        // Other entries read the generation that this entry applies from its presence key.
        if let Some(lease) = self.lease {
            self.announce_self(lease);
        }
    }

    fn entry_info(&self) -> EntryInfo {
        EntryInfo {
            entry: self.cfg.entry.clone(),
            zone: self.cfg.zone.clone(),
            http_addr: self.cfg.http_addr,
            rpc_addr: self.cfg.rpc_addr,
            generation: self.generation,
        }
    }

    /// Renews this entry's presence, reads that of others and removes unresponsive companions.
    fn heartbeat(&mut self, cx: CX![]) {
        match self.lease {
            Some(lease) => self.call(Purpose::Renew, StoreCall::LeaseRenew { lease }),
            None if self.is_stopping => {}
            None => self.call(Purpose::Grant, StoreCall::LeaseGrant { ttl: PRESENCE_TTL }),
        }
        self.list_keys(Purpose::ReadEntries, PRESENCE_PREFIX);
        self.list_keys(Purpose::ReadOwners, Keys::OWNERS);
        self.expire_targets(cx);
        self.gossip_to_peers(cx.now());
        after!(HEARTBEAT_INTERVAL, [cx], |this, cx| this.heartbeat(cx));
    }

    fn list_keys(&self, purpose: Purpose, prefix: &str) {
        let call = StoreCall::List {
            prefix: prefix.into(),
            after: None,
            limit: READ_LIMIT,
        };
        self.call(purpose, call);
    }

    fn call(&self, purpose: Purpose, call: StoreCall) {
        let token = StoreToken {
            component: Component::Member,
            id: purpose as u64,
        };
        self.ports.store.submit(StorePriority::Lease, token, call);
    }

    fn expire_targets(&mut self, cx: CX![]) {
        for target in self.view.expire(cx.now()) {
            info!(self.ports.log, "member: target {} is unresponsive", target);
            call!([self.request, cx], target_gone(target));
        }
    }

    /// Sends this entry's view to the other entries, whose responses carry theirs.
    fn gossip_to_peers(&mut self, now: Instant) {
        for to in self.view.peers(self.cfg.rpc_addr) {
            let known = self.view.entries().find(|info| info.rpc_addr == to);
            let tables = known.and_then(|info| self.tables_newer_than(info.generation));
            let msg = Gossip {
                tables,
                is_stopping: self.is_stopping,
                demand: self.demand.clone(),
                ..self.view.gossip(now, self.entry_info(), false)
            };
            self.next_call += 1;
            self.calls.insert(self.next_call, to);
            let token = CallToken {
                component: Component::Member,
                id: self.next_call,
            };
            let call = Call::Gossip(Box::new(msg));
            self.ports.calls.submit(to, token, GOSSIP_TIMEOUT, call);
        }
    }

    /// Returns the tables in force here, if their generation is higher than `generation`.
    fn tables_newer_than(&self, generation: Generation) -> Option<TablesDoc> {
        self.doc.clone().filter(|doc| doc.generation > generation)
    }

    pub(crate) fn store_reply(&mut self, cx: CX![], id: u64, reply: Result<StoreReply>) {
        let Some(purpose) = Purpose::ALL.into_iter().find(|p| *p as u64 == id) else {
            return;
        };
        match (purpose, reply) {
            (Purpose::Grant, Ok(StoreReply::Leased { lease, .. })) => self.announce_self(lease),
            (Purpose::Renew, Ok(StoreReply::LeaseGone)) => self.lease = None,
            (Purpose::ReadEntries, Ok(StoreReply::Listed(found))) => self.read_entries(cx, &found),
            (Purpose::ReadOwners, Ok(StoreReply::Listed(found))) => self.read_owners(cx, &found),
            _ => {}
        }
    }

    fn announce_self(&mut self, lease: LeaseId) {
        self.lease = Some(lease);
        let call = StoreCall::Put {
            key: format!("{PRESENCE_PREFIX}{}", self.cfg.entry).into(),
            value: serde_json::to_vec(&self.entry_info())
                .unwrap_or_default()
                .into(),
            expect: Expect::Any,
            lease: Some(lease),
        };
        self.call(Purpose::Announce, call);
    }

    fn read_entries(&mut self, cx: CX![], found: &[KeyValue]) {
        let present = found
            .iter()
            .filter_map(|kv| serde_json::from_slice::<EntryInfo>(&kv.value).ok())
            .collect();
        self.view.record_entries(cx.now(), present);
    }

    fn read_owners(&mut self, cx: CX![], found: &[KeyValue]) {
        let owners: Vec<ShardOwner> = found
            .iter()
            .filter_map(|kv| OwnerValue::decode(&kv.value))
            .filter(|value| value.epoch > Epoch(0))
            .map(shard_owner)
            .collect();
        self.merge_owners(cx, owners);
    }

    fn merge_owners(&mut self, cx: CX![], owners: Vec<ShardOwner>) {
        if self.view.merge_owners(owners) {
            let owners = self.view.owners();
            call!([self.shard, cx], set_owners(owners.clone()));
            call!([self.request, cx], set_owners(owners.clone()));
        }
    }

    pub(crate) fn announce(
        &mut self,
        cx: CX![],
        msg: Announcement,
        reply: Responder<AnnounceReply>,
    ) {
        if let Some(config) = &self.config {
            call!(
                [config, cx],
                companion_generation(msg.generation, msg.rpc_addr)
            );
        }
        let change = self.view.record_announcement(cx.now(), &msg);
        if change == Freshness::New {
            info!(
                self.ports.log,
                "member: target {} announced itself", msg.target
            );
        }
        if change != Freshness::Stale
            && let Some(announcement) = self.view.target(&msg.target).cloned()
        {
            call!([self.request, cx], target(announcement));
        }
        reply.send(AnnounceReply {
            generation: self.generation,
            tables: self.tables_newer_than(msg.generation),
            entries: self.active_entries(),
            owners: self.view.owners().values().cloned().collect(),
        });
    }

    /// Returns the entries that accept work, including this one unless it is stopping.
    fn active_entries(&self) -> Vec<EntryInfo> {
        let me = (!self.is_stopping).then(|| self.entry_info());
        me.into_iter().chain(self.view.entries().cloned()).collect()
    }

    pub(crate) fn gossip(&mut self, cx: CX![], msg: Box<Gossip>, reply: Responder<Gossip>) {
        let tables = self.tables_newer_than(msg.from.generation);
        let response = Gossip {
            tables,
            is_stopping: self.is_stopping,
            demand: self.demand.clone(),
            ..self
                .view
                .gossip(cx.now(), self.entry_info(), msg.wants_targets)
        };
        reply.send(response);
        self.merge_gossip(cx, *msg, false);
    }

    pub(crate) fn call_response(&mut self, cx: CX![], id: u64, response: Result<CallResponse>) {
        let Some(from) = self.calls.swap_remove(&id) else {
            return;
        };
        match response {
            Ok(CallResponse::Gossip(msg)) => self.merge_gossip(cx, *msg, true),
            _ => self.view.record_failure(from),
        }
    }

    /// Merges gossip from another entry into the view and informs the other actors.
    fn merge_gossip(&mut self, cx: CX![], msg: Gossip, is_response: bool) {
        let news = self.view.merge(cx.now(), &msg, is_response);
        for announcement in news {
            info!(
                self.ports.log,
                "member: learned of target {} from entry {}", announcement.target, msg.from.entry
            );
            call!([self.request, cx], target(announcement));
        }
        for (target, incarnation) in msg.leaving {
            call!([self.request, cx], target_leaving(target, incarnation));
        }
        if let (Some(doc), Some(config)) = (msg.tables, &self.config) {
            call!([config, cx], offer(doc));
        }
        let entry = msg.from.entry;
        if msg.is_stopping {
            call!([self.request, cx], peer_gone(entry));
        } else {
            call!([self.request, cx], peer_demand(entry, msg.demand));
        }
        self.merge_owners(cx, msg.owners);
    }

    /// Replies whether this entry can route requests and is not stopping.
    pub(crate) fn ready(&mut self, cx: CX![], reply: Responder<bool>) {
        let has_tables = self.doc.is_some();
        reply.send(has_tables && !self.is_stopping && self.view.is_ready(cx.now()));
    }

    /// Tells a target's companion to begin a planned stop; replies whether the target is known.
    pub(crate) fn drain(&mut self, _cx: CX![], target: TargetId, reply: Responder<bool>) {
        let known = self.view.target(&target);
        if let Some(announcement) = known {
            let token = CallToken {
                component: Component::Config,
                id: 0,
            };
            let to = announcement.rpc_addr;
            self.ports
                .calls
                .submit(to, token, DRAIN_TIMEOUT, Call::Drain);
            info!(
                self.ports.log,
                "member: begins planned stop of target {}", target
            );
        }
        reply.send(known.is_some());
    }

    pub(crate) fn status(&mut self, _cx: CX![], reply: Responder<Status>) {
        reply.send(Status {
            entry: self.entry_info(),
            entries: self.active_entries(),
            owners: self.view.owners().values().cloned().collect(),
            targets: self.view.targets().cloned().collect(),
            store: None,
            shards: Vec::new(),
            promises: Vec::new(),
        });
    }

    pub(crate) fn stop(&mut self, cx: CX![]) {
        self.is_stopping = true;
        self.gossip_to_peers(cx.now());
        if let Some(lease) = self.lease.take() {
            self.call(Purpose::Announce, StoreCall::LeaseRevoke { lease });
        }
    }
}

/// Converts the stored value of a shard's owner key.
fn shard_owner(value: OwnerValue) -> ShardOwner {
    ShardOwner {
        shard: value.shard,
        pool: value.pool,
        epoch: value.epoch,
        entry: value.entry,
        rpc_addr: value.rpc_addr,
    }
}
