//! The tables in force, read from the store. Their generation never decreases.

mod sync;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use base::prelude::*;
use ports::store::{KeyValue, Revision, StoreCall, StoreReply};
use slog::{error, info, warn};
use stakker::{Actor, CX, after, call};
use tables::{ActiveTables, Tables, TablesDoc, TablesUpdate};
use wire::operator::StoreHealth;
use wire::{Call, CallResponse, CallToken, Component, EntryInfo, Gossip, Responder};

use self::sync::{READ_INTERVAL, Source, TablesSync, WATCH_WAIT};
use crate::EntryCfg;
use crate::event::StoreToken;
use crate::member::MemberActor;
use crate::ports::{Ports, StorePriority};
use crate::request::RequestActor;
use crate::shard::ShardActor;
use crate::snapshot::TablesSnapshot;

/// Timeout of a query for tables to another process.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Id of the store call that reads the tables.
const READ: u64 = 0;

/// Id of the store call that watches the tables.
const WATCH: u64 = 1;

/// Keeps the highest generation of the tables that this entry has seen.
pub(crate) struct ConfigActor {
    cfg: Arc<EntryCfg>,
    ports: Ports,
    sync: TablesSync,
    in_force: ActiveTables,
    next_call: u64,
    request: Actor<RequestActor>,
    shard: Actor<ShardActor>,
    member: Actor<MemberActor>,
    snapshot: Arc<TablesSnapshot>,
}

impl ConfigActor {
    pub(crate) fn init(
        cx: CX![],
        cfg: Arc<EntryCfg>,
        ports: Ports,
        _seed: u64,
        request: Actor<RequestActor>,
        shard: Actor<ShardActor>,
        member: Actor<MemberActor>,
    ) -> Option<Self> {
        let sync = TablesSync::new(cfg.peers.clone(), cx.now());
        let this = Self {
            cfg,
            ports,
            sync,
            in_force: ActiveTables::default(),
            next_call: 0,
            request,
            shard,
            member,
            snapshot: Arc::default(),
        };
        this.read();
        this.watch();
        this.schedule_peer_queries(cx);
        Some(this)
    }

    /// Reads the tables, or only their changes since the last read to save traffic.
    fn read(&self) {
        let call = if self.sync.needs_full_read() {
            let key = TablesDoc::KEY.into();
            StoreCall::Get { key }
        } else {
            watch_call(self.sync.seen(), Duration::ZERO)
        };
        self.call_store(READ, call);
    }

    fn watch(&self) {
        self.call_store(WATCH, watch_call(self.sync.seen(), WATCH_WAIT));
    }

    fn call_store(&self, id: u64, call: StoreCall) {
        let component = Component::Config;
        let token = StoreToken { component, id };
        self.ports.store.submit(StorePriority::Config, token, call);
    }

    pub(crate) fn store_reply(&mut self, cx: CX![], id: u64, reply: Result<StoreReply>) {
        let is_ok = reply.is_ok();
        match reply {
            Ok(StoreReply::Got(found)) => {
                let revision = found.as_ref().map_or(0, |kv| kv.revision);
                self.sync.record_full_read();
                self.sync.record_response(cx.now(), revision);
                if let Some(KeyValue { key, value, .. }) = found {
                    self.read_value(cx, &key, &value);
                }
            }
            Ok(StoreReply::Watched {
                events,
                revision,
                compacted,
            }) => {
                self.sync.record_changes(revision, compacted);
                self.sync.record_response(cx.now(), revision);
                for event in events {
                    if let Some(value) = event.value {
                        self.read_value(cx, &event.key, &value);
                    }
                }
            }
            Ok(_) => {}
            Err(e) => warn!(
                self.ports.log,
                "config: failed to read tables from the store: {}", e
            ),
        }
        if id == READ {
            after!(READ_INTERVAL, [cx], |this, _cx| this.read());
        } else {
            let pause = self.sync.watch_ended(is_ok);
            after!(pause, [cx], |this, _cx| this.watch());
        }
    }

    fn read_value(&mut self, cx: CX![], key: &str, value: &[u8]) {
        if key != TablesDoc::KEY {
            return;
        }
        match serde_json::from_slice::<TablesDoc>(value) {
            Ok(doc) => self.offer(cx, doc),
            Err(e) => error!(
                self.ports.log,
                "config: failed to decode the tables in the store: {}", e
            ),
        }
    }

