//! Test harness: a store, entries and companions on loopback.

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;

use base::SystemClock;
use base::prelude::*;
use companion::CompanionCfg;
use entry::EntryCfg;
use fakes::store::{StoreFaultInjector, StoreServer};
use ops::{Applied, Applier, Change, EntryPort, HttpEntry, TableFiles, TablesStore};
use ports::HttpStore;
use ports::store::Store;
use slog::{Logger, o};
use wire::Token;

/// Bounds every wait; no assertion depends on its length.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn log() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// A fake store, and the entries that connect to it.
pub struct Cluster {
    pub server: StoreServer,
    pub store: HttpStore,
}

impl Cluster {
    pub fn start() -> Self {
        let server = StoreServer::start(Arc::new(SystemClock));
        let store = HttpStore::new(server.addr(), Duration::from_secs(2));
        Self { server, store }
    }

    pub fn faults(&self) -> StoreFaultInjector {
        self.server.faults()
    }

    pub fn entry(&self, name: &str, peers: &[SocketAddr]) -> entry::App {
        entry::App::start(self.entry_cfg(name, peers), &log()).expect("entry")
    }

    pub fn secured_entry(&self, name: &str, token: &Token) -> entry::App {
        let cfg = self.entry_cfg(name, &[]);
        entry::App::start_secured(cfg, Some(token.clone()), &log()).expect("entry")
    }

    fn entry_cfg(&self, name: &str, peers: &[SocketAddr]) -> EntryCfg {
        EntryCfg {
            entry: EntryId::from(name),
            zone: ZoneName::from("viti-suva"),
            http_addr: loopback(),
            rpc_addr: loopback(),
            store: self.server.addr(),
            peers: peers.to_vec(),
            threads: 4,
        }
    }

    /// Applies the sample tables with the given deadline and returns their generation.
    pub fn apply(&self, deadline_s: u64) -> Generation {
        try_apply(&self.store, deadline_s, None)
            .expect("applied")
            .generation()
    }

    /// Returns the generation of the tables in the store.
    pub fn stored_generation(&self) -> Generation {
        let current = TablesStore::new(&self.store).current().expect("read");
        current.expect("tables").doc.generation
    }
}

pub fn try_apply(
    store: &dyn Store,
    deadline_s: u64,
    base: Option<u64>,
) -> Result<Applied, ops::Failure> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/vakaloloma");
    let files = TableFiles {
        routes: folder.join("routes.toml"),
        pools: folder.join("pools.toml"),
    };
    let loaded = files.load().expect("sample tables");
    let deadline = format!("deadline = \"{deadline_s}s\"");
    let change = Change {
        routes: loaded
            .routes
            .text
            .replace("deadline = \"2s\"", &deadline)
            .into(),
        pools: loaded.pools.text,
        author: "test".into(),
        comment: "".into(),
        nonce: Nonce(rand::random()),
    };
    let applier = Applier::new(store, &SystemClock, std::thread::sleep);
    let plan = applier.plan(change, base.map(Generation))?;
    applier.apply(plan)
}

pub fn companion(target: SocketAddr, worker: SocketAddr, entries: &[SocketAddr]) -> companion::App {
    secured_companion(target, worker, entries, None)
}

pub fn secured_companion(
    target: SocketAddr,
    worker: SocketAddr,
    entries: &[SocketAddr],
    token: Option<Token>,
) -> companion::App {
    let cfg = CompanionCfg {
        target: TargetId::from("runner-0"),
        worker: WorkerId::from("runner-0"),
        incarnation: Incarnation(1),
        zone: ZoneName::from("viti-suva"),
        rack: RackName::from("rack-0"),
        http_addr: loopback(),
        announce_http: None,
        rpc_addr: loopback(),
        target_addr: target,
        worker_addr: worker,
        entries: entries.to_vec(),
        slots: 8,
        connections: 8,
        capacity: Resources::new(64, 250 * 1024, 0),
    };
    companion::App::start_secured(cfg, token, &log()).expect("companion")
}

pub fn client(addr: SocketAddr) -> HttpEntry {
    HttpEntry::new(addr, None)
}

/// Returns the generation that an entry reports, or 0 if it does not respond.
pub fn generation(addr: SocketAddr) -> Generation {
    client(addr)
        .status()
        .map_or(Generation(0), |status| status.entry.generation)
}

/// Returns true if a process accepts connections at the address.
pub fn is_listening(addr: SocketAddr) -> bool {
    TcpStream::connect(addr).is_ok()
}

pub fn wait_for_generation(addr: SocketAddr, expected: Generation) {
    wait_until(|| generation(addr) >= expected);
    assert_eq!(generation(addr), expected);
}

pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "condition not met within {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
