//! Who is there: companions that announce themselves, other entries, owners of shards.

use base::prelude::*;
use journal::{Keys, OwnerValue};
use platform::store::{Expect, KeyValue, LeaseId, StoreCall, StoreReply};
use slog::info;
use stakker::{Actor, CX, after, call};
use tables::{Tables, TablesDoc};
use wire::operator::Status;
use wire::timing::ANNOUNCE_TTL;
use wire::{
    AnnounceReply, Announcement, Answer, Call, CallToken, EntryInfo, Gossip, Part, Reply,
    ShardOwner, TargetState,
};

use crate::EntryCfg;
use crate::config::ConfigActor;
use crate::event::StoreToken;
use crate::ports::{Ports, StorePriority};
use crate::request::RequestActor;
use crate::shard::ShardActor;

/// How often presence is renewed and others' is read.
const HEARTBEAT_EVERY: Duration = Duration::from_secs(1);

/// How long an entry counts as there after its last renewal.
const PRESENCE_TTL: Duration = Duration::from_secs(5);

/// How long the message of a planned stop may take.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The prefix of the keys under which entries are present.
const PRESENCE_PREFIX: &str = "entry/";

/// How many keys one read returns at most.
const READ_LIMIT: usize = 1_000;

/// What an awaited store call was for.
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

/// A companion as last heard.
struct Heard {
    announcement: Announcement,
    at: Instant,
}

