//! The servers of a desk, all running in this process.

use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::time::UNIX_EPOCH;

use base::SystemClock;
use base::prelude::*;
use companion::CompanionCfg;
use entry::EntryCfg;
use fakes::relay::Relay;
use fakes::store::StoreServer;
use fakes::target::{ServiceTime, TargetServer, TargetSettings};
use fakes::worker::{WorkerServer, WorkerSettings};
use ports::HttpStore;
use ports::store::{Expect, Store, StoreCall};
use slog::{Drain, Logger, o};
use tables::TablesDoc;

use crate::flags::{Desk, Flags};

/// How many entries a desk runs.
const ENTRIES: usize = 3;

/// How many workers a desk runs.
const WORKERS: usize = 10;

/// How many workers share a rack.
const WORKERS_PER_RACK: usize = 3;

/// The slots and connections of a target.
const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;

/// Capacity of a worker.
const CAPACITY: Resources = Resources::new(64, 250 * 1024, 0);

/// Mean service time of a quick request.
const SERVICE_TIME: Duration = Duration::from_millis(3);

/// Size of a response body, in bytes.
const RESPONSE_BYTES: usize = 2_048;

/// How many threads serve requests in an entry.
const ENTRY_THREADS: usize = 64;

/// Time within which the fleet must become ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// A worker VM with its target and companion.
pub(crate) struct Vm {
    pub(crate) worker: WorkerServer,
    pub(crate) target: TargetServer,
    /// Forwards connections from the entries to the companion.
    pub(crate) relay: Relay,
    companion: Mutex<Option<companion::App>>,
    pub(crate) is_lost: Mutex<bool>,
}

/// An entry VM, which clients reach through a relay.
pub(crate) struct EntryVm {
    app: Mutex<Option<entry::App>>,
    relay: Relay,
}

/// All servers of a desk.
pub(crate) struct Fleet {
    desk: Desk,
    log: Logger,
    pub(crate) store: StoreServer,
    pub(crate) entries: Vec<EntryVm>,
    pub(crate) vms: Vec<Vm>,
}

impl Fleet {
    /// Starts the store, the entries, and the worker VMs.
    pub(crate) fn start(flags: &Flags) -> Result<Self> {
        let log = logger(flags.verbose);
        let store = StoreServer::start(Arc::new(SystemClock));
        let entries = (0..ENTRIES)
            .map(|at| EntryVm::start(flags.desk, at, store.addr(), &log))
            .collect::<Result<Vec<_>>>()?;
        let rpc_addrs: Vec<SocketAddr> = entries.iter().filter_map(EntryVm::rpc_addr).collect();
        let vms = (0..WORKERS)
            .map(|at| Vm::start(flags, at, &rpc_addrs, &log))
            .collect::<Result<Vec<_>>>()?;
        Ok(Self {
            desk: flags.desk,
            log,
            store,
            entries,
            vms,
        })
    }

    /// Puts the desk's sample tables into the store.
    pub(crate) fn apply_tables(&self) -> Result<()> {
        let (routes, pools) = match self.desk {
            Desk::Vakaloloma => (
                include_str!("../vakaloloma/routes.toml"),
                include_str!("../vakaloloma/pools.toml"),
            ),
            Desk::SwanRiver => (
                include_str!("../swan-river/routes.toml"),
                include_str!("../swan-river/pools.toml"),
            ),
        };
        let applied_at = SystemClock
            .wall()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let doc = TablesDoc {
            version: TablesDoc::VERSION,
            generation: Generation(1),
            routes: routes.into(),
            pools: pools.into(),
            author: "desk".into(),
            applied_at_ms: applied_at.as_millis() as u64,
            comment: "first tables".into(),
            nonce: Nonce(1),
        };
        let store = HttpStore::new(self.store.addr(), Duration::from_secs(2));
        store.call(&StoreCall::Put {
            key: TablesDoc::KEY.into(),
            value: serde_json::to_vec(&doc).unwrap_or_default().into(),
            expect: Expect::Absent,
            lease: None,
        })?;
        Ok(())
    }

    /// Waits until every entry knows every target and the owner of the shard.
    pub(crate) fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + READY_WITHIN;
        while Instant::now() < until {
            if self.entries.iter().all(EntryVm::is_ready) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(Error::new(
            ErrorKind::Timeout,
            "wait for the fleet",
            "entries",
            "not ready in time",
        ))
    }

    /// Returns the addresses at which clients reach the entries.
    pub(crate) fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.relay.addr())
            .collect()
    }

    /// Kills the entry that owns the pool's shard, and starts another in its place.
    pub(crate) fn replace_owner(&self) {
        let Some(at) = self.owner() else { return };
        if let Some(app) = lock(&self.entries[at].app).take() {
            self.entries[at].relay.set_refusing(true);
            app.kill();
        }
        std::thread::sleep(Duration::from_millis(500));
        let started = start_entry(self.desk, at, self.store.addr(), &self.log);
        if let Ok(app) = started {
            self.entries[at].relay.set_server(app.http_addr());
            let addr = app.http_addr();
            *lock(&self.entries[at].app) = Some(app);
            wait_for_balancer(addr);
            self.entries[at].relay.set_refusing(false);
        }
    }

    fn owner(&self) -> Option<usize> {
        let status = self.entries.iter().find_map(EntryVm::status)?;
        let owner = status["owners"][0]["entry"].as_str()?.to_owned();
        self.entries.iter().position(|entry| {
            lock(&entry.app)
                .as_ref()
                .is_some_and(|app| app.cfg().entry.as_str() == owner)
        })
    }

    /// Stops all companions, then all entries, gracefully.
    pub(crate) fn stop(self) {
        std::thread::scope(|scope| {
            for vm in &self.vms {
                scope.spawn(|| {
                    if let Some(app) = lock(&vm.companion).take() {
                        app.stop();
                    }
                });
            }
        });
        for entry in &self.entries {
            if let Some(app) = lock(&entry.app).take() {
                app.stop();
            }
        }
    }
}

