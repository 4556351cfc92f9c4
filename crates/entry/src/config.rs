//! The tables in force: read from the store, never taken back to a lower generation.

use base::prelude::*;
use platform::store::{StoreCall, StoreReply};
use slog::{error, info};
use stakker::{Actor, CX, after, call};
use tables::{Tables, TablesDoc};
use wire::{Part, Reply};

use crate::EntryCfg;
use crate::event::StoreToken;
use crate::member::MemberActor;
use crate::ports::{Ports, StorePriority};
use crate::request::RequestActor;
use crate::shard::ShardActor;
use crate::snapshot::TablesSnapshot;

/// How often the tables are read from the store.
const READ_EVERY: Duration = Duration::from_millis(500);

/// Keeps the highest generation of the tables that this entry has seen.
pub(crate) struct ConfigActor {
    ports: Ports,
    doc: Option<TablesDoc>,
    tables: Option<Arc<Tables>>,
    request: Actor<RequestActor>,
    shard: Actor<ShardActor>,
    member: Actor<MemberActor>,
    snapshot: Arc<TablesSnapshot>,
}

impl ConfigActor {
    pub(crate) fn init(
        cx: CX![],
        _cfg: Arc<EntryCfg>,
        ports: Ports,
        _seed: u64,
        request: Actor<RequestActor>,
        shard: Actor<ShardActor>,
        member: Actor<MemberActor>,
    ) -> Option<Self> {
        let this = Self {
            ports,
            doc: None,
            tables: None,
            request,
            shard,
            member,
            snapshot: Arc::default(),
        };
        this.read(cx);
        Some(this)
    }

    /// Asks the store for the tables.
    fn read(&self, _cx: CX![]) {
        let token = StoreToken {
            part: Part::Config,
            id: 0,
        };
        let call = StoreCall::Get {
            key: TablesDoc::KEY.into(),
        };
        self.ports.store.submit(StorePriority::Config, token, call);
    }

    pub(crate) fn store_reply(&mut self, cx: CX![], _id: u64, reply: Result<StoreReply>) {
        if let Ok(StoreReply::Got(Some(kv))) = reply {
            match serde_json::from_slice::<TablesDoc>(&kv.value) {
                Ok(doc) => self.offer(cx, doc),
                Err(e) => error!(
                    self.ports.log,
                    "config: unreadable tables in the store: {}", e
                ),
            }
        }
        after!(READ_EVERY, [cx], |this, cx| this.read(cx));
    }

    /// Puts tables in force where their generation is higher than what is.
    pub(crate) fn offer(&mut self, cx: CX![], doc: TablesDoc) {
        let current = self
            .doc
            .as_ref()
            .map_or(Generation(0), |doc| doc.generation);
        if doc.generation <= current {
            return;
        }
        let tables = match doc.tables() {
            Ok(tables) => Arc::new(tables),
            Err(e) => {
                error!(
                    self.ports.log,
                    "config: generation {} is invalid: {}", doc.generation, e
                );
                return;
            }
        };
        info!(
            self.ports.log,
            "config: generation {} is in force", doc.generation
        );
        self.doc = Some(doc.clone());
        self.tables = Some(Arc::clone(&tables));
        self.publish(cx, &tables, doc);
    }

    pub(crate) fn set_snapshot(&mut self, _cx: CX![], snapshot: Arc<TablesSnapshot>) {
        if let Some(tables) = &self.tables {
            snapshot.set(Arc::clone(tables));
        }
        self.snapshot = snapshot;
    }

    fn publish(&self, cx: CX![], tables: &Arc<Tables>, doc: TablesDoc) {
        self.snapshot.set(Arc::clone(tables));
        call!([self.request, cx], set_tables(Arc::clone(tables)));
        call!([self.shard, cx], set_tables(Arc::clone(tables)));
        call!([self.member, cx], set_tables(Arc::clone(tables), doc));
    }

    pub(crate) fn tables(&mut self, _cx: CX![], reply: Reply<Option<TablesDoc>>) {
        reply.send(self.doc.clone());
    }
}