/// Keeps the view of the fleet.
pub(crate) struct MemberActor {
    cfg: Arc<EntryCfg>,
    ports: Ports,
    request: Actor<RequestActor>,
    shard: Actor<ShardActor>,
    config: Option<Actor<ConfigActor>>,
    generation: Generation,
    doc: Option<TablesDoc>,
    targets: IndexMap<TargetId, Heard>,
    entries: IndexMap<EntryId, EntryInfo>,
    owners: IndexMap<ShardId, ShardOwner>,
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
        let mut this = Self {
            cfg,
            ports,
            request,
            shard,
            config: None,
            generation: Generation(0),
            doc: None,
            targets: IndexMap::new(),
            entries: IndexMap::new(),
            owners: IndexMap::new(),
            lease: None,
            is_stopping: false,
        };
        this.heartbeat(cx);
        Some(this)
    }

    pub(crate) fn set_config(&mut self, _cx: CX![], config: Actor<ConfigActor>) {
        self.config = Some(config);
    }

    pub(crate) fn set_tables(&mut self, _cx: CX![], tables: Arc<Tables>, doc: TablesDoc) {
        self.generation = tables.generation;
        self.doc = Some(doc);
        // Others read the generation that this entry applies from its presence.
        if let Some(lease) = self.lease {
            self.announce_self(lease);
        }
    }

    fn info(&self) -> EntryInfo {
        EntryInfo {
            entry: self.cfg.entry.clone(),
            zone: self.cfg.zone.clone(),
            http_addr: self.cfg.http_addr,
            rpc_addr: self.cfg.rpc_addr,
            generation: self.generation,
        }
    }

    /// Renews presence, reads others' and forgets companions that fell silent.
    fn heartbeat(&mut self, cx: CX![]) {
        match self.lease {
            Some(lease) => self.call(Purpose::Renew, StoreCall::LeaseRenew { lease }),
            None => self.call(Purpose::Grant, StoreCall::LeaseGrant { ttl: PRESENCE_TTL }),
        }
        self.list(Purpose::ReadEntries, PRESENCE_PREFIX);
        self.list(Purpose::ReadOwners, Keys::OWNERS);
        self.expire_targets(cx);
        after!(HEARTBEAT_EVERY, [cx], |this, cx| this.heartbeat(cx));
    }

    fn list(&self, purpose: Purpose, prefix: &str) {
        let call = StoreCall::List {
            prefix: prefix.into(),
            after: None,
            limit: READ_LIMIT,
        };
        self.call(purpose, call);
    }

    fn call(&self, purpose: Purpose, call: StoreCall) {
        let token = StoreToken {
            part: Part::Member,
            id: purpose as u64,
        };
        self.ports.store.submit(StorePriority::Lease, token, call);
    }

    fn expire_targets(&mut self, cx: CX![]) {
        let now = cx.now();
        let silent: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, heard)| now.duration_since(heard.at) > ANNOUNCE_TTL)
            .map(|(target, _)| target.clone())
            .collect();
        for target in silent {
            self.targets.swap_remove(&target);
            info!(self.ports.log, "member: target {} is silent", target);
            call!([self.request, cx], target_gone(target));
        }
    }

    pub(crate) fn store_reply(&mut self, _cx: CX![], id: u64, reply: Result<StoreReply>) {
        let Some(purpose) = Purpose::ALL.into_iter().find(|p| *p as u64 == id) else {
            return;
        };
        match (purpose, reply) {
            (Purpose::Grant, Ok(StoreReply::Leased { lease, .. })) => self.announce_self(lease),
            (Purpose::Renew, Ok(StoreReply::LeaseGone)) => self.lease = None,
            (Purpose::ReadEntries, Ok(StoreReply::Listed(found))) => self.read_entries(&found),
            (Purpose::ReadOwners, Ok(StoreReply::Listed(found))) => self.read_owners(_cx, &found),
            _ => {}
        }
    }

    fn announce_self(&mut self, lease: LeaseId) {
        self.lease = Some(lease);
        let call = StoreCall::Put {
            key: format!("{PRESENCE_PREFIX}{}", self.cfg.entry).into(),
            value: serde_json::to_vec(&self.info()).unwrap_or_default().into(),
            expect: Expect::Any,
            lease: Some(lease),
        };
        self.call(Purpose::Announce, call);
    }

    fn read_entries(&mut self, found: &[KeyValue]) {
        self.entries = found
            .iter()
            .filter_map(|kv| serde_json::from_slice::<EntryInfo>(&kv.value).ok())
            .map(|info| (info.entry.clone(), info))
            .collect();
    }

    fn read_owners(&mut self, cx: CX![], found: &[KeyValue]) {
        self.owners = found
            .iter()
            .filter_map(|kv| OwnerValue::decode(&kv.value))
            .filter(|value| value.epoch > Epoch(0))
            .map(|value| (value.shard, owner_of(value)))
            .collect();
        call!([self.shard, cx], set_owners(self.owners.clone()));
        call!([self.request, cx], set_owners(self.owners.clone()));
    }

    pub(crate) fn announce(&mut self, cx: CX![], msg: Announcement, reply: Reply<AnnounceReply>) {
        let now = cx.now();
        let stale = self.targets.get(&msg.target).is_some_and(|heard| {
            let known = &heard.announcement;
            known.incarnation == msg.incarnation && known.sequence >= msg.sequence
        });
        let tables = self
            .doc
            .clone()
            .filter(|doc| doc.generation > msg.generation);
        if let Some(config) = &self.config {
            call!([config, cx], companion_at(msg.generation, msg.rpc_addr));
        }
        if !stale {
            if !self.targets.contains_key(&msg.target) {
                info!(
                    self.ports.log,
                    "member: target {} announced itself", msg.target
                );
            }
            let announcement = msg;
            call!([self.request, cx], target(announcement.clone()));
            self.targets.insert(
                announcement.target.clone(),
                Heard {
                    announcement,
                    at: now,
                },
            );
        }
        let mut entries: Vec<EntryInfo> = self.entries.values().cloned().collect();
        if !self.entries.contains_key(&self.cfg.entry) && !self.is_stopping {
            entries.push(self.info());
        }
        let owners = self.owners.values().cloned().collect();
        reply.send(AnnounceReply {
            generation: self.generation,
            tables,
            entries,
            owners,
        });
    }

    pub(crate) fn gossip(&mut self, cx: CX![], msg: Box<Gossip>, reply: Reply<Gossip>) {
        if let (Some(doc), Some(config)) = (msg.tables, &self.config) {
            call!([config, cx], offer(doc));
        }
        for (target, incarnation) in msg.leaving {
            call!([self.request, cx], target_leaving(target, incarnation));
        }
        let tables = self
            .doc
            .clone()
            .filter(|doc| doc.generation > msg.from.generation);
        reply.send(Gossip {
            from: self.info(),
            entries: self.entries.values().cloned().collect(),
            owners: self.owners.values().cloned().collect(),
            leaving: self.leaving(),
            demand: Vec::new(),
            tables,
        });
    }

    fn leaving(&self) -> Vec<(TargetId, Incarnation)> {
        self.targets
            .values()
            .map(|heard| &heard.announcement)
            .filter(|a| a.state == TargetState::Leaving)
            .map(|a| (a.target.clone(), a.incarnation))
            .collect()
    }

    pub(crate) fn answer(&mut self, _cx: CX![], _id: u64, _answer: Result<Answer>) {}

    /// Tells a target's companion to begin a planned stop.
    pub(crate) fn drain(&mut self, _cx: CX![], target: TargetId, reply: Reply<bool>) {
        let heard = self.targets.get(&target);
        if let Some(heard) = heard {
            let token = CallToken {
                part: Part::Config,
                id: 0,
            };
            let to = heard.announcement.rpc_addr;
            self.ports
                .calls
                .submit(to, token, DRAIN_TIMEOUT, Call::Drain);
            info!(self.ports.log, "member: target {} is to leave", target);
        }
        reply.send(heard.is_some());
    }

    pub(crate) fn status(&mut self, _cx: CX![], reply: Reply<Status>) {
        let targets = self.targets.values();
        reply.send(Status {
            entry: self.info(),
            entries: self.entries.values().cloned().collect(),
            owners: self.owners.values().cloned().collect(),
            targets: targets.map(|heard| heard.announcement.clone()).collect(),
            store: None,
            shards: Vec::new(),
            promises: Vec::new(),
        });
    }

    pub(crate) fn stop(&mut self, _cx: CX![]) {
        self.is_stopping = true;
        if let Some(lease) = self.lease.take() {
            self.call(Purpose::Announce, StoreCall::LeaseRevoke { lease });
        }
    }
}

/// Returns the owner that a value of the store tells.
fn owner_of(value: OwnerValue) -> ShardOwner {
    ShardOwner {
        shard: value.shard,
        pool: value.pool,
        epoch: value.epoch,
        entry: value.entry,
        rpc_addr: value.rpc_addr,
    }
}
