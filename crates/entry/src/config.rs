//! The tables in force: read from the store, never taken back to a lower generation.

mod sync;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use base::prelude::*;
use ports::store::{KeyValue, Revision, StoreCall, StoreReply};
use slog::{error, info, warn};
use stakker::{Actor, CX, after, call};
use tables::{InForce, Offer, Tables, TablesDoc};
use wire::operator::StoreHealth;
use wire::{Answer, Call, CallToken, EntryInfo, Gossip, Part, Reply};

use self::sync::{READ_EVERY, Source, Sync, WATCH_WAIT};
use crate::EntryCfg;
use crate::event::StoreToken;
use crate::member::MemberActor;
use crate::ports::{Ports, StorePriority};
use crate::request::RequestActor;
use crate::shard::ShardActor;
use crate::snapshot::TablesSnapshot;

/// How long a question to another process may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Which store call a reply belongs to.
const READ: u64 = 0;
const WATCH: u64 = 1;

/// Keeps the highest generation of the tables that this entry has seen.
pub(crate) struct ConfigActor {
    cfg: Arc<EntryCfg>,
    ports: Ports,
    sync: Sync,
    in_force: InForce,
    calls: u64,
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
        let sync = Sync::new(cfg.peers.clone(), cx.now());
        let this = Self {
            cfg,
            ports,
            sync,
            in_force: InForce::default(),
            calls: 0,
            request,
            shard,
            member,
            snapshot: Arc::default(),
        };
        this.read();
        this.watch();
        this.ask_later(cx);
        Some(this)
    }

    /// Reads the tables, or only what changed since, so that no tables travel in vain.
    fn read(&self) {
        let call = if self.sync.must_read() {
            let key = TablesDoc::KEY.into();
            StoreCall::Get { key }
        } else {
            changes(self.sync.seen(), Duration::ZERO)
        };
        self.call_store(READ, call);
    }

    fn watch(&self) {
        self.call_store(WATCH, changes(self.sync.seen(), WATCH_WAIT));
    }

    fn call_store(&self, id: u64, call: StoreCall) {
        let part = Part::Config;
        let token = StoreToken { part, id };
        self.ports.store.submit(StorePriority::Config, token, call);
    }

    pub(crate) fn store_reply(&mut self, cx: CX![], id: u64, reply: Result<StoreReply>) {
        let is_ok = reply.is_ok();
        match reply {
            Ok(StoreReply::Got(found)) => {
                let revision = found.as_ref().map_or(0, |kv| kv.revision);
                self.sync.was_read();
                self.sync.store_answered(cx.now(), revision);
                if let Some(KeyValue { key, value, .. }) = found {
                    self.read_value(cx, &key, &value);
                }
            }
            Ok(StoreReply::Watched {
                events,
                revision,
                compacted,
            }) => {
                self.sync.changes_told(revision, compacted);
                self.sync.store_answered(cx.now(), revision);
                for event in events {
                    if let Some(value) = event.value {
                        self.read_value(cx, &event.key, &value);
                    }
                }
            }
            Ok(_) => {}
            Err(e) => warn!(self.ports.log, "config: no tables from the store: {}", e),
        }
        if id == READ {
            after!(READ_EVERY, [cx], |this, _cx| this.read());
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
                "config: unreadable tables in the store: {}", e
            ),
        }
    }

    /// Puts tables in force where their generation is higher than what is.
    pub(crate) fn offer(&mut self, cx: CX![], doc: TablesDoc) {
        let generation = doc.generation;
        match self.in_force.offer(doc.clone()) {
            Offer::Taken(tables) => {
                info!(
                    self.ports.log,
                    "config: generation {} is in force", generation
                );
                self.publish(cx, &tables, doc);
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

    /// Asks other processes from time to time while the store is silent.
    fn ask_later(&self, cx: CX![]) {
        after!(READ_EVERY, [cx], |this, cx| {
            for source in this.sync.ask_for_lack_of_store(cx.now()) {
                this.ask(source);
            }
            this.ask_later(cx);
        });
    }

    fn ask(&mut self, source: Source) {
        self.calls += 1;
        let token = CallToken {
            part: Part::Config,
            id: self.calls,
        };
        let (to, call) = match source {
            Source::Entry(to) => (to, Call::Gossip(Box::new(self.question()))),
            Source::Companion(to) => (to, Call::Tables),
        };
        self.ports.calls.submit(to, token, ASK_TIMEOUT, call);
    }

    /// Returns gossip that tells nothing but this entry's generation.
    fn question(&self) -> Gossip {
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

    pub(crate) fn answer(&mut self, cx: CX![], answer: Result<Answer>) {
        let doc = match answer {
            Ok(Answer::Gossip(gossip)) => gossip.tables,
            Ok(Answer::Tables(doc)) => doc.map(|doc| *doc),
            _ => None,
        };
        if let Some(doc) = doc {
            self.offer(cx, doc);
        }
    }

    /// Takes notice that a companion applies a generation.
    pub(crate) fn companion_at(&mut self, _cx: CX![], generation: Generation, addr: SocketAddr) {
        if generation > self.in_force.generation() {
            self.ask(Source::Companion(addr));
        }
    }

    pub(crate) fn tables(&mut self, _cx: CX![], reply: Reply<Option<TablesDoc>>) {
        reply.send(self.in_force.doc().cloned());
    }

    pub(crate) fn store_health(&mut self, cx: CX![], reply: Reply<StoreHealth>) {
        let age = self.sync.store_age(cx.now());
        let is_reachable = age.is_some_and(|age| age < 2 * READ_EVERY);
        let answered_ms_ago = age.map(|age| age.as_millis() as u64);
        reply.send(StoreHealth {
            is_reachable,
            answered_ms_ago,
        });
    }
}

/// Asks for the changes of the tables after a revision.
fn changes(after: Revision, wait: Duration) -> StoreCall {
    StoreCall::Watch {
        prefix: TablesDoc::KEY.into(),
        after,
        wait,
    }
}