impl EntryVm {
    fn start(desk: Desk, at: usize, store: SocketAddr, log: &Logger) -> Result<Self> {
        let app = start_entry(desk, at, store, log)?;
        let relay = Relay::start(app.http_addr());
        relay.set_delay(desk.client_delay());
        Ok(Self {
            app: Mutex::new(Some(app)),
            relay,
        })
    }

    fn rpc_addr(&self) -> Option<SocketAddr> {
        lock(&self.app).as_ref().map(|app| app.cfg().rpc_addr)
    }

    fn status(&self) -> Option<serde_json::Value> {
        let addr = lock(&self.app).as_ref()?.http_addr();
        let mut response = ureq::get(format!("http://{addr}/v1/status")).call().ok()?;
        response.body_mut().read_json().ok()
    }

    fn is_ready(&self) -> bool {
        let Some(status) = self.status() else {
            return false;
        };
        let targets = status["targets"].as_array().map_or(0, Vec::len);
        let owners = status["owners"].as_array().map_or(0, Vec::len);
        targets == WORKERS && owners == 1
    }
}

impl Vm {
    fn start(flags: &Flags, at: usize, entries: &[SocketAddr], log: &Logger) -> Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let worker = WorkerServer::start(WorkerSettings::default(), clock);
        let target = TargetServer::start(TargetSettings {
            slots: SLOTS as usize,
            connections: CONNECTIONS as usize,
            service_time: ServiceTime::Exponential(SERVICE_TIME),
            response_bytes: RESPONSE_BYTES,
            seed: flags.seed + at as u64,
        });
        let http_addr = free_addr()?;
        let relay = Relay::start(http_addr);
        relay.set_delay(flags.desk.zone_delay());
        let name = format!("runner-{at}");
        let cfg = CompanionCfg {
            target: name.as_str().into(),
            worker: name.as_str().into(),
            incarnation: Incarnation(rand::random()),
            zone: flags.desk.zones()[at % ENTRIES].into(),
            rack: format!("rack-{}", at / WORKERS_PER_RACK).into(),
            http_addr,
            announce_http: Some(relay.addr()),
            rpc_addr: loopback(),
            target_addr: target.addr(),
            worker_addr: worker.addr(),
            entries: entries.to_vec(),
            slots: SLOTS,
            connections: CONNECTIONS,
            capacity: CAPACITY,
        };
        let companion = Mutex::new(Some(companion::App::start(cfg, log)?));
        Ok(Self {
            worker,
            target,
            relay,
            companion,
            is_lost: Mutex::new(false),
        })
    }

    /// Simulates the loss of the VM with everything that runs on it.
    pub(crate) fn lose(&self) {
        *lock(&self.is_lost) = true;
        self.worker.lose_all();
        self.worker.set_faults(|faults| faults.unreachable = true);
        self.relay.set_refusing(true);
        self.target.stop();
        if let Some(app) = lock(&self.companion).take() {
            app.kill();
        }
    }
}

fn start_entry(desk: Desk, at: usize, store: SocketAddr, log: &Logger) -> Result<entry::App> {
    let cfg = EntryCfg {
        entry: EntryId::new(format!("entry-{at}-{:08x}", rand::random::<u32>())),
        zone: desk.zones()[at].into(),
        http_addr: loopback(),
        rpc_addr: loopback(),
        store,
        peers: Vec::new(),
        threads: ENTRY_THREADS,
    };
    entry::App::start(cfg, log)
}

/// Waits until an entry reports that it is ready, as a load balancer does.
fn wait_for_balancer(entry: SocketAddr) {
    let until = Instant::now() + READY_WITHIN;
    let is_ready = || {
        ureq::get(format!("http://{entry}/v1/health/ready"))
            .call()
            .is_ok()
    };
    while Instant::now() < until && !is_ready() {
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a free address, for a server whose address must be known before it starts.
fn free_addr() -> Result<SocketAddr> {
    let bind_error = |e: std::io::Error| {
        Error::new(
            ErrorKind::Internal,
            "draw a free port",
            "loopback",
            e.to_string(),
        )
    };
    let listener = TcpListener::bind(loopback()).map_err(bind_error)?;
    listener.local_addr().map_err(bind_error)
}

/// Locks a mutex, ignoring poisoning: no holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn logger(verbose: bool) -> Logger {
    if !verbose {
        return Logger::root(slog::Discard, o!());
    }
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    Logger::root(drain, o!())
}