    /// Puts tables in force if their generation is higher than that of the tables in force.
    pub(crate) fn offer(&mut self, cx: CX![], doc: TablesDoc) {
        let generation = doc.generation;
        match self.in_force.update(doc.clone()) {
            TablesUpdate::Applied(tables) => {
                info!(
                    self.ports.log,
                    "config: generation {} is in force", generation
                );
                self.publish(cx, &tables, doc);
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

    pub(crate) fn set_snapshot(&mut self, _cx: CX![], snapshot: Arc<TablesSnapshot>) {
        if self.in_force.doc().is_some() {
            snapshot.set(Arc::clone(self.in_force.tables()));
        }
        self.snapshot = snapshot;
    }

    fn publish(&self, cx: CX![], tables: &Arc<Tables>, doc: TablesDoc) {
        self.snapshot.set(Arc::clone(tables));
        call!([self.request, cx], set_tables(Arc::clone(tables)));
        call!([self.shard, cx], set_tables(Arc::clone(tables)));
        call!([self.member, cx], set_tables(Arc::clone(tables), doc));
    }

    /// Schedules queries to other processes, made while the store is unresponsive.
    fn schedule_peer_queries(&self, cx: CX![]) {
        after!(READ_INTERVAL, [cx], |this, cx| {
            for source in this.sync.peers_to_query(cx.now()) {
                this.query_peer(source);
            }
            this.schedule_peer_queries(cx);
        });
    }

    fn query_peer(&mut self, source: Source) {
        self.next_call += 1;
        let token = CallToken {
            component: Component::Config,
            id: self.next_call,
        };
        let (to, call) = match source {
            Source::Entry(to) => (to, Call::Gossip(Box::new(self.generation_query()))),
            Source::Companion(to) => (to, Call::Tables),
        };
        self.ports.calls.submit(to, token, PEER_QUERY_TIMEOUT, call);
    }

    /// Returns gossip that carries only this entry's generation, to be answered with newer tables.
    fn generation_query(&self) -> Gossip {
        Gossip {
            from: EntryInfo {
                entry: self.cfg.entry.clone(),
                zone: self.cfg.zone.clone(),
                http_addr: self.cfg.http_addr,
                rpc_addr: self.cfg.rpc_addr,
                generation: self.in_force.generation(),
            },
            entries: Vec::new(),
            owners: Vec::new(),
            leaving: Vec::new(),
            demand: Vec::new(),
            tables: None,
            targets: Vec::new(),
            wants_targets: false,
            is_stopping: false,
        }
    }

    pub(crate) fn call_response(&mut self, cx: CX![], response: Result<CallResponse>) {
        let doc = match response {
            Ok(CallResponse::Gossip(gossip)) => gossip.tables,
            Ok(CallResponse::Tables(doc)) => doc.map(|doc| *doc),
            _ => None,
        };
        if let Some(doc) = doc {
            self.offer(cx, doc);
        }
    }

    /// Queries a companion for its tables if it applies a higher generation than this entry.
    pub(crate) fn companion_generation(
        &mut self,
        _cx: CX![],
        generation: Generation,
        addr: SocketAddr,
    ) {
        if generation > self.in_force.generation() {
            self.query_peer(Source::Companion(addr));
        }
    }

    pub(crate) fn tables(&mut self, _cx: CX![], reply: Responder<Option<TablesDoc>>) {
        reply.send(self.in_force.doc().cloned());
    }

    pub(crate) fn store_health(&mut self, cx: CX![], reply: Responder<StoreHealth>) {
        let age = self.sync.store_age(cx.now());
        let is_reachable = age.is_some_and(|age| age < 2 * READ_INTERVAL);
        let answered_ms_ago = age.map(|age| age.as_millis() as u64);
        reply.send(StoreHealth {
            is_reachable,
            answered_ms_ago,
        });
    }
}

/// Returns the store call that watches for changes of the tables after a revision.
fn watch_call(after: Revision, wait: Duration) -> StoreCall {
    StoreCall::Watch {
        prefix: TablesDoc::KEY.into(),
        after,
        wait,
    }
}
